//! Checks of the attempts that reach engines: none on an engine that drains, and no overload of one that
//! warms up.

use std::collections::{BTreeMap, BTreeSet};

use super::{Rules, SlowStartRule, Violation};
use crate::record::{Phase, Record};

/// Finds attempts that forwarders sent to engines after they had learned that these drain or are gone.
pub(super) fn check_draining(ordered: &[&Record], rules: &Rules) -> Vec<Violation> {
    let tolerance = rules.drain_grace_ms + rules.clock_skew_ms;
    let mut violations = Vec::new();
    let mut draining_since: BTreeMap<(&str, &str), f64> = BTreeMap::new();
    for record in ordered {
        match record {
            Record::EngineListed { via, engine, phase: Phase::Serving, .. } => {
                draining_since.remove(&(via.as_str(), engine.as_str()));
            }
            Record::EngineListed { at, via, engine, phase: Phase::Draining | Phase::Gone } => {
                draining_since.entry((via, engine)).or_insert(*at);
            }
            Record::AttemptStarted { at, engine, via, id, .. } => {
                let since = draining_since.get(&(via.as_str(), engine.as_str()));
                let delay_ms = since.map_or(0.0, |since| at - since);
                if delay_ms > tolerance {
                    let (id, engine) = (id.clone(), engine.clone());
                    violations.push(Violation::SentToDraining { id, engine, delay_ms });
                }
            }
            _ => {}
        }
    }
    violations
}

/// An engine that was started, and the work that it has received since.
struct WarmingEngine {
    started_at: f64,
    cores: f64,
    /// Arrival time and work of each attempt, in milliseconds.
    received: Vec<(f64, f64)>,
}

/// The work received and allowed in one window, in milliseconds on one core.
struct WindowLoad {
    received: f64,
    allowed: f64,
}

impl WarmingEngine {
    /// Adds work, and returns the load of the window that ends with it; `None` once the engine is warm.
    fn receive(&mut self, at: f64, work: f64, rule: &SlowStartRule) -> Option<WindowLoad> {
        let age = at - self.started_at;
        if age >= rule.warm_up_ms {
            return None;
        }
        self.received.push((at, work));
        let window = self.received.iter().filter(|(time, _)| at - time <= rule.window_ms);
        let received = window.map(|(_, work)| work).sum();
        let fraction = rule.initial_fraction + (1.0 - rule.initial_fraction) * age / rule.warm_up_ms;
        let allowed = rule.capacity_multiple * fraction * self.cores * rule.window_ms;
        Some(WindowLoad { received, allowed })
    }
}

/// Finds engines that received more work than the rule allows while they warmed up; each start is reported
/// once.
pub(super) fn check_slow_start(ordered: &[&Record], rule: &SlowStartRule) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut engines: BTreeMap<&str, WarmingEngine> = BTreeMap::new();
    let mut reported = BTreeSet::new();
    for record in ordered {
        match record {
            Record::EngineStarted { at, engine, cores } => {
                let warming = WarmingEngine { started_at: *at, cores: *cores, received: Vec::new() };
                engines.insert(engine, warming);
                reported.remove(engine.as_str());
            }
            Record::AttemptStarted { at, engine, work, .. } => {
                let Some(warming) = engines.get_mut(engine.as_str()) else { continue };
                let Some(load) = warming.receive(*at, *work, rule) else { continue };
                if load.received > load.allowed && reported.insert(engine.as_str()) {
                    let ratio = load.received / load.allowed;
                    violations.push(Violation::Overloaded { engine: engine.clone(), at: *at, ratio });
                }
            }
            _ => {}
        }
    }
    violations
}
