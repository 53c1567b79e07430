//! Engines that fail get no work for a while.

use gaugestep_dispatch::interface::*;

use crate::common::*;

/// i602797: connections broke here and there while every engine still answered.
#[test]
fn consecutive_resets_eject_an_engine_and_single_ones_do_not() {
    let mut harness = Harness::new(settings(vec![class(Idempotency::Safe, 1.0)]), 1);
    for number in 0..6 {
        harness.serve(2 * number, 0, 100.0);
        let sent = sends(&harness.arrive(request(2 * number + 1, 0, harness.now + 60_000.0)));
        assert_eq!(sent.len(), 1, "an engine that answers in between stays in use");
        harness.end(2 * number + 1, 0, sent[0], Outcome::Reset, 1.0);
    }
    for number in 100..102 {
        let sent = sends(&harness.arrive(request(number, 0, harness.now + 60_000.0)));
        harness.now += 100.0;
        harness.end(number, 0, sent[0], Outcome::Reset, 1.0);
    }
    assert!(sends(&harness.arrive(request(200, 0, harness.now + 60_000.0))).is_empty());
    let trial = harness.advance(400.0);
    assert_eq!(sends(&trial).len(), 1, "after a while one query tries it again");
}

/// An engine that fails at once has little in hand and would draw ever more work: errors in a row count.
#[test]
fn engine_that_fails_fast_is_ejected() {
    let mut harness = Harness::new(settings(vec![class(Idempotency::Safe, 1.0)]), 1);
    for number in 0..3 {
        let sent = sends(&harness.arrive(request(number, 0, harness.now + 60_000.0)));
        assert_eq!(sent.len(), 1);
        harness.now += 100.0;
        harness.end(number, 0, sent[0], Outcome::Failed, 1.0);
    }
    assert!(sends(&harness.arrive(request(9, 0, harness.now + 60_000.0))).is_empty());
    assert_eq!(sends(&harness.advance(400.0)).len(), 1, "after a while one query tries it again");
}

/// Guards against an engine that fails much of its work fast, and so looks idle: answers between do not clear it.
#[test]
fn engine_with_a_high_failure_share_is_ejected() {
    let mut harness = Harness::new(settings(vec![class(Idempotency::Safe, 1.0)]), 4);
    let (bad, mut seen) = (EngineId(0), 0);
    for number in 0..200 {
        let sent = sends(&harness.arrive(request(number, 0, harness.now + 60_000.0)))[0];
        harness.now += 5.0;
        seen += usize::from(sent == bad);
        if sent == bad && seen % 2 == 1 {
            let again = sends(&harness.end(number, 0, sent, Outcome::Failed, 5.0));
            harness.end(number, 1, again[0], Outcome::Served, 5.0);
        } else {
            harness.end(number, 0, sent, Outcome::Served, 5.0);
        }
    }
    assert!(seen < 10, "{seen} of 200 requests went to the engine that fails");
    harness.advance(10_000.0);
    let later = (300..340).filter(|number| {
        let sent = sends(&harness.arrive(request(*number, 0, harness.now + 60_000.0)))[0];
        harness.now += 5.0;
        harness.end(*number, 0, sent, Outcome::Served, 5.0);
        sent == bad
    });
    assert!(later.count() > 3, "after a while it is tried, and used once it is well");
}

/// Guards usual requests against those that no engine can answer, and against one connection that ends under many.
#[test]
fn failures_of_one_moment_do_not_eject_an_engine() {
    for outcome in [Outcome::Failed, Outcome::Reset] {
        let mut harness = Harness::new(settings(vec![class(Idempotency::Unsafe, 1.0)]), 1);
        let sent: Vec<EngineId> =
            (0..8).flat_map(|number| sends(&harness.arrive(request(number, 0, 60_000.0)))).collect();
        assert_eq!(sent.len(), 8);
        for (number, engine) in (0..).zip(sent) {
            harness.end(number, 0, engine, outcome, 1.0);
        }
        assert_eq!(sends(&harness.arrive(request(9, 0, harness.now + 60_000.0))).len(), 1, "{outcome:?}");
    }
}
