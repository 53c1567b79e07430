//! Placement: the engine that a request is sent to.

use gaugestep_dispatch::Dispatcher;
use gaugestep_dispatch::interface::*;

use crate::common::*;

#[test]
fn no_request_is_sent_to_a_draining_or_removed_engine() {
    let mut harness = Harness::new(settings(vec![class(Idempotency::Safe, 1.0)]), 2);
    harness.handle(Event::EngineChanges(vec![EngineEntry { readiness: Readiness::Draining, ..entry(0) }]));
    for number in 0..4 {
        assert_eq!(sends(&harness.arrive(request(number, 0, 60_000.0))), [EngineId(1)]);
    }
    harness.handle(Event::EngineList(vec![entry(0)]));
    assert_eq!(sends(&harness.arrive(request(10, 0, 60_000.0))), [EngineId(0)]);
}

#[test]
fn class_with_placement_constraints_is_never_sent_to_other_engines() {
    let mut restricted = class(Idempotency::Safe, 1.0);
    restricted.zones = Some(vec![ZoneId(1)]);
    restricted.machine_types = Some(vec![MachineTypeId(0)]);
    let mut harness = Harness::new(settings(vec![restricted]), 0);
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

/// Guards against a standstill: an engine reports its load with responses, so that an engine that counts as
/// loaded by an old report would get no request and never send a newer report.
#[test]
fn old_load_reports_do_not_block_placement() {
    let mut settings = settings(vec![class(Idempotency::Safe, 4.0)]);
    settings.dispatchers = 250;
    let mut harness = Harness::new(settings, 12);
    for engine in 0..12 {
        let load = LoadReport { in_flight: Some(40.0), ..LoadReport::default() };
        harness.handle(Event::ProbeResult(EngineId(engine), Outcome::Served, Some(load)));
    }
    assert!(
        sends(&harness.arrive(request(1, 0, 60_000.0))).is_empty(),
        "all engines are at their load limit"
    );
    assert_eq!(sends(&harness.advance(20_000.0)).len(), 1, "an old load report does not block the request");
}

/// An engine without memory queueing gives queries smaller grants when its memory is used up, so that they
/// spill. Its memory is therefore filled less.
#[test]
fn memory_is_filled_less_where_grants_are_trimmed() {
    for (memory_queueing, expected) in [(true, 2), (false, 1)] {
        let mut settings = settings(vec![class(Idempotency::Safe, 1.0)]);
        settings.memory_queueing = memory_queueing;
        let mut harness = Harness::new(settings, 1);
        // With the margin of a fifth each query is granted 7,200 of 16,384 MB.
        let heavy = |number| NewRequest { memory_mb: 6_000.0, ..request(number, 0, 60_000.0) };
        let sent: usize = (0..3).map(|number| sends(&harness.arrive(heavy(number))).len()).sum();
        assert_eq!(sent, expected, "memory queueing {memory_queueing}");
    }
}

/// A second load on the same engine and tables would be blocked until the first one ends, and occupy its
/// memory meanwhile.
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
    assert_eq!(sends(&harness.arrive(other)).len(), 1, "other tables are not locked");
    assert_eq!(sends(&harness.end(0, 0, sent[0], Outcome::Served, 100.0)), [sent[0]]);
}

/// Connections cost memory and handshakes in the whole fleet, so that each of many dispatchers uses a subset
/// of the engines. The subsets together must use all engines evenly.
#[test]
fn each_of_many_dispatchers_uses_its_subset_and_all_together_use_every_engine() {
    let mut settings = settings(vec![class(Idempotency::Safe, 1.0)]);
    settings.dispatchers = 100;
    let mut requests_by_engine = [0; 80];
    for seed in 0..100 {
        settings.fleet_position = FleetPosition::ordinal(seed as u32, 100).unwrap();
        let mut harness = Harness { dispatcher: Dispatcher::new(settings.clone(), seed).unwrap(), now: 0.0 };
        harness.handle(Event::EngineList((0..80).map(entry).collect()));
        let mut engines_used = std::collections::BTreeSet::new();
        for number in 0..120 {
            let engine = sends(&harness.arrive(request(number, 0, harness.now + 60_000.0)))[0];
            harness.now += 50.0;
            harness.end(number, 0, engine, Outcome::Served, 50.0);
            engines_used.insert(engine);
            requests_by_engine[engine.0 as usize] += 1;
        }
        assert_eq!(engines_used.len(), 8);
    }
    let (least, most) = (requests_by_engine.iter().min().unwrap(), requests_by_engine.iter().max().unwrap());
    assert!(*least > 100 && *most < 200, "150 each on average: {least} to {most}");
}

#[test]
fn engines_removed_from_a_subset_are_replaced() {
    let mut settings = settings(vec![class(Idempotency::Safe, 1.0)]);
    settings.dispatchers = 100;
    let mut harness = Harness::new(settings, 40);
    for removed in (4..40).rev() {
        harness
            .handle(Event::EngineChanges(vec![EngineEntry { readiness: Readiness::Gone, ..entry(removed) }]));
        let sent = sends(&harness.arrive(request(removed, 0, harness.now + 60_000.0)));
        assert!(sent[0].0 < removed, "{sent:?}");
        harness.end(removed, 0, sent[0], Outcome::Served, 1.0);
    }
}

/// Guards against idle new engines after a release: an engine that is warming up and has sent no load report
/// must not be assumed to be as loaded as the engines that are warm.
#[test]
fn warming_engine_without_load_reports_is_not_assumed_to_be_as_loaded_as_warm_ones() {
    let mut settings = settings(vec![class(Idempotency::Safe, 1.0)]);
    (settings.dispatchers, settings.fleet_position) = (2, FleetPosition::ordinal(0, 2).unwrap());
    let mut harness = Harness::new(settings, 3);
    harness.now = 100_000.0;
    let load = |in_flight| Some(LoadReport { in_flight: Some(in_flight), ..LoadReport::default() });
    harness.handle(Event::EngineChanges(vec![EngineEntry { started_at: Some(99_000.0), ..entry(9) }]));
    let mut sent = Vec::new();
    // The dispatcher's next slow-start credit for the engine is due within a second.
    for step in 0..20 {
        for engine in 0..3 {
            // A query of the lowest priority is limited to 1.3 threads per core: the warm engines are full.
            harness.handle(Event::ProbeResult(EngineId(engine), Outcome::Served, load(17.0)));
        }
        if step == 0 {
            sent = sends(&harness.arrive(request(1, 0, harness.now + 60_000.0)));
        }
        sent.extend(sends(&harness.advance(50.0)));
    }
    assert_eq!(sent, [EngineId(9)]);
}

#[test]
fn route_restricts_requests_to_its_engines_by_weight() {
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
        let sent_to_2 = sent.iter().filter(|engine| **engine == 2).count();
        assert!(dispatchers > 1 || sent_to_2 == 6, "{sent:?}");
        let unrouted = sends(&harness.arrive(request(100, 1, harness.now + 60_000.0)));
        assert!(![1, 2].contains(&unrouted[0].0), "{unrouted:?}");
    }
}

/// Guards against overload of engines that send no load reports: if each of four dispatchers counted its own
/// requests only, they would send four times the capacity. Where attempts cannot be cancelled, that lasts as
/// long as clients retry.
#[test]
fn dispatchers_leave_capacity_for_each_other_without_load_reports() {
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
    // 8 cores with 1.3 threads each allow 10 requests on an engine, and up to twice as many of high priority.
    // A few more are sent before a dispatcher's own requests suffice for an estimate. 40 would be sent if
    // each dispatcher counted its own requests only.
    assert!(at_engine.iter().all(|sent| (8..=26).contains(sent)), "{at_engine:?}");
}

/// The requests that accumulate on an engine that hangs must not raise the load estimates of the other
/// engines.
#[test]
fn requests_accumulating_on_one_engine_leave_the_others_in_use() {
    let mut settings = settings(vec![class(Idempotency::Safe, 1.0)]);
    settings.dispatchers = 4;
    let mut harness = Harness::new(settings, 6);
    let mut sent = Vec::new();
    for number in 0..300 {
        harness.now += 20.0;
        for engine in sends(&harness.arrive(request(number, 0, harness.now + 60_000.0))) {
            // All engines but the first one respond at once.
            if engine.0 > 0 {
                harness.end(number, 0, engine, Outcome::Served, 10.0);
            }
            sent.push(engine.0);
        }
    }
    let to_others = sent.iter().filter(|engine| **engine > 0).count();
    assert!(to_others > 250, "{to_others} of {} requests went to the other engines", sent.len());
}
