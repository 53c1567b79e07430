//! The choice of timeouts.

use super::*;
use crate::policy::{TimeoutEstimator, is_timeout_due};
use crate::requests::{OngoingRun, RunHistory};

/// An estimator of two classes with these served first runs of the first one.
fn trained(runs: impl IntoIterator<Item = f64>) -> TimeoutEstimator {
    let mut timeouts = TimeoutEstimator { histories: vec![RunHistory::default(), RunHistory::default()] };
    for ratio in runs {
        timeouts.on_run_ended(ClassId(0), ratio, false, true, 0.0);
    }
    timeouts
}

/// One run in ten takes 20 times as long as the others.
fn with_stragglers(count: usize) -> impl Iterator<Item = f64> {
    (0..count).map(|number| if number % 10 == 0 { 20.0 } else { 1.0 })
}

fn choose(timeouts: &mut TimeoutEstimator, class: usize) -> Option<f64> {
    timeouts.choose_timeout(ClassId(class), &[], true);
    timeouts.histories[class].timeout_ratio
}

#[test]
fn timeout_is_the_first_bin_edge_past_most_runs() {
    let timeout = choose(&mut trained(with_stragglers(60)), 0).unwrap();
    assert!((1.0..1.25).contains(&timeout), "{timeout}");
}

#[test]
fn no_timeout_if_runs_are_equal_or_few_or_cancellation_is_disabled() {
    assert_eq!(choose(&mut trained([1.0; 60]), 0), None);
    assert_eq!(choose(&mut trained(with_stragglers(19)), 0), None);
    let mut timeouts = trained(with_stragglers(60));
    timeouts.choose_timeout(ClassId(0), &[], false);
    assert_eq!(timeouts.histories[0].timeout_ratio, None);
}

#[test]
fn change_is_logged_once() {
    let mut timeouts = trained(with_stragglers(60));
    let line = timeouts.choose_timeout(ClassId(0), &[], true).unwrap();
    assert!(line.starts_with("class 0: timeout at 1."), "{line}");
    assert_eq!(timeouts.choose_timeout(ClassId(0), &[], true), None);
    assert_eq!(timeouts.choose_timeout(ClassId(0), &[], false).unwrap(), "class 0: no timeout");
}

#[test]
fn class_without_runs_uses_the_runs_of_other_classes() {
    assert!(choose(&mut trained(with_stragglers(60)), 1).is_some());
}

/// The timeout ends if relaunches are as slow as stragglers, but not after a few slow ones at first.
#[test]
fn long_relaunches_end_the_timeout() {
    let mut timeouts = trained(with_stragglers(60));
    assert!(choose(&mut timeouts, 0).is_some());
    timeouts.on_run_ended(ClassId(0), 20.0, true, true, 0.0);
    assert!(choose(&mut timeouts, 0).is_some());
    for _ in 0..60 {
        timeouts.on_run_ended(ClassId(0), 40.0, true, false, 0.0);
    }
    assert_eq!(choose(&mut timeouts, 0), None);
}

/// A straggler in flight counts in the tail, by its run time so far or by the end that a progress report
/// predicts.
#[test]
fn ongoing_runs_count() {
    for end_is_predicted in [false, true] {
        let mut timeouts = trained([1.0; 30]);
        let run = || OngoingRun { class: ClassId(0), run_ratio: 40.0, end_is_predicted };
        timeouts.choose_timeout(ClassId(0), &[run(), run(), run()], true);
        assert!(timeouts.histories[0].timeout_ratio.is_some(), "{end_is_predicted}");
    }
}

#[test]
fn run_is_cancelled_past_the_timeout_unless_a_progress_report_predicts_an_early_end() {
    for (run_ratio, remaining, due) in [
        (0.99, None, false),
        (1.0, None, true),
        (1.5, Some(99.0), false),
        (1.5, Some(101.0), true),
        (0.5, Some(249.0), false),
        (0.5, Some(251.0), true),
        (0.29, Some(1_000.0), false),
    ] {
        assert_eq!(is_timeout_due(1.0, run_ratio, remaining, 100.0), due, "{run_ratio} {remaining:?}");
    }
}
