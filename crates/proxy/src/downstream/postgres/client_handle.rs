//! The client of one request, as the rest of the proxy can query it at any moment.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::cancel_registry::SessionHandle;
use super::session_manager::SessionManager;
use crate::query::Client;

/// The client of one request.
pub struct ClientHandle {
    manager: Arc<SessionManager>,
    session: Arc<SessionHandle>,
    cancelled: AtomicBool,
}

impl ClientHandle {
    /// The client of a request that comes from this session.
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
    /// Asks the operating system too: under load it takes its time until the session has read that the client has left,
    /// and no attempt must be started for it by then. A client that has closed its side of the connection counts as one
    /// that has left, as the proxy cannot tell it from one that has closed both.
    fn is_gone(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed)
            || self.session.cancel_requested()
            || self.session.is_disconnected()
    }

    fn has_unread_input(&self) -> bool {
        self.manager.has_unread_input()
    }
}
