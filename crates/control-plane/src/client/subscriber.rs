//! The subscriber, which its thread and its coroutines share.

use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gaugestep_clock::Timestamp;

use crate::lock;
use crate::transport::tls::ClientTls;

use super::proxy_handle::ProxyHandle;
use super::settings::SubscriberSettings;
use super::state::SubscriberState;
use super::storage_queue::StorageQueue;

/// The interval at which timeouts, the files of the TLS keys and the lock of the store are checked.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// A proxy's client of the control servers: receives configuration versions and the proxy's ordinal, and
/// reports back.
pub struct ConfigSubscriber {
    pub(super) settings: SubscriberSettings,
    pub(super) tls: Option<ClientTls>,
    pub(super) proxy: Arc<dyn ProxyHandle>,
    pub(super) state: Mutex<SubscriberState>,
    pub(super) storage: StorageQueue,
    pub(super) started_at: Instant,
    /// Whether the current stream is to the holder of the configuration role.
    pub(super) is_following: AtomicBool,
    /// The number of versions rejected since the start.
    pub(super) rejected_count: AtomicU64,
    /// A random number that identifies this process among those that run under the proxy's name.
    pub(super) incarnation: u64,
}

impl ConfigSubscriber {
    /// Whether another process was granted the proxy's name. The control servers offer no versions to this
    /// one then.
    pub fn name_is_superseded(&self) -> bool {
        lock(&self.state).identity.is_superseded
    }

    /// Returns the time since the subscriber started.
    pub(super) fn now(&self) -> Timestamp {
        Timestamp::default() + self.started_at.elapsed()
    }
}
