//! Tests of `leader_discovery`.

use gaugestep_leadership::leader_discovery::{AnnouncedHolder, LeaderDiscovery, NO_HOLDER_TIMEOUT};

/// Plays services that all name the same holder; how many streams until the proxy stays, and where.
fn play(
    discovery: &mut LeaderDiscovery,
    behind: &[u64],
    reached: &[bool],
    holder: AnnouncedHolder,
    seen: u64,
) -> Option<u64> {
    for _ in 0..8 {
        let endpoint = discovery.endpoint();
        if reached[endpoint]
            && !discovery.on_welcome(0.0, behind[endpoint], holder, seen)
            && holder.is_some_and(|it| it.0 == behind[endpoint])
        {
            return Some(behind[endpoint]);
        }
        discovery.on_disconnect();
    }
    None
}

#[test]
fn the_owner_is_found_wherever_it_is_and_followed_when_it_changes() {
    for holder in 1..4 {
        let mut discovery = LeaderDiscovery::new(3);
        assert_eq!(play(&mut discovery, &[2, 3, 1], &[true; 3], Some((holder, 4)), 4), Some(holder));
        // The next one is known by now: one step.
        let next = holder % 3 + 1;
        discovery.on_welcome(0.0, holder, Some((next, 5)), 5);
        discovery.on_disconnect();
        let known = [2, 3, 1][discovery.endpoint()] == next;
        assert!(known || play(&mut discovery, &[2, 3, 1], &[true; 3], Some((next, 5)), 5) == Some(next));
    }
}

#[test]
fn swapped_addresses_an_owner_out_of_reach_and_old_owners_do_not_hold_a_proxy() {
    let mut discovery = LeaderDiscovery::new(3);
    play(&mut discovery, &[1, 2, 3], &[true; 3], Some((2, 1)), 1);
    assert_eq!(play(&mut discovery, &[1, 3, 2], &[true; 3], Some((2, 1)), 1), Some(2));
    assert_eq!(play(&mut discovery, &[1, 3, 2], &[true, true, false], Some((2, 1)), 1), None, "out of reach");
    assert_eq!(play(&mut discovery, &[1, 3, 2], &[true; 3], Some((2, 1)), 1), Some(2), "and found again");
    let mut discovery = LeaderDiscovery::new(2);
    assert!(
        !discovery.on_welcome(0.0, 1, Some((1, 3)), 4),
        "an old holder is nobody: left only after a while"
    );
    assert!(discovery.on_welcome(NO_HOLDER_TIMEOUT, 1, Some((1, 3)), 4));
    assert!(!discovery.on_disconnect());
    assert_eq!(discovery.endpoint(), 1);
}
