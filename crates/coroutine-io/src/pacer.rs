//! Limits how much of the worker thread coroutines use that always have something to do.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::task;

/// Lets the coroutines that share it run one after the other, one per interval.
///
/// The scheduler looks for input of other connections only when no coroutine can run. If each of many busy
/// coroutines paused for a fixed time, one of them could always run, and all other connections would wait.
#[derive(Debug)]
pub struct Pacer {
    interval: Duration,
    /// Number of coroutines that pause now.
    pausing: AtomicUsize,
}

impl Pacer {
    /// Creates a pacer with this interval.
    pub const fn new(interval: Duration) -> Self {
        Pacer { interval, pausing: AtomicUsize::new(0) }
    }

    /// Suspends the calling coroutine for as many intervals as coroutines pause, itself included.
    pub fn pause(&self) {
        let pausing = self.pausing.fetch_add(1, Ordering::Relaxed) + 1;
        task::sleep(self.interval * u32::try_from(pausing).unwrap_or(u32::MAX));
        self.pausing.fetch_sub(1, Ordering::Relaxed);
    }
}
