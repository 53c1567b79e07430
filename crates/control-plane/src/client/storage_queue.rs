//! The queue of work for the storage thread.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};

use crate::lock;

/// What the storage thread has to do.
pub(super) enum StorageRequest {
    /// Store a version where a start does not look yet.
    StageVersion { number: u64, bytes: Vec<u8> },
    /// Make the staged version the one that a start finds.
    CommitVersion { number: u64 },
    /// Store the highest terms, by role.
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
        // Only fails once the storage thread has ended, which runs as long as the process.
        let _ = lock(&self.requests).send(request);
    }
}
