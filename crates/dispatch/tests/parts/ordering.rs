//! Ordered queues.

use super::common::{class, request, settings};
use super::*;
use crate::requests::OrderedQueues;

fn ordered_class(now: Millis) -> Context {
    let mut ordered = class(Idempotency::Unsafe, 1.0);
    ordered.ordered = true;
    context(now, settings(vec![ordered, class(Idempotency::Safe, 1.0)]))
}

fn keyed(number: u32, class: usize) -> NewRequest {
    NewRequest { order_key: Some(OrderKey("k".into())), ..request(number, class, 60_000.0) }
}

fn queues_of(context: &Context, requests: &[NewRequest]) -> OrderedQueues {
    let mut queues = OrderedQueues::default();
    requests.iter().for_each(|new| queues.push(context.settings.order_key(new), &new.id));
    queues
}

#[test]
fn requests_of_a_key_are_sent_in_the_order_of_arrival() {
    let (context, all) = (ordered_class(0.0), [keyed(3, 0), keyed(1, 0), keyed(2, 0)]);
    let mut queues = queues_of(&context, &all);
    for (position, new) in all.iter().enumerate() {
        assert!(queues.is_next(&context, new));
        assert!(all[position + 1..].iter().all(|later| !queues.is_next(&context, later)));
        assert_eq!(queues.queue_length(&context, new), all.len() - position);
        queues.remove(context.settings.order_key(new), &new.id);
    }
}

#[test]
fn requests_of_a_class_that_is_not_ordered_do_not_wait_for_others() {
    let context = ordered_class(0.0);
    let queues = queues_of(&context, &[keyed(1, 0), keyed(2, 0)]);
    assert!(queues.is_next(&context, &keyed(9, 1)));
    assert_eq!(queues.queue_length(&context, &keyed(9, 1)), 1);
}

#[test]
fn key_is_paused_after_an_attempt_that_may_still_run_and_after_no_other() {
    let new = keyed(1, 0);
    for (outcome, paused) in [
        (Outcome::TimedOut, true),
        (Outcome::Reset, true),
        (Outcome::Cancelled, true),
        (Outcome::Served, false),
        (Outcome::Failed, false),
        (Outcome::Rejected, false),
        (Outcome::ConnectFailed, false),
        (Outcome::NotSent, false),
    ] {
        let mut queues = queues_of(&ordered_class(0.0), &[keyed(1, 0)]);
        queues.on_attempt_ended(&ordered_class(1_000.0), &new, outcome);
        assert_eq!(!queues.is_next(&ordered_class(1_500.0), &new), paused, "{outcome:?}");
        assert!(queues.is_next(&ordered_class(1_501.0), &new), "{outcome:?}");
    }
}

#[test]
fn empty_queue_is_stored_while_it_is_paused() {
    let (context, new) = (ordered_class(0.0), keyed(1, 0));
    let mut queues = queues_of(&context, std::slice::from_ref(&new));
    queues.on_attempt_ended(&context, &new, Outcome::Reset);
    queues.remove(context.settings.order_key(&new), &new.id);
    queues.discard_empty(500.0);
    assert!(queues.get(new.order_key.as_ref()).is_some());
    queues.discard_empty(501.0);
    assert!(queues.get(new.order_key.as_ref()).is_none());
}
