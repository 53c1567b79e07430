//! The list of engines changes, or a deduplication window ends, while a request is being sent.

use std::io::{BufRead, Write};
use std::time::{Duration, Instant};

use crate::proxy::{Coordinator, Engine, Launch, Proxy, TIMEOUT, event, query, wait_within};
use crate::{
    assert_only_next_query_arrives, open_idle_connection, serve, with_coordinator, with_long_dial_timeout,
};

/// The dial of a retry completes after the window in which engines discard duplicates: the proxy does not
/// send the retry and the client receives an error.
#[test]
fn a_retry_whose_dial_outlasts_its_deduplication_window_is_not_sent() {
    for (group, error) in [("all", "E 53000"), ("zone", "E 58000")] {
        let (first, coordinator) = (Engine::new(), Coordinator::new());
        let (second, backlog) = Engine::with_full_backlog();
        let keyed = format!(r#""load", "effect": "keyed", "group": "{group}", "window_ms": 600"#);
        let coordinator_address = coordinator.0.local_addr().unwrap();
        let edit_config = |text: String| {
            let text = with_long_dial_timeout(text);
            let text = text.replace(r#""load", "effect": "unsafe""#, &keyed);
            with_coordinator(text, coordinator_address)
        };
        let proxy = Launch { edit_config: &edit_config, ..Launch::new(&[&first]) }.start();
        let (mut stream, _) = coordinator.accept();
        let mut client = proxy.client();
        client.send(&query("load", 1, 15_000));
        let mut connection = first.accept();
        connection.command();
        let sent = Instant::now();
        stream.write_all(event(2, &[second.list_entry("s-9", "SERVING")]).as_bytes()).unwrap();
        wait_within(TIMEOUT, "the second engine is listed", || proxy.statistic("/discovered") == Some(2));
        drop(connection);
        // Wait until the window has passed by far more than the margin that the proxy keeps for clock
        // differences.
        std::thread::sleep(Duration::from_millis(900).saturating_sub(sent.elapsed()));
        drop((backlog, second.accept()));
        assert!(client.read_response().starts_with(error), "group {group}");
        assert_eq!(proxy.attempts_once_idle(), 1);
    }
}

/// An engine begins to drain while the proxy dials it for a request: the request goes to another engine.
#[test]
fn a_request_is_not_sent_to_an_engine_that_begins_to_drain_during_the_dial() {
    let (engine, backlog) = Engine::with_full_backlog();
    let coordinator = Coordinator::new();
    let coordinator_address = coordinator.0.local_addr().unwrap();
    let edit_config = |text: String| {
        let text = with_long_dial_timeout(text);
        with_coordinator(text, coordinator_address)
    };
    let proxy = Launch { edit_config: &edit_config, ..Launch::new(&[&engine]) }.start();
    let (mut stream, _) = coordinator.accept();
    let mut client = proxy.client();
    client.send(&query("load", 1, 4_000));
    wait_within(TIMEOUT, "the request waits for the dial", || proxy.statistic("/outstanding") == Some(1));
    stream.write_all(event(2, &[engine.list_entry("s-0", "DRAINING")]).as_bytes()).unwrap();
    // Events are applied in order: once the next event has an effect, the drain has been applied.
    let other = Engine::new();
    stream.write_all(event(3, &[other.list_entry("s-1", "SERVING")]).as_bytes()).unwrap();
    let mut connection = other.accept();
    drop((backlog, engine.accept()));
    assert_eq!(connection.command()[1], format!("{:016x}", 1), "the request goes to the other engine");
    serve(&mut connection, 1);
    assert_eq!(client.read_response(), "TDC");
    assert_eq!(proxy.attempts_once_idle(), 1);
}

/// The address of a listed engine changes: another server may listen at the old address, so the proxy closes
/// the old connections and dials the new address.
#[test]
fn an_engine_that_moves_is_reached_on_new_connections() {
    let (old, new, coordinator) = (Engine::new(), Engine::new(), Coordinator::new());
    let proxy = Proxy::follow(&[&old], Some(&coordinator));
    let (mut stream, _) = coordinator.accept();
    let mut connection = open_idle_connection(&proxy, &old, 1);
    stream.write_all(event(2, &[new.list_entry("s-0", "SERVING")]).as_bytes()).unwrap();
    // Events are applied in order, so the second one shows that the first has been applied.
    stream.write_all(event(3, &[Engine::new().list_entry("s-1", "DRAINING")]).as_bytes()).unwrap();
    wait_within(TIMEOUT, "both events are applied", || proxy.statistic("/discovered") == Some(2));
    let mut moved = open_idle_connection(&proxy, &new, 2);
    assert_only_next_query_arrives(&proxy, &mut moved);
    let mut received = String::new();
    connection.0.read_line(&mut received).unwrap();
    assert_eq!(received, "", "the old connection is closed and nothing was sent on it");
}
