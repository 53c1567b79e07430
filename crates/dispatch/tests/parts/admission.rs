//! Quotas of tenants, and runs that cannot end in time.

use super::*;
use crate::policy::{TenantQuotas, is_hopeless};
use crate::stats::DecayingMean;

fn one_tenant(now: Millis, quota_per_s: f64, dispatchers: usize) -> Context {
    let mut context = safe_class(now);
    context.settings.tenants = vec![TenantSettings { quota_per_s }];
    context.settings.dispatchers = dispatchers;
    context
}

#[test]
fn tenant_below_its_quota_is_within_it() {
    let mut quotas = TenantQuotas { recent_requests: vec![DecayingMean::default()] };
    for number in 0..200 {
        let in_quota = quotas.on_request(&one_tenant(f64::from(number) * 100.0, 10.0, 1), TenantId(0));
        assert_eq!(in_quota, 1.0, "10 requests a second are the quota");
    }
}

/// At ten times the quota, a tenth of the traffic is within it, and somewhat more with the tolerance.
#[test]
fn fraction_in_quota_falls_for_a_tenant_above_its_quota() {
    let mut quotas = TenantQuotas { recent_requests: vec![DecayingMean::default()] };
    let mut in_quota = 1.0;
    for number in 0..4_000 {
        in_quota = quotas.on_request(&one_tenant(f64::from(number) * 10.0, 10.0, 1), TenantId(0));
    }
    assert!((0.1..0.2).contains(&in_quota), "{in_quota}");
}

#[test]
fn quota_is_split_among_dispatchers() {
    let mut quotas = TenantQuotas { recent_requests: vec![DecayingMean::default()] };
    let mut in_quota = 1.0;
    for number in 0..4_000 {
        in_quota = quotas.on_request(&one_tenant(f64::from(number) * 100.0, 10.0, 10), TenantId(0));
    }
    assert!((0.1..0.4).contains(&in_quota), "the traffic is ten times this dispatcher's part: {in_quota}");
}

#[test]
fn tenant_without_a_quota_or_unknown_is_not_limited() {
    let mut quotas = TenantQuotas { recent_requests: vec![DecayingMean::default()] };
    for _ in 0..1_000 {
        assert_eq!(quotas.on_request(&one_tenant(0.0, 0.0, 1), TenantId(0)), 1.0);
        assert_eq!(quotas.on_request(&one_tenant(0.0, 1.0, 1), TenantId(7)), 1.0);
    }
}

#[test]
fn run_is_hopeless_when_it_takes_more_than_twice_the_time_until_the_deadline() {
    let (context, request) = (safe_class(50_000.0), open_request(1));
    assert!(!is_hopeless(&context, &request, 20_000.0));
    assert!(is_hopeless(&context, &request, 20_001.0));
}
