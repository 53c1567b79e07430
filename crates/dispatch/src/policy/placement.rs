//! Placement: the choice of the engine that a request is sent to.

use oorandom::Rand64;

use super::fleet::RANDOM_CANDIDATES;
use super::outlier::MAX_CONSECUTIVE_FAILURES;
use super::ranking::HIGHEST_PRIORITY;
use crate::dispatcher::Context;
use crate::engines::{Candidate, Engine, Fleet};
use crate::interface::{DedupGroup, EngineId, Idempotency, MachineTypeId, NewRequest, Settings};
use crate::requests::{Attempt, Request, Requests};
use crate::stats::InFlightLoad;

/// Threads in flight per core up to which an engine has capacity: cores and disks are all busy at about this
/// load.
const MAX_THREADS_PER_CORE: f64 = 1.3;
/// Fraction of that limit that each step of priority adds. Urgent queries are short, and engines run them
/// first.
const EXTRA_THREADS_PER_PRIORITY: f64 = 0.35;
/// Fraction of an engine's memory that may be granted where queries wait for memory.
const MAX_MEMORY_FRACTION_WITH_QUEUEING: f64 = 0.95;
/// Fraction of an engine's memory that may be granted where queries run with the memory that remains. They
/// spill then, and do their work several times over.
const MAX_MEMORY_FRACTION_WITHOUT_QUEUEING: f64 = 0.75;
/// Largest random fraction that is added to a score, so that dispatchers with the same load reports do not
/// all choose the same engine.
const SCORE_JITTER: f64 = 0.15;
/// Weight of the penalty for another zone in a score.
const CROSS_ZONE_WEIGHT: f64 = 4.0;
/// An engine with fewer own queries than this counts as idle, if other dispatchers have none there either.
const MIN_BUSY_OWN_QUERIES: f64 = 1.0;
/// An engine with fewer queries of other dispatchers than this counts as not used by them. The number is an
/// estimate.
const MIN_BUSY_QUERIES_OF_OTHER_DISPATCHERS: f64 = 0.5;

impl Fleet {
    /// The engines that the request may be sent to and that have capacity for its demand, best first: those
    /// with the least load for their speed, weight and zone.
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
            let Some(engine) = self.engines.get(&candidate.engine) else { return false };
            if !self.may_try(context, engine, request) {
                return false;
            }
            let Some(load) = self.load_if_capacity(context, engine, demand, priority) else { return false };
            let crosses_zones = engine.entry.zone != settings.zone;
            let penalty = if crosses_zones { CROSS_ZONE_WEIGHT * settings.cross_zone_penalty } else { 0.0 };
            let weight = settings.route_weight(&request.new, candidate.engine);
            let jitter = candidate.score;
            candidate.score = load * (1.0 + penalty) * jitter / weight;
            true
        });
        candidates.sort_by(|a, b| a.score.total_cmp(&b.score));
        candidates
    }

    /// The engines to compare, each with the random factor of its score. With few dispatchers these are all
    /// engines. Otherwise they are some members of the subset, drawn at random, and the members that reported
    /// last: if all dispatchers chose the least loaded engine by old reports, they would overload it.
    fn candidates(&self, context: &Context, request: &Request, random: &mut Rand64) -> Vec<Candidate> {
        let engines: Vec<EngineId> = if self.uses_subset(context) {
            let class = context.settings.class(&request.new);
            let is_restricted = class.has_placement_constraints() || !context.settings.routes.is_empty();
            let needs_eligible_members = is_restricted || !request.attempts.is_empty();
            let eligible_members = needs_eligible_members
                .then(|| self.subset_members(|engine| self.is_eligible(context, engine, request)));
            let members = eligible_members.as_ref().unwrap_or(&self.subset.available_members);
            let draws = if members.is_empty() { 0 } else { RANDOM_CANDIDATES };
            let drawn = (0..draws).map(|_| members[random.rand_range(0..members.len() as u64) as usize]);
            let reporters = self.loads.reporters.iter().copied();
            drawn.chain(reporters.filter(|engine| members.contains(engine))).collect()
        } else {
            self.engines.keys().copied().collect()
        };
        let with_jitter = |engine| Candidate { engine, score: 1.0 + SCORE_JITTER * random.rand_float() };
        engines.into_iter().map(with_jitter).collect()
    }

    /// Whether the request may be sent to the engine now: the engine is eligible and has not had the request
    /// before, and if it is on trial (it was ejected and has not served an attempt since) it has no own query
    /// in flight.
    fn may_try(&self, context: &Context, engine: &Engine, request: &Request) -> bool {
        let was_tried = request.attempts.iter().any(|attempt| attempt.engine == engine.entry.engine);
        let is_on_trial = engine.health.consecutive_failures >= MAX_CONSECUTIVE_FAILURES;
        let trial_in_flight = is_on_trial && engine.own_load.queries > 0.0;
        !was_tried && !trial_in_flight && self.is_eligible(context, engine, request)
    }

    /// Whether the engine is available, and the request's class, route and idempotency permit the request
    /// there. A keyed request whose earlier attempts may have run stays with engines that deduplicate it.
    pub fn is_eligible(&self, context: &Context, engine: &Engine, request: &Request) -> bool {
        let class = context.settings.class(&request.new);
        let entry = &engine.entry;
        let deduplicates_with = |attempt: &Attempt| match class.idempotency {
            Idempotency::Keyed(DedupGroup::All, _) | Idempotency::Safe | Idempotency::Unsafe => true,
            Idempotency::Keyed(group, _) => {
                let earlier = self.engines.get(&attempt.engine);
                earlier.is_some_and(|earlier| group.contains_both(&earlier.entry, entry))
            }
        };
        let contains_machine_type = |types: &Vec<MachineTypeId>| types.contains(&entry.machine_type);
        self.outliers.is_available(engine, context.now)
            && class.zones.as_ref().is_none_or(|zones| zones.contains(&entry.zone))
            && class.machine_types.as_ref().is_none_or(contains_machine_type)
            && request.attempts.iter().all(|attempt| attempt.never_ran() || deduplicates_with(attempt))
            && context.settings.route_weight(&request.new, entry.engine) > 0.0
    }

    /// The engine's threads per core with the further demand, adjusted for its slow start and slowness;
    /// `None` if it lacks the threads or the memory for the demand. An idle engine has capacity for any
    /// request.
    fn load_if_capacity(
        &self,
        context: &Context,
        engine: &Engine,
        demand: InFlightLoad,
        priority: u8,
    ) -> Option<f64> {
        let settings = &context.settings;
        let machine = settings.machine_type(&engine.entry);
        let queries_of_other_dispatchers = self.loads.queries_of_other_dispatchers(context, engine);
        let total = self.loads.total_load(engine, queries_of_other_dispatchers, demand);
        let cores = machine.cores * engine.warm_up.capacity_fraction(context);
        let load = total.threads / cores * self.slowness(engine.entry.engine, context.now);
        let max_load = MAX_THREADS_PER_CORE * (1.0 + EXTRA_THREADS_PER_PRIORITY * f64::from(priority));
        let max_memory_fraction = if settings.memory_queueing {
            MAX_MEMORY_FRACTION_WITH_QUEUEING
        } else {
            MAX_MEMORY_FRACTION_WITHOUT_QUEUEING
        };
        let lacks_memory =
            machine.memory_mb > 0.0 && total.memory_mb > machine.memory_mb * max_memory_fraction;
        // The most urgent requests need little memory, and are first in an engine's queue for it.
        let ignores_memory = priority == HIGHEST_PRIORITY && settings.memory_queueing;
        let is_full = load > max_load || (lacks_memory && !ignores_memory);
        let is_idle = engine.own_load.queries < MIN_BUSY_OWN_QUERIES
            && queries_of_other_dispatchers < MIN_BUSY_QUERIES_OF_OTHER_DISPATCHERS;
        (is_idle || !is_full).then_some(load)
    }
}

/// The engines with attempts in flight that lock the request's tables, if the request locks them too: two
/// such queries on one engine would block each other. Empty for other requests.
pub fn lock_holders(settings: &Settings, requests: &Requests, new: &NewRequest) -> Vec<EngineId> {
    let locks_tables =
        |request: &NewRequest| settings.class(request).locks_tables && request.tables == new.tables;
    let conflicting =
        locks_tables(new).then(|| requests.values().filter(|request| locks_tables(&request.new)));
    let attempts = conflicting.into_iter().flatten().flat_map(Request::in_flight);
    attempts.map(|(_, attempt)| attempt.engine).collect()
}
