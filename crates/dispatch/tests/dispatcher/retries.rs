//! Retries: whether a request gets another attempt.

use gaugestep_dispatch::interface::*;

use crate::common::*;
use crate::timeouts::{time_until_cancel, trained};

#[test]
fn unsafe_request_that_may_have_run_is_never_cancelled_retried_or_rejected() {
    let mut harness = trained(settings(vec![class(Idempotency::Unsafe, 1.0)]), 1, 20_000.0);
    assert_eq!(time_until_cancel(&mut harness, 8_000.0), None);
    let sent = sends(&harness.arrive(request(9_000, 0, harness.now + 60_000.0)));
    let actions = harness.end(9_000, 0, sent[0], Outcome::Reset, 10.0);
    assert!(sends(&actions).is_empty());
    assert_eq!((rejections(&actions), failures(&actions)), (0, 1));
}

#[test]
fn unsafe_request_that_never_ran_is_retried() {
    let mut harness = Harness::new(settings(vec![class(Idempotency::Unsafe, 1.0)]), 3);
    let sent = sends(&harness.arrive(request(1, 0, 60_000.0)));
    let retry = sends(&harness.end(1, 0, sent[0], Outcome::ConnectFailed, 250.0));
    assert_eq!(retry.len(), 1);
    assert_ne!(retry[0], sent[0]);
}

#[test]
fn keyed_request_is_retried_only_in_its_cell_and_within_its_window() {
    for (wait, expected) in [(10.0, 1), (2_000.0, 0)] {
        let mut settings = settings(vec![class(Idempotency::Keyed(DedupGroup::Cell, 1_000.0), 1.0)]);
        settings.memory_grants = false;
        let mut harness = Harness::new(settings, 0);
        let cell = |engine| EngineEntry { cell: CellId(u64::from(engine) % 2), ..entry(engine) };
        harness.handle(Event::EngineList((0..6).map(cell).collect()));
        let first = sends(&harness.arrive(request(1, 0, 60_000.0)))[0];
        harness.advance(wait);
        let mut actions = harness.end(1, 0, first, Outcome::Failed, wait);
        actions.extend(harness.advance(5_000.0));
        assert_eq!(sends(&actions).len(), expected);
        assert!(sends(&actions).iter().all(|engine| engine.0 % 2 == first.0 % 2 && *engine != first));
        assert_eq!(rejections(&actions), 0);
    }
}

#[test]
fn retries_stay_within_their_budget() {
    let mut settings = settings(vec![class(Idempotency::Safe, 1.0)]);
    settings.retry_budget = Some(RetryBudgetSettings { min_retries: 2.0, ratio: 0.1, window: 5_000.0 });
    let mut harness = Harness::new(settings, 40);
    let mut retries = 0;
    for number in 0..10 {
        let sent = sends(&harness.arrive(request(number, 0, 60_000.0)));
        retries += sends(&harness.end(number, 0, sent[0], Outcome::Failed, 1.0)).len();
    }
    assert_eq!(retries, 3, "2 in any window and a tenth of 10 requests");
}

/// A request that no engine can serve must not use up the retry budget, nor keep its client waiting until the
/// deadline.
#[test]
fn request_that_fails_on_two_engines_is_rejected_at_once() {
    let mut harness = Harness::new(settings(vec![class(Idempotency::Safe, 1.0)]), 4);
    let first = sends(&harness.arrive(request(1, 0, harness.now + 60_000.0)))[0];
    let second = sends(&harness.end(1, 0, first, Outcome::Failed, 5.0))[0];
    assert_ne!(first, second);
    let end = harness.end(1, 1, second, Outcome::Failed, 5.0);
    assert_eq!((sends(&end).len(), rejections(&end)), (0, 1));
}
