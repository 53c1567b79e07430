//! What is in flight on engines.

use super::common::entry;
use super::*;
use crate::engines::{Engine, LoadTracker};
use crate::stats::InFlightLoad;

fn dispatchers(now: Millis, dispatchers: usize) -> Context {
    let mut context = safe_class(now);
    context.settings.dispatchers = dispatchers;
    context
}

fn engine(id: u32, own: f64) -> Engine {
    let load = InFlightLoad { queries: own, threads: own, memory_mb: 0.0 };
    Engine { own: load, ..Engine::new(entry(id), None) }
}

#[test]
fn fresh_report_counts_and_an_old_one_gives_way_to_the_fleets_average() {
    let mut engines = [engine(0, 0.0), engine(1, 0.0)];
    let mut loads = LoadTracker::default();
    loads.on_report(&mut engines[0], 16.0, 0.0);
    loads.on_report(&mut engines[1], 4.0, 0.0);
    let fresh = dispatchers(0.0, 4);
    loads.update(&fresh, engines.iter());
    assert_eq!(loads.others(&fresh, &engines[0]), 16.0);
    let old = dispatchers(60_000.0, 4);
    loads.update(&old, engines.iter());
    let (one, other) = (loads.others(&old, &engines[0]), loads.others(&old, &engines[1]));
    assert!((one - other).abs() < 0.1 && one < 1.0, "{one} {other}");
}

#[test]
fn engines_that_reported_last_are_kept() {
    let mut loads = LoadTracker::default();
    for id in [0, 1, 2, 3, 1] {
        loads.on_report(&mut engine(id, 0.0), 1.0, 0.0);
    }
    assert_eq!(loads.reporters, [2, 3, 1].map(EngineId));
}

/// Without reports, other dispatchers are taken to do as this one does; alone, there are none.
#[test]
fn other_dispatchers_are_estimated_from_own_queries_where_engines_do_not_report() {
    let engines = [engine(0, 20.0), engine(1, 20.0), engine(2, 20.0)];
    for (count, range) in [(4, 30.0..80.0), (1, 0.0..1e-9)] {
        let mut loads = LoadTracker::default();
        for second in 0..20 {
            loads.update(&dispatchers(f64::from(second) * 1_000.0, count), engines.iter());
        }
        let others = loads.others(&dispatchers(20_000.0, count), &engines[0]);
        assert!(range.contains(&others), "{count} dispatchers: {others}");
    }
}

#[test]
fn queries_of_others_are_taken_to_be_like_the_typical_one() {
    let mut loads = LoadTracker::default();
    let demand = InFlightLoad { queries: 1.0, threads: 2.0, memory_mb: 10.0 };
    assert_eq!(loads.total(&engine(0, 3.0), 4.0, demand).threads, 3.0 + 4.0 * 2.0 + 2.0);
    let heavy = InFlightLoad { queries: 1.0, threads: 8.0, memory_mb: 100.0 };
    for _ in 0..2_000 {
        loads.on_attempt_ended(heavy, 1_000.0);
    }
    let total = loads.total(&engine(0, 3.0), 4.0, demand);
    assert!((total.threads - (3.0 + 4.0 * 8.0 + 2.0)).abs() < 1e-6, "{total:?}");
    assert!((total.memory_mb - (400.0 + 10.0)).abs() < 1e-6, "{total:?}");
}

#[test]
fn typical_query_is_weighted_by_the_time_in_flight() {
    let mut loads = LoadTracker::default();
    for _ in 0..2_000 {
        loads.on_attempt_ended(InFlightLoad { queries: 1.0, threads: 1.0, memory_mb: 0.0 }, 100.0);
        loads.on_attempt_ended(InFlightLoad { queries: 1.0, threads: 8.0, memory_mb: 0.0 }, 900.0);
    }
    let none = InFlightLoad::default();
    let threads = loads.total(&engine(0, 0.0), 1.0, none).threads;
    assert!((7.0..7.5).contains(&threads), "nine of ten queries in flight have 8 threads: {threads}");
}
