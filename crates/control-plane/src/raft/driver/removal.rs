//! The end of a member that was removed from its group.
//!
//! A removal is decided by the members before it, so those that stay may need the vote of the removed one
//! until they know that it is committed. The process therefore ends only once enough of them do. A member
//! that leads transfers its leadership before it is removed, so that it does not have to commit its own
//! removal.

use std::collections::BTreeMap;

use raft::StateRole;
use raft::eraftpb::Message;

use super::RaftDriver;
use crate::raft::request::{Responder, Unavailable};

/// The index up to which each other member has reported that its log is committed.
#[derive(Debug, Default)]
pub(super) struct ReportedCommits(BTreeMap<u64, u64>);

impl ReportedCommits {
    /// Records the commit index in a message of another member, which is on disk there.
    pub(super) fn record(&mut self, message: &Message) {
        let commit = message.commit.max(message.get_snapshot().get_metadata().index);
        let reported = self.0.entry(message.from).or_default();
        *reported = commit.max(*reported);
    }

    /// The number of these members that have reported this index.
    fn count_reaching(&self, index: u64, members: impl Iterator<Item = u64>) -> usize {
        members.filter(|member| self.0.get(member).is_some_and(|commit| *commit >= index)).count()
    }
}

impl RaftDriver<'_> {
    /// Transfers the leadership to the voter that responds and has the most complete log, so that the next
    /// leader removes this member when the command is repeated.
    pub(super) fn transfer_leadership(&mut self, responder: Responder) {
        let own = self.replica.own_member.number;
        let raft = &self.raw_node.raft;
        let voters = raft
            .prs()
            .iter()
            .filter(|(member, _)| **member != own && !raft.prs().conf().learners().contains(*member));
        let successor =
            voters.max_by_key(|(member, progress)| (progress.recent_active, progress.matched, **member));
        let successor = successor.map(|(member, _)| *member);
        if let (Some(successor), None) = (successor, raft.lead_transferee) {
            tracing::info!(member = own, successor, "transferring the leadership of a member to be removed");
            self.raw_node.transfer_leader(successor);
        }
        responder(Err(Unavailable::TransferringLeadership));
    }

    /// Ends the process if this member was removed and those that stay can act without it: a leader waits for
    /// a majority of them to report the removal as committed, another member for one of them.
    pub(super) fn end_if_removed(&self) {
        let Some(index) = self.own_removal else { return };
        let own = self.replica.own_member.number;
        let voters = self.replica.lock_state().voters.clone();
        let is_leader = self.raw_node.raft.state == StateRole::Leader;
        let needed = if is_leader { voters.len() / 2 + 1 } else { 1 };
        let others = voters.into_iter().filter(|member| *member != own);
        if self.reported_commits.count_reaching(index, others) >= needed {
            self.replica.abort_process("this member was removed from its group");
        }
    }
}
