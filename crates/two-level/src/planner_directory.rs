//! Which planner a forwarder follows: who is alive, and who comes first.
//!
//! Every forwarder judges by the responses that it gets itself, so planners that are unreachable from some forwarders are
//! dead to those alone. Forwarders are spread by rendezvous hashing, so that the death of a planner moves only its own
//! forwarders. A planner at capacity rejects further ones (bounded load), so that these are spread too.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use gaugestep_clock::Timestamp;

use crate::PlannerId;

/// How long a planner is not tried again after a failure; doubled with each further one in a row.
pub const BASE_BACKOFF: Duration = Duration::from_millis(500);
/// The longest time for which a planner is not tried again.
pub const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Doublings after which the backoff is far above [`MAX_BACKOFF`].
const MAX_DOUBLINGS: u32 = 10;
/// How many forwarders a planner takes beyond the mean, relative to it.
const CAPACITY_MARGIN: f64 = 0.25;

/// What a forwarder knows of a planner.
#[derive(Clone, Debug, Default)]
struct PlannerState {
    /// The end of its last lease; `None` if it has none or has failed since.
    lease_until: Option<Timestamp>,
    /// Not tried before; `None` if it did not fail.
    retry_at: Option<Timestamp>,
    /// Failures in a row.
    failures: u32,
}

/// The planners as one forwarder sees them.
#[derive(Clone, Debug)]
pub struct PlannerDirectory {
    forwarder: String,
    planners: BTreeMap<PlannerId, PlannerState>,
}

impl PlannerDirectory {
    /// The configured planners; nothing is known of them yet.
    pub fn new(forwarder: &str, planners: impl IntoIterator<Item = PlannerId>) -> Self {
        let planners = planners.into_iter().map(|planner| (planner, PlannerState::default())).collect();
        PlannerDirectory { forwarder: forwarder.to_owned(), planners }
    }

    /// The configured planners have changed.
    pub fn set_planners(&mut self, planners: impl IntoIterator<Item = PlannerId>) {
        let mut before = std::mem::take(&mut self.planners);
        self.planners = planners
            .into_iter()
            .map(|planner| (planner.clone(), before.remove(&planner).unwrap_or_default()))
            .collect();
    }

    /// A planner has granted a lease. It counts from when the forwarder sent the request, so a delayed response grants less.
    pub fn on_lease(&mut self, planner: &PlannerId, requested_at: Timestamp, duration: Duration) {
        if let Some(state) = self.planners.get_mut(planner) {
            let until = requested_at + duration;
            state.lease_until = Some(state.lease_until.map_or(until, |before| before.max(until)));
            state.failures = 0;
            state.retry_at = None;
        }
    }

    /// A planner rejected this forwarder, could not be reached, or let its lease expire.
    pub fn on_failure(&mut self, now: Timestamp, planner: &PlannerId) {
        if let Some(state) = self.planners.get_mut(planner) {
            let backoff = BASE_BACKOFF * (1 << state.failures.min(MAX_DOUBLINGS));
            state.lease_until = None;
            state.failures = state.failures.saturating_add(1);
            state.retry_at = Some(now + backoff.min(MAX_BACKOFF));
        }
    }

    /// Whether a planner's last lease has not expired.
    pub fn is_alive(&self, now: Timestamp, planner: &PlannerId) -> bool {
        let lease_until = self.planners.get(planner).and_then(|state| state.lease_until);
        lease_until.is_some_and(|until| now < until)
    }

    /// The planners to try now, in the order of preference, without those whose backoff has not ended.
    pub fn candidates(&self, now: Timestamp) -> Vec<PlannerId> {
        let open = self.planners.iter().filter(|(_, state)| state.retry_at.is_none_or(|at| now >= at));
        let mut open: Vec<(u64, &PlannerId)> =
            open.map(|(planner, _)| (self.rendezvous_weight(planner), planner)).collect();
        open.sort_unstable();
        open.into_iter().rev().map(|(_, planner)| planner.clone()).collect()
    }

    /// The planner to move to from the current one, if any: one that is preferred to it, alive, and did not fail lately.
    /// Forwarders return once their first planner is back.
    pub fn better_than(&self, now: Timestamp, current: &PlannerId) -> Option<PlannerId> {
        let candidates = self.candidates(now);
        let mut preferred = candidates.iter().take_while(|planner| *planner != current);
        preferred.find(|planner| self.is_alive(now, planner)).cloned()
    }

    /// When the next backoff ends; `None` if no planner is in a backoff.
    pub fn next_retry(&self, now: Timestamp) -> Option<Timestamp> {
        self.planners.values().filter_map(|state| state.retry_at).filter(|at| *at > now).min()
    }

    fn rendezvous_weight(&self, planner: &PlannerId) -> u64 {
        let mut hasher = DefaultHasher::new();
        (planner, &self.forwarder).hash(&mut hasher);
        hasher.finish()
    }
}

/// How many forwarders a planner takes at most, given how many forwarders are known and how many planners live.
pub fn max_forwarders(forwarders: usize, planners: usize) -> usize {
    let mean = forwarders as f64 / planners.max(1) as f64;
    (mean * (1.0 + CAPACITY_MARGIN)).ceil().max(1.0) as usize
}
