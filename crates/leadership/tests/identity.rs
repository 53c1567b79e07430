//! Tests of `identity`.

use gaugestep_leadership::identity::{Claim, IdentityRegistry, RECLAIM_AFTER};

#[test]
fn the_later_process_wins_the_earlier_one_is_told_and_does_not_fight_back() {
    let mut registry = IdentityRegistry::default();
    assert_eq!(registry.claim(0.0, "n0", 7, 0, 1), Claim::Granted { term: 1, superseded: None });
    assert_eq!(registry.claim(1.0, "n0", 8, 0, 2), Claim::Granted { term: 2, superseded: Some(1) });
    assert_eq!(registry.superseded().collect::<Vec<_>>(), [(1, "n0", 7)]);
    registry.disconnected(2.0, 1);
    assert_eq!(registry.claim(3.0, "n0", 7, 1, 3), Claim::Superseded { term: 2, by: 8 });
    assert!(registry.is_holder("n0", 2) && !registry.is_holder("n0", 3));
    registry.disconnected(4.0, 2);
    assert_eq!(registry.claim(5.0, "n0", 7, 1, 4), Claim::Superseded { term: 2, by: 8 }, "it may come back");
    let back = registry.claim(4.0 + RECLAIM_AFTER, "n0", 7, 1, 5);
    assert_eq!(back, Claim::Granted { term: 3, superseded: None });
    assert_eq!(registry.claim(20_000.0, "n0", 8, 2, 6), Claim::Superseded { term: 3, by: 7 });
}

#[test]
fn a_service_that_starts_anew_takes_the_terms_that_others_gave() {
    let mut registry = IdentityRegistry::default();
    assert_eq!(registry.claim(0.0, "n0", 7, 4, 1), Claim::Granted { term: 4, superseded: None });
    assert_eq!(registry.claim(0.0, "n0", 8, 5, 2), Claim::Granted { term: 6, superseded: Some(1) });
    assert_eq!(
        registry.claim(0.0, "n0", 8, 6, 3),
        Claim::Granted { term: 6, superseded: None },
        "a stream anew"
    );
    let edge = registry.claim(0.0, "n1", 1, u64::MAX, 4);
    assert_eq!(edge, Claim::Granted { term: u64::MAX, superseded: None });
    assert_eq!(registry.claim(0.0, "n1", 2, 0, 5), Claim::Granted { term: u64::MAX, superseded: Some(4) });
}
