//! Slow start: the work that a freshly started engine is sent.

use gaugestep_dispatch::Dispatcher;
use gaugestep_dispatch::interface::*;

use crate::common::*;

#[test]
fn warming_engine_gets_no_more_than_its_slow_start_budget_in_a_window() {
    let mut settings = settings(vec![class(Idempotency::Safe, 1.0)]);
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

/// In a large fleet a dispatcher's part of the slow-start budget is less than one query. If dispatchers
/// therefore sent none, the new engines of a release would stay idle. All dispatchers together must send
/// some, within 3 times 30% of 8 cores.
#[test]
fn many_dispatchers_use_a_warming_engine_within_its_budget() {
    let mut settings = settings(vec![class(Idempotency::Safe, 1.0)]);
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

/// Each pass over the waiting requests tries to place a heavy request on the warming engine. If each try used
/// up the accrued credit, light requests would get nothing of the budget.
#[test]
fn heavy_request_waiting_for_a_warming_engine_leaves_budget_for_light_ones() {
    let mut settings = settings(vec![class(Idempotency::Safe, 1.0), class(Idempotency::Safe, 1.0)]);
    settings.dispatchers = 20;
    let mut harness = Harness::new(settings, 0);
    harness.now = 100_000.0;
    harness.handle(Event::EngineList(vec![EngineEntry { started_at: Some(99_990.0), ..entry(0) }]));
    // The dispatcher may send a twentieth of 30% of the limit, 3 times 30% of 8 cores: 0.108 ms of work per
    // ms.
    let heavy = |number| NewRequest { estimate: 5_000.0, ..request(number, 1, harness.now + 60_000.0) };
    let heavy_requests: Vec<_> = (900..903).map(heavy).collect();
    let mut heavy_sent = 0;
    for new in heavy_requests {
        heavy_sent += sends(&harness.arrive(new)).len();
    }
    let mut light_sent = 0;
    for number in 0..30 {
        let new = NewRequest { estimate: 50.0, ..request(number, 0, harness.now + 60_000.0) };
        let mut sent = sends(&harness.arrive(new));
        sent.extend(sends(&harness.advance(100.0)));
        for _ in &sent {
            harness.end(number, 0, EngineId(0), Outcome::Served, 50.0);
        }
        light_sent += sent.len();
    }
    // The budget is 162 ms of work at first and accrues 335 ms in 3.1 s: about nine requests of 50 ms.
    assert!(
        (5..=10 - heavy_sent).contains(&light_sent),
        "{light_sent} light requests, {heavy_sent} heavy ones"
    );
}
