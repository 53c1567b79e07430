//! Final answers, settings that are not usable and events that change nothing.

use gaugestep_dispatch::Dispatcher;
use gaugestep_dispatch::interface::*;

use crate::common::*;

#[test]
fn every_request_gets_one_answer_before_its_deadline_even_without_engines() {
    let mut harness = Harness::new(settings(vec![class(Effect::Safe, 1.0)]), 0);
    let mut actions = harness.arrive(request(1, 0, 3_000.0));
    actions.extend(harness.advance(3_000.0));
    assert_eq!(rejections(&actions) + failures(&actions), 1);
    let mut late = harness.arrive(request(2, 0, harness.now - 5.0));
    late.extend(harness.advance(20.0));
    assert_eq!(rejections(&late) + failures(&late), 1);
}

#[test]
fn time_out_at_the_deadline_is_answered_at_once() {
    let mut harness = Harness::new(settings(vec![class(Effect::Safe, 1.0)]), 2);
    let sent = sends(&harness.arrive(request(1, 0, 2_500.0)))[0];
    harness.now = 2_500.0;
    let actions = harness.end(1, 0, sent, Outcome::TimedOut, 2_500.0);
    assert_eq!((rejections(&actions), sends(&actions).len()), (1, 0));
}

#[test]
fn unusable_settings_name_their_field() {
    let error = Dispatcher::new(settings(vec![]), 1).err().unwrap();
    assert_eq!(error.field, "classes");
    let mut endless = settings(vec![class(Effect::Safe, 1.0)]);
    endless.order_pause = f64::INFINITY;
    assert_eq!(Dispatcher::new(endless, 1).err().unwrap().field, "order_pause");
    let mut negative = settings(vec![class(Effect::Safe, 1.0)]);
    negative.slow_start.window_ms = -1.0;
    assert_eq!(Dispatcher::new(negative, 1).err().unwrap().field, "cold.span");
    let mut nobody = settings(vec![class(Effect::Safe, 1.0)]);
    nobody.dispatchers = 0;
    assert_eq!(Dispatcher::new(nobody, 1).err().unwrap().field, "dispatchers");
    for share in [-0.1, 1.1, f64::NAN] {
        let mut odd = settings(vec![class(Effect::Safe, 1.0)]);
        odd.slow_start.initial_fraction = share;
        assert_eq!(Dispatcher::new(odd, 1).err().unwrap().field, "cold.share");
    }
}

#[test]
fn outcomes_of_unknown_requests_and_repeated_outcomes_change_nothing() {
    let mut harness = Harness::new(settings(vec![class(Effect::Safe, 1.0)]), 2);
    let silent = |actions: &[Action]| {
        sends(actions).is_empty() && rejections(actions) + failures(actions) + cancels(actions) == 0
    };
    assert!(silent(&harness.end(77, 0, EngineId(0), Outcome::Served, 5.0)));
    let sent = sends(&harness.arrive(request(1, 0, 9_000.0)))[0];
    assert!(silent(&harness.end(1, 3, sent, Outcome::Served, 5.0)));
    assert!(silent(&harness.end(1, 0, sent, Outcome::Served, 5.0)));
    assert!(silent(&harness.end(1, 0, sent, Outcome::Served, 5.0)));
    assert!(silent(&harness.handle(Event::ClientGone(id(1)))));
}

/// At the limit of open requests, clients of the next ones could not even connect.
#[test]
fn excess_requests_of_the_lowest_rank_are_rejected() {
    let mut site = settings(vec![class(Effect::Safe, 1.0), class(Effect::Safe, 2.0)]);
    site.max_open = 40;
    let mut harness = Harness::new(site, 1);
    let refused: usize = (0..60)
        .map(|number| rejections(&harness.arrive(request(number, usize::from(number % 2 == 0), 60_000.0))))
        .sum();
    assert_eq!(refused, 20);
}
