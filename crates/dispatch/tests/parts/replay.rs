//! Tests of the guard against second runs of requests that must not run twice.

use super::{MAX_IDS, ReplayGuard};
use crate::interface::{DedupGroup, Idempotency, Outcome, RequestId};

fn id(number: usize) -> RequestId {
    RequestId(format!("{number:016x}").into())
}

#[test]
fn only_attempts_that_may_have_run_of_requests_that_must_not_run_twice_are_remembered() {
    let mut guard = ReplayGuard::default();
    let keyed = Idempotency::Keyed(DedupGroup::All, 1_000.0);
    let attempts = [
        (Idempotency::Unsafe, Outcome::Served, true),
        (Idempotency::Unsafe, Outcome::Cancelled, true),
        (Idempotency::Unsafe, Outcome::Rejected, false),
        (Idempotency::Unsafe, Outcome::NotSent, false),
        (keyed, Outcome::Reset, true),
        (Idempotency::Safe, Outcome::Served, false),
    ];
    for (number, (idempotency, outcome, is_remembered)) in attempts.into_iter().enumerate() {
        guard.on_attempt_ended(&id(number), idempotency, outcome);
        assert_eq!(guard.may_have_run(&id(number)), is_remembered, "{idempotency:?} {outcome:?}");
    }
}

#[test]
fn the_oldest_ids_are_forgotten_first_and_a_repeated_one_takes_no_place() {
    let mut guard = ReplayGuard::default();
    for number in (0..MAX_IDS).chain([5; 10]).chain([MAX_IDS]) {
        guard.on_attempt_ended(&id(number), Idempotency::Unsafe, Outcome::Failed);
    }
    assert!(!guard.may_have_run(&id(0)));
    assert!((1..=MAX_IDS).all(|number| guard.may_have_run(&id(number))));
}
