//! Leases: when a member may act for its roles, and when the roles are assigned to other members.

use gaugestep_clock::Timestamp;
use gaugestep_leadership::lease::{LeaseAction, LeaseGrantor, LeaseSession, LeaseTiming};
use gaugestep_leadership::{NO_MEMBER, RoleHolder};
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
fn a_lease_runs_from_the_request_and_is_invalid_until_the_log_is_applied() {
    let mut session = LeaseSession::new(LeaseTiming::default(), 0);
    let first = session.next_request(at(0)).unwrap();
    assert_eq!(session.next_request(at(499)), None);
    let second = session.next_request(at(500)).unwrap();
    session.on_granted(second, 7);
    assert!(session.may_act(at(2_499), 7, "d", 1));
    assert!(!session.may_act(at(2_499), 6, "d", 1), "the log is not applied up to the committed index");
    assert!(!session.may_act(at(2_500), 7, "d", 1));
    session.on_granted(first, 0);
    session.on_granted(second, 9);
    assert!(session.may_act(at(2_499), 7, "d", 1), "a repeated or late grant changes nothing");
}

#[test]
fn a_member_that_hands_over_stops_first_and_continues_only_under_a_higher_term() {
    let mut session = LeaseSession::new(LeaseTiming::default(), 0);
    let requested = session.next_request(at(0)).unwrap();
    session.on_granted(requested, 0);
    session.resign(at(10), "d", 4);
    assert!(!session.may_act(at(11), 0, "d", 4));
    assert!(session.may_act(at(11), 0, "e", 4), "another role is not affected");
    assert!(session.may_act(at(11), 0, "d", 5), "the role was assigned to the member again");
    assert!(session.stalled_handovers(at(5_009), [("d", 4)].into_iter()).is_empty());
    assert_eq!(session.stalled_handovers(at(5_010), [("d", 4)].into_iter()), [("d".to_owned(), 4)]);
    assert!(
        session.stalled_handovers(at(5_020), [("d", 4)].into_iter()).is_empty(),
        "returned once per probation"
    );
    assert!(session.stalled_handovers(at(20_000), [("d", 5)].into_iter()).is_empty());
}

#[test]
fn a_member_whose_store_fails_repeatedly_never_requests_a_lease() {
    let mut session = LeaseSession::new(LeaseTiming::default(), 0);
    let requested = session.next_request(at(0)).unwrap();
    session.on_store_failure(at(100));
    session.on_granted(requested, 0);
    assert!(!session.may_act(at(101), 0, "d", 1), "a request from before the failure is not granted");
    for failure in 1..50 {
        let now = at(100 + failure * 1_000);
        assert_eq!(session.next_request(now), None);
        session.on_store_failure(now);
    }
    assert!(
        session.next_request(at(49_100 + 5_000)).is_some(),
        "the store has worked for the probation period"
    );
}

#[test]
fn a_silent_holder_keeps_its_roles_until_its_lease_has_expired_on_any_clock() {
    let timing = LeaseTiming::default();
    let expiry = Timestamp::ORIGIN + timing.expiry_grace();
    let tick = Duration::from_millis(1);
    let mut grantor = LeaseGrantor::new(timing);
    let members = BTreeSet::from([1, 2, 3]);
    grantor.set_leading(at(0), true);
    for member in [1, 2] {
        grantor.on_request(at(10), member, 1);
    }
    let roles = roles(&[3, 1, 2]);
    let move_count = |actions: &[LeaseAction]| {
        actions
            .iter()
            .filter(|action| {
                matches!(action, LeaseAction::Assign { .. } | LeaseAction::RequestHandOver { .. })
            })
            .count()
    };
    assert_eq!(grantor.tick(at(20), &roles, &members), [LeaseAction::ConfirmLeadership(1)]);
    assert_eq!(grantor.on_confirmed(2), []);
    assert_eq!(grantor.on_confirmed(1).len(), 2);
    for member in [1, 2] {
        grantor.on_request(expiry - 20 * tick, member, 2);
    }
    assert_eq!(move_count(&grantor.tick(expiry - tick, &roles, &members)), 0);
    let actions = grantor.tick(expiry, &roles, &members);
    assert!(
        matches!(&actions[..], [LeaseAction::Assign { role, term: 1, .. }] if role == "d0"),
        "{actions:?}"
    );
    assert_eq!(move_count(&grantor.tick(expiry + tick, &roles, &members)), 0, "proposed already");
}

/// Guards against a successor that acts while the lease of a removed holder is still valid.
#[test]
fn the_roles_of_a_removed_member_are_assigned_once_its_lease_has_expired_on_any_clock() {
    let timing = LeaseTiming::default();
    let tick = Duration::from_millis(1);
    let mut grantor = LeaseGrantor::new(timing);
    grantor.set_leading(at(0), true);
    for member in [1, 2, 3] {
        grantor.on_request(at(9_000), member, 1);
    }
    let (all, remaining) = (BTreeSet::from([1, 2, 3]), BTreeSet::from([1, 3]));
    let is_assignment = |action: &LeaseAction| matches!(action, LeaseAction::Assign { .. });
    let held = roles(&[2, 1, 3]);
    assert!(!grantor.tick(at(9_010), &held, &all).iter().any(is_assignment));
    // Member 2 is removed: its role has a new term and no holder.
    let mut vacated = held;
    vacated.insert("d0".into(), RoleHolder { member: NO_MEMBER, term: 2 });
    for member in [1, 2, 3] {
        grantor.on_request(at(10_000), member, 2);
    }
    let expiry = at(10_000) + timing.expiry_grace();
    assert!(!grantor.tick(at(10_020), &vacated, &remaining).iter().any(is_assignment));
    for member in [1, 2, 3] {
        grantor.on_request(at(11_000), member, 3);
    }
    assert!(!grantor.tick(expiry - tick, &vacated, &remaining).iter().any(is_assignment));
    // Requests of the removed member do not prolong the wait.
    let actions = grantor.tick(expiry, &vacated, &remaining);
    assert!(
        actions.iter().any(|action| matches!(action, LeaseAction::Assign { term: 2, .. })),
        "{actions:?}"
    );
}

/// Guards against a new leader that assigns the role of a removed holder whose lease it did not grant.
#[test]
fn a_new_leader_assigns_a_vacated_role_after_the_grace_and_one_that_was_never_held_at_once() {
    let timing = LeaseTiming::default();
    let tick = Duration::from_millis(1);
    let mut grantor = LeaseGrantor::new(timing);
    let members = BTreeSet::from([1, 3]);
    grantor.set_leading(at(0), true);
    grantor.on_request(at(1), 1, 1);
    let vacant = |name: &str, term| (name.to_owned(), RoleHolder { member: NO_MEMBER, term });
    let roles = BTreeMap::from([vacant("never held", 0), vacant("vacated", 5)]);
    let assigned = |actions: &[LeaseAction]| -> Vec<String> {
        let role = |action: &LeaseAction| match action {
            LeaseAction::Assign { role, .. } => Some(role.clone()),
            _ => None,
        };
        actions.iter().filter_map(role).collect()
    };
    let expiry = at(0) + timing.expiry_grace();
    assert_eq!(assigned(&grantor.tick(at(2), &roles, &members)), ["never held"]);
    grantor.on_request(at(1_500), 1, 2);
    let vacated = BTreeMap::from([vacant("vacated", 5)]);
    assert!(assigned(&grantor.tick(expiry - tick, &vacated, &members)).is_empty());
    assert_eq!(assigned(&grantor.tick(expiry, &vacated, &members)), ["vacated"]);
}

/// Guards against a silent holder that gets a new lease while its role is already being assigned to another.
#[test]
fn a_member_gets_no_lease_while_the_assignment_of_its_role_to_another_may_be_committed() {
    let timing = LeaseTiming::default();
    let mut grantor = LeaseGrantor::new(timing);
    let members = BTreeSet::from([1, 2]);
    let expiry = Timestamp::ORIGIN + timing.expiry_grace();
    let after = |millis| expiry + Duration::from_millis(millis);
    // Requests a lease for a member, and returns whether it is granted.
    let request = |grantor: &mut LeaseGrantor, now, member, number| {
        grantor.on_request(now, member, number);
        let Some(LeaseAction::ConfirmLeadership(confirmation)) = grantor.next_confirmation(now) else {
            return false;
        };
        grantor.on_confirmed(confirmation).contains(&LeaseAction::Grant { member, number })
    };
    grantor.set_leading(at(0), true);
    assert!(request(&mut grantor, at(1_000), 1, 1));
    let actions = grantor.tick(expiry, &roles(&[2]), &members);
    assert!(matches!(&actions[..], [LeaseAction::Assign { term: 1, to: 1, .. }]), "{actions:?}");
    assert!(!request(&mut grantor, after(1), 2, 1), "the assignment may still be committed");
    assert!(grantor.tick(after(2), &roles(&[2]), &members).is_empty());
    assert!(request(&mut grantor, after(3), 1, 2), "other members are not affected");
    assert!(!request(&mut grantor, after(1_999), 2, 2));
    let actions = grantor.tick(after(2_000), &roles(&[2]), &members);
    assert!(matches!(&actions[..], [LeaseAction::Assign { .. }]), "proposed again: {actions:?}");
    // The assignment is committed: the role has a new holder and the next term.
    let assigned = BTreeMap::from([("d0".to_owned(), RoleHolder { member: 1, term: 2 })]);
    grantor.tick(after(2_010), &assigned, &members);
    assert!(request(&mut grantor, after(2_020), 2, 3));
}

#[test]
fn roles_are_rebalanced_to_a_new_member_and_an_unconfirmed_leader_grants_no_lease() {
    let mut grantor = LeaseGrantor::new(LeaseTiming::default());
    let members = BTreeSet::from([1, 2]);
    grantor.set_leading(at(0), true);
    grantor.on_request(at(1), 1, 1);
    grantor.on_request(at(1), 2, 1);
    let actions = grantor.tick(at(2), &roles(&[1, 1, 1, 1]), &members);
    let hand_overs = actions
        .iter()
        .filter(|action| matches!(action, LeaseAction::RequestHandOver { from: 1, to: 2, .. }))
        .count();
    assert_eq!(hand_overs, 2, "{actions:?}");
    // The first confirmation is lost. Its requests are not granted, and the second one does not cover them.
    grantor.on_request(at(1_100), 2, 2);
    assert!(grantor.tick(at(1_100), &BTreeMap::new(), &members).contains(&LeaseAction::ConfirmLeadership(2)));
    assert_eq!(grantor.on_confirmed(1), []);
    assert_eq!(grantor.on_confirmed(2), [LeaseAction::Grant { member: 2, number: 2 }]);
    grantor.set_leading(at(1_200), false);
    grantor.on_request(at(1_300), 1, 3);
    assert!(grantor.tick(at(9_000), &roles(&[0]), &members).is_empty());
}
