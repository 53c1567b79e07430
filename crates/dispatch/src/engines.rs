//! Data structures for engines. The decisions that use them are in [`crate::policy`].

use std::collections::{BTreeMap, VecDeque};

use gaugestep_subsetting::slow_start::SlowStartBudget;
use gaugestep_subsetting::subset::Subset;

use crate::interface::{EngineEntry, EngineId, FleetPosition, Millis, Readiness};
use crate::policy::OutlierDetector;
use crate::stats::{DecayingMean, InFlightLoad, SmoothedValue};

/// The listed engines by id.
pub type Engines = BTreeMap<EngineId, Engine>;

/// One engine.
#[derive(Debug, Default)]
pub struct Engine {
    /// Its entry in the endpoint list.
    pub entry: EngineEntry,
    /// Its recent failures, and its ejection.
    pub health: EngineHealth,
    /// Its slow start.
    pub warm_up: WarmUp,
    /// The load of this dispatcher's own queries in flight on it.
    pub own_load: InFlightLoad,
    /// Queries that other dispatchers have in flight on it, by its load reports.
    pub reported_queries_of_other_dispatchers: DecayingMean,
    /// Mean natural logarithm of its run times over the mean run times of their classes.
    pub log_slowness: DecayingMean,
}

impl Engine {
    /// An engine without history. `started_at` is when it started; `None` if it counts as warmed up.
    pub fn new(entry: EngineEntry, started_at: Option<Millis>) -> Self {
        Engine { entry, warm_up: WarmUp::new(started_at), ..Engine::default() }
    }

    /// Whether the endpoint list says that the engine accepts requests.
    pub fn is_up(&self) -> bool {
        self.entry.readiness == Readiness::Up
    }
}

/// The failures and the ejection of one engine.
#[derive(Debug, Default)]
pub struct EngineHealth {
    /// The fraction of its responses that were errors to requests which another engine then served.
    pub failure_fraction: DecayingMean,
    /// Weighted number of failures since the last served attempt.
    pub consecutive_failures: u32,
    /// When the latest of them was counted.
    pub last_failure_at: Millis,
    /// The engine is ejected before this time.
    pub ejected_until: Millis,
}

/// The slow start of one engine.
#[derive(Debug, Default)]
pub struct WarmUp {
    /// When the engine started; `None` if that is unknown, so that it counts as warmed up.
    pub started_at: Option<Millis>,
    /// What this dispatcher may send to the engine while it warms up.
    pub budget: SlowStartBudget,
}

impl WarmUp {
    /// The slow start of an engine that started at this time, with nothing sent yet; no slow start if `None`.
    pub fn new(started_at: Option<Millis>) -> Self {
        WarmUp { started_at, budget: SlowStartBudget::default() }
    }
}

/// All engines, and the statistics that compare them.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The listed engines.
    pub engines: Engines,
    /// Detects the engines that fail more often than the rest.
    pub outliers: OutlierDetector,
    /// The load of the queries in flight.
    pub loads: LoadTracker,
    /// The engines that this dispatcher sends to.
    pub subset: EngineSubset,
}

/// The load of the queries in flight on the fleet.
#[derive(Debug, Default)]
pub struct LoadTracker {
    /// The engines whose load reports came last, the latest one at the back.
    pub reporters: VecDeque<EngineId>,
    /// Mean queries in flight per core over the fleet. Where engines report their load it counts the queries
    /// of other dispatchers only; where none does it is an estimate for all dispatchers together.
    pub fleet_queries_per_core: SmoothedValue,
    /// Exponential moving average of the demands of ended attempts, each multiplied by its milliseconds in
    /// flight. Threads over queries and memory over queries are the means of the typical query in flight.
    pub weighted_demands: InFlightLoad,
}

/// The engines that a dispatcher sends to.
#[derive(Debug, Default)]
pub struct EngineSubset {
    /// The position that a roster assigned to this dispatcher last; `None` if there was no roster.
    pub assigned: Option<AssignedPosition>,
    /// The subset as drawn from the listed engines.
    pub drawn: Subset,
    /// The members of the subset that were available when it was last refreshed.
    pub available_members: Vec<EngineId>,
    /// When the available members are to be chosen again.
    pub refresh_at: Millis,
}

/// A position of this dispatcher in the fleet, as assigned by a roster.
#[derive(Clone, Copy, Debug)]
pub struct AssignedPosition {
    /// The position.
    pub position: FleetPosition,
    /// The position is valid before this time.
    pub until: Millis,
}

/// An engine that a request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub engine: EngineId,
    /// Its score; the lowest one is preferred. Until the score is computed, the random factor in it.
    pub score: f64,
}
