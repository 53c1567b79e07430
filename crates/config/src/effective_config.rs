//! The limits that apply once a document is in force beside the proxy's own settings.

use crate::Document;
use crate::proxy_state::{PlatformLimits, RetryBudget};

/// The limits that apply: those of the proxy's own settings, where the document does not tighten them.
#[derive(Clone, Debug, PartialEq)]
pub struct EffectiveConfig {
    /// The tenants' requests per second, in the order of the settings; 0: no quota.
    pub quotas: Vec<f64>,
    /// Requests that may be open together.
    pub max_open: u64,
    /// Attempts for one request.
    pub max_attempts: u64,
    /// The retries allowed; `None` if they are not limited.
    pub retries: Option<RetryBudget>,
}

/// The limits under a document. The proxy's own settings win, whether or not the document was checked against them.
pub fn effective_config(document: &Document, platform: &PlatformLimits) -> EffectiveConfig {
    let document_quota = |name: &str| {
        let tenant = document.tenants.iter().find(|tenant| tenant.name == name);
        tenant.map(|tenant| tenant.quota_per_s)
    };
    let quotas = platform.tenants.iter().map(|tenant| {
        let own = tenant.quota_per_s;
        own.or_else(|| document_quota(&tenant.name)).unwrap_or(0.0)
    });
    let limits = document.limits.unwrap_or_default();
    EffectiveConfig {
        quotas: quotas.collect(),
        max_open: tightened(platform.max_open, limits.max_open),
        max_attempts: tightened(platform.max_attempts, limits.max_attempts),
        retries: effective_retries(document, platform),
    }
}

fn tightened(platform: u64, document: Option<u32>) -> u64 {
    document.map_or(platform, |limit| platform.min(limit.into()))
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
