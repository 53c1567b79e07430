//! What goes into a [`VersionTracker`](super::VersionTracker) and what comes out of it.

use std::fmt;

use crate::{Document, RejectReason, schema};

/// Names an offer: the stream that it was sent on and its nonce there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OfferId {
    /// The stream, which the embedder numbers.
    pub stream: u64,
    /// The nonce.
    pub nonce: u64,
}

/// A version could not be stored or read back.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct StorageFailure {
    message: String,
}

impl StorageFailure {
    /// A failure of this cause.
    pub fn new(cause: impl fmt::Display) -> Self {
        StorageFailure { message: cause.to_string() }
    }
}

/// What the embedder reports.
#[derive(Clone, Debug)]
pub enum Event {
    /// A version is offered on a stream.
    Offered {
        /// The stream.
        stream: u64,
        /// The offer.
        offer: Box<schema::Offer>,
    },
    /// [`Action::Stage`] has ended.
    Staged {
        /// The version.
        number: u64,
        /// Whether it was stored.
        result: Result<(), StorageFailure>,
    },
    /// [`Action::Commit`] has ended.
    Committed {
        /// The version.
        number: u64,
        /// Whether it was committed.
        result: Result<(), StorageFailure>,
    },
    /// A stream has ended: its offers need no answer any more.
    StreamEnded {
        /// The stream.
        stream: u64,
    },
}

/// What the embedder has to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Store this version where a start does not look yet, then report [`Event::Staged`].
    Stage {
        /// The version.
        number: u64,
        /// The bytes to store.
        bytes: Vec<u8>,
    },
    /// This document is in force from now on.
    Apply(Box<Document>),
    /// Make the staged version the one that a start finds, keep the one before it beside it, then report
    /// [`Event::Committed`].
    Commit {
        /// The version.
        number: u64,
    },
    /// Answer an offer.
    Respond {
        /// The offer.
        offer: OfferId,
        /// The version that was offered; 0: the offer named none.
        number: u64,
        /// Whether the version is in force.
        outcome: Result<(), RejectReason>,
    },
}
