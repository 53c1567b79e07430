//! Versioned configuration with the real programs: proxies, a real or a scripted control server, and operator
//! commands.
#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

#[path = "../common/control.rs"]
mod control;
#[path = "../common/proxy.rs"]
mod proxy;

mod interfaces;
mod last_good_version;
mod recovery;
mod rollouts;
mod validation;

use std::path::PathBuf;

use proxy::{Proxy, query};

/// The state folder of a proxy, which holds its last good version.
fn state_folder(folder: &tempfile::TempDir) -> PathBuf {
    folder.path().join("n0")
}

fn in_force(proxy: &Proxy) -> u64 {
    proxy.statistic("/configuration/version").unwrap()
}

fn run_query(proxy: &Proxy, class: &str, id: u64) -> String {
    proxy.client().request(&query(class, id, 3_000))
}
