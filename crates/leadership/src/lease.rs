//! Who may act until when.
//!
//! One lease for each member covers all its roles, so that a thousand roles cost no more than one. A member asks the
//! leader for it ([`LeaseSession`]), which grants it once a majority has confirmed that it still leads ([`LeaseGrantor`]). The
//! member's lease runs from the moment it asked, the leader's expiry_grace from the moment it live: with clocks whose rates
//! differ by no more than [`LeaseTiming::drift`], the holder has stopped before anybody else is given what it held.

use std::collections::{BTreeMap, BTreeSet};

use crate::assignment;

/// Times, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTiming {
    /// How long a lease lasts from the moment at which it was asked for.
    pub duration: f64,
    /// How much faster or slower than true any clock may run, as a part of 1.
    pub drift: f64,
    /// Between two askings.
    pub renew_interval: f64,
    /// After this time without effect a wish is told anew.
    pub retry_interval: f64,
    /// A member whose store failed asks for no lease before the store has held for this time. Guards against one that
    /// comes back for a moment each time, and would keep what it owns without ever doing it.
    pub probation: f64,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        LeaseTiming {
            duration: 2_000.0,
            drift: 0.02,
            renew_interval: 500.0,
            retry_interval: 1_000.0,
            probation: 5_000.0,
        }
    }
}

impl LeaseTiming {
    /// How long a leader waits for a member that is silent before it gives its roles to others.
    pub fn expiry_grace(&self) -> f64 {
        self.duration * (1.0 + self.drift) / (1.0 - self.drift)
    }
}

/// A member's side.
#[derive(Debug)]
pub struct LeaseSession {
    timing: LeaseTiming,
    until: f64,
    /// What must be applied before anything is done: the roles may have changed while this member slept.
    applied: u64,
    /// Askings that were not answered: number and when.
    requested: BTreeMap<u64, f64>,
    next: u64,
    last: f64,
    /// Duties that it hands over: the term under which it stopped to act, and when.
    resigned: BTreeMap<String, (u64, f64)>,
}

impl LeaseSession {
    /// A member without a lease. Numbers of askings begin at `first`, so that none is told twice over a restart.
    pub fn new(timing: LeaseTiming, first: u64) -> Self {
        let (until, last) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
        LeaseSession {
            timing,
            until,
            applied: 0,
            requested: BTreeMap::new(),
            next: first,
            last,
            resigned: BTreeMap::new(),
        }
    }

    /// The member's store has failed: it owns nothing from now on, and has to hold before it asks again.
    pub fn store_failed(&mut self, now: f64) {
        self.until = f64::NEG_INFINITY;
        self.requested.clear();
        self.last = now + self.timing.probation - self.timing.renew_interval;
    }

    /// The number under which to ask for the lease now, if it is time to.
    pub fn next_request(&mut self, now: f64) -> Option<u64> {
        if now - self.last < self.timing.renew_interval {
            return None;
        }
        self.last = now;
        self.next += 1;
        self.requested.retain(|_, at| now - *at < self.timing.duration);
        self.requested.insert(self.next, now);
        Some(self.next)
    }

    /// The lease was granted to that asking.
    pub fn on_granted(&mut self, number: u64, applied: u64) {
        if let Some(at) = self.requested.remove(&number) {
            self.until = self.until.max(at + self.timing.duration);
            self.applied = self.applied.max(applied);
            self.requested = self.requested.split_off(&number);
        }
    }

    /// Whether the member, which owns the role under this term as far as it knows, may act for it at this moment, having
    /// applied all up to `applied`.
    pub fn may_act(&self, now: f64, applied: u64, role: &str, term: u64) -> bool {
        let resigned = self.resigned.get(role).is_some_and(|(resigned, _)| *resigned >= term);
        now < self.until && applied >= self.applied && !resigned
    }

    /// The member hands a role over: it acts no more under this term, before anybody else can hear of it.
    pub fn resign(&mut self, now: f64, role: &str, term: u64) {
        self.resigned.insert(role.to_owned(), (term, now));
    }

    /// Duties that were to be handed over and are still this member's, as `held` says (role, term): nobody agreed within
    /// [`LeaseTiming::probation`]. It goes on only under a higher term, as the old one may still go to another.
    pub fn stalled_handovers<'a>(
        &mut self,
        now: f64,
        held: impl Iterator<Item = (&'a str, u64)>,
    ) -> Vec<(String, u64)> {
        let held: BTreeMap<&str, u64> = held.collect();
        self.resigned.retain(|role, (term, _)| held.get(role.as_str()) == Some(term));
        let mut stuck = Vec::new();
        for (role, (term, at)) in &mut self.resigned {
            if now - *at >= self.timing.probation {
                *at = now;
                stuck.push((role.clone(), *term));
            }
        }
        stuck
    }
}

/// What a leader is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Have a majority confirm that this member still leads, then tell [`LeaseGrantor::on_confirmed`] with this number.
    ConfirmLeadership(u64),
    /// Tell a member that its lease is granted.
    Grant {
        /// The member.
        member: u64,
        /// The number under which it asked.
        number: u64,
    },
    /// Have it agreed that the role, whose term is `term`, has this holder.
    Assign {
        /// The role.
        role: String,
        /// The term that it has so far.
        term: u64,
        /// Its holder.
        to: u64,
    },
    /// Ask the role's holder to hand it over.
    RequestHandOver {
        /// The role.
        role: String,
        /// Its term.
        term: u64,
        /// Its holder.
        from: u64,
        /// Who is to have it.
        to: u64,
    },
}

/// The leader's side.
#[derive(Debug)]
pub struct LeaseGrantor {
    timing: LeaseTiming,
    /// Since when this member leads.
    leading_since: Option<f64>,
    last_request: BTreeMap<u64, f64>,
    /// Askings that no confirmation covers yet, and those that the one under way covers.
    unconfirmed: Vec<(u64, u64)>,
    covered: Vec<(u64, u64)>,
    confirming: Option<(u64, f64)>,
    next: u64,
    /// What was proposed for of late: role, term, and when.
    proposed: BTreeMap<String, (u64, f64)>,
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
            next: 0,
            proposed: BTreeMap::new(),
        }
    }

    /// Whether this member leads. A new leader does not know when others were granted their leases: it waits for each
    /// as if it had live it just now.
    pub fn set_leading(&mut self, now: f64, leading: bool) {
        if leading == self.leading_since.is_some() {
            return;
        }
        *self = LeaseGrantor {
            leading_since: leading.then_some(now),
            next: self.next,
            ..LeaseGrantor::new(self.timing)
        };
    }

    /// A member asks for its lease.
    pub fn on_request(&mut self, now: f64, member: u64, number: u64) {
        if self.leading_since.is_some() && self.unconfirmed.len() < 64 {
            self.last_request.insert(member, now);
            self.unconfirmed.push((member, number));
        }
    }

    /// A majority has confirmed the leader, asked under this number.
    pub fn on_confirmed(&mut self, number: u64) -> Vec<LeaseAction> {
        if self.confirming.is_none_or(|(asked, _)| asked != number) {
            return Vec::new();
        }
        self.confirming = None;
        let grant = |(member, number)| LeaseAction::Grant { member, number };
        std::mem::take(&mut self.covered).into_iter().map(grant).collect()
    }

    /// Whether a member's lease may still last.
    fn may_hold_lease(&self, now: f64, member: u64) -> bool {
        let since = self.last_request.get(&member).copied().or(self.leading_since);
        since.is_some_and(|since| now - since < self.timing.expiry_grace())
    }

    /// Members whose lease may last and that were live by this leader.
    pub fn live_members(&self, now: f64) -> BTreeSet<u64> {
        self.last_request.keys().copied().filter(|member| self.may_hold_lease(now, *member)).collect()
    }

    /// Members that asked wait for a confirmation, and none is under way: it is time for one. Costs the same however many
    /// roles there are, so that it can be asked behind every message; [`LeaseGrantor::tick`] cannot.
    pub fn next_confirmation(&mut self, now: f64) -> Option<LeaseAction> {
        let lost = self.confirming.is_none_or(|(_, at)| now - at >= self.timing.retry_interval);
        if self.leading_since.is_none() || !lost || (self.unconfirmed.is_empty() && self.covered.is_empty()) {
            return None;
        }
        self.next += 1;
        // A confirmation that was lost covers nothing: what waited for it is old by now, and asked anew.
        self.covered = std::mem::take(&mut self.unconfirmed);
        self.confirming = Some((self.next, now));
        Some(LeaseAction::ConfirmLeadership(self.next))
    }

    /// Time has passed; `roles` are all with holder (0: none) and term, `members` all members.
    pub fn tick(
        &mut self,
        now: f64,
        roles: &BTreeMap<String, (u64, u64)>,
        members: &BTreeSet<u64>,
    ) -> Vec<LeaseAction> {
        if self.leading_since.is_none() {
            return Vec::new();
        }
        let mut out = Vec::from_iter(self.next_confirmation(now));
        // Whoever was not live is given nothing; whoever may still have a lease keeps what it owns.
        let live: BTreeSet<u64> = self.live_members(now).intersection(members).copied().collect();
        let holders = roles.iter().map(|(role, (holder, _))| {
            let keeps = *holder > 0 && members.contains(holder) && self.may_hold_lease(now, *holder);
            (role.clone(), keeps.then_some(*holder))
        });
        let holders: BTreeMap<String, Option<u64>> = holders.collect();
        let silent = holders.values().flatten().any(|holder| !live.contains(holder));
        for one in assignment::rebalance(&holders, &live) {
            let Some((holder, term)) = roles.get(&one.role).copied() else { continue };
            let keeps = holders.get(&one.role).copied().flatten();
            // While an holder may still have its lease nothing is evened out: it may be back in a moment.
            if keeps.is_some() && silent {
                continue;
            }
            let due =
                |&(proposed, at): &(u64, f64)| proposed != term || now - at >= self.timing.retry_interval;
            if !self.proposed.get(&one.role).is_none_or(due) {
                continue;
            }
            self.proposed.insert(one.role.clone(), (term, now));
            out.push(match one.from {
                None => LeaseAction::Assign { role: one.role, term, to: one.to },
                Some(_) => LeaseAction::RequestHandOver { role: one.role, term, from: holder, to: one.to },
            });
        }
        self.proposed.retain(|role, _| roles.contains_key(role));
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn roles(holders: &[u64]) -> BTreeMap<String, (u64, u64)> {
        holders.iter().enumerate().map(|(at, holder)| (format!("d{at}"), (*holder, 1))).collect()
    }

    #[test]
    fn a_lease_runs_from_the_asking_and_is_void_until_all_is_applied() {
        let mut session = LeaseSession::new(LeaseTiming::default(), 0);
        let first = session.next_request(0.0).unwrap();
        assert_eq!(session.next_request(499.0), None);
        let second = session.next_request(500.0).unwrap();
        session.on_granted(second, 7);
        assert!(session.may_act(2_499.0, 7, "d", 1) && !session.may_act(2_499.0, 6, "d", 1));
        assert!(!session.may_act(2_500.0, 7, "d", 1));
        session.on_granted(first, 0);
        session.on_granted(second, 9);
        assert!(session.may_act(2_499.0, 7, "d", 1), "an answer that comes twice or late changes nothing");
    }

    #[test]
    fn who_hands_over_stops_first_and_goes_on_only_under_a_higher_term() {
        let mut session = LeaseSession::new(LeaseTiming::default(), 0);
        let asked = session.next_request(0.0).unwrap();
        session.on_granted(asked, 0);
        session.resign(10.0, "d", 4);
        assert!(!session.may_act(11.0, 0, "d", 4) && session.may_act(11.0, 0, "e", 4));
        assert!(session.may_act(11.0, 0, "d", 5), "the role came back to it");
        assert!(session.stalled_handovers(5_009.0, [("d", 4)].into_iter()).is_empty());
        assert_eq!(session.stalled_handovers(5_010.0, [("d", 4)].into_iter()), [("d".to_owned(), 4)]);
        assert!(session.stalled_handovers(5_020.0, [("d", 4)].into_iter()).is_empty(), "told already");
        assert!(session.stalled_handovers(20_000.0, [("d", 5)].into_iter()).is_empty());
    }

    #[test]
    fn a_member_whose_store_fails_again_and_again_never_asks() {
        let mut session = LeaseSession::new(LeaseTiming::default(), 0);
        let asked = session.next_request(0.0).unwrap();
        session.store_failed(100.0);
        session.on_granted(asked, 0);
        assert!(!session.may_act(101.0, 0, "d", 1), "what was granted before is void");
        for failure in 1..50 {
            let now = 100.0 + f64::from(failure) * 1_000.0;
            assert_eq!(session.next_request(now), None);
            session.store_failed(now);
        }
        assert!(session.next_request(49_100.0 + 5_000.0).is_some(), "it has held");
    }

    #[test]
    fn a_silent_owner_keeps_its_duties_until_its_lease_has_ended_for_anybody() {
        let timing = LeaseTiming::default();
        let (mut grantor, members) = (LeaseGrantor::new(timing), BTreeSet::from([1, 2, 3]));
        grantor.set_leading(0.0, true);
        for member in [1, 2] {
            grantor.on_request(10.0, member, 1);
        }
        let held = roles(&[3, 1, 2]);
        let assigns = |actions: &[LeaseAction]| {
            actions
                .iter()
                .filter(|it| matches!(it, LeaseAction::Assign { .. } | LeaseAction::RequestHandOver { .. }))
                .count()
        };
        assert_eq!(grantor.tick(20.0, &held, &members), [LeaseAction::ConfirmLeadership(1)]);
        assert_eq!(grantor.on_confirmed(2), []);
        assert_eq!(grantor.on_confirmed(1).len(), 2);
        for member in [1, 2] {
            grantor.on_request(timing.expiry_grace() - 20.0, member, 2);
        }
        assert_eq!(assigns(&grantor.tick(timing.expiry_grace() - 1.0, &held, &members)), 0);
        let given = grantor.tick(timing.expiry_grace(), &held, &members);
        assert!(
            matches!(&given[..], [LeaseAction::Assign { role, term: 1, .. }] if role == "d0"),
            "{given:?}"
        );
        assert_eq!(
            assigns(&grantor.tick(timing.expiry_grace() + 1.0, &held, &members)),
            0,
            "proposed already"
        );
    }

    #[test]
    fn a_member_that_comes_is_given_its_part_by_those_that_have_more_and_one_without_a_majority_grants_nothing()
     {
        let (mut grantor, members) = (LeaseGrantor::new(LeaseTiming::default()), BTreeSet::from([1, 2]));
        grantor.set_leading(0.0, true);
        grantor.on_request(1.0, 1, 1);
        grantor.on_request(1.0, 2, 1);
        let proposed = grantor.tick(2.0, &roles(&[1, 1, 1, 1]), &members);
        let yields = proposed
            .iter()
            .filter(|it| matches!(it, LeaseAction::RequestHandOver { from: 1, to: 2, .. }))
            .count();
        assert_eq!(yields, 2, "{proposed:?}");
        // No confirmation comes: nothing is granted, and what waited is not granted by a later one.
        grantor.on_request(1_100.0, 2, 2);
        assert!(
            grantor.tick(1_100.0, &BTreeMap::new(), &members).contains(&LeaseAction::ConfirmLeadership(2))
        );
        assert_eq!(grantor.on_confirmed(1), []);
        assert_eq!(grantor.on_confirmed(2), [LeaseAction::Grant { member: 2, number: 2 }]);
        grantor.set_leading(1_200.0, false);
        grantor.on_request(1_300.0, 1, 3);
        assert!(grantor.tick(9_000.0, &roles(&[0]), &members).is_empty());
    }
}
