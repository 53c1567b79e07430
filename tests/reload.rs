//! A proxy that got its configuration by SIGHUP behaves like one that was started with it.
#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

#[path = "common/proxy.rs"]
mod proxy;

use proxy::{Engine, Launch, Proxy, query};

/// The deadline of both classes in the configuration of the tests.
const LONG_DEADLINE: &str = r#""deadline_ms": 4000"#;
const SHORT_DEADLINE: &str = r#""deadline_ms": 1000"#;

/// Terminates the proxy while a request is open, which must end with a response. Returns the response window in the
/// log, in milliseconds.
fn response_window_ms(mut proxy: Proxy, engine: &Engine, log: &std::path::Path) -> f64 {
    let mut client = proxy.client();
    let _open = client.send_to(engine, &query("lookup", 1, 60_000));
    assert!(proxy.terminate().success());
    assert!(client.read_response().starts_with("E 53000"));
    let lines = std::fs::read_to_string(log).unwrap();
    let lines = lines.lines().filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    let windows: Vec<f64> = lines.filter_map(|line| line["response_window_ms"].as_f64()).collect();
    assert_eq!(windows.len(), 1);
    windows[0]
}

/// Guards against a response window that stays that of the start: requests were unanswered when SIGKILL came, or were
/// ended long before.
#[test]
fn a_shutdown_responds_within_the_longest_deadline_of_the_reloaded_configuration() {
    let folder = tempfile::tempdir().unwrap();
    for (number, (from, to)) in
        [(LONG_DEADLINE, SHORT_DEADLINE), (SHORT_DEADLINE, LONG_DEADLINE)].into_iter().enumerate()
    {
        let engine = Engine::new();
        let engines = [&engine];
        let launch = |name: &str, deadline: &str| {
            let log = folder.path().join(format!("{name}-{number}"));
            let edit_config = |text: String| text.replace(LONG_DEADLINE, deadline);
            let launch =
                Launch { log: Some(log.clone()), edit_config: &edit_config, ..Launch::new(&engines) };
            (launch.start(), log)
        };
        let (reloaded, reloaded_log) = launch("reloaded", from);
        reloaded.reload_with(from, to, "/sighup_applied");
        let (started, started_log) = launch("started", to);
        let expected = response_window_ms(started, &engine, &started_log);
        assert_eq!(response_window_ms(reloaded, &engine, &reloaded_log), expected, "{from} to {to}");
    }
}
