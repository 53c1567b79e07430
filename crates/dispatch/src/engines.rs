//! Plain records of engines; nothing is decided here.

use std::collections::{BTreeMap, VecDeque};

use gaugestep_subsetting::slow_start::SlowStartBudget;
use gaugestep_subsetting::subset::Subset;

use crate::interface::{EngineEntry, EngineId, FleetPosition, Millis, Readiness};
use crate::policy::OutlierDetector;
use crate::stats::{InFlightLoad, Level, Mean};

/// The listed engines by id.
pub type Engines = BTreeMap<EngineId, Engine>;

/// One engine.
#[derive(Debug, Default)]
pub struct Engine {
    /// Its line of the list.
    pub entry: EngineEntry,
    /// Its failures.
    pub health: EngineHealth,
    /// Its warm-up.
    pub warm_up: WarmUp,
    /// What this dispatcher has in flight there.
    pub own: InFlightLoad,
    /// Queries that other dispatchers have in flight there, by its reports.
    pub reported_others: Mean,
    /// The mean logarithm of run times over what their classes usually take.
    pub slowness: Mean,
}

impl Engine {
    /// An engine that started at this time, if that was not long ago.
    pub fn new(entry: EngineEntry, started_at: Option<Millis>) -> Self {
        Engine { entry, warm_up: WarmUp::new(started_at), ..Engine::default() }
    }

    /// Whether it takes work by the list.
    pub fn is_up(&self) -> bool {
        self.entry.readiness == Readiness::Up
    }
}

/// The failures of one engine.
#[derive(Debug, Default)]
pub struct EngineHealth {
    /// The share of its answers that were errors to requests which another engine then served.
    pub failure_share: Mean,
    /// Failures since the last answer, by weight.
    pub consecutive_failures: u32,
    /// When the last of them was counted.
    pub last_failure_at: Millis,
    /// It gets no work until then.
    pub ejected_until: Millis,
}

/// The warm-up of one engine.
#[derive(Debug, Default)]
pub struct WarmUp {
    /// When it started; none if that was long ago.
    pub started_at: Option<Millis>,
    /// What this dispatcher may send it meanwhile.
    pub budget: SlowStartBudget,
}

impl WarmUp {
    /// The warm-up of an engine that started at this time, with its budget untouched.
    pub fn new(started_at: Option<Millis>) -> Self {
        WarmUp { started_at, budget: SlowStartBudget::default() }
    }
}

/// All engines, and what compares them.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The listed engines.
    pub engines: Engines,
    /// Which of them are ejected.
    pub outliers: OutlierDetector,
    /// What is in flight on them.
    pub loads: LoadTracker,
    /// Which of them this dispatcher draws from.
    pub subset: EngineSubset,
}

/// What is in flight on the fleet.
#[derive(Debug, Default)]
pub struct LoadTracker {
    /// The engines that reported last.
    pub reporters: VecDeque<EngineId>,
    /// Other dispatchers' queries for each core, on the fleet's average.
    pub crowd: Level,
    /// What queries in flight take up, weighted by their time there.
    pub typical: InFlightLoad,
}

/// The engines that a dispatcher draws from.
#[derive(Debug, Default)]
pub struct EngineSubset {
    /// The position by a roster, if there was one.
    pub granted: Option<GrantedPosition>,
    /// The subset as drawn from the list.
    pub drawn: Subset,
    /// The members drawn from for now.
    pub members: Vec<EngineId>,
    /// When they are to be chosen again.
    pub refresh_at: Millis,
}

impl EngineSubset {
    /// The position at this time: the one by a roster while that holds, else the one by the settings.
    pub fn position(&self, now: Millis, by_settings: FleetPosition) -> FleetPosition {
        let granted = self.granted.filter(|granted| now < granted.until);
        granted.map_or(by_settings, |granted| granted.position)
    }
}

/// A position by a roster.
#[derive(Clone, Copy, Debug)]
pub struct GrantedPosition {
    /// The position.
    pub position: FleetPosition,
    /// It holds before this time.
    pub until: Millis,
}

/// An engine that may take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub engine: EngineId,
    /// The least is best.
    pub score: f64,
}
