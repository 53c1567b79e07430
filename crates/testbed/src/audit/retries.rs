//! Check of the retry budget of each forwarder.

use std::collections::{BTreeMap, BTreeSet};

use super::{RetryBudget, Violation};
use crate::record::Record;

/// When a forwarder took requests and made retries, since its start.
#[derive(Default)]
struct Forwarder {
    requests: Vec<f64>,
    retries: Vec<f64>,
}

/// How many of these times, which rise, lie within a window that ends at `at`.
fn count_in_window(times: &[f64], at: f64, window: f64) -> usize {
    times.iter().rev().take_while(|time| at - **time <= window).count()
}

/// Finds retries beyond the budget.
pub(super) fn check(ordered: &[&Record], budget: &RetryBudget, clock_skew_ms: f64) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut forwarders: BTreeMap<&str, Forwarder> = BTreeMap::new();
    let mut attempted = BTreeSet::new();
    for record in ordered {
        match record {
            Record::Requested { at, via, .. } => forwarders.entry(via).or_default().requests.push(*at),
            // A forwarder that starts again has a new budget.
            Record::ForwarderKilled { via, .. } => drop(forwarders.remove(via.as_str())),
            Record::AttemptStarted { at, via, id, .. } if !attempted.insert(id.as_str()) => {
                let forwarder = forwarders.entry(via).or_default();
                forwarder.retries.push(*at);
                // Attempts reach engines a little after they are counted, requests a little before.
                let made = count_in_window(&forwarder.retries, *at, budget.window_ms - clock_skew_ms);
                let requests = count_in_window(&forwarder.requests, *at, budget.window_ms + clock_skew_ms);
                let allowed = budget.base + budget.ratio * requests as f64;
                if made as f64 > allowed {
                    let (via, at) = (via.clone(), *at);
                    violations.push(Violation::RetryBudgetExceeded { via, at, made, allowed });
                }
            }
            _ => {}
        }
    }
    violations
}
