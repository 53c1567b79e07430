//! The choice of an engine.

use oorandom::Rand64;

use super::common::{class, entry, request, settings};
use super::*;
use crate::engines::{Engine, Fleet};
use crate::policy::{HIGHEST_PRIORITY, lock_holders};
use crate::requests::Requests;
use crate::stats::InFlightLoad;

fn demand() -> InFlightLoad {
    InFlightLoad { queries: 1.0, threads: 1.0, memory_mb: 100.0 }
}

/// Engines with this many queries in flight, of one thread each.
fn fleet(own: &[f64]) -> Fleet {
    let engines = (0..).zip(own).map(|(id, own)| {
        let load = InFlightLoad { queries: *own, threads: *own, memory_mb: 0.0 };
        (EngineId(id), Engine { own_load: load, ..Engine::new(entry(id), None) })
    });
    Fleet { engines: engines.collect(), ..Fleet::default() }
}

fn ranked(context: &Context, fleet: &Fleet, request: &Request, priority: u8) -> Vec<u32> {
    let ranked = fleet.ranked(context, request, demand(), priority, &mut Rand64::new(1));
    ranked.iter().map(|candidate| candidate.engine.0).collect()
}

#[test]
fn least_loaded_engine_is_first_and_full_ones_are_excluded() {
    let context = safe_class(0.0);
    // 8 cores with 1.3 threads each are 10 threads.
    assert_eq!(ranked(&context, &fleet(&[5.0, 10.0, 1.0, 9.0]), &open_request(1), 0), [2, 0, 3]);
}

#[test]
fn urgent_requests_may_use_more_threads() {
    let (context, fleet) = (safe_class(0.0), fleet(&[10.0]));
    assert_eq!(ranked(&context, &fleet, &open_request(1), 0), []);
    assert_eq!(ranked(&context, &fleet, &open_request(1), 1), [0]);
}

#[test]
fn idle_engine_has_capacity_for_any_request() {
    let heavy = InFlightLoad { queries: 1.0, threads: 100.0, memory_mb: 1e9 };
    let ranked = fleet(&[0.0]).ranked(&safe_class(0.0), &open_request(1), heavy, 0, &mut Rand64::new(1));
    assert_eq!(ranked.len(), 1);
}

#[test]
fn full_memory_excludes_all_but_the_most_urgent_requests_where_queries_queue_for_it() {
    let mut context = safe_class(0.0);
    let mut fleet = fleet(&[1.0]);
    fleet.engines.get_mut(&EngineId(0)).unwrap().own_load.memory_mb = 16_300.0;
    for (queueing, priority, has_capacity) in
        [(true, 2, false), (true, HIGHEST_PRIORITY, true), (false, HIGHEST_PRIORITY, false)]
    {
        context.settings.memory_queueing = queueing;
        let engines = ranked(&context, &fleet, &open_request(1), priority);
        assert_eq!(!engines.is_empty(), has_capacity, "queueing {queueing}, priority {priority}");
    }
}

#[test]
fn score_of_an_engine_of_another_zone_includes_the_cross_zone_penalty() {
    let mut context = safe_class(0.0);
    let mut fleet = fleet(&[1.0, 2.0]);
    fleet.engines.get_mut(&EngineId(0)).unwrap().entry.zone = ZoneId(1);
    assert_eq!(ranked(&context, &fleet, &open_request(1), 0), [0, 1]);
    context.settings.cross_zone_penalty = 1.0;
    assert_eq!(ranked(&context, &fleet, &open_request(1), 0), [1, 0]);
}

#[test]
fn request_is_not_sent_twice_to_an_engine() {
    let request = Request { attempts: vec![ended(0, 0.0, Outcome::Reset)], ..open_request(1) };
    assert_eq!(ranked(&safe_class(0.0), &fleet(&[0.0, 5.0]), &request, 0), [1]);
}

#[test]
fn engine_on_trial_is_sent_one_request() {
    for (own_queries, may_be_sent) in [(0.0, true), (1.0, false)] {
        let mut fleet = fleet(&[own_queries]);
        let health = &mut fleet.engines.get_mut(&EngineId(0)).unwrap().health;
        health.on_failure(Outcome::Rejected, 0.0);
        assert_eq!(!ranked(&safe_class(0.0), &fleet, &open_request(1), 0).is_empty(), may_be_sent);
    }
}

#[test]
fn keyed_request_that_may_have_run_stays_in_its_deduplication_group() {
    for (group, expected) in
        [(DedupGroup::All, vec![1, 2, 3]), (DedupGroup::Zone, vec![2]), (DedupGroup::Cell, vec![3])]
    {
        let context = context(0.0, settings(vec![class(Idempotency::Keyed(group, 9_000.0), 1.0)]));
        let mut fleet = fleet(&[0.0; 4]);
        for (id, engine) in &mut fleet.engines {
            engine.entry.zone = ZoneId((id.0 % 2) as usize);
            engine.entry.cell = CellId(u64::from(id.0 % 3));
        }
        for (outcome, expected) in [(Outcome::Reset, &expected), (Outcome::ConnectFailed, &vec![1, 2, 3])] {
            let request = Request { attempts: vec![ended(0, 0.0, outcome)], ..open_request(1) };
            let mut engines = ranked(&context, &fleet, &request, 0);
            engines.sort_unstable();
            assert_eq!(&engines, expected, "{group:?} {outcome:?}");
        }
    }
}

#[test]
fn attempts_in_flight_that_lock_tables_are_lock_holders() {
    let mut load = class(Idempotency::Unsafe, 1.0);
    load.locks_tables = true;
    let settings = settings(vec![load, class(Idempotency::Safe, 1.0)]);
    let running = Request { attempts: vec![Attempt::new(EngineId(3), 0.0)], ..open_request(1) };
    let ended_request = Request { attempts: vec![ended(4, 0.0, Outcome::Failed)], ..open_request(2) };
    let requests: Requests = [running, ended_request].map(|request| (request.new.id.clone(), request)).into();
    let holders = |new: NewRequest| lock_holders(&settings, &requests, &new);
    assert_eq!(holders(request(9, 0, 0.0)), [EngineId(3)]);
    assert_eq!(holders(request(9, 1, 0.0)), [], "its class locks no tables");
    assert_eq!(holders(NewRequest { tables: TableSetId(7), ..request(9, 0, 0.0) }), [], "other tables");
}
