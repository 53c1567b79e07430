//! Tests of memory accounts.

use super::{MemoryAccount, Share};

#[test]
fn charges_never_exceed_the_limit_and_are_given_back() {
    let account = MemoryAccount::new(100, 0);
    let mut first = account.charge(60).expect("60 of 100");
    assert!(account.charge(41).is_none());
    assert!(!first.try_resize(101, Share::All) && first.bytes() == 60);
    assert!(first.try_resize(100, Share::All) && first.try_resize(10, Share::All));
    let second = account.charge(90).expect("90 of 100");
    drop(first);
    assert_eq!(account.usage().used, 90);
    drop(second);
    let usage = account.usage();
    assert_eq!((usage.used, usage.peak, usage.failed_charges), (0, 100, 2));
}

#[test]
fn the_reserve_and_half_of_the_rest_stay_for_charges_that_may_use_them() {
    let account = MemoryAccount::new(100, 20);
    let mut ahead = account.empty_charge();
    assert!(ahead.try_resize(40, Share::HalfOfUnreserved) && !ahead.try_resize(41, Share::HalfOfUnreserved));
    let mut large = account.empty_charge();
    assert!(large.try_resize(40, Share::Unreserved) && !large.try_resize(41, Share::Unreserved));
    let small = account.charge(20).expect("the reserve");
    assert!(large.try_resize(30, Share::Unreserved), "a smaller charge always succeeds");
    drop(small);
}
