//! Leases: when a member may act, and when its roles are assigned to others.

use gaugestep_clock::Timestamp;
use gaugestep_leadership::RoleHolder;
use gaugestep_leadership::lease::{LeaseAction, LeaseGrantor, LeaseSession, LeaseTiming};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn roles(holders: &[u64]) -> BTreeMap<String, RoleHolder> {
    let holder =
        |(index, member): (usize, &u64)| (format!("d{index}"), RoleHolder { member: *member, term: 1 });
    holders.iter().enumerate().map(holder).collect()
}

#[test]
fn a_lease_runs_from_the_request_and_is_void_until_the_log_is_applied() {
    let mut session = LeaseSession::new(LeaseTiming::default(), 0);
    let first = session.next_request(at(0)).unwrap();
    assert_eq!(session.next_request(at(499)), None);
    let second = session.next_request(at(500)).unwrap();
    session.on_granted(second, 7);
    assert!(session.may_act(at(2_499), 7, "d", 1) && !session.may_act(at(2_499), 6, "d", 1));
    assert!(!session.may_act(at(2_500), 7, "d", 1));
    session.on_granted(first, 0);
    session.on_granted(second, 9);
    assert!(session.may_act(at(2_499), 7, "d", 1), "a grant that arrives twice or late changes nothing");
}

#[test]
fn a_member_that_hands_over_stops_first_and_continues_only_under_a_higher_term() {
    let mut session = LeaseSession::new(LeaseTiming::default(), 0);
    let requested = session.next_request(at(0)).unwrap();
    session.on_granted(requested, 0);
    session.resign(at(10), "d", 4);
    assert!(!session.may_act(at(11), 0, "d", 4) && session.may_act(at(11), 0, "e", 4));
    assert!(session.may_act(at(11), 0, "d", 5), "the role came back to it");
    assert!(session.stalled_handovers(at(5_009), [("d", 4)].into_iter()).is_empty());
    assert_eq!(session.stalled_handovers(at(5_010), [("d", 4)].into_iter()), [("d".to_owned(), 4)]);
    assert!(session.stalled_handovers(at(5_020), [("d", 4)].into_iter()).is_empty(), "returned already");
    assert!(session.stalled_handovers(at(20_000), [("d", 5)].into_iter()).is_empty());
}

#[test]
fn a_member_whose_store_fails_repeatedly_never_requests_a_lease() {
    let mut session = LeaseSession::new(LeaseTiming::default(), 0);
    let requested = session.next_request(at(0)).unwrap();
    session.store_failed(at(100));
    session.on_granted(requested, 0);
    assert!(!session.may_act(at(101), 0, "d", 1), "what was granted before is void");
    for failure in 1..50 {
        let now = at(100 + failure * 1_000);
        assert_eq!(session.next_request(now), None);
        session.store_failed(now);
    }
    assert!(session.next_request(at(49_100 + 5_000)).is_some(), "the store has worked for the probation");
}

#[test]
fn a_silent_holder_keeps_its_roles_until_its_lease_has_expired_on_any_clock() {
    let timing = LeaseTiming::default();
    let (expiry, tick) = (Timestamp::ORIGIN + timing.expiry_grace(), Duration::from_millis(1));
    let (mut grantor, members) = (LeaseGrantor::new(timing), BTreeSet::from([1, 2, 3]));
    grantor.set_leading(at(0), true);
    for member in [1, 2] {
        grantor.on_request(at(10), member, 1);
    }
    let held = roles(&[3, 1, 2]);
    let moves = |actions: &[LeaseAction]| {
        actions
            .iter()
            .filter(|it| matches!(it, LeaseAction::Assign { .. } | LeaseAction::RequestHandOver { .. }))
            .count()
    };
    assert_eq!(grantor.tick(at(20), &held, &members), [LeaseAction::ConfirmLeadership(1)]);
    assert_eq!(grantor.on_confirmed(2), []);
    assert_eq!(grantor.on_confirmed(1).len(), 2);
    for member in [1, 2] {
        grantor.on_request(expiry - 20 * tick, member, 2);
    }
    assert_eq!(moves(&grantor.tick(expiry - tick, &held, &members)), 0);
    let given = grantor.tick(expiry, &held, &members);
    assert!(matches!(&given[..], [LeaseAction::Assign { role, term: 1, .. }] if role == "d0"), "{given:?}");
    assert_eq!(moves(&grantor.tick(expiry + tick, &held, &members)), 0, "proposed already");
}

#[test]
fn a_new_member_is_handed_its_share_and_a_leader_without_a_majority_grants_nothing() {
    let (mut grantor, members) = (LeaseGrantor::new(LeaseTiming::default()), BTreeSet::from([1, 2]));
    grantor.set_leading(at(0), true);
    grantor.on_request(at(1), 1, 1);
    grantor.on_request(at(1), 2, 1);
    let proposed = grantor.tick(at(2), &roles(&[1, 1, 1, 1]), &members);
    let hand_overs = proposed
        .iter()
        .filter(|it| matches!(it, LeaseAction::RequestHandOver { from: 1, to: 2, .. }))
        .count();
    assert_eq!(hand_overs, 2, "{proposed:?}");
    // The confirmation is lost: nothing is granted, and a later one does not cover the requests that waited for it.
    grantor.on_request(at(1_100), 2, 2);
    assert!(grantor.tick(at(1_100), &BTreeMap::new(), &members).contains(&LeaseAction::ConfirmLeadership(2)));
    assert_eq!(grantor.on_confirmed(1), []);
    assert_eq!(grantor.on_confirmed(2), [LeaseAction::Grant { member: 2, number: 2 }]);
    grantor.set_leading(at(1_200), false);
    grantor.on_request(at(1_300), 1, 3);
    assert!(grantor.tick(at(9_000), &roles(&[0]), &members).is_empty());
}
