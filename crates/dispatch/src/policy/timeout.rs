//! The timeout past which a first run is cancelled and relaunched on another engine: tau in "Stability and
//! Optimization of Speculative Queueing Networks". Times are ratios to the estimate and the slowness of the
//! engine: crowding and troubles that slow every query of an engine, or of all, are no mark of a straggler.

use super::*;

/// Ended first runs of a class before any is cancelled: fewer tell nothing of a tail of a few in a hundred.
const MIN_OUTCOMES: usize = 20;
/// First runs remembered for each class: a minute or more of its traffic, so that rare stragglers stay known.
const MAX_FIRST_RUNS: usize = 1000;
/// Share of first runs that are never cancelled, so that the tail stays seen.
pub const EXEMPT_SHARE: f64 = 0.04;
/// Load with the timeout over load without must be under this to start cancelling: less gain is noise.
const MIN_GAIN: f64 = 0.85;
/// Part of the timeout after which a progress report of this many mean relaunches left brings it forward.
const EARLY_TIMEOUT: f64 = 0.3;
const EARLY_TIME_LEFT: f64 = 2.5;
/// Relaunches that the class's mean counts for: one bad one among the first must not end all timeouts.
const PRIOR_RELAUNCHES: f64 = 10.0;
/// ms over which relaunches, which are rare, are averaged.
const RELAUNCH_HORIZON: Millis = 80_000.0;

/// The run times of each class, and the timeouts chosen by them.
#[derive(Default)]
pub struct TimeoutEstimator(pub Vec<RunHistory>);

impl TimeoutEstimator {
    /// Learns the time of a first run or a relaunch. One that did not complete took at least this long;
    /// relaunches that did not count too: left out, timeouts would look too good.
    pub fn on_run_ended(&mut self, class: ClassId, ratio: f64, relaunch: bool, served: bool, now: Millis) {
        let history = &mut self.0[class.0];
        if relaunch {
            return history.relaunches.add(ratio, now, RELAUNCH_HORIZON);
        }
        push_bounded(&mut history.first_runs, FirstRun { bin: bin_of(ratio), served }, MAX_FIRST_RUNS);
    }

    /// Sets the class's timeout to the value that minimises a query's load, ρ(τ) in equation (10) of the
    /// paper: the area under first runs' survival up to it plus the mean relaunch time times survival at it
    /// (Theorem 4, section 5), or to none where never cancelling is as good (Theorem 2, section 4). Runs that
    /// did not end well, or still run, are right-censored. Returns a change as a line for the log.
    pub fn choose_timeout(&mut self, class: ClassId, ongoing: &[OngoingRun], cancel: bool) -> Option<String> {
        let histogram = self.histogram(class, ongoing);
        let (curve, history) = (histogram.survival(), &mut self.0[class.0]);
        let (relaunch, known) = (history.relaunches.value, history.relaunches.weight);
        let relaunch = (curve.mean * PRIOR_RELAUNCHES + relaunch * known) / (PRIOR_RELAUNCHES + known);
        history.expected_relaunch = relaunch;
        let loads = curve.points.iter().map(|point| (point.area + relaunch * point.survival, point.time));
        let best = loads.min_by(|a, b| a.0.total_cmp(&b.0));
        // Once stragglers are cancelled little of the tail is seen: that stops only when it gains nothing.
        let max_load = curve.mean * if history.timeout.is_some() { 1.0 } else { MIN_GAIN };
        let enough = histogram.ended() >= MIN_OUTCOMES && cancel;
        let timeout = best.filter(|(load, _)| enough && *load < max_load).map(|(_, timeout)| timeout);
        let before = std::mem::replace(&mut history.timeout, timeout);
        let class = class.0;
        (before.is_some() != timeout.is_some()).then(|| match timeout {
            Some(timeout) => format!("class {class}: timeout at {timeout:.2} times the estimate"),
            None => format!("class {class}: no timeout"),
        })
    }

    /// The runs of a class. Until enough of its own have ended, those of all classes stand in for it.
    fn histogram(&self, class: ClassId, ongoing: &[OngoingRun]) -> Histogram {
        let served = self.0[class.0].first_runs.iter().filter(|run| run.served).count();
        let pooled = |other: usize| other == class.0 || served < MIN_OUTCOMES;
        let mut histogram = Histogram::default();
        let classes = self.0.iter().enumerate().filter(|(other, _)| pooled(*other));
        classes.flat_map(|(_, it)| &it.first_runs).for_each(|run| histogram.add(run.bin, run.served));
        let ongoing = ongoing.iter().filter(|run| pooled(run.class.0));
        ongoing.for_each(|run| histogram.add(bin_of(run.ratio), run.end_known));
        histogram
    }
}

/// Whether a first run that has taken `ratio` is to be cancelled now. A progress report weighs the time left
/// against a relaunch, as Theorem 2 does for the class: what ends sooner goes on, what clearly ends later
/// need not wait for the timeout. A wrong report costs one relaunch.
pub fn is_due(timeout: f64, ratio: f64, time_left: Option<Millis>, relaunch: Millis) -> bool {
    match time_left {
        Some(left) if ratio >= timeout => left > relaunch,
        Some(left) => ratio >= timeout * EARLY_TIMEOUT && left > EARLY_TIME_LEFT * relaunch,
        None => ratio >= timeout,
    }
}
