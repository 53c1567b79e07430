//! Tests of the reports when the process ends. Each case runs in its own child process.

use std::process::{Command, Output};

use gaugestep_proxy::process_exit;

/// The environment variable that selects how a child process ends.
const END_VARIABLE: &str = "GAUGESTEP_TEST_END";

/// Runs the test `ends` in a child process that ends as `end` says.
fn run_child(end: &str) -> Output {
    let mut child = Command::new(std::env::current_exe().expect("the test has a path"));
    child.args(["--exact", "ends", "--nocapture"]).env(END_VARIABLE, end);
    child.output().expect("the test can run itself")
}

/// In a child process, ends the process as [`END_VARIABLE`] says. Does nothing in the parent process.
#[test]
fn ends() {
    let Ok(end) = std::env::var(END_VARIABLE) else { return };
    process_exit::install();
    let action: fn() = match end.as_str() {
        "exit" => || std::process::exit(1),
        "planned" => || {
            process_exit::mark_planned();
            std::process::exit(1);
        },
        _ => || panic!("the panic of a test"),
    };
    let name = if end == "critical" { "ticker" } else { "worker" };
    let _ = std::thread::Builder::new().name(name.into()).spawn(action).unwrap().join();
    process_exit::mark_planned();
    std::process::exit(0);
}

#[test]
fn an_unplanned_call_of_exit_is_reported_with_its_thread_and_backtrace() {
    let output = run_child("exit");
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(error.contains("ended by a call of exit in thread 'worker'"), "{error}");
    assert!(error.contains("process_exit::ends"), "{error}");
}

#[test]
fn a_planned_call_of_exit_is_not_reported() {
    let output = run_child("planned");
    assert_eq!(output.status.code(), Some(1));
    assert!(!String::from_utf8_lossy(&output.stderr).contains("call of exit"));
}

#[test]
fn a_panic_is_reported_and_aborts_the_process_if_its_thread_is_critical() {
    let worker_panic = run_child("panic");
    assert_eq!(worker_panic.status.code(), Some(0), "the other threads keep running");
    assert!(String::from_utf8_lossy(&worker_panic.stderr).contains("the panic of a test"));
    let critical_panic = run_child("critical");
    assert_eq!(critical_panic.status.code(), None, "aborted");
    let error = String::from_utf8_lossy(&critical_panic.stderr);
    assert!(error.contains("the process cannot work without thread 'ticker'"));
}
