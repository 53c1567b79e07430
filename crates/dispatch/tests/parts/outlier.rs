//! Outlier ejection.

use super::common::entry;
use super::*;
use crate::engines::{Engine, EngineHealth, Fleet};

fn failures(outcome: Outcome, times: &[Millis]) -> Vec<Option<Millis>> {
    let mut health = EngineHealth::default();
    times.iter().map(|now| health.on_failure(outcome, *now)).collect()
}

fn fleet(engines: u32) -> Fleet {
    let engines = (0..engines).map(|id| (EngineId(id), Engine::new(entry(id), None)));
    Fleet { engines: engines.collect(), ..Fleet::default() }
}

#[test]
fn rejection_ejects_at_once_and_each_further_one_for_twice_as_long() {
    let times = failures(Outcome::Rejected, &[1_000.0; 7]);
    let expected = [250.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 4_000.0, 4_000.0];
    assert_eq!(times, expected.map(Some));
}

#[test]
fn two_failed_connects_eject() {
    assert_eq!(failures(Outcome::ConnectFailed, &[1_000.0; 2]), [None, Some(250.0)]);
}

#[test]
fn three_errors_or_resets_eject_if_they_are_100_ms_apart() {
    for outcome in [Outcome::Failed, Outcome::Reset] {
        assert_eq!(failures(outcome, &[1_000.0, 1_100.0, 1_200.0]), [None, None, Some(250.0)]);
        assert_eq!(failures(outcome, &[1_000.0, 1_050.0, 1_099.0, 1_100.0]), [None; 4]);
    }
}

#[test]
fn outcomes_that_are_not_caused_by_the_engine_do_not_eject() {
    for outcome in [Outcome::TimedOut, Outcome::Cancelled, Outcome::NotSent] {
        assert_eq!(failures(outcome, &[1_000.0; 9]), [None; 9], "{outcome:?}");
    }
}

#[test]
fn served_attempt_resets_consecutive_failures_and_ends_the_ejection() {
    let mut fleet = fleet(1);
    let rejected = attempt_end(1, 0, Outcome::Rejected, 1.0);
    let line = fleet.on_failure(&rejected, 1_000.0).unwrap();
    assert_eq!(line, "engine 0: ejected, Rejected");
    assert!(!fleet.outliers.is_available(&fleet.engines[&EngineId(0)], 1_001.0));
    fleet.engines.get_mut(&EngineId(0)).unwrap().health.on_served(1_001.0);
    assert!(fleet.outliers.is_available(&fleet.engines[&EngineId(0)], 1_001.0));
    assert_eq!(fleet.engines[&EngineId(0)].health.consecutive_failures, 0);
}

#[test]
fn engine_that_cannot_be_connected_to_warms_up_after_its_ejection() {
    let mut fleet = fleet(1);
    let failed = attempt_end(1, 0, Outcome::ConnectFailed, 1.0);
    assert_eq!(fleet.on_failure(&failed, 1_000.0), None);
    assert!(fleet.on_failure(&failed, 1_000.0).is_some());
    let engine = &fleet.engines[&EngineId(0)];
    assert_eq!(engine.warm_up.started_at, Some(engine.health.ejected_until));
    assert!(engine.health.ejected_until > 1_000.0);
}

/// Half of the responses of an engine are errors to requests that another engine then serves. It is ejected,
/// unless all engines fail as often.
#[test]
fn engine_is_ejected_if_its_failure_fraction_is_far_above_the_fleets() {
    for (failing, ejected) in [(1, true), (4, false)] {
        let mut fleet = fleet(4);
        for engine in fleet.engines.values_mut() {
            for number in 0..20 {
                if engine.entry.engine.0 < failing && number % 2 == 0 {
                    engine.health.on_served_elsewhere(0.0);
                } else {
                    engine.health.on_served(0.0);
                }
            }
        }
        fleet.outliers.update(&fleet.engines, 0.0);
        assert_eq!(!fleet.outliers.is_available(&fleet.engines[&EngineId(0)], 0.0), ejected);
        assert!(
            fleet.outliers.is_available(&fleet.engines[&EngineId(0)], 10_000.0),
            "old failures have decayed"
        );
    }
}

#[test]
fn engine_that_drains_is_not_available() {
    let mut fleet = fleet(1);
    let engine = fleet.engines.get_mut(&EngineId(0)).unwrap();
    engine.entry.readiness = Readiness::Draining;
    assert!(!fleet.outliers.is_available(&fleet.engines[&EngineId(0)], 0.0));
}
