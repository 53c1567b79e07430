//! The start of a subscriber: what it finds on disk, and the thread and the coroutines that run it.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use gaugestep_coroutine_io::task;
use gaugestep_storage::StorageError;

use crate::lock;
use crate::transport::connection::STACK_WORDS;
use crate::transport::tls::{ClientTls, TlsError};

use super::ordinal::OrdinalCheck;
use super::persistence::{self, StorageThread};
use super::proxy_handle::ProxyHandle;
use super::settings::SubscriberSettings;
use super::state::SubscriberState;
use super::storage_queue::StorageQueue;
use super::subscriber::{ConfigSubscriber, POLL_INTERVAL};
use super::versions;

/// Why a proxy cannot follow the control plane.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Its keys cannot be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The directory of the last good version cannot be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The system does not allow another thread.
    #[error("cannot start a thread: {0}")]
    Thread(#[source] io::Error),
    /// The system does not allow another coroutine.
    #[error("cannot start a coroutine: {0}")]
    Coroutine(#[source] io::Error),
}

impl ConfigSubscriber {
    /// Applies the last good version, if there is one, and begins to follow.
    ///
    /// # Errors
    ///
    /// [`StartError`] if the keys or the directory cannot be used, or a thread or coroutine cannot be started.
    pub fn start(settings: SubscriberSettings, proxy: Arc<dyn ProxyHandle>) -> Result<Arc<Self>, StartError> {
        let tls = settings.tls.as_ref().map(|tls| ClientTls::load(tls.files.clone())).transpose()?;
        let slots = persistence::open_versions(&settings.state_directory)?;
        let terms = persistence::read_terms(&settings.state_directory);
        let incarnation = draw_incarnation(settings.seed);
        let stored = persistence::read_versions(&settings.state_directory);
        let tracker = versions::recover(stored, &*proxy);
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
            rejected: AtomicU64::new(0),
            incarnation,
        });
        StorageThread::spawn(subscriber.clone(), slots, requests).map_err(StartError::Thread)?;
        let following = subscriber.clone();
        task::spawn_with_large_stack("versions", STACK_WORDS, move || following.follow_servers())
            .map_err(StartError::Coroutine)?;
        let polling = subscriber.clone();
        task::spawn("version clocks", move || polling.poll_clocks()).map_err(StartError::Coroutine)?;
        Ok(subscriber)
    }

    /// Looks at clocks for as long as the process runs.
    fn poll_clocks(&self) {
        loop {
            task::sleep(POLL_INTERVAL);
            self.update_ordinal(OrdinalCheck::Clock);
            lock(&self.state).stream.wake();
        }
    }
}

/// A number that no other process of the fleet should have drawn; not 0.
fn draw_incarnation(seed: u64) -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let drawn = seed ^ since_epoch.as_nanos() as u64 ^ (u64::from(std::process::id()) << 40);
    drawn.max(1)
}
