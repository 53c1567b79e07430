//! Load: the queries in flight on each engine, from this dispatcher's own requests and from load reports.

use super::ENGINE_HORIZON;
use crate::dispatcher::Context;
use crate::engines::{Engine, LoadTracker};
use crate::interface::Millis;
use crate::stats::{
    InFlightLoad, OwnQueries, estimate_fleet_queries_per_core, estimate_queries_of_other_dispatchers,
    push_bounded,
};

/// Horizon in milliseconds over which a load report loses its weight: about the run time of a heavy query.
const REPORT_HORIZON: Millis = 2_000.0;
/// Number of the engines with the latest load reports that are compared in a placement.
pub const MAX_REPORTERS: usize = 3;
/// Fraction of the weighted demands that each ended attempt replaces, so that about 50 attempts determine the
/// typical query.
const DEMAND_STEP: f64 = 0.02;
/// Least time in flight, in milliseconds, by which the demand of an ended attempt is weighted.
const MIN_DEMAND_WEIGHT: Millis = 1.0;

impl LoadTracker {
    /// Adds a load report, as the number of queries of other dispatchers on the engine, to the engine's
    /// decaying mean, and makes the engine the latest reporter.
    pub fn on_report(&mut self, engine: &mut Engine, queries_of_other_dispatchers: f64, now: Millis) {
        let reported = &mut engine.reported_queries_of_other_dispatchers;
        reported.add(queries_of_other_dispatchers, now, REPORT_HORIZON);
        self.reporters.retain(|reporter| *reporter != engine.entry.engine);
        push_bounded(&mut self.reporters, engine.entry.engine, MAX_REPORTERS);
    }

    /// Adds the demand of an ended attempt to the typical query, weighted by its time in flight.
    pub fn on_attempt_ended(&mut self, demand: InFlightLoad, elapsed: Millis) {
        self.weighted_demands.add_scaled(self.weighted_demands, -DEMAND_STEP);
        self.weighted_demands.add_scaled(demand, DEMAND_STEP * elapsed.max(MIN_DEMAND_WEIGHT));
    }

    /// Recomputes the fleet's mean queries per core from the available engines: from their load reports, or
    /// from this dispatcher's own queries while no engine has reported.
    pub fn update_mean<'a>(&mut self, context: &Context, available: impl Iterator<Item = &'a Engine>) {
        let mut reported_queries = 0.0;
        let mut reporting_cores = 0.0;
        let mut own_queries = Vec::new();
        for engine in available {
            let cores = context.settings.machine_type(&engine.entry).cores;
            let reported = &engine.reported_queries_of_other_dispatchers;
            let confidence = reported.confidence(context.now, REPORT_HORIZON);
            // The first engine counts as if it had also just reported that it is idle. Without fresh reports
            // the mean is then low, requests are sent, and their responses bring reports.
            let is_first = reporting_cores == 0.0;
            let idle_report_cores = if is_first { cores } else { 0.0 };
            reporting_cores += cores * confidence + idle_report_cores;
            reported_queries += reported.value.max(0.0) * confidence;
            if self.reporters.is_empty() {
                own_queries.push(OwnQueries { queries: engine.own_load.queries, cores });
            }
        }
        if self.reporters.is_empty() {
            // Assumes that the other dispatchers send as many queries as this one.
            let estimate = estimate_fleet_queries_per_core(&mut own_queries, context.settings.dispatchers);
            self.fleet_queries_per_core.update(estimate, context.now, ENGINE_HORIZON);
        } else {
            let mean = if reporting_cores > 0.0 { reported_queries / reporting_cores } else { 0.0 };
            self.fleet_queries_per_core.value = mean;
        }
    }

    /// Estimated queries of other dispatchers in flight on an engine: the reported count, which decays
    /// towards the fleet's mean with the age of the report. Without any reports the estimate is made from
    /// this dispatcher's own queries.
    pub fn queries_of_other_dispatchers(&self, context: &Context, engine: &Engine) -> f64 {
        let cores = context.settings.machine_type(&engine.entry).cores;
        let capacity_fraction = engine.warm_up.capacity_fraction(context);
        let fleet_mean = self.fleet_queries_per_core.value * cores * capacity_fraction;
        if self.reporters.is_empty() {
            let dispatchers = context.settings.dispatchers;
            return estimate_queries_of_other_dispatchers(engine.own_load.queries, fleet_mean, dispatchers);
        }
        let reported = &engine.reported_queries_of_other_dispatchers;
        let difference = reported.value - fleet_mean;
        (fleet_mean + difference * reported.confidence(context.now, REPORT_HORIZON)).max(0.0)
    }

    /// The load of an engine with one further demand: own queries, plus those of other dispatchers, which are
    /// assumed to be like this dispatcher's typical query.
    pub fn total_load(
        &self,
        engine: &Engine,
        queries_of_other_dispatchers: f64,
        demand: InFlightLoad,
    ) -> InFlightLoad {
        let typical = if self.weighted_demands.queries > 0.0 { self.weighted_demands } else { demand };
        engine.own_load.with(queries_of_other_dispatchers, typical, demand)
    }
}
