//! Faults: planners and forwarders die or are suspended, links are cut, engines drain and die.

use gaugestep_testbed::record::{AttemptOutcome, Phase, Record};
use gaugestep_two_level::order_guard::{AttemptEnd, EngineId};

use crate::forwarder::Forwarder;
use crate::simulation::{Event, FORWARDERS, PLANNERS, Simulation, TRAFFIC_END, forwarder_name};

/// Engines that always keep serving.
const MIN_SERVING: usize = 2;
/// Milliseconds after which a forwarder learns that an engine died.
const BROKEN_DELAY: f64 = 1.0;

impl Simulation {
    pub fn on_fault(&mut self) {
        if self.now >= TRAFFIC_END {
            return;
        }
        self.counters.faults += 1;
        let wait = self.between(50.0, 900.0);
        self.after(wait, Event::Fault);
        let planner = self.pick(PLANNERS);
        let forwarder = self.pick(FORWARDERS);
        match self.random.rand_range(0..10) {
            0 | 1 => self.kill_planner(planner),
            2 | 3 => {
                let duration = self.between(20.0, 2_500.0);
                self.planners[planner].suspended_until = self.now + duration;
            }
            4 => (0..PLANNERS).for_each(|planner| self.kill_planner(planner)),
            5 => {
                let duration = self.between(50.0, 2_000.0);
                self.cut_until.insert((forwarder, planner), self.now + duration);
            }
            6 => self.kill_forwarder(forwarder),
            7 | 8 => self.replace_engine(),
            _ => self.kill_draining_engine(),
        }
    }

    fn kill_planner(&mut self, planner: usize) {
        let duration = self.between(30.0, 1_500.0);
        self.planners[planner].restart_at(self.now + duration);
    }

    /// A forwarder dies and restarts at once.
    fn kill_forwarder(&mut self, forwarder: usize) {
        let (at, via) = (self.now, forwarder_name(forwarder));
        self.records.push(Record::ForwarderKilled { at, via });
        let life = self.forwarders[forwarder].life + 1;
        let dead = std::mem::replace(&mut self.forwarders[forwarder], Forwarder::new(forwarder, life));
        // Its connections are closed: engines cancel what they ran for it.
        for (attempt, engine) in dead.in_flight {
            let Some(there) = self.engines.get_mut(&engine) else { continue };
            there.change += 1;
            if there.model.cancel(self.now, &attempt) {
                there.running.remove(&attempt);
                self.record_end(engine, &attempt, AttemptOutcome::Cancelled);
            }
            self.collect_completed(engine);
        }
        // It reads the present engine list.
        let list: Vec<(EngineId, Phase)> =
            self.engines.iter().map(|(engine, there)| (*engine, there.phase)).collect();
        for (engine, phase) in list {
            self.on_engine_listed(forwarder, engine, phase);
        }
    }

    /// An engine drains, and its successor starts under a new id.
    fn replace_engine(&mut self) {
        let serving: Vec<EngineId> = self.engines_in(Phase::Serving).collect();
        if serving.len() <= MIN_SERVING {
            return;
        }
        let engine = serving[self.pick(serving.len())];
        let there = self.engines.get_mut(&engine).expect("it was found among the engines");
        there.phase = Phase::Draining;
        self.announce(engine, Phase::Draining, false);
        self.start_engine(false);
    }

    /// A draining engine dies with all that runs on it.
    fn kill_draining_engine(&mut self) {
        let Some(engine) = self.engines_in(Phase::Draining).next() else { return };
        let there = self.engines.remove(&engine).expect("it was found among the engines");
        for (attempt, at) in there.running {
            self.record_end(engine, &attempt, AttemptOutcome::Broken);
            self.after(BROKEN_DELAY, Event::AttemptEnds { at, attempt, end: AttemptEnd::MayHaveRun });
        }
        self.announce(engine, Phase::Gone, false);
    }

    fn engines_in(&self, phase: Phase) -> impl Iterator<Item = EngineId> {
        let found = self.engines.iter().filter(move |(_, there)| there.phase == phase);
        found.map(|(engine, _)| *engine)
    }
}
