//! The events that a [`VersionTracker`](super::VersionTracker) processes and the actions that it returns.

use std::fmt;

use crate::{Document, RejectReason, schema};

/// Identifies an offer by the stream that it was sent on and its nonce.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OfferId {
    /// The number that the embedder gave the stream.
    pub stream: u64,
    /// The nonce of the offer on this stream.
    pub nonce: u64,
}

/// The reason why a version could not be stored or read back.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct StorageFailure {
    message: String,
}

impl StorageFailure {
    /// Creates a failure with the text of its cause.
    pub fn new(cause: impl fmt::Display) -> Self {
        StorageFailure { message: cause.to_string() }
    }
}

/// An event that the embedder reports.
#[derive(Clone, Debug)]
pub enum Event {
    /// An offer was received on a stream.
    Offered {
        /// The number of the stream.
        stream: u64,
        /// The offer as received.
        offer: Box<schema::Offer>,
    },
    /// The execution of [`Action::Stage`] has ended.
    Staged {
        /// The number of the version.
        number: u64,
        /// Whether the version was stored.
        result: Result<(), StorageFailure>,
    },
    /// The execution of [`Action::Commit`] has ended.
    Committed {
        /// The number of the version.
        number: u64,
        /// Whether the version was committed.
        result: Result<(), StorageFailure>,
    },
    /// A stream has ended; its offers need no response any more.
    StreamEnded {
        /// The number of the stream.
        stream: u64,
    },
}

/// An action that the embedder executes, in the order in which actions are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Store this version where a restarted process does not read it yet, then report [`Event::Staged`].
    Stage {
        /// The number of the version.
        number: u64,
        /// The bytes to store.
        bytes: Vec<u8>,
    },
    /// Put this document in force now.
    Apply(Box<Document>),
    /// Make the staged version the one that a restarted process reads first, keep the one before it as a
    /// fallback, then report [`Event::Committed`].
    Commit {
        /// The number of the version.
        number: u64,
    },
    /// Respond to an offer.
    Respond {
        /// The offer that is responded to.
        offer: OfferId,
        /// The number of the offered version; 0 if the offer has none.
        number: u64,
        /// `Ok` to acknowledge the version, which is in force now; `Err` to reject it.
        outcome: Result<(), RejectReason>,
    },
}
