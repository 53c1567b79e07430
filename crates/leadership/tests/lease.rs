//! Tests of `lease`.

use gaugestep_leadership::lease::{LeaseAction, LeaseGrantor, LeaseSession, LeaseTiming};
use std::collections::{BTreeMap, BTreeSet};

fn roles(holders: &[u64]) -> BTreeMap<String, (u64, u64)> {
    holders.iter().enumerate().map(|(at, holder)| (format!("d{at}"), (*holder, 1))).collect()
}

#[test]
fn a_lease_runs_from_the_asking_and_is_void_until_all_is_applied() {
    let mut session = LeaseSession::new(LeaseTiming::default(), 0);
    let first = session.next_request(0.0).unwrap();
    assert_eq!(session.next_request(499.0), None);
    let second = session.next_request(500.0).unwrap();
    session.on_granted(second, 7);
    assert!(session.may_act(2_499.0, 7, "d", 1) && !session.may_act(2_499.0, 6, "d", 1));
    assert!(!session.may_act(2_500.0, 7, "d", 1));
    session.on_granted(first, 0);
    session.on_granted(second, 9);
    assert!(session.may_act(2_499.0, 7, "d", 1), "an answer that comes twice or late changes nothing");
}

#[test]
fn who_hands_over_stops_first_and_goes_on_only_under_a_higher_term() {
    let mut session = LeaseSession::new(LeaseTiming::default(), 0);
    let asked = session.next_request(0.0).unwrap();
    session.on_granted(asked, 0);
    session.resign(10.0, "d", 4);
    assert!(!session.may_act(11.0, 0, "d", 4) && session.may_act(11.0, 0, "e", 4));
    assert!(session.may_act(11.0, 0, "d", 5), "the role came back to it");
    assert!(session.stalled_handovers(5_009.0, [("d", 4)].into_iter()).is_empty());
    assert_eq!(session.stalled_handovers(5_010.0, [("d", 4)].into_iter()), [("d".to_owned(), 4)]);
    assert!(session.stalled_handovers(5_020.0, [("d", 4)].into_iter()).is_empty(), "told already");
    assert!(session.stalled_handovers(20_000.0, [("d", 5)].into_iter()).is_empty());
}

#[test]
fn a_member_whose_store_fails_again_and_again_never_asks() {
    let mut session = LeaseSession::new(LeaseTiming::default(), 0);
    let asked = session.next_request(0.0).unwrap();
    session.store_failed(100.0);
    session.on_granted(asked, 0);
    assert!(!session.may_act(101.0, 0, "d", 1), "what was granted before is void");
    for failure in 1..50 {
        let now = 100.0 + f64::from(failure) * 1_000.0;
        assert_eq!(session.next_request(now), None);
        session.store_failed(now);
    }
    assert!(session.next_request(49_100.0 + 5_000.0).is_some(), "it has held");
}

#[test]
fn a_silent_owner_keeps_its_duties_until_its_lease_has_ended_for_anybody() {
    let timing = LeaseTiming::default();
    let (mut grantor, members) = (LeaseGrantor::new(timing), BTreeSet::from([1, 2, 3]));
    grantor.set_leading(0.0, true);
    for member in [1, 2] {
        grantor.on_request(10.0, member, 1);
    }
    let held = roles(&[3, 1, 2]);
    let assigns = |actions: &[LeaseAction]| {
        actions
            .iter()
            .filter(|it| matches!(it, LeaseAction::Assign { .. } | LeaseAction::RequestHandOver { .. }))
            .count()
    };
    assert_eq!(grantor.tick(20.0, &held, &members), [LeaseAction::ConfirmLeadership(1)]);
    assert_eq!(grantor.on_confirmed(2), []);
    assert_eq!(grantor.on_confirmed(1).len(), 2);
    for member in [1, 2] {
        grantor.on_request(timing.expiry_grace() - 20.0, member, 2);
    }
    assert_eq!(assigns(&grantor.tick(timing.expiry_grace() - 1.0, &held, &members)), 0);
    let given = grantor.tick(timing.expiry_grace(), &held, &members);
    assert!(matches!(&given[..], [LeaseAction::Assign { role, term: 1, .. }] if role == "d0"), "{given:?}");
    assert_eq!(assigns(&grantor.tick(timing.expiry_grace() + 1.0, &held, &members)), 0, "proposed already");
}

#[test]
fn a_member_that_comes_is_given_its_part_by_those_that_have_more_and_one_without_a_majority_grants_nothing() {
    let (mut grantor, members) = (LeaseGrantor::new(LeaseTiming::default()), BTreeSet::from([1, 2]));
    grantor.set_leading(0.0, true);
    grantor.on_request(1.0, 1, 1);
    grantor.on_request(1.0, 2, 1);
    let proposed = grantor.tick(2.0, &roles(&[1, 1, 1, 1]), &members);
    let yields = proposed
        .iter()
        .filter(|it| matches!(it, LeaseAction::RequestHandOver { from: 1, to: 2, .. }))
        .count();
    assert_eq!(yields, 2, "{proposed:?}");
    // No confirmation comes: nothing is granted, and what waited is not granted by a later one.
    grantor.on_request(1_100.0, 2, 2);
    assert!(grantor.tick(1_100.0, &BTreeMap::new(), &members).contains(&LeaseAction::ConfirmLeadership(2)));
    assert_eq!(grantor.on_confirmed(1), []);
    assert_eq!(grantor.on_confirmed(2), [LeaseAction::Grant { member: 2, number: 2 }]);
    grantor.set_leading(1_200.0, false);
    grantor.on_request(1_300.0, 1, 3);
    assert!(grantor.tick(9_000.0, &roles(&[0]), &members).is_empty());
}
