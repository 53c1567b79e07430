//! Reaches an attempt in flight, wherever it is.

use std::sync::{Arc, Mutex};

use gaugestep_dispatch::interface::RequestId;

use super::connection::Connection;
use crate::lock;

/// The connection that an attempt is on; none before it has one.
pub type ConnectionSlot = Arc<Mutex<Option<Arc<Connection>>>>;

/// Changes an attempt in flight. Does nothing once the attempt has ended.
pub struct UpstreamHandle {
    slot: ConnectionSlot,
    id: RequestId,
}

impl UpstreamHandle {
    /// A handle of the attempt of the request `id` whose connection is in `slot`.
    pub(super) fn new(slot: ConnectionSlot, id: RequestId) -> Self {
        UpstreamHandle { slot, id }
    }

    /// Cancels the attempt; no event of it follows that was not sent before.
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
