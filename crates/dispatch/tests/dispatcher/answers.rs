//! Final responses, invalid settings and events without effect.

use gaugestep_dispatch::Dispatcher;
use gaugestep_dispatch::interface::*;

use crate::common::*;

#[test]
fn every_request_gets_one_response_by_its_deadline_without_engines() {
    let mut harness = Harness::new(settings(vec![class(Idempotency::Safe, 1.0)]), 0);
    let mut actions = harness.arrive(request(1, 0, 3_000.0));
    actions.extend(harness.advance(3_000.0));
    assert_eq!(rejections(&actions) + failures(&actions), 1);
    let mut late = harness.arrive(request(2, 0, harness.now - 5.0));
    late.extend(harness.advance(20.0));
    assert_eq!(rejections(&late) + failures(&late), 1);
}

#[test]
fn attempt_that_times_out_at_the_deadline_is_rejected_at_once() {
    let mut harness = Harness::new(settings(vec![class(Idempotency::Safe, 1.0)]), 2);
    let sent = sends(&harness.arrive(request(1, 0, 2_500.0)))[0];
    harness.now = 2_500.0;
    let actions = harness.end(1, 0, sent, Outcome::TimedOut, 2_500.0);
    assert_eq!((rejections(&actions), sends(&actions).len()), (1, 0));
}

#[test]
fn invalid_settings_name_the_field_in_the_error() {
    let error = Dispatcher::new(settings(vec![]), 1).err().unwrap();
    assert_eq!(error.field, "classes");
    let mut infinite = settings(vec![class(Idempotency::Safe, 1.0)]);
    infinite.order_pause = f64::INFINITY;
    assert_eq!(Dispatcher::new(infinite, 1).err().unwrap().field, "order_pause");
    let mut negative = settings(vec![class(Idempotency::Safe, 1.0)]);
    negative.slow_start.window_ms = -1.0;
    assert_eq!(Dispatcher::new(negative, 1).err().unwrap().field, "cold.span");
    let mut empty_fleet = settings(vec![class(Idempotency::Safe, 1.0)]);
    empty_fleet.dispatchers = 0;
    assert_eq!(Dispatcher::new(empty_fleet, 1).err().unwrap().field, "dispatchers");
    for fraction in [-0.1, 1.1, f64::NAN] {
        let mut out_of_range = settings(vec![class(Idempotency::Safe, 1.0)]);
        out_of_range.slow_start.initial_fraction = fraction;
        assert_eq!(Dispatcher::new(out_of_range, 1).err().unwrap().field, "cold.share");
    }
}

#[test]
fn outcomes_of_unknown_requests_and_repeated_outcomes_change_nothing() {
    let mut harness = Harness::new(settings(vec![class(Idempotency::Safe, 1.0)]), 2);
    let changes_nothing = |actions: &[Action]| {
        sends(actions).is_empty() && rejections(actions) + failures(actions) + cancels(actions) == 0
    };
    assert!(changes_nothing(&harness.end(77, 0, EngineId(0), Outcome::Served, 5.0)));
    let sent = sends(&harness.arrive(request(1, 0, 9_000.0)))[0];
    assert!(changes_nothing(&harness.end(1, 3, sent, Outcome::Served, 5.0)));
    assert!(changes_nothing(&harness.end(1, 0, sent, Outcome::Served, 5.0)));
    assert!(changes_nothing(&harness.end(1, 0, sent, Outcome::Served, 5.0)));
    assert!(changes_nothing(&harness.handle(Event::ClientGone(id(1)))));
}

/// Guards against a dispatcher at its limit of open requests, to which further clients could not connect.
#[test]
fn excess_requests_of_the_lowest_rank_are_rejected() {
    let mut settings = settings(vec![class(Idempotency::Safe, 1.0), class(Idempotency::Safe, 2.0)]);
    settings.max_open = 40;
    let mut harness = Harness::new(settings, 1);
    let rejected: usize = (0..60)
        .map(|number| rejections(&harness.arrive(request(number, usize::from(number % 2 == 0), 60_000.0))))
        .sum();
    assert_eq!(rejected, 20);
}
