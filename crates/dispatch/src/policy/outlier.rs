//! Outlier ejection: engines that fail get no work for a while.

use super::*;

/// Consecutive failures at which an engine is ejected: a rejection, two failed connects, three resets or
/// errors that lie this many ms apart: those of one connection, or of one bad request, come at one moment.
pub const MAX_CONSECUTIVE_FAILURES: u32 = 3;
const FAILURE_INTERVAL: Millis = 100.0;
/// Failure share from which an engine is ejected, if it is twice the fleet's: fast failures draw more work.
const MAX_FAILURE_SHARE: f64 = 0.15;
/// ms of a first ejection, doubled with each further one up to the most.
pub const BASE_EJECTION_TIME: Millis = 250.0;
const MAX_EJECTION_TIME: Millis = 4_000.0;

impl EngineHealth {
    /// Another engine served a request that failed on this one.
    pub fn on_served_elsewhere(&mut self, now: Millis) {
        self.failure_share.add(1.0, now, ENGINE_HORIZON);
    }

    pub fn on_served(&mut self, now: Millis) {
        self.failure_share.add(0.0, now, ENGINE_HORIZON);
        self.consecutive_failures = 0;
        self.ejected_until = now;
    }

    /// Counts the end of an attempt that was not served, and returns for how long that ejects the engine, if
    /// it does. A connection that breaks now and then is the network's doing; failures in a row, with no
    /// answer between, are the engine's.
    pub fn on_failure(&mut self, outcome: Outcome, now: Millis) -> Option<Millis> {
        let failures = match outcome {
            Outcome::Rejected => MAX_CONSECUTIVE_FAILURES,
            Outcome::ConnectFailed => 2,
            Outcome::Reset | Outcome::Failed => u32::from(now - self.last_failure_at >= FAILURE_INTERVAL),
            Outcome::Served | Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => 0,
        };
        if failures == 0 {
            return None;
        }
        self.consecutive_failures += failures;
        self.last_failure_at = now;
        let doublings = (self.consecutive_failures / MAX_CONSECUTIVE_FAILURES).min(8).checked_sub(1)?;
        Some((BASE_EJECTION_TIME * f64::from(doublings).exp2()).min(MAX_EJECTION_TIME))
    }
}

impl Fleet {
    /// Counts the end of an attempt that was not served; a line for the log, if that ejects the engine.
    pub fn on_failure(&mut self, end: &AttemptEnd, now: Millis) -> Option<String> {
        let engine = self.engines.get_mut(&end.engine)?;
        let time = engine.health.on_failure(end.outcome, now)?;
        // Dispatchers that met one failure at one moment come back one after the other.
        let time = time * self.subset.drawn.rotation_slot(end.engine.0).stagger_factor();
        engine.health.ejected_until = now + time;
        if end.outcome == Outcome::ConnectFailed {
            // A process that comes back after this has just started, whenever the list says so.
            engine.warm_up = WarmUp::new(Some(now + time));
        }
        Some(format!("engine {}: ejected, {:?}", end.engine.0, end.outcome))
    }
}

/// The mean failure share of the fleet, which engines are compared with.
#[derive(Debug, Default)]
pub struct OutlierDetector(f64);

impl OutlierDetector {
    pub fn update(&mut self, engines: &Engines, now: Millis) {
        let shares = engines.values().map(|engine| engine.health.failure_share.shrunk(now, ENGINE_HORIZON));
        self.0 = shares.sum::<f64>() / engines.len().max(1) as f64;
    }

    /// Whether an engine takes work, by the list and by its failures.
    pub fn is_available(&self, engine: &Engine, now: Millis) -> bool {
        let share = || engine.health.failure_share.shrunk(now, ENGINE_HORIZON);
        engine.is_up() && now >= engine.health.ejected_until && share() <= MAX_FAILURE_SHARE.max(2.0 * self.0)
    }
}
