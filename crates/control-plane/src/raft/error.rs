//! Why a replica cannot run.

use std::io;
use std::path::PathBuf;

use gaugestep_leadership::rollback_guard::StoreRejected;
use gaugestep_storage::StorageError;
use thiserror::Error;

use crate::transport::tls::TlsError;

/// Why a replica cannot be opened, or why its store cannot be used any more. The message is one line.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// The keys cannot be used.
    #[error(transparent)]
    Keys(#[from] TlsError),
    /// The store cannot be read or written.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The store was rolled back or copied.
    #[error("{}: {source}; {remedy}", .path.display())]
    StoreRejected {
        /// The file of the store.
        path: PathBuf,
        /// Why it is refused.
        source: StoreRejected,
        /// What the operator can do.
        remedy: &'static str,
    },
    /// A message in the store, or in what another member sent, cannot be decoded.
    #[error("{what} cannot be read: {source}")]
    Undecodable {
        /// The message.
        what: &'static str,
        /// What is wrong with it.
        source: prost::DecodeError,
    },
    /// A committed change of membership is of a kind that this build does not know.
    #[error("a change of members cannot be read: it is of an unknown kind")]
    UnknownMembershipChange,
    /// The store does not say where its log begins.
    #[error("the log has no beginning")]
    MissingLogStart,
    /// An entry of the log is missing.
    #[error("the log has a gap")]
    LogGap,
    /// The Raft library refused what it was given.
    #[error(transparent)]
    Raft(#[from] raft::Error),
    /// The replica's thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[source] io::Error),
}

impl ReplicaError {
    /// Says which message an error of decoding belongs to.
    pub(crate) fn undecodable(what: &'static str) -> impl Fn(prost::DecodeError) -> Self {
        move |source| ReplicaError::Undecodable { what, source }
    }
}
