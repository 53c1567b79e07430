//! Placement: the engine that a request is sent to.

use super::*;

/// Threads in flight for each core of an engine: about where cores and disks are all busy.
const THREADS_PER_CORE: f64 = 1.3;
/// Further threads for each step of priority: urgent queries are short, and run first anyway.
const URGENT_THREADS: f64 = 0.35;
/// Share of an engine's memory that is granted at most: where queries wait in line for it, and where they run
/// with what is left, spill, and do their work several times over.
const MEMORY_FILL: f64 = 0.95;
const TRIMMED_FILL: f64 = 0.75;
/// Random part of a score, against herding of dispatchers that see the same reports.
const SCATTER: f64 = 0.15;
/// Weight of the price of crossing zones in a score.
const ZONE_CROSSING_WEIGHT: f64 = 4.0;

impl Fleet {
    /// The engines with capacity for the request, those with the least load for their speed first.
    pub fn ranked(
        &self,
        context: &Context,
        request: &Request,
        demand: InFlightLoad,
        priority: u8,
        random: &mut Rand64,
    ) -> Vec<Candidate> {
        let settings = &context.settings;
        let mut candidates = self.candidates(context, request, random);
        candidates.retain_mut(|candidate| {
            let engine = self.engines.get(&candidate.engine).filter(|it| self.is_open(context, it, request));
            let load = engine.and_then(|engine| self.load(context, engine, demand, priority));
            let (Some(engine), Some(load)) = (engine, load) else { return false };
            let crosses = engine.entry.zone != settings.zone;
            let price = if crosses { ZONE_CROSSING_WEIGHT * settings.cross_zone_penalty } else { 0.0 };
            let weight = settings.route_weight(&request.new, candidate.engine);
            candidate.score = load * (1.0 + price) * candidate.score / weight;
            true
        });
        candidates.sort_by(|a, b| a.score.total_cmp(&b.score));
        candidates
    }

    /// The engines compared, with the random part of their scores: all, where dispatchers are few; else some
    /// at random and those that reported last, as the least by old reports would draw all dispatchers.
    fn candidates(&self, context: &Context, request: &Request, random: &mut Rand64) -> Vec<Candidate> {
        let chosen: Vec<EngineId> = if self.is_wide(context) {
            let class = context.settings.class(&request.new);
            let bound = class.has_placement_constraints() || !context.settings.routes.is_empty();
            let fitting = (bound || !request.attempts.is_empty())
                .then(|| self.members(|engine| self.takes(context, engine, request)));
            let members = fitting.as_ref().unwrap_or(&self.subset.members);
            let draws = if members.is_empty() { 0 } else { RANDOM_CANDIDATES };
            let drawn = (0..draws).map(|_| members[random.rand_range(0..members.len() as u64) as usize]);
            let reporters = self.loads.reporters.iter().copied();
            drawn.chain(reporters.filter(|engine| members.contains(engine))).collect()
        } else {
            self.engines.keys().copied().collect()
        };
        let scatter = |engine| Candidate { engine, score: 1.0 + SCATTER * random.rand_float() };
        chosen.into_iter().map(scatter).collect()
    }

    /// Whether the engine takes work, and may have this request, which it has not had before.
    fn is_open(&self, context: &Context, engine: &Engine, request: &Request) -> bool {
        let tried = request.attempts.iter().any(|attempt| attempt.engine == engine.entry.engine);
        let on_trial =
            engine.health.consecutive_failures >= MAX_CONSECUTIVE_FAILURES && engine.own.queries > 0.0;
        !tried && !on_trial && self.takes(context, engine, request)
    }

    /// Whether the engine takes work, and class, route and effect permit the request there.
    pub fn takes(&self, context: &Context, engine: &Engine, request: &Request) -> bool {
        let (class, entry) = (context.settings.class(&request.new), &engine.entry);
        let drops_repeats = |attempt: &Attempt| match class.idempotency {
            Idempotency::Keyed(DedupGroup::All, _) | Idempotency::Safe | Idempotency::Unsafe => true,
            Idempotency::Keyed(group, _) => {
                self.engines.get(&attempt.engine).is_some_and(|it| group.contains_both(&it.entry, entry))
            }
        };
        self.outliers.is_available(engine, context.now)
            && class.zones.as_ref().is_none_or(|zones| zones.contains(&entry.zone))
            && class
                .machine_types
                .as_ref()
                .is_none_or(|machine_types| machine_types.contains(&entry.machine_type))
            && request.attempts.iter().all(|attempt| attempt.never_ran() || drops_repeats(attempt))
            && context.settings.route_weight(&request.new, entry.engine) > 0.0
    }

    /// The engine's threads for each core with a further demand, by its warm-up and slowness, if they fit.
    fn load(&self, context: &Context, engine: &Engine, demand: InFlightLoad, priority: u8) -> Option<f64> {
        let (settings, machine) = (&context.settings, context.settings.machine_type(&engine.entry));
        let others = self.loads.others(context, engine);
        let total = self.loads.total(engine, others, demand);
        let cores = machine.cores * engine.warm_up.capacity_share(context);
        let load = total.threads / cores * self.slowness(engine.entry.engine, context.now);
        let max_load = THREADS_PER_CORE * (1.0 + URGENT_THREADS * f64::from(priority));
        let fill = if settings.memory_queueing { MEMORY_FILL } else { TRIMMED_FILL };
        let filled = machine.memory_mb > 0.0 && total.memory_mb > machine.memory_mb * fill;
        // The most urgent are small, and go first where queries wait in line for memory.
        let passes = priority == HIGHEST_PRIORITY && settings.memory_queueing;
        let crowded = load > max_load || (filled && !passes);
        let idle = engine.own.queries < 1.0 && others < 0.5;
        (idle || !crowded).then_some(load)
    }
}

/// Engines that run loads on the request's tables, if it is one: two at a time would stand still there.
pub fn lock_holders(settings: &Settings, requests: &Requests, new: &NewRequest) -> Vec<EngineId> {
    let locks = |it: &NewRequest| settings.class(it).locks_tables && it.tables == new.tables;
    let others = locks(new).then(|| requests.values().filter(|other| locks(&other.new)));
    others.into_iter().flatten().flat_map(Request::live).map(|(_, attempt)| attempt.engine).collect()
}
