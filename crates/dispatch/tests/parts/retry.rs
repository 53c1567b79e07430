//! Whether a request may have another attempt.

use super::common::{class, settings};
use super::*;
use crate::policy::{RetryBudget, may_repeat_until};

fn with_idempotency(now: Millis, idempotency: Idempotency) -> Context {
    context(now, settings(vec![class(idempotency, 1.0)]))
}

fn allows(context: &Context, attempts: Vec<Attempt>) -> bool {
    RetryBudget::default().allows_attempt(context, &Request { attempts, ..open_request(1) }, false)
}

#[test]
fn unsafe_request_is_retried_only_if_no_attempt_ran() {
    let context = with_idempotency(100.0, Idempotency::Unsafe);
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent] {
        assert!(allows(&context, vec![ended(0, 0.0, outcome)]), "{outcome:?}");
    }
    for outcome in [Outcome::Failed, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        assert!(!allows(&context, vec![ended(0, 0.0, outcome)]), "{outcome:?}");
    }
}

#[test]
fn keyed_request_is_retried_within_the_window_of_its_first_run() {
    let idempotency = Idempotency::Keyed(DedupGroup::All, 1_000.0);
    let attempts = || vec![ended(0, 0.0, Outcome::ConnectFailed), ended(1, 200.0, Outcome::Reset)];
    assert!(allows(&with_idempotency(1_189.0, idempotency), attempts()));
    assert!(
        !allows(&with_idempotency(1_190.0, idempotency), attempts()),
        "the last 10 ms of the window are a margin for delays"
    );
    let request = Request { attempts: attempts(), ..open_request(1) };
    assert_eq!(
        may_repeat_until(&with_idempotency(0.0, idempotency), &request, 1),
        f64::INFINITY,
        "the first never ran"
    );
}

#[test]
fn request_is_not_retried_after_two_failures_or_its_last_attempt() {
    let context = safe_class(0.0);
    let failures = |count| (0..count).map(|engine| ended(engine, 0.0, Outcome::Failed)).collect();
    assert!(allows(&context, failures(1)));
    assert!(!allows(&context, failures(2)));
    let resets = |count| (0..count).map(|engine| ended(engine, 0.0, Outcome::Reset)).collect();
    assert!(allows(&context, resets(3)));
    assert!(!allows(&context, resets(4)), "four attempts are the limit");
}

#[test]
fn attempt_in_flight_allows_another_one_only_as_a_concurrent_relaunch() {
    let mut context = safe_class(0.0);
    let mut attempt = Attempt::new(EngineId(0), 0.0);
    let retries = RetryBudget::default();
    let with = |attempt: &Attempt| Request { attempts: vec![attempt.clone()], ..open_request(1) };
    assert!(!retries.allows_attempt(&context, &with(&attempt), false));
    assert!(
        retries.allows_attempt(&context, &with(&attempt), true),
        "the attempt in flight counts as cancelled"
    );
    attempt.timeout_cancelled = true;
    assert!(!retries.allows_attempt(&context, &with(&attempt), false));
    context.settings.concurrent_attempts = true;
    assert!(retries.allows_attempt(&context, &with(&attempt), false));
}

#[test]
fn budget_allows_its_minimum_and_a_ratio_of_requests_in_its_window() {
    let budget = RetryBudgetSettings { min_retries: 1.0, ratio: 0.1, window: 1_000.0 };
    let mut context = safe_class(0.0);
    context.settings.retry_budget = Some(budget);
    let failed = Request { attempts: vec![ended(0, 0.0, Outcome::Reset)], ..open_request(1) };
    let mut retries = RetryBudget::default();
    for _ in 0..20 {
        retries.on_request(&context);
    }
    for made in 0..3 {
        assert!(retries.allows_attempt(&context, &failed, false), "{made} of three were made");
        retries.on_retry(context.now);
    }
    assert!(!retries.allows_attempt(&context, &failed, false));
    context.now = 1_500.0;
    retries.on_request(&context);
    assert!(retries.allows_attempt(&context, &failed, false), "the window has passed");
}
