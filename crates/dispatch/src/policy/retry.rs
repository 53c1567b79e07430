//! Retries: whether a request may have another attempt, by its class's idempotency, its failures and the
//! retry budget.

use super::TIMER_SLACK;
use crate::dispatcher::Context;
use crate::interface::{Millis, Outcome};
use crate::requests::Request;
use crate::stats::RecentTimes;

/// Number of failed attempts after which a request is not retried: an error on several engines is caused by
/// the request.
const MAX_FAILED_ATTEMPTS: usize = 2;

/// The recent requests and retries of this dispatcher, which limit further retries.
#[derive(Default)]
pub struct RetryBudget {
    /// The arrival times of requests.
    requests: RecentTimes,
    /// The times at which retries were sent.
    retries: RecentTimes,
}

impl RetryBudget {
    /// Counts a request that arrives, and discards what is older than the budget's window.
    pub fn on_request(&mut self, context: &Context) {
        let budget = context.settings.retry_budget;
        let max_age = budget.map_or(0.0, |budget| budget.window + 2.0 * TIMER_SLACK);
        self.requests.push(context.now);
        self.requests.discard_older_than(max_age, context.now);
        self.retries.discard_older_than(max_age, context.now);
    }

    /// Counts a retry that is sent.
    pub fn on_retry(&mut self, now: Millis) {
        self.retries.push(now);
    }

    /// Whether one more attempt of the request may be sent. With `after_cancel` an attempt in flight does not
    /// prevent it, because it would be cancelled first.
    pub fn allows_attempt(&self, context: &Context, request: &Request, after_cancel: bool) -> bool {
        let attempts = request.attempts.len();
        if attempts == 0 {
            return true;
        }
        let failed = |outcome: Option<Outcome>| outcome == Some(Outcome::Failed);
        let failures = request.attempts.iter().filter(|attempt| failed(attempt.outcome)).count();
        let within_limits = failures < MAX_FAILED_ATTEMPTS && attempts < request.max_attempts;
        let may_run_concurrently = context.settings.concurrent_attempts && request.running().next().is_none();
        let concurrency_allowed = !request.is_in_flight() || after_cancel || may_run_concurrently;
        let may_repeat = context.now < may_repeat_until(context, request, attempts);
        within_limits && concurrency_allowed && may_repeat && self.has_budget(context)
    }

    /// Whether the retry budget permits one more retry; always true without a budget.
    fn has_budget(&self, context: &Context) -> bool {
        let Some(budget) = context.settings.retry_budget else { return true };
        // Retries are counted over a slightly longer window than requests, so that timing errors at its edges
        // cannot exceed the budget.
        let retries = self.retries.count_since(context.now - budget.window - TIMER_SLACK);
        let requests = self.requests.count_since(context.now - budget.window + TIMER_SLACK);
        (retries + 1) as f64 <= budget.min_retries + budget.ratio * requests as f64
    }
}

/// Until when one more attempt may follow the first `count` ones of the request, by its class's idempotency.
/// It lies one timer slack before the end of the window in which engines deduplicate the request.
pub fn may_repeat_until(context: &Context, request: &Request, count: usize) -> Millis {
    request.repeatable_until(context.settings.class(&request.new).idempotency, count) - TIMER_SLACK
}
