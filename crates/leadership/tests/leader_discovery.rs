//! A proxy finds the holder of the configuration role and follows it when it changes.

use gaugestep_clock::Timestamp;
use gaugestep_leadership::RoleHolder;
use gaugestep_leadership::leader_discovery::{LeaderDiscovery, NO_HOLDER_TIMEOUT, Reconnect, StreamDecision};

fn holder(member: u64, term: u64) -> RoleHolder {
    RoleHolder { member, term }
}

/// Connects to servers that all announce the same holder until the proxy keeps a stream to it. Returns the
/// member of that stream, or `None` if no stream is kept within eight attempts.
fn connect_until_kept(
    discovery: &mut LeaderDiscovery,
    member_at: &[u64],
    is_reachable: &[bool],
    announced: RoleHolder,
    highest_term: u64,
) -> Option<u64> {
    for _ in 0..8 {
        let endpoint = discovery.endpoint();
        let member = member_at[endpoint];
        let decide = |discovery: &mut LeaderDiscovery| {
            discovery.on_welcome(Timestamp::ORIGIN, member, Some(announced), highest_term)
        };
        if is_reachable[endpoint] && decide(discovery) == StreamDecision::Keep && announced.member == member {
            return Some(member);
        }
        discovery.on_disconnect();
    }
    None
}

#[test]
fn the_holder_is_found_at_any_endpoint_and_followed_when_it_changes() {
    for first in 1..4 {
        let mut discovery = LeaderDiscovery::new(3);
        assert_eq!(
            connect_until_kept(&mut discovery, &[2, 3, 1], &[true; 3], holder(first, 4), 4),
            Some(first)
        );
        // If the endpoint of the next holder is known already, the proxy connects to it directly.
        let next = first % 3 + 1;
        discovery.on_welcome(Timestamp::ORIGIN, first, Some(holder(next, 5)), 5);
        discovery.on_disconnect();
        let is_direct = [2, 3, 1][discovery.endpoint()] == next;
        assert!(
            is_direct
                || connect_until_kept(&mut discovery, &[2, 3, 1], &[true; 3], holder(next, 5), 5)
                    == Some(next)
        );
    }
}

#[test]
fn the_holder_is_found_after_swapped_addresses_an_outage_or_a_stale_announcement() {
    let mut discovery = LeaderDiscovery::new(3);
    connect_until_kept(&mut discovery, &[1, 2, 3], &[true; 3], holder(2, 1), 1);
    assert_eq!(connect_until_kept(&mut discovery, &[1, 3, 2], &[true; 3], holder(2, 1), 1), Some(2));
    assert_eq!(
        connect_until_kept(&mut discovery, &[1, 3, 2], &[true, true, false], holder(2, 1), 1),
        None,
        "the holder is unreachable"
    );
    assert_eq!(
        connect_until_kept(&mut discovery, &[1, 3, 2], &[true; 3], holder(2, 1), 1),
        Some(2),
        "the holder is reachable again"
    );
    let mut discovery = LeaderDiscovery::new(2);
    let mut welcome = |now| discovery.on_welcome(now, 1, Some(holder(1, 3)), 4);
    let first = welcome(Timestamp::ORIGIN);
    assert_eq!(
        first,
        StreamDecision::Keep,
        "a holder with a stale term counts as none, so the stream is closed only after the timeout"
    );
    assert_eq!(welcome(Timestamp::ORIGIN + NO_HOLDER_TIMEOUT), StreamDecision::Close);
    assert_eq!(discovery.on_disconnect(), Reconnect::AfterBackoff);
    assert_eq!(discovery.endpoint(), 1);
}
