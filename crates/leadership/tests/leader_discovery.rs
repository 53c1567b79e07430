//! A proxy finds the holder of the configuration role, and follows it.

use gaugestep_clock::Timestamp;
use gaugestep_leadership::RoleHolder;
use gaugestep_leadership::leader_discovery::{LeaderDiscovery, NO_HOLDER_TIMEOUT, Reconnect, StreamDecision};

fn holder(member: u64, term: u64) -> RoleHolder {
    RoleHolder { member, term }
}

/// Services that all announce the same holder: the member with which the proxy stays, if it does within eight streams.
fn play(
    discovery: &mut LeaderDiscovery,
    behind: &[u64],
    reached: &[bool],
    announced: RoleHolder,
    highest_term: u64,
) -> Option<u64> {
    for _ in 0..8 {
        let endpoint = discovery.endpoint();
        let member = behind[endpoint];
        let decide = |discovery: &mut LeaderDiscovery| {
            discovery.on_welcome(Timestamp::ORIGIN, member, Some(announced), highest_term)
        };
        if reached[endpoint] && decide(discovery) == StreamDecision::Keep && announced.member == member {
            return Some(member);
        }
        discovery.on_disconnect();
    }
    None
}

#[test]
fn the_holder_is_found_wherever_it_is_and_followed_when_it_changes() {
    for first in 1..4 {
        let mut discovery = LeaderDiscovery::new(3);
        assert_eq!(play(&mut discovery, &[2, 3, 1], &[true; 3], holder(first, 4), 4), Some(first));
        // The next holder's endpoint may be known by now: one step.
        let next = first % 3 + 1;
        discovery.on_welcome(Timestamp::ORIGIN, first, Some(holder(next, 5)), 5);
        discovery.on_disconnect();
        let known = [2, 3, 1][discovery.endpoint()] == next;
        assert!(known || play(&mut discovery, &[2, 3, 1], &[true; 3], holder(next, 5), 5) == Some(next));
    }
}

#[test]
fn swapped_addresses_an_unreachable_holder_and_old_terms_do_not_hold_a_proxy() {
    let mut discovery = LeaderDiscovery::new(3);
    play(&mut discovery, &[1, 2, 3], &[true; 3], holder(2, 1), 1);
    assert_eq!(play(&mut discovery, &[1, 3, 2], &[true; 3], holder(2, 1), 1), Some(2));
    assert_eq!(play(&mut discovery, &[1, 3, 2], &[true, true, false], holder(2, 1), 1), None, "out of reach");
    assert_eq!(play(&mut discovery, &[1, 3, 2], &[true; 3], holder(2, 1), 1), Some(2), "and found again");
    let mut discovery = LeaderDiscovery::new(2);
    let mut welcome = |now| discovery.on_welcome(now, 1, Some(holder(1, 3)), 4);
    let first = welcome(Timestamp::ORIGIN);
    assert_eq!(
        first,
        StreamDecision::Keep,
        "a holder of an old term counts as none: left only after a while"
    );
    assert_eq!(welcome(Timestamp::ORIGIN + NO_HOLDER_TIMEOUT), StreamDecision::Close);
    assert_eq!(discovery.on_disconnect(), Reconnect::AfterBackoff);
    assert_eq!(discovery.endpoint(), 1);
}
