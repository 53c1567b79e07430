//! Timeouts: when runs are cancelled at the timeout of their class and relaunched on another engine.

use gaugestep_dispatch::interface::*;

use crate::common::*;

/// A dispatcher of one class that has served 60 requests. In every ten runs `stragglers` took
/// `straggler_time`, the others 1,000 ms; none was cancelled.
pub fn trained(mut settings: Settings, stragglers: usize, straggler_time: Millis) -> Harness {
    settings.memory_grants = false;
    let mut harness = Harness::new(settings, 4);
    for number in 0..60 {
        let run_time = if number as usize % 10 < stragglers { straggler_time } else { 1_000.0 };
        harness.serve(number, 0, run_time);
    }
    harness.advance(600.0);
    harness
}

/// The time after which a run that never ends is cancelled. `None` if none of ten runs is cancelled within
/// `limit`.
pub fn time_until_cancel(harness: &mut Harness, limit: Millis) -> Option<Millis> {
    for number in 1_000..1_010 {
        let start = harness.now;
        let sent = sends(&harness.arrive(request(number, 0, harness.now + 600_000.0)));
        assert_eq!(sent.len(), 1);
        let mut cancelled = None;
        while harness.now < start + limit && cancelled.is_none() {
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

/// Nine of ten runs take 1 s and one takes 20 s. Without cancels a query costs 2.9 s on average; with a
/// timeout just past 1 s it costs 1 + 0.1 * m, where m, the expected time of a relaunch, is 2.9 s while no
/// relaunch has ended. The best timeout is therefore the first histogram edge past 1 s.
#[test]
fn timeout_is_just_past_the_bulk_of_run_times_with_a_long_tail() {
    let mut harness = trained(settings(vec![class(Idempotency::Safe, 1.0)]), 1, 20_000.0);
    let cancelled = time_until_cancel(&mut harness, 8_000.0).expect("a timeout reduces the mean cost here");
    assert!((1_000.0..2_500.0).contains(&cancelled), "cancelled after {cancelled} ms");
}

/// A relaunch would take as long as the run that it replaces.
#[test]
fn nothing_is_cancelled_if_all_runs_take_the_same_time() {
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
fn relaunch_waits_for_the_cancelled_outcome_uses_another_engine_and_is_never_cancelled() {
    let mut harness = trained(settings(vec![class(Idempotency::Safe, 1.0)]), 1, 20_000.0);
    for number in 2_000..2_010 {
        let first = sends(&harness.arrive(request(number, 0, harness.now + 600_000.0)))[0];
        let actions = harness.advance(6_000.0);
        if cancels(&actions) == 0 {
            harness.end(number, 0, first, Outcome::Failed, 6_000.0);
            continue;
        }
        assert_eq!(cancels(&actions), 1);
        assert!(sends(&actions).is_empty(), "concurrent attempts are not allowed here");
        let second = sends(&harness.end(number, 0, first, Outcome::Cancelled, 6_000.0));
        assert_eq!(second.len(), 1);
        assert_ne!(second[0], first);
        assert_eq!(cancels(&harness.advance(60_000.0)), 0, "a relaunch runs to its end");
        return;
    }
    panic!("nothing was cancelled");
}

/// Once stragglers are cancelled, almost none of the tail is observed any more. The timeout must not
/// alternately be dropped and chosen again.
#[test]
fn timeout_is_kept_once_stragglers_are_cancelled() {
    let mut harness = trained(settings(vec![class(Idempotency::Safe, 1.0)]), 1, 20_000.0);
    let mut timeouts_dropped = 0;
    for number in 3_000..3_120 {
        let first = sends(&harness.arrive(request(number, 0, harness.now + 600_000.0)))[0];
        let actions = harness.advance(if number % 10 == 0 { 6_000.0 } else { 1_000.0 });
        timeouts_dropped +=
            actions.iter().filter(|a| matches!(a, Action::Log(text) if text.contains("no timeout"))).count();
        if cancels(&actions) > 0 {
            let second = sends(&harness.end(number, 0, first, Outcome::Cancelled, 6_000.0))[0];
            harness.advance(1_000.0);
            harness.end(number, 1, second, Outcome::Served, 1_000.0);
        } else {
            harness.end(number, 0, first, Outcome::Served, 1_000.0);
        }
    }
    assert_eq!(timeouts_dropped, 0);
}

/// With a progress report the dispatcher compares the remaining time of this attempt with the time of a
/// relaunch.
#[test]
fn progress_report_prevents_a_cancel_or_brings_it_forward() {
    for (completed, expected) in [(0.6, false), (0.02, true)] {
        let mut harness = trained(settings(vec![class(Idempotency::Safe, 1.0)]), 1, 20_000.0);
        let mut cancelled = 0;
        for number in 4_000..4_005 {
            let first = sends(&harness.arrive(request(number, 0, harness.now + 600_000.0)))[0];
            harness.advance(800.0);
            cancelled += cancels(&harness.handle(Event::Progress(
                id(number),
                AttemptNo(0),
                ProgressReport::Done(completed),
            )));
            cancelled += cancels(&harness.advance(150.0));
            harness.handle(Event::ClientGone(id(number)));
            harness.end(number, 0, first, Outcome::Cancelled, 950.0);
        }
        assert_eq!(cancelled > 0, expected, "completed fraction {completed}");
    }
}

/// A relaunch needs another engine that the class may be sent to.
#[test]
fn nothing_is_cancelled_if_no_other_engine_is_permitted() {
    let mut restricted = class(Idempotency::Safe, 1.0);
    restricted.zones = Some(vec![ZoneId(1)]);
    let mut harness = Harness::new(settings(vec![restricted]), 3);
    harness.handle(Event::EngineChanges(vec![EngineEntry { zone: ZoneId(1), ..entry(1) }]));
    for number in 0..60 {
        harness.serve(number, 0, if number % 10 == 0 { 20_000.0 } else { 1_000.0 });
    }
    harness.advance(600.0);
    assert_eq!(time_until_cancel(&mut harness, 8_000.0), None);
}

/// In a large fleet a dispatcher has the first 20 outcomes of a heavy class only late in the day. Until then
/// the outcomes of other classes are used, and a progress report of a long run shows the tail that makes a
/// timeout useful.
#[test]
fn class_without_outcomes_learns_its_timeout_from_other_classes_and_progress_reports() {
    for (completed, expected) in [(0.03, 1), (0.9, 0)] {
        let mut harness =
            Harness::new(settings(vec![class(Idempotency::Safe, 1.0), class(Idempotency::Safe, 1.0)]), 4);
        for number in 0..25 {
            harness.serve(number, 0, 1_000.0);
        }
        let mut cancelled = 0;
        for number in 100..103 {
            harness.arrive(request(number, 1, harness.now + 600_000.0));
        }
        harness.advance(1_200.0);
        for number in 100..103 {
            harness.handle(Event::Progress(id(number), AttemptNo(0), ProgressReport::Done(completed)));
        }
        cancelled += cancels(&harness.advance(4_000.0));
        assert_eq!(cancelled.min(1), expected, "completed fraction {completed}");
    }
}

#[test]
fn equal_events_give_equal_actions_and_a_new_dispatcher_has_no_timeout() {
    let run = || {
        let mut harness = trained(settings(vec![class(Idempotency::Safe, 1.0)]), 1, 20_000.0);
        let mut actions = Vec::new();
        for number in 0..20 {
            actions.extend(harness.arrive(request(5_000 + number, 0, harness.now + 30_000.0)));
            actions.extend(harness.advance(130.0));
        }
        actions
    };
    assert_eq!(run(), run());
    let mut fresh = Harness::new(settings(vec![class(Idempotency::Safe, 1.0)]), 4);
    assert_eq!(time_until_cancel(&mut fresh, 8_000.0), None, "a new dispatcher has no timeout");
}

/// Issue i8326e2: by its progress report a run ends long after its client's deadline.
#[test]
fn run_that_cannot_end_in_time_is_cancelled_and_rejected_if_the_class_is_safe() {
    for (idempotency, expected) in [(Idempotency::Safe, 1), (Idempotency::Unsafe, 0)] {
        let mut harness = Harness::new(settings(vec![class(idempotency, 1.0)]), 2);
        harness.arrive(request(1, 0, 9_000.0));
        harness.advance(2_000.0);
        let actions = harness.handle(Event::Progress(id(1), AttemptNo(0), ProgressReport::Done(0.01)));
        assert_eq!((rejections(&actions), cancels(&actions)), (expected, expected));
    }
}
