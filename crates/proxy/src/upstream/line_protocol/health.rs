//! Judges from its silence whether a connection still works.

use std::time::{Duration, Instant};

use crate::termination::Termination;

/// A message of which a part has come must be complete within this time. Without that limit, a connection whose database
/// sent a length that is too long would never be silent: whatever followed would be taken for the body.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection with attempts that has been silent for this long is checked.
const HEALTH_CHECK_AFTER: Duration = Duration::from_millis(1_000);
/// It is closed if nothing comes within this time of the check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What has to be done about a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthAction {
    /// Nothing.
    None,
    /// Send a health check.
    SendCheck,
    /// Close it.
    Close(Termination),
}

/// When a connection was last read from, and what it is expected to send.
pub struct HealthMonitor {
    last_read: Instant,
    /// When the incomplete message began of which a part has come.
    partial_since: Option<Instant>,
    /// When the last health check was sent, if nothing has come since.
    check_sent_at: Option<Instant>,
}

impl HealthMonitor {
    /// The monitor of a connection that is established at `now`.
    pub fn new(now: Instant) -> Self {
        HealthMonitor { last_read: now, partial_since: None, check_sent_at: None }
    }

    /// Silence counts from `now` on, as the connection was not expected to send anything before.
    pub fn reset_silence(&mut self, now: Instant) {
        self.last_read = now;
    }

    /// Something was read at `now`.
    pub fn on_read(&mut self, now: Instant) {
        self.last_read = now;
        self.check_sent_at = None;
    }

    /// What was read has been parsed: whether a message was completed, and whether a part of another one is left.
    pub fn on_parsed(&mut self, has_completed: bool, has_partial: bool) {
        let since = self.partial_since.filter(|_| !has_completed);
        self.partial_since = has_partial.then(|| since.unwrap_or_else(Instant::now));
    }

    /// What has to be done at `now`. A connection without attempts is closed once it has been silent for `idle_timeout`.
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
