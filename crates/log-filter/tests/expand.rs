//! Tests that filters which name modules by former paths still select the same log lines.

use std::io::Write;
use std::sync::{Arc, Mutex};

use gaugestep_log_filter::expand;
use tracing_subscriber::EnvFilter;

/// A log writer that collects its bytes in a buffer shared with the test.
#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no test panics while it holds the buffer").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Logs a debug line and an info line under a current path, and returns the lines that pass the expanded
/// filter.
fn lines_of_task_module(filter: &str) -> String {
    let buffer = SharedBuffer::default();
    let writer = buffer.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::try_new(expand(filter)).expect("the expanded filter can be parsed"))
        .with_writer(move || writer.clone())
        .with_ansi(false)
        .finish();
    tracing::subscriber::with_default(subscriber, || {
        tracing::debug!(target: "gaugestep_coroutine_io::task", "a debug line");
        tracing::info!(target: "gaugestep_coroutine_io::task", "an info line");
    });
    let bytes = buffer.0.lock().expect("no test panics while it holds the buffer").clone();
    String::from_utf8(bytes).expect("log lines are UTF-8")
}

#[test]
fn a_former_path_still_selects_the_lines_of_the_module() {
    assert!(lines_of_task_module("info").contains("an info line"));
    assert!(!lines_of_task_module("info").contains("a debug line"));
    assert!(lines_of_task_module("info,gaugestep_coio::task=debug").contains("a debug line"));
    assert!(!lines_of_task_module("info,gaugestep_coio::task=warn").contains("an info line"));
    assert!(lines_of_task_module("info,gaugestep_coio=debug").contains("a debug line"));
}

#[test]
fn the_most_specific_former_path_wins_in_either_order() {
    for filter in [
        "gaugestep_coio::task=debug,gaugestep_coio::=warn",
        "gaugestep_coio::=warn,gaugestep_coio::task=debug",
    ] {
        assert!(lines_of_task_module(filter).contains("a debug line"), "{filter}");
    }
}

#[test]
fn a_directive_for_the_current_path_wins_over_one_for_the_former() {
    let filter = "gaugestep_coroutine_io::task=warn,gaugestep_coio::task=debug";
    assert!(!lines_of_task_module(filter).contains("a debug line"));
}

#[test]
fn spans_and_missing_levels_are_preserved() {
    assert_eq!(
        expand("gaugestep_coio::task[accept]=debug"),
        "gaugestep_coroutine_io::task[accept]=debug,gaugestep_coio::task[accept]=debug"
    );
    assert_eq!(expand("gaugestep_coio::task"), "gaugestep_coroutine_io::task,gaugestep_coio::task");
}

#[test]
fn directives_of_other_modules_are_passed_on_unchanged() {
    for filter in ["", "info", "gaugestep=debug", "gaugestep_control=debug,may=warn", "=,,x=y"] {
        assert_eq!(expand(filter), filter);
    }
}

#[test]
fn a_directive_for_a_moved_module_does_not_apply_to_modules_that_are_now_inside_it() {
    let server = "gaugestep_control_plane::server";
    for (filter, admin_level) in [
        ("gaugestep_control::service=info", "off"),
        ("warn,gaugestep_control::service=info", "warn"),
        ("gaugestep_control=debug,gaugestep_control::service=info", "debug"),
    ] {
        let expanded = expand(filter);
        assert!(expanded.contains(&format!("{server}=info")), "{expanded}");
        assert!(expanded.contains(&format!("{server}::admin={admin_level}")), "{expanded}");
    }
    let expanded = expand("gaugestep_control::service=info,gaugestep_control::calls=trace");
    assert!(expanded.contains(&format!("{server}::admin=trace")), "{expanded}");
    assert!(!expanded.contains(&format!("{server}::admin=off")), "{expanded}");
}

#[test]
fn all_former_paths_of_a_module_are_expanded() {
    for former in ["gaugestep::net", "gaugestep::net::front", "gaugestep::net::front::pg"] {
        let expanded = expand(&format!("{former}=debug"));
        assert!(expanded.contains("gaugestep_proxy::downstream=debug"), "{expanded}");
    }
}
