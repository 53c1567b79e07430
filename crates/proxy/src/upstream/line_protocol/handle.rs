//! A handle to an attempt that has not ended.

use std::sync::{Arc, Mutex};

use gaugestep_dispatch::interface::RequestId;

use super::connection::Connection;
use crate::lock;

/// The connection of an attempt; `None` before the attempt is queued on one.
pub type ConnectionSlot = Arc<Mutex<Option<Arc<Connection>>>>;

/// Cancels an attempt or changes its priority, on whichever connection the attempt is. Has no effect once the
/// attempt has ended.
pub struct UpstreamHandle {
    slot: ConnectionSlot,
    id: RequestId,
}

impl UpstreamHandle {
    /// A handle to the attempt of the request `id` whose connection is in `slot`.
    pub(super) fn new(slot: ConnectionSlot, id: RequestId) -> Self {
        UpstreamHandle { slot, id }
    }

    /// Cancels the attempt. It reports no further events, but earlier ones may still be in the request's
    /// mailbox.
    pub fn cancel(&self) {
        let Some(connection) = lock(&self.slot).clone() else { return };
        if lock(&connection.state).cancel(&self.id.0) {
            connection.wake();
        }
    }

    /// Changes the priority of the attempt.
    pub fn set_priority(&self, priority: u8) {
        let Some(connection) = lock(&self.slot).clone() else { return };
        if lock(&connection.state).set_priority(&self.id.0, priority) {
            connection.wake();
        }
    }
}
