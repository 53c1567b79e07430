//! The limits that apply at a proxy: those of its own settings combined with those of a document.

use crate::Document;
use crate::proxy_state::{PlatformLimits, RetryBudget};

/// The limits that apply: those of the proxy's own settings, or of the document where it sets tighter ones.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveConfig {
    /// The quota of each tenant in requests per second, in the order of the settings; 0 if it has no quota.
    pub quotas: Vec<f64>,
    /// The largest number of requests open at the same time.
    pub max_open: u64,
    /// The largest number of attempts per request.
    pub max_attempts: u64,
    /// The retry budget; `None` if retries are not limited.
    pub retries: Option<RetryBudget>,
}

/// Computes the limits that apply under a document. The proxy's own settings take precedence, even if the
/// document was not validated against them.
pub fn effective_config(document: &Document, platform: &PlatformLimits) -> EffectiveConfig {
    let document_quota = |name: &str| {
        let tenant = document.tenants.iter().find(|tenant| tenant.name == name);
        tenant.map(|tenant| tenant.quota_per_s)
    };
    let quotas = platform.tenants.iter().map(|tenant| {
        let platform_quota = tenant.quota_per_s;
        platform_quota.or_else(|| document_quota(&tenant.name)).unwrap_or(0.0)
    });
    let limits = document.limits.unwrap_or_default();
    EffectiveConfig {
        quotas: quotas.collect(),
        max_open: tightened_limit(platform.max_open, limits.max_open),
        max_attempts: tightened_limit(platform.max_attempts, limits.max_attempts),
        retries: effective_retries(document, platform),
    }
}

/// The lower one of a platform limit and the document's limit, if it sets one.
fn tightened_limit(platform_limit: u64, document_limit: Option<u32>) -> u64 {
    document_limit.map_or(platform_limit, |limit| platform_limit.min(limit.into()))
}

fn effective_retries(document: &Document, platform: &PlatformLimits) -> Option<RetryBudget> {
    let retries = document.retries.unwrap_or_default();
    match platform.retries {
        Some(budget) => Some(RetryBudget {
            ratio: retries.ratio.unwrap_or(budget.ratio).min(budget.ratio),
            free: retries.free.unwrap_or(budget.free).min(budget.free),
        }),
        None => retries.ratio.map(|ratio| RetryBudget { ratio, free: retries.free.unwrap_or(0.0) }),
    }
}
