//! The settings of a replica.

use std::path::PathBuf;

use gaugestep_config::schema::Member;

use crate::transport::tls::TlsIdentity;

/// The settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// This member: its number, its address for proxies and other members, and its address for operators.
    pub member: Member,
    /// Whether this member starts with an empty store and waits to be added to a group.
    pub joins: bool,
    /// The path of the store file.
    pub store: PathBuf,
    /// Whether to use the store even if it is a copy or older than its generation file. With it the operator
    /// confirms that the process that used the store before never runs again.
    pub restored: bool,
    /// The TLS identity for connections to other members; `None` connects without TLS.
    pub tls: Option<TlsIdentity>,
    /// A random number, different in each process, from which the nonce of this process and the lineage of a
    /// new group are derived.
    pub seed: u64,
}
