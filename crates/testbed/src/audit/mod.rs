//! Checks from the records of a run whether requests were handled by the rules.
//!
//! The audit is independent of the code under test: it reads what clients, engines and engine lists recorded,
//! in the order of time, and reports each violation with the request or engine concerned. Where the records
//! do not suffice, as for an attempt that never reached an engine, it reports no violation, so that no report
//! is false.

mod engines;
mod requests;
mod retries;
mod violation;

use std::collections::BTreeMap;

pub use violation::Violation;

use crate::record::Record;

/// Whether the requests of a class may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Requests of the class may run any number of times.
    Safe,
    /// Requests of the class must never run twice.
    Unsafe,
}

/// The rules, with their limits and tolerances. Times are milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// The effect of each class, by its name.
    pub classes: BTreeMap<String, Effect>,
    /// The time after the client's deadline within which a final response may still arrive.
    pub response_slack_ms: f64,
    /// The time for which attempts may still reach an engine after their forwarder learned that the engine
    /// drains or is gone.
    pub drain_grace_ms: f64,
    /// The retry budget of each forwarder; `None` for no limit.
    pub retry_budget: Option<RetryBudget>,
    /// The limit on work for engines that are warming up; `None` for no limit.
    pub slow_start: Option<SlowStartRule>,
    /// The largest difference between the clocks of two processes that record.
    pub clock_skew_ms: f64,
}

/// The number of retries (attempts after the first one of a request) that a forwarder may make in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that are allowed regardless of the number of requests.
    pub base: f64,
    /// Additional retries that are allowed for each request in the window.
    pub ratio: f64,
    /// The length of the window in milliseconds.
    pub window_ms: f64,
}

/// The limit on the work that may reach an engine while it warms up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartRule {
    /// The fraction of its full capacity that an engine has at its start.
    pub initial_fraction: f64,
    /// Milliseconds from its start until an engine has its full capacity.
    pub warm_up_ms: f64,
    /// The allowed work in a window, as a multiple of the work that the current capacity completes in it.
    pub capacity_multiple: f64,
    /// The length of the window in milliseconds.
    pub window_ms: f64,
}

/// Counts of the events in the records.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// Requests that clients sent.
    pub requested: usize,
    /// Requests that were served.
    pub served: usize,
    /// Requests that were rejected.
    pub rejected: usize,
    /// Requests that failed.
    pub failed: usize,
    /// Requests whose clients disconnected before the response.
    pub client_gone: usize,
    /// Attempts that reached engines.
    pub attempts: usize,
}

/// Checks records against the rules. They are sorted by time first; records of the same time keep their
/// order.
pub fn audit(records: &[Record], rules: &Rules) -> (Vec<Violation>, Counts) {
    let mut ordered: Vec<&Record> = records.iter().collect();
    ordered.sort_by(|a, b| a.at().total_cmp(&b.at()));
    let (mut violations, counts) = requests::check(&ordered, rules);
    violations.extend(engines::check_draining(&ordered, rules));
    if let Some(budget) = &rules.retry_budget {
        violations.extend(retries::check(&ordered, budget, rules.clock_skew_ms));
    }
    if let Some(rule) = &rules.slow_start {
        violations.extend(engines::check_slow_start(&ordered, rule));
    }
    (violations, counts)
}
