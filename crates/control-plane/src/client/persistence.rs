//! Storage of the last good version and of the highest terms, and the thread that writes them to disk.
//!
//! One process at a time may write to the directory of a proxy. During a hand-over the new process starts
//! with what its predecessor stored, and writes only after the predecessor has ended: its requests wait until
//! then, for at most [`LOCK_TIMEOUT`].

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use gaugestep_config::MAX_DOCUMENT_BYTES;
use gaugestep_config::rollout::RESPONSE_TIMEOUT;
use gaugestep_config::schema::{Charter, Duty};
use gaugestep_config::version_tracker::{Event, StorageFailure};
use gaugestep_leadership::fencing::PersistError;
use gaugestep_storage::StorageError;
use gaugestep_storage::snapshot_slots::{SnapshotSlots, read_unlocked};
use prost::Message as _;

use crate::lock;

use super::storage_queue::StorageRequest;
use super::subscriber::{ConfigSubscriber, POLL_INTERVAL};

/// The largest stored version: a document, and up to 1 KiB of metadata.
const MAX_VERSION_BYTES: usize = MAX_DOCUMENT_BYTES + 1024;
/// The largest stored set of terms.
const MAX_TERMS_BYTES: usize = 1024 * 1024;
/// How long a request waits while another process has the stored versions locked. A version that cannot be
/// stored by then is rejected before the control server counts the proxy as unresponsive.
const LOCK_TIMEOUT: Duration = RESPONSE_TIMEOUT.saturating_sub(Duration::from_secs(2));
/// The subdirectory of the proxy's state directory that holds the terms.
const TERMS_DIRECTORY: &str = "terms";

/// Why a version or the terms cannot be stored. The text is sent to the control server as the reject reason.
#[derive(Debug, thiserror::Error)]
enum PersistenceError {
    /// The predecessor of this process has not ended yet.
    #[error("another process holds the store")]
    Locked,
    /// The directory of the terms is locked by another process, or cannot be created.
    #[error("the folder for terms cannot be used")]
    TermsUnavailable,
    #[error(transparent)]
    Storage(#[from] StorageError),
}

/// Opens the stored versions for writing; `None` while another process has them locked.
pub(super) fn open_versions(directory: &Path) -> Result<Option<SnapshotSlots>, StorageError> {
    match SnapshotSlots::open(directory, MAX_VERSION_BYTES) {
        Ok(slots) => Ok(Some(slots)),
        Err(StorageError::Locked { .. }) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Reads the stored versions, newest first. Works also while another process has them locked.
pub(super) fn read_versions(directory: &Path) -> Vec<Result<Vec<u8>, StorageFailure>> {
    let values = read_unlocked(directory, MAX_VERSION_BYTES).into_iter();
    values.map(|value| value.map_err(StorageFailure::new)).collect()
}

/// Reads the highest stored term of each role; empty if none can be read.
pub(super) fn read_terms(directory: &Path) -> BTreeMap<String, u64> {
    for value in read_unlocked(&directory.join(TERMS_DIRECTORY), MAX_TERMS_BYTES) {
        let decoded = value
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
    let roles = terms.iter().map(|(name, term)| Duty { name: name.clone(), term: *term, ..Duty::default() });
    let message = Charter { duties: roles.collect(), ..Charter::default() };
    message.encode_to_vec()
}

/// A request that has not been executed yet.
struct PendingRequest {
    request: StorageRequest,
    received_at: Instant,
}

/// The thread that writes versions and terms to disk, and reloads changed TLS keys.
pub(super) struct StorageThread {
    subscriber: Arc<ConfigSubscriber>,
    requests: Receiver<StorageRequest>,
    /// Requests that wait until the stored versions are unlocked, oldest first.
    pending: VecDeque<PendingRequest>,
    /// The stored versions; `None` while another process has them locked.
    versions: Option<SnapshotSlots>,
    /// The stored terms; opened when the first are written.
    terms: Option<SnapshotSlots>,
}

impl StorageThread {
    /// Starts the thread. `versions` is `None` if another process has the stored versions locked; the thread
    /// then retries to open them.
    pub(super) fn spawn(
        subscriber: Arc<ConfigSubscriber>,
        versions: Option<SnapshotSlots>,
        requests: Receiver<StorageRequest>,
    ) -> io::Result<()> {
        let pending = VecDeque::new();
        let thread = StorageThread { subscriber, requests, pending, versions, terms: None };
        std::thread::Builder::new().name("store".into()).spawn(move || thread.run())?;
        Ok(())
    }

    fn run(mut self) {
        loop {
            match self.requests.recv_timeout(POLL_INTERVAL) {
                Ok(request) => {
                    self.pending.push_back(PendingRequest { request, received_at: Instant::now() })
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if let Some(tls) = &self.subscriber.tls {
                tls.reload_if_changed();
            }
            if self.versions.is_none() {
                let directory = &self.subscriber.settings.state_directory;
                self.versions = SnapshotSlots::open(directory, MAX_VERSION_BYTES).ok();
            }
            while let Some(request) = self.take_due_request() {
                self.execute(request);
            }
        }
    }

    /// The oldest pending request, if the stored versions are unlocked or it has waited for too long.
    fn take_due_request(&mut self) -> Option<StorageRequest> {
        let is_due = self.versions.is_some() || self.pending.front()?.received_at.elapsed() >= LOCK_TIMEOUT;
        let due = if is_due { self.pending.pop_front() } else { None };
        due.map(|pending| pending.request)
    }

    fn execute(&mut self, request: StorageRequest) {
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
                self.subscriber.execute_fencing_actions(actions);
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

    /// Stores the terms. Only the process that has locked the stored versions may write them.
    fn store_terms(&mut self, terms: &BTreeMap<String, u64>) -> Result<(), PersistenceError> {
        self.versions()?;
        if self.terms.is_none() {
            let directory = self.subscriber.settings.state_directory.join(TERMS_DIRECTORY);
            self.terms = SnapshotSlots::open(&directory, MAX_TERMS_BYTES).ok();
        }
        let slots = self.terms.as_ref().ok_or(PersistenceError::TermsUnavailable)?;
        slots.stage(&encode_terms(terms))?;
        Ok(slots.commit()?)
    }
}
