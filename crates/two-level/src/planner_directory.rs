//! The planners that a forwarder may follow: which of them are alive, and in which order it prefers them.
//!
//! Every forwarder decides by the responses that it receives itself, so a planner that only some forwarders
//! cannot reach counts as dead for those alone. Rendezvous hashing spreads the forwarders, so that the death
//! of a planner moves only its own forwarders. A planner at capacity rejects further forwarders (bounded
//! load), which spreads these as well.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use gaugestep_clock::Timestamp;

use crate::PlannerId;

/// The backoff after the first failure of a planner. It doubles with each further consecutive failure.
pub const BASE_BACKOFF: Duration = Duration::from_millis(500);
/// The upper limit of the backoff, at which it stops doubling.
pub const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Limit on the number of doublings, which avoids an overflow; the backoff is far above [`MAX_BACKOFF`] by
/// then.
const MAX_DOUBLINGS: u32 = 10;
/// The fraction of the mean by which the forwarders of a planner may exceed the mean.
const CAPACITY_MARGIN: f64 = 0.25;

/// The state of a planner as one forwarder knows it.
#[derive(Clone, Debug, Default)]
struct PlannerState {
    /// The end of its last lease; `None` if it granted none or has failed since.
    lease_until: Option<Timestamp>,
    /// The end of its backoff; `None` if it has not failed since its last lease.
    retry_at: Option<Timestamp>,
    /// The number of consecutive failures.
    failures: u32,
}

/// The planners as one forwarder knows them.
#[derive(Clone, Debug)]
pub struct PlannerDirectory {
    forwarder: String,
    planners: BTreeMap<PlannerId, PlannerState>,
}

impl PlannerDirectory {
    /// Creates the directory of a forwarder with the configured planners, none of which is alive yet.
    pub fn new(forwarder: &str, planners: impl IntoIterator<Item = PlannerId>) -> Self {
        let planners = planners.into_iter().map(|planner| (planner, PlannerState::default())).collect();
        PlannerDirectory { forwarder: forwarder.to_owned(), planners }
    }

    /// Replaces the configured planners. Planners that stay configured keep their state.
    pub fn set_planners(&mut self, planners: impl IntoIterator<Item = PlannerId>) {
        let mut previous = std::mem::take(&mut self.planners);
        self.planners = planners
            .into_iter()
            .map(|planner| (planner.clone(), previous.remove(&planner).unwrap_or_default()))
            .collect();
    }

    /// Records a lease that a planner granted. Its duration counts from when the forwarder sent the request,
    /// so that a delayed response yields a shorter lease.
    pub fn on_lease(&mut self, planner: &PlannerId, requested_at: Timestamp, duration: Duration) {
        if let Some(state) = self.planners.get_mut(planner) {
            let until = requested_at + duration;
            state.lease_until = Some(state.lease_until.map_or(until, |previous| previous.max(until)));
            state.failures = 0;
            state.retry_at = None;
        }
    }

    /// Records that a planner rejected this forwarder, could not be reached, or did not renew its lease in
    /// time.
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

    /// Returns the planners to try now in the order of preference, without those in a backoff.
    pub fn candidates(&self, now: Timestamp) -> Vec<PlannerId> {
        let available = self.planners.iter().filter(|(_, state)| state.retry_at.is_none_or(|at| now >= at));
        let mut by_weight: Vec<(u64, &PlannerId)> =
            available.map(|(planner, _)| (self.rendezvous_weight(planner), planner)).collect();
        by_weight.sort_unstable();
        by_weight.into_iter().rev().map(|(_, planner)| planner.clone()).collect()
    }

    /// Returns the first planner in the order of preference that precedes the current one, is alive and is
    /// not in a backoff, if any. A forwarder that follows it returns to its first planner once that has
    /// recovered.
    pub fn preferred_over(&self, now: Timestamp, current: &PlannerId) -> Option<PlannerId> {
        let candidates = self.candidates(now);
        let mut preferred = candidates.iter().take_while(|planner| *planner != current);
        preferred.find(|planner| self.is_alive(now, planner)).cloned()
    }

    /// Returns the time at which the next backoff ends; `None` if no planner is in a backoff.
    pub fn next_retry(&self, now: Timestamp) -> Option<Timestamp> {
        self.planners.values().filter_map(|state| state.retry_at).filter(|at| *at > now).min()
    }

    /// Returns the weight of a planner for this forwarder; the planner with the highest weight is preferred.
    fn rendezvous_weight(&self, planner: &PlannerId) -> u64 {
        let mut hasher = DefaultHasher::new();
        (planner, &self.forwarder).hash(&mut hasher);
        hasher.finish()
    }
}

/// Returns the most forwarders that a planner accepts, given the numbers of known forwarders and live
/// planners.
pub fn max_forwarders(forwarders: usize, planners: usize) -> usize {
    let mean = forwarders as f64 / planners.max(1) as f64;
    (mean * (1.0 + CAPACITY_MARGIN)).ceil().max(1.0) as usize
}
