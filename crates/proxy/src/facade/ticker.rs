//! The thread that fires the facade's timers.

use std::sync::Mutex;
use std::thread::Thread;
use std::time::Duration;

use super::Facade;
use super::timers::ClockTime;
use crate::lock;

/// How long the ticker sleeps at most.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Wakes the ticker's thread when a timer is set that fires before the one it sleeps for.
pub struct Ticker {
    schedule: Mutex<Schedule>,
}

struct Schedule {
    /// None before the ticker runs.
    thread: Option<Thread>,
    wakes_at: ClockTime,
}

impl Ticker {
    /// A ticker that does not run yet.
    pub fn new() -> Self {
        Ticker { schedule: Mutex::new(Schedule { thread: None, wakes_at: ClockTime::NEVER }) }
    }

    /// Wakes the thread if it would sleep beyond `next`.
    pub fn wake_by(&self, next: ClockTime) {
        let schedule = lock(&self.schedule);
        if next < schedule.wakes_at {
            if let Some(thread) = &schedule.thread {
                thread.unpark();
            }
        }
    }

    fn set_thread(&self, thread: Thread) {
        lock(&self.schedule).thread = Some(thread);
    }

    /// Sets when the thread wakes. `next` is called with the schedule locked: a timer that is set in between would be
    /// compared with a time that is past, and wake nobody.
    fn plan(&self, next: impl FnOnce() -> ClockTime) -> ClockTime {
        let mut schedule = lock(&self.schedule);
        schedule.wakes_at = next();
        schedule.wakes_at
    }
}

impl<Upstream> Facade<Upstream> {
    /// Calls [`Facade::tick`] whenever a timer is due. Never returns, and blocks its thread, which must run no coroutine.
    pub fn run_ticker(&self) {
        self.ticker.set_thread(std::thread::current());
        loop {
            let now = ClockTime::from_millis(self.now());
            let next = self.ticker.plan(|| self.next_timer());
            if next > now {
                std::thread::park_timeout(next.since(now).min(MAX_SLEEP));
            }
            self.tick();
        }
    }
}
