//! What is learned of the work of a class.

use gaugestep_dispatch::interface::*;

use crate::common::*;

/// A class whose late answers have no priority weight, as in the README's example.
fn without_late_weight() -> Harness {
    let class = ClassSettings {
        target_latency: 500.0,
        target_stretch: 0.0,
        late_fraction: 0.0,
        ..class(Idempotency::Safe, 1.0)
    };
    Harness::new(settings(vec![class]), 2)
}

/// Sends a request and has it served with this work, if it is sent at all.
fn is_served(harness: &mut Harness, number: u32, estimate: Millis, work: Millis) -> bool {
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

/// What is only assumed to take too long must not be rejected for good: nothing would ever be learned.
#[test]
fn class_without_estimates_is_tried_and_learned_from_its_answers() {
    let mut harness = without_late_weight();
    for number in 0..30 {
        assert!(is_served(&mut harness, number, 0.0, 50.0), "request {number}");
    }
}

#[test]
fn requests_with_estimates_inform_those_without() {
    let mut harness = without_late_weight();
    for number in 0..30 {
        assert!(is_served(&mut harness, number, 50.0, 50.0));
    }
    assert!(is_served(&mut harness, 30, 0.0, 50.0));
}

/// Answers are forgotten: a class that got slow is tried again after a while, and found quick again.
#[test]
fn class_known_to_take_too_long_is_rejected_and_tried_again_later() {
    let mut harness = without_late_weight();
    assert!(is_served(&mut harness, 0, 0.0, 900.0));
    let refused = harness.arrive(NewRequest { estimate: 0.0, ..request(1, 0, harness.now + 1_500.0) });
    let refused = [refused, harness.advance(30.0)].concat();
    let reason = refused.iter().find_map(|action| match action {
        Action::Reject { reason, .. } => Some(*reason),
        _ => None,
    });
    assert_eq!(reason, Some(RejectReason::TooLong));
    harness.advance(30_000.0);
    for number in 10..40 {
        if !is_served(&mut harness, number, 0.0, 50.0) {
            harness.advance(30_000.0);
        }
    }
    assert!(is_served(&mut harness, 50, 0.0, 50.0), "found quick again");
}
