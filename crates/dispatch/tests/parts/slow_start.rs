//! Slow start of engines.

use super::common::entry;
use super::*;
use crate::engines::{Engine, Fleet, WarmUp};
use crate::policy::WorkEstimator;
use crate::requests::ClassCorrections;

fn fleet(started_at: Option<Millis>) -> Fleet {
    let engine = Engine::new(entry(0), started_at);
    let mut fleet = Fleet { engines: [(EngineId(0), engine)].into(), ..Fleet::default() };
    fleet.draw_subset(&safe_class(0.0));
    fleet
}

fn estimator(work: Millis) -> WorkEstimator {
    let mut estimator = WorkEstimator { corrections: vec![ClassCorrections::default()] };
    estimator.corrections[0].estimated_work.add(work, 0.0, 1.0);
    estimator
}

/// The number of requests that are admitted one after the other at this time.
fn admitted(fleet: &mut Fleet, now: Millis, work: Millis) -> usize {
    let estimator = estimator(work);
    let admitted = (0..1_000).take_while(|_| {
        let admits = fleet.admits(&safe_class(now), &estimator, EngineId(0), ClassId(0));
        let engine = fleet.engines.get_mut(&EngineId(0)).unwrap();
        engine.warm_up.budget.consume(work);
        admits
    });
    admitted.count()
}

#[test]
fn capacity_grows_from_the_initial_fraction_to_full() {
    let warm_up = WarmUp::new(Some(1_000.0));
    let fraction = |now| warm_up.capacity_fraction(&safe_class(now));
    assert_eq!((fraction(1_000.0), fraction(15_000.0)), (0.3, 1.0));
    assert!((fraction(8_000.0) - 0.65).abs() < 1e-9, "{}", fraction(8_000.0));
    assert_eq!(WarmUp::new(None).capacity_fraction(&safe_class(0.0)), 1.0);
}

#[test]
fn warm_engine_admits_any_number_of_requests() {
    assert_eq!(admitted(&mut fleet(None), 1_000.0, 100.0), 1_000);
    assert_eq!(admitted(&mut fleet(Some(0.0)), 14_000.0, 100.0), 1_000);
}

/// The limit is 3 times 30% of 8 cores, which is 7.2 ms of work per ms. This dispatcher may use a part of it.
#[test]
fn warming_engine_admits_requests_within_the_budget() {
    let mut fleet = fleet(Some(0.0));
    let mut sent = 0;
    for step in 1..150 {
        sent += admitted(&mut fleet, f64::from(step) * 10.0, 100.0);
    }
    assert!((1..=108).contains(&sent), "{sent} requests of 100 ms in 1.5 s");
}

#[test]
fn unknown_engine_admits_no_request() {
    let mut fleet = fleet(None);
    assert!(!fleet.admits(&safe_class(0.0), &estimator(1.0), EngineId(7), ClassId(0)));
}
