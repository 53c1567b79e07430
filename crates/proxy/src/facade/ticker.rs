//! The thread that fires the facade's timers.

use std::sync::Mutex;
use std::thread::Thread;
use std::time::Duration;

use super::Facade;
use super::timers::ClockTime;
use crate::lock;

/// The longest time that the ticker sleeps.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Wakes the ticker's thread when a timer is set that fires before the time until which the thread sleeps.
pub struct Ticker {
    schedule: Mutex<Schedule>,
}

struct Schedule {
    /// The ticker's thread; `None` before it runs.
    thread: Option<Thread>,
    /// Until when the thread sleeps: the time of the next timer when the sleep began.
    wakes_at: ClockTime,
}

impl Ticker {
    /// Creates a ticker whose thread does not run yet.
    pub fn new() -> Self {
        Ticker { schedule: Mutex::new(Schedule { thread: None, wakes_at: ClockTime::NEVER }) }
    }

    /// Wakes the thread if it would sleep past `next_timer_at`.
    pub fn wake_for(&self, next_timer_at: ClockTime) {
        let schedule = lock(&self.schedule);
        if next_timer_at < schedule.wakes_at {
            if let Some(thread) = &schedule.thread {
                thread.unpark();
            }
        }
    }

    fn set_thread(&self, thread: Thread) {
        lock(&self.schedule).thread = Some(thread);
    }

    /// Stores and returns the time at which the thread wakes, as returned by `next_timer_at`.
    ///
    /// `next_timer_at` is called with the schedule locked: a timer that is set between the two steps would be
    /// compared with the previous wake time, and would not wake the thread.
    fn plan_wake(&self, next_timer_at: impl FnOnce() -> ClockTime) -> ClockTime {
        let mut schedule = lock(&self.schedule);
        schedule.wakes_at = next_timer_at();
        schedule.wakes_at
    }
}

impl<Upstream> Facade<Upstream> {
    /// Calls [`Facade::tick`] whenever a timer is due. Never returns. Blocks its thread, so no coroutines may
    /// run on that thread.
    pub fn run_ticker(&self) {
        self.ticker.set_thread(std::thread::current());
        loop {
            let now = ClockTime::from_millis(self.now());
            let wakes_at = self.ticker.plan_wake(|| self.next_timer_at());
            if wakes_at > now {
                std::thread::park_timeout(wakes_at.since(now).min(MAX_SLEEP));
            }
            self.tick();
        }
    }
}
