//! Information about the other members that is newer than the replicated state: the addresses of each member
//! since its last start, the time of its last message, and whether a peer that connects is accepted.

use std::collections::BTreeMap;
use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_config::PROTOCOL_VERSION;
use gaugestep_config::schema::{Member, PeerHello};
use thiserror::Error;

use crate::group_state::GroupState;
use crate::rollback_guard::{ProcessStart, is_stale_start};

/// The time after its last message for which a member counts as alive.
pub const ALIVE_WINDOW: Duration = Duration::from_secs(3);
/// The maximum total length of the addresses of a member.
const MAX_ADDRESS_BYTES: usize = 512;

/// The reason why a peer, a process that connects as another member, is rejected. Its text is sent to the
/// peer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PeerRejected {
    /// The peer uses another version of the protocol.
    #[error("a hello that this build does not understand")]
    UnsupportedProtocol,
    /// The peer meant to connect to another member; the number is that of this member.
    #[error("this is member {0}")]
    WrongMember(u64),
    /// The peer has the number of this member.
    #[error("two services say that they are member {0}")]
    DuplicateMember(u64),
    /// The peer was removed from the group and must stop.
    #[error("member {0} was removed")]
    Removed(u64),
    /// The peer belongs to another group.
    #[error("it is of another group")]
    DifferentGroup,
    /// No member has the number of the peer.
    #[error("there is no member {0}")]
    UnknownMember(u64),
    /// A later start of the peer is recorded, so that the peer may have lost its vote. It must stop.
    #[error(
        "a later start of member {member} is known (number {recorded_boot}, this is number \
         {announced_boot}): its store is older than what it has told. Remove the member, and add a new one \
         with an empty store"
    )]
    StaleStart {
        /// Number of the member.
        member: u64,
        /// Number of the latest recorded start.
        recorded_boot: u64,
        /// Number of the start that the peer announced.
        announced_boot: u64,
    },
}

impl PeerRejected {
    /// Whether the peer must stop, because it would be rejected again and could disturb the group while it
    /// runs.
    pub fn is_fatal(&self) -> bool {
        matches!(self, PeerRejected::Removed(_)) || self.is_stale_store()
    }

    /// Whether the store of the peer is older than the state that the peer reported, and must not be used again.
    pub fn is_stale_store(&self) -> bool {
        matches!(self, PeerRejected::StaleStart { .. })
    }
}

/// The latest information of one member about the other members.
#[derive(Debug)]
pub struct PeerDirectory {
    own: Member,
    /// Members as of starts that were later than those in the replicated state when they were recorded, by
    /// number.
    newer_starts: BTreeMap<u64, Member>,
    /// The time of the last message of each member, by number.
    last_message: BTreeMap<u64, Timestamp>,
}

fn process_start(member: &Member) -> ProcessStart {
    ProcessStart { boot: member.boot, nonce: member.nonce }
}

/// Whether this member has not joined a group yet, so that it learns of other members only from their
/// messages.
fn has_not_joined(state: &GroupState) -> bool {
    state.lineage == 0
}

impl PeerDirectory {
    /// Creates the directory of this member, with no information beyond the replicated state.
    pub fn new(own: Member) -> Self {
        PeerDirectory { own, newer_starts: BTreeMap::new(), last_message: BTreeMap::new() }
    }

    /// A member as of its latest recorded start; `None` if no member has this number.
    pub fn member(&self, state: &GroupState, number: u64) -> Option<Member> {
        self.latest(state, number).cloned()
    }

    /// All members, including this one, as of their latest recorded starts.
    pub fn all_members(&self, state: &GroupState) -> Vec<Member> {
        let mut all: BTreeMap<u64, Member> =
            state.members.iter().map(|(number, member)| (*number, self.later(member).clone())).collect();
        if has_not_joined(state) {
            all.extend(self.newer_starts.iter().map(|(number, member)| (*number, member.clone())));
        }
        all.insert(self.own.number, self.own.clone());
        all.into_values().collect()
    }

    /// The numbers of the members to connect to.
    pub fn other_members(&self, state: &GroupState) -> Vec<u64> {
        let members = if has_not_joined(state) { &self.newer_starts } else { &state.members };
        members.keys().copied().filter(|number| *number != self.own.number).collect()
    }

    /// Checks the hello of a peer.
    ///
    /// # Errors
    ///
    /// [`PeerRejected`] with the reason if the peer must not be accepted.
    pub fn check_hello(&self, state: &GroupState, hello: &PeerHello) -> Result<(), PeerRejected> {
        let from = hello.from.clone().unwrap_or_default();
        if hello.protocol != PROTOCOL_VERSION {
            return Err(PeerRejected::UnsupportedProtocol);
        }
        if hello.to != self.own.number {
            return Err(PeerRejected::WrongMember(self.own.number));
        }
        if from.number == self.own.number {
            return Err(PeerRejected::DuplicateMember(from.number));
        }
        self.check_membership(state, from.number)?;
        if has_not_joined(state) {
            // The member that adds this one to its group connects to it.
            return Ok(());
        }
        if hello.lineage > 0 && hello.lineage != state.lineage {
            return Err(PeerRejected::DifferentGroup);
        }
        let Some(latest) = self.latest(state, from.number) else {
            return Err(PeerRejected::UnknownMember(from.number));
        };
        match is_stale_start(process_start(latest), process_start(&from)) {
            true => Err(PeerRejected::StaleStart {
                member: from.number,
                recorded_boot: latest.boot,
                announced_boot: from.boot,
            }),
            false => Ok(()),
        }
    }

    /// Checks that a member was not removed from the group.
    ///
    /// # Errors
    ///
    /// [`PeerRejected::Removed`] if it was removed.
    pub fn check_membership(&self, state: &GroupState, member: u64) -> Result<(), PeerRejected> {
        match state.removed.contains(&member) {
            true => Err(PeerRejected::Removed(member)),
            false => Ok(()),
        }
    }

    /// Records the members that a peer reports. A later start of a member replaces an earlier one; an earlier
    /// start is ignored.
    pub fn record(&mut self, state: &GroupState, members: &[Member]) {
        for member in members.iter().filter(|member| member.number != self.own.number) {
            let is_newer = match self.latest(state, member.number) {
                Some(latest) => member.boot > latest.boot,
                None => has_not_joined(state),
            };
            if is_newer && member.listen.len() + member.operators.len() <= MAX_ADDRESS_BYTES {
                self.newer_starts.insert(member.number, member.clone());
            }
        }
    }

    /// Members, including this one, whose latest start is not in the replicated state yet. A leader proposes
    /// them.
    pub fn unreplicated_starts(&self, state: &GroupState) -> Vec<Member> {
        let is_newer = |member: &&Member| {
            state.members.get(&member.number).is_some_and(|replicated| member.boot > replicated.boot)
        };
        self.newer_starts.values().chain([&self.own]).filter(is_newer).cloned().collect()
    }

    /// Records that a message of a member arrived.
    pub fn mark_alive(&mut self, member: u64, now: Timestamp) {
        self.last_message.insert(member, now);
    }

    /// Members that sent a message within [`ALIVE_WINDOW`], and this one.
    pub fn alive_members(&self, now: Timestamp) -> Vec<u64> {
        let alive = self.last_message.iter().filter(|(_, at)| now.duration_since(**at) < ALIVE_WINDOW);
        alive.map(|(member, _)| *member).chain([self.own.number]).collect()
    }

    /// Discards the information about a member that was removed from the group.
    pub fn forget(&mut self, member: u64) {
        self.newer_starts.remove(&member);
        self.last_message.remove(&member);
    }

    /// A member as of its latest recorded start.
    fn latest<'a>(&'a self, state: &'a GroupState, number: u64) -> Option<&'a Member> {
        match state.members.get(&number) {
            Some(replicated) => Some(self.later(replicated)),
            None => self.newer_starts.get(&number),
        }
    }

    /// A member as of its replicated start or of the recorded one, whichever is later.
    fn later<'a>(&'a self, replicated: &'a Member) -> &'a Member {
        let recorded = self.newer_starts.get(&replicated.number);
        recorded.filter(|recorded| recorded.boot > replicated.boot).unwrap_or(replicated)
    }
}
