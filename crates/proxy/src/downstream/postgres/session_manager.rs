//! Admits, evicts and ends client sessions.

use std::hash::{BuildHasher as _, RandomState};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use gaugestep_dispatch::interface::RequestId;
use may::io::CoIo;

use super::backend;
use super::cancel_registry::{CancelRegistry, SessionHandle};
use super::error::FatalError;
use super::frontend::CancelKey;
use super::session::{Session, initial_status};
use super::session_counts::SessionCounts;
use super::session_end::{SessionEnd, SessionEndPolicy, shut_down_output};
use crate::handover::HandoverPeer;
use crate::log_limit::LogLimit;
use crate::memory::MemoryAccount;
use crate::memory::relief::HeldMemory;
use crate::pacer::Pacer;
use crate::request_lifecycle::RequestHandler;
use crate::stream::{WriteBuffer, discard_input, readable};
use crate::{lock, task};

/// Interval at which one of the sessions runs that send without a pause.
const PACER_INTERVAL: Duration = Duration::from_millis(1);
/// Minimum interval between two evictions of sessions with incomplete messages, in which the evicted one frees
/// its memory.
const EVICTION_INTERVAL: Duration = Duration::from_millis(1);

/// State shared by all client sessions.
pub struct SessionManager {
    /// Runs the requests of the sessions.
    pub(super) handler: Arc<RequestHandler>,
    /// The handles of the open sessions.
    pub(super) registry: CancelRegistry,
    /// When the proxy ends the sessions.
    pub(super) end_policy: SessionEndPolicy,
    /// The longest message that a client may send, in bytes.
    pub(super) max_message_length: usize,
    /// The memory for input that is not processed yet.
    pub(super) message_memory: Arc<MemoryAccount>,
    /// Paces the sessions that need not wait for their sockets.
    pub(super) pacer: Pacer,
    counts: SessionCounts,
    eviction_log: LogLimit,
    /// When a session was last evicted because of its incomplete message.
    message_evicted_at: Mutex<Option<Instant>>,
    next_process_id: AtomicU32,
    /// Random for each process: a restarted process, or the other one of an upgrade, has the same seed in its
    /// configuration and numbers its sessions alike.
    cancel_key_seed: u64,
    /// The listening socket; dangling once it is closed.
    listener: Weak<CoIo<TcpListener>>,
    /// Number of admitted connections that have not been read from yet.
    unread_connections: AtomicUsize,
}

impl SessionManager {
    /// Creates a manager without sessions, whose requests run in `handler`. `seed` and the entropy of
    /// the system make cancel keys hard to guess. `max_message_length` is the longest message that a client may send, in bytes, and
    /// `message_memory` holds the input of all sessions.
    pub fn new(
        handler: Arc<RequestHandler>,
        seed: u64,
        max_message_length: usize,
        message_memory: Arc<MemoryAccount>,
        listener: &Arc<CoIo<TcpListener>>,
    ) -> Self {
        SessionManager {
            handler,
            registry: CancelRegistry::default(),
            end_policy: SessionEndPolicy::new(),
            max_message_length,
            message_memory,
            pacer: Pacer::new(PACER_INTERVAL),
            counts: SessionCounts::default(),
            eviction_log: LogLimit::default(),
            message_evicted_at: Mutex::default(),
            next_process_id: AtomicU32::new(1),
            cancel_key_seed: RandomState::new().hash_one(seed),
            listener: Arc::downgrade(listener),
            unread_connections: AtomicUsize::new(0),
        }
    }

    /// Returns the number of open sessions.
    pub fn session_count(&self) -> usize {
        self.registry.len()
    }

    /// Sets when the proxy ends its sessions from now on.
    pub fn set_session_end(&self, end: SessionEnd) {
        self.end_policy.set(end);
        self.registry.wake_all();
    }

    /// Wakes the sessions that have a timeout to check.
    pub fn wake_due_sessions(&self) {
        self.registry.wake_due();
    }

    /// Evicts the session that has been starting or closing for longest or, if there is none, the one that
    /// has been idle for longest. Returns false if all sessions are busy or already evicted.
    ///
    /// So clients that connect and send nothing, or that stay connected without queries, cannot keep other
    /// clients out.
    pub fn evict_idle_session(&self) -> bool {
        self.registry.evict_idle_session()
    }

    /// Evicts the session with the oldest incomplete message, because the memory for messages is used up. Does
    /// nothing while another session that was evicted for this reason still holds memory.
    pub(super) fn evict_incomplete_message(&self) {
        let now = Instant::now();
        let is_due = |at: Instant| now.saturating_duration_since(at) >= EVICTION_INTERVAL;
        let mut evicted_at = lock(&self.message_evicted_at);
        if evicted_at.is_none_or(is_due) {
            *evicted_at = Some(now);
            self.log_eviction(self.registry.evict_incomplete_message(), "incomplete message");
        }
    }

    /// Evicts the session whose client has not read its response for longest, because the memory for requests
    /// is used up.
    pub(super) fn evict_slowest_reader(&self) {
        self.log_eviction(self.registry.evict_slowest_reader(), "unread response");
    }

    fn log_eviction(&self, evicted: Option<HeldMemory>, cause: &'static str) {
        let Some(held) = evicted else { return };
        self.counts.record_eviction();
        if let Some(unlogged) = self.eviction_log.next_line(Instant::now()) {
            let input_bytes = held.input_bytes;
            tracing::warn!(cause, input_bytes, unlogged, "session evicted: memory is used up");
        }
    }

    /// Counts a session that ends with this error.
    pub(super) fn count_failure(&self, error: FatalError) {
        self.counts.record_failure(error);
    }

    /// Returns the numbers of open, evicted and failed sessions, as the JSON object that operators read.
    pub fn counts_json(&self) -> serde_json::Value {
        self.counts.to_json(self.session_count())
    }

    /// Returns the memory for input that is not processed yet.
    pub fn message_memory(&self) -> &Arc<MemoryAccount> {
        &self.message_memory
    }

    /// Rejects a connection because the maximum number of sessions is open: sends the error and closes the
    /// connection.
    pub fn reject(&self, socket: &TcpStream) {
        let mut out = WriteBuffer::default();
        backend::fatal_error(out.buffer(), FatalError::TooManyClients);
        let _ = socket.set_nonblocking(true);
        let _ = socket.set_nodelay(true);
        let _ = out.flush(socket);
        shut_down_output(socket);
        // Closing a connection with unread input resets it, and the client would lose the error.
        discard_input(socket);
    }

    /// Starts a session on a new connection, in a coroutine of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket cannot be configured or the coroutine cannot be started.
    pub fn admit(self: &Arc<Self>, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let stream = Arc::new(CoIo::new(socket).map_err(io::Error::from)?);
        let key = self.next_cancel_key();
        let started_at = Instant::now();
        let handle = Arc::new(SessionHandle::new(key.secret_key, &stream, initial_status(started_at)));
        self.registry.register(key.process_id, handle.clone());
        self.unread_connections.fetch_add(1, Ordering::Relaxed);
        let manager = self.clone();
        let spawned = task::spawn("session", move || {
            let mut session = Session::new(&manager, stream, handle, key, started_at);
            session.run();
            session.clean_up();
            manager.registry.unregister(key.process_id);
        });
        if spawned.is_err() {
            self.on_first_read();
            self.registry.unregister(key.process_id);
        }
        spawned
    }

    /// Records that an admitted connection has been read from for the first time, or that its session cannot
    /// be started.
    pub(super) fn on_first_read(&self) {
        self.unread_connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether a connection has arrived that has not been read from: it may carry a cancel request.
    pub(super) fn has_unread_input(&self) -> bool {
        let has_pending_accept = self.listener.upgrade().is_some_and(|listener| readable(listener.inner()));
        has_pending_accept || self.unread_connections.load(Ordering::Relaxed) > 0
    }

    /// Returns the cancel key of a new session: the next process id and a pseudorandom secret key.
    fn next_cancel_key(&self) -> CancelKey {
        let process_id = self.next_process_id.fetch_add(1, Ordering::Relaxed);
        let session_seed = self.cancel_key_seed ^ (u64::from(process_id) << 32);
        let secret_key = oorandom::Rand32::new(session_seed).rand_u32();
        CancelKey { process_id, secret_key }
    }
}

impl HandoverPeer for SessionManager {
    fn give_up(&self, id: &RequestId) -> bool {
        self.handler.facade.give_up(id)
    }

    fn cancel(&self, key: CancelKey) {
        self.registry.cancel(key);
    }
}
