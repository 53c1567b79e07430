//! Limits how often a log line is written whose cause peers can repeat.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::lock;

/// Minimum interval between two lines.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Limits one log line to one per [`LOG_INTERVAL`].
#[derive(Debug, Default)]
pub struct LogLimit(Mutex<LogState>);

#[derive(Debug, Default)]
struct LogState {
    logged_at: Option<Instant>,
    /// Number of events since then that were not logged.
    unlogged: u64,
}

impl LogLimit {
    /// Returns how many events were not logged since the last line if a line may be written at `now`. Otherwise
    /// counts the event and returns `None`.
    pub fn next_line(&self, now: Instant) -> Option<u64> {
        let mut state = lock(&self.0);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LOG_INTERVAL;
        if state.logged_at.is_some_and(is_recent) {
            state.unlogged += 1;
            return None;
        }
        state.logged_at = Some(now);
        Some(std::mem::take(&mut state.unlogged))
    }
}
