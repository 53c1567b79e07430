//! Pins the external interfaces of the programs: command lines, exit codes, wire protocols, JSON, schema and
//! log filters.
//!
//! Each test compares the output of a program with a golden file in `tests/golden/`. A missing or differing
//! file is a failure. To write the files again from the output of the current programs, run
//!
//! ```text
//! GAUGESTEP_WRITE_GOLDEN=1 cargo test --test compatibility
//! ```
//!
//! and review the difference: a changed golden file is a changed interface. Values that differ between runs
//! (ports, times, random keys, versions of the build) are replaced by a placeholder before they are compared.
//! Prose for people (help texts, log messages, start-up errors) is not pinned; names, codes, keys and
//! responses on the wire are.
#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

#[path = "../common/control.rs"]
mod control;
#[path = "../common/proxy.rs"]
mod proxy;

mod administration;
mod command_line;
mod control_api;
mod deploy_file;
mod downstream;
mod golden;
mod log_filters;
mod rejection_codes;
mod schema;
mod simulator_wire;
mod startup_errors;
mod upstream;
