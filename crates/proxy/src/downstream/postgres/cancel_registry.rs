//! The open sessions by their cancel keys. Through the registry other coroutines cancel a session's query,
//! wake the session or evict it.

use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Instant;

use may::io::{CoIo, WaitIo as _};

use super::frontend::CancelKey;
use crate::lock;
use crate::memory::relief::{self, HeldMemory};
use crate::stream::{Stream as _, Waker, peer_closed, readable};

/// The phase of a session. Eviction prefers lower phases and never evicts a busy session.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The startup message has not been accepted yet, or the session is being closed.
    StartingOrClosing,
    /// The session is waiting for a query.
    Idle,
    /// A query of the session is running.
    Busy,
}

/// The status that a session publishes in its handle.
#[derive(Clone, Copy)]
pub struct SessionStatus {
    /// The phase of the session.
    pub phase: Phase,
    /// Since when the session has made no progress. In [`Phase::StartingOrClosing`], since its incomplete
    /// message began, if it has one. Otherwise, since output was last written or was last not pending.
    pub no_progress_since: Instant,
    /// When the session must be woken to check its timeouts. `None` if no timeout is running.
    pub wake_at: Option<Instant>,
    /// What the session holds in memory.
    pub held: HeldMemory,
}

/// Why a session must close to free what it holds for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Eviction {
    /// The maximum number of sessions is open.
    TooManySessions = 1,
    /// The memory for messages or for requests is used up.
    OutOfMemory = 2,
}

/// Lets other coroutines cancel the query of a session, wake the session or evict it.
pub struct SessionHandle {
    secret_key: u32,
    cancel_requested: AtomicBool,
    /// The [`Eviction`] of the session; 0 if it is not evicted.
    eviction: AtomicU8,
    status: Mutex<SessionStatus>,
    /// Dangling once the session has ended.
    stream: Weak<CoIo<TcpStream>>,
    waker: Waker,
}

impl SessionHandle {
    /// Creates the handle of a session on `stream`, whose query is cancelled with `secret_key`.
    pub fn new(secret_key: u32, stream: &Arc<CoIo<TcpStream>>, status: SessionStatus) -> Self {
        SessionHandle {
            secret_key,
            cancel_requested: AtomicBool::new(false),
            eviction: AtomicU8::new(0),
            status: Mutex::new(status),
            stream: Arc::downgrade(stream),
            waker: stream.waker(),
        }
    }

    /// Publishes the status of the session.
    pub fn set_status(&self, status: SessionStatus) {
        *lock(&self.status) = status;
    }

    /// Why the session must close to free what it holds for others; `None` if it is not evicted.
    pub fn eviction(&self) -> Option<Eviction> {
        [Eviction::TooManySessions, Eviction::OutOfMemory]
            .into_iter()
            .find(|eviction| *eviction as u8 == self.eviction.load(Ordering::Relaxed))
    }

    /// Whether the session must close to free what it holds for others.
    pub fn is_evicted(&self) -> bool {
        self.eviction().is_some()
    }

    /// Makes the session close, and wakes it.
    fn evict(&self, eviction: Eviction) {
        self.eviction.store(eviction as u8, Ordering::Relaxed);
        self.waker.wakeup();
    }

    /// Whether a cancel request has arrived that the session has not processed yet.
    pub fn cancel_requested(&self) -> bool {
        self.cancel_requested.load(Ordering::Relaxed)
    }

    /// Clears the pending cancel request. Returns whether there was one, which the session must then process.
    pub fn take_cancel_request(&self) -> bool {
        self.cancel_requested.swap(false, Ordering::Relaxed)
    }

    /// Whether the client has closed its side of the connection, or the session has ended. Polls the socket.
    pub fn is_disconnected(&self) -> bool {
        self.stream.upgrade().is_none_or(|stream| peer_closed(stream.socket()))
    }

    /// Whether the connection has input that the session has not read. Polls the socket.
    pub fn has_unread_input(&self) -> bool {
        self.stream.upgrade().is_some_and(|stream| readable(stream.socket()))
    }

    /// Whether a query is running, or has arrived in full or in part. A session that is starting or closing,
    /// or that has unwritten output, counts too.
    fn has_query(&self) -> bool {
        let SessionStatus { phase, wake_at, .. } = *lock(&self.status);
        phase != Phase::Idle || wake_at.is_some() || self.has_unread_input()
    }

    /// Whether the session must be woken at `now` to check its timeouts.
    fn is_wake_due(&self, now: Instant) -> bool {
        lock(&self.status).wake_at.is_some_and(|wake_at| wake_at <= now)
    }
}

/// All open sessions, by process id.
#[derive(Default)]
pub struct CancelRegistry {
    /// Indexed by process id, the first half of a cancel key.
    sessions: Mutex<HashMap<u32, Arc<SessionHandle>>>,
}

impl CancelRegistry {
    /// Adds a session.
    pub fn register(&self, process_id: u32, handle: Arc<SessionHandle>) {
        lock(&self.sessions).insert(process_id, handle);
    }

    /// Removes a session.
    pub fn unregister(&self, process_id: u32) {
        lock(&self.sessions).remove(&process_id);
    }

    /// Returns the number of open sessions.
    pub fn len(&self) -> usize {
        lock(&self.sessions).len()
    }

    /// Cancels the query of the session with this key. Does nothing if the session has no query, because a cancel
    /// request does not apply to queries that arrive later. Returns false if there is no such session.
    pub fn cancel(&self, key: CancelKey) -> bool {
        let has_key = |handle: &&Arc<SessionHandle>| handle.secret_key == key.secret_key;
        let handle = lock(&self.sessions).get(&key.process_id).filter(has_key).cloned();
        let Some(handle) = handle else { return false };
        if handle.has_query() {
            handle.cancel_requested.store(true, Ordering::Relaxed);
            handle.waker.wakeup();
        }
        true
    }

    /// Wakes all sessions.
    pub fn wake_all(&self) {
        self.wake_where(|_| true);
    }

    /// Wakes the sessions that have a timeout to check.
    pub fn wake_due(&self) {
        let now = Instant::now();
        self.wake_where(|handle| handle.is_wake_due(now));
    }

    /// Wakes the sessions for which `condition` holds.
    fn wake_where(&self, condition: impl Fn(&SessionHandle) -> bool) {
        for handle in lock(&self.sessions).values().filter(|handle| condition(handle)) {
            handle.waker.wakeup();
        }
    }

    /// Evicts the session that has been starting or closing for longest or, if there is none, the one that
    /// has been idle for longest. Returns false if all sessions are busy or already evicted.
    pub fn evict_idle_session(&self) -> bool {
        let sessions = lock(&self.sessions);
        let candidates = sessions
            .values()
            .filter(|handle| !handle.is_evicted())
            .map(|handle| (*lock(&handle.status), handle))
            .filter(|(status, _)| status.phase != Phase::Busy);
        let Some((_, handle)) = candidates.min_by_key(|(status, _)| (status.phase, status.no_progress_since))
        else {
            return false;
        };
        handle.evict(Eviction::TooManySessions);
        true
    }

    /// Evicts the session with the oldest incomplete message, unless one that was evicted for its memory still
    /// holds some. Returns what the session holds; `None` if no session is evicted.
    pub fn evict_incomplete_message(&self) -> Option<HeldMemory> {
        let sessions = lock(&self.sessions);
        let is_being_relieved = |handle: &Arc<SessionHandle>| {
            handle.eviction() == Some(Eviction::OutOfMemory) && lock(&handle.status).held.input_bytes > 0
        };
        if sessions.values().any(is_being_relieved) {
            return None;
        }
        Self::evict_for_memory(relief::oldest_incomplete(Self::held_memory(&sessions))?)
    }

    /// Evicts the session whose client has not read its response for longest, if that is long enough. Returns
    /// what the session holds; `None` if no session is evicted.
    pub fn evict_slowest_reader(&self) -> Option<HeldMemory> {
        let sessions = lock(&self.sessions);
        Self::evict_for_memory(relief::slowest_reader(Self::held_memory(&sessions), Instant::now())?)
    }

    /// Returns the sessions that are not evicted, with what they hold.
    fn held_memory(
        sessions: &HashMap<u32, Arc<SessionHandle>>,
    ) -> impl Iterator<Item = (&Arc<SessionHandle>, HeldMemory)> {
        let remaining = sessions.values().filter(|handle| !handle.is_evicted());
        remaining.map(|handle| (handle, lock(&handle.status).held))
    }

    fn evict_for_memory(handle: &SessionHandle) -> Option<HeldMemory> {
        handle.evict(Eviction::OutOfMemory);
        Some(lock(&handle.status).held)
    }
}
