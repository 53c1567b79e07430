//! The list of engines changes, or a deduplication window ends, while a request is on its way.

use std::io::{BufRead, Write};
use std::time::{Duration, Instant};

use crate::proxy::{Coordinator, Engine, Launch, Proxy, TIMEOUT, event, query, wait_within};
use crate::{
    assert_only_next_query_arrives, open_idle_connection, serve, with_coordinator, with_long_dial_timeout,
};

/// The dial of a retry completes after the window in which engines drop repeats: it is not sent, and the client is answered.
#[test]
fn a_retry_whose_dial_outlasts_its_deduplication_window_is_not_sent() {
    for (group, command) in [("all", "E 53000"), ("zone", "E 58000")] {
        let (first, coordinator) = (Engine::new(), Coordinator::new());
        let (second, fills) = Engine::with_full_backlog();
        let keyed = format!(r#""load", "effect": "keyed", "group": "{group}", "window_ms": 600"#);
        let at = coordinator.0.local_addr().unwrap();
        let change = |text: String| {
            let text = with_long_dial_timeout(text);
            let text = text.replace(r#""load", "effect": "unsafe""#, &keyed);
            with_coordinator(text, at)
        };
        let proxy = Launch { edit_config: &change, ..Launch::new(&[&first]) }.start();
        let (mut stream, _) = coordinator.accept();
        let mut client = proxy.client();
        client.send(&query("load", 1, 15_000));
        let mut connection = first.accept();
        connection.command();
        let sent = Instant::now();
        stream.write_all(event(2, &[second.list_entry("s-9", "SERVING")]).as_bytes()).unwrap();
        wait_within(TIMEOUT, "the second is listed", || proxy.statistic("/discovered") == Some(2));
        drop(connection);
        // The window has passed, by far more than what rules leave for a slow clock.
        std::thread::sleep(Duration::from_millis(900).saturating_sub(sent.elapsed()));
        drop((fills, second.accept()));
        assert!(client.read_response().starts_with(command), "group {group}");
        assert_eq!(proxy.attempts_once_idle(), 1);
    }
}

/// The engine begins to drain as a request is on its way to it.
#[test]
fn a_request_that_crosses_a_drain_is_not_sent_after_it() {
    let (engine, first) = Engine::with_full_backlog();
    let coordinator = Coordinator::new();
    let at = coordinator.0.local_addr().unwrap();
    let change = |text: String| {
        let text = with_long_dial_timeout(text);
        with_coordinator(text, at)
    };
    let proxy = Launch { edit_config: &change, ..Launch::new(&[&engine]) }.start();
    let (mut stream, _) = coordinator.accept();
    let mut client = proxy.client();
    client.send(&query("load", 1, 4_000));
    wait_within(TIMEOUT, "it waits", || proxy.statistic("/outstanding") == Some(1));
    stream.write_all(event(2, &[engine.list_entry("s-0", "DRAINING")]).as_bytes()).unwrap();
    // Told and read: what comes behind an event of the stream is applied in its order.
    let other = Engine::new();
    stream.write_all(event(3, &[other.list_entry("s-1", "SERVING")]).as_bytes()).unwrap();
    let mut connection = other.accept();
    drop((first, engine.accept()));
    assert_eq!(connection.command()[1], format!("{:016x}", 1), "it goes elsewhere");
    serve(&mut connection, 1);
    assert_eq!(client.read_response(), "TDC");
    assert_eq!(proxy.attempts_once_idle(), 1);
}

/// A listed engine is at another address from now on: what answers at the old one is another.
#[test]
fn a_database_that_moves_is_reached_on_new_connections() {
    let (old, new, coordinator) = (Engine::new(), Engine::new(), Coordinator::new());
    let proxy = Proxy::follow(&[&old], Some(&coordinator));
    let (mut stream, _) = coordinator.accept();
    let mut connection = open_idle_connection(&proxy, &old, 1);
    stream.write_all(event(2, &[new.list_entry("s-0", "SERVING")]).as_bytes()).unwrap();
    // Events are applied in their order.
    stream.write_all(event(3, &[Engine::new().list_entry("s-1", "DRAINING")]).as_bytes()).unwrap();
    wait_within(TIMEOUT, "both are applied", || proxy.statistic("/discovered") == Some(2));
    let mut moved = open_idle_connection(&proxy, &new, 2);
    assert_only_next_query_arrives(&proxy, &mut moved);
    let mut answer = String::new();
    connection.0.read_line(&mut answer).unwrap();
    assert_eq!(answer, "", "the old connection is closed and nothing was sent on it");
}
