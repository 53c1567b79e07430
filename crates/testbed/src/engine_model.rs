//! A model of an engine: queries that share its cores, a session limit, warm-up, and loads that lock their
//! data set.
//!
//! The model is driven by events at given times, in milliseconds, and returns when the next query ends, so
//! that it can be used with sockets as well as with simulated time. It is not fitted to measurements of a
//! real engine; its default values are the figures that sections 5 and 6 of the platform's brief state.

use std::collections::{BTreeMap, BTreeSet};

/// The parameters of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// The number of cores.
    pub cores: f64,
    /// The number of queries that may be in flight at the same time; further ones are rejected.
    pub max_sessions: usize,
    /// Threads per core above which the total throughput falls.
    pub knee: f64,
    /// The fraction of the full throughput that remains at twice the knee and above.
    pub overload_throughput: f64,
    /// The fraction of its full speed that the engine has at its start.
    pub initial_fraction: f64,
    /// Milliseconds from the start of the engine until it has its full speed.
    pub warm_up_ms: f64,
    /// The number of data sets that fit into the cache.
    pub max_cached_data_sets: usize,
    /// The fraction of its work that a query saves if its data set is cached.
    pub cached_work_fraction: f64,
}

impl Default for EngineProfile {
    fn default() -> Self {
        EngineProfile {
            cores: 8.0,
            max_sessions: 64,
            knee: 1.7,
            overload_throughput: 0.5,
            initial_fraction: 0.34,
            warm_up_ms: 14_000.0,
            max_cached_data_sets: 4,
            cached_work_fraction: 0.3,
        }
    }
}

/// The weights with which queries of each priority share the cores.
const PRIORITY_WEIGHTS: [f64; 4] = [1.0, 4.0, 8.0, 16.0];
/// The least work of a query in milliseconds, so that every query takes some time.
const MIN_WORK_MS: f64 = 1e-3;

/// A query as it is sent to the engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// The work of the query, in milliseconds on one thread.
    pub work: f64,
    /// The number of threads that it can use.
    pub threads: f64,
    /// The data set that it reads or writes.
    pub data_set: u64,
    /// Whether the query is a load, which locks its data set until it ends.
    pub is_load: bool,
    /// Whether the query makes no progress while a load locks its data set.
    pub waits_for_loads: bool,
    /// The priority, 0 to 3, which shares scarce cores in the ratio 1 : 4 : 8 : 16.
    pub priority: u8,
}

impl Query {
    fn weight(&self) -> f64 {
        PRIORITY_WEIGHTS[usize::from(self.priority).min(PRIORITY_WEIGHTS.len() - 1)]
    }
}

/// A query in flight.
#[derive(Clone, Debug)]
struct Running {
    query: Query,
    /// The remaining work, in milliseconds on one thread.
    remaining_work: f64,
    /// The position of the query in the order of arrival.
    arrival: u64,
}

/// The demand of a query that makes progress, while cores are allocated.
struct Demand<'a, Id> {
    id: &'a Id,
    threads: f64,
    weight: f64,
}

/// An engine whose queries are identified by `Id`.
#[derive(Clone, Debug)]
pub struct EngineModel<Id> {
    profile: EngineProfile,
    started_at: f64,
    now: f64,
    running: BTreeMap<Id, Running>,
    /// The cached data sets, the most recently used one last.
    cache: Vec<u64>,
    arrivals: u64,
    /// The work completed so far, in milliseconds on one thread.
    work_done: f64,
}

impl<Id: Ord + Clone> EngineModel<Id> {
    /// Creates an engine that starts at `now`, or one that is already warm.
    pub fn start(now: f64, profile: EngineProfile, warm: bool) -> Self {
        let started_at = if warm { now - profile.warm_up_ms } else { now };
        EngineModel {
            profile,
            started_at,
            now,
            running: BTreeMap::new(),
            cache: Vec::new(),
            arrivals: 0,
            work_done: 0.0,
        }
    }

    /// Returns the number of queries in flight.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Returns the work completed so far, in milliseconds on one thread.
    pub fn work_done(&self) -> f64 {
        self.work_done
    }

    /// Returns the current speed as a fraction of the full speed.
    pub fn speed_fraction(&self) -> f64 {
        let progress = ((self.now - self.started_at) / self.profile.warm_up_ms).clamp(0.0, 1.0);
        self.profile.initial_fraction + (1.0 - self.profile.initial_fraction) * progress
    }

    /// Submits a query at the time `now`. Returns false if it is rejected.
    pub fn submit(&mut self, now: f64, id: Id, query: Query) -> bool {
        self.advance(now);
        if self.running.len() >= self.profile.max_sessions || self.running.contains_key(&id) {
            return false;
        }
        let saved_fraction =
            if self.use_data_set(query.data_set) { self.profile.cached_work_fraction } else { 0.0 };
        let remaining_work = query.work.max(MIN_WORK_MS) * (1.0 - saved_fraction);
        self.running.insert(id, Running { query, remaining_work, arrival: self.arrivals });
        self.arrivals += 1;
        true
    }

    /// Uses a data set, which moves it to the end of the cache. Returns whether it was cached.
    fn use_data_set(&mut self, set: u64) -> bool {
        let cached = self.cache.contains(&set);
        self.cache.retain(|other| *other != set);
        self.cache.push(set);
        if self.cache.len() > self.profile.max_cached_data_sets {
            self.cache.remove(0);
        }
        cached
    }

    /// Cancels a query, whose work is lost. Returns false if it is not in flight.
    pub fn cancel(&mut self, now: f64, id: &Id) -> bool {
        self.advance(now);
        self.running.remove(id).is_some()
    }

    /// Changes the priority of a query, if it is in flight.
    pub fn set_priority(&mut self, now: f64, id: &Id, priority: u8) {
        self.advance(now);
        if let Some(running) = self.running.get_mut(id) {
            running.query.priority = priority;
        }
    }

    /// Removes the queries that have ended by the time `now`, and returns their end times and ids in the
    /// order of their ends.
    pub fn take_completed(&mut self, now: f64) -> Vec<(f64, Id)> {
        let mut completed = Vec::new();
        while let Some((at, id)) = self.next_completion().filter(|(at, _)| *at <= now) {
            self.advance(at);
            self.running.remove(&id);
            completed.push((at, id));
        }
        self.advance(now);
        completed
    }

    /// Returns the time at which the next query ends if no other event occurs before, and its id.
    pub fn next_completion(&self) -> Option<(f64, Id)> {
        let speeds = self.speeds();
        let ends = self.running.iter().filter_map(|(id, running)| {
            let speed = *speeds.get(id)?;
            (speed > 0.0).then(|| (self.now + running.remaining_work / speed, id.clone()))
        });
        ends.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)))
    }

    /// Advances the time; every query progresses at its current speed. The speeds during warm-up change only
    /// with each call, so a smooth warm-up needs frequent calls.
    fn advance(&mut self, now: f64) {
        let elapsed = now - self.now;
        if elapsed <= 0.0 {
            return;
        }
        let speeds = self.speeds();
        for (id, running) in &mut self.running {
            let work = speeds.get(id).copied().unwrap_or(0.0) * elapsed;
            let work = work.min(running.remaining_work);
            running.remaining_work -= work;
            self.work_done += work;
        }
        self.now = now;
    }

    /// Returns the queries that wait for a load on their data set. Of several loads only the earliest one
    /// makes progress.
    fn blocked(&self) -> BTreeSet<&Id> {
        let mut lock_holders: BTreeMap<u64, (u64, &Id)> = BTreeMap::new();
        for (id, running) in self.running.iter().filter(|(_, running)| running.query.is_load) {
            let holder = lock_holders.entry(running.query.data_set).or_insert((running.arrival, id));
            if running.arrival < holder.0 {
                *holder = (running.arrival, id);
            }
        }
        let is_blocked = |(id, running): &(&Id, &Running)| {
            let locked = lock_holders.get(&running.query.data_set).is_some_and(|(_, holder)| holder != id);
            locked && (running.query.is_load || running.query.waits_for_loads)
        };
        self.running.iter().filter(is_blocked).map(|(id, _)| id).collect()
    }

    /// Returns the speed of each query that makes progress: its work per millisecond, in milliseconds on one
    /// thread.
    ///
    /// Cores are allocated by weighted max-min fairness, and no query uses more cores than it has threads:
    /// queries with the smallest demand for their weight are satisfied first, and the rest share the
    /// remaining capacity.
    fn speeds(&self) -> BTreeMap<Id, f64> {
        let blocked = self.blocked();
        let active = self.running.iter().filter(|(id, _)| !blocked.contains(id));
        let mut unsatisfied: Vec<Demand<Id>> = active
            .map(|(id, running)| Demand {
                id,
                threads: running.query.threads,
                weight: running.query.weight(),
            })
            .collect();
        let threads: f64 = unsatisfied.iter().map(|demand| demand.threads).sum();
        let mut remaining_capacity = self.throughput(threads);
        let mut speeds = BTreeMap::new();
        loop {
            let total_weight: f64 = unsatisfied.iter().map(|demand| demand.threads * demand.weight).sum();
            let is_satisfied = |demand: &Demand<Id>| {
                let speed_per_thread = remaining_capacity * demand.weight / total_weight;
                speed_per_thread >= self.speed_fraction()
            };
            let (satisfied, rest): (Vec<_>, Vec<_>) = unsatisfied.into_iter().partition(is_satisfied);
            if satisfied.is_empty() {
                for Demand { id, threads, weight } in rest {
                    speeds.insert(id.clone(), remaining_capacity * threads * weight / total_weight);
                }
                return speeds;
            }
            for Demand { id, threads, .. } in satisfied {
                let speed = threads * self.speed_fraction();
                remaining_capacity -= speed;
                speeds.insert(id.clone(), speed);
            }
            unsatisfied = rest;
        }
    }

    /// Returns the total work of all queries per millisecond, for this number of threads. Above the knee it
    /// falls linearly, until twice the knee.
    fn throughput(&self, threads: f64) -> f64 {
        let threads_per_core = threads / self.profile.cores;
        let overload = ((threads_per_core - self.profile.knee) / self.profile.knee).clamp(0.0, 1.0);
        self.profile.cores
            * self.speed_fraction()
            * (1.0 - (1.0 - self.profile.overload_throughput) * overload)
    }
}
