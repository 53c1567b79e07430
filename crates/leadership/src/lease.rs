//! Who may act until when.
//!
//! One lease for each member covers all its duties, so that a thousand duties cost no more than one. A member asks the
//! leader for it ([`Session`]), which grants it once a majority has confirmed that it still leads ([`Grantor`]). The
//! member's lease runs from the moment it asked, the leader's patience from the moment it heard: with clocks whose rates
//! differ by no more than [`Timing::drift`], the owner has stopped before anybody else is given what it owned.

use std::collections::{BTreeMap, BTreeSet};

use crate::assignment;

/// Times, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// How long a lease lasts from the moment at which it was asked for.
    pub lease: f64,
    /// How much faster or slower than true any clock may run, as a part of 1.
    pub drift: f64,
    /// Between two askings.
    pub renew: f64,
    /// After this time without effect a wish is told anew.
    pub again: f64,
    /// A member whose store failed asks for no lease before the store has held for this time. Guards against one that
    /// comes back for a moment each time, and would keep what it owns without ever doing it.
    pub holds: f64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing { lease: 2_000.0, drift: 0.02, renew: 500.0, again: 1_000.0, holds: 5_000.0 }
    }
}

impl Timing {
    /// How long a leader waits for a member that is silent before it gives its duties to others.
    pub fn patience(&self) -> f64 {
        self.lease * (1.0 + self.drift) / (1.0 - self.drift)
    }
}

/// A member's side.
#[derive(Debug)]
pub struct Session {
    timing: Timing,
    until: f64,
    /// What must be applied before anything is done: the duties may have changed while this member slept.
    applied: u64,
    /// Askings that were not answered: number and when.
    asked: BTreeMap<u64, f64>,
    next: u64,
    last: f64,
    /// Duties that it hands over: the term under which it stopped to act, and when.
    resigned: BTreeMap<String, (u64, f64)>,
}

impl Session {
    /// A member without a lease. Numbers of askings begin at `first`, so that none is told twice over a restart.
    pub fn new(timing: Timing, first: u64) -> Self {
        let (until, last) = (f64::NEG_INFINITY, f64::NEG_INFINITY);
        Session {
            timing,
            until,
            applied: 0,
            asked: BTreeMap::new(),
            next: first,
            last,
            resigned: BTreeMap::new(),
        }
    }

    /// The member's store has failed: it owns nothing from now on, and has to hold before it asks again.
    pub fn failed(&mut self, now: f64) {
        self.until = f64::NEG_INFINITY;
        self.asked.clear();
        self.last = now + self.timing.holds - self.timing.renew;
    }

    /// The number under which to ask for the lease now, if it is time to.
    pub fn ask(&mut self, now: f64) -> Option<u64> {
        if now - self.last < self.timing.renew {
            return None;
        }
        self.last = now;
        self.next += 1;
        self.asked.retain(|_, at| now - *at < self.timing.lease);
        self.asked.insert(self.next, now);
        Some(self.next)
    }

    /// The lease was granted to that asking.
    pub fn granted(&mut self, number: u64, applied: u64) {
        if let Some(at) = self.asked.remove(&number) {
            self.until = self.until.max(at + self.timing.lease);
            self.applied = self.applied.max(applied);
            self.asked = self.asked.split_off(&number);
        }
    }

    /// Whether the member, which owns the duty under this term as far as it knows, may act for it at this moment, having
    /// applied all up to `applied`.
    pub fn may_act(&self, now: f64, applied: u64, duty: &str, term: u64) -> bool {
        let resigned = self.resigned.get(duty).is_some_and(|(resigned, _)| *resigned >= term);
        now < self.until && applied >= self.applied && !resigned
    }

    /// The member hands a duty over: it acts no more under this term, before anybody else can hear of it.
    pub fn resign(&mut self, now: f64, duty: &str, term: u64) {
        self.resigned.insert(duty.to_owned(), (term, now));
    }

    /// Duties that were to be handed over and are still this member's, as `owned` says (duty, term): nobody agreed within
    /// [`Timing::holds`]. It goes on only under a higher term, as the old one may still go to another.
    pub fn stuck<'a>(&mut self, now: f64, owned: impl Iterator<Item = (&'a str, u64)>) -> Vec<(String, u64)> {
        let owned: BTreeMap<&str, u64> = owned.collect();
        self.resigned.retain(|duty, (term, _)| owned.get(duty.as_str()) == Some(term));
        let mut stuck = Vec::new();
        for (duty, (term, at)) in &mut self.resigned {
            if now - *at >= self.timing.holds {
                *at = now;
                stuck.push((duty.clone(), *term));
            }
        }
        stuck
    }
}

/// What a leader is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Have a majority confirm that this member still leads, then tell [`Grantor::confirmed`] with this number.
    Confirm(u64),
    /// Tell a member that its lease is granted.
    Grant {
        /// The member.
        member: u64,
        /// The number under which it asked.
        number: u64,
    },
    /// Have it agreed that the duty, whose term is `term`, has this owner.
    Assign {
        /// The duty.
        duty: String,
        /// The term that it has so far.
        term: u64,
        /// Its owner.
        to: u64,
    },
    /// Ask the duty's owner to hand it over.
    Yield {
        /// The duty.
        duty: String,
        /// Its term.
        term: u64,
        /// Its owner.
        from: u64,
        /// Who is to have it.
        to: u64,
    },
}

/// The leader's side.
#[derive(Debug)]
pub struct Grantor {
    timing: Timing,
    /// Since when this member leads.
    leads: Option<f64>,
    heard: BTreeMap<u64, f64>,
    /// Askings that no confirmation covers yet, and those that the one under way covers.
    fresh: Vec<(u64, u64)>,
    covered: Vec<(u64, u64)>,
    confirming: Option<(u64, f64)>,
    next: u64,
    /// What was wished for of late: duty, term, and when.
    wished: BTreeMap<String, (u64, f64)>,
}

impl Grantor {
    /// A member that does not lead.
    pub fn new(timing: Timing) -> Self {
        Grantor {
            timing,
            leads: None,
            heard: BTreeMap::new(),
            fresh: Vec::new(),
            covered: Vec::new(),
            confirming: None,
            next: 0,
            wished: BTreeMap::new(),
        }
    }

    /// Whether this member leads. A new leader does not know when others were granted their leases: it waits for each
    /// as if it had heard it just now.
    pub fn leads(&mut self, now: f64, leads: bool) {
        if leads == self.leads.is_some() {
            return;
        }
        *self = Grantor { leads: leads.then_some(now), next: self.next, ..Grantor::new(self.timing) };
    }

    /// A member asks for its lease.
    pub fn asked(&mut self, now: f64, member: u64, number: u64) {
        if self.leads.is_some() && self.fresh.len() < 64 {
            self.heard.insert(member, now);
            self.fresh.push((member, number));
        }
    }

    /// A majority has confirmed the leader, asked under this number.
    pub fn confirmed(&mut self, number: u64) -> Vec<Action> {
        if self.confirming.is_none_or(|(asked, _)| asked != number) {
            return Vec::new();
        }
        self.confirming = None;
        let grant = |(member, number)| Action::Grant { member, number };
        std::mem::take(&mut self.covered).into_iter().map(grant).collect()
    }

    /// Whether a member's lease may still last.
    fn alive(&self, now: f64, member: u64) -> bool {
        let since = self.heard.get(&member).copied().or(self.leads);
        since.is_some_and(|since| now - since < self.timing.patience())
    }

    /// Members whose lease may last and that were heard by this leader.
    pub fn heard(&self, now: f64) -> BTreeSet<u64> {
        self.heard.keys().copied().filter(|member| self.alive(now, *member)).collect()
    }

    /// Members that asked wait for a confirmation, and none is under way: it is time for one. Costs the same however many
    /// duties there are, so that it can be asked behind every message; [`Grantor::tick`] cannot.
    pub fn confirm(&mut self, now: f64) -> Option<Action> {
        let lost = self.confirming.is_none_or(|(_, at)| now - at >= self.timing.again);
        if self.leads.is_none() || !lost || (self.fresh.is_empty() && self.covered.is_empty()) {
            return None;
        }
        self.next += 1;
        // A confirmation that was lost covers nothing: what waited for it is old by now, and asked anew.
        self.covered = std::mem::take(&mut self.fresh);
        self.confirming = Some((self.next, now));
        Some(Action::Confirm(self.next))
    }

    /// Time has passed; `duties` are all with owner (0: none) and term, `members` all members.
    pub fn tick(
        &mut self,
        now: f64,
        duties: &BTreeMap<String, (u64, u64)>,
        members: &BTreeSet<u64>,
    ) -> Vec<Action> {
        if self.leads.is_none() {
            return Vec::new();
        }
        let mut out = Vec::from_iter(self.confirm(now));
        // Whoever was not heard is given nothing; whoever may still have a lease keeps what it owns.
        let heard: BTreeSet<u64> = self.heard(now).intersection(members).copied().collect();
        let owners = duties.iter().map(|(duty, (owner, _))| {
            let keeps = *owner > 0 && members.contains(owner) && self.alive(now, *owner);
            (duty.clone(), keeps.then_some(*owner))
        });
        let owners: BTreeMap<String, Option<u64>> = owners.collect();
        let silent = owners.values().flatten().any(|owner| !heard.contains(owner));
        for one in assignment::moves(&owners, &heard) {
            let Some((owner, term)) = duties.get(&one.duty).copied() else { continue };
            let keeps = owners.get(&one.duty).copied().flatten();
            // While an owner may still have its lease nothing is evened out: it may be back in a moment.
            if keeps.is_some() && silent {
                continue;
            }
            let due = |&(wished, at): &(u64, f64)| wished != term || now - at >= self.timing.again;
            if !self.wished.get(&one.duty).is_none_or(due) {
                continue;
            }
            self.wished.insert(one.duty.clone(), (term, now));
            out.push(match one.from {
                None => Action::Assign { duty: one.duty, term, to: one.to },
                Some(_) => Action::Yield { duty: one.duty, term, from: owner, to: one.to },
            });
        }
        self.wished.retain(|duty, _| duties.contains_key(duty));
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn duties(owners: &[u64]) -> BTreeMap<String, (u64, u64)> {
        owners.iter().enumerate().map(|(at, owner)| (format!("d{at}"), (*owner, 1))).collect()
    }

    #[test]
    fn a_lease_runs_from_the_asking_and_is_void_until_all_is_applied() {
        let mut session = Session::new(Timing::default(), 0);
        let first = session.ask(0.0).unwrap();
        assert_eq!(session.ask(499.0), None);
        let second = session.ask(500.0).unwrap();
        session.granted(second, 7);
        assert!(session.may_act(2_499.0, 7, "d", 1) && !session.may_act(2_499.0, 6, "d", 1));
        assert!(!session.may_act(2_500.0, 7, "d", 1));
        session.granted(first, 0);
        session.granted(second, 9);
        assert!(session.may_act(2_499.0, 7, "d", 1), "an answer that comes twice or late changes nothing");
    }

    #[test]
    fn who_hands_over_stops_first_and_goes_on_only_under_a_higher_term() {
        let mut session = Session::new(Timing::default(), 0);
        let asked = session.ask(0.0).unwrap();
        session.granted(asked, 0);
        session.resign(10.0, "d", 4);
        assert!(!session.may_act(11.0, 0, "d", 4) && session.may_act(11.0, 0, "e", 4));
        assert!(session.may_act(11.0, 0, "d", 5), "the duty came back to it");
        assert!(session.stuck(5_009.0, [("d", 4)].into_iter()).is_empty());
        assert_eq!(session.stuck(5_010.0, [("d", 4)].into_iter()), [("d".to_owned(), 4)]);
        assert!(session.stuck(5_020.0, [("d", 4)].into_iter()).is_empty(), "told already");
        assert!(session.stuck(20_000.0, [("d", 5)].into_iter()).is_empty());
    }

    #[test]
    fn a_member_whose_store_fails_again_and_again_never_asks() {
        let mut session = Session::new(Timing::default(), 0);
        let asked = session.ask(0.0).unwrap();
        session.failed(100.0);
        session.granted(asked, 0);
        assert!(!session.may_act(101.0, 0, "d", 1), "what was granted before is void");
        for failure in 1..50 {
            let now = 100.0 + f64::from(failure) * 1_000.0;
            assert_eq!(session.ask(now), None);
            session.failed(now);
        }
        assert!(session.ask(49_100.0 + 5_000.0).is_some(), "it has held");
    }

    #[test]
    fn a_silent_owner_keeps_its_duties_until_its_lease_has_ended_for_anybody() {
        let timing = Timing::default();
        let (mut grantor, members) = (Grantor::new(timing), BTreeSet::from([1, 2, 3]));
        grantor.leads(0.0, true);
        for member in [1, 2] {
            grantor.asked(10.0, member, 1);
        }
        let owned = duties(&[3, 1, 2]);
        let assigns = |actions: &[Action]| {
            actions.iter().filter(|it| matches!(it, Action::Assign { .. } | Action::Yield { .. })).count()
        };
        assert_eq!(grantor.tick(20.0, &owned, &members), [Action::Confirm(1)]);
        assert_eq!(grantor.confirmed(2), []);
        assert_eq!(grantor.confirmed(1).len(), 2);
        for member in [1, 2] {
            grantor.asked(timing.patience() - 20.0, member, 2);
        }
        assert_eq!(assigns(&grantor.tick(timing.patience() - 1.0, &owned, &members)), 0);
        let given = grantor.tick(timing.patience(), &owned, &members);
        assert!(matches!(&given[..], [Action::Assign { duty, term: 1, .. }] if duty == "d0"), "{given:?}");
        assert_eq!(assigns(&grantor.tick(timing.patience() + 1.0, &owned, &members)), 0, "wished already");
    }

    #[test]
    fn a_member_that_comes_is_given_its_part_by_those_that_have_more_and_one_without_a_majority_grants_nothing()
     {
        let (mut grantor, members) = (Grantor::new(Timing::default()), BTreeSet::from([1, 2]));
        grantor.leads(0.0, true);
        grantor.asked(1.0, 1, 1);
        grantor.asked(1.0, 2, 1);
        let wished = grantor.tick(2.0, &duties(&[1, 1, 1, 1]), &members);
        let yields = wished.iter().filter(|it| matches!(it, Action::Yield { from: 1, to: 2, .. })).count();
        assert_eq!(yields, 2, "{wished:?}");
        // No confirmation comes: nothing is granted, and what waited is not granted by a later one.
        grantor.asked(1_100.0, 2, 2);
        assert!(grantor.tick(1_100.0, &BTreeMap::new(), &members).contains(&Action::Confirm(2)));
        assert_eq!(grantor.confirmed(1), []);
        assert_eq!(grantor.confirmed(2), [Action::Grant { member: 2, number: 2 }]);
        grantor.leads(1_200.0, false);
        grantor.asked(1_300.0, 1, 3);
        assert!(grantor.tick(9_000.0, &duties(&[0]), &members).is_empty());
    }
}
