//! How a replica runs.

use std::path::PathBuf;

use gaugestep_config::schema::Member;

use crate::transport::tls::TlsIdentity;

/// How a replica runs.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// The member's number, and where others reach it.
    pub member: Member,
    /// It has an empty store and waits to be added to a group.
    pub joins: bool,
    /// The file of the store.
    pub store: PathBuf,
    /// The store is used although it is a copy or older than its generation file: the operator says that whoever used
    /// it before is gone for good.
    pub restored: bool,
    /// Keys with which it connects to other members; `None`: without TLS.
    pub keys: Option<TlsIdentity>,
    /// For random draws; must differ between processes.
    pub seed: u64,
}
