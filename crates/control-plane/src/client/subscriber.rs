//! The subscriber itself: what its thread and its coroutines share.

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

/// How often clocks, keys and a store that another process holds are looked at.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// A proxy that follows the control plane.
pub struct ConfigSubscriber {
    pub(super) settings: SubscriberSettings,
    pub(super) tls: Option<ClientTls>,
    pub(super) proxy: Arc<dyn ProxyHandle>,
    pub(super) state: Mutex<SubscriberState>,
    pub(super) storage: StorageQueue,
    pub(super) started_at: Instant,
    /// The open stream is to the leader.
    pub(super) is_following: AtomicBool,
    /// Versions rejected so far.
    pub(super) rejected: AtomicU64,
    /// Identifies this process among those that had the proxy's name.
    pub(super) incarnation: u64,
}

impl ConfigSubscriber {
    /// Whether another process has the proxy's name: nothing is offered to this one any more.
    pub fn name_is_superseded(&self) -> bool {
        lock(&self.state).identity.is_superseded
    }

    /// The time since the start.
    pub(super) fn now(&self) -> Timestamp {
        Timestamp::default() + self.started_at.elapsed()
    }
}
