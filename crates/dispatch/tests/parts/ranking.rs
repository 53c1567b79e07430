//! Ranks and priorities.

use super::common::{class, settings};
use super::*;
use crate::policy::{HIGHEST_PRIORITY, Ranking, WorkEstimator, rank};
use crate::requests::{ClassCorrections, OrderedQueues};

fn estimator(classes: usize) -> WorkEstimator {
    WorkEstimator { corrections: (0..classes).map(|_| ClassCorrections::default()).collect() }
}

fn rank_of(context: &Context, request: &Request) -> f64 {
    rank(context, &estimator(1), &OrderedQueues::default(), request)
}

#[test]
fn rank_is_the_priority_weight_for_each_unit_of_work() {
    let mut two_threads = settings(vec![class(Idempotency::Safe, 2.0)]);
    two_threads.classes[0].priority_weight = 3.0;
    let context = context(0.0, two_threads);
    let mut request = open_request(1);
    request.new.estimate = 500.0;
    assert_eq!(rank_of(&context, &request), 3.0 / 500.0);
}

#[test]
fn late_request_keeps_a_fraction_of_its_weight() {
    let request = open_request(1);
    // The target latency is 4,000 ms plus twice the 1,000 ms of work.
    assert_eq!(rank_of(&safe_class(6_000.0), &request), 1.0 / 1_000.0);
    assert_eq!(rank_of(&safe_class(6_001.0), &request), 0.5 / 1_000.0);
}

#[test]
fn request_beyond_its_tenants_quota_keeps_a_fraction_of_its_weight() {
    let mut request = open_request(1);
    request.in_quota_fraction = 0.5;
    let expected = (0.5 + 0.5 * 0.1) / 1_000.0;
    assert_eq!(rank_of(&safe_class(0.0), &request), expected);
}

#[test]
fn priority_is_given_by_the_ratio_to_recent_ranks() {
    let mut ranking = Ranking::default();
    for number in 0..100 {
        ranking.on_request(0.01, f64::from(number));
    }
    let priorities = [0.0001, 0.0006, 0.003, 0.011].map(|rank| ranking.priority(rank));
    assert_eq!(priorities, [0, 1, 2, HIGHEST_PRIORITY]);
}
