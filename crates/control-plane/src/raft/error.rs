//! Errors of opening and running a replica.

use std::io;
use std::path::PathBuf;

use gaugestep_leadership::rollback_guard::StoreRejected;
use gaugestep_storage::StorageError;
use thiserror::Error;

use crate::transport::tls::TlsError;

/// The reason why a replica cannot be opened or can no longer use its store. The message is one line.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// The TLS keys cannot be loaded.
    #[error(transparent)]
    Keys(#[from] TlsError),
    /// The store cannot be read or written.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The store was rolled back or copied.
    #[error("{}: {source}; {remedy}", .path.display())]
    StoreRejected {
        /// The path of the store file.
        path: PathBuf,
        /// The reason for the rejection.
        source: StoreRejected,
        /// The action that the operator can take.
        remedy: &'static str,
    },
    /// A message that is stored or was received from another member cannot be decoded.
    #[error("{what} cannot be read: {source}")]
    Undecodable {
        /// A description of the message, such as `a version`.
        what: &'static str,
        /// The decoding error.
        source: prost::DecodeError,
    },
    /// A committed membership change has a kind that this build does not support.
    #[error("a change of members cannot be read: it is of an unknown kind")]
    UnknownMembershipChange,
    /// The store has no record of the position at which its log begins.
    #[error("the log has no beginning")]
    MissingLogStart,
    /// An entry is missing in the log, or its kind is not supported.
    #[error("the log has a gap")]
    LogGap,
    /// The Raft library has rejected an operation.
    #[error(transparent)]
    Raft(#[from] raft::Error),
    /// The replica's thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[source] io::Error),
}

impl ReplicaError {
    /// Returns a function that wraps a decoding error with a description of the message.
    pub(crate) fn undecodable(what: &'static str) -> impl Fn(prost::DecodeError) -> Self {
        move |source| ReplicaError::Undecodable { what, source }
    }
}
