//! Whether proxies on a new version serve their requests worse than the others.

use crate::schema::Plan;

/// How many standard errors a difference must measure before it counts as more than chance.
const SIGNIFICANT_STANDARD_ERRORS: f64 = 3.0;
/// Requests needed on each side of a comparison, where the plan names no number.
const DEFAULT_LEAST_REQUESTS: u64 = 100;

/// Outcomes of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests served.
    pub served: u64,
    /// Requests that were rejected or failed.
    pub unserved: u64,
}

impl RequestCounts {
    fn total(&self) -> u64 {
        self.served + self.unserved
    }

    /// The share of requests that were not served.
    fn unserved_share(&self) -> f64 {
        self.unserved as f64 / self.total().max(1) as f64
    }

    /// The variance of [`unserved_share`](Self::unserved_share), as of a binomial proportion.
    fn variance(&self) -> f64 {
        let share = self.unserved_share();
        share * (1.0 - share) / self.total().max(1) as f64
    }

    /// The growth since an earlier reading of the same counters.
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

/// Requests handled during a rollout.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Comparison {
    /// By proxies that have the new version in force.
    pub(super) on_version: RequestCounts,
    /// By all others.
    pub(super) on_others: RequestCounts,
}

impl Comparison {
    /// Why the new version counts as worse: its proxies leave a larger share of requests unserved, by more than the plan
    /// tolerates and more than chance explains.
    pub(super) fn degradation(&self, plan: &Plan) -> Option<String> {
        let least = plan.least_requests.unwrap_or(DEFAULT_LEAST_REQUESTS).max(1);
        if plan.worse_by <= 0.0 || self.on_version.total() < least || self.on_others.total() < least {
            return None;
        }
        let (with, without) = (self.on_version.unserved_share(), self.on_others.unserved_share());
        let standard_error = (self.on_version.variance() + self.on_others.variance()).sqrt();
        let difference = with - without;
        let significant = difference > SIGNIFICANT_STANDARD_ERRORS * standard_error;
        (difference > plan.worse_by && significant).then(|| {
            format!(
                "{:.1}% of requests are not served on it, {:.1}% on the version before",
                with * 100.0,
                without * 100.0
            )
        })
    }
}
