//! When runs are cancelled at the timeout and relaunched.

use gaugestep_dispatch::interface::*;

use crate::common::*;

/// Feeds one class `bad` stragglers of `long` ms in every ten runs of 1,000 ms, all uncut by their times.
pub fn trained(mut settings: Settings, bad: usize, long: Millis) -> Harness {
    settings.memory_grants = false;
    let mut harness = Harness::new(settings, 4);
    for number in 0..60 {
        let run = if number as usize % 10 < bad { long } else { 1_000.0 };
        harness.serve(number, 0, run);
    }
    harness.advance(600.0);
    harness
}

/// The time after which a run that never ends is cancelled, if it is within `most`.
pub fn time_until_cancel(harness: &mut Harness, most: Millis) -> Option<Millis> {
    for number in 1_000..1_010 {
        let start = harness.now;
        let sent = sends(&harness.arrive(request(number, 0, harness.now + 600_000.0)));
        assert_eq!(sent.len(), 1);
        let mut cancelled = None;
        while harness.now < start + most && cancelled.is_none() {
            if cancels(&harness.advance(10.0)) > 0 {
                cancelled = Some(harness.now - start);
            }
        }
        let elapsed = harness.now - start;
        harness.handle(Event::ClientGone(id(number)));
        harness.end(number, 0, sent[0], Outcome::Cancelled, elapsed);
        if cancelled.is_some() {
            return cancelled;
        }
    }
    None
}

/// Nine of ten runs take 1 and one takes 20: never cancelling costs 2.9; cancelling just past 1 costs 1 + 0.1 * m with
/// m = 2.9 before any relaunch is known. So the timeout is the first edge past 1.
#[test]
fn timeout_falls_just_past_the_bulk_where_a_tail_is_long() {
    let mut harness = trained(settings(vec![class(Idempotency::Safe, 1.0)]), 1, 20_000.0);
    let cancelled = time_until_cancel(&mut harness, 8_000.0).expect("a timeout pays here");
    assert!((1_000.0..2_500.0).contains(&cancelled), "cancelled after {cancelled} ms");
}

/// A relaunch takes as long as the run, so nothing beats never cancelling.
#[test]
fn nothing_is_cancelled_where_all_runs_take_the_same_time() {
    let mut harness = trained(settings(vec![class(Idempotency::Safe, 1.0)]), 0, 0.0);
    assert_eq!(time_until_cancel(&mut harness, 900.0), None);
}

#[test]
fn nothing_is_cancelled_before_enough_outcomes() {
    let mut harness = Harness::new(settings(vec![class(Idempotency::Safe, 1.0)]), 4);
    for number in 0..15 {
        harness.serve(number, 0, if number % 10 == 0 { 20_000.0 } else { 1_000.0 });
    }
    harness.advance(600.0);
    assert_eq!(time_until_cancel(&mut harness, 8_000.0), None);
}

#[test]
fn relaunch_waits_for_the_cancelled_outcome_goes_elsewhere_and_is_never_cancelled() {
    let mut harness = trained(settings(vec![class(Idempotency::Safe, 1.0)]), 1, 20_000.0);
    for number in 2_000..2_010 {
        let first = sends(&harness.arrive(request(number, 0, harness.now + 600_000.0)))[0];
        let seen = harness.advance(6_000.0);
        if cancels(&seen) == 0 {
            harness.end(number, 0, first, Outcome::Failed, 6_000.0);
            continue;
        }
        assert_eq!(cancels(&seen), 1);
        assert!(sends(&seen).is_empty(), "no second copy is allowed here");
        let second = sends(&harness.end(number, 0, first, Outcome::Cancelled, 6_000.0));
        assert_eq!(second.len(), 1);
        assert_ne!(second[0], first);
        assert_eq!(cancels(&harness.advance(60_000.0)), 0, "a rerun runs to its end");
        return;
    }
    panic!("nothing was cancelled");
}

/// Once all stragglers are cancelled the tail is hardly seen: the timeout must not come and go.
#[test]
fn timeout_stays_once_stragglers_are_cancelled() {
    let mut harness = trained(settings(vec![class(Idempotency::Safe, 1.0)]), 1, 20_000.0);
    let mut stops = 0;
    for number in 3_000..3_120 {
        let first = sends(&harness.arrive(request(number, 0, harness.now + 600_000.0)))[0];
        let seen = harness.advance(if number % 10 == 0 { 6_000.0 } else { 1_000.0 });
        stops +=
            seen.iter().filter(|a| matches!(a, Action::Log(text) if text.contains("no timeout"))).count();
        if cancels(&seen) > 0 {
            let second = sends(&harness.end(number, 0, first, Outcome::Cancelled, 6_000.0))[0];
            harness.advance(1_000.0);
            harness.end(number, 1, second, Outcome::Served, 1_000.0);
        } else {
            harness.end(number, 0, first, Outcome::Served, 1_000.0);
        }
    }
    assert_eq!(stops, 0);
}

/// A progress report weighs this attempt's time left against a relaunch.
#[test]
fn progress_report_prevents_a_cancel_or_brings_it_forward() {
    for (share, expected) in [(0.6, false), (0.02, true)] {
        let mut harness = trained(settings(vec![class(Idempotency::Safe, 1.0)]), 1, 20_000.0);
        let mut cancelled = 0;
        for number in 4_000..4_005 {
            let first = sends(&harness.arrive(request(number, 0, harness.now + 600_000.0)))[0];
            harness.advance(800.0);
            cancelled += cancels(&harness.handle(Event::Progress(
                id(number),
                AttemptNo(0),
                ProgressReport::Done(share),
            )));
            cancelled += cancels(&harness.advance(150.0));
            harness.handle(Event::ClientGone(id(number)));
            harness.end(number, 0, first, Outcome::Cancelled, 950.0);
        }
        assert_eq!(cancelled > 0, expected, "share done {share}");
    }
}

/// A relaunch needs another engine.
#[test]
fn nothing_is_cancelled_where_no_other_engine_is_permitted() {
    let mut bound = class(Idempotency::Safe, 1.0);
    bound.zones = Some(vec![ZoneId(1)]);
    let mut harness = Harness::new(settings(vec![bound]), 3);
    harness.handle(Event::EngineChanges(vec![EngineEntry { zone: ZoneId(1), ..entry(1) }]));
    for number in 0..60 {
        harness.serve(number, 0, if number % 10 == 0 { 20_000.0 } else { 1_000.0 });
    }
    harness.advance(600.0);
    assert_eq!(time_until_cancel(&mut harness, 8_000.0), None);
}

/// In a large fleet a heavy class sees its first 20 outcomes late in a day: those of other classes stand in for them, and a
/// progress report of a long run shows the tail that makes a timeout pay.
#[test]
fn class_without_outcomes_learns_its_timeout_from_other_classes_and_progress_reports() {
    for (share, expected) in [(0.03, 1), (0.9, 0)] {
        let mut harness = Harness::new(settings(vec![class(Idempotency::Safe, 1.0), class(Idempotency::Safe, 1.0)]), 4);
        for number in 0..25 {
            harness.serve(number, 0, 1_000.0);
        }
        let mut cancelled = 0;
        for number in 100..103 {
            harness.arrive(request(number, 1, harness.now + 600_000.0));
        }
        harness.advance(1_200.0);
        for number in 100..103 {
            harness.handle(Event::Progress(id(number), AttemptNo(0), ProgressReport::Done(share)));
        }
        cancelled += cancels(&harness.advance(4_000.0));
        assert_eq!(cancelled.min(1), expected, "share done {share}");
    }
}

#[test]
fn restart_forgets_timeouts_and_equal_events_give_equal_actions() {
    let play = || {
        let mut harness = trained(settings(vec![class(Idempotency::Safe, 1.0)]), 1, 20_000.0);
        let mut actions = Vec::new();
        for number in 0..20 {
            actions.extend(harness.arrive(request(5_000 + number, 0, harness.now + 30_000.0)));
            actions.extend(harness.advance(130.0));
        }
        actions
    };
    assert_eq!(play(), play());
    let mut fresh = Harness::new(settings(vec![class(Idempotency::Safe, 1.0)]), 4);
    assert_eq!(time_until_cancel(&mut fresh, 8_000.0), None, "a new dispatcher has learned no timeout");
}

/// i8326e2: a run that by its progress report outlasts its client by far.
#[test]
fn hopeless_run_is_given_up_if_it_may_be_repeated() {
    for (effect, given_up) in [(Idempotency::Safe, 1), (Idempotency::Unsafe, 0)] {
        let mut harness = Harness::new(settings(vec![class(effect, 1.0)]), 2);
        harness.arrive(request(1, 0, 9_000.0));
        harness.advance(2_000.0);
        let actions = harness.handle(Event::Progress(id(1), AttemptNo(0), ProgressReport::Done(0.01)));
        assert_eq!((rejections(&actions), cancels(&actions)), (given_up, given_up));
    }
}
