//! Retries: whether a request may have another attempt, by its effect, its failures and the retry budget.

use super::*;

/// Failed attempts after which a request is given up: what fails on several engines fails by itself.
const MAX_FAILED_ATTEMPTS: usize = 2;

/// Recent requests and retries.
#[derive(Default)]
pub struct RetryBudget {
    requests: RecentTimes,
    retries: RecentTimes,
}

impl RetryBudget {
    pub fn on_request(&mut self, context: &Context) {
        let span = context.settings.retry_budget.map_or(0.0, |budget| budget.window + 2.0 * TIMER_SLACK);
        self.requests.push(context.now);
        self.requests.forget(context.now, span);
        self.retries.forget(context.now, span);
    }

    pub fn on_retry(&mut self, now: Millis) {
        self.retries.push(now);
    }

    /// Whether one more attempt may be made. With `after_cancel` the one in flight counts as cancelled.
    pub fn allows(&self, context: &Context, request: &Request, after_cancel: bool) -> bool {
        let attempts = request.attempts.len();
        if attempts == 0 {
            return true;
        }
        let concurrent = context.settings.concurrent_attempts && request.running().next().is_none();
        let alone = request.is_idle() || after_cancel || concurrent;
        let repeatable = context.now < repeat_until(context, request, attempts);
        let failed = request.attempts.iter().filter(|it| it.outcome == Some(Outcome::Failed)).count();
        let permitted = failed < MAX_FAILED_ATTEMPTS && attempts < request.max_attempts;
        permitted && alone && repeatable && self.has_budget(context)
    }

    fn has_budget(&self, context: &Context) -> bool {
        let Some(budget) = context.settings.retry_budget else { return true };
        // The window of retries is taken a little longer than that of requests, to be safe at its edges.
        let retries = self.retries.count_since(context.now - budget.window - TIMER_SLACK);
        let requests = self.requests.count_since(context.now - budget.window + TIMER_SLACK);
        (retries + 1) as f64 <= budget.min_retries + budget.ratio * requests as f64
    }
}

/// Until when one more attempt may follow the request's first `count`, by the effect of repeats.
pub fn repeat_until(context: &Context, request: &Request, count: usize) -> Millis {
    request.repeat_until(context.settings.class(&request.new).idempotency, count) - TIMER_SLACK
}
