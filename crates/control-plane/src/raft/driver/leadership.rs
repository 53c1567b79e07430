//! Leases, and the tasks of the Raft leader.

use gaugestep_clock::Timestamp;
use gaugestep_config::schema::act::What;
use gaugestep_config::schema::peer::Said;
use gaugestep_config::schema::{Renew, Renewed, Yield};
use gaugestep_leadership::NO_MEMBER;
use gaugestep_leadership::group_state::Command;
use gaugestep_leadership::lease::LeaseAction;
use raft::StateRole;

use super::RaftDriver;
use crate::clock;
use crate::raft::request::ignore_result;
use crate::raft::state::ReplicaState;

impl RaftDriver<'_> {
    /// Does the work that depends on the time: due proposals, this member's lease, and the leader's tasks.
    ///
    /// With `all_roles` it also checks the holder of each role and looks for stalled hand-overs. That is done
    /// only at ticks and after changes: a group may have thousands of roles, and iterating over them after
    /// each message would be costly even for an idle group.
    pub(super) fn maintain_leases(&mut self, all_roles: bool) {
        let now = clock::now();
        self.propose_due(now);
        let is_leader =
            self.raw_node.raft.state == StateRole::Leader && self.raw_node.raft.commit_to_current_term();
        self.grantor.set_leading(now, is_leader);
        self.update_leader();
        self.request_lease(now);
        if all_roles {
            self.raise_stalled_terms(now);
        }
        if is_leader {
            self.propose_restarted_members();
            self.promote_learner();
        }
        let actions = match all_roles {
            true => self.lease_actions(now, is_leader),
            false => Vec::from_iter(self.grantor.next_confirmation(now)),
        };
        self.execute_lease_actions(actions);
    }

    fn update_leader(&self) {
        let leader = self.raw_node.raft.leader_id;
        let mut state = self.replica.lock_state();
        if state.leader != leader {
            let (member, term) = (self.replica.own_member.number, self.raw_node.raft.term);
            tracing::info!(member, leader, term, "leader changed");
            state.leader = leader;
        }
    }

    /// Requests this member's lease from the leader if a request is due.
    fn request_lease(&mut self, now: Timestamp) {
        let (leader, own) = (self.raw_node.raft.leader_id, self.replica.own_member.number);
        if leader == NO_MEMBER {
            return;
        }
        let Some(number) = self.replica.lock_state().lease.next_request(now) else { return };
        if leader == own {
            self.grantor.on_request(now, own, number);
        } else {
            // A lost request is replaced by the next one.
            self.replica.links.send(leader, Said::Renew(Renew { member: own, number }));
        }
    }

    /// Raises the terms of roles whose hand-over was not committed in time, so that this member continues
    /// under a higher term: the hand-over under the old term may still be committed.
    fn raise_stalled_terms(&self, now: Timestamp) {
        let stalled = {
            let mut state = self.replica.lock_state();
            let ReplicaState { lease, group, .. } = &mut *state;
            let roles = group.roles_of(self.replica.own_member.number);
            lease.stalled_handovers(now, roles.map(|role| (role.name.as_str(), role.term)))
        };
        for (role, term) in stalled {
            tracing::warn!(role, term, "a hand-over was not committed: continuing under a higher term");
            let what = Some(What::Raise(term));
            self.replica.propose(Command { duty: role, term, what, ..Command::default() }, ignore_result());
        }
    }

    /// Proposes the new addresses and start numbers of members that have restarted since theirs were last
    /// committed.
    fn propose_restarted_members(&mut self) {
        let members = {
            let state = self.replica.lock_state();
            state.peers.unreplicated_starts(&state.group)
        };
        for member in members {
            let what = Some(What::Member(member));
            if !self.proposals.contains(|command| command.what == what) {
                let by = self.replica.own_member.number;
                self.on_propose(Command { by, what, ..Command::default() }, ignore_result());
            }
        }
    }

    /// The actions that the leader must take for the leases of all members; none on other members.
    fn lease_actions(&mut self, now: Timestamp, is_leader: bool) -> Vec<LeaseAction> {
        if !is_leader {
            return Vec::new();
        }
        let (roles, voters) = {
            let state = self.replica.lock_state();
            (state.role_holders(), state.voters.clone())
        };
        self.grantor.tick(now, &roles, &voters)
    }

    pub(super) fn execute_lease_actions(&mut self, actions: Vec<LeaseAction>) {
        for action in actions {
            match action {
                LeaseAction::ConfirmLeadership(number) => {
                    self.raw_node.read_index(number.to_be_bytes().to_vec());
                }
                LeaseAction::Grant { member, number } => self.grant_lease(member, number),
                LeaseAction::Assign { role, term, to } => {
                    tracing::info!(role, term, to, "assigning a role");
                    let what = Some(What::Assign(to));
                    let by = self.replica.own_member.number;
                    self.on_propose(Command { duty: role, term, by, what }, ignore_result());
                }
                LeaseAction::RequestHandOver { role, term, from, to } => {
                    tracing::info!(role, term, from, to, "requesting the hand-over of a role");
                    self.request_hand_over(from, Yield { duty: role, term, to });
                }
            }
        }
    }

    fn grant_lease(&self, member: u64, number: u64) {
        let committed_index = self.raw_node.raft.raft_log.committed;
        if member == self.replica.own_member.number {
            self.replica.lock_state().lease.on_granted(number, committed_index);
        } else {
            let granted = Renewed { member, number, applied: committed_index };
            self.replica.links.send(member, Said::Renewed(granted));
        }
    }

    fn request_hand_over(&self, from: u64, request: Yield) {
        if from == self.replica.own_member.number {
            self.on_hand_over(&request);
        } else {
            self.replica.links.send(from, Said::Yield(request));
        }
    }
}
