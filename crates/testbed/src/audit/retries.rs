//! Check of the retry budget of each forwarder.

use std::collections::{BTreeMap, BTreeSet};

use super::{RetryBudget, Violation};
use crate::record::Record;

/// The times at which a forwarder received requests and made retries since its start.
#[derive(Default)]
struct Forwarder {
    requests: Vec<f64>,
    retries: Vec<f64>,
}

/// Counts the times, which are in ascending order, within the window that ends at `at`.
fn count_in_window(times: &[f64], at: f64, window: f64) -> usize {
    times.iter().rev().take_while(|time| at - **time <= window).count()
}

/// Finds retries beyond the budget of their forwarder.
pub(super) fn check(ordered: &[&Record], budget: &RetryBudget, clock_skew_ms: f64) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut forwarders: BTreeMap<&str, Forwarder> = BTreeMap::new();
    let mut attempted = BTreeSet::new();
    for record in ordered {
        match record {
            Record::Requested { at, via, .. } => forwarders.entry(via).or_default().requests.push(*at),
            // A restarted forwarder has a new budget.
            Record::ForwarderKilled { via, .. } => drop(forwarders.remove(via.as_str())),
            Record::AttemptStarted { at, via, id, .. } if !attempted.insert(id.as_str()) => {
                let forwarder = forwarders.entry(via).or_default();
                forwarder.retries.push(*at);
                // A forwarder counts attempts shortly before engines record them, and requests shortly after
                // clients record them. The clock skew therefore narrows and widens the two windows.
                let retries = count_in_window(&forwarder.retries, *at, budget.window_ms - clock_skew_ms);
                let requests = count_in_window(&forwarder.requests, *at, budget.window_ms + clock_skew_ms);
                let allowed = budget.base + budget.ratio * requests as f64;
                if retries as f64 > allowed {
                    let (via, at) = (via.clone(), *at);
                    violations.push(Violation::RetryBudgetExceeded { via, at, retries, allowed });
                }
            }
            _ => {}
        }
    }
    violations
}
