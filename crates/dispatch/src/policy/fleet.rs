//! The fleet of engines, and the subset of them that this dispatcher draws from, as connections are scarce.

use super::*;

/// Dispatchers up to which each compares all engines, rather than some of a subset.
pub const MAX_COMPARING_ALL: usize = 4;
/// Engines compared at random, beside those that reported last.
pub const RANDOM_CANDIDATES: usize = 2;
/// Engines drawn from.
const SUBSET_SIZE: usize = 8;
/// Bounds of an engine's slowness: a few runs do not take it out of use.
const MIN_SLOWNESS: f64 = 0.5;
const MAX_SLOWNESS: f64 = 10.0;

impl EngineSubset {
    /// The position at this time: the one by a roster while that holds, else the one by the settings.
    pub fn position(&self, now: Millis, by_settings: FleetPosition) -> FleetPosition {
        self.granted.filter(|granted| now < granted.until).map_or(by_settings, |granted| granted.position)
    }
}

impl Fleet {
    /// Takes lines of the list of engines; engines missing from a complete list are gone.
    pub fn on_engine_list(&mut self, context: &Context, entries: Vec<EngineEntry>, complete: bool) {
        if complete {
            self.engines.values_mut().for_each(|engine| engine.entry.readiness = Readiness::Gone);
        }
        for entry in entries {
            // An engine that turns up later has just started, whatever the list says of it.
            let started_at = entry.started_at.or((!complete).then_some(context.now));
            let engine = self.engines.entry(entry.engine).or_insert_with(|| Engine::new(entry, started_at));
            if entry.started_at.is_some() && entry.started_at != engine.entry.started_at {
                *engine = Engine::new(entry, entry.started_at);
            }
            engine.entry = entry;
        }
        self.engines.retain(|_, engine| engine.entry.readiness != Readiness::Gone);
        self.draw_subset(context);
    }

    /// Adds up what this dispatcher has in flight on each engine, and takes the averages over the fleet.
    pub fn update(&mut self, context: &Context, requests: &Requests, work: &WorkEstimator) {
        self.engines.values_mut().for_each(|engine| engine.own = InFlightLoad::default());
        if context.now >= self.subset.refresh_at {
            self.subset.members = self.members(|engine| self.outliers.is_available(engine, context.now));
            self.subset.refresh_at = context.now + BASE_EJECTION_TIME;
        }
        for request in requests.values() {
            let demand = work.demand(context, &request.new);
            for (_, attempt) in request.running() {
                self.engines.entry(attempt.engine).and_modify(|engine| engine.own.add(demand, 1.0));
            }
        }
        self.outliers.update(&self.engines, context.now);
        let available = |engine: &&Engine| self.outliers.is_available(engine, context.now);
        self.loads.update(context, self.engines.values().filter(available));
    }

    /// How much slower than usual an engine is.
    pub fn slowness(&self, id: EngineId, now: Millis) -> f64 {
        let log = self.engines.get(&id).map_or(0.0, |engine| engine.slowness.shrunk(now, ENGINE_HORIZON));
        log.exp().clamp(MIN_SLOWNESS, MAX_SLOWNESS)
    }

    /// Draws the subset again, from the engines that take work by the list.
    pub fn draw_subset(&mut self, context: &Context) {
        let up = self.engines.values().filter(|engine| engine.is_up()).map(|engine| &engine.entry);
        let members: Vec<CandidateEngine> =
            up.map(|it| it.member(context.settings.machine(it).cores)).collect();
        let size = if self.is_wide(context) { SUBSET_SIZE } else { usize::MAX };
        let position = self.subset.position(context.now, context.settings.fleet_position);
        self.subset.drawn = Subset::compute(position, context.settings.dispatchers, &members, size);
        self.subset.refresh_at = context.now;
    }

    /// The subset as far as engines fit, with others in place of those that do not.
    pub fn members(&self, fits: impl Fn(&&Engine) -> bool) -> Vec<EngineId> {
        let preferred = self.subset.drawn.order.iter().filter_map(|id| self.engines.get(&EngineId(*id)));
        preferred.filter(fits).map(|engine| engine.entry.engine).take(SUBSET_SIZE).collect()
    }

    /// Whether dispatchers and engines are so many that each dispatcher keeps to a subset.
    pub fn is_wide(&self, context: &Context) -> bool {
        let candidates = MAX_REPORTERS + RANDOM_CANDIDATES;
        context.settings.dispatchers > MAX_COMPARING_ALL && self.engines.len() > candidates
    }
}
