//! The lease of a proxy on its ordinal: when it expires, and which grants it accepts.

#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

use gaugestep_clock::Timestamp;
use gaugestep_subsetting::ordinal_lease::{LEASE_DURATION, LeasedPosition, OrdinalGrant, OrdinalLease};
use gaugestep_subsetting::position::{FleetPosition, OrdinalAssignment};

const FLEET_SIZE: u32 = 9;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn grant(term: u64, epoch: u64, ordinal: u32) -> OrdinalGrant {
    let assignment = OrdinalAssignment { ordinal, fleet_size: FLEET_SIZE };
    OrdinalGrant { term, epoch, assignment: Some(assignment) }
}

fn leased(ordinal: u32, requested_at: u64) -> Option<LeasedPosition> {
    let position = FleetPosition::ordinal(ordinal, FLEET_SIZE).unwrap();
    Some(LeasedPosition { position, expires_at: at(requested_at) + LEASE_DURATION })
}

#[test]
fn a_lease_counts_from_the_request_and_an_older_grant_changes_nothing() {
    let mut lease = OrdinalLease::default();
    assert_eq!(lease.position(at(0)), None);
    assert!(lease.confirm(at(100), grant(2, 7, 3)));
    let expires_at = at(100) + LEASE_DURATION;
    assert_eq!(lease.position(at(5_099)), leased(3, 100));
    assert_eq!(lease.position(expires_at), None, "the lease expires at its end, whenever it is checked");
    assert!(!lease.confirm(at(4_000), grant(1, 9, 4)));
    assert!(!lease.confirm(at(4_000), grant(2, 6, 4)));
    assert_eq!(lease.last_grant(), Some(grant(2, 7, 3)));
    assert!(lease.confirm(at(2_000), grant(2, 7, 3)));
    assert!(lease.confirm(at(1_000), grant(2, 7, 3)));
    assert_eq!(lease.position(at(2_000)), leased(3, 2_000), "an older response does not shorten the lease");
    assert!(lease.confirm(at(1_500), grant(3, 8, 5)));
    assert_eq!(lease.position(at(2_000)), leased(5, 1_500), "another ordinal does not inherit the expiry");
    assert!(lease.confirm(at(2_500), OrdinalGrant { term: 3, epoch: 9, assignment: None }));
    assert_eq!(lease.position(at(2_500)), None, "the newest grant assigns no ordinal");
}
