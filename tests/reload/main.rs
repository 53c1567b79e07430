//! A proxy that got its configuration by SIGHUP behaves like one that was started with it.
#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

#[path = "../common/proxy.rs"]
mod proxy;

mod configuration;
mod engine;
mod pairs;

use std::path::Path;

use engine::RecordingEngine;
use proxy::{Client, Coordinator, Engine, Launch, Proxy, TIMEOUT, event, query, wait_within};

/// The deadline of both classes in the configuration of the tests.
const LONG_DEADLINE: &str = r#""deadline_ms": 4000"#;
const SHORT_DEADLINE: &str = r#""deadline_ms": 1000"#;

/// The response window that a terminated proxy has logged, in milliseconds.
fn logged_response_window_ms(log: &Path) -> f64 {
    let lines = std::fs::read_to_string(log).unwrap();
    let lines = lines.lines().filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    let windows: Vec<f64> = lines.filter_map(|line| line["response_window_ms"].as_f64()).collect();
    assert_eq!(windows.len(), 1);
    windows[0]
}

/// Terminates the proxy while a request is open, which must end with a response. Returns the response window
/// in the log, in milliseconds.
fn response_window_ms(mut proxy: Proxy, engine: &Engine, log: &Path) -> f64 {
    let mut client = proxy.client();
    let _open = client.send_to(engine, &query("lookup", 1, 60_000));
    assert!(proxy.terminate().success());
    assert!(client.read_response().starts_with("E 53000"));
    logged_response_window_ms(log)
}

/// Guards against a response window that stays that of the start: requests were unanswered when SIGKILL came,
/// or were ended long before.
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

/// Guards against timeouts of connections that stay those of the start: engines closed idle connections
/// before the proxy did.
#[test]
fn connections_to_engines_follow_the_reloaded_settings() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut client = proxy.client();
    let (mut connection, serve) = client.send_to(&engine, &query("lookup", 1, 15_000));
    connection.serve(&serve[1]);
    assert_eq!(client.read_response(), "TDC");
    proxy.reload_with(r#""conn_idle_ms": 30000"#, r#""conn_idle_ms": 300"#, "/sighup_applied");
    connection.assert_closed_by_proxy();
}

/// Guards against a limit of open requests that follows the descriptors in the reloaded file, although the
/// process keeps those of its start.
#[test]
fn the_limits_of_the_process_stay_as_they_were_at_the_start() {
    // With 256 descriptors 76 requests may be open, and with 64 descriptors 18.
    const REQUESTS: u64 = 25;
    // Without engines all requests wait.
    let proxy = Proxy::start(&[]);
    proxy.reload_with(r#""sockets":256"#, r#""sockets":64"#, "/sighup_applied");
    let mut clients: Vec<Client> = (0..REQUESTS).map(|_| proxy.client()).collect();
    for (id, client) in (0..).zip(&mut clients) {
        client.send(&query("lookup", id, 15_000));
        wait_within(TIMEOUT, "one more request is open", || proxy.statistic("/outstanding") == Some(id + 1));
    }
}

/// Guards against zones that keep the positions of the start: an engine in a zone that a reload has added
/// counted as one of the first zone, and a keyed request that may have run there ran again in the new one.
#[test]
fn a_keyed_request_stays_in_its_zone_when_a_reload_adds_one() {
    let lossy = RecordingEngine::start("lossy", "dc", "k");
    lossy.loses_first_attempts(true);
    let added = RecordingEngine::start("added", "new", "k");
    let coordinator = Coordinator::new();
    let keyed = r#""effect": "keyed", "group": "zone", "window_ms": 5000"#;
    let edit_config = |text: String| text.replace(r#""effect": "unsafe""#, keyed);
    let launch = Launch { coordinator: Some(&coordinator), edit_config: &edit_config, ..Launch::new(&[]) };
    let proxy = launch.start();
    let (mut stream, _) = coordinator.accept();
    proxy.reload_with(r#""areas": ["dc"]"#, r#""areas": ["new", "dc"]"#, "/sighup_applied");
    let entries = [lossy.entry.clone(), added.entry.clone()];
    std::io::Write::write_all(&mut stream, event(2, &entries).as_bytes()).unwrap();
    wait_within(TIMEOUT, "both engines are listed", || proxy.statistic("/discovered") == Some(2));
    let mut client = proxy.client();
    let mut id = 0;
    wait_within(TIMEOUT, "some requests have reached the engine that loses responses", || {
        client.request(&query("load", id, 900));
        id += 1;
        lossy.received().len() >= 3
    });
    let (lossy, added) = (lossy.received(), added.received());
    let in_both: Vec<&String> = lossy.keys().filter(|id| added.contains_key(*id)).collect();
    assert_eq!(in_both, [""; 0]);
}
