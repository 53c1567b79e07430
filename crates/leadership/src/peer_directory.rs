//! The other members as this member knows them beyond the replicated state: where each is reached since its last start,
//! which were seen lately, and whether a peer that connects may take part.

use std::collections::BTreeMap;
use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_config::PROTOCOL_VERSION;
use gaugestep_config::schema::{Member, PeerHello};
use thiserror::Error;

use crate::group_state::GroupState;
use crate::rollback_guard::{ProcessStart, is_stale_start};

/// A member counts as alive for this time after its last message.
pub const ALIVE_WINDOW: Duration = Duration::from_secs(3);
/// The most bytes of a member's addresses together.
const MAX_ADDRESS_BYTES: usize = 512;

/// Why a peer may not take part; the text is sent to it.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PeerRejected {
    /// It speaks another version of the protocol.
    #[error("a hello that this build does not understand")]
    UnsupportedProtocol,
    /// It takes this member, whose number is given, for another one.
    #[error("this is member {0}")]
    WrongMember(u64),
    /// It claims to be this very member.
    #[error("two services say that they are member {0}")]
    DuplicateMember(u64),
    /// It was removed, and must stop.
    #[error("member {0} was removed")]
    Removed(u64),
    /// It belongs to another group.
    #[error("it is of another group")]
    DifferentGroup,
    /// No member has its number.
    #[error("there is no member {0}")]
    UnknownMember(u64),
    /// A later start of it is known: it may have forgotten its vote, and must stop.
    #[error(
        "a later start of member {member} is known (number {known}, this is number {announced}): its store is older \
         than what it has told. Remove the member, and add a new one with an empty store"
    )]
    StaleStart {
        /// The member.
        member: u64,
        /// The number of the start that is known.
        known: u64,
        /// The number of the start that the peer announces.
        announced: u64,
    },
}

impl PeerRejected {
    /// Whether the peer must stop: it would be rejected again, and may do harm as long as it runs.
    pub fn is_fatal(&self) -> bool {
        matches!(self, PeerRejected::Removed(_) | PeerRejected::StaleStart { .. })
    }
}

/// What one member knows of the others.
#[derive(Debug)]
pub struct PeerDirectory {
    own: Member,
    /// Members as of a later start than the replicated state has.
    newer_starts: BTreeMap<u64, Member>,
    last_seen: BTreeMap<u64, Timestamp>,
}

fn process_start(member: &Member) -> ProcessStart {
    ProcessStart { boot: member.boot, nonce: member.nonce }
}

/// Whether this member has not joined a group yet, and knows the others only by what they say.
fn has_not_joined(state: &GroupState) -> bool {
    state.lineage == 0
}

impl PeerDirectory {
    /// The directory of a member that knows only the replicated state.
    pub fn new(own: Member) -> Self {
        PeerDirectory { own, newer_starts: BTreeMap::new(), last_seen: BTreeMap::new() }
    }

    /// A member, as of its latest known start.
    pub fn member(&self, state: &GroupState, number: u64) -> Option<Member> {
        self.latest(state, number).cloned()
    }

    /// All members as of their latest known starts, this one among them.
    pub fn all_members(&self, state: &GroupState) -> Vec<Member> {
        let latest = |member: &Member| self.newer_starts.get(&member.number).unwrap_or(member).clone();
        let mut all: BTreeMap<u64, Member> =
            state.members.values().map(|member| (member.number, latest(member))).collect();
        if has_not_joined(state) {
            all.extend(self.newer_starts.iter().map(|(number, member)| (*number, member.clone())));
        }
        all.insert(self.own.number, self.own.clone());
        all.into_values().collect()
    }

    /// The numbers of the members to connect to.
    pub fn other_members(&self, state: &GroupState) -> Vec<u64> {
        let known = if has_not_joined(state) { &self.newer_starts } else { &state.members };
        known.keys().copied().filter(|number| *number != self.own.number).collect()
    }

    /// Checks the hello of a peer.
    ///
    /// # Errors
    ///
    /// Why the peer may not take part.
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
            // Whichever member adds this one connects to it.
            return Ok(());
        }
        if hello.lineage > 0 && hello.lineage != state.lineage {
            return Err(PeerRejected::DifferentGroup);
        }
        let Some(known) = self.latest(state, from.number) else {
            return Err(PeerRejected::UnknownMember(from.number));
        };
        match is_stale_start(process_start(known), process_start(&from)) {
            true => {
                Err(PeerRejected::StaleStart { member: from.number, known: known.boot, announced: from.boot })
            }
            false => Ok(()),
        }
    }

    /// Checks that a peer which was accepted was not removed since.
    ///
    /// # Errors
    ///
    /// [`PeerRejected::Removed`].
    pub fn check_membership(&self, state: &GroupState, member: u64) -> Result<(), PeerRejected> {
        match state.removed.contains(&member) {
            true => Err(PeerRejected::Removed(member)),
            false => Ok(()),
        }
    }

    /// Records members as a peer reports them: a later start replaces what was known, nothing replaces a later one.
    pub fn record(&mut self, state: &GroupState, members: &[Member]) {
        for member in members.iter().filter(|member| member.number != self.own.number) {
            let is_newer = match self.latest(state, member.number) {
                Some(known) => member.boot > known.boot,
                None => has_not_joined(state),
            };
            if is_newer && member.listen.len() + member.operators.len() <= MAX_ADDRESS_BYTES {
                self.newer_starts.insert(member.number, member.clone());
            }
        }
    }

    /// Members, this one among them, as of a later start than the replicated state has. A leader proposes them.
    pub fn unreplicated_starts(&self, state: &GroupState) -> Vec<Member> {
        let is_newer = |member: &&Member| {
            state.members.get(&member.number).is_some_and(|known| member.boot > known.boot)
        };
        self.newer_starts.values().chain([&self.own]).filter(is_newer).cloned().collect()
    }

    /// A member has sent something.
    pub fn mark_alive(&mut self, member: u64, now: Timestamp) {
        self.last_seen.insert(member, now);
    }

    /// Members that sent something within [`ALIVE_WINDOW`], and this one.
    pub fn alive_members(&self, now: Timestamp) -> Vec<u64> {
        let alive = self.last_seen.iter().filter(|(_, at)| now.duration_since(**at) < ALIVE_WINDOW);
        alive.map(|(member, _)| *member).chain([self.own.number]).collect()
    }

    /// A member was removed from the group.
    pub fn forget(&mut self, member: u64) {
        self.newer_starts.remove(&member);
        self.last_seen.remove(&member);
    }

    fn latest<'a>(&'a self, state: &'a GroupState, number: u64) -> Option<&'a Member> {
        self.newer_starts.get(&number).or_else(|| state.members.get(&number))
    }
}
