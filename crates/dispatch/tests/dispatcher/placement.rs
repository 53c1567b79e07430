//! Which engine a request is sent to.

use gaugestep_dispatch::Dispatcher;
use gaugestep_dispatch::interface::*;

use crate::common::*;

#[test]
fn nothing_goes_to_a_draining_or_missing_engine() {
    let mut harness = Harness::new(settings(vec![class(Idempotency::Safe, 1.0)]), 2);
    harness.handle(Event::EngineChanges(vec![EngineEntry { readiness: Readiness::Draining, ..entry(0) }]));
    for number in 0..4 {
        assert_eq!(sends(&harness.arrive(request(number, 0, 60_000.0))), [EngineId(1)]);
    }
    harness.handle(Event::EngineList(vec![entry(0)]));
    assert_eq!(sends(&harness.arrive(request(10, 0, 60_000.0))), [EngineId(0)]);
}

#[test]
fn bound_class_goes_only_where_it_may_even_if_all_of_those_engines_are_gone() {
    let mut bound = class(Idempotency::Safe, 1.0);
    bound.zones = Some(vec![ZoneId(1)]);
    bound.machine_types = Some(vec![MachineTypeId(0)]);
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

/// An engine whose reports are old must not count as loaded: with reports late or few, all requests would wait for one that
/// only a send can bring.
#[test]
fn old_load_reports_do_not_block_placement() {
    let mut settings = settings(vec![class(Idempotency::Safe, 4.0)]);
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
        let mut settings = settings(vec![class(Idempotency::Safe, 1.0)]);
        settings.memory_queueing = memory_line;
        let mut harness = Harness::new(settings, 1);
        // With its margin of a fifth each takes 7,200 of 16,384 MB.
        let heavy = |number| NewRequest { memory_mb: 6_000.0, ..request(number, 0, 60_000.0) };
        let sent: usize = (0..3).map(|number| sends(&harness.arrive(heavy(number))).len()).sum();
        assert_eq!(sent, expected, "memory line {memory_line}");
    }
}

/// On one engine the second load would be blocked, with its memory, until the first ends.
#[test]
fn loads_on_the_same_tables_go_to_different_engines_or_wait() {
    let mut load = class(Idempotency::Unsafe, 1.0);
    load.locks_tables = true;
    let mut harness = Harness::new(settings(vec![load]), 2);
    let sent: Vec<EngineId> =
        (0..3).flat_map(|number| sends(&harness.arrive(request(number, 0, 60_000.0)))).collect();
    assert_eq!(sent.len(), 2, "the third waits");
    assert_ne!(sent[0], sent[1]);
    let other = NewRequest { tables: TableSetId(77), ..request(9, 0, 60_000.0) };
    assert_eq!(sends(&harness.arrive(other)).len(), 1, "other tables are free");
    assert_eq!(sends(&harness.end(0, 0, sent[0], Outcome::Served, 100.0)), [sent[0]]);
}

/// Handshakes and connections are paid for over the whole fleet: one of hundreds of dispatchers keeps to a few engines,
/// and all of them together still use each.
#[test]
fn one_of_many_dispatchers_keeps_to_its_subset_and_all_together_use_each_engine() {
    let mut settings = settings(vec![class(Idempotency::Safe, 1.0)]);
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

/// Engines of its subset that go are replaced by others.
#[test]
fn dispatcher_replaces_engines_of_its_subset_that_go() {
    let mut settings = settings(vec![class(Idempotency::Safe, 1.0)]);
    settings.dispatchers = 100;
    let mut harness = Harness::new(settings, 40);
    for left in (4..40).rev() {
        harness.handle(Event::EngineChanges(vec![EngineEntry { readiness: Readiness::Gone, ..entry(left) }]));
        let sent = sends(&harness.arrive(request(left, 0, harness.now + 60_000.0)));
        assert!(sent[0].0 < left, "{sent:?}");
        harness.end(left, 0, sent[0], Outcome::Served, 1.0);
    }
}

/// The successors of a release: without reports, a warming engine must not be taken to be as loaded as the warm ones, or it
/// is idle beside them.
#[test]
fn warming_engine_without_reports_is_not_taken_to_be_as_loaded_as_warm_ones() {
    let mut settings = settings(vec![class(Idempotency::Safe, 1.0)]);
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
    let mut settings = settings(vec![class(Idempotency::Safe, 1.0), class(Idempotency::Safe, 1.0)]);
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

/// Four dispatchers that each fill engines without load reports by their own requests alone would send four times as much
/// as they bear, which, where nothing can be cancelled, lasts for as long as clients retry.
#[test]
fn dispatchers_leave_capacity_for_each_other_where_engines_do_not_report() {
    let mut settings = settings(vec![class(Idempotency::Safe, 1.0)]);
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
    // 8 cores, 1.3 threads for each: 10 at an engine, up to twice as many for what is urgent, and a few as one's own say little
    // at first; 40 where each counts its own alone.
    assert!(at_engine.iter().all(|sent| (8..=26).contains(sent)), "{at_engine:?}");
}

/// Requests that pile up at an engine that hangs say nothing of the others.
#[test]
fn requests_piling_up_at_one_engine_leave_the_others_in_use() {
    let mut settings = settings(vec![class(Idempotency::Safe, 1.0)]);
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
