//! Acceptance of peers, and the addresses of members since their last start.

use gaugestep_clock::Timestamp;
use gaugestep_config::PROTOCOL_VERSION;
use gaugestep_config::schema::{Member, PeerHello};
use std::time::Duration;

use gaugestep_leadership::group_state::GroupState;
use gaugestep_leadership::peer_directory::{ALIVE_WINDOW, PeerDirectory, PeerRejected};
use std::collections::BTreeMap;

fn member(number: u64, boot: u64) -> Member {
    Member { number, boot, nonce: 7, listen: format!("h:{boot}"), ..Member::default() }
}

fn group_state() -> GroupState {
    let mut state = GroupState::single_member(9, member(1, 1), BTreeMap::new());
    state.add_member(member(2, 3));
    state.add_member(member(3, 1));
    state.remove_member(3);
    state
}

#[test]
fn stale_removed_and_unknown_peers_are_rejected() {
    let (directory, state) = (PeerDirectory::new(member(1, 1)), group_state());
    let hello = |from, to| PeerHello { protocol: PROTOCOL_VERSION, lineage: 9, from: Some(from), to };
    let check = |hello: PeerHello| directory.check_hello(&state, &hello);
    assert_eq!(check(hello(member(2, 3), 1)), Ok(()));
    assert_eq!(check(hello(member(2, 4), 1)), Ok(()), "a later start is accepted");
    let stale_start = PeerRejected::StaleStart { member: 2, recorded_boot: 3, announced_boot: 2 };
    assert_eq!(check(hello(member(2, 2), 1)), Err(stale_start.clone()));
    assert!(stale_start.is_fatal());
    assert!(PeerRejected::Removed(3).is_fatal());
    assert!(!PeerRejected::DifferentGroup.is_fatal());
    assert_eq!(check(hello(member(3, 9), 1)), Err(PeerRejected::Removed(3)));
    assert_eq!(check(hello(member(4, 1), 1)), Err(PeerRejected::UnknownMember(4)));
    assert_eq!(
        check(hello(member(2, 3), 2)),
        Err(PeerRejected::WrongMember(1)),
        "the address belongs to another member now"
    );
    assert_eq!(check(hello(member(1, 3), 1)), Err(PeerRejected::DuplicateMember(1)));
    assert_eq!(
        directory.check_membership(&state, 3),
        Err(PeerRejected::Removed(3)),
        "a peer that was accepted before is rejected too"
    );
    assert_eq!(directory.check_membership(&state, 2), Ok(()));
    let other_group = PeerHello { lineage: 8, ..hello(member(2, 3), 1) };
    assert_eq!(check(other_group), Err(PeerRejected::DifferentGroup));
    assert_eq!(
        check(PeerHello { protocol: 0, ..hello(member(2, 3), 1) }),
        Err(PeerRejected::UnsupportedProtocol)
    );
}

/// Guards against a start heard earlier that hides the later one which the group has recorded since.
#[test]
fn the_later_one_of_a_start_that_was_heard_and_one_that_is_replicated_counts() {
    let (mut directory, mut state) = (PeerDirectory::new(member(1, 1)), group_state());
    directory.record(&state, &[member(2, 4)]);
    state.add_member(member(2, 6));
    assert_eq!(directory.member(&state, 2), Some(member(2, 6)));
    assert!(directory.all_members(&state).contains(&member(2, 6)));
    assert_eq!(directory.unreplicated_starts(&state), []);
    let hello = PeerHello { protocol: PROTOCOL_VERSION, lineage: 9, from: Some(member(2, 5)), to: 1 };
    let stale_start = PeerRejected::StaleStart { member: 2, recorded_boot: 6, announced_boot: 5 };
    assert_eq!(directory.check_hello(&state, &hello), Err(stale_start));
}

#[test]
fn a_later_start_replaces_the_address_and_an_earlier_one_changes_nothing() {
    let (mut directory, state) = (PeerDirectory::new(member(1, 2)), group_state());
    directory.record(&state, &[member(2, 5), member(2, 4), member(4, 1)]);
    assert_eq!(directory.member(&state, 2), Some(member(2, 5)));
    assert_eq!(directory.other_members(&state), [2]);
    assert_eq!(directory.unreplicated_starts(&state), [member(2, 5), member(1, 2)]);
    directory.mark_alive(2, Timestamp::ORIGIN);
    let window_end = Timestamp::ORIGIN + ALIVE_WINDOW;
    assert_eq!(directory.alive_members(window_end - Duration::from_millis(1)), [2, 1]);
    assert_eq!(directory.alive_members(window_end), [1]);
    let mut joining = PeerDirectory::new(member(4, 1));
    joining.record(&GroupState::default(), &[member(1, 1)]);
    assert_eq!(
        joining.other_members(&GroupState::default()),
        [1],
        "a member that has not joined learns of the others from the peers that connect to it"
    );
}
