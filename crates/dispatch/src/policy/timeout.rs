//! The timeout of a class, past which a first run is cancelled and relaunched on another engine: tau in
//! "Stability and Optimization of Speculative Queueing Networks". Run times are ratios to the estimate times
//! the slowness of the engine, because load or faults that slow down all queries of an engine, or of the
//! fleet, do not make a query a straggler.
//!
//! An attempt after a timeout cancel is a relaunch. The attempts before it are first runs, also those that
//! are retries.

use crate::interface::{ClassId, Millis};
use crate::requests::{FirstRun, OngoingRun, RunHistory};
use crate::stats::{Histogram, SurvivalPoint, bin_of, push_bounded};

/// Least number of first runs with an observed or predicted end from which a timeout is chosen. A class of
/// which fewer have been served uses the first runs of all classes. With fewer samples a tail of a few
/// percent cannot be estimated.
const MIN_FIRST_RUNS: usize = 20;
/// Number of first runs that are stored for each class: a minute or more of its traffic, so that rare
/// stragglers are among them.
const MAX_FIRST_RUNS: usize = 1000;
/// Fraction of requests whose first run is never cancelled, so that the tail of run times continues to be
/// measured.
pub const EXEMPT_FRACTION: f64 = 0.04;
/// A class without a timeout gets one only if that reduces the load of its queries below this fraction. A
/// smaller gain may be noise.
const MAX_LOAD_FRACTION_TO_START: f64 = 0.85;
/// Fraction of the timeout after which a progress report can bring the cancel forward.
const EARLY_TIMEOUT_FRACTION: f64 = 0.3;
/// The remaining time that brings the cancel forward, in expected run times of a relaunch.
const EARLY_REMAINING_RELAUNCHES: f64 = 2.5;
/// Weight of the class's mean run time in the expected run time of a relaunch, in relaunches. It prevents one
/// slow relaunch among the first few from ending all timeouts.
const PRIOR_RELAUNCHES: f64 = 10.0;
/// Horizon in milliseconds of the mean run time of relaunches; long, because relaunches are rare.
const RELAUNCH_HORIZON: Millis = 80_000.0;

/// Chooses the timeout of each class from the run times of its requests.
#[derive(Default)]
pub struct TimeoutEstimator {
    /// The run times and the timeout of each class, by class number.
    pub histories: Vec<RunHistory>,
}

impl TimeoutEstimator {
    /// Stores the run time of a first run or a relaunch that has ended. The time of a run that was not served
    /// is a lower bound. Relaunches that were not served count too: without them timeouts would seem better
    /// than they are.
    pub fn on_run_ended(
        &mut self,
        class: ClassId,
        run_ratio: f64,
        is_relaunch: bool,
        served: bool,
        now: Millis,
    ) {
        let history = &mut self.histories[class.0];
        if is_relaunch {
            history.relaunch_ratio.add(run_ratio, now, RELAUNCH_HORIZON);
        } else {
            let first_run = FirstRun { bin: bin_of(run_ratio), served };
            push_bounded(&mut history.first_runs, first_run, MAX_FIRST_RUNS);
        }
    }

    /// Sets the timeout of a class to the value that minimises the load of a query, ρ(τ) in equation (10)
    /// of the paper: the area under the survival curve of first runs up to the timeout, plus the mean relaunch
    /// time multiplied by the survival at the timeout (Theorem 4, section 5). Sets it to `None` where never
    /// cancelling is as good (Theorem 2, section 4), or if `cancellation_enabled` is false. Runs that were
    /// not served, or are in flight, are right-censored. Returns a log line if the class gets a timeout or
    /// loses it.
    pub fn choose_timeout(
        &mut self,
        class: ClassId,
        ongoing: &[OngoingRun],
        cancellation_enabled: bool,
    ) -> Option<String> {
        let histogram = self.histogram(class, ongoing);
        let curve = histogram.survival();
        let history = &mut self.histories[class.0];
        let relaunches = history.relaunch_ratio;
        let weighted_relaunches = curve.mean * PRIOR_RELAUNCHES + relaunches.value * relaunches.weight;
        let relaunch_ratio = weighted_relaunches / (PRIOR_RELAUNCHES + relaunches.weight);
        history.expected_relaunch_ratio = relaunch_ratio;
        let load_at = |point: &SurvivalPoint| point.area + relaunch_ratio * point.survival;
        let loads = curve.points.iter().map(|point| (load_at(point), point.run_ratio));
        let least_load = loads.min_by(|(load_a, _), (load_b, _)| load_a.total_cmp(load_b));
        // While stragglers are cancelled little of the tail is observed, so an existing timeout is kept until
        // it gains nothing.
        let max_load_fraction =
            if history.timeout_ratio.is_some() { 1.0 } else { MAX_LOAD_FRACTION_TO_START };
        let max_load = curve.mean * max_load_fraction;
        let may_cancel = histogram.ended() >= MIN_FIRST_RUNS && cancellation_enabled;
        let gains = |load: f64| may_cancel && load < max_load;
        let timeout_ratio = least_load.filter(|(load, _)| gains(*load)).map(|(_, run_ratio)| run_ratio);
        let previous = std::mem::replace(&mut history.timeout_ratio, timeout_ratio);
        let changed = previous.is_some() != timeout_ratio.is_some();
        changed.then(|| history.timeout_log_line(class))
    }

    /// The first runs of a class, ended and ongoing. Until enough of its own have been served, it contains
    /// those of all classes.
    fn histogram(&self, class: ClassId, ongoing: &[OngoingRun]) -> Histogram {
        let served = self.histories[class.0].first_runs.iter().filter(|run| run.served).count();
        let is_included = |number: usize| number == class.0 || served < MIN_FIRST_RUNS;
        let mut histogram = Histogram::default();
        for (_, history) in self.histories.iter().enumerate().filter(|(number, _)| is_included(*number)) {
            for run in &history.first_runs {
                histogram.add(run.bin, run.served);
            }
        }
        for run in ongoing.iter().filter(|run| is_included(run.class.0)) {
            histogram.add(bin_of(run.run_ratio), run.end_is_predicted);
        }
        histogram
    }
}

/// Whether a first run is to be cancelled now. `timeout_ratio` is the timeout of its class, `run_ratio` its
/// run time so far, `remaining` its remaining time by a progress report, and `relaunch_time` the expected run
/// time of a relaunch.
///
/// Without a report it is cancelled at the timeout. With one, the remaining time is compared with a relaunch,
/// as Theorem 2 does for the class: a run that ends sooner than a relaunch continues past the timeout, and
/// one that clearly ends later is cancelled before it. A wrong report costs one relaunch.
pub fn is_timeout_due(
    timeout_ratio: f64,
    run_ratio: f64,
    remaining: Option<Millis>,
    relaunch_time: Millis,
) -> bool {
    match remaining {
        Some(remaining) if run_ratio >= timeout_ratio => remaining > relaunch_time,
        Some(remaining) => {
            run_ratio >= timeout_ratio * EARLY_TIMEOUT_FRACTION
                && remaining > EARLY_REMAINING_RELAUNCHES * relaunch_time
        }
        None => run_ratio >= timeout_ratio,
    }
}
