//! When the proxy ends sessions during a drain, and how it closes a connection without losing the last
//! output.
//!
//! Closing a connection with unread input resets it, and the client may lose output that it has not read
//! yet. So the proxy only shuts down its sending side first, and discards input until the client closes its
//! side or a deadline passes.

use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// Maximum time from the shutdown of the sending side to the close of the connection, while the client
/// keeps sending.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without input after which a connection is closed whose sending side has been shut down.
const CLOSE_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// When the proxy ends sessions. Each mode includes the ones before it.
#[derive(Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum SessionEnd {
    /// The proxy ends no session; clients end their sessions.
    Never,
    /// After the next response. The client sees the close together with the response, so it sends no
    /// further query that would be lost.
    AfterResponse,
    /// As soon as no query is running or buffered. The proxy accepts no new queries.
    WhenIdle,
}

/// The current [`SessionEnd`] mode, which all sessions share.
pub struct SessionEndPolicy(AtomicU8);

impl SessionEndPolicy {
    /// Creates a policy that ends no session.
    pub fn new() -> Self {
        SessionEndPolicy(AtomicU8::new(SessionEnd::Never as u8))
    }

    /// Sets when the proxy ends sessions from now on.
    pub fn set(&self, mode: SessionEnd) {
        self.0.store(mode as u8, Ordering::Relaxed);
    }

    /// Whether the current mode is `mode` or a later one, which includes it.
    pub fn includes(&self, mode: SessionEnd) -> bool {
        self.0.load(Ordering::Relaxed) >= mode as u8
    }
}

/// When a connection is closed whose sending side has been shut down, unless the client closes it earlier.
#[derive(Clone, Copy)]
pub struct CloseDeadlines {
    idle: Instant,
    max: Instant,
}

impl CloseDeadlines {
    /// Creates the deadlines of a connection whose sending side is shut down at `now`.
    pub fn new(now: Instant) -> Self {
        CloseDeadlines { idle: now + CLOSE_IDLE_TIMEOUT, max: now + CLOSE_TIMEOUT }
    }

    /// Extends the idle deadline, because the client sent something at `now`.
    pub fn extend_idle(&mut self, now: Instant) {
        self.idle = now + CLOSE_IDLE_TIMEOUT;
    }

    /// Returns the earlier of the two deadlines.
    pub fn next(self) -> Instant {
        self.idle.min(self.max)
    }
}

/// Shuts down the sending side of a connection. Ignores errors: they mean that the client has already
/// closed it.
pub fn shut_down_output(socket: &TcpStream) {
    let _ = socket.shutdown(Shutdown::Write);
}
