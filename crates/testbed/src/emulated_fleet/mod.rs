//! Emulated engines and engine lists on loopback for a fleet of proxies. Engines respond after the work that
//! a request names, and log each request that reaches them. Several engine lists let some proxies receive
//! changes late.

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
    /// The id that the client gave the request.
    pub id: String,
    /// The work that the statement of the request names, in milliseconds.
    pub work: f64,
    /// The time of the arrival, in milliseconds on the clock of the log.
    pub at: f64,
}

/// The requests that reached all engines, in the order of arrival, on one clock.
#[derive(Clone)]
pub struct ArrivalLog {
    started_at: Instant,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Default for ArrivalLog {
    fn default() -> Self {
        ArrivalLog { started_at: Instant::now(), arrivals: Arc::default() }
    }
}

impl ArrivalLog {
    /// Returns the milliseconds since the log was created.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1e3
    }

    /// Returns a copy of all arrivals so far.
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
