//! The open sessions by their cancel keys: through the registry others cancel a session's query, wake it or evict it.

use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Instant;

use may::io::{CoIo, WaitIo as _};

use super::frontend::CancelKey;
use crate::lock;
use crate::stream::{Stream as _, Waker, peer_closed, readable};

/// What a session is doing, in the order in which sessions are evicted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It has not been started by its client, or is being closed.
    Silent,
    /// It is waiting for a query.
    Idle,
    /// Its query is running.
    Busy,
}

/// What a session shows of itself to others.
#[derive(Clone, Copy)]
pub struct SessionStatus {
    /// What it is doing.
    pub phase: Phase,
    /// Since when.
    pub since: Instant,
    /// When it has to be woken to check its timeouts.
    pub due: Option<Instant>,
}

/// How others reach a session.
pub struct SessionHandle {
    secret: u32,
    cancel_requested: AtomicBool,
    evicted: AtomicBool,
    status: Mutex<SessionStatus>,
    /// Gone once the session has ended.
    stream: Weak<CoIo<TcpStream>>,
    waker: Waker,
}

impl SessionHandle {
    /// The handle of a session with this secret on `stream`.
    pub fn new(secret: u32, stream: &Arc<CoIo<TcpStream>>, status: SessionStatus) -> Self {
        SessionHandle {
            secret,
            cancel_requested: AtomicBool::new(false),
            evicted: AtomicBool::new(false),
            status: Mutex::new(status),
            stream: Arc::downgrade(stream),
            waker: stream.waker(),
        }
    }

    /// Sets what the session shows of itself.
    pub fn set_status(&self, status: SessionStatus) {
        *lock(&self.status) = status;
    }

    /// Whether the session has been asked to close, to make room for another.
    pub fn is_evicted(&self) -> bool {
        self.evicted.load(Ordering::Relaxed)
    }

    /// Whether a cancel request has come that the session has not yet dealt with.
    pub fn cancel_requested(&self) -> bool {
        self.cancel_requested.load(Ordering::Relaxed)
    }

    /// Takes the cancel request that has come, if any; the session deals with it now.
    pub fn take_cancel_request(&self) -> bool {
        self.cancel_requested.swap(false, Ordering::Relaxed)
    }

    /// Whether the client has closed its side of the connection, or the session has ended. Asks the operating system.
    pub fn is_disconnected(&self) -> bool {
        self.stream.upgrade().is_none_or(|stream| peer_closed(stream.socket()))
    }

    /// Whether a query is running or has come, in full or in part.
    fn has_query(&self) -> bool {
        let SessionStatus { phase, due, .. } = *lock(&self.status);
        let has_input = || self.stream.upgrade().is_some_and(|stream| readable(stream.socket()));
        phase != Phase::Idle || due.is_some() || has_input()
    }

    fn is_due(&self, now: Instant) -> bool {
        lock(&self.status).due.is_some_and(|due| due <= now)
    }
}

/// All open sessions.
#[derive(Default)]
pub struct CancelRegistry {
    /// By number, the first half of a cancel key.
    sessions: Mutex<HashMap<u32, Arc<SessionHandle>>>,
}

impl CancelRegistry {
    /// Adds a session.
    pub fn register(&self, process: u32, handle: Arc<SessionHandle>) {
        lock(&self.sessions).insert(process, handle);
    }

    /// Removes a session.
    pub fn unregister(&self, process: u32) {
        lock(&self.sessions).remove(&process);
    }

    /// How many sessions are open.
    pub fn len(&self) -> usize {
        lock(&self.sessions).len()
    }

    /// Cancels the query of the session with this key. Without effect if there is no such session, or no query in it: a
    /// cancel request does not apply to queries that come later.
    pub fn cancel(&self, key: CancelKey) {
        let handle =
            lock(&self.sessions).get(&key.process).filter(|handle| handle.secret == key.secret).cloned();
        if let Some(handle) = handle.filter(|handle| handle.has_query()) {
            handle.cancel_requested.store(true, Ordering::Relaxed);
            handle.waker.wakeup();
        }
    }

    /// Wakes all sessions.
    pub fn wake_all(&self) {
        self.wake(|_| true);
    }

    /// Wakes the sessions that have a timeout to check.
    pub fn wake_due(&self) {
        let now = Instant::now();
        self.wake(|handle| handle.is_due(now));
    }

    fn wake(&self, which: impl Fn(&SessionHandle) -> bool) {
        for handle in lock(&self.sessions).values().filter(|handle| which(handle)) {
            handle.waker.wakeup();
        }
    }

    /// Evicts the session that has been silent for longest, or if there is none, idle for longest. Returns false if
    /// queries are running in all.
    pub fn evict_idle_session(&self) -> bool {
        let sessions = lock(&self.sessions);
        let candidates = sessions
            .values()
            .filter(|handle| !handle.is_evicted())
            .map(|handle| (*lock(&handle.status), handle))
            .filter(|(status, _)| status.phase != Phase::Busy);
        let Some((_, handle)) = candidates.min_by_key(|(status, _)| (status.phase, status.since)) else {
            return false;
        };
        handle.evicted.store(true, Ordering::Relaxed);
        handle.waker.wakeup();
        true
    }
}
