//! The facade's timers, with times in whole microseconds.

use std::collections::BTreeSet;
use std::time::Duration;

use gaugestep_dispatch::interface::{Millis, RequestId, TimerId};

/// A time on the facade's clock in whole microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClockTime(u64);

impl ClockTime {
    /// A time after every timer.
    pub const NEVER: Self = ClockTime(u64::MAX);

    /// Converts a time in milliseconds, rounded up so that no timer fires early.
    pub fn from_millis(time: Millis) -> Self {
        ClockTime((time.max(0.0) * 1e3).ceil() as u64)
    }

    /// Returns the time that has passed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: ClockTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Converts a time span in milliseconds to a duration; negative values become zero.
pub fn to_duration(time: Millis) -> Duration {
    Duration::from_secs_f64(time.max(0.0) / 1e3)
}

/// The action of a timer. Timers with the same time fire in the order of the variants.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The deadline of a request expires.
    Deadline(RequestId),
    /// A timer that the dispatcher has asked for expires.
    Dispatcher(TimerId),
    /// [`Dispatcher::run_pending`](gaugestep_dispatch::Dispatcher::run_pending) is due.
    RunPending,
}

/// All timers that are set, in the order in which they fire.
#[derive(Default)]
pub struct TimerQueue {
    timers: BTreeSet<(ClockTime, Timer)>,
}

impl TimerQueue {
    /// Sets a timer that fires at `fires_at`.
    pub fn set(&mut self, fires_at: Millis, timer: Timer) {
        self.timers.insert((ClockTime::from_millis(fires_at), timer));
    }

    /// Clears a timer that was set for `fires_at`. The deadline of a request must be cleared when the request
    /// ends: clients may set deadlines an hour ahead, and the timers of finished requests would accumulate.
    pub fn clear(&mut self, fires_at: Millis, timer: Timer) {
        self.timers.remove(&(ClockTime::from_millis(fires_at), timer));
    }

    /// Returns the time at which the next timer fires, or [`ClockTime::NEVER`] if none is set.
    pub fn next_at(&self) -> ClockTime {
        self.timers.first().map_or(ClockTime::NEVER, |(fires_at, _)| *fires_at)
    }

    /// Removes and returns the next timer if it is due.
    pub fn pop_due(&mut self, now: Millis) -> Option<Timer> {
        if self.next_at() > ClockTime::from_millis(now) {
            return None;
        }
        self.timers.pop_first().map(|(_, timer)| timer)
    }
}
