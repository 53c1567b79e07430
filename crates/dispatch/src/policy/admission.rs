//! Admission: the quotas of tenants, and the requests that cannot end in time.

use crate::dispatcher::Context;
use crate::interface::{Millis, TenantId};
use crate::requests::Request;
use crate::stats::DecayingMean;

/// Horizon in milliseconds over which the requests of a tenant are counted.
const QUOTA_HORIZON: Millis = 5_000.0;
/// Standard deviations by which the count may exceed the quota, as arrivals fluctuate.
const QUOTA_TOLERANCE: f64 = 2.0;
/// A run is hopeless if it takes more than this many times the time until the deadline. Estimates and
/// progress reports are wrong by less than that.
const HOPELESS_RATIO: f64 = 2.0;

/// Finds the requests beyond their tenant's quota, to protect tenants from a flood of requests from another
/// one.
#[derive(Default)]
pub struct TenantQuotas {
    /// The recent requests of each tenant, by tenant number. The weight of a mean is the number of requests.
    pub recent_requests: Vec<DecayingMean>,
}

impl TenantQuotas {
    /// Counts a request. Returns the fraction of its tenant's recent traffic that is within this dispatcher's
    /// part of the quota, from 0 to 1; 1 for a tenant that is unknown or has no quota.
    pub fn on_request(&mut self, context: &Context, tenant: TenantId) -> f64 {
        let settings = context.settings.tenants.get(tenant.0);
        let Some(settings) = settings.filter(|settings| settings.quota_per_s > 0.0) else { return 1.0 };
        let Some(recent_requests) = self.recent_requests.get_mut(tenant.0) else { return 1.0 };
        recent_requests.add(1.0, context.now, QUOTA_HORIZON);
        let quota_requests =
            settings.quota_per_s / 1000.0 * QUOTA_HORIZON / context.settings.dispatchers as f64;
        let tolerated_requests = quota_requests + QUOTA_TOLERANCE * quota_requests.sqrt() + 1.0;
        (tolerated_requests / recent_requests.weight).min(1.0)
    }
}

/// Whether a run that takes this long from now on would end far beyond the request's deadline.
pub fn is_hopeless(context: &Context, request: &Request, run_time: Millis) -> bool {
    context.now + run_time / HOPELESS_RATIO > request.new.deadline
}
