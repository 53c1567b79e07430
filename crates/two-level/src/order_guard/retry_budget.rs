//! The budget of retries over all requests of a forwarder.

use std::collections::VecDeque;
use std::time::Duration;

use gaugestep_clock::Timestamp;

/// How many retries a forwarder may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries that are allowed in any window, however few requests arrive.
    pub base: f64,
    /// Retries that are allowed for each request that arrived in the window.
    pub ratio: f64,
    /// The length of the window.
    pub window: Duration,
}

/// Counts requests and retries within the window. Without settings any number of retries is allowed.
#[derive(Clone, Debug)]
pub(super) struct RetryBudget {
    settings: Option<RetryBudgetSettings>,
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

impl RetryBudget {
    pub fn new(settings: Option<RetryBudgetSettings>) -> Self {
        RetryBudget { settings, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    pub fn record_request(&mut self, now: Timestamp) {
        self.remove_expired(now);
        self.requests.push_back(now);
    }

    pub fn record_retry(&mut self, now: Timestamp) {
        self.remove_expired(now);
        self.retries.push_back(now);
    }

    /// Whether one more retry is allowed.
    pub fn is_available(&self, now: Timestamp) -> bool {
        let Some(RetryBudgetSettings { base, ratio, window }) = self.settings else { return true };
        let within = |times: &VecDeque<Timestamp>| {
            times.iter().filter(|at| now.duration_since(**at) <= window).count() as f64
        };
        within(&self.retries) + 1.0 <= base + ratio * within(&self.requests)
    }

    fn remove_expired(&mut self, now: Timestamp) {
        let window = self.settings.map_or(Duration::ZERO, |settings| settings.window);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.duration_since(*at) > window) {
                times.pop_front();
            }
        }
    }
}
