//! A model of an engine: cores that all its queries share, sessions, cold starts, loads that hold their data set.
//!
//! It is driven by events at given times and says when something ends next; sockets or simulated time go round it. It is
//! a model, not a measurement of a real machine; its figures are the brief's, parts 5 and 6.

use std::collections::{BTreeMap, BTreeSet};

/// What an engine is like.
#[derive(Clone, Debug, PartialEq)]
pub struct Shape {
    /// Its cores.
    pub cores: f64,
    /// Queries that it holds at a time; more are turned away.
    pub sessions: usize,
    /// Threads a core beyond which the total work done falls, and to which part of it at most.
    pub knee: f64,
    /// See `knee`.
    pub thrash: f64,
    /// The share of its speed with which it starts, and the milliseconds until it is warm.
    pub cold_share: f64,
    /// See `cold_share`.
    pub warm_within: f64,
    /// Data sets that it keeps warm, and the part of a query's work that a warm one saves.
    pub warm_sets: usize,
    /// See `warm_sets`.
    pub warm_gain: f64,
}

impl Default for Shape {
    fn default() -> Self {
        Shape {
            cores: 8.0,
            sessions: 64,
            knee: 1.7,
            thrash: 0.5,
            cold_share: 0.34,
            warm_within: 14_000.0,
            warm_sets: 4,
            warm_gain: 0.3,
        }
    }
}

/// A query as it is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// Its work on one thread, in milliseconds.
    pub work: f64,
    /// Its threads.
    pub threads: f64,
    /// The data set that it reads or writes.
    pub set: u64,
    /// It is a load: it holds its data set until it ends.
    pub load: bool,
    /// It stands still while a load holds its data set.
    pub waits: bool,
    /// Its priority, 0 to 3: short cores are shared 1 : 4 : 8 : 16.
    pub priority: u8,
}

#[derive(Clone, Debug)]
struct Running {
    query: Query,
    /// Work that is left, in milliseconds on one thread.
    left: f64,
    /// In the order of coming.
    place: u64,
}

/// The engine.
#[derive(Clone, Debug)]
pub struct Engine<Id> {
    shape: Shape,
    started: f64,
    now: f64,
    running: BTreeMap<Id, Running>,
    /// The data sets read last, the latest at the end.
    warm: Vec<u64>,
    next_place: u64,
    /// The work done so far, in milliseconds on one thread.
    done: f64,
}

impl<Id: Ord + Clone> Engine<Id> {
    /// An engine that starts now. `warm` is one that has run for long.
    pub fn start(now: f64, shape: Shape, warm: bool) -> Self {
        let started = if warm { now - shape.warm_within } else { now };
        Engine { shape, started, now, running: BTreeMap::new(), warm: Vec::new(), next_place: 0, done: 0.0 }
    }

    /// Queries that it holds.
    pub fn held(&self) -> usize {
        self.running.len()
    }

    /// The work done so far, in milliseconds on one thread.
    pub fn done(&self) -> f64 {
        self.done
    }

    /// The share of its speed that it has.
    pub fn warmth(&self) -> f64 {
        let age = ((self.now - self.started) / self.shape.warm_within).clamp(0.0, 1.0);
        self.shape.cold_share + (1.0 - self.shape.cold_share) * age
    }

    /// Takes a query at this time; false if it is turned away.
    pub fn take(&mut self, now: f64, id: Id, query: Query) -> bool {
        self.pass(now);
        if self.running.len() >= self.shape.sessions || self.running.contains_key(&id) {
            return false;
        }
        let saved = if self.warm.contains(&query.set) { self.shape.warm_gain } else { 0.0 };
        self.warm.retain(|set| *set != query.set);
        self.warm.push(query.set);
        if self.warm.len() > self.shape.warm_sets {
            self.warm.remove(0);
        }
        let left = query.work.max(1e-3) * (1.0 - saved);
        self.running.insert(id, Running { query, left, place: self.next_place });
        self.next_place += 1;
        true
    }

    /// Gives a query up: its work is lost. False if it is not there.
    pub fn cancel(&mut self, now: f64, id: &Id) -> bool {
        self.pass(now);
        self.running.remove(id).is_some()
    }

    /// Another priority for a query.
    pub fn weigh(&mut self, now: f64, id: &Id, priority: u8) {
        self.pass(now);
        if let Some(running) = self.running.get_mut(id) {
            running.query.priority = priority;
        }
    }

    /// The queries that have ended by this time, in the order of their ends.
    pub fn ended(&mut self, now: f64) -> Vec<(f64, Id)> {
        let mut ended = Vec::new();
        while let Some((at, id)) = self.next_end().filter(|(at, _)| *at <= now) {
            self.pass(at);
            self.running.remove(&id);
            ended.push((at, id));
        }
        self.pass(now);
        ended
    }

    /// When the next query ends if nothing else happens, and which.
    pub fn next_end(&self) -> Option<(f64, Id)> {
        let speeds = self.speeds();
        let ends = self.running.iter().filter_map(|(id, running)| {
            let speed = *speeds.get(id)?;
            (speed > 0.0).then(|| (self.now + running.left / speed, id.clone()))
        });
        ends.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)))
    }

    /// Lets time pass: everything that runs gets its part of the work. The engine warms up in steps of its events, so a
    /// caller that wants it smooth looks often.
    fn pass(&mut self, now: f64) {
        let span = now - self.now;
        if span <= 0.0 {
            return;
        }
        let speeds = self.speeds();
        for (id, running) in &mut self.running {
            let work = speeds.get(id).copied().unwrap_or(0.0) * span;
            let work = work.min(running.left);
            running.left -= work;
            self.done += work;
        }
        self.now = now;
    }

    /// Which queries stand still: those behind a load on their data set. Of loads the first goes on.
    fn still(&self) -> BTreeSet<&Id> {
        let mut holders: BTreeMap<u64, (u64, &Id)> = BTreeMap::new();
        for (id, running) in self.running.iter().filter(|(_, it)| it.query.load) {
            let holder = holders.entry(running.query.set).or_insert((running.place, id));
            if running.place < holder.0 {
                *holder = (running.place, id);
            }
        }
        let behind = |(id, running): &(&Id, &Running)| {
            let held = holders.get(&running.query.set).is_some_and(|(_, holder)| holder != id);
            held && (running.query.load || running.query.waits)
        };
        self.running.iter().filter(behind).map(|(id, _)| id).collect()
    }

    /// How much work each query gets done in a millisecond, in milliseconds on one thread.
    fn speeds(&self) -> BTreeMap<Id, f64> {
        let still = self.still();
        let runs = self.running.iter().filter(|(id, _)| !still.contains(id));
        let active: Vec<(&Id, f64, f64)> = runs
            .map(|(id, it)| {
                (id, it.query.threads, [1.0, 4.0, 8.0, 16.0][usize::from(it.query.priority.min(3))])
            })
            .collect();
        let threads: f64 = active.iter().map(|(_, threads, _)| threads).sum();
        let crowd = threads / self.shape.cores;
        // Beyond the knee the total falls, down to its part at twice the knee.
        let over = ((crowd - self.shape.knee) / self.shape.knee).clamp(0.0, 1.0);
        let total = self.shape.cores * self.warmth() * (1.0 - (1.0 - self.shape.thrash) * over);
        // Cores go to queries by weight, no query gets more than its threads: fill up from the least wanting.
        let mut speeds = BTreeMap::new();
        let (mut left, mut open) = (total, active);
        loop {
            let weight: f64 = open.iter().map(|(_, threads, weight)| threads * weight).sum();
            let fits = |(_, _, each): &(&Id, f64, f64)| left * each / weight >= self.warmth();
            let (full, rest): (Vec<_>, Vec<_>) = open.into_iter().partition(fits);
            if full.is_empty() {
                for (id, threads, each) in rest {
                    speeds.insert(id.clone(), left * threads * each / weight);
                }
                return speeds;
            }
            for (id, threads, _) in full {
                let speed = threads * self.warmth();
                left -= speed;
                speeds.insert(id.clone(), speed);
            }
            open = rest;
        }
    }
}
