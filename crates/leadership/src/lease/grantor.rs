//! The leader's side of leases: it grants them, and assigns roles whose holder has none.

use std::collections::{BTreeMap, BTreeSet};

use gaugestep_clock::Timestamp;

use super::LeaseTiming;
use crate::assignment::{Reassignment, rebalance};
use crate::{NO_MEMBER, RoleHolder};

/// Requests that may wait for a confirmation; further ones are dropped, and sent again by their members.
const MAX_UNCONFIRMED: usize = 64;

/// What a leader has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Have a majority confirm that this member still leads, then call [`LeaseGrantor::on_confirmed`] with this number.
    ConfirmLeadership(u64),
    /// Tell a member that its lease is granted.
    Grant {
        /// The member.
        member: u64,
        /// The number of its request.
        number: u64,
    },
    /// Propose that a role which has this term so far is assigned to a member.
    Assign {
        /// The role.
        role: String,
        /// Its term so far.
        term: u64,
        /// The member.
        to: u64,
    },
    /// Ask the holder of a role to hand it over.
    RequestHandOver {
        /// The role.
        role: String,
        /// Its term.
        term: u64,
        /// Its holder.
        from: u64,
        /// The member that should have it.
        to: u64,
    },
}

/// A member's request for its lease.
#[derive(Clone, Copy, Debug)]
struct LeaseRequest {
    member: u64,
    number: u64,
}

/// A confirmation that is under way.
#[derive(Clone, Copy, Debug)]
struct Confirmation {
    number: u64,
    requested_at: Timestamp,
}

/// A change of holder that was proposed under this term.
#[derive(Clone, Copy, Debug)]
struct ProposedMove {
    term: u64,
    at: Timestamp,
}

/// Grants leases while this member leads.
#[derive(Debug)]
pub struct LeaseGrantor {
    timing: LeaseTiming,
    /// `None` while this member does not lead.
    leading_since: Option<Timestamp>,
    /// When each member requested its lease last.
    last_request: BTreeMap<u64, Timestamp>,
    /// Requests that no confirmation covers yet.
    unconfirmed: Vec<LeaseRequest>,
    /// Requests that the confirmation under way covers.
    covered: Vec<LeaseRequest>,
    confirming: Option<Confirmation>,
    last_confirmation: u64,
    /// The last proposed change of each role.
    proposed: BTreeMap<String, ProposedMove>,
}

impl LeaseGrantor {
    /// A member that does not lead.
    pub fn new(timing: LeaseTiming) -> Self {
        LeaseGrantor {
            timing,
            leading_since: None,
            last_request: BTreeMap::new(),
            unconfirmed: Vec::new(),
            covered: Vec::new(),
            confirming: None,
            last_confirmation: 0,
            proposed: BTreeMap::new(),
        }
    }

    /// Sets whether this member leads. A new leader does not know when others were granted their leases, and waits for
    /// each member as if it had requested its lease just now.
    pub fn set_leading(&mut self, now: Timestamp, leading: bool) {
        if leading == self.leading_since.is_some() {
            return;
        }
        *self = LeaseGrantor {
            leading_since: leading.then_some(now),
            last_confirmation: self.last_confirmation,
            ..LeaseGrantor::new(self.timing)
        };
    }

    /// A member requests its lease.
    pub fn on_request(&mut self, now: Timestamp, member: u64, number: u64) {
        if self.leading_since.is_some() && self.unconfirmed.len() < MAX_UNCONFIRMED {
            self.last_request.insert(member, now);
            self.unconfirmed.push(LeaseRequest { member, number });
        }
    }

    /// A majority has confirmed the leader, in answer to the confirmation of this number.
    pub fn on_confirmed(&mut self, number: u64) -> Vec<LeaseAction> {
        if self.confirming.is_none_or(|confirming| confirming.number != number) {
            return Vec::new();
        }
        self.confirming = None;
        let grant = |LeaseRequest { member, number }| LeaseAction::Grant { member, number };
        std::mem::take(&mut self.covered).into_iter().map(grant).collect()
    }

    /// Members that requested a lease from this leader and whose lease may last.
    pub fn live_members(&self, now: Timestamp) -> BTreeSet<u64> {
        self.last_request.keys().copied().filter(|member| self.may_hold_lease(now, *member)).collect()
    }

    /// The next confirmation, if requests wait for one and none is under way. It costs the same however many roles there
    /// are, so that it can be called after every message; [`LeaseGrantor::tick`] cannot.
    pub fn next_confirmation(&mut self, now: Timestamp) -> Option<LeaseAction> {
        let under_way = self.confirming.is_some_and(|confirming| {
            now.duration_since(confirming.requested_at) < self.timing.retry_interval
        });
        let none_waits = self.unconfirmed.is_empty() && self.covered.is_empty();
        if self.leading_since.is_none() || under_way || none_waits {
            return None;
        }
        self.last_confirmation += 1;
        let number = self.last_confirmation;
        // A confirmation that was lost covers nothing: the requests that waited for it are sent again.
        self.covered = std::mem::take(&mut self.unconfirmed);
        self.confirming = Some(Confirmation { number, requested_at: now });
        Some(LeaseAction::ConfirmLeadership(number))
    }

    /// Looks at the clock, at all roles and at the voting members; returns what is due.
    pub fn tick(
        &mut self,
        now: Timestamp,
        roles: &BTreeMap<String, RoleHolder>,
        members: &BTreeSet<u64>,
    ) -> Vec<LeaseAction> {
        if self.leading_since.is_none() {
            return Vec::new();
        }
        let mut actions = Vec::from_iter(self.next_confirmation(now));
        // A member that did not request a lease is assigned nothing; one that may still have a lease keeps its roles.
        let live: BTreeSet<u64> = self.live_members(now).intersection(members).copied().collect();
        let holders: BTreeMap<String, Option<u64>> = roles
            .iter()
            .map(|(role, holder)| (role.clone(), self.current_holder(now, holder.member, members)))
            .collect();
        let any_silent = holders.values().flatten().any(|holder| !live.contains(holder));
        for reassignment in rebalance(&holders, &live) {
            let Some(RoleHolder { member, term }) = roles.get(&reassignment.role).copied() else { continue };
            let is_held = holders.get(&reassignment.role).copied().flatten().is_some();
            // Roles are not evened out while a holder is silent: it may return at any moment.
            if is_held && any_silent || !self.may_propose(now, &reassignment.role, term) {
                continue;
            }
            let Reassignment { role, from, to } = reassignment;
            actions.push(match from {
                None => LeaseAction::Assign { role, term, to },
                Some(_) => LeaseAction::RequestHandOver { role, term, from: member, to },
            });
        }
        self.proposed.retain(|role, _| roles.contains_key(role));
        actions
    }

    /// Whether a member's lease may still last.
    fn may_hold_lease(&self, now: Timestamp, member: u64) -> bool {
        let since = self.last_request.get(&member).copied().or(self.leading_since);
        since.is_some_and(|since| now.duration_since(since) < self.timing.expiry_grace())
    }

    /// The holder of a role, if it is a member whose lease may still last.
    fn current_holder(&self, now: Timestamp, holder: u64, members: &BTreeSet<u64>) -> Option<u64> {
        let is_current = holder != NO_MEMBER && members.contains(&holder) && self.may_hold_lease(now, holder);
        is_current.then_some(holder)
    }

    /// Whether a change of this role may be proposed now, and was not just before; notes that it is.
    fn may_propose(&mut self, now: Timestamp, role: &str, term: u64) -> bool {
        let just_proposed = self.proposed.get(role).is_some_and(|proposed| {
            proposed.term == term && now.duration_since(proposed.at) < self.timing.retry_interval
        });
        if !just_proposed {
            self.proposed.insert(role.to_owned(), ProposedMove { term, at: now });
        }
        !just_proposed
    }
}
