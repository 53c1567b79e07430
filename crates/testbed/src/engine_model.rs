//! A model of an engine: cores that all its queries share, sessions, warm-up, loads that lock their data set.
//!
//! It is driven by events at given times, in milliseconds, and returns when something ends next; sockets or simulated time
//! go round it. It is a model, not a measurement of a real machine; its default figures are those of the platform's brief,
//! parts 5 and 6.

use std::collections::{BTreeMap, BTreeSet};

/// What an engine is like.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Its cores.
    pub cores: f64,
    /// Queries that may be in flight at a time; more are rejected.
    pub sessions: usize,
    /// Threads a core beyond which the total throughput falls.
    pub knee: f64,
    /// The share of its throughput that is left at twice the knee and beyond.
    pub thrash: f64,
    /// The share of its speed with which it starts.
    pub initial_fraction: f64,
    /// Milliseconds from its start to its full speed.
    pub warm_up_ms: f64,
    /// Data sets that it keeps in its cache.
    pub cached_sets: usize,
    /// The part of a query's work that a cached data set saves.
    pub cache_gain: f64,
}

impl Default for EngineProfile {
    fn default() -> Self {
        EngineProfile {
            cores: 8.0,
            sessions: 64,
            knee: 1.7,
            thrash: 0.5,
            initial_fraction: 0.34,
            warm_up_ms: 14_000.0,
            cached_sets: 4,
            cache_gain: 0.3,
        }
    }
}

/// The weights with which queries of each priority share the cores.
const PRIORITY_WEIGHTS: [f64; 4] = [1.0, 4.0, 8.0, 16.0];
/// No query has less work than this, so that each takes some time.
const LEAST_WORK: f64 = 1e-3;

/// A query as it is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// Its work on one thread, in milliseconds.
    pub work: f64,
    /// Its threads.
    pub threads: f64,
    /// The data set that it reads or writes.
    pub data_set: u64,
    /// It is a load: it locks its data set until it ends.
    pub is_load: bool,
    /// It makes no progress while a load locks its data set.
    pub waits_for_loads: bool,
    /// Its priority, 0 to 3: scarce cores are shared 1 : 4 : 8 : 16.
    pub priority: u8,
}

impl Query {
    fn weight(&self) -> f64 {
        PRIORITY_WEIGHTS[usize::from(self.priority).min(PRIORITY_WEIGHTS.len() - 1)]
    }
}

#[derive(Clone, Debug)]
struct Running {
    query: Query,
    /// Work that is left, in milliseconds on one thread.
    left: f64,
    /// Its number in the order of arrival.
    arrival: u64,
}

/// A query that makes progress, while cores are shared out.
struct Demand<'a, Id> {
    id: &'a Id,
    threads: f64,
    weight: f64,
}

/// The engine, with the ids of its queries.
#[derive(Clone, Debug)]
pub struct EngineModel<Id> {
    profile: EngineProfile,
    started_at: f64,
    now: f64,
    running: BTreeMap<Id, Running>,
    /// The data sets in its cache, the most recently used at the end.
    cache: Vec<u64>,
    arrivals: u64,
    /// The work done so far, in milliseconds on one thread.
    work_done: f64,
}

impl<Id: Ord + Clone> EngineModel<Id> {
    /// An engine that starts now. `warm` is one that has run for long.
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

    /// Queries in flight.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// The work done so far, in milliseconds on one thread.
    pub fn work_done(&self) -> f64 {
        self.work_done
    }

    /// The share of its full speed that it has.
    pub fn warmth(&self) -> f64 {
        let age = ((self.now - self.started_at) / self.profile.warm_up_ms).clamp(0.0, 1.0);
        self.profile.initial_fraction + (1.0 - self.profile.initial_fraction) * age
    }

    /// Takes a query at this time; false if it is rejected.
    pub fn submit(&mut self, now: f64, id: Id, query: Query) -> bool {
        self.advance(now);
        if self.running.len() >= self.profile.sessions || self.running.contains_key(&id) {
            return false;
        }
        let saved = if self.use_data_set(query.data_set) { self.profile.cache_gain } else { 0.0 };
        let left = query.work.max(LEAST_WORK) * (1.0 - saved);
        self.running.insert(id, Running { query, left, arrival: self.arrivals });
        self.arrivals += 1;
        true
    }

    /// Reads a data set; true if it was in the cache.
    fn use_data_set(&mut self, set: u64) -> bool {
        let cached = self.cache.contains(&set);
        self.cache.retain(|other| *other != set);
        self.cache.push(set);
        if self.cache.len() > self.profile.cached_sets {
            self.cache.remove(0);
        }
        cached
    }

    /// Cancels a query: its work is lost. False if it is not in flight.
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

    /// Removes the queries that have ended by this time, in the order of their ends.
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

    /// When the next query ends if nothing else happens, and which.
    pub fn next_completion(&self) -> Option<(f64, Id)> {
        let speeds = self.speeds();
        let ends = self.running.iter().filter_map(|(id, running)| {
            let speed = *speeds.get(id)?;
            (speed > 0.0).then(|| (self.now + running.left / speed, id.clone()))
        });
        ends.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)))
    }

    /// Lets time pass: every query that runs gets its part of the work. The engine warms up in steps of its events, so a
    /// caller that wants a smooth warm-up calls often.
    fn advance(&mut self, now: f64) {
        let elapsed = now - self.now;
        if elapsed <= 0.0 {
            return;
        }
        let speeds = self.speeds();
        for (id, running) in &mut self.running {
            let work = speeds.get(id).copied().unwrap_or(0.0) * elapsed;
            let work = work.min(running.left);
            running.left -= work;
            self.work_done += work;
        }
        self.now = now;
    }

    /// The queries that wait for a load on their data set. Of several loads the first makes progress.
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

    /// How much work each query gets done in a millisecond, in milliseconds on one thread.
    ///
    /// Cores go to queries by weight, and no query gets more than its threads: those with the smallest demand for their
    /// weight are satisfied first, and the others share what is left.
    fn speeds(&self) -> BTreeMap<Id, f64> {
        let blocked = self.blocked();
        let active = self.running.iter().filter(|(id, _)| !blocked.contains(id));
        let mut open: Vec<Demand<Id>> = active
            .map(|(id, running)| Demand {
                id,
                threads: running.query.threads,
                weight: running.query.weight(),
            })
            .collect();
        let mut left = self.throughput(open.iter().map(|demand| demand.threads).sum());
        let mut speeds = BTreeMap::new();
        loop {
            let weights: f64 = open.iter().map(|demand| demand.threads * demand.weight).sum();
            let satisfied = |demand: &Demand<Id>| left * demand.weight / weights >= self.warmth();
            let (full, rest): (Vec<_>, Vec<_>) = open.into_iter().partition(satisfied);
            if full.is_empty() {
                for Demand { id, threads, weight } in rest {
                    speeds.insert(id.clone(), left * threads * weight / weights);
                }
                return speeds;
            }
            for Demand { id, threads, .. } in full {
                let speed = threads * self.warmth();
                left -= speed;
                speeds.insert(id.clone(), speed);
            }
            open = rest;
        }
    }

    /// The work that all queries together get done in a millisecond. Beyond the knee it falls, to its least at twice the
    /// knee.
    fn throughput(&self, threads: f64) -> f64 {
        let per_core = threads / self.profile.cores;
        let beyond = ((per_core - self.profile.knee) / self.profile.knee).clamp(0.0, 1.0);
        self.profile.cores * self.warmth() * (1.0 - (1.0 - self.profile.thrash) * beyond)
    }
}
