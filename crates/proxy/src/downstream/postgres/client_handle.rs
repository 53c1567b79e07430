//! Lets the rest of the proxy check at any moment whether the client of a request is still waiting.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::cancel_registry::SessionHandle;
use super::session_manager::SessionManager;
use crate::query::Client;

/// The client of one request. Each request has a handle of its own; those of a session share its
/// [`SessionHandle`].
pub struct ClientHandle {
    manager: Arc<SessionManager>,
    session: Arc<SessionHandle>,
    cancelled: AtomicBool,
}

impl ClientHandle {
    /// Creates the handle of the client of a request that arrived in `session`.
    pub fn new(manager: Arc<SessionManager>, session: Arc<SessionHandle>) -> Self {
        ClientHandle { manager, session, cancelled: AtomicBool::new(false) }
    }

    /// Marks the request as cancelled.
    pub fn cancel(&self) {
        self.cancelled.store(true, Ordering::Relaxed);
    }
}

impl fmt::Debug for ClientHandle {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("ClientHandle").field("cancelled", &self.cancelled).finish_non_exhaustive()
    }
}

impl Client for ClientHandle {
    /// Also polls the socket: under load the session may read late that its client has disconnected, and no
    /// attempt may be started for a client that is gone. A half-closed connection counts as closed, because
    /// the proxy cannot distinguish a client that has shut down its sending side from one that has closed
    /// the connection.
    fn is_gone(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed)
            || self.session.cancel_requested()
            || self.session.is_disconnected()
    }

    fn has_unread_own_input(&self) -> bool {
        self.session.has_unread_input()
    }

    fn has_unread_input(&self) -> bool {
        self.manager.has_unread_input()
    }
}
