//! Estimates of work, run time and memory.

use super::common::request;
use super::*;
use crate::policy::WorkEstimator;
use crate::requests::ClassCorrections;

fn estimator() -> WorkEstimator {
    WorkEstimator { corrections: vec![ClassCorrections::default()] }
}

/// Serves a request with this estimate, cost and run time. Returns the logarithm of its stretch over the
/// class's mean.
fn serve(work: &mut WorkEstimator, estimate: Millis, cost: Option<Cost>, elapsed: Millis) -> Option<f64> {
    let new = NewRequest { estimate, ..request(1, 0, 60_000.0) };
    let end = AttemptEnd { cost, ..attempt_end(1, 0, Outcome::Served, elapsed) };
    work.on_served(&safe_class(0.0), &new, &end)
}

#[test]
fn request_without_an_estimate_gets_the_run_time_of_its_class() {
    let (context, mut work) = (safe_class(0.0), estimator());
    let unestimated = NewRequest { estimate: 0.0, ..request(1, 0, 60_000.0) };
    assert_eq!(work.nominal_run_time(&context, &unestimated), 1_000.0);
    for _ in 0..50 {
        serve(&mut work, 0.0, Some(Cost { work: 50.0, memory_mb: 0.0 }), 50.0);
    }
    let learned = work.unloaded_run_time(&context, &unestimated);
    assert!((learned - 50.0).abs() < 5.0, "{learned}");
}

#[test]
fn estimates_are_corrected_by_reported_costs() {
    let (context, mut work) = (safe_class(0.0), estimator());
    let new = request(1, 0, 60_000.0);
    for _ in 0..50 {
        serve(&mut work, 1_000.0, Some(Cost { work: 3_000.0, memory_mb: 0.0 }), 3_000.0);
    }
    assert_eq!(work.nominal_run_time(&context, &new), 1_000.0);
    let corrected = work.unloaded_run_time(&context, &new);
    assert!((corrected - 3_000.0).abs() < 1.0, "{corrected}");
}

#[test]
fn expected_run_time_is_unknown_before_a_served_attempt_and_long_after_the_last_one() {
    let (context, mut work) = (safe_class(0.0), estimator());
    let new = request(1, 0, 60_000.0);
    assert_eq!(work.expected_run_time(&context, &new), 0.0);
    assert_eq!(
        serve(&mut work, 1_000.0, None, 2_000.0),
        None,
        "there is no earlier served attempt to compare with"
    );
    let expected = work.expected_run_time(&context, &new);
    assert!((expected - 2_000.0).abs() < 1e-6, "{expected}");
    assert_eq!(work.expected_run_time(&safe_class(20_000.0), &new), 0.0);
}

#[test]
fn stretch_is_compared_with_that_of_the_class() {
    let mut work = estimator();
    serve(&mut work, 1_000.0, None, 1_000.0);
    let slow = serve(&mut work, 1_000.0, None, 4_000.0).unwrap();
    assert!((slow - 4.0f64.ln()).abs() < 1e-9, "{slow}");
}

#[test]
fn granted_memory_grows_with_spills_and_follows_reported_costs() {
    let (context, mut work) = (safe_class(0.0), estimator());
    let new = request(1, 0, 60_000.0);
    let initial_mb = work.demand(&context, &new).memory_mb;
    assert_eq!(initial_mb, 100.0 * 1.2);
    work.on_spill(ClassId(0));
    assert!(work.demand(&context, &new).memory_mb > initial_mb);
    for _ in 0..200 {
        serve(&mut work, 1_000.0, Some(Cost { work: 1_000.0, memory_mb: 50.0 }), 1_000.0);
    }
    let learned_mb = work.demand(&context, &new).memory_mb;
    assert!((learned_mb - 50.0 * 1.2).abs() < 1.0, "{learned_mb}");
}

#[test]
fn typical_work_is_the_mean_of_estimates_unless_they_are_too_low() {
    let mut work = estimator();
    for estimate in [100.0, 300.0] {
        work.on_request(&safe_class(0.0), &NewRequest { estimate, ..request(1, 0, 60_000.0) });
    }
    assert_eq!(work.typical_work(ClassId(0)), 200.0);
    serve(&mut work, 1_000.0, Some(Cost { work: 100.0, memory_mb: 0.0 }), 100.0);
    assert_eq!(work.typical_work(ClassId(0)), 200.0, "estimates that are too high are not corrected");
}
