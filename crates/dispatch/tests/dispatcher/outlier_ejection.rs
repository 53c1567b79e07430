//! Outlier ejection: engines that fail receive no requests for some time.

use gaugestep_dispatch::interface::*;

use crate::common::*;

/// Issue i602797: single connections broke while every engine still served requests, which must not eject an
/// engine.
#[test]
fn consecutive_resets_eject_an_engine_and_single_ones_do_not() {
    let mut harness = Harness::new(settings(vec![class(Idempotency::Safe, 1.0)]), 1);
    for number in 0..6 {
        harness.serve(2 * number, 0, 100.0);
        let sent = sends(&harness.arrive(request(2 * number + 1, 0, harness.now + 60_000.0)));
        assert_eq!(sent.len(), 1, "an engine that serves requests in between stays in use");
        harness.end(2 * number + 1, 0, sent[0], Outcome::Reset, 1.0);
    }
    for number in 100..102 {
        let sent = sends(&harness.arrive(request(number, 0, harness.now + 60_000.0)));
        harness.now += 100.0;
        harness.end(number, 0, sent[0], Outcome::Reset, 1.0);
    }
    assert!(sends(&harness.arrive(request(200, 0, harness.now + 60_000.0))).is_empty());
    let trial = harness.advance(400.0);
    assert_eq!(sends(&trial).len(), 1, "after the ejection one query is sent as a trial");
}

/// Guards against an engine that fails every query at once: it has little in flight, looks idle and would
/// attract more and more requests. Consecutive errors eject it.
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
    assert_eq!(sends(&harness.advance(400.0)).len(), 1, "after the ejection one query is sent as a trial");
}

/// Guards against an engine that fails half of its queries fast, and so looks idle: served queries in between
/// must not keep it in use.
#[test]
fn engine_with_a_high_failure_fraction_is_ejected() {
    let mut harness = Harness::new(settings(vec![class(Idempotency::Safe, 1.0)]), 4);
    let (failing, mut requests_to_failing) = (EngineId(0), 0);
    for number in 0..200 {
        let sent = sends(&harness.arrive(request(number, 0, harness.now + 60_000.0)))[0];
        harness.now += 5.0;
        requests_to_failing += usize::from(sent == failing);
        if sent == failing && requests_to_failing % 2 == 1 {
            let retry = sends(&harness.end(number, 0, sent, Outcome::Failed, 5.0));
            harness.end(number, 1, retry[0], Outcome::Served, 5.0);
        } else {
            harness.end(number, 0, sent, Outcome::Served, 5.0);
        }
    }
    assert!(requests_to_failing < 10, "{requests_to_failing} of 200 requests went to the failing engine");
    harness.advance(10_000.0);
    let later = (300..340).filter(|number| {
        let sent = sends(&harness.arrive(request(*number, 0, harness.now + 60_000.0)))[0];
        harness.now += 5.0;
        harness.end(*number, 0, sent, Outcome::Served, 5.0);
        sent == failing
    });
    assert!(later.count() > 3, "after the ejection it gets a trial request, and more once it serves them");
}

/// Guards against ejecting a healthy engine for failures that have one cause: requests that no engine can
/// serve, or one broken connection with several attempts in flight.
#[test]
fn simultaneous_failures_do_not_eject_an_engine() {
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
