//! The load of queries in flight on engines.

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
    Engine { own_load: load, ..Engine::new(entry(id), None) }
}

#[test]
fn estimate_decays_from_the_report_to_the_fleets_mean() {
    let mut engines = [engine(0, 0.0), engine(1, 0.0)];
    let mut loads = LoadTracker::default();
    loads.on_report(&mut engines[0], 16.0, 0.0);
    loads.on_report(&mut engines[1], 4.0, 0.0);
    let fresh = dispatchers(0.0, 4);
    loads.update_mean(&fresh, engines.iter());
    assert_eq!(loads.queries_of_other_dispatchers(&fresh, &engines[0]), 16.0);
    let old = dispatchers(60_000.0, 4);
    loads.update_mean(&old, engines.iter());
    let first = loads.queries_of_other_dispatchers(&old, &engines[0]);
    let second = loads.queries_of_other_dispatchers(&old, &engines[1]);
    assert!((first - second).abs() < 0.1 && first < 1.0, "{first} {second}");
}

#[test]
fn engines_that_reported_last_are_stored() {
    let mut loads = LoadTracker::default();
    for id in [0, 1, 2, 3, 1] {
        loads.on_report(&mut engine(id, 0.0), 1.0, 0.0);
    }
    assert_eq!(loads.reporters, [2, 3, 1].map(EngineId));
}

/// Without load reports, other dispatchers are assumed to have as many queries as this one. A single
/// dispatcher has no others.
#[test]
fn other_dispatchers_are_estimated_from_own_queries_where_engines_do_not_report() {
    let engines = [engine(0, 20.0), engine(1, 20.0), engine(2, 20.0)];
    for (count, range) in [(4, 30.0..80.0), (1, 0.0..1e-9)] {
        let mut loads = LoadTracker::default();
        for second in 0..20 {
            loads.update_mean(&dispatchers(f64::from(second) * 1_000.0, count), engines.iter());
        }
        let estimate = loads.queries_of_other_dispatchers(&dispatchers(20_000.0, count), &engines[0]);
        assert!(range.contains(&estimate), "{count} dispatchers: {estimate}");
    }
}

#[test]
fn queries_of_other_dispatchers_are_assumed_to_be_typical() {
    let mut loads = LoadTracker::default();
    let demand = InFlightLoad { queries: 1.0, threads: 2.0, memory_mb: 10.0 };
    assert_eq!(loads.total_load(&engine(0, 3.0), 4.0, demand).threads, 3.0 + 4.0 * 2.0 + 2.0);
    let heavy = InFlightLoad { queries: 1.0, threads: 8.0, memory_mb: 100.0 };
    for _ in 0..2_000 {
        loads.on_attempt_ended(heavy, 1_000.0);
    }
    let total = loads.total_load(&engine(0, 3.0), 4.0, demand);
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
    let threads = loads.total_load(&engine(0, 0.0), 1.0, none).threads;
    assert!((7.0..7.5).contains(&threads), "nine of ten queries in flight have 8 threads: {threads}");
}
