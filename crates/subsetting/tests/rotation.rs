//! Slots in a rotation among all proxies, and ordinals that have none.

#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

use gaugestep_subsetting::key;
use gaugestep_subsetting::position::{FleetPosition, MAX_ORDINALS};

#[test]
fn stagger_factors_distribute_pauses_that_begin_together() {
    let proxies_per_tenth = |position: &dyn Fn(u32) -> FleetPosition| {
        let mut counts = [0; 10];
        for proxy in 0..100 {
            let factor = position(proxy).rotation_slot().stagger_factor();
            counts[((factor - 0.5) * 10.0) as usize] += 1;
        }
        counts
    };
    let by_ordinal = proxies_per_tenth(&|proxy| FleetPosition::ordinal(proxy, 100).unwrap());
    assert_eq!(by_ordinal, [10; 10]);
    let by_name = proxies_per_tenth(&|proxy| FleetPosition::NameKey(key(&format!("n{proxy}"))));
    assert!(by_name.iter().all(|count| (2..25).contains(count)), "{by_name:?}");
}

#[test]
fn ordinals_outside_the_fleet_and_fleets_that_are_too_large_are_rejected() {
    assert_eq!(FleetPosition::ordinal(4, 4), None);
    assert_eq!(FleetPosition::ordinal(0, MAX_ORDINALS + 1), None);
}
