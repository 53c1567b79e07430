//! Leases from the side of the leader, which grants them and reassigns roles whose holder has no lease.

use std::collections::{BTreeMap, BTreeSet};

use gaugestep_clock::Timestamp;

use super::LeaseTiming;
use crate::assignment::{Reassignment, rebalance};
use crate::{NO_MEMBER, RoleHolder};

/// The limit of lease requests that wait for a confirmation. Further ones are dropped; their members send
/// them again.
const MAX_UNCONFIRMED_REQUESTS: usize = 64;

/// An action for the embedder of a leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Have a majority confirm that this member still leads, then call [`LeaseGrantor::on_confirmed`] with
    /// this number, which identifies the confirmation.
    ConfirmLeadership(u64),
    /// Notify a member that its lease is granted.
    Grant {
        /// Number of the member.
        member: u64,
        /// Number of the lease request.
        number: u64,
    },
    /// Propose to assign a role to a member.
    Assign {
        /// Name of the role.
        role: String,
        /// The current term of the role, which the assignment replaces.
        term: u64,
        /// Number of the member.
        to: u64,
    },
    /// Ask the holder of a role to hand it over.
    RequestHandOver {
        /// Name of the role.
        role: String,
        /// Term of the role.
        term: u64,
        /// The holder of the role.
        from: u64,
        /// The member that should hold the role.
        to: u64,
    },
}

/// The request of a member for its lease.
#[derive(Clone, Copy, Debug)]
struct LeaseRequest {
    member: u64,
    number: u64,
}

/// A confirmation of the leadership that is under way.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    number: u64,
    requested_at: Timestamp,
}

/// A change of the holder of a role that was proposed while the role had this term.
#[derive(Clone, Copy, Debug)]
struct ProposedMove {
    term: u64,
    proposed_at: Timestamp,
    /// The member whose role is assigned to another one without its consent; `None` for a hand-over.
    replaces: Option<u64>,
}

/// Grants leases while this member leads.
#[derive(Debug)]
pub struct LeaseGrantor {
    timing: LeaseTiming,
    /// `None` while this member does not lead.
    leading_since: Option<Timestamp>,
    /// The time of the last lease request of each member.
    last_request: BTreeMap<u64, Timestamp>,
    /// The voting members at the last tick.
    voters: BTreeSet<u64>,
    /// When the leases of all members that were removed under this leader have expired.
    former_leases_expire_at: Option<Timestamp>,
    /// Requests that arrived after the last confirmation was started.
    unconfirmed: Vec<LeaseRequest>,
    /// Requests that are granted when the confirmation under way succeeds.
    confirming_requests: Vec<LeaseRequest>,
    confirmation: Option<Confirmation>,
    last_confirmation_number: u64,
    /// The last proposed change of holder of each role.
    proposed_moves: BTreeMap<String, ProposedMove>,
}

impl LeaseGrantor {
    /// Creates the grantor of a member that does not lead.
    pub fn new(timing: LeaseTiming) -> Self {
        LeaseGrantor {
            timing,
            leading_since: None,
            last_request: BTreeMap::new(),
            voters: BTreeSet::new(),
            former_leases_expire_at: None,
            unconfirmed: Vec::new(),
            confirming_requests: Vec::new(),
            confirmation: None,
            last_confirmation_number: 0,
            proposed_moves: BTreeMap::new(),
        }
    }

    /// Sets whether this member leads. A new leader does not know when its predecessor granted leases, and
    /// therefore treats each member as if it had requested its lease at `now`.
    pub fn set_leading(&mut self, now: Timestamp, leading: bool) {
        if leading == self.leading_since.is_some() {
            return;
        }
        *self = LeaseGrantor {
            leading_since: leading.then_some(now),
            last_confirmation_number: self.last_confirmation_number,
            ..LeaseGrantor::new(self.timing)
        };
    }

    /// Handles the lease request of a member. Ignored unless this member leads, and while the assignment of a
    /// role of that member to another one may still be committed: the member would act beside its successor.
    pub fn on_request(&mut self, now: Timestamp, member: u64, number: u64) {
        let is_replaced = self.proposed_moves.values().any(|proposed| proposed.replaces == Some(member));
        let has_room = self.unconfirmed.len() < MAX_UNCONFIRMED_REQUESTS;
        if self.leading_since.is_some() && has_room && !is_replaced {
            self.last_request.insert(member, now);
            self.unconfirmed.push(LeaseRequest { member, number });
        }
    }

    /// Handles the confirmation with this number by a majority, and returns the grants of the requests that
    /// it covers.
    pub fn on_confirmed(&mut self, number: u64) -> Vec<LeaseAction> {
        if self.confirmation.is_none_or(|confirmation| confirmation.number != number) {
            return Vec::new();
        }
        self.confirmation = None;
        let grant = |LeaseRequest { member, number }| LeaseAction::Grant { member, number };
        std::mem::take(&mut self.confirming_requests).into_iter().map(grant).collect()
    }

    /// Members that requested a lease from this leader and whose lease may not have expired.
    pub fn live_members(&self, now: Timestamp) -> BTreeSet<u64> {
        self.last_request.keys().copied().filter(|member| self.may_hold_lease(now, *member)).collect()
    }

    /// Starts the next confirmation if requests wait for one and none is under way. Its cost does not depend
    /// on the number of roles, so that it may be called after every message, unlike [`LeaseGrantor::tick`].
    pub fn next_confirmation(&mut self, now: Timestamp) -> Option<LeaseAction> {
        let under_way = self.confirmation.is_some_and(|confirmation| {
            now.duration_since(confirmation.requested_at) < self.timing.retry_interval
        });
        let no_requests = self.unconfirmed.is_empty() && self.confirming_requests.is_empty();
        if self.leading_since.is_none() || under_way || no_requests {
            return None;
        }
        self.last_confirmation_number += 1;
        let number = self.last_confirmation_number;
        // Requests of a confirmation that was lost are dropped; their members send them again.
        self.confirming_requests = std::mem::take(&mut self.unconfirmed);
        self.confirmation = Some(Confirmation { number, requested_at: now });
        Some(LeaseAction::ConfirmLeadership(number))
    }

    /// Returns the actions that are due, given the holders of all roles and the numbers of the voting
    /// members.
    pub fn tick(
        &mut self,
        now: Timestamp,
        roles: &BTreeMap<String, RoleHolder>,
        members: &BTreeSet<u64>,
    ) -> Vec<LeaseAction> {
        if self.leading_since.is_none() {
            return Vec::new();
        }
        self.update_voters(members);
        self.proposed_moves
            .retain(|role, proposed| roles.get(role).is_some_and(|holder| holder.term == proposed.term));
        let mut actions = Vec::from_iter(self.next_confirmation(now));
        // Only members that requested a lease are assigned roles. A member whose lease may not have expired
        // keeps its roles.
        let live: BTreeSet<u64> = self.live_members(now).intersection(members).copied().collect();
        let holders: BTreeMap<String, Option<u64>> = roles
            .iter()
            .map(|(role, holder)| (role.clone(), self.current_holder(now, holder.member, members)))
            .collect();
        let any_holder_silent = holders.values().flatten().any(|holder| !live.contains(holder));
        for reassignment in rebalance(&holders, &live) {
            let Some(holder) = roles.get(&reassignment.role).copied() else { continue };
            let RoleHolder { member, term } = holder;
            let has_holder = holders.get(&reassignment.role).copied().flatten().is_some();
            // Roles are not rebalanced while a holder is silent, because it may return at any time.
            let must_wait =
                if has_holder { any_holder_silent } else { self.former_member_may_act(now, holder, members) };
            let Reassignment { role, from, to } = reassignment;
            let replaces = (from.is_none() && member != NO_MEMBER).then_some(member);
            let proposed = ProposedMove { term, proposed_at: now, replaces };
            if must_wait || !self.may_propose(&role, proposed) {
                continue;
            }
            actions.push(match from {
                None => LeaseAction::Assign { role, term, to },
                Some(_) => LeaseAction::RequestHandOver { role, term, from: member, to },
            });
        }
        actions
    }

    /// Whether the lease of a member may not have expired yet.
    fn may_hold_lease(&self, now: Timestamp, member: u64) -> bool {
        let since = self.last_request.get(&member).copied().or(self.leading_since);
        since.is_some_and(|since| now.duration_since(since) < self.timing.expiry_grace())
    }

    /// Records which members were removed since the last tick, and when their leases have expired.
    fn update_voters(&mut self, members: &BTreeSet<u64>) {
        for former in self.voters.difference(members) {
            let since = self.last_request.remove(former).or(self.leading_since);
            let expires_at = since.map(|since| since + self.timing.expiry_grace());
            self.former_leases_expire_at = self.former_leases_expire_at.max(expires_at);
        }
        self.voters.clone_from(members);
    }

    /// Whether a member that was removed may still act for this role, because it holds the lease under which it
    /// was the holder. A new leader does not know which members were removed when, and waits for all of them.
    ///
    /// A lease that is granted after the removal was committed needs no waiting: the removed member must apply
    /// its removal before it acts under that lease.
    fn former_member_may_act(&self, now: Timestamp, holder: RoleHolder, members: &BTreeSet<u64>) -> bool {
        let was_held = holder.term > 0;
        let unknown_leases_expire_at = self.leading_since.map(|since| since + self.timing.expiry_grace());
        let expires_at = self.former_leases_expire_at.max(unknown_leases_expire_at);
        was_held && !members.contains(&holder.member) && expires_at.is_some_and(|at| now < at)
    }

    /// The holder of a role if it is a member whose lease may not have expired; otherwise `None`.
    fn current_holder(&self, now: Timestamp, holder: u64, members: &BTreeSet<u64>) -> Option<u64> {
        let is_current = holder != NO_MEMBER && members.contains(&holder) && self.may_hold_lease(now, holder);
        is_current.then_some(holder)
    }

    /// Whether a change of the holder of this role may be proposed now: no other one must have been proposed
    /// under the same term within the retry interval. Records the proposal if it may.
    fn may_propose(&mut self, role: &str, proposed: ProposedMove) -> bool {
        let just_proposed = self.proposed_moves.get(role).is_some_and(|last| {
            let since_last = proposed.proposed_at.duration_since(last.proposed_at);
            last.term == proposed.term && since_last < self.timing.retry_interval
        });
        if !just_proposed {
            self.proposed_moves.insert(role.to_owned(), proposed);
        }
        !just_proposed
    }
}
