//! The queue of requests to the storage thread.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};

use crate::lock;

/// A request to the storage thread.
pub(super) enum StorageRequest {
    /// Writes a version to disk, where a restart ignores it until it is committed.
    StageVersion { number: u64, bytes: Vec<u8> },
    /// Makes the staged version the one that a restart recovers.
    CommitVersion { number: u64 },
    /// Stores the highest term of each role.
    StoreTerms(BTreeMap<String, u64>),
}

/// The queue of the storage thread.
pub(super) struct StorageQueue {
    requests: Mutex<Sender<StorageRequest>>,
}

impl StorageQueue {
    pub(super) fn new() -> (Self, Receiver<StorageRequest>) {
        let (sender, receiver) = channel();
        (StorageQueue { requests: Mutex::new(sender) }, receiver)
    }

    pub(super) fn submit(&self, request: StorageRequest) {
        // Sending fails only after the storage thread has ended, and that thread runs as long as the process.
        let _ = lock(&self.requests).send(request);
    }
}
