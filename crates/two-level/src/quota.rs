//! Quotas of planners: the capacity of an engine or the quota of a tenant over the complete fleet, divided
//! among planners.
//!
//! Each planner has a floor, which it may always use: an equal part of half of the total. One allocator for
//! each resource lends the other half, under leases, to the planners that request more.
//!
//! **Invariant.** The floors and leased quotas never exceed the total, whichever messages are lost, delayed
//! or duplicated, whichever process dies, and even if a clock runs a little fast. A planner counts its lease
//! from when it sent the request; the allocator counts it from when it lent the quota, and a tenth longer. A
//! restarted allocator does not know what it lent before, and lends nothing until every such lease has
//! expired.
//!
//! The allocator of a resource is one of the configured planners, whether it is alive or not
//! ([`allocator_of`]): if another planner took over whenever the allocator seems dead, both could lend the
//! same quota. While the allocator is dead, all planners use only their floors. A new list of planners may
//! result in another allocator, which lends only once the list is in force at all planners.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use gaugestep_clock::Timestamp;

use crate::PlannerId;

/// The duration of a lease, as the planner counts it.
pub const LEASE_DURATION: Duration = Duration::from_secs(2);
/// The duration of a lease as the allocator counts it. It is longer, as clocks may differ in rate by a few
/// percent.
const ALLOCATOR_LEASE_DURATION: Duration = Duration::from_millis(2_200);
/// The fraction of the total that is divided into floors.
const FLOOR_FRACTION: f64 = 0.5;
/// The most requests without a response that a planner keeps; older ones are discarded.
const MAX_PENDING_REQUESTS: usize = 16;

/// Returns the part of the total that each planner may always use.
pub fn floor(total: f64, planners: usize) -> f64 {
    total * FLOOR_FRACTION / planners.max(1) as f64
}

/// Returns the planner that lends a resource, by rendezvous hashing among all configured planners; `None` if
/// there are none.
pub fn allocator_of<'a>(resource: &str, planners: &'a [PlannerId]) -> Option<&'a PlannerId> {
    planners.iter().max_by_key(|planner| {
        let mut hasher = DefaultHasher::new();
        (resource, planner).hash(&mut hasher);
        hasher.finish()
    })
}

/// An amount that is valid until a time.
#[derive(Clone, Copy, Debug)]
struct Expiring {
    amount: f64,
    until: Timestamp,
}

impl Expiring {
    fn is_valid(&self, now: Timestamp) -> bool {
        now < self.until
    }
}

/// The leases that the allocator has granted to one planner.
#[derive(Clone, Debug, Default)]
struct GrantedLeases {
    /// All valid leases, as the planner may not have received the later ones yet.
    leases: VecDeque<Expiring>,
    /// The number of the newest request that got a response; requests with lower numbers were delayed.
    last_request: u64,
}

impl GrantedLeases {
    /// Returns the most that the planner may be using.
    fn amount(&self, now: Timestamp) -> f64 {
        self.leases.iter().filter(|lease| lease.is_valid(now)).map(|lease| lease.amount).fold(0.0, f64::max)
    }
}

/// Lends the quota of one resource.
#[derive(Clone, Debug)]
pub struct QuotaAllocator {
    total: f64,
    /// When all leases of an earlier allocator have expired.
    lending_starts_at: Timestamp,
    lent: BTreeMap<PlannerId, GrantedLeases>,
    /// The last demand of each planner.
    demands: BTreeMap<PlannerId, Expiring>,
}

impl QuotaAllocator {
    /// Creates an allocator that starts at `now` and does not know which leases were granted before.
    pub fn new(now: Timestamp, total: f64) -> Self {
        QuotaAllocator {
            total,
            lending_starts_at: now + ALLOCATOR_LEASE_DURATION,
            lent: BTreeMap::new(),
            demands: BTreeMap::new(),
        }
    }

    /// Changes the total, as when an engine warms up. The new total applies to later requests.
    pub fn set_total(&mut self, total: f64) {
        self.total = total;
    }

    /// Returns the part of the total that may be lent.
    fn pool(&self) -> f64 {
        self.total * (1.0 - FLOOR_FRACTION)
    }

    /// Handles the request of a planner for a quota beyond its floor. The number `request` increases with
    /// each request of the planner. Returns the quota that is lent for [`LEASE_DURATION`] from when the
    /// planner sent the request, or `None` if the request was delayed or duplicated.
    pub fn request(&mut self, now: Timestamp, planner: &PlannerId, request: u64, demand: f64) -> Option<f64> {
        if self.lent.get(planner).is_some_and(|leases| leases.last_request >= request) {
            return None;
        }
        self.lent.retain(|other, leases| other == planner || leases.amount(now) > 0.0);
        let until = now + ALLOCATOR_LEASE_DURATION;
        self.demands.insert(planner.clone(), Expiring { amount: demand.max(0.0), until });
        self.demands.retain(|_, demand| demand.is_valid(now));
        let available = (self.pool() - self.lent_to_other_planners(now, planner)).max(0.0);
        let may_lend = now >= self.lending_starts_at;
        let amount = if may_lend { self.fair_share(planner).min(available) } else { 0.0 };
        let granted = self.lent.entry(planner.clone()).or_default();
        granted.last_request = request;
        granted.leases.retain(|lease| lease.is_valid(now));
        granted.leases.push_back(Expiring { amount, until });
        Some(amount)
    }

    /// Returns the quota that is lent to all planners except this one.
    fn lent_to_other_planners(&self, now: Timestamp, planner: &PlannerId) -> f64 {
        let other_planners = self.lent.iter().filter(|(other, _)| *other != planner);
        other_planners.map(|(_, leases)| leases.amount(now)).sum()
    }

    /// Returns the part of the pool that a planner gets by max-min fairness: no planner gets more than its
    /// demand, and the remainder is divided among the planners with larger demands.
    fn fair_share(&self, planner: &PlannerId) -> f64 {
        let mut demands: Vec<f64> = self.demands.values().map(|demand| demand.amount).collect();
        demands.sort_by(f64::total_cmp);
        let (mut remaining, mut level) = (self.pool(), 0.0);
        for (index, demand) in demands.iter().enumerate() {
            level = remaining / (demands.len() - index) as f64;
            remaining -= demand.min(level);
        }
        self.demands.get(planner).map_or(0.0, |own| own.amount.min(level))
    }
}

/// The leased quota of one planner for one resource, beyond its floor.
#[derive(Clone, Debug, Default)]
pub struct QuotaLease {
    /// The number of the last request.
    last_request: u64,
    /// The time at which each request without a response was sent.
    pending: BTreeMap<u64, Timestamp>,
    /// The number of the newest request whose response was applied.
    last_response: u64,
    amount: f64,
    /// The end of the lease.
    until: Timestamp,
}

impl QuotaLease {
    /// Creates a lease without a quota beyond the floor.
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins a request, and returns its number, which must be sent with it. A restarted planner must use
    /// higher numbers than before: the returned number is above `above`, which must be no lower than any
    /// number used before the restart.
    pub fn begin_request(&mut self, now: Timestamp, above: u64) -> u64 {
        self.last_request = self.last_request.max(above) + 1;
        self.pending.insert(self.last_request, now);
        while self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_first();
        }
        self.last_request
    }

    /// Applies a response of the allocator. A response to an older request than the last one applied is
    /// ignored.
    pub fn on_response(&mut self, request: u64, amount: f64) {
        let Some(requested_at) = self.pending.remove(&request) else { return };
        if request > self.last_response {
            self.last_response = request;
            self.amount = amount;
            self.until = requested_at + LEASE_DURATION;
        }
    }

    /// Returns the quota that the planner may use now beyond its floor.
    pub fn amount(&self, now: Timestamp) -> f64 {
        if now < self.until { self.amount } else { 0.0 }
    }

    /// Returns the time at which to request the quota again: halfway through the lease.
    pub fn renew_at(&self) -> Timestamp {
        self.until - LEASE_DURATION / 2
    }
}
