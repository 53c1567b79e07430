//! How the proxy ends its sessions as it drains, and how a connection is closed without losing what was written last.
//!
//! A connection that is closed with bytes unread is reset, and the client may lose what was sent before. So only the
//! sending side is shut down; what the client still sends is discarded until it closes too, or a deadline passes.

use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// How long a client may go on sending after the sending side of its connection has been shut down.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long it may be silent then.
const CLOSE_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// When sessions end.
#[derive(Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum SessionEnd {
    /// When their clients end them.
    Never,
    /// After their next answer. A client that reads the answer sees the close, and sends no query that crosses it.
    AfterResponse,
    /// As soon as nothing is open in them. No new query is accepted.
    WhenIdle,
}

/// The [`SessionEnd`] that applies to all sessions, as each of them looks it up.
pub struct SessionEndPolicy(AtomicU8);

impl SessionEndPolicy {
    /// A policy that ends no session.
    pub fn new() -> Self {
        SessionEndPolicy(AtomicU8::new(SessionEnd::Never as u8))
    }

    /// Sets when sessions end from now on.
    pub fn set(&self, end: SessionEnd) {
        self.0.store(end as u8, Ordering::Relaxed);
    }

    /// Whether sessions end at `end` or at an earlier occasion.
    pub fn applies(&self, end: SessionEnd) -> bool {
        self.0.load(Ordering::Relaxed) >= end as u8
    }
}

/// When a connection is closed whose sending side has been shut down, unless its client closes it before.
#[derive(Clone, Copy)]
pub struct CloseDeadlines {
    idle: Instant,
    last: Instant,
}

impl CloseDeadlines {
    /// The deadlines of a connection that is shut down at `now`.
    pub fn new(now: Instant) -> Self {
        CloseDeadlines { idle: now + CLOSE_IDLE_TIMEOUT, last: now + CLOSE_TIMEOUT }
    }

    /// The client sent something at `now`.
    pub fn extend(&mut self, now: Instant) {
        self.idle = now + CLOSE_IDLE_TIMEOUT;
    }

    /// The earlier of the deadlines.
    pub fn next(self) -> Instant {
        self.idle.min(self.last)
    }
}

/// Shuts the sending side of a connection down. A failure means that the client has closed it already.
pub fn shut_down_output(socket: &TcpStream) {
    let _ = socket.shutdown(Shutdown::Write);
}
