//! The fairness figures of even and uneven distributions.

#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

use gaugestep_subsetting::fairness::fairness;

#[test]
fn amounts_in_proportion_to_weights_are_fair_and_one_party_with_everything_is_not() {
    let equal = fairness([(2.0, 1.0), (4.0, 2.0), (0.0, 0.0)]);
    assert_eq!((equal.max_ratio, equal.min_ratio, equal.jain_index), (1.0, 1.0, 1.0));
    let single = fairness([(8.0, 1.0), (0.0, 1.0), (0.0, 1.0), (0.0, 1.0)]);
    assert_eq!((single.max_ratio, single.min_ratio, single.jain_index), (4.0, 0.0, 0.25));
    assert_eq!(fairness([(0.0, 1.0)]).jain_index, 1.0, "a total of 0 counts as evenly distributed");
}
