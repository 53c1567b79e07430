//! Black-box tests of the dispatcher, one module for each concern.

#[path = "../common/mod.rs"]
mod common;

mod answers;
mod ordering_and_ranking;
mod outlier_ejection;
mod placement;
mod retries;
mod slow_start;
mod timeouts;
mod work_estimates;
