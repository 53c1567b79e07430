//! Black-box tests of the decision module: the mechanism, the seven rules and odd but legal events.

mod common;

use common::*;
use gaugestep_dispatch::Dispatcher;
use gaugestep_dispatch::interface::*;

/// Feeds one class `bad` stragglers of `long` ms in every ten runs of 1,000 ms, all uncut by their times.
fn taught(mut settings: Settings, bad: usize, long: Millis) -> Harness {
    settings.memory_grants = false;
    let mut harness = Harness::new(settings, 4);
    for number in 0..60 {
        let run = if number as usize % 10 < bad { long } else { 1_000.0 };
        harness.serve(number, 0, run);
    }
    harness.advance(600.0);
    harness
}

/// The time after which a run that never ends is cut, if it is within `most`.
fn cut_after(harness: &mut Harness, most: Millis) -> Option<Millis> {
    for number in 1_000..1_010 {
        let start = harness.now;
        let sent = sends(&harness.arrive(request(number, 0, harness.now + 600_000.0)));
        assert_eq!(sent.len(), 1);
        let mut cut = None;
        while harness.now < start + most && cut.is_none() {
            if cancels(&harness.advance(10.0)) > 0 {
                cut = Some(harness.now - start);
            }
        }
        let elapsed = harness.now - start;
        harness.handle(Event::ClientGone(id(number)));
        harness.end(number, 0, sent[0], Outcome::Cancelled, elapsed);
        if cut.is_some() {
            return cut;
        }
    }
    None
}

/// Nine of ten runs take 1 and one takes 20: never cutting costs 2.9; cutting just past 1 costs
/// 1 + 0.1 * m with m = 2.9 before any rerun is known. So tau is the first edge past 1.
#[test]
fn tau_falls_just_past_the_bulk_where_a_tail_is_long() {
    let mut harness = taught(settings(vec![class(Effect::Safe, 1.0)]), 1, 20_000.0);
    let cut = cut_after(&mut harness, 8_000.0).expect("a cut pays here");
    assert!((1_000.0..2_500.0).contains(&cut), "cut after {cut} ms");
}

/// Every run takes the same time: a rerun is as long as the run, so nothing beats never cutting.
#[test]
fn nothing_is_cut_where_runs_are_all_alike() {
    let mut harness = taught(settings(vec![class(Effect::Safe, 1.0)]), 0, 0.0);
    assert_eq!(cut_after(&mut harness, 900.0), None);
}

#[test]
fn nothing_is_cut_before_enough_outcomes() {
    let mut harness = Harness::new(settings(vec![class(Effect::Safe, 1.0)]), 4);
    for number in 0..15 {
        harness.serve(number, 0, if number % 10 == 0 { 20_000.0 } else { 1_000.0 });
    }
    harness.advance(600.0);
    assert_eq!(cut_after(&mut harness, 8_000.0), None);
}

#[test]
fn a_relaunch_waits_for_the_cancelled_outcome_and_goes_elsewhere_and_is_never_cut() {
    let mut harness = taught(settings(vec![class(Effect::Safe, 1.0)]), 1, 20_000.0);
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
    panic!("nothing was cut");
}

/// Guards against cutting that flickers off once all stragglers are cut and the tail is hardly seen.
#[test]
fn cutting_goes_on_once_stragglers_are_cut() {
    let mut harness = taught(settings(vec![class(Effect::Safe, 1.0)]), 1, 20_000.0);
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

/// Notes weigh this attempt's time left against a rerun: they veto a cut, or bring it forward.
#[test]
fn a_note_vetoes_a_cut_or_brings_it_forward() {
    for (share, cut) in [(0.6, false), (0.02, true)] {
        let mut harness = taught(settings(vec![class(Effect::Safe, 1.0)]), 1, 20_000.0);
        let mut cuts = 0;
        for number in 4_000..4_005 {
            let first = sends(&harness.arrive(request(number, 0, harness.now + 600_000.0)))[0];
            harness.advance(800.0);
            cuts += cancels(&harness.handle(Event::Progress(
                id(number),
                AttemptNo(0),
                ProgressReport::Done(share),
            )));
            cuts += cancels(&harness.advance(150.0));
            harness.handle(Event::ClientGone(id(number)));
            harness.end(number, 0, first, Outcome::Cancelled, 950.0);
        }
        assert_eq!(cuts > 0, cut, "share done {share}");
    }
}

#[test]
fn an_unsafe_class_is_never_cut_nor_resent_nor_refused_once_it_may_have_run() {
    let mut harness = taught(settings(vec![class(Effect::Unsafe, 1.0)]), 1, 20_000.0);
    assert_eq!(cut_after(&mut harness, 8_000.0), None);
    let sent = sends(&harness.arrive(request(9_000, 0, harness.now + 60_000.0)));
    let actions = harness.end(9_000, 0, sent[0], Outcome::Reset, 10.0);
    assert!(sends(&actions).is_empty());
    assert_eq!((rejections(&actions), failures(&actions)), (0, 1));
}

#[test]
fn an_unsafe_request_that_never_ran_is_sent_again() {
    let mut harness = Harness::new(settings(vec![class(Effect::Unsafe, 1.0)]), 3);
    let sent = sends(&harness.arrive(request(1, 0, 60_000.0)));
    let again = sends(&harness.end(1, 0, sent[0], Outcome::ConnectFailed, 250.0));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0], sent[0]);
}

#[test]
fn a_keyed_request_goes_again_only_to_its_cell_and_within_its_window() {
    for (wait, expected) in [(10.0, 1), (2_000.0, 0)] {
        let mut settings = settings(vec![class(Effect::Keyed(DedupGroup::Cell, 1_000.0), 1.0)]);
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
fn the_time_out_at_the_deadline_is_answered_at_once() {
    let mut harness = Harness::new(settings(vec![class(Effect::Safe, 1.0)]), 2);
    let sent = sends(&harness.arrive(request(1, 0, 2_500.0)))[0];
    harness.now = 2_500.0;
    let actions = harness.end(1, 0, sent, Outcome::TimedOut, 2_500.0);
    assert_eq!((rejections(&actions), sends(&actions).len()), (1, 0));
}

#[test]
fn nothing_goes_to_a_draining_or_missing_engine() {
    let mut harness = Harness::new(settings(vec![class(Effect::Safe, 1.0)]), 2);
    harness.handle(Event::EngineChanges(vec![EngineEntry { readiness: Readiness::Draining, ..entry(0) }]));
    for number in 0..4 {
        assert_eq!(sends(&harness.arrive(request(number, 0, 60_000.0))), [EngineId(1)]);
    }
    harness.handle(Event::EngineList(vec![entry(0)]));
    assert_eq!(sends(&harness.arrive(request(10, 0, 60_000.0))), [EngineId(0)]);
}

#[test]
fn a_cold_engine_gets_no_more_than_its_budget_in_a_window() {
    let mut settings = settings(vec![class(Effect::Safe, 1.0)]);
    (settings.dispatchers, settings.fleet_position) = (2, FleetPosition::ordinal(0, 2).unwrap());
    let mut harness = Harness::new(settings.clone(), 0);
    harness.now = 100_000.0;
    harness.handle(Event::EngineList(vec![EngineEntry { started_at: Some(99_990.0), ..entry(0) }]));
    let mut sent = 0;
    for number in 0..50 {
        let actions = harness.arrive(request(number, 0, harness.now + 60_000.0));
        sent += sends(&actions).len();
    }
    sent += sends(&harness.advance(1_490.0)).len();
    // 3 times 30% of 8 cores for 1.5 s is 10.8 s of work; each of two dispatchers may send half of it.
    assert!((1..=5).contains(&sent), "{sent} requests of 1 s");
}

#[test]
fn requests_of_one_key_run_in_turn_and_the_key_rests_after_a_reset() {
    let mut ordered = class(Effect::Unsafe, 1.0);
    ordered.ordered = true;
    let mut harness = Harness::new(settings(vec![ordered]), 3);
    let keyed = |number, due| NewRequest { key: Some(OrderKey("k".into())), ..request(number, 0, due) };
    let first = sends(&harness.arrive(keyed(1, 60_000.0)))[0];
    assert!(sends(&harness.arrive(keyed(2, 60_000.0))).is_empty());
    assert!(sends(&harness.arrive(keyed(3, 60_000.0))).is_empty());
    assert!(sends(&harness.end(1, 0, first, Outcome::Reset, 10.0)).is_empty());
    assert!(sends(&harness.advance(490.0)).is_empty(), "the key rests for 500 ms");
    let second = sends(&harness.advance(100.0));
    assert_eq!(second.len(), 1);
    assert_eq!(sends(&harness.end(2, 0, second[0], Outcome::Served, 100.0)).len(), 1);
}

#[test]
fn a_bound_class_goes_only_where_it_may_even_if_all_of_those_are_down() {
    let mut bound = class(Effect::Safe, 1.0);
    bound.zones = Some(vec![ZoneId(1)]);
    bound.machines = Some(vec![MachineId(0)]);
    let mut harness = Harness::new(settings(vec![bound]), 0);
    let zoned = |engine| EngineEntry { zone: ZoneId(engine as usize % 2), ..entry(engine) };
    harness.handle(Event::EngineList((0..4).map(zoned).collect()));
    let first = sends(&harness.arrive(request(1, 0, 9_000.0)));
    assert_eq!(first[0].0 % 2, 1);
    harness.handle(Event::EngineChanges(
        [1, 3].map(|engine| EngineEntry { readiness: Readiness::Gone, ..zoned(engine) }).to_vec(),
    ));
    let mut actions = harness.arrive(request(2, 0, 9_000.0));
    actions.extend(harness.advance(8_990.0));
    assert!(sends(&actions).is_empty());
    assert_eq!(rejections(&actions), 1);
}

#[test]
fn further_attempts_stay_within_their_budget() {
    let mut settings = settings(vec![class(Effect::Safe, 1.0)]);
    settings.retry_budget = Some(RetryBudgetSettings { min_retries: 2.0, ratio: 0.1, window: 5_000.0 });
    let mut harness = Harness::new(settings, 40);
    let mut further = 0;
    for number in 0..10 {
        let sent = sends(&harness.arrive(request(number, 0, 60_000.0)));
        further += sends(&harness.end(number, 0, sent[0], Outcome::Failed, 1.0)).len();
    }
    assert_eq!(further, 3, "2 free and a tenth of 10 requests");
}

#[test]
fn a_restart_knows_nothing_and_equal_events_give_equal_actions() {
    let play = || {
        let mut harness = taught(settings(vec![class(Effect::Safe, 1.0)]), 1, 20_000.0);
        let mut actions = Vec::new();
        for number in 0..20 {
            actions.extend(harness.arrive(request(5_000 + number, 0, harness.now + 30_000.0)));
            actions.extend(harness.advance(130.0));
        }
        actions
    };
    assert_eq!(play(), play());
    let mut fresh = Harness::new(settings(vec![class(Effect::Safe, 1.0)]), 4);
    assert_eq!(cut_after(&mut fresh, 8_000.0), None, "a new dispatcher has learned no tau");
}

#[test]
fn unusable_settings_name_their_field() {
    let error = Dispatcher::new(settings(vec![]), 1).err().unwrap();
    assert_eq!(error.field, "classes");
    let mut endless = settings(vec![class(Effect::Safe, 1.0)]);
    endless.order_pause = f64::INFINITY;
    assert_eq!(Dispatcher::new(endless, 1).err().unwrap().field, "order_pause");
    let mut negative = settings(vec![class(Effect::Safe, 1.0)]);
    negative.slow_start.window = -1.0;
    assert_eq!(Dispatcher::new(negative, 1).err().unwrap().field, "cold.span");
    let mut nobody = settings(vec![class(Effect::Safe, 1.0)]);
    nobody.dispatchers = 0;
    assert_eq!(Dispatcher::new(nobody, 1).err().unwrap().field, "dispatchers");
    for share in [-0.1, 1.1, f64::NAN] {
        let mut odd = settings(vec![class(Effect::Safe, 1.0)]);
        odd.slow_start.initial_share = share;
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

/// i602797: connections broke here and there while every engine still answered.
#[test]
fn single_resets_leave_an_engine_in_use_and_several_in_a_row_do_not() {
    let mut harness = Harness::new(settings(vec![class(Effect::Safe, 1.0)]), 1);
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

/// i0db096: a long line behind one key must not wait behind fresh work of the same rank.
#[test]
fn the_head_of_a_long_line_goes_before_a_lone_request() {
    let mut ordered = class(Effect::Safe, 24.0);
    ordered.ordered = true;
    let mut harness = Harness::new(settings(vec![ordered, class(Effect::Safe, 24.0)]), 1);
    let full = sends(&harness.arrive(request(1, 1, 60_000.0)))[0];
    assert!(sends(&harness.arrive(request(2, 1, 60_000.0))).is_empty(), "the engine has no room");
    for number in 10..14 {
        let keyed = NewRequest { key: Some(OrderKey("k".into())), ..request(number, 0, 60_000.0) };
        assert!(sends(&harness.arrive(keyed)).is_empty());
    }
    let actions = harness.end(1, 0, full, Outcome::Served, 125.0);
    assert!(actions.contains(&Action::Send { id: id(10), engine: full }), "{actions:?}");
}

/// i8326e2: a run that a note tells to outlast its client by far is given up, if it may be repeated.
#[test]
fn a_hopeless_run_is_given_up_if_it_is_safe() {
    for (effect, given_up) in [(Effect::Safe, 1), (Effect::Unsafe, 0)] {
        let mut harness = Harness::new(settings(vec![class(effect, 1.0)]), 2);
        harness.arrive(request(1, 0, 9_000.0));
        harness.advance(2_000.0);
        let actions = harness.handle(Event::Progress(id(1), AttemptNo(0), ProgressReport::Done(0.01)));
        assert_eq!((rejections(&actions), cancels(&actions)), (given_up, given_up));
    }
}

/// A relaunch must have somewhere to go: where the class is bound to one engine, its runs are left alone.
#[test]
fn nothing_is_cut_where_no_other_engine_is_permitted() {
    let mut bound = class(Effect::Safe, 1.0);
    bound.zones = Some(vec![ZoneId(1)]);
    let mut harness = Harness::new(settings(vec![bound]), 3);
    harness.handle(Event::EngineChanges(vec![EngineEntry { zone: ZoneId(1), ..entry(1) }]));
    for number in 0..60 {
        harness.serve(number, 0, if number % 10 == 0 { 20_000.0 } else { 1_000.0 });
    }
    harness.advance(600.0);
    assert_eq!(cut_after(&mut harness, 8_000.0), None);
}

/// At size a dispatcher's part of a cold engine's budget is less than one query: none would ever be sent, and
/// the successors of a release starve. All together must send some, and stay within 3 times 30% of 8 cores.
#[test]
fn many_dispatchers_use_a_cold_engine_and_keep_its_budget_together() {
    let mut settings = settings(vec![class(Effect::Safe, 1.0)]);
    settings.dispatchers = 250;
    let mut sent = 0;
    for seed in 0..250 {
        settings.fleet_position = FleetPosition::ordinal(seed as u32, 250).unwrap();
        let mut harness =
            Harness { dispatcher: Dispatcher::new(settings.clone(), seed).unwrap(), now: 100_000.0 };
        harness.handle(Event::EngineList(vec![EngineEntry { started_at: Some(99_990.0), ..entry(0) }]));
        for number in 0..6 {
            sent += sends(&harness.arrive(request(number, 0, harness.now + 60_000.0))).len();
            sent += sends(&harness.advance(240.0)).len();
        }
    }
    assert!((1..=10).contains(&sent), "{sent} requests of 1 s in one window of 1.5 s");
}

/// What nothing was heard of for long must not count as crowded: with reports late or few, all would wait for
/// news that only a send can bring.
#[test]
fn old_reports_of_crowding_hold_nothing_back() {
    let mut settings = settings(vec![class(Effect::Safe, 4.0)]);
    settings.dispatchers = 250;
    let mut harness = Harness::new(settings, 12);
    for engine in 0..12 {
        let load = LoadReport { in_flight: Some(40.0), ..LoadReport::default() };
        harness.handle(Event::ProbeResult(EngineId(engine), Outcome::Served, Some(load)));
    }
    assert!(sends(&harness.arrive(request(1, 0, 60_000.0))).is_empty(), "all engines are crowded");
    assert_eq!(sends(&harness.advance(20_000.0)).len(), 1, "news of long ago does not hold it back");
}

/// Where engines trim grants an overcommitted one spills, so the next heavy query stays away from it earlier.
#[test]
fn memory_is_filled_less_where_grants_are_trimmed() {
    for (memory_line, expected) in [(true, 2), (false, 1)] {
        let mut settings = settings(vec![class(Effect::Safe, 1.0)]);
        settings.memory_queueing = memory_line;
        let mut harness = Harness::new(settings, 1);
        // With its margin of a fifth each takes 7,200 of 16,384 MB.
        let heavy = |number| NewRequest { memory_mb: 6_000.0, ..request(number, 0, 60_000.0) };
        let sent: usize = (0..3).map(|number| sends(&harness.arrive(heavy(number))).len()).sum();
        assert_eq!(sent, expected, "memory line {memory_line}");
    }
}

/// icc2289: one tenant asks for many times its share; another's request goes before what it has waiting.
#[test]
fn a_tenant_that_floods_waits_behind_others() {
    let mut settings = settings(vec![class(Effect::Safe, 24.0)]);
    settings.tenants = vec![TenantSettings { quota_per_s: 1.0 }, TenantSettings { quota_per_s: 1.0 }];
    let mut harness = Harness::new(settings, 1);
    let of = |number, tenant| NewRequest { tenant: TenantId(tenant), ..request(number, 0, 60_000.0) };
    let full = sends(&harness.arrive(of(0, 0)))[0];
    for number in 1..40 {
        harness.arrive(of(number, 0));
    }
    harness.arrive(of(90, 1));
    let mut sent = vec![0];
    for turn in 0..30 {
        let last = sent[turn];
        let actions = harness.end(last, 0, full, Outcome::Served, 125.0);
        sent.extend((0..91).filter(|n| actions.contains(&Action::Send { id: id(*n), engine: full })));
    }
    let place = |number| sent.iter().position(|other| *other == number).unwrap_or(usize::MAX);
    assert!((20..40).all(|number| place(90) < place(number)), "{sent:?}");
}

/// At size a heavy class sees its first 20 outcomes late in a day: other classes' stand in for them, and a note
/// of a run that goes on for long shows the tail that makes cutting worth while.
#[test]
fn a_class_without_outcomes_of_its_own_learns_tau_from_others_and_notes() {
    for (share, cut) in [(0.03, 1), (0.9, 0)] {
        let mut harness = Harness::new(settings(vec![class(Effect::Safe, 1.0), class(Effect::Safe, 1.0)]), 4);
        for number in 0..25 {
            harness.serve(number, 0, 1_000.0);
        }
        let mut cuts = 0;
        for number in 100..103 {
            harness.arrive(request(number, 1, harness.now + 600_000.0));
        }
        harness.advance(1_200.0);
        for number in 100..103 {
            harness.handle(Event::Progress(id(number), AttemptNo(0), ProgressReport::Done(share)));
        }
        cuts += cancels(&harness.advance(4_000.0));
        assert_eq!(cuts.min(1), cut, "share done {share}");
    }
}

/// An engine that fails at once has little in hand and would draw ever more work: errors in a row count.
#[test]
fn an_engine_that_fails_fast_is_left_alone() {
    let mut harness = Harness::new(settings(vec![class(Effect::Safe, 1.0)]), 1);
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
fn an_engine_whose_errors_others_put_right_is_left_alone() {
    let mut harness = Harness::new(settings(vec![class(Effect::Safe, 1.0)]), 4);
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

/// Guards loads against a convoy: on one engine the second stands still, holding its memory, until the first ends.
#[test]
fn loads_on_the_same_tables_go_to_different_engines_or_wait() {
    let mut load = class(Effect::Unsafe, 1.0);
    load.locks_tables = true;
    let mut harness = Harness::new(settings(vec![load]), 2);
    let sent: Vec<EngineId> =
        (0..3).flat_map(|number| sends(&harness.arrive(request(number, 0, 60_000.0)))).collect();
    assert_eq!(sent.len(), 2, "the third waits");
    assert_ne!(sent[0], sent[1]);
    let other = NewRequest { tables: TablesId(77), ..request(9, 0, 60_000.0) };
    assert_eq!(sends(&harness.arrive(other)).len(), 1, "other tables are free");
    assert_eq!(sends(&harness.end(0, 0, sent[0], Outcome::Served, 100.0)), [sent[0]]);
}

/// Guards usual requests against those that no engine can answer, and against one connection that ends under many.
#[test]
fn failures_of_one_moment_leave_an_engine_in_use() {
    for outcome in [Outcome::Failed, Outcome::Reset] {
        let mut harness = Harness::new(settings(vec![class(Effect::Unsafe, 1.0)]), 1);
        let sent: Vec<EngineId> =
            (0..8).flat_map(|number| sends(&harness.arrive(request(number, 0, 60_000.0)))).collect();
        assert_eq!(sent.len(), 8);
        for (number, engine) in (0..).zip(sent) {
            harness.end(number, 0, engine, outcome, 1.0);
        }
        assert_eq!(sends(&harness.arrive(request(9, 0, harness.now + 60_000.0))).len(), 1, "{outcome:?}");
    }
}

/// Guards against a full house: the clients of whatever comes next could not even connect.
#[test]
fn of_more_than_may_be_open_the_least_worthy_that_wait_are_refused() {
    let mut site = settings(vec![class(Effect::Safe, 1.0), class(Effect::Safe, 2.0)]);
    site.max_open = 40;
    let mut harness = Harness::new(site, 1);
    let refused: usize = (0..60)
        .map(|number| rejections(&harness.arrive(request(number, usize::from(number % 2 == 0), 60_000.0))))
        .sum();
    assert_eq!(refused, 20);
}

/// Guards the ration of attempts, and the client's time, against a request that no engine can answer.
#[test]
fn a_request_that_fails_on_two_engines_is_given_up_at_once() {
    let mut harness = Harness::new(settings(vec![class(Effect::Safe, 1.0)]), 4);
    let first = sends(&harness.arrive(request(1, 0, harness.now + 60_000.0)))[0];
    let second = sends(&harness.end(1, 0, first, Outcome::Failed, 5.0))[0];
    assert_ne!(first, second);
    let end = harness.end(1, 1, second, Outcome::Failed, 5.0);
    assert_eq!((sends(&end).len(), rejections(&end)), (0, 1));
}

/// A class whose late answers are worth nothing, as the README's example has it.
fn strict() -> Harness {
    let class = ClassSettings {
        target_latency: 500.0,
        target_stretch: 0.0,
        late_fraction: 0.0,
        ..class(Effect::Safe, 1.0)
    };
    Harness::new(settings(vec![class]), 2)
}

/// Sends a request and has it served with this work, if it is sent at all.
fn served(harness: &mut Harness, number: u32, estimate: Millis, work: Millis) -> bool {
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

/// Guards against refusing for good what is only assumed to take too long: nothing would ever be learned.
#[test]
fn a_class_without_estimates_is_tried_and_learned_from_its_answers() {
    let mut harness = strict();
    for number in 0..30 {
        assert!(served(&mut harness, number, 0.0, 50.0), "request {number}");
    }
}

#[test]
fn requests_with_estimates_tell_what_those_without_need() {
    let mut harness = strict();
    for number in 0..30 {
        assert!(served(&mut harness, number, 50.0, 50.0));
    }
    assert!(served(&mut harness, 30, 0.0, 50.0));
}

/// What answers told once is forgotten: a class that got slow is tried again after a while, and found quick again.
#[test]
fn a_class_that_is_known_to_take_too_long_is_refused_and_tried_again_later() {
    let mut harness = strict();
    assert!(served(&mut harness, 0, 0.0, 900.0));
    let refused = harness.arrive(NewRequest { estimate: 0.0, ..request(1, 0, harness.now + 1_500.0) });
    let refused = [refused, harness.advance(30.0)].concat();
    let reason = refused.iter().find_map(|action| match action {
        Action::Reject { reason, .. } => Some(*reason),
        _ => None,
    });
    assert_eq!(reason, Some(RejectReason::TooLong));
    harness.advance(30_000.0);
    for number in 10..40 {
        if !served(&mut harness, number, 0.0, 50.0) {
            harness.advance(30_000.0);
        }
    }
    assert!(served(&mut harness, 50, 0.0, 50.0), "found quick again");
}

/// Handshakes and connections are paid for over the whole fleet: one of hundreds of dispatchers keeps to a few engines,
/// and all of them together still use each.
#[test]
fn one_of_many_dispatchers_keeps_to_a_few_engines_and_all_together_use_each() {
    let mut settings = settings(vec![class(Effect::Safe, 1.0)]);
    settings.dispatchers = 100;
    let mut fleet = [0; 80];
    for seed in 0..100 {
        settings.fleet_position = FleetPosition::ordinal(seed as u32, 100).unwrap();
        let mut harness = Harness { dispatcher: Dispatcher::new(settings.clone(), seed).unwrap(), now: 0.0 };
        harness.handle(Event::EngineList((0..80).map(entry).collect()));
        let mut own = std::collections::BTreeSet::new();
        for number in 0..120 {
            let engine = sends(&harness.arrive(request(number, 0, harness.now + 60_000.0)))[0];
            harness.now += 50.0;
            harness.end(number, 0, engine, Outcome::Served, 50.0);
            own.insert(engine);
            fleet[engine.0 as usize] += 1;
        }
        assert_eq!(own.len(), 8);
    }
    let (least, most) = (fleet.iter().min().unwrap(), fleet.iter().max().unwrap());
    assert!(*least > 100 && *most < 200, "150 each on average: {least} to {most}");
}

/// Engines of its own choice that fail are made up for by others.
#[test]
fn a_dispatcher_whose_engines_go_chooses_others() {
    let mut settings = settings(vec![class(Effect::Safe, 1.0)]);
    settings.dispatchers = 100;
    let mut harness = Harness::new(settings, 40);
    for left in (4..40).rev() {
        harness.handle(Event::EngineChanges(vec![EngineEntry { readiness: Readiness::Gone, ..entry(left) }]));
        let sent = sends(&harness.arrive(request(left, 0, harness.now + 60_000.0)));
        assert!(sent[0].0 < left, "{sent:?}");
        harness.end(left, 0, sent[0], Outcome::Served, 1.0);
    }
}

/// The successors of a release: nothing is heard of a cold engine yet, and it must not be taken to be as crowded as the
/// warm ones are, or it stands idle beside them.
#[test]
fn a_cold_engine_without_news_is_not_taken_to_be_as_crowded_as_warm_ones() {
    let mut settings = settings(vec![class(Effect::Safe, 1.0)]);
    (settings.dispatchers, settings.fleet_position) = (2, FleetPosition::ordinal(0, 2).unwrap());
    let mut harness = Harness::new(settings, 3);
    harness.now = 100_000.0;
    let held = |held| Some(LoadReport { in_flight: Some(held), ..LoadReport::default() });
    harness.handle(Event::EngineChanges(vec![EngineEntry { started_at: Some(99_000.0), ..entry(9) }]));
    let mut sent = Vec::new();
    // Its next right there comes up within a second.
    for step in 0..20 {
        for engine in 0..3 {
            // 1.3 threads a core are the most for an unurgent query: the warm ones are full.
            harness.handle(Event::ProbeResult(EngineId(engine), Outcome::Served, held(17.0)));
        }
        if step == 0 {
            sent = sends(&harness.arrive(request(1, 0, harness.now + 60_000.0)));
        }
        sent.extend(sends(&harness.advance(50.0)));
    }
    assert_eq!(sent, [EngineId(9)]);
}

/// A route's engines alone, in the ratio of their weights; what has no route goes anywhere.
#[test]
fn routes_bind_requests_to_engines_by_weight() {
    let mut settings = settings(vec![class(Effect::Safe, 1.0), class(Effect::Safe, 1.0)]);
    let engines = Some([(EngineId(1), 1.0), (EngineId(2), 3.0)].into());
    settings.routes = vec![Route { classes: Some(vec![ClassId(0)]), tenants: None, engines }];
    for dispatchers in [1, 100] {
        settings.dispatchers = dispatchers;
        let mut harness = Harness::new(settings.clone(), 30);
        let sent: Vec<u32> = (0..8)
            .map(|number| sends(&harness.arrive(request(number, 0, harness.now + 60_000.0)))[0].0)
            .collect();
        assert!(sent.iter().all(|engine| [1, 2].contains(engine)), "{sent:?}");
        let heavy = sent.iter().filter(|engine| **engine == 2).count();
        assert!(dispatchers > 1 || heavy == 6, "{sent:?}");
        let free = sends(&harness.arrive(request(100, 1, harness.now + 60_000.0)));
        assert!(![1, 2].contains(&free[0].0), "{free:?}");
    }
}

/// A heavy request that waits for a cold engine draws its lot there again at every look. If a lost lot took
/// all that had gathered, the light requests beside it would get nothing of the engine's budget: on a day when
/// most engines are new, all proxies' lookups wait for warm ones and are turned away.
#[test]
fn a_heavy_request_waiting_for_a_cold_engine_leaves_its_budget_to_light_ones() {
    let mut settings = settings(vec![class(Effect::Safe, 1.0), class(Effect::Safe, 1.0)]);
    settings.dispatchers = 20;
    let mut harness = Harness::new(settings, 0);
    harness.now = 100_000.0;
    harness.handle(Event::EngineList(vec![EngineEntry { started_at: Some(99_990.0), ..entry(0) }]));
    // This dispatcher's part: 3 times 30% of 8 cores, in a twentieth and 30%, is 0.108 ms of work each ms.
    let heavy = |number| NewRequest { estimate: 5_000.0, ..request(number, 1, harness.now + 60_000.0) };
    let heavy: Vec<_> = (900..903).map(heavy).collect();
    let mut lot_won = 0;
    for new in heavy {
        lot_won += sends(&harness.arrive(new)).len();
    }
    let mut light = 0;
    for number in 0..30 {
        let new = NewRequest { estimate: 50.0, ..request(number, 0, harness.now + 60_000.0) };
        let mut sent = sends(&harness.arrive(new));
        sent.extend(sends(&harness.advance(100.0)));
        for _ in &sent {
            harness.end(number, 0, EngineId(0), Outcome::Served, 50.0);
        }
        light += sent.len();
    }
    // In 3.1 s the budget gathers 162 ms at first and 335 ms more: some nine requests of 50 ms.
    assert!((5..=10 - lot_won).contains(&light), "{light} light requests, {lot_won} heavy ones");
}

/// Engines that tell nothing of their load: four dispatchers that each fill them by what they sent themselves would put four
/// times as much there as they bear, which where nothing can be called off lasts for as long as clients come again.
#[test]
fn dispatchers_of_engines_that_tell_nothing_leave_room_for_each_other() {
    let mut settings = settings(vec![class(Effect::Safe, 1.0)]);
    settings.dispatchers = 4;
    let mut at_engine = [0; 6];
    for seed in 0..4 {
        let mut harness = Harness { dispatcher: Dispatcher::new(settings.clone(), seed).unwrap(), now: 0.0 };
        harness.handle(Event::EngineList((0..6).map(entry).collect()));
        for number in 0..60 {
            let sent = harness.arrive(request(number, 0, 60_000.0));
            harness.now += 100.0;
            sends(&sent).iter().for_each(|engine| at_engine[engine.0 as usize] += 1);
        }
    }
    // 8 cores, 1.3 threads for each: 10 at an engine, up to twice as many for what is urgent, and a few as one's own tell little
    // at first; 40 where each counts its own alone.
    assert!(at_engine.iter().all(|sent| (8..=26).contains(sent)), "{at_engine:?}");
}

/// What piles up at an engine that hangs says nothing of the others.
#[test]
fn a_pile_at_one_engine_that_tells_nothing_leaves_the_others_in_use() {
    let mut settings = settings(vec![class(Effect::Safe, 1.0)]);
    settings.dispatchers = 4;
    let mut harness = Harness::new(settings, 6);
    let mut sent = Vec::new();
    for number in 0..300 {
        harness.now += 20.0;
        for engine in sends(&harness.arrive(request(number, 0, harness.now + 60_000.0))) {
            // All but the first answer at once.
            if engine.0 > 0 {
                harness.end(number, 0, engine, Outcome::Served, 10.0);
            }
            sent.push(engine.0);
        }
    }
    let others = sent.iter().filter(|engine| **engine > 0).count();
    assert!(others > 250, "{others} of {} to the others", sent.len());
}
