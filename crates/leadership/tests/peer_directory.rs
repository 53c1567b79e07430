//! Which peers may take part, and where each member is reached.

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
fn a_peer_that_is_stale_removed_or_another_is_rejected() {
    let (directory, state) = (PeerDirectory::new(member(1, 1)), group_state());
    let hello = |from, to| PeerHello { protocol: PROTOCOL_VERSION, lineage: 9, from: Some(from), to };
    let verdict = |hello: PeerHello| directory.check_hello(&state, &hello);
    assert_eq!(verdict(hello(member(2, 3), 1)), Ok(()));
    assert_eq!(verdict(hello(member(2, 4), 1)), Ok(()), "a later start");
    let is_stale_start = PeerRejected::StaleStart { member: 2, known: 3, announced: 2 };
    assert_eq!(verdict(hello(member(2, 2), 1)), Err(is_stale_start.clone()));
    assert!(
        is_stale_start.is_fatal()
            && PeerRejected::Removed(3).is_fatal()
            && !PeerRejected::DifferentGroup.is_fatal()
    );
    assert_eq!(verdict(hello(member(3, 9), 1)), Err(PeerRejected::Removed(3)));
    assert_eq!(verdict(hello(member(4, 1), 1)), Err(PeerRejected::UnknownMember(4)));
    assert_eq!(
        verdict(hello(member(2, 3), 2)),
        Err(PeerRejected::WrongMember(1)),
        "its address is that of another member by now"
    );
    assert_eq!(verdict(hello(member(1, 3), 1)), Err(PeerRejected::DuplicateMember(1)));
    assert_eq!(
        directory.check_membership(&state, 3),
        Err(PeerRejected::Removed(3)),
        "also a peer that was accepted before"
    );
    assert_eq!(directory.check_membership(&state, 2), Ok(()));
    let other = PeerHello { lineage: 8, ..hello(member(2, 3), 1) };
    assert_eq!(verdict(other), Err(PeerRejected::DifferentGroup));
    assert_eq!(
        verdict(PeerHello { protocol: 0, ..hello(member(2, 3), 1) }),
        Err(PeerRejected::UnsupportedProtocol)
    );
}

#[test]
fn a_later_start_replaces_the_address_and_an_earlier_one_changes_nothing() {
    let (mut directory, state) = (PeerDirectory::new(member(1, 2)), group_state());
    directory.record(&state, &[member(2, 5), member(2, 4), member(4, 1)]);
    assert_eq!(directory.member(&state, 2), Some(member(2, 5)));
    assert_eq!(directory.other_members(&state), [2]);
    assert_eq!(directory.unreplicated_starts(&state), [member(2, 5), member(1, 2)]);
    directory.mark_alive(2, Timestamp::ORIGIN);
    let end = Timestamp::ORIGIN + ALIVE_WINDOW;
    assert_eq!(
        (directory.alive_members(end - Duration::from_millis(1)), directory.alive_members(end)),
        (vec![2, 1], vec![1])
    );
    let mut fresh = PeerDirectory::new(member(4, 1));
    fresh.record(&GroupState::default(), &[member(1, 1)]);
    assert_eq!(
        fresh.other_members(&GroupState::default()),
        [1],
        "a member that joins learns of the others from whoever connects"
    );
}
