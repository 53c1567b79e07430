//! Injected faults: planners and forwarders are killed, planners are suspended, links are cut, engines drain
//! and die.

use gaugestep_testbed::record::{AttemptOutcome, Phase, Record};
use gaugestep_two_level::order_guard::{AttemptEnd, EngineId};

use crate::forwarder::Forwarder;
use crate::simulation::{Event, FORWARDERS, PLANNERS, Simulation, TRAFFIC_END_MS, forwarder_name};

/// The least number of engines that keep serving.
const MIN_SERVING: usize = 2;
/// Milliseconds after which a forwarder learns that an engine died.
const BROKEN_DELAY_MS: f64 = 1.0;

impl Simulation {
    pub fn on_fault(&mut self) {
        if self.now >= TRAFFIC_END_MS {
            return;
        }
        self.counters.faults += 1;
        let wait = self.between(50.0, 900.0);
        self.schedule(wait, Event::Fault);
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

    /// Kills a forwarder, which restarts at once.
    fn kill_forwarder(&mut self, forwarder: usize) {
        let (at, via) = (self.now, forwarder_name(forwarder));
        self.records.push(Record::ForwarderKilled { at, via });
        let incarnation = self.forwarders[forwarder].incarnation + 1;
        let killed =
            std::mem::replace(&mut self.forwarders[forwarder], Forwarder::new(forwarder, incarnation));
        // The connections of the killed forwarder are closed, so the engines cancel its attempts.
        for (attempt, engine) in killed.in_flight {
            let Some(simulated) = self.engines.get_mut(&engine) else { continue };
            simulated.change += 1;
            if simulated.model.cancel(self.now, &attempt) {
                simulated.running.remove(&attempt);
                self.record_end(engine, &attempt, AttemptOutcome::Cancelled);
            }
            self.collect_completed(engine);
        }
        // The restarted forwarder reads the current engine list.
        let list: Vec<(EngineId, Phase)> =
            self.engines.iter().map(|(engine, simulated)| (*engine, simulated.phase)).collect();
        for (engine, phase) in list {
            self.on_engine_listed(forwarder, engine, phase);
        }
    }

    /// Drains an engine, and starts its successor under a new id.
    fn replace_engine(&mut self) {
        let serving: Vec<EngineId> = self.engines_in(Phase::Serving).collect();
        if serving.len() <= MIN_SERVING {
            return;
        }
        let engine = serving[self.pick(serving.len())];
        let simulated = self.engines.get_mut(&engine).expect("the engine was selected from the list");
        simulated.phase = Phase::Draining;
        self.announce(engine, Phase::Draining, false);
        self.start_engine(false);
    }

    /// Kills a draining engine, which breaks the attempts that run on it.
    fn kill_draining_engine(&mut self) {
        let Some(engine) = self.engines_in(Phase::Draining).next() else { return };
        let simulated = self.engines.remove(&engine).expect("the engine was selected from the list");
        for (attempt, to) in simulated.running {
            self.record_end(engine, &attempt, AttemptOutcome::Broken);
            self.schedule(BROKEN_DELAY_MS, Event::AttemptEnds { to, attempt, end: AttemptEnd::MayHaveRun });
        }
        self.announce(engine, Phase::Gone, false);
    }

    fn engines_in(&self, phase: Phase) -> impl Iterator<Item = EngineId> {
        let in_phase = self.engines.iter().filter(move |(_, simulated)| simulated.phase == phase);
        in_phase.map(|(engine, _)| *engine)
    }
}
