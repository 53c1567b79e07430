//! The fleet of engines, and the subset of them that this dispatcher sends to, which limits its connections.

use gaugestep_subsetting::subset::{CandidateEngine, Subset};

use super::load::MAX_REPORTERS;
use super::outlier::BASE_EJECTION_TIME;
use super::{ENGINE_HORIZON, WorkEstimator};
use crate::dispatcher::Context;
use crate::engines::{Engine, EngineSubset, Fleet};
use crate::interface::{EngineEntry, EngineId, FleetPosition, Millis, Readiness};
use crate::requests::Requests;
use crate::stats::InFlightLoad;

/// Up to this many dispatchers, each compares all engines for a request. With more of them, each compares a
/// few engines of its subset.
pub const MAX_DISPATCHERS_COMPARING_ALL: usize = 4;
/// Number of members of the subset that are drawn at random for a comparison, besides the engines that
/// reported last.
pub const RANDOM_CANDIDATES: usize = 2;
/// Number of engines in the subset.
const SUBSET_SIZE: usize = 8;
/// Milliseconds after which the available members of the subset are chosen again. It is the mean duration of
/// a first ejection.
const SUBSET_REFRESH_INTERVAL: Millis = BASE_EJECTION_TIME;
/// Lower bound of an engine's slowness.
const MIN_SLOWNESS: f64 = 0.5;
/// Upper bound of an engine's slowness, so that a few slow runs do not stop all traffic to it.
const MAX_SLOWNESS: f64 = 10.0;

impl EngineSubset {
    /// This dispatcher's position in the fleet: the one assigned by a roster while it is valid, else the one
    /// from the settings.
    pub fn position(&self, now: Millis, from_settings: FleetPosition) -> FleetPosition {
        let valid = self.assigned.filter(|assigned| now < assigned.until);
        valid.map_or(from_settings, |assigned| assigned.position)
    }
}

impl Fleet {
    /// Applies entries of the endpoint list and draws the subset again. Engines that are missing from a
    /// complete list are removed, and an engine with a new start time loses its history.
    pub fn on_engine_list(&mut self, context: &Context, entries: Vec<EngineEntry>, complete: bool) {
        if complete {
            self.engines.values_mut().for_each(|engine| engine.entry.readiness = Readiness::Gone);
        }
        for entry in entries {
            // An engine that is added by a change has just started, even if its entry has no start time.
            let started_at = entry.started_at.or((!complete).then_some(context.now));
            let engine = self.engines.entry(entry.engine).or_insert_with(|| Engine::new(entry, started_at));
            let restarted = entry.started_at.is_some() && entry.started_at != engine.entry.started_at;
            if restarted {
                *engine = Engine::new(entry, entry.started_at);
            }
            engine.entry = entry;
        }
        self.engines.retain(|_, engine| engine.entry.readiness != Readiness::Gone);
        self.draw_subset(context);
    }

    /// Recomputes what placement compares: each engine's load of own queries, the available members of the
    /// subset, and the fleet's means of failures and load.
    pub fn update_statistics(&mut self, context: &Context, requests: &Requests, work: &WorkEstimator) {
        self.engines.values_mut().for_each(|engine| engine.own_load = InFlightLoad::default());
        if context.now >= self.subset.refresh_at {
            let is_available = |engine: &&Engine| self.outliers.is_available(engine, context.now);
            self.subset.available_members = self.subset_members(is_available);
            self.subset.refresh_at = context.now + SUBSET_REFRESH_INTERVAL;
        }
        for request in requests.values() {
            let demand = work.demand(context, &request.new);
            for (_, attempt) in request.running() {
                let engine = self.engines.entry(attempt.engine);
                engine.and_modify(|engine| engine.own_load.add_scaled(demand, 1.0));
            }
        }
        self.outliers.update(&self.engines, context.now);
        let is_available = |engine: &&Engine| self.outliers.is_available(engine, context.now);
        self.loads.update_mean(context, self.engines.values().filter(is_available));
    }

    /// The factor by which queries run slower on an engine than on the fleet's average, from 0.5 to 10; 1 for
    /// an unknown engine.
    pub fn slowness(&self, id: EngineId, now: Millis) -> f64 {
        let engine = self.engines.get(&id);
        let log_slowness =
            engine.map_or(0.0, |engine| engine.log_slowness.shrunk_to_zero(now, ENGINE_HORIZON));
        log_slowness.exp().clamp(MIN_SLOWNESS, MAX_SLOWNESS)
    }

    /// Draws the subset again from the engines that accept requests according to the endpoint list. It
    /// contains all of them unless this dispatcher sends to a subset only.
    pub fn draw_subset(&mut self, context: &Context) {
        let listed = self.engines.values().filter(|engine| engine.is_up()).map(|engine| &engine.entry);
        let to_member =
            |entry: &EngineEntry| entry.candidate_engine(context.settings.machine_type(entry).cores);
        let members: Vec<CandidateEngine> = listed.map(to_member).collect();
        let size = if self.uses_subset(context) { SUBSET_SIZE } else { usize::MAX };
        let position = self.subset.position(context.now, context.settings.fleet_position);
        self.subset.drawn = Subset::compute(position, context.settings.dispatchers, &members, size);
        self.subset.refresh_at = context.now;
    }

    /// The first engines in the subset's order that satisfy `is_eligible`, at most as many as the subset has
    /// members. Later engines of that order replace those that do not.
    pub fn subset_members(&self, is_eligible: impl Fn(&&Engine) -> bool) -> Vec<EngineId> {
        let preferred = self.subset.drawn.order.iter().filter_map(|id| self.engines.get(&EngineId(*id)));
        let eligible = preferred.filter(is_eligible);
        eligible.map(|engine| engine.entry.engine).take(SUBSET_SIZE).collect()
    }

    /// Whether there are so many dispatchers and engines that this dispatcher sends to a subset only.
    pub fn uses_subset(&self, context: &Context) -> bool {
        let candidates = MAX_REPORTERS + RANDOM_CANDIDATES;
        context.settings.dispatchers > MAX_DISPATCHERS_COMPARING_ALL && self.engines.len() > candidates
    }
}
