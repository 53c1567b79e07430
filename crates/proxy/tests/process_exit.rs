//! What is reported when the process ends: each case runs in a child process of its own.

use std::process::{Command, Output};

use gaugestep_proxy::process_exit;

/// The variable by which a child is told how to end.
const END: &str = "GAUGESTEP_TEST_END";

/// Runs the test `ends` in a process of its own.
fn run_child(end: &str) -> Output {
    let mut child = Command::new(std::env::current_exe().expect("the test has a path"));
    child.args(["--exact", "ends", "--nocapture"]).env(END, end);
    child.output().expect("the test can run itself")
}

/// In a child: ends the process as the parent says. In the parent: does nothing.
#[test]
fn ends() {
    let Ok(end) = std::env::var(END) else { return };
    process_exit::install();
    let action: fn() = match end.as_str() {
        "exit" => || std::process::exit(1),
        "planned" => || {
            process_exit::mark_planned();
            std::process::exit(1);
        },
        _ => || panic!("the panic of a test"),
    };
    let name = if end == "vital" { "ticker" } else { "worker" };
    let _ = std::thread::Builder::new().name(name.into()).spawn(action).unwrap().join();
    process_exit::mark_planned();
    std::process::exit(0);
}

#[test]
fn a_library_s_call_of_exit_is_reported_with_its_thread_and_place() {
    let output = run_child("exit");
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(error.contains("ended by a call of exit in thread 'worker'"), "{error}");
    assert!(error.contains("process_exit::ends"), "{error}");
}

#[test]
fn a_planned_end_is_not_reported() {
    let output = run_child("planned");
    assert_eq!(output.status.code(), Some(1));
    assert!(!String::from_utf8_lossy(&output.stderr).contains("call of exit"));
}

#[test]
fn a_panic_is_reported_and_aborts_the_process_if_its_thread_is_vital() {
    let alone = run_child("panic");
    assert_eq!(alone.status.code(), Some(0), "the other threads go on");
    assert!(String::from_utf8_lossy(&alone.stderr).contains("the panic of a test"));
    let vital = run_child("vital");
    assert_eq!(vital.status.code(), None, "aborted");
    assert!(String::from_utf8_lossy(&vital.stderr).contains("nothing goes on without thread 'ticker'"));
}
