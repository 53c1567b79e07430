//! Handling of requests to the replica's thread: proposals, membership changes, and messages of other
//! members.

use gaugestep_clock::Timestamp;
use gaugestep_config::schema::{Member, Yield};
use gaugestep_leadership::group_state::{Command, CommandRejected, Outcome};
use gaugestep_leadership::pending_proposals::Proposal;
use prost::Message as _;
use raft::SnapshotStatus;
use raft::eraftpb::{ConfChange, ConfChangeType, Message, MessageType};

use super::{CommittedProposal, RaftDriver};
use crate::raft::recovery;
use crate::raft::request::{Request, Responder, Unavailable, ignore_result, reject};
use crate::{clock, failpoints};

/// The length of a proposal's context: three 8-byte numbers.
const CONTEXT_BYTES: usize = 24;
/// The length of the part of the context that identifies the process.
const PROCESS_CONTEXT_BYTES: usize = 16;

impl RaftDriver<'_> {
    pub(super) fn handle(&mut self, request: Request) {
        match request {
            Request::Propose { command, responder } => self.on_propose(*command, responder),
            Request::AddMember { member, responder } => self.on_add_member(&member, responder),
            Request::RemoveMember { member, responder } => self.on_remove_member(member, responder),
            Request::Step(message) => self.on_message(*message),
            Request::GrantLease { member, number } => {
                self.grantor.on_request(clock::now(), member, number);
            }
            Request::HandOver(request) => self.on_hand_over(&request),
            Request::ReportUnreachable { member } => {
                self.raw_node.report_unreachable(member);
                self.raw_node.report_snapshot(member, SnapshotStatus::Failure);
            }
            Request::RejectStore { reason } => self.reject_store(&reason),
            Request::ReportSnapshot { member, sent } => {
                let status = if sent { SnapshotStatus::Finish } else { SnapshotStatus::Failure };
                self.raw_node.report_snapshot(member, status);
            }
        }
    }

    pub(super) fn on_propose(&mut self, command: Command, responder: Responder) {
        let now = clock::now();
        match self.proposals.add_command(now, command) {
            Ok(number) => {
                self.responders.insert(number, responder);
                self.propose_due(now);
            }
            Err(too_many) => responder(Err(too_many.into())),
        }
    }

    /// Proposes the commands that are due, and responds to those that have timed out.
    pub(super) fn propose_due(&mut self, now: Timestamp) {
        let due = self.proposals.due(now);
        for Proposal { number, command } in due.propose {
            // Without a leader the library drops the proposal; it is retried later.
            let _ = self.raw_node.propose(self.context(number), command.encode_to_vec());
        }
        for number in due.timed_out {
            if let Some(responder) = self.responders.remove(&number) {
                responder(Err(Unavailable::NoMajority));
            }
        }
    }

    /// Responds to the proposals of this process that were committed in this iteration.
    pub(super) fn respond_to_committed(&mut self) {
        for CommittedProposal { number, outcome } in std::mem::take(&mut self.committed) {
            let Some(responder) = self.responders.remove(&number) else { continue };
            if self.proposals.complete(number) {
                responder(Ok(outcome));
            }
        }
    }

    fn on_add_member(&mut self, member: &Member, responder: Responder) {
        if let Err(rejected) = self.replica.with_state(|group| group.check_join(member)) {
            return reject(responder, rejected);
        }
        // A new member starts as a learner: a majority must not depend on a member whose log is empty.
        let mut change = membership_change(ConfChangeType::AddLearnerNode, member.number);
        change.context = member.encode_to_vec().into();
        self.propose_membership_change(change, responder);
    }

    fn on_remove_member(&mut self, member: u64, responder: Responder) {
        if self.replica.with_state(|group| group.removed.contains(&member)) {
            // The command was carried out, and its response was lost.
            return responder(Ok(Outcome::Applied));
        }
        if !self.replica.with_state(|group| group.members.contains_key(&member)) {
            return reject(responder, CommandRejected::UnknownMember(member));
        }
        let removes_itself = member == self.replica.own_member.number;
        if removes_itself && self.replica.is_single_voter() {
            return reject(responder, CommandRejected::LastMember);
        }
        if removes_itself && !failpoints::is_check_disabled("transfer") {
            return self.transfer_leadership(responder);
        }
        self.propose_membership_change(membership_change(ConfChangeType::RemoveNode, member), responder);
    }

    /// Proposes to make a voter of a learner that has caught up.
    pub(super) fn promote_learner(&mut self) {
        let committed = self.raw_node.raft.raft_log.committed;
        let progress_tracker = self.raw_node.raft.prs();
        let has_caught_up = |member: &&u64| {
            progress_tracker.get(**member).is_some_and(|progress| progress.matched >= committed)
        };
        let Some(member) = progress_tracker.conf().learners().iter().find(has_caught_up).copied() else {
            return;
        };
        tracing::info!(member, "a member has caught up");
        self.propose_membership_change(membership_change(ConfChangeType::AddNode, member), ignore_result());
    }

    fn propose_membership_change(&mut self, change: ConfChange, responder: Responder) {
        let number = match self.proposals.add_membership_change(clock::now()) {
            Ok(number) => number,
            Err(too_many) => return responder(Err(too_many.into())),
        };
        match self.raw_node.propose_conf_change(self.context(number), change) {
            Ok(()) => {
                self.responders.insert(number, responder);
            }
            Err(_) => {
                self.proposals.complete(number);
                responder(Err(Unavailable::MembershipChangeRejected));
            }
        }
    }

    fn on_message(&mut self, message: Message) {
        let is_heartbeat = message.get_msg_type() == MessageType::MsgHeartbeat;
        if is_heartbeat && message.commit > self.raw_node.raft.raft_log.last_index() {
            // This member has lost entries that it acknowledged. The library would panic.
            self.replica.abort_process(
                "the store has lost acknowledged log entries: remove this member, and add a new one",
            );
        }
        self.reported_commits.record(&message);
        // An error means that the message can be ignored, for example one of a former member.
        let _ = self.raw_node.step(message);
    }

    fn reject_store(&self, reason: &str) {
        if let Err(error) = recovery::mark_rejected(&self.replica.settings, self.replica.own_member.boot) {
            tracing::error!("the store cannot be marked as rejected: {error}");
        }
        self.replica.abort_process(reason);
    }

    pub(super) fn on_hand_over(&self, request: &Yield) {
        if self.replica.acting_term(&request.duty) == Some(request.term) {
            self.replica.hand_over(&request.duty, request.term, request.to, ignore_result());
        }
    }

    /// The context of a proposal, which identifies the process and the proposal.
    fn context(&self, number: u64) -> Vec<u8> {
        let own = &self.replica.own_member;
        [own.number, own.nonce, number].map(u64::to_be_bytes).concat()
    }

    /// The number of a proposal, if this process proposed it; `None` otherwise.
    pub(super) fn own_proposal_number(&self, context: &[u8]) -> Option<u64> {
        if context.len() != CONTEXT_BYTES {
            return None;
        }
        let (process, number) = context.split_at(PROCESS_CONTEXT_BYTES);
        let number = u64::from_be_bytes(number.try_into().ok()?);
        (process == &self.context(number)[..PROCESS_CONTEXT_BYTES]).then_some(number)
    }
}

fn membership_change(kind: ConfChangeType, member: u64) -> ConfChange {
    let mut change = ConfChange { node_id: member, ..ConfChange::default() };
    change.set_change_type(kind);
    change
}
