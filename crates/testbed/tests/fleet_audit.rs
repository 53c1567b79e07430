//! Tests of the audit of ordinals and of the work for engines that warm up, on constructed records.

use gaugestep_testbed::audit::SlowStartRule;
use gaugestep_testbed::emulated_fleet::Arrival;
use gaugestep_testbed::fleet_audit::{
    EngineCapacity, OrdinalConflict, OrdinalGrant, arrivals_after_drain, ordinal_conflicts, warm_up_load,
};

fn grant(process: &str, ordinal: u64, from: f64, until: f64) -> OrdinalGrant {
    OrdinalGrant { process: process.into(), ordinal, fleet_size: 9, epoch: 1, from, until }
}

#[test]
fn concurrent_holders_of_an_ordinal_conflict_and_a_later_holder_does_not() {
    let valid = [
        grant("a", 1, 0.0, 50.0),
        grant("a", 1, 20.0, 70.0),
        grant("a", 2, 40.0, 90.0),
        grant("b", 1, 41.0, 90.0),
        grant("c", 2, 91.0, 99.0),
    ];
    assert_eq!(ordinal_conflicts(&valid), []);
    let mut conflicting = valid.to_vec();
    conflicting.push(grant("d", 2, 80.0, 85.0));
    let processes = ["a".to_owned(), "d".to_owned()];
    assert_eq!(ordinal_conflicts(&conflicting), [OrdinalConflict { ordinal: 2, processes, duration: 5.0 }]);
}

#[test]
fn the_work_of_a_window_is_compared_with_the_capacity_at_its_age() {
    let rule = SlowStartRule {
        initial_fraction: 0.5,
        warm_up_ms: 1_000.0,
        capacity_multiple: 2.0,
        window_ms: 100.0,
    };
    let capacity = EngineCapacity { cores: 8.0, rule };
    let arrival = |at: f64, work: f64| Arrival { engine: "e".into(), id: "01".into(), work, at };
    let measure = |arrivals: &[Arrival]| warm_up_load(arrivals, "e", 0.0, &capacity, |_| 7);
    // 8 cores at a little over half their speed allow about 840 ms of work in the first window.
    let together = measure(&[arrival(10.0, 400.0), arrival(60.0, 400.0)]);
    assert!((0.93..0.97).contains(&together.worst_window_ratio), "{together:?}");
    assert!(together.proxies == 1 && together.work == 800.0, "{together:?}");
    let spread = measure(&[arrival(10.0, 400.0), arrival(160.0, 400.0)]);
    assert!(spread.worst_window_ratio < 0.5, "{spread:?}");
    assert_eq!(measure(&[arrival(1_001.0, 1e6)]).worst_window_ratio, 0.0, "the engine is warm");
    let late = [arrival(10.0, 1.0), arrival(20.0, 1.0)];
    assert_eq!(arrivals_after_drain(&late, "e", 5.0, 10.0).len(), 1);
}
