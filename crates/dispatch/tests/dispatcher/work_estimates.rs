//! The estimates of the work of a class, learned from its responses.

use gaugestep_dispatch::interface::*;

use crate::common::*;

/// A dispatcher of one class whose responses after the target latency have no priority weight.
fn without_late_weight() -> Harness {
    let class = ClassSettings {
        target_latency: 500.0,
        target_stretch: 0.0,
        late_fraction: 0.0,
        ..class(Idempotency::Safe, 1.0)
    };
    Harness::new(settings(vec![class]), 2)
}

/// Passes on a request and, if it is sent, ends it as served with this work. Returns whether it was sent.
fn serve_if_sent(harness: &mut Harness, number: u32, estimate: Millis, work: Millis) -> bool {
    let new = NewRequest { estimate, ..request(number, 0, harness.now + 1_500.0) };
    let Some(engine) = sends(&harness.arrive(new)).first().copied() else { return false };
    harness.now += work;
    harness.handle(Event::AttemptEnded(AttemptEnd {
        id: id(number),
        attempt: AttemptNo(0),
        engine,
        outcome: Outcome::Served,
        finished: true,
        elapsed: work,
        cost: Some(Cost { work, memory_mb: 8.0 }),
        load: None,
    }));
    true
}

/// A class must not be rejected because its work is assumed to be too long: its true work would never be
/// learned.
#[test]
fn class_without_estimates_is_sent_and_its_work_is_learned_from_responses() {
    let mut harness = without_late_weight();
    for number in 0..30 {
        assert!(serve_if_sent(&mut harness, number, 0.0, 50.0), "request {number}");
    }
}

#[test]
fn work_learned_from_requests_with_estimates_applies_to_requests_without() {
    let mut harness = without_late_weight();
    for number in 0..30 {
        assert!(serve_if_sent(&mut harness, number, 50.0, 50.0));
    }
    assert!(serve_if_sent(&mut harness, 30, 0.0, 50.0));
}

/// What is learned from responses expires, so that a class that was slow for some time is not rejected
/// permanently.
#[test]
fn class_known_to_take_too_long_is_rejected_and_sent_again_later() {
    let mut harness = without_late_weight();
    assert!(serve_if_sent(&mut harness, 0, 0.0, 900.0));
    let actions = harness.arrive(NewRequest { estimate: 0.0, ..request(1, 0, harness.now + 1_500.0) });
    let actions = [actions, harness.advance(30.0)].concat();
    let reason = actions.iter().find_map(|action| match action {
        Action::Reject { reason, .. } => Some(*reason),
        _ => None,
    });
    assert_eq!(reason, Some(RejectReason::TooLong));
    harness.advance(30_000.0);
    for number in 10..40 {
        if !serve_if_sent(&mut harness, number, 0.0, 50.0) {
            harness.advance(30_000.0);
        }
    }
    assert!(serve_if_sent(&mut harness, 50, 0.0, 50.0), "the class is fast again");
}
