//! Quotas of planners: what an engine or a tenant may use over the whole fleet, divided among planners.
//!
//! Each planner has a floor that is always its own: an even part of half of the total. The other half is lent by one
//! allocator for each resource, under leases, to the planners that ask for more.
//!
//! **Invariant.** Floors and leased quotas never add up to more than the total, whichever messages are lost, delayed or
//! duplicated, whichever process dies and whichever clock runs a little fast. A planner counts its lease from when it sent
//! the request; the allocator counts it from when it lent, and a tenth longer. An allocator that was restarted does not know
//! what it lent before, and lends nothing until every such lease has expired.
//!
//! The allocator of a resource is one of the configured planners, whether it is alive or not ([`allocator_of`]): if another
//! took over whenever it seems dead, both might lend the same. While it is dead all planners use their floors. A new list of
//! planners may name another allocator, which lends only once the list is in force at all of them.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use gaugestep_clock::Timestamp;

use crate::PlannerId;

/// How long a quota is lent.
pub const LEASE_DURATION: Duration = Duration::from_secs(2);
/// How long the allocator counts a quota as lent: clocks may differ in rate by a few percent.
const ALLOCATOR_LEASE: Duration = Duration::from_millis(2_200);
/// The part of the total that is divided into floors.
const FLOOR_SHARE: f64 = 0.5;
/// Requests without a response that a planner remembers.
const MAX_PENDING_REQUESTS: usize = 16;

/// The part of the total that is always the planner's own.
pub fn floor(total: f64, planners: usize) -> f64 {
    total * FLOOR_SHARE / planners.max(1) as f64
}

/// The planner that lends a resource, by rendezvous hashing among all configured ones.
pub fn allocator_of<'a>(resource: &str, planners: &'a [PlannerId]) -> Option<&'a PlannerId> {
    planners.iter().max_by_key(|planner| {
        let mut hasher = DefaultHasher::new();
        (resource, planner).hash(&mut hasher);
        hasher.finish()
    })
}

/// An amount that counts until a time.
#[derive(Clone, Copy, Debug)]
struct Expiring {
    amount: f64,
    until: Timestamp,
}

impl Expiring {
    fn counts(&self, now: Timestamp) -> bool {
        now < self.until
    }
}

/// What the allocator has lent one planner.
#[derive(Clone, Debug, Default)]
struct Lent {
    /// All that count, as the planner may not have received the later ones yet.
    leases: VecDeque<Expiring>,
    /// The newest request that was answered; older ones were delayed.
    last_request: u64,
}

impl Lent {
    /// The most that the planner may be using.
    fn amount(&self, now: Timestamp) -> f64 {
        self.leases.iter().filter(|lease| lease.counts(now)).map(|lease| lease.amount).fold(0.0, f64::max)
    }
}

/// Lends the quota of one resource.
#[derive(Clone, Debug)]
pub struct QuotaAllocator {
    total: f64,
    lends_from: Timestamp,
    lent: BTreeMap<PlannerId, Lent>,
    /// What each planner asked for last.
    demands: BTreeMap<PlannerId, Expiring>,
}

impl QuotaAllocator {
    /// An allocator that starts now and does not know what was lent before.
    pub fn new(now: Timestamp, total: f64) -> Self {
        QuotaAllocator {
            total,
            lends_from: now + ALLOCATOR_LEASE,
            lent: BTreeMap::new(),
            demands: BTreeMap::new(),
        }
    }

    /// The total has changed, as when an engine warms up. It applies to what is lent from now on.
    pub fn set_total(&mut self, total: f64) {
        self.total = total;
    }

    /// What may be lent altogether.
    fn pool(&self) -> f64 {
        self.total * (1.0 - FLOOR_SHARE)
    }

    /// A planner asks for a quota beyond its floor; `request` increases with each of its requests. Returns what it is lent
    /// for [`LEASE_DURATION`] from when it asked, or `None` if the request was delayed or duplicated.
    pub fn request(&mut self, now: Timestamp, planner: &PlannerId, request: u64, wanted: f64) -> Option<f64> {
        if self.lent.get(planner).is_some_and(|lent| lent.last_request >= request) {
            return None;
        }
        self.lent.retain(|other, lent| other == planner || lent.amount(now) > 0.0);
        let until = now + ALLOCATOR_LEASE;
        self.demands.insert(planner.clone(), Expiring { amount: wanted.max(0.0), until });
        self.demands.retain(|_, demand| demand.counts(now));
        let free = (self.pool() - self.lent_to_others(now, planner)).max(0.0);
        let amount = if now >= self.lends_from { self.fair_share(planner).min(free) } else { 0.0 };
        let lent = self.lent.entry(planner.clone()).or_default();
        lent.last_request = request;
        lent.leases.retain(|lease| lease.counts(now));
        lent.leases.push_back(Expiring { amount, until });
        Some(amount)
    }

    fn lent_to_others(&self, now: Timestamp, planner: &PlannerId) -> f64 {
        let others = self.lent.iter().filter(|(other, _)| *other != planner);
        others.map(|(_, lent)| lent.amount(now)).sum()
    }

    /// The planner's share of the pool by max-min fairness: nobody gets more than it wants, and what is left by those who
    /// want little goes to the others.
    fn fair_share(&self, planner: &PlannerId) -> f64 {
        let mut demands: Vec<f64> = self.demands.values().map(|demand| demand.amount).collect();
        demands.sort_by(f64::total_cmp);
        let (mut left, mut level) = (self.pool(), 0.0);
        for (index, demand) in demands.iter().enumerate() {
            level = left / (demands.len() - index) as f64;
            left -= demand.min(level);
        }
        self.demands.get(planner).map_or(0.0, |own| own.amount.min(level))
    }
}

/// A planner's leased quota of one resource, beyond its floor.
#[derive(Clone, Debug, Default)]
pub struct QuotaLease {
    /// The number of the last request.
    last_request: u64,
    /// When each request without a response was sent.
    pending: BTreeMap<u64, Timestamp>,
    /// The newest request whose response was taken.
    last_response: u64,
    amount: f64,
    /// The end of the lease.
    until: Timestamp,
}

impl QuotaLease {
    /// No quota beyond the floor.
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins a request; the returned number must be sent with it. A planner that was restarted must go on above the
    /// numbers that it used before: `at_least` is a number that it cannot have used.
    pub fn begin_request(&mut self, now: Timestamp, at_least: u64) -> u64 {
        self.last_request = self.last_request.max(at_least) + 1;
        self.pending.insert(self.last_request, now);
        while self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_first();
        }
        self.last_request
    }

    /// The allocator has answered a request. A response to an older request than the last one taken is ignored.
    pub fn on_response(&mut self, request: u64, amount: f64) {
        let Some(requested_at) = self.pending.remove(&request) else { return };
        if request > self.last_response {
            self.last_response = request;
            self.amount = amount;
            self.until = requested_at + LEASE_DURATION;
        }
    }

    /// What the planner may use now beyond its floor.
    pub fn amount(&self, now: Timestamp) -> f64 {
        if now < self.until { self.amount } else { 0.0 }
    }

    /// When to ask again: halfway through the lease.
    pub fn renew_at(&self) -> Timestamp {
        self.until - LEASE_DURATION / 2
    }
}
