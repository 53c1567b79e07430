//! The simulated engines and the attempts that run on them.

use std::collections::BTreeMap;

use gaugestep_testbed::engine_model::{EngineModel, EngineProfile, Query};
use gaugestep_testbed::record::{AttemptOutcome, Phase, Record};
use gaugestep_two_level::order_guard::{AttemptEnd, EngineId};

use crate::simulation::{
    AttemptKey, Details, Event, FORWARDERS, ForwarderIncarnation, Simulation, engine_name, forwarder_name,
};

/// Milliseconds after which a forwarder learns that an attempt was rejected.
const REJECTED_DELAY_MS: f64 = 1.0;
/// Milliseconds after which a forwarder learns that an attempt was cancelled.
const CANCELLED_DELAY_MS: f64 = 0.5;
/// Milliseconds from a completion to the check for it, so that a rounding error cannot move the check before
/// the completion.
const CHECK_DELAY_MS: f64 = 0.01;
/// The number of data sets that queries use.
const DATA_SETS: u64 = 60;

pub struct SimulatedEngine {
    pub model: EngineModel<AttemptKey>,
    pub phase: Phase,
    /// The attempts that run on the engine, and the forwarders that sent them.
    pub running: BTreeMap<AttemptKey, ForwarderIncarnation>,
    /// Incremented with each change of the model, so that checks scheduled for an earlier state are ignored.
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

    /// Announces the phase of an engine to all forwarders, to each with a delay of its own unless `at_once`.
    pub fn announce(&mut self, engine: EngineId, phase: Phase, at_once: bool) {
        for forwarder in 0..FORWARDERS {
            let delay = if at_once { 0.0 } else { self.between(1.0, 1_500.0) };
            let to = self.incarnation(forwarder);
            self.schedule(delay, Event::EngineListed { to, engine, phase });
        }
    }

    /// Reports the end of an attempt to its forwarder after a delay in milliseconds.
    fn report(&mut self, delay: f64, to: ForwarderIncarnation, attempt: AttemptKey, end: AttemptEnd) {
        self.schedule(delay, Event::AttemptEnds { to, attempt, end });
    }

    pub fn record_end(&mut self, engine: EngineId, attempt: &AttemptKey, outcome: AttemptOutcome) {
        let (at, engine, id) = (self.now, engine_name(engine), attempt.id.clone());
        self.records.push(Record::AttemptEnded { at, engine, id, outcome });
    }

    pub fn on_attempt_at_engine(
        &mut self,
        engine: EngineId,
        from: ForwarderIncarnation,
        attempt: AttemptKey,
        details: Details,
    ) {
        let data_set = self.random.rand_range(0..DATA_SETS);
        let Some(simulated) = self.engines.get_mut(&engine) else {
            return self.report(REJECTED_DELAY_MS, from, attempt, AttemptEnd::NeverRan);
        };
        let Details { class, work } = details;
        let query = Query {
            work,
            threads: 1.0,
            data_set,
            is_load: class == "load",
            waits_for_loads: false,
            priority: 1,
        };
        let accepted = simulated.model.submit(self.now, attempt.clone(), query);
        simulated.change += 1;
        if accepted {
            simulated.running.insert(attempt.clone(), from);
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
            self.report(REJECTED_DELAY_MS, from, attempt, AttemptEnd::NeverRan);
        }
        self.collect_completed(engine);
    }

    pub fn on_cancel_at_engine(&mut self, engine: EngineId, attempt: &AttemptKey) {
        let Some(simulated) = self.engines.get_mut(&engine) else { return };
        simulated.change += 1;
        if simulated.model.cancel(self.now, attempt) {
            let from = simulated.running.remove(attempt).expect("a running attempt has a forwarder");
            self.record_end(engine, attempt, AttemptOutcome::Cancelled);
            self.report(CANCELLED_DELAY_MS, from, attempt.clone(), AttemptEnd::MayHaveRun);
        }
        self.collect_completed(engine);
    }

    /// Reports the attempts that have completed, and schedules a check at the next completion.
    pub fn collect_completed(&mut self, engine: EngineId) {
        let Some(simulated) = self.engines.get_mut(&engine) else { return };
        let completed = simulated.model.take_completed(self.now);
        let next = simulated.model.next_completion();
        simulated.change += 1;
        let change = simulated.change;
        for (_, attempt) in completed {
            let simulated = self.engines.get_mut(&engine).expect("engines are removed by faults only");
            let Some(from) = simulated.running.remove(&attempt) else { continue };
            let (outcome, end) = match self.one_in(60) {
                true => (AttemptOutcome::Failed, AttemptEnd::MayHaveRun),
                false => (AttemptOutcome::Served, AttemptEnd::Served),
            };
            self.record_end(engine, &attempt, outcome);
            let delay = self.between(0.1, 1.0);
            self.report(delay, from, attempt, end);
        }
        if let Some((at, _)) = next {
            let wait = (at - self.now).max(CHECK_DELAY_MS) + CHECK_DELAY_MS;
            self.schedule(wait, Event::EngineCheck { engine, change });
        }
    }
}
