//! Chooses the session that gives way when an account is used up: the oldest incomplete message, or the client
//! that has not read its response for longest. A session whose query runs never gives way.

use std::time::{Duration, Instant};

/// Incomplete messages that hold fewer bytes are chosen only if there is no larger one.
const LARGE_MESSAGE_BYTES: usize = 8 * 1024;
/// Time without progress after which a client counts as one that does not read its response.
const SLOW_READER_TIME: Duration = Duration::from_secs(5);

/// What a session holds, as far as the choice depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldMemory {
    /// Since when an incomplete message is buffered; `None` if there is none.
    pub incomplete_since: Option<Instant>,
    /// The bytes of buffered input.
    pub input_bytes: usize,
    /// Since when no byte of the pending output was accepted; `None` if no output is pending.
    pub unread_since: Option<Instant>,
}

/// Returns the session with the oldest incomplete message that is worth closing; `None` if none has one.
pub fn oldest_incomplete<Id>(sessions: impl Iterator<Item = (Id, HeldMemory)>) -> Option<Id> {
    let incomplete = sessions.filter(|(_, held)| held.input_bytes > 0).filter_map(|(id, held)| {
        let is_small = held.input_bytes < LARGE_MESSAGE_BYTES;
        Some(((is_small, held.incomplete_since?), id))
    });
    incomplete.min_by_key(|(key, _)| *key).map(|(_, id)| id)
}

/// Returns the session whose client has not read its response for longest, if that is long enough.
pub fn slowest_reader<Id>(sessions: impl Iterator<Item = (Id, HeldMemory)>, now: Instant) -> Option<Id> {
    let is_slow = |since: &Instant| now.saturating_duration_since(*since) >= SLOW_READER_TIME;
    let unread = sessions.filter_map(|(id, held)| Some((held.unread_since.filter(is_slow)?, id)));
    unread.min_by_key(|(since, _)| *since).map(|(_, id)| id)
}

#[cfg(test)]
#[path = "../../tests/unit/memory_relief.rs"]
mod tests;
