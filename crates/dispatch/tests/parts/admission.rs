//! Quotas of tenants, and runs that are hopeless.

use super::*;
use crate::policy::{TenantQuotas, is_hopeless};
use crate::stats::Mean;

fn one_tenant(now: Millis, quota_per_s: f64, dispatchers: usize) -> Context {
    let mut context = safe_class(now);
    context.settings.tenants = vec![TenantSettings { quota_per_s }];
    context.settings.dispatchers = dispatchers;
    context
}

#[test]
fn tenant_below_its_quota_is_within_it() {
    let mut quotas = TenantQuotas(vec![Mean::default()]);
    for number in 0..200 {
        let part = quotas.on_request(&one_tenant(f64::from(number) * 100.0, 10.0, 1), TenantId(0));
        assert_eq!(part, 1.0, "10 requests a second are the quota");
    }
}

/// Ten times the quota: about a tenth of the traffic is within it, with what is left to chance somewhat more.
#[test]
fn tenant_above_its_quota_is_within_it_in_part() {
    let mut quotas = TenantQuotas(vec![Mean::default()]);
    let mut part = 1.0;
    for number in 0..4_000 {
        part = quotas.on_request(&one_tenant(f64::from(number) * 10.0, 10.0, 1), TenantId(0));
    }
    assert!((0.1..0.2).contains(&part), "{part}");
}

#[test]
fn quota_is_split_among_dispatchers() {
    let mut quotas = TenantQuotas(vec![Mean::default()]);
    let mut part = 1.0;
    for number in 0..4_000 {
        part = quotas.on_request(&one_tenant(f64::from(number) * 100.0, 10.0, 10), TenantId(0));
    }
    assert!((0.1..0.4).contains(&part), "this dispatcher sees all of the quota, ten times its part: {part}");
}

#[test]
fn tenant_without_a_quota_or_unknown_is_not_limited() {
    let mut quotas = TenantQuotas(vec![Mean::default()]);
    for _ in 0..1_000 {
        assert_eq!(quotas.on_request(&one_tenant(0.0, 0.0, 1), TenantId(0)), 1.0);
        assert_eq!(quotas.on_request(&one_tenant(0.0, 1.0, 1), TenantId(7)), 1.0);
    }
}

#[test]
fn run_is_hopeless_when_it_takes_more_than_twice_the_time_left() {
    let (context, request) = (safe_class(50_000.0), open_request(1));
    assert!(!is_hopeless(&context, &request, 20_000.0));
    assert!(is_hopeless(&context, &request, 20_001.0));
}
