//! Tests of the choice of the planner that a forwarder follows.

use std::collections::BTreeMap;
use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_two_level::PlannerId;
use gaugestep_two_level::planner_directory::{MAX_BACKOFF, PlannerDirectory, max_forwarders};

const START: Timestamp = Timestamp::ORIGIN;
const SECOND: Duration = Duration::from_secs(1);

const fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn planner(number: usize) -> PlannerId {
    PlannerId(format!("p{number}"))
}

/// Creates the directory of a forwarder with this many planners.
fn directory(forwarder: usize, planners: usize) -> PlannerDirectory {
    PlannerDirectory::new(&format!("f{forwarder}"), (0..planners).map(planner))
}

#[test]
fn the_death_of_a_planner_moves_only_its_own_forwarders_and_they_return() {
    let dead = planner(1);
    let mut moved = 0;
    for forwarder in 0..200 {
        let mut directory = directory(forwarder, 4);
        let first = directory.candidates(START)[0].clone();
        directory.on_failure(START, &dead);
        let second = directory.candidates(START)[0].clone();
        assert_eq!(first != second, first == dead);
        moved += usize::from(first == dead);
        directory.on_lease(&dead, at(600), SECOND);
        directory.on_lease(&second, at(600), SECOND);
        assert_eq!(directory.preferred_over(at(700), &second).is_some(), first == dead);
        assert_eq!(directory.preferred_over(at(1_700), &second), None, "its lease has expired");
    }
    assert!((25..80).contains(&moved), "{moved} of 200 followed one of four");
}

#[test]
fn bounded_load_spreads_forwarders_whichever_planner_the_hash_prefers() {
    const FORWARDERS: usize = 50;
    const PLANNERS: usize = 3;
    let mut loads: BTreeMap<PlannerId, usize> = BTreeMap::new();
    let capacity = max_forwarders(FORWARDERS, PLANNERS);
    for forwarder in 0..FORWARDERS {
        let mut directory = directory(forwarder, PLANNERS);
        loop {
            let next = directory.candidates(START).into_iter().next().expect("a planner has capacity");
            let load = loads.entry(next.clone()).or_default();
            if *load < capacity {
                *load += 1;
                break;
            }
            directory.on_failure(START, &next);
        }
    }
    let bounds = FORWARDERS - 2 * capacity..=capacity;
    assert!(loads.values().all(|load| bounds.contains(load)), "{loads:?}");
}

#[test]
fn a_delayed_response_grants_a_shorter_lease_and_an_older_one_does_not_shorten_it() {
    let mut directory = directory(0, 2);
    let granted = Duration::from_millis(500);
    directory.on_lease(&planner(0), at(1_000), granted);
    directory.on_lease(&planner(0), at(200), granted);
    assert!(directory.is_alive(at(1_499), &planner(0)));
    assert!(!directory.is_alive(at(1_500), &planner(0)));
    let unknown = PlannerId("unknown".into());
    directory.on_lease(&unknown, START, 1_000_000 * SECOND);
    assert!(!directory.is_alive(at(1), &unknown));
}

#[test]
fn a_planner_that_keeps_failing_is_retried_with_a_bounded_backoff() {
    let mut directory = directory(0, 1);
    let mut now = START;
    for _ in 0..30 {
        directory.on_failure(now, &planner(0));
        assert!(directory.candidates(now).is_empty());
        let next = directory.next_retry(now).unwrap();
        assert!(next.duration_since(now) <= MAX_BACKOFF);
        now = next;
        assert_eq!(directory.candidates(now), [planner(0)]);
    }
}
