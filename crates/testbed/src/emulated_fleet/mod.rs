//! Emulated services on loopback for a fleet of proxies, and records of what reached them: engines that answer after the
//! work that a request names, and the list of engines, which can reach some proxies late.

mod engine;
mod engine_list;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

pub use engine::{EmulatedEngine, named_work};
pub use engine_list::EngineList;

/// A complete request that reached an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The engine.
    pub engine: String,
    /// The request's id as its client named it.
    pub id: String,
    /// The work that its statement names, in milliseconds.
    pub work: f64,
    /// Milliseconds on the clock of the log.
    pub at: f64,
}

/// What reached all engines, in the order of arrival, on one clock.
#[derive(Clone)]
pub struct ArrivalLog {
    began: Instant,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Default for ArrivalLog {
    fn default() -> Self {
        ArrivalLog { began: Instant::now(), arrivals: Arc::default() }
    }
}

impl ArrivalLog {
    /// Milliseconds on the clock of the log.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    /// All that arrived so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }

    fn push(&self, arrival: Arrival) {
        lock(&self.arrivals).push(arrival);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
