//! What an engine, or a tenant, may take over the whole fleet, divided among planners.
//!
//! Each planner has a floor that is its own for good: an even part of half of the whole. The other half is lent by one
//! keeper for each resource, in shares with a lease, to whoever asks for more. The floors and the shares that are lent
//! never add up to more than the whole, whatever messages are lost, late or doubled, whoever dies and whichever clock
//! runs a little fast: a holder counts its lease from when it asked, the keeper from when it lent and a little longer;
//! and a keeper that has started anew, and knows nothing of what it lent before, lends nothing until every such lease
//! has run out.
//!
//! The keeper of a resource is one of the planners that the operators have named, whether it lives or not
//! ([`keeper_of`]): if it could be another whenever it seems to be dead, two might lend the same. While it is dead all
//! planners live on their floors. A new list of planners may name another keeper; it begins to lend only once the list
//! is in force at all of them.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::{Millis, PlannerId};

/// How long a share is lent.
pub const LEASE: Millis = 2_000.0;
/// How much longer the keeper counts it as lent: clocks may differ in pace by a few parts in a hundred.
const MARGIN: f64 = 1.1;
/// Part of the whole that is the planners' own.
const FLOOR: f64 = 0.5;

/// A planner's part that nobody can take from it.
pub fn floor(whole: f64, planners: usize) -> f64 {
    whole * FLOOR / planners.max(1) as f64
}

/// The planner that lends a resource: by rendezvous among all that are named.
pub fn keeper_of<'a>(resource: &str, named: &'a [PlannerId]) -> Option<&'a PlannerId> {
    named.iter().max_by_key(|planner| {
        let mut hasher = DefaultHasher::new();
        (resource, planner).hash(&mut hasher);
        hasher.finish()
    })
}

#[derive(Clone, Debug, Default)]
struct Lent {
    /// Amounts, and until when each counts: the planner may not have heard of the later ones yet.
    leases: VecDeque<(f64, Millis)>,
    /// The newest request that was answered; older ones are late.
    asked: u64,
}

impl Lent {
    fn counted(&self, now: Millis) -> f64 {
        self.leases.iter().filter(|(_, until)| now < *until).map(|(amount, _)| *amount).fold(0.0, f64::max)
    }
}

/// Lends one resource.
#[derive(Clone, Debug)]
pub struct Keeper {
    whole: f64,
    lends_from: Millis,
    lent: BTreeMap<PlannerId, Lent>,
    wanted: BTreeMap<PlannerId, (f64, Millis)>,
}

impl Keeper {
    /// A keeper that begins now and does not know what another has lent before it.
    pub fn new(now: Millis, whole: f64) -> Self {
        let lends_from = now + LEASE * MARGIN;
        Keeper { whole, lends_from, lent: BTreeMap::new(), wanted: BTreeMap::new() }
    }

    /// The whole has changed, as when an engine warms up. Less counts at once for what is lent from now on.
    pub fn set_whole(&mut self, whole: f64) {
        self.whole = whole;
    }

    /// What may be lent altogether.
    fn pool(&self) -> f64 {
        self.whole * (1.0 - FLOOR)
    }

    /// A planner asks for a share beyond its floor; `number` rises with each of its requests. What it is lent for
    /// [`LEASE`] from when it asked; none if the request came late.
    pub fn ask(&mut self, now: Millis, planner: &PlannerId, number: u64, wanted: f64) -> Option<f64> {
        if self.lent.get(planner).is_some_and(|lent| lent.asked >= number) {
            return None;
        }
        // Those that ask no more hold nothing.
        self.lent.retain(|other, lent| other == planner || lent.counted(now) > 0.0);
        self.wanted.insert(planner.clone(), (wanted.max(0.0), now + LEASE * MARGIN));
        self.wanted.retain(|_, (_, until)| now < *until);
        let fair = self.fair(planner);
        let free = (self.pool() - self.others(now, planner)).max(0.0);
        let amount = if now >= self.lends_from { fair.min(free) } else { 0.0 };
        let lent = self.lent.entry(planner.clone()).or_default();
        lent.asked = number;
        lent.leases.retain(|(_, until)| now < *until);
        lent.leases.push_back((amount, now + LEASE * MARGIN));
        Some(amount)
    }

    /// What is counted as lent to others.
    fn others(&self, now: Millis, planner: &PlannerId) -> f64 {
        let others = self.lent.iter().filter(|(other, _)| *other != planner);
        others.map(|(_, lent)| lent.counted(now)).sum()
    }

    /// A planner's fair part of the pool among all that want some: nobody gets more than it wants, and what is left by
    /// those who want little goes to the others (max-min fairness).
    fn fair(&self, planner: &PlannerId) -> f64 {
        let mut wants: Vec<f64> = self.wanted.values().map(|(wanted, _)| *wanted).collect();
        wants.sort_by(f64::total_cmp);
        let own = self.wanted.get(planner).map_or(0.0, |(wanted, _)| *wanted);
        let (mut left, mut level) = (self.pool(), 0.0);
        for (place, want) in wants.iter().enumerate() {
            level = left / (wants.len() - place) as f64;
            left -= want.min(level);
        }
        own.min(level)
    }
}

/// Holds a share of one resource at a planner.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    number: u64,
    /// Requests that are not answered: number and when each was sent.
    asked: BTreeMap<u64, Millis>,
    share: f64,
    until: Millis,
    /// The newest request whose answer was taken.
    answered: u64,
}

impl Holder {
    /// A holder of nothing but its floor.
    pub fn new() -> Self {
        Self::default()
    }

    /// Asks for a share; the request's number goes with it. A planner that starts anew must go on above the numbers of
    /// its life before: `at_least` is a number that it cannot have used.
    pub fn ask(&mut self, now: Millis, at_least: u64) -> u64 {
        self.number = self.number.max(at_least) + 1;
        self.asked.insert(self.number, now);
        while self.asked.len() > 16 {
            self.asked.pop_first();
        }
        self.number
    }

    /// The keeper has answered a request.
    pub fn lent(&mut self, number: u64, amount: f64) {
        let Some(asked) = self.asked.remove(&number) else { return };
        if number > self.answered {
            self.answered = number;
            self.share = amount;
            self.until = asked + LEASE;
        }
    }

    /// What the planner may use now beyond its floor.
    pub fn held(&self, now: Millis) -> f64 {
        if now < self.until { self.share } else { 0.0 }
    }

    /// When to ask again: well before the lease ends.
    pub fn ask_again(&self) -> Millis {
        self.until - LEASE / 2.0
    }
}
