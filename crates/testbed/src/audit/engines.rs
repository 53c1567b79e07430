//! Checks of what reaches engines: no new work for those that drain, and no overload while they warm up.

use std::collections::{BTreeMap, BTreeSet};

use super::{Rules, SlowStartRule, Violation};
use crate::record::{Phase, Record};

/// Finds work that was sent to engines which their forwarders knew to be draining or gone.
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
                let after = since.map_or(0.0, |since| at - since);
                if after > tolerance {
                    let (id, engine) = (id.clone(), engine.clone());
                    violations.push(Violation::SentToDraining { id, engine, after });
                }
            }
            _ => {}
        }
    }
    violations
}

/// An engine that has started, and what it received since.
struct WarmingEngine {
    started_at: f64,
    cores: f64,
    /// Times and work in milliseconds.
    received: Vec<(f64, f64)>,
}

/// Work in one window, in milliseconds on one core.
struct WindowLoad {
    received: f64,
    bearable: f64,
}

impl WarmingEngine {
    /// The window that ends with this work; `None` once the engine is warm.
    fn receive(&mut self, at: f64, work: f64, rule: &SlowStartRule) -> Option<WindowLoad> {
        let age = at - self.started_at;
        if age >= rule.warm_up_ms {
            return None;
        }
        self.received.push((at, work));
        let window = self.received.iter().filter(|(time, _)| at - time <= rule.window_ms);
        let received = window.map(|(_, work)| work).sum();
        let share = rule.initial_fraction + (1.0 - rule.initial_fraction) * age / rule.warm_up_ms;
        let bearable = rule.capacity_multiple * share * self.cores * rule.window_ms;
        Some(WindowLoad { received, bearable })
    }
}

/// Finds engines that received more than they can bear while they warmed up; each start is reported once.
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
                if load.received > load.bearable && reported.insert(engine.as_str()) {
                    let times = load.received / load.bearable;
                    violations.push(Violation::Overloaded { engine: engine.clone(), at: *at, times });
                }
            }
            _ => {}
        }
    }
    violations
}
