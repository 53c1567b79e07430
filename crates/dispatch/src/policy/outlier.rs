//! Outlier ejection: engines that fail are sent no requests for a while.

use super::ENGINE_HORIZON;
use crate::engines::{Engine, EngineHealth, Engines, Fleet, WarmUp};
use crate::interface::{AttemptEnd, Millis, Outcome};

/// Weighted number of consecutive failures at which an engine is ejected.
pub const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Weight of a rejection: a single one ejects the engine.
const REJECTION_WEIGHT: u32 = MAX_CONSECUTIVE_FAILURES;
/// Weight of a failed connect: two of them eject the engine.
const CONNECT_FAILURE_WEIGHT: u32 = 2;
/// An error or a reset counts only if it occurs at least this many milliseconds after the latest failure that
/// counted. Those of one connection, or of one malformed request, occur at the same moment.
const FAILURE_INTERVAL: Millis = 100.0;
/// Failure fraction above which an engine is ejected, if the fleet's mean is less than half as high. Without
/// this an engine that fails fast attracts more and more requests.
const MAX_FAILURE_FRACTION: f64 = 0.15;
/// An engine's failure fraction may be this many times the fleet's mean.
const FLEET_FAILURE_MULTIPLE: f64 = 2.0;
/// Duration of the first ejection in milliseconds; each further consecutive one lasts twice as long.
pub const BASE_EJECTION_TIME: Millis = 250.0;
/// Longest duration of an ejection in milliseconds.
const MAX_EJECTION_TIME: Millis = 4_000.0;
/// Upper bound of the number of consecutive ejections from which the duration is computed.
const MAX_EJECTIONS: u32 = 8;

impl EngineHealth {
    /// Counts an error: another engine has served the request that failed on this engine.
    pub fn on_served_elsewhere(&mut self, now: Millis) {
        self.failure_fraction.add(1.0, now, ENGINE_HORIZON);
    }

    /// Counts a served attempt, which resets the consecutive failures and ends an ejection.
    pub fn on_served(&mut self, now: Millis) {
        self.failure_fraction.add(0.0, now, ENGINE_HORIZON);
        self.consecutive_failures = 0;
        self.ejected_until = now;
    }

    /// Counts an attempt that ended without being served. Returns how long the engine is ejected for it, or
    /// `None` if it is not. A single broken connection is attributed to the network; failures in a row, with
    /// no served attempt between them, are attributed to the engine.
    pub fn on_failure(&mut self, outcome: Outcome, now: Millis) -> Option<Millis> {
        let weight = match outcome {
            Outcome::Rejected => REJECTION_WEIGHT,
            Outcome::ConnectFailed => CONNECT_FAILURE_WEIGHT,
            Outcome::Reset | Outcome::Failed => u32::from(now - self.last_failure_at >= FAILURE_INTERVAL),
            Outcome::Served | Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => 0,
        };
        if weight == 0 {
            return None;
        }
        self.consecutive_failures += weight;
        self.last_failure_at = now;
        let ejections = (self.consecutive_failures / MAX_CONSECUTIVE_FAILURES).min(MAX_EJECTIONS);
        let doublings = ejections.checked_sub(1)?;
        let duration = BASE_EJECTION_TIME * f64::from(doublings).exp2();
        Some(duration.min(MAX_EJECTION_TIME))
    }
}

impl Fleet {
    /// Counts an attempt that ended without being served, and ejects the engine if it has failed too often.
    /// Returns the log line of an ejection.
    pub fn on_failure(&mut self, end: &AttemptEnd, now: Millis) -> Option<String> {
        let engine = self.engines.get_mut(&end.engine)?;
        let base_duration = engine.health.on_failure(end.outcome, now)?;
        // Staggers the dispatchers that saw the same failure, so that they do not all return to the engine at
        // once.
        let rotation_slot = self.subset.drawn.rotation_slot(end.engine.0);
        let duration = base_duration * rotation_slot.stagger_factor();
        engine.health.ejected_until = now + duration;
        if end.outcome == Outcome::ConnectFailed {
            // An engine that accepts connections again after this has just started, even if the list does not
            // say so.
            engine.warm_up = WarmUp::new(Some(now + duration));
        }
        Some(format!("engine {}: ejected, {:?}", end.engine.0, end.outcome))
    }
}

/// Compares the failure fractions of engines with the fleet's mean.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    /// The mean failure fraction of the fleet, from 0 to 1, as of the latest update.
    mean_failure_fraction: f64,
}

impl OutlierDetector {
    /// Recomputes the mean failure fraction of the fleet.
    pub fn update(&mut self, engines: &Engines, now: Millis) {
        let fractions = engines.values().map(|engine| failure_fraction(engine, now));
        self.mean_failure_fraction = fractions.sum::<f64>() / engines.len().max(1) as f64;
    }

    /// Whether an engine may be sent requests: the endpoint list says that it accepts them, it is not
    /// ejected, and its failure fraction is not an outlier.
    pub fn is_available(&self, engine: &Engine, now: Millis) -> bool {
        let max_fraction = MAX_FAILURE_FRACTION.max(FLEET_FAILURE_MULTIPLE * self.mean_failure_fraction);
        engine.is_up() && now >= engine.health.ejected_until && failure_fraction(engine, now) <= max_fraction
    }
}

/// The fraction of an engine's recent responses that were errors, from 0 to 1; close to 0 if there were few.
fn failure_fraction(engine: &Engine, now: Millis) -> f64 {
    engine.health.failure_fraction.shrunk_to_zero(now, ENGINE_HORIZON)
}
