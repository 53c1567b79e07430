//! Estimates of a request's work, run time and memory, corrected by what served requests of its class needed.
//!
//! Work is measured in milliseconds on one thread.

use super::CLASS_HORIZON;
use crate::dispatcher::Context;
use crate::interface::{AttemptEnd, ClassId, Millis, NewRequest};
use crate::requests::ClassCorrections;
use crate::stats::InFlightLoad;

/// Work in milliseconds that is assumed for a request without an estimate until one of its class has been
/// served.
const DEFAULT_WORK: Millis = 1_000.0;
/// Weight of served attempts, decayed by their age, from which the run time of a class is known. A class
/// whose run time is unknown must not count as hopeless: all its requests would be rejected, and nothing
/// would be learned about it.
const MIN_KNOWN_WEIGHT: f64 = 0.5;
/// Lower bound of a run time, in milliseconds, before its logarithm is taken.
const MIN_RUN_TIME: Millis = 0.1;
/// Fraction by which each served attempt that reports its memory moves the class's memory bias: about 20
/// attempts determine it.
const MEMORY_STEP: f64 = 0.05;
/// Granted memory over needed memory, on average. Needs vary, and a spill costs more than unused memory.
const MEMORY_MARGIN: f64 = 1.2;
/// By how much a served attempt that does not report its cost lowers the logarithm of the class's memory
/// bias.
const MEMORY_LOG_DECREASE: f64 = 0.001;
/// Lower bound of the logarithm of the memory bias where costs are not reported.
const MIN_MEMORY_LOG: f64 = -0.2;
/// By how much a spill raises the logarithm of the class's memory bias.
const SPILL_MEMORY_LOG_INCREASE: f64 = 0.03;
/// Upper bound of the logarithm of the memory bias after a spill.
const MAX_MEMORY_LOG: f64 = 1.0;

/// Estimates the work of requests, with corrections that are learned for each class.
#[derive(Default)]
pub struct WorkEstimator {
    /// The corrections of each class's estimates, by class number.
    pub corrections: Vec<ClassCorrections>,
}

impl WorkEstimator {
    /// The run time of a request on an engine without other load, by its own estimate. For a request without
    /// one it is chosen so that [`Self::unloaded_run_time`] gives the geometric mean of the class's served
    /// requests.
    pub fn nominal_run_time(&self, context: &Context, new: &NewRequest) -> Millis {
        let class = &self.corrections[new.class.0];
        let default_work = DEFAULT_WORK * class.default_work_bias.factor / class.work_bias.factor;
        let work = if new.estimate > 0.0 { new.estimate } else { default_work };
        work / context.settings.class(new).threads
    }

    /// The run time of a request on an engine without other load, corrected by the bias of its class's
    /// estimates.
    pub fn unloaded_run_time(&self, context: &Context, new: &NewRequest) -> Millis {
        self.nominal_run_time(context, new) * self.corrections[new.class.0].work_bias.factor
    }

    /// The run time to expect at the fleet's present load; 0 if no request of the class was served recently.
    pub fn expected_run_time(&self, context: &Context, new: &NewRequest) -> Millis {
        let stretch = &self.corrections[new.class.0].run_time_stretch;
        let is_known = stretch.log_mean.weight_at(context.now, CLASS_HORIZON) >= MIN_KNOWN_WEIGHT;
        if is_known { self.unloaded_run_time(context, new) * stretch.factor } else { 0.0 }
    }

    /// The mean work of the class's requests, in milliseconds on one thread. Estimates that are too low are
    /// corrected; those that are too high are not.
    pub fn typical_work(&self, class: ClassId) -> Millis {
        let class = &self.corrections[class.0];
        class.estimated_work.value * class.work_bias.factor.max(1.0)
    }

    /// The load that one run of the request puts on an engine. The memory includes a margin.
    pub fn demand(&self, context: &Context, new: &NewRequest) -> InFlightLoad {
        let memory_mb = new.memory_mb * self.corrections[new.class.0].memory_bias.factor * MEMORY_MARGIN;
        InFlightLoad { queries: 1.0, threads: context.settings.class(new).threads, memory_mb }
    }

    /// Adds the estimated work of a request that arrives to the mean of its class.
    pub fn on_request(&mut self, context: &Context, new: &NewRequest) {
        let work = self.nominal_run_time(context, new) * context.settings.class(new).threads;
        self.corrections[new.class.0].estimated_work.add(work, context.now, CLASS_HORIZON);
    }

    /// Learns from a served attempt. Returns the natural logarithm of its stretch over the class's mean
    /// stretch, or `None` if this is the class's first served attempt.
    pub fn on_served(&mut self, context: &Context, new: &NewRequest, end: &AttemptEnd) -> Option<f64> {
        let nominal = self.nominal_run_time(context, new);
        let threads = context.settings.class(new).threads;
        let class = &mut self.corrections[new.class.0];
        let mut unloaded_run_time = nominal;
        if let Some(cost) = end.cost.filter(|cost| cost.work > 0.0) {
            unloaded_run_time = cost.work / threads;
            class.work_bias.add_log((unloaded_run_time / nominal).ln(), context.now, CLASS_HORIZON);
            if new.memory_mb > 0.0 && cost.memory_mb > 0.0 {
                class.memory_bias.step_towards((cost.memory_mb / new.memory_mb).ln(), MEMORY_STEP);
            }
        } else {
            class.memory_bias.set_log((class.memory_bias.log - MEMORY_LOG_DECREASE).max(MIN_MEMORY_LOG));
        }
        let log_stretch = (end.elapsed.max(MIN_RUN_TIME) / unloaded_run_time).ln();
        let previous = class.run_time_stretch.log_mean;
        class.run_time_stretch.add_log(log_stretch, context.now, CLASS_HORIZON);
        let log_default_work_bias = (unloaded_run_time * threads / DEFAULT_WORK).ln();
        class.default_work_bias.add_log(log_default_work_bias, context.now, CLASS_HORIZON);
        (previous.weight > 0.0).then_some(log_stretch - previous.value)
    }

    /// Raises the memory bias of a class after one of its queries spilled for lack of memory.
    pub fn on_spill(&mut self, class: ClassId) {
        let memory_bias = &mut self.corrections[class.0].memory_bias;
        memory_bias.set_log((memory_bias.log + SPILL_MEMORY_LOG_INCREASE).min(MAX_MEMORY_LOG));
    }
}
