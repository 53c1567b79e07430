//! Engines and what runs on them.

use std::collections::BTreeMap;

use gaugestep_testbed::engine_model::{EngineModel, EngineProfile, Query};
use gaugestep_testbed::record::{AttemptOutcome, Phase, Record};
use gaugestep_two_level::order_guard::{AttemptEnd, EngineId};

use crate::simulation::{
    AttemptKey, Details, Event, FORWARDERS, ForwarderLife, Simulation, engine_name, forwarder_name,
};

/// Milliseconds after which a forwarder learns that an attempt was rejected.
const REJECTED_DELAY: f64 = 1.0;
/// Milliseconds after which a forwarder learns that an attempt was cancelled.
const CANCELLED_DELAY: f64 = 0.5;
/// Milliseconds that a check comes after the completion, which a rounding error must not move past it.
const CHECK_DELAY: f64 = 0.01;
/// Table sets that queries use.
const SETS: u64 = 60;

pub struct SimulatedEngine {
    pub model: EngineModel<AttemptKey>,
    pub phase: Phase,
    /// Whose attempts run there.
    pub running: BTreeMap<AttemptKey, ForwarderLife>,
    /// Increases with each change, so that checks of an earlier state are void.
    pub change: u64,
}

impl Simulation {
    pub fn start_engine(&mut self, warm: bool) {
        let engine = EngineId(self.next_engine);
        self.next_engine += 1;
        let profile = EngineProfile { cores: 8.0, ..EngineProfile::default() };
        let model = EngineModel::start(self.now, profile, warm);
        let (phase, running) = (Phase::Serving, BTreeMap::new());
        self.engines.insert(engine, SimulatedEngine { model, phase, running, change: 0 });
        self.announce(engine, Phase::Serving, warm && self.now == 0.0);
    }

    /// Lets all forwarders learn of the phase of an engine, each in its own time.
    pub fn announce(&mut self, engine: EngineId, phase: Phase, at_once: bool) {
        for forwarder in 0..FORWARDERS {
            let delay = if at_once { 0.0 } else { self.between(1.0, 1_500.0) };
            let at = self.life(forwarder);
            self.after(delay, Event::EngineListed { at, engine, phase });
        }
    }

    fn report(&mut self, delay: f64, at: ForwarderLife, attempt: AttemptKey, end: AttemptEnd) {
        self.after(delay, Event::AttemptEnds { at, attempt, end });
    }

    pub fn record_end(&mut self, engine: EngineId, attempt: &AttemptKey, outcome: AttemptOutcome) {
        let (at, engine, id) = (self.now, engine_name(engine), attempt.id.clone());
        self.records.push(Record::AttemptEnded { at, engine, id, outcome });
    }

    pub fn on_attempt_at_engine(
        &mut self,
        engine: EngineId,
        from: ForwarderLife,
        attempt: AttemptKey,
        details: Details,
    ) {
        let set = self.random.rand_range(0..SETS);
        let Some(there) = self.engines.get_mut(&engine) else {
            return self.report(REJECTED_DELAY, from, attempt, AttemptEnd::NeverRan);
        };
        let Details { class, work } = details;
        let query = Query {
            work,
            threads: 1.0,
            data_set: set,
            is_load: class == "load",
            waits_for_loads: false,
            priority: 1,
        };
        let accepted = there.model.submit(self.now, attempt.clone(), query);
        there.change += 1;
        if accepted {
            there.running.insert(attempt.clone(), from);
        }
        self.records.push(Record::AttemptStarted {
            at: self.now,
            engine: engine_name(engine),
            via: forwarder_name(from.forwarder),
            id: attempt.id.clone(),
            work,
        });
        if !accepted {
            self.record_end(engine, &attempt, AttemptOutcome::Rejected);
            self.report(REJECTED_DELAY, from, attempt, AttemptEnd::NeverRan);
        }
        self.collect_completed(engine);
    }

    pub fn on_cancel_at_engine(&mut self, engine: EngineId, attempt: &AttemptKey) {
        let Some(there) = self.engines.get_mut(&engine) else { return };
        there.change += 1;
        if there.model.cancel(self.now, attempt) {
            let from = there.running.remove(attempt).expect("a running attempt has a forwarder");
            self.record_end(engine, attempt, AttemptOutcome::Cancelled);
            self.report(CANCELLED_DELAY, from, attempt.clone(), AttemptEnd::MayHaveRun);
        }
        self.collect_completed(engine);
    }

    /// Reports what has completed, and schedules a check at the next completion.
    pub fn collect_completed(&mut self, engine: EngineId) {
        let Some(there) = self.engines.get_mut(&engine) else { return };
        let completed = there.model.take_completed(self.now);
        let next = there.model.next_completion();
        there.change += 1;
        let change = there.change;
        for (_, attempt) in completed {
            let there = self.engines.get_mut(&engine).expect("engines are removed by faults only");
            let Some(from) = there.running.remove(&attempt) else { continue };
            let (outcome, end) = match self.one_in(60) {
                true => (AttemptOutcome::Failed, AttemptEnd::MayHaveRun),
                false => (AttemptOutcome::Served, AttemptEnd::Served),
            };
            self.record_end(engine, &attempt, outcome);
            let delay = self.between(0.1, 1.0);
            self.report(delay, from, attempt, end);
        }
        if let Some((at, _)) = next {
            let wait = (at - self.now).max(CHECK_DELAY) + CHECK_DELAY;
            self.after(wait, Event::EngineCheck { engine, change });
        }
    }
}
