//! Admission: the quotas of tenants, and which requests are hopeless.

use super::*;

/// ms over which a tenant's requests are counted, and standard deviations above its quota left to chance.
const QUOTA_HORIZON: Millis = 5_000.0;
const QUOTA_TOLERANCE: f64 = 2.0;
/// A request is given up when its run takes this many times the time that its client still waits: estimates
/// and progress reports are off by less.
const HOPELESS_RATIO: f64 = 2.0;

/// The recent requests of each tenant, as the weight of a mean. Guards others against a flood from one.
#[derive(Default)]
pub struct TenantQuotas(pub Vec<Mean>);

impl TenantQuotas {
    /// Counts a request; the part of its tenant's traffic that is within the quota, as far as this
    /// dispatcher's part of both tells more than chance.
    pub fn on_request(&mut self, context: &Context, tenant: TenantId) -> f64 {
        let limited = context.settings.tenants.get(tenant.0).filter(|tenant| tenant.quota_per_s > 0.0);
        let (Some(settings), Some(recent)) = (limited, self.0.get_mut(tenant.0)) else { return 1.0 };
        recent.add(1.0, context.now, QUOTA_HORIZON);
        let quota = settings.quota_per_s / 1000.0 * QUOTA_HORIZON / context.settings.dispatchers as f64;
        ((quota + QUOTA_TOLERANCE * quota.sqrt() + 1.0) / recent.weight).min(1.0)
    }
}

/// Whether a run that takes this long ends too late by far for the request's client.
pub fn is_hopeless(context: &Context, request: &Request, run: Millis) -> bool {
    context.now + run / HOPELESS_RATIO > request.new.deadline
}
