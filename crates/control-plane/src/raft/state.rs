//! The state that the coroutines and the thread of a replica share.

use std::collections::{BTreeMap, BTreeSet};

use gaugestep_clock::Timestamp;
use gaugestep_config::schema::{Duties, Duty, DutyState, Member, Members};
use gaugestep_leadership::group_state::GroupState;
use gaugestep_leadership::lease::{LeaseSession, LeaseTiming};
use gaugestep_leadership::peer_directory::PeerDirectory;
use gaugestep_leadership::{NO_MEMBER, RoleHolder};

/// The shared state of a replica. Only the replica's thread changes [`ReplicaState::group`].
pub(crate) struct ReplicaState {
    /// The replicated state, up to `applied_index`.
    pub(crate) group: GroupState,
    /// The index of the last log entry that was applied.
    pub(crate) applied_index: u64,
    /// The lease of this member, which covers all its roles.
    pub(crate) lease: LeaseSession,
    /// The number of the Raft leader; [`NO_MEMBER`] if this member knows of none.
    pub(crate) leader: u64,
    /// The members that vote. The remaining members are learners that are catching up.
    pub(crate) voters: BTreeSet<u64>,
    /// Information about the other members that is not replicated, such as their latest starts.
    pub(crate) peers: PeerDirectory,
    /// The time at which this member applied the latest change of holder, by role.
    pub(crate) holder_since: BTreeMap<String, Timestamp>,
    /// The number of commands rejected for a stale term, by role.
    pub(crate) stale_commands: BTreeMap<String, u64>,
    /// The reason why the store cannot be used at present; `None` while it works.
    pub(crate) store_failure: Option<String>,
}

impl ReplicaState {
    /// The state of a starting member. The numbers of its lease requests follow `last_request`.
    pub(crate) fn new(own: Member, group: GroupState, last_request: u64) -> Self {
        ReplicaState {
            group,
            applied_index: 0,
            lease: LeaseSession::new(LeaseTiming::default(), last_request),
            leader: NO_MEMBER,
            voters: BTreeSet::new(),
            peers: PeerDirectory::new(own),
            holder_since: BTreeMap::new(),
            stale_commands: BTreeMap::new(),
            store_failure: None,
        }
    }

    /// Whether this member has its lease, and has applied the log up to where the lease was granted.
    pub(crate) fn has_lease(&self, now: Timestamp) -> bool {
        self.lease.is_valid(now, self.applied_index)
    }

    /// Whether this member may act for a role under a term.
    pub(crate) fn may_act(&self, now: Timestamp, role: &str, term: u64) -> bool {
        self.lease.may_act(now, self.applied_index, role, term)
    }

    /// The holder of every role.
    pub(crate) fn role_holders(&self) -> BTreeMap<String, RoleHolder> {
        self.group.roles.keys().map(|role| (role.clone(), self.group.holder(role))).collect()
    }

    /// The report for the command `members`.
    pub(crate) fn member_report(&self, own: u64, now: Timestamp) -> Members {
        let mut members = self.peers.all_members(&self.group);
        members.retain(|member| self.group.members.contains_key(&member.number));
        Members {
            own,
            leader: self.leader,
            members,
            heard: self.peers.alive_members(now),
            voters: self.voters.iter().copied().collect(),
        }
    }

    /// The report for the command `duties`.
    pub(crate) fn role_report(&self, now: Timestamp) -> Duties {
        let report = |role: &Duty| {
            let holder_since = self.holder_since.get(&role.name);
            DutyState {
                name: role.name.clone(),
                owner: role.owner,
                term: role.term,
                changes: role.changes,
                held_ms: holder_since.map_or(0, |since| now.duration_since(*since).as_millis() as u64),
                stale: self.stale_commands.get(&role.name).copied().unwrap_or(0),
            }
        };
        Duties { duties: self.group.roles.values().map(report).collect() }
    }
}
