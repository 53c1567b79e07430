//! Who the other members are and where they are reached, as this member has heard of it beyond what is agreed on, and who is
//! let in.

use std::collections::BTreeMap;

use gaugestep_config::PROTOCOL;
use gaugestep_config::schema::{Member, PeerHello};

use crate::group_state::GroupState;
use crate::rollback_guard::is_stale_start;

/// A member that said nothing for this time is not here, in milliseconds.
pub const ALIVE_WINDOW: f64 = 3_000.0;
/// Bytes of both addresses of a member.
const MAX_ADDRESS_BYTES: usize = 512;

/// Why a peer is not let in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerRejected {
    /// It speaks another form.
    UnsupportedProtocol,
    /// It takes this member for another one.
    WrongMember(u64),
    /// It says that it is this very member.
    DuplicateMember(u64),
    /// It was removed, and must end.
    Removed(u64),
    /// It is of another group.
    DifferentGroup,
    /// No member has its number.
    UnknownMember(u64),
    /// A later start of it is known: it may have forgotten what it voted for, and must end.
    StaleStart {
        /// The member.
        member: u64,
        /// The start that is known, and the one that it tells.
        known: u64,
        /// See `known`.
        announced: u64,
    },
}

impl PeerRejected {
    /// Whether the peer must end: coming again will not help it, and letting it go on may do harm.
    pub fn is_fatal(&self) -> bool {
        matches!(self, PeerRejected::Removed(_) | PeerRejected::StaleStart { .. })
    }
}

impl std::fmt::Display for PeerRejected {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PeerRejected::UnsupportedProtocol => write!(f, "a hello that this build does not understand"),
            PeerRejected::WrongMember(own) => write!(f, "this is member {own}"),
            PeerRejected::DuplicateMember(own) => write!(f, "two services say that they are member {own}"),
            PeerRejected::Removed(member) => write!(f, "member {member} was removed"),
            PeerRejected::DifferentGroup => write!(f, "it is of another group"),
            PeerRejected::UnknownMember(member) => write!(f, "there is no member {member}"),
            PeerRejected::StaleStart { member, known, announced } => write!(
                f,
                "a later start of member {member} is known (number {known}, this is number {announced}): its store is older \
                 than what it has told. Remove the member, and add a new one with an empty store"
            ),
        }
    }
}

/// The directory of one member.
#[derive(Debug)]
pub struct PeerDirectory {
    own: Member,
    /// Later starts than those that are agreed on.
    newer_starts: BTreeMap<u64, Member>,
    last_seen: BTreeMap<u64, f64>,
}

impl PeerDirectory {
    /// A member that knows what is agreed on.
    pub fn new(own: Member) -> Self {
        PeerDirectory { own, newer_starts: BTreeMap::new(), last_seen: BTreeMap::new() }
    }

    /// A member as it was heard of last.
    pub fn member(&self, state: &GroupState, number: u64) -> Option<Member> {
        self.newer_starts.get(&number).or_else(|| state.members.get(&number)).cloned()
    }

    /// All members as they were heard of last, this one among them.
    pub fn all_members(&self, state: &GroupState) -> Vec<Member> {
        let known = |member: &Member| self.newer_starts.get(&member.number).unwrap_or(member).clone();
        let mut all: BTreeMap<u64, Member> =
            state.members.values().map(|it| (it.number, known(it))).collect();
        if state.lineage == 0 {
            all.extend(self.newer_starts.iter().map(|(number, member)| (*number, member.clone())));
        }
        all.insert(self.own.number, self.own.clone());
        all.into_values().collect()
    }

    /// Whom to speak to. One that has not joined yet knows the others by their word alone.
    pub fn other_members(&self, state: &GroupState) -> Vec<u64> {
        let known = if state.lineage == 0 { &self.newer_starts } else { &state.members };
        known.keys().copied().filter(|it| *it != self.own.number).collect()
    }

    /// Whether a peer that says hello is let in.
    pub fn check_hello(&self, state: &GroupState, hello: &PeerHello) -> Result<(), PeerRejected> {
        let from = hello.from.clone().unwrap_or_default();
        if hello.protocol != PROTOCOL {
            return Err(PeerRejected::UnsupportedProtocol);
        }
        if hello.to != self.own.number {
            return Err(PeerRejected::WrongMember(self.own.number));
        }
        if from.number == self.own.number {
            return Err(PeerRejected::DuplicateMember(from.number));
        }
        if state.removed.contains(&from.number) {
            return Err(PeerRejected::Removed(from.number));
        }
        if state.lineage == 0 {
            // It has not joined: whoever has it join comes to it.
            return Ok(());
        }
        if hello.lineage > 0 && hello.lineage != state.lineage {
            return Err(PeerRejected::DifferentGroup);
        }
        let Some(known) = self.member(state, from.number) else {
            return Err(PeerRejected::UnknownMember(from.number));
        };
        match is_stale_start((known.boot, known.nonce), (from.boot, from.nonce)) {
            true => {
                Err(PeerRejected::StaleStart { member: from.number, known: known.boot, announced: from.boot })
            }
            false => Ok(()),
        }
    }

    /// Whether a peer that was let in may stay.
    pub fn check_membership(&self, state: &GroupState, member: u64) -> Result<(), PeerRejected> {
        match state.removed.contains(&member) {
            true => Err(PeerRejected::Removed(member)),
            false => Ok(()),
        }
    }

    /// Takes what is said of members: a later start of one replaces what was known of it, nothing replaces a later one.
    pub fn record(&mut self, state: &GroupState, members: &[Member]) {
        for member in members.iter().filter(|it| it.number != self.own.number) {
            let known = self.newer_starts.get(&member.number).or_else(|| state.members.get(&member.number));
            let later = known.map_or(state.lineage == 0, |known| member.boot > known.boot);
            if later && member.listen.len() + member.operators.len() <= MAX_ADDRESS_BYTES {
                self.newer_starts.insert(member.number, member.clone());
            }
        }
    }

    /// Later starts than those that are agreed on, this member's own among them, which a leader has agreed on.
    pub fn unreplicated_starts(&self, state: &GroupState) -> Vec<Member> {
        let newer = |member: &&Member| {
            state.members.get(&member.number).is_some_and(|known| member.boot > known.boot)
        };
        self.newer_starts.values().chain([&self.own]).filter(newer).cloned().collect()
    }

    /// A member has said something.
    pub fn mark_alive(&mut self, member: u64, now: f64) {
        self.last_seen.insert(member, now);
    }

    /// Members that were heard of lately, this one among them.
    pub fn alive_members(&self, now: f64) -> Vec<u64> {
        let here =
            self.last_seen.iter().filter(|(_, at)| now - **at < ALIVE_WINDOW).map(|(member, _)| *member);
        here.chain([self.own.number]).collect()
    }

    /// A member is no more.
    pub fn forget(&mut self, member: u64) {
        self.newer_starts.remove(&member);
        self.last_seen.remove(&member);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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
    fn whoever_forgot_was_removed_or_is_somebody_else_is_not_let_in() {
        let (directory, state) = (PeerDirectory::new(member(1, 1)), group_state());
        let hello = |from, to| PeerHello { protocol: PROTOCOL, lineage: 9, from: Some(from), to };
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
            "its address is another's by now"
        );
        assert_eq!(verdict(hello(member(1, 3), 1)), Err(PeerRejected::DuplicateMember(1)));
        assert_eq!(
            directory.check_membership(&state, 3),
            Err(PeerRejected::Removed(3)),
            "also one that was let in before"
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
    fn a_later_start_is_reached_where_it_says_and_an_earlier_one_changes_nothing() {
        let (mut directory, state) = (PeerDirectory::new(member(1, 2)), group_state());
        directory.record(&state, &[member(2, 5), member(2, 4), member(4, 1)]);
        assert_eq!(directory.member(&state, 2), Some(member(2, 5)));
        assert_eq!(directory.other_members(&state), [2]);
        assert_eq!(directory.unreplicated_starts(&state), [member(2, 5), member(1, 2)]);
        directory.mark_alive(2, 0.0);
        assert_eq!(
            (directory.alive_members(ALIVE_WINDOW - 1.0), directory.alive_members(ALIVE_WINDOW)),
            (vec![2, 1], vec![1])
        );
        let mut fresh = PeerDirectory::new(member(4, 1));
        fresh.record(&GroupState::default(), &[member(1, 1)]);
        assert_eq!(
            fresh.other_members(&GroupState::default()),
            [1],
            "one that joins learns of the others from whoever comes"
        );
    }
}
