//! At most one process holds the name of a proxy, under a rising term.

use gaugestep_clock::Timestamp;
use gaugestep_leadership::identity::{
    Claim, ClaimRequest, IdentityRegistry, RECLAIM_AFTER, SupersededProcess,
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn claim(name: &str, incarnation: u64, term: u64, stream: u64) -> ClaimRequest<'_> {
    ClaimRequest { name, incarnation, term, stream }
}

#[test]
fn a_superseded_process_reclaims_its_name_only_after_the_later_one_has_been_disconnected() {
    let mut registry = IdentityRegistry::default();
    assert_eq!(registry.claim(at(0), claim("n0", 7, 0, 1)), Claim::Granted { term: 1, superseded: None });
    assert_eq!(registry.claim(at(1), claim("n0", 8, 0, 2)), Claim::Granted { term: 2, superseded: Some(1) });
    assert_eq!(
        registry.superseded().collect::<Vec<_>>(),
        [SupersededProcess { stream: 1, name: "n0", incarnation: 7 }]
    );
    registry.on_disconnected(at(2), 1);
    assert_eq!(registry.claim(at(3), claim("n0", 7, 1, 3)), Claim::Superseded { term: 2, by: 8 });
    assert!(registry.is_holder("n0", 2) && !registry.is_holder("n0", 3));
    registry.on_disconnected(at(4), 2);
    assert_eq!(
        registry.claim(at(5), claim("n0", 7, 1, 4)),
        Claim::Superseded { term: 2, by: 8 },
        "the later process may connect again"
    );
    let reclaimed = registry.claim(at(4) + RECLAIM_AFTER, claim("n0", 7, 1, 5));
    assert_eq!(reclaimed, Claim::Granted { term: 3, superseded: None });
    assert_eq!(registry.claim(at(20_000), claim("n0", 8, 2, 6)), Claim::Superseded { term: 3, by: 7 });
}

#[test]
fn a_control_server_continues_from_terms_that_another_one_granted() {
    let mut registry = IdentityRegistry::default();
    assert_eq!(registry.claim(at(0), claim("n0", 7, 4, 1)), Claim::Granted { term: 4, superseded: None });
    assert_eq!(registry.claim(at(0), claim("n0", 8, 5, 2)), Claim::Granted { term: 6, superseded: Some(1) });
    assert_eq!(
        registry.claim(at(0), claim("n0", 8, 6, 3)),
        Claim::Granted { term: 6, superseded: None },
        "another stream of the same process"
    );
    let highest = registry.claim(at(0), claim("n1", 1, u64::MAX, 4));
    assert_eq!(highest, Claim::Granted { term: u64::MAX, superseded: None });
    assert_eq!(
        registry.claim(at(0), claim("n1", 2, 0, 5)),
        Claim::Granted { term: u64::MAX, superseded: Some(4) }
    );
}
