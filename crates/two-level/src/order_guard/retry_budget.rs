//! The retry budget of a forwarder over all its requests.

use std::collections::VecDeque;
use std::time::Duration;

use gaugestep_clock::Timestamp;

/// The number of retries that a forwarder may make in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries that are allowed regardless of the number of requests.
    pub base: f64,
    /// Additional retries that are allowed for each request that arrived in the window.
    pub ratio: f64,
    /// The length of the window.
    pub window: Duration,
}

/// The requests and retries within the window. Without settings any number of retries is allowed.
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

    /// Whether one more retry is allowed at this time.
    pub fn is_available(&self, now: Timestamp) -> bool {
        let Some(RetryBudgetSettings { base, ratio, window }) = self.settings else { return true };
        let count_in_window = |times: &VecDeque<Timestamp>| {
            times.iter().filter(|at| now.duration_since(**at) <= window).count() as f64
        };
        let allowed = base + ratio * count_in_window(&self.requests);
        count_in_window(&self.retries) + 1.0 <= allowed
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
