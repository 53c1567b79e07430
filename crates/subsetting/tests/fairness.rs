//! The figures of fairness.

#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

use gaugestep_subsetting::fairness::fairness;

#[test]
fn equal_shares_are_fair_and_one_share_of_everything_is_not() {
    let equal = fairness([(2.0, 1.0), (4.0, 2.0), (0.0, 0.0)]);
    assert_eq!((equal.max_ratio, equal.min_ratio, equal.jain_index), (1.0, 1.0, 1.0));
    let single = fairness([(8.0, 1.0), (0.0, 1.0), (0.0, 1.0), (0.0, 1.0)]);
    assert_eq!((single.max_ratio, single.min_ratio, single.jain_index), (4.0, 0.0, 0.25));
    assert_eq!(fairness([(0.0, 1.0)]).jain_index, 1.0, "nothing is spread evenly");
}
