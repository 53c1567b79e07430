//! Load: what is in flight on each engine, by this dispatcher's own requests and by the engines' reports.

use super::*;

/// ms after which a report of an engine's load tells little: about the run of a heavy query.
const REPORT_HORIZON: Millis = 2_000.0;
/// The engines that reported last: so many are compared in a placement.
pub const MAX_REPORTERS: usize = 3;
/// Share of what is known of the typical query that each end replaces: some 50 ends tell the mix.
const MIX_STEP: f64 = 0.02;

impl LoadTracker {
    pub fn on_report(&mut self, engine: &mut Engine, others: f64, now: Millis) {
        engine.reported_others.add(others, now, REPORT_HORIZON);
        self.reporters.retain(|other| *other != engine.entry.engine);
        push_bounded(&mut self.reporters, engine.entry.engine, MAX_REPORTERS);
    }

    pub fn on_attempt_ended(&mut self, demand: InFlightLoad, elapsed: Millis) {
        self.typical.add(self.typical, -MIX_STEP);
        self.typical.add(demand, MIX_STEP * elapsed.max(1.0));
    }

    /// Takes the average over the engines that take work.
    pub fn update<'a>(&mut self, context: &Context, available: impl Iterator<Item = &'a Engine>) {
        let (mut others, mut cores, mut own) = (0.0, 0.0, Vec::new());
        for engine in available {
            let size = context.settings.machine_type(&engine.entry).cores;
            let weight = engine.reported_others.confidence(context.now, REPORT_HORIZON);
            // As if one engine had just been seen idle: without reports, sends are tried and bring some.
            cores += size * weight + if cores == 0.0 { size } else { 0.0 };
            others += engine.reported_others.value.max(0.0) * weight;
            if self.reporters.is_empty() {
                own.push(OwnQueries { queries: engine.own.queries, cores: size });
            }
        }
        if self.reporters.is_empty() {
            // Other dispatchers are taken to do as this one does.
            let crowd = estimated_crowd(&mut own, context.settings.dispatchers);
            self.crowd.follow(crowd, context.now, ENGINE_HORIZON);
        } else {
            self.crowd.value = if cores > 0.0 { others / cores } else { 0.0 };
        }
    }

    /// Queries of other dispatchers on an engine: its reports, drawn to the fleet's average as they grow old.
    pub fn others(&self, context: &Context, engine: &Engine) -> f64 {
        let cores = context.settings.machine_type(&engine.entry).cores;
        let average = self.crowd.value * cores * engine.warm_up.capacity_share(context);
        if self.reporters.is_empty() {
            return estimated_others(engine.own.queries, average, context.settings.dispatchers);
        }
        let difference = engine.reported_others.value - average;
        (average + difference * engine.reported_others.confidence(context.now, REPORT_HORIZON)).max(0.0)
    }

    /// What is in flight on an engine with a demand and with queries of others, taken to be like one's own.
    pub fn total(&self, engine: &Engine, others: f64, demand: InFlightLoad) -> InFlightLoad {
        let typical = if self.typical.queries > 0.0 { self.typical } else { demand };
        engine.own.with(others, typical, demand)
    }
}
