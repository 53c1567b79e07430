//! Compares the outcomes of requests at proxies that have a new version in force with those at all other
//! proxies.

use crate::schema::Plan;

/// A difference is significant if it exceeds this number of standard errors.
const MIN_STANDARD_ERRORS: f64 = 3.0;
/// The number of requests needed on each side of a comparison if the plan sets none.
const DEFAULT_LEAST_REQUESTS: u64 = 100;

/// The numbers of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected or failed.
    pub unserved: u64,
}

impl RequestCounts {
    fn total(&self) -> u64 {
        self.served + self.unserved
    }

    /// The fraction of requests that were not served, from 0 to 1; 0 if there were no requests.
    fn unserved_fraction(&self) -> f64 {
        self.unserved as f64 / self.total().max(1) as f64
    }

    /// The variance of [`unserved_fraction`](Self::unserved_fraction), taken as a binomial proportion.
    fn variance(&self) -> f64 {
        let fraction = self.unserved_fraction();
        fraction * (1.0 - fraction) / self.total().max(1) as f64
    }

    /// The increase since an earlier report of the same counters.
    pub(super) fn since(self, earlier: RequestCounts) -> RequestCounts {
        RequestCounts {
            served: self.served.saturating_sub(earlier.served),
            unserved: self.unserved.saturating_sub(earlier.unserved),
        }
    }

    pub(super) fn add(&mut self, other: RequestCounts) {
        self.served += other.served;
        self.unserved += other.unserved;
    }
}

/// The outcomes of requests during a rollout.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Comparison {
    /// At proxies that have the new version in force.
    pub(super) on_version: RequestCounts,
    /// At all other proxies.
    pub(super) on_others: RequestCounts,
}

impl Comparison {
    /// The reason to halt the rollout if proxies with the new version leave a larger fraction of requests
    /// unserved, by more than the plan tolerates and by a significant difference; otherwise `None`.
    pub(super) fn degradation(&self, plan: &Plan) -> Option<String> {
        let least = plan.least_requests.unwrap_or(DEFAULT_LEAST_REQUESTS).max(1);
        if plan.worse_by <= 0.0 || self.on_version.total() < least || self.on_others.total() < least {
            return None;
        }
        let (with, without) = (self.on_version.unserved_fraction(), self.on_others.unserved_fraction());
        let standard_error = (self.on_version.variance() + self.on_others.variance()).sqrt();
        let difference = with - without;
        let significant = difference > MIN_STANDARD_ERRORS * standard_error;
        (difference > plan.worse_by && significant).then(|| {
            format!(
                "{:.1}% of requests are not served on it, {:.1}% on the version before",
                with * 100.0,
                without * 100.0
            )
        })
    }
}
