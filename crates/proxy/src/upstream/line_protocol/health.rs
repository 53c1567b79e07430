//! Decides from the time since the last read when a connection is checked or closed.

use std::time::{Duration, Instant};

use crate::termination::Termination;

/// Time in which a message must be completed once a part of it has been received. Without this limit, a
/// connection whose engine sent too large a body length would never count as silent, because all later bytes
/// would be read as the body.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Silence after which a connection with attempts is sent a health check.
const HEALTH_CHECK_AFTER: Duration = Duration::from_millis(1_000);
/// Time after a health check within which something must be received, or the connection is closed.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The action that a connection needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthAction {
    /// No action.
    None,
    /// Send a health check.
    SendCheck,
    /// Close the connection for this reason.
    Close(Termination),
}

/// Tracks when a connection was last read from and whether a message or a health check response is due.
pub struct HealthMonitor {
    last_read: Instant,
    /// When the first part of an incomplete message was parsed; `None` if no message is incomplete.
    partial_since: Option<Instant>,
    /// When the last health check was sent; `None` once anything has been read since.
    check_sent_at: Option<Instant>,
}

impl HealthMonitor {
    /// The monitor of a connection that was created at `now`.
    pub fn new(now: Instant) -> Self {
        HealthMonitor { last_read: now, partial_since: None, check_sent_at: None }
    }

    /// Counts silence from `now` on, because the engine had no reason to send anything before.
    pub fn reset_silence(&mut self, now: Instant) {
        self.last_read = now;
    }

    /// Records that something was read at `now`.
    pub fn on_read(&mut self, now: Instant) {
        self.last_read = now;
        self.check_sent_at = None;
    }

    /// Records the result of parsing: whether a message was completed, and whether the input ends inside a
    /// message.
    pub fn on_parsed(&mut self, has_completed: bool, has_partial: bool) {
        let since = self.partial_since.filter(|_| !has_completed);
        self.partial_since = has_partial.then(|| since.unwrap_or_else(Instant::now));
    }

    /// The action that is due at `now`. A connection without attempts is closed after `idle_timeout` of
    /// silence.
    pub fn check(&mut self, now: Instant, has_attempts: bool, idle_timeout: Duration) -> HealthAction {
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        let silence = elapsed(self.last_read);
        if self.partial_since.is_some_and(|since| elapsed(since) >= MESSAGE_TIMEOUT) {
            return HealthAction::Close(Termination::Garbled);
        }
        if !has_attempts {
            self.check_sent_at = None;
            let is_idle = silence >= idle_timeout;
            return if is_idle { HealthAction::Close(Termination::Closed) } else { HealthAction::None };
        }
        match self.check_sent_at {
            Some(sent_at) if elapsed(sent_at) >= HEALTH_CHECK_TIMEOUT => {
                HealthAction::Close(Termination::Silent)
            }
            None if silence >= HEALTH_CHECK_AFTER => {
                self.check_sent_at = Some(now);
                HealthAction::SendCheck
            }
            _ => HealthAction::None,
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/health.rs"]
mod tests;
