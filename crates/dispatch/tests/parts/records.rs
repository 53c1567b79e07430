//! Data structures of requests, and statistics.

use super::*;
use crate::requests::Progress;
use crate::stats::{DecayingMean, Histogram, LogFactor, RecentTimes, bin_of, push_bounded};

#[test]
fn mean_decays_over_its_horizon() {
    let mut mean = DecayingMean::default();
    mean.add(10.0, 0.0, 1_000.0);
    assert_eq!((mean.value, mean.weight), (10.0, 1.0));
    assert_eq!(mean.shrunk_to_zero(0.0, 1_000.0), 5.0);
    assert!(mean.shrunk_to_zero(10_000.0, 1_000.0) < 0.01);
    mean.add(20.0, 10_000.0, 1_000.0);
    assert!(mean.value > 19.9, "{}", mean.value);
}

#[test]
fn factor_moves_by_a_fraction_of_its_logarithm() {
    let mut factor = LogFactor::default();
    factor.step_towards(4.0f64.ln(), 0.5);
    assert!((factor.factor - 2.0).abs() < 1e-12);
}

#[test]
fn recent_times_are_counted_and_discarded() {
    let mut times = RecentTimes::default();
    [1.0, 2.0, 2.0, 5.0].iter().for_each(|at| times.push(*at));
    assert_eq!([0.0, 2.0, 3.0, 6.0].map(|from| times.count_since(from)), [4, 3, 1, 0]);
    times.discard_older_than(4.0, 6.0);
    assert_eq!(times.count_since(0.0), 3);
}

#[test]
fn bounded_queue_contains_the_latest_items() {
    let mut queue = (0..3).collect();
    push_bounded(&mut queue, 3, 2);
    assert_eq!(queue, [2, 3]);
}

/// Of four runs two end in a bin and one is censored there: half of the runs survive the bin, and the
/// censored run does not count in later bins.
#[test]
fn survival_treats_runs_that_have_not_ended_as_censored() {
    let mut histogram = Histogram::default();
    for (ratio, ended) in [(1.0, true), (1.0, true), (1.0, false), (3.0, true)] {
        histogram.add(bin_of(ratio), ended);
    }
    assert_eq!(histogram.ended(), 3);
    let curve = histogram.survival();
    let at = |ratio: f64| curve.points[bin_of(ratio)].survival;
    assert_eq!((at(0.5), at(1.0), at(2.0), at(3.0)), (1.0, 0.5, 0.5, 0.0));
    assert!(curve.points.windows(2).all(|pair| pair[0].area < pair[1].area));
    assert_eq!(curve.mean, curve.points.last().unwrap().area);
}

#[test]
fn remaining_time_is_extrapolated_from_progress() {
    let mut attempt = Attempt::new(EngineId(0), 100.0);
    assert_eq!(attempt.remaining_time(), None);
    attempt.on_progress(0.25, 200.0);
    assert_eq!(attempt.remaining_time(), Some(300.0));
    attempt.on_progress(7.0, 200.0);
    assert_eq!(attempt.progress, Some(Progress { done_fraction: 1.0, reported_at: 200.0 }));
}

#[test]
fn relaunch_and_running_attempts_are_found_after_a_timeout_cancel() {
    let mut first = Attempt::new(EngineId(0), 0.0);
    first.timeout_cancelled = true;
    let request = Request { attempts: vec![first, Attempt::new(EngineId(1), 5.0)], ..open_request(1) };
    assert!(!request.is_relaunch(0) && request.is_relaunch(1));
    assert_eq!(request.in_flight().count(), 2);
    assert_eq!(request.running().map(|(index, _)| index).collect::<Vec<_>>(), [1]);
    assert!(request.is_in_flight() && !request.is_waiting());
}
