//! Admits, evicts and ends sessions.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::time::Instant;

use may::io::CoIo;

use super::backend;
use super::cancel_registry::{CancelRegistry, SessionHandle};
use super::error::FatalError;
use super::frontend::CancelKey;
use super::session::{Session, initial_status};
use super::session_end::{SessionEnd, SessionEndPolicy, shut_down_output};
use crate::request_lifecycle::RequestHandler;
use crate::stream::{WriteBuffer, discard_input, readable};
use crate::task;

/// What all sessions share.
pub struct SessionManager {
    /// Handles their requests.
    pub(super) handler: Arc<RequestHandler>,
    /// Reaches each of them.
    pub(super) registry: CancelRegistry,
    /// When they end.
    pub(super) end_policy: SessionEndPolicy,
    /// The longest message that a client may send, in bytes.
    pub(super) max_message_length: usize,
    next_process: AtomicU32,
    seed: u64,
    /// Where clients connect, while it is open.
    listener: Weak<CoIo<TcpListener>>,
    /// Connections that were admitted and not yet read from.
    unread_connections: AtomicUsize,
}

impl SessionManager {
    /// A manager without sessions, whose requests go to `handler`. `seed` makes cancel keys hard to guess; a client may
    /// send messages of `max_message_length` bytes.
    pub fn new(
        handler: Arc<RequestHandler>,
        seed: u64,
        max_message_length: usize,
        listener: &Arc<CoIo<TcpListener>>,
    ) -> Self {
        SessionManager {
            handler,
            registry: CancelRegistry::default(),
            end_policy: SessionEndPolicy::new(),
            max_message_length,
            next_process: AtomicU32::new(1),
            seed,
            listener: Arc::downgrade(listener),
            unread_connections: AtomicUsize::new(0),
        }
    }

    /// How many sessions are open.
    pub fn session_count(&self) -> usize {
        self.registry.len()
    }

    /// Sets when sessions end from now on.
    pub fn set_session_end(&self, end: SessionEnd) {
        self.end_policy.set(end);
        self.registry.wake_all();
    }

    /// Wakes the sessions that have a timeout to check.
    pub fn wake_due_sessions(&self) {
        self.registry.wake_due();
    }

    /// Evicts the session that has been silent for longest, or if there is none, idle for longest. Returns false if
    /// queries are running in all.
    ///
    /// Clients that connect and send nothing, or query once and stay, then do not keep others from connecting.
    pub fn evict_idle_session(&self) -> bool {
        self.registry.evict_idle_session()
    }

    /// Closes a connection for which there is no room, with an error that says so.
    pub fn reject(&self, socket: &TcpStream) {
        let mut out = WriteBuffer::default();
        backend::fatal_error(out.buffer(), FatalError::TooManyClients);
        let _ = socket.set_nonblocking(true);
        let _ = socket.set_nodelay(true);
        let _ = out.flush(socket);
        shut_down_output(socket);
        // A connection that is closed with bytes unread is reset, and the error lost.
        discard_input(socket);
    }

    /// Starts a session on a new connection, in a coroutine of its own.
    ///
    /// # Errors
    ///
    /// If the socket cannot be set up, or no coroutine can be started.
    pub fn admit(self: &Arc<Self>, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let stream = Arc::new(CoIo::new(socket).map_err(io::Error::from)?);
        let key = self.next_cancel_key();
        let started_at = Instant::now();
        let handle = Arc::new(SessionHandle::new(key.secret, &stream, initial_status(started_at)));
        self.registry.register(key.process, handle.clone());
        self.unread_connections.fetch_add(1, Ordering::Relaxed);
        let manager = self.clone();
        let spawned = task::spawn("session", move || {
            let mut session = Session::new(&manager, stream, handle, key, started_at);
            session.run();
            session.release();
            manager.registry.unregister(key.process);
        });
        if spawned.is_err() {
            self.first_read_done();
            self.registry.unregister(key.process);
        }
        spawned
    }

    /// A connection that was admitted has been read from for the first time.
    pub(super) fn first_read_done(&self) {
        self.unread_connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether a connection has come that has not been read from: it may carry a request to cancel a query.
    pub(super) fn has_unread_input(&self) -> bool {
        let is_pending = self.listener.upgrade().is_some_and(|listener| readable(listener.inner()));
        is_pending || self.unread_connections.load(Ordering::Relaxed) > 0
    }

    fn next_cancel_key(&self) -> CancelKey {
        let process = self.next_process.fetch_add(1, Ordering::Relaxed);
        let secret = oorandom::Rand32::new(self.seed ^ (u64::from(process) << 32)).rand_u32();
        CancelKey { process, secret }
    }
}
