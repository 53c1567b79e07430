//! The order in which waiting requests are sent.

use gaugestep_dispatch::interface::*;

use crate::common::*;

#[test]
fn requests_of_one_key_run_in_order_and_the_key_is_paused_after_a_reset() {
    let mut ordered = class(Idempotency::Unsafe, 1.0);
    ordered.ordered = true;
    let mut harness = Harness::new(settings(vec![ordered]), 3);
    let keyed = |number, deadline| NewRequest {
        order_key: Some(OrderKey("k".into())),
        ..request(number, 0, deadline)
    };
    let first = sends(&harness.arrive(keyed(1, 60_000.0)))[0];
    assert!(sends(&harness.arrive(keyed(2, 60_000.0))).is_empty());
    assert!(sends(&harness.arrive(keyed(3, 60_000.0))).is_empty());
    assert!(sends(&harness.end(1, 0, first, Outcome::Reset, 10.0)).is_empty());
    assert!(sends(&harness.advance(490.0)).is_empty(), "the key is paused for 500 ms");
    let second = sends(&harness.advance(100.0));
    assert_eq!(second.len(), 1);
    assert_eq!(sends(&harness.end(2, 0, second[0], Outcome::Served, 100.0)).len(), 1);
}

/// Issue i0db096: the head of a key with many queued requests must not wait behind new requests of the same
/// rank.
#[test]
fn head_of_a_long_ordered_queue_goes_before_a_single_request() {
    let mut ordered = class(Idempotency::Safe, 24.0);
    ordered.ordered = true;
    let mut harness = Harness::new(settings(vec![ordered, class(Idempotency::Safe, 24.0)]), 1);
    let engine = sends(&harness.arrive(request(1, 1, 60_000.0)))[0];
    assert!(sends(&harness.arrive(request(2, 1, 60_000.0))).is_empty(), "the engine has no capacity");
    for number in 10..14 {
        let keyed = NewRequest { order_key: Some(OrderKey("k".into())), ..request(number, 0, 60_000.0) };
        assert!(sends(&harness.arrive(keyed)).is_empty());
    }
    let actions = harness.end(1, 0, engine, Outcome::Served, 125.0);
    assert!(actions.contains(&Action::Send { id: id(10), engine }), "{actions:?}");
}

/// Issue icc2289: one tenant sends many times its quota; the request of another tenant must go before those
/// that the first one has waiting.
#[test]
fn tenant_above_its_quota_waits_behind_other_tenants() {
    let mut settings = settings(vec![class(Idempotency::Safe, 24.0)]);
    settings.tenants = vec![TenantSettings { quota_per_s: 1.0 }, TenantSettings { quota_per_s: 1.0 }];
    let mut harness = Harness::new(settings, 1);
    let request_of = |number, tenant| NewRequest { tenant: TenantId(tenant), ..request(number, 0, 60_000.0) };
    let engine = sends(&harness.arrive(request_of(0, 0)))[0];
    for number in 1..40 {
        harness.arrive(request_of(number, 0));
    }
    harness.arrive(request_of(90, 1));
    let mut sent = vec![0];
    for position in 0..30 {
        let last = sent[position];
        let actions = harness.end(last, 0, engine, Outcome::Served, 125.0);
        sent.extend((0..91).filter(|n| actions.contains(&Action::Send { id: id(*n), engine })));
    }
    let index = |number| sent.iter().position(|other| *other == number).unwrap_or(usize::MAX);
    assert!((20..40).all(|number| index(90) < index(number)), "{sent:?}");
}
