//! The last good version and the highest terms on disk, and the thread that writes them.
//!
//! The directory of a proxy belongs to one process at a time. A successor starts on what its predecessor has stored, and
//! stores itself once the predecessor has ended.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};

use gaugestep_config::MAX_DOCUMENT_BYTES;
use gaugestep_config::schema::{Charter, Duty};
use gaugestep_config::version_tracker::{Event, StorageFailure};
use gaugestep_leadership::fencing::PersistError;
use gaugestep_storage::StorageError;
use gaugestep_storage::snapshot_slots::{SnapshotSlots, read_unlocked};
use prost::Message as _;

use crate::lock;

use super::storage_queue::StorageRequest;
use super::subscriber::{ConfigSubscriber, POLL_INTERVAL};

/// The most bytes of a stored version: a document, and what is stored along with it.
const MAX_VERSION_LENGTH: usize = MAX_DOCUMENT_BYTES + 1024;
/// The most bytes of all terms.
const MAX_TERMS_LENGTH: usize = 1024 * 1024;
/// The directory of the terms within that of the proxy.
const TERMS_DIRECTORY: &str = "terms";

/// Why something cannot be stored.
#[derive(Debug, thiserror::Error)]
enum PersistenceError {
    /// A predecessor has not ended yet.
    #[error("another process holds the store")]
    Locked,
    /// The directory of the terms is held by another process, or cannot be made.
    #[error("the folder for terms cannot be used")]
    TermsUnavailable,
    #[error(transparent)]
    Storage(#[from] StorageError),
}

/// Opens the slots of versions; `None` while another process holds them.
pub(super) fn open_versions(directory: &Path) -> Result<Option<SnapshotSlots>, StorageError> {
    match SnapshotSlots::open(directory, MAX_VERSION_LENGTH) {
        Ok(slots) => Ok(Some(slots)),
        Err(StorageError::Locked { .. }) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Reads the stored versions, the newest first, also while another process holds them.
pub(super) fn read_versions(directory: &Path) -> Vec<Result<Vec<u8>, StorageFailure>> {
    let stored = read_unlocked(directory, MAX_VERSION_LENGTH).into_iter();
    stored.map(|found| found.map_err(StorageFailure::new)).collect()
}

/// Reads the highest terms that were seen, by role.
pub(super) fn read_terms(directory: &Path) -> BTreeMap<String, u64> {
    for found in read_unlocked(&directory.join(TERMS_DIRECTORY), MAX_TERMS_LENGTH) {
        let decoded = found
            .map_err(StorageFailure::new)
            .and_then(|bytes| Charter::decode(bytes.as_slice()).map_err(StorageFailure::new));
        match decoded {
            Ok(terms) => return terms.duties.into_iter().map(|role| (role.name, role.term)).collect(),
            Err(error) => tracing::error!("the stored terms cannot be read: {error}"),
        }
    }
    BTreeMap::new()
}

fn encode_terms(terms: &BTreeMap<String, u64>) -> Vec<u8> {
    let role = |(name, term): (&String, &u64)| Duty { name: name.clone(), term: *term, ..Duty::default() };
    let message = Charter { duties: terms.iter().map(role).collect(), ..Charter::default() };
    message.encode_to_vec()
}

/// The thread that writes to disk.
pub(super) struct StorageThread {
    subscriber: Arc<ConfigSubscriber>,
    requests: Receiver<StorageRequest>,
    versions: Option<SnapshotSlots>,
    terms: Option<SnapshotSlots>,
}

impl StorageThread {
    /// Starts the thread. `versions` are the slots of versions, if no other process holds them.
    pub(super) fn spawn(
        subscriber: Arc<ConfigSubscriber>,
        versions: Option<SnapshotSlots>,
        requests: Receiver<StorageRequest>,
    ) -> io::Result<()> {
        let thread = StorageThread { subscriber, requests, versions, terms: None };
        std::thread::Builder::new().name("store".into()).spawn(move || thread.run())?;
        Ok(())
    }

    fn run(mut self) {
        loop {
            let request = match self.requests.recv_timeout(POLL_INTERVAL) {
                Ok(request) => Some(request),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if let Some(tls) = &self.subscriber.tls {
                tls.reload_if_changed();
            }
            if self.versions.is_none() {
                let directory = &self.subscriber.settings.state_directory;
                self.versions = SnapshotSlots::open(directory, MAX_VERSION_LENGTH).ok();
            }
            if let Some(request) = request {
                self.carry_out(request);
            }
        }
    }

    fn carry_out(&mut self, request: StorageRequest) {
        match request {
            StorageRequest::StageVersion { number, bytes } => {
                let result = self.stage_version(&bytes).map_err(StorageFailure::new);
                self.subscriber.handle_version_event(Event::Staged { number, result });
            }
            StorageRequest::CommitVersion { number } => {
                let result = self.commit_version().map_err(StorageFailure::new);
                self.subscriber.handle_version_event(Event::Committed { number, result });
            }
            StorageRequest::StoreTerms(terms) => {
                let result = self.store_terms(&terms);
                if result.is_ok() {
                    for (role, term) in &terms {
                        tracing::info!(role, term, "term stored");
                    }
                }
                let result = result.map_err(PersistError::new);
                let actions = lock(&self.subscriber.state).fencing.on_persisted(result);
                self.subscriber.carry_out_fencing(actions);
            }
        }
    }

    fn versions(&self) -> Result<&SnapshotSlots, PersistenceError> {
        self.versions.as_ref().ok_or(PersistenceError::Locked)
    }

    fn stage_version(&self, bytes: &[u8]) -> Result<(), PersistenceError> {
        Ok(self.versions()?.stage(bytes)?)
    }

    fn commit_version(&self) -> Result<(), PersistenceError> {
        Ok(self.versions()?.commit()?)
    }

    /// Stores the terms; only the process that holds the slots of versions may.
    fn store_terms(&mut self, terms: &BTreeMap<String, u64>) -> Result<(), PersistenceError> {
        self.versions()?;
        if self.terms.is_none() {
            let directory = self.subscriber.settings.state_directory.join(TERMS_DIRECTORY);
            self.terms = SnapshotSlots::open(&directory, MAX_TERMS_LENGTH).ok();
        }
        let slots = self.terms.as_ref().ok_or(PersistenceError::TermsUnavailable)?;
        slots.stage(&encode_terms(terms))?;
        Ok(slots.commit()?)
    }
}
