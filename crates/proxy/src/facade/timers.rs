//! The facade's timers, and its clock in whole microseconds.

use std::collections::BTreeSet;
use std::time::Duration;

use gaugestep_dispatch::interface::{Millis, RequestId, TimerId};

/// A reading of the facade's clock, in whole microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClockTime(u64);

impl ClockTime {
    /// Later than any timer.
    pub const NEVER: Self = ClockTime(u64::MAX);

    /// The reading that corresponds to `at`, rounded up: a timer never fires before its time.
    pub fn from_millis(at: Millis) -> Self {
        ClockTime((at.max(0.0) * 1e3).ceil() as u64)
    }

    /// How long after `earlier` this is; zero if it is not.
    pub fn since(self, earlier: ClockTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Returns a time in milliseconds as a duration; zero if it is negative.
pub fn to_duration(time: Millis) -> Duration {
    Duration::from_secs_f64(time.max(0.0) / 1e3)
}

/// What happens when a timer fires. Timers that are due at one moment fire in this order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The deadline of a request.
    Deadline(RequestId),
    /// A timer of the dispatcher.
    Dispatcher(TimerId),
    /// The dispatcher looks at what is pending.
    RunPending,
}

/// The timers that are set, in the order in which they fire.
#[derive(Default)]
pub struct TimerQueue {
    timers: BTreeSet<(ClockTime, Timer)>,
}

impl TimerQueue {
    /// Sets a timer.
    pub fn set(&mut self, at: Millis, timer: Timer) {
        self.timers.insert((ClockTime::from_millis(at), timer));
    }

    /// Clears a timer that was set for `at`. A client may name a deadline an hour ahead, so the timer must go with its
    /// request.
    pub fn clear(&mut self, at: Millis, timer: Timer) {
        self.timers.remove(&(ClockTime::from_millis(at), timer));
    }

    /// When the next timer fires.
    pub fn next(&self) -> ClockTime {
        self.timers.first().map_or(ClockTime::NEVER, |(at, _)| *at)
    }

    /// Removes and returns the next timer if it is due.
    pub fn pop_due(&mut self, now: Millis) -> Option<Timer> {
        if self.next() > ClockTime::from_millis(now) {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }
}
