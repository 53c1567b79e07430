//! Whether requests were treated by the rules, from the records alone.
//!
//! The auditor knows nothing of how the program decides: it takes what clients, engines and lists saw, in the order of
//! time, and names each violation with the request or engine concerned. Where records cannot tell (an attempt that an
//! engine never saw), it reports nothing: it must not invent violations.

mod engines;
mod requests;
mod retries;
mod violation;

use std::collections::BTreeMap;

pub use violation::Violation;

use crate::record::Record;

/// What a repeat of a class would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may be repeated.
    Safe,
    /// It must never run twice.
    Unsafe,
}

/// The rules, with their limits and tolerances. Times are milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Classes by name.
    pub classes: BTreeMap<String, Effect>,
    /// A final answer may come this long after the client's deadline.
    pub response_slack_ms: f64,
    /// New work may reach an engine this long after its forwarder learned that it drains or is gone.
    pub drain_grace_ms: f64,
    /// The budget of each forwarder for attempts beyond requests' first.
    pub retry_budget: Option<RetryBudget>,
    /// What may be sent to an engine that is warming up.
    pub slow_start: Option<SlowStartRule>,
    /// The largest difference between the clocks of two processes that record.
    pub clock_skew_ms: f64,
}

/// The attempts beyond requests' first that a forwarder may make in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed in any case.
    pub base: f64,
    /// Retries allowed for each request of the window.
    pub ratio: f64,
    /// The window in milliseconds.
    pub window_ms: f64,
}

/// What may be sent to an engine that is warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartRule {
    /// The share of its capacity at its start.
    pub initial_fraction: f64,
    /// Milliseconds until it has its full capacity.
    pub warm_up_ms: f64,
    /// It is overloaded by more than this multiple of its present capacity...
    pub capacity_multiple: f64,
    /// ...over a window of this many milliseconds.
    pub window_ms: f64,
}

/// What the records hold, counted.
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
    /// Requests whose clients left before the answer.
    pub client_gone: usize,
    /// Attempts that reached engines.
    pub attempts: usize,
}

/// Checks records against the rules. They may come in any order; those of one moment keep theirs.
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
