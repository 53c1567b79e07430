//! Engines that warm up.

use super::common::entry;
use super::*;
use crate::engines::{Engine, Fleet, WarmUp};
use crate::policy::WorkEstimator;
use crate::requests::ClassWork;

fn fleet(started_at: Option<Millis>) -> Fleet {
    let engine = Engine::new(entry(0), started_at);
    let mut fleet = Fleet { engines: [(EngineId(0), engine)].into(), ..Fleet::default() };
    fleet.draw_subset(&safe_class(0.0));
    fleet
}

fn estimator(work: Millis) -> WorkEstimator {
    let mut estimator = WorkEstimator(vec![ClassWork::default()]);
    estimator.0[0].work.add(work, 0.0, 1.0);
    estimator
}

/// How many requests are admitted one after the other at this time.
fn admitted(fleet: &mut Fleet, now: Millis, work: Millis) -> usize {
    let estimator = estimator(work);
    let sent = (0..1_000).take_while(|_| {
        let admits = fleet.admits(&safe_class(now), &estimator, EngineId(0), ClassId(0));
        let engine = fleet.engines.get_mut(&EngineId(0)).unwrap();
        engine.warm_up.budget.consume(work);
        admits
    });
    sent.count()
}

#[test]
fn capacity_grows_from_the_initial_share_to_all() {
    let warm_up = WarmUp::new(Some(1_000.0));
    let share = |now| warm_up.capacity_share(&safe_class(now));
    assert_eq!((share(1_000.0), share(15_000.0)), (0.3, 1.0));
    assert!((share(8_000.0) - 0.65).abs() < 1e-9, "{}", share(8_000.0));
    assert_eq!(WarmUp::new(None).capacity_share(&safe_class(0.0)), 1.0);
}

#[test]
fn warm_engine_takes_any_number_of_requests() {
    assert_eq!(admitted(&mut fleet(None), 1_000.0, 100.0), 1_000);
    assert_eq!(admitted(&mut fleet(Some(0.0)), 14_000.0, 100.0), 1_000);
}

/// 3 times 30% of 8 cores are 7.2 ms of work each ms, of which this dispatcher alone may send a part.
#[test]
fn warming_engine_takes_requests_within_the_budget() {
    let mut fleet = fleet(Some(0.0));
    let mut sent = 0;
    for step in 1..150 {
        sent += admitted(&mut fleet, f64::from(step) * 10.0, 100.0);
    }
    assert!((1..=108).contains(&sent), "{sent} requests of 100 ms in 1.5 s");
}

#[test]
fn unknown_engine_takes_nothing() {
    let mut fleet = fleet(None);
    assert!(!fleet.admits(&safe_class(0.0), &estimator(1.0), EngineId(7), ClassId(0)));
}
