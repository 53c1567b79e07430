//! The start of a subscriber: recovers the stored state, and starts the thread and the coroutines.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use gaugestep_coroutine_io::task;
use gaugestep_storage::StorageError;

use crate::lock;
use crate::transport::connection::STACK_WORDS;
use crate::transport::tls::{ClientTls, TlsError};

use super::ordinal::OrdinalUpdateCause;
use super::persistence::{self, StorageThread};
use super::proxy_handle::ProxyHandle;
use super::settings::SubscriberSettings;
use super::state::SubscriberState;
use super::storage_queue::StorageQueue;
use super::subscriber::{ConfigSubscriber, POLL_INTERVAL};
use super::versions;

/// Why a subscriber cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The TLS keys cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The directory of the last good version cannot be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The storage thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[source] io::Error),
    /// A coroutine cannot be started.
    #[error("cannot start a coroutine: {0}")]
    Coroutine(#[source] io::Error),
}

impl ConfigSubscriber {
    /// Applies the last good version, if one is stored, and starts to connect to the control servers.
    ///
    /// # Errors
    ///
    /// [`StartError`] if the keys or the directory cannot be used, or a thread or coroutine cannot be
    /// started.
    pub fn start(settings: SubscriberSettings, proxy: Arc<dyn ProxyHandle>) -> Result<Arc<Self>, StartError> {
        let tls = settings.tls.as_ref().map(|tls| ClientTls::load(tls.files.clone())).transpose()?;
        let version_slots = persistence::open_versions(&settings.state_directory)?;
        let terms = persistence::read_terms(&settings.state_directory);
        let incarnation = random_incarnation(settings.seed);
        let stored_versions = persistence::read_versions(&settings.state_directory);
        let tracker = versions::recover(stored_versions, &*proxy);
        let state = SubscriberState::new(tracker, terms, settings.servers.len());
        let (storage, requests) = StorageQueue::new();
        let subscriber = Arc::new(ConfigSubscriber {
            settings,
            tls,
            proxy,
            state: Mutex::new(state),
            storage,
            started_at: Instant::now(),
            is_following: AtomicBool::new(false),
            rejected_count: AtomicU64::new(0),
            incarnation,
        });
        StorageThread::spawn(subscriber.clone(), version_slots, requests).map_err(StartError::Thread)?;
        let stream_owner = subscriber.clone();
        task::spawn_with_large_stack("versions", STACK_WORDS, move || stream_owner.follow_servers())
            .map_err(StartError::Coroutine)?;
        let timer_owner = subscriber.clone();
        task::spawn("version clocks", move || timer_owner.run_timer()).map_err(StartError::Coroutine)?;
        Ok(subscriber)
    }

    /// Checks the ordinal's lease periodically, and wakes the stream's coroutine to check its timeouts. Does
    /// not return.
    fn run_timer(&self) {
        loop {
            task::sleep(POLL_INTERVAL);
            self.update_ordinal(OrdinalUpdateCause::Timer);
            lock(&self.state).stream.wake();
        }
    }
}

/// Returns a random number that identifies this process within the fleet; never 0.
fn random_incarnation(seed: u64) -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = seed ^ since_epoch.as_nanos() as u64 ^ (u64::from(std::process::id()) << 40);
    incarnation.max(1)
}
