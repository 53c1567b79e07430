//! A request id that comes again, and a new process at the address of one that has gone.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

use crate::proxy::{Coordinator, Engine, Proxy, TIMEOUT, event, query, wait_within};
use crate::{assert_only_next_query_arrives, open_idle_connection, serve};

/// Guards against a second run of a request that must not run twice, after its client has left.
#[test]
fn an_id_that_may_have_run_is_not_sent_again_for_another_client() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut connection = open_idle_connection(&proxy, &engine, 1);
    let mut first = proxy.client();
    first.send(&query("load", 7, 15_000));
    assert_eq!(connection.command()[..2], ["serve", "0000000000000007"]);
    first.close();
    assert_eq!(connection.command()[..2], ["cancel", "0000000000000007"]);
    proxy.attempts_once_idle();
    assert!(proxy.client().request(&query("load", 7, 15_000)).starts_with("E 42710"));
    let mut second = proxy.client();
    second.send(&query("load", 8, 15_000));
    assert_eq!(connection.command()[..2], ["serve", "0000000000000008"]);
    serve(&mut connection, 8);
    assert_eq!(second.read_response(), "TDC");
    assert!(second.request(&query("load", 8, 15_000)).starts_with("E 42710"));
    assert_only_next_query_arrives(&proxy, &mut connection);
}

/// Guards against a second run at the other process of an upgrade, in both directions.
#[test]
fn an_id_that_may_have_run_at_one_process_of_an_upgrade_is_not_sent_by_the_other() {
    let engine = Engine::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let old = Proxy::inherit(&listener, &[&engine]);
    let mut connection = open_idle_connection(&old, &engine, 1);
    let mut leaving = old.client();
    let mut staying = old.client();
    leaving.send(&query("load", 7, 15_000));
    assert_eq!(connection.command()[..2], ["serve", "0000000000000007"]);
    let new = Proxy::inherit(&listener, &[&engine]);
    leaving.close();
    old.signal("-TERM");
    wait_within(TIMEOUT, "the old process drains", || old.call("GET", "/ops/readiness").0 != 200);
    assert!(new.client().request(&query("load", 7, 15_000)).starts_with("E 42710"), "at the new process");
    let (mut other, command) = new.client().send_to(&engine, &query("load", 8, 15_000));
    assert_eq!(command[1], format!("{:016x}", 8));
    assert!(staying.request(&query("load", 8, 15_000)).starts_with("E 42710"), "at the old process");
    other.send(&command[1], "FAULT", "-", "");
}

/// Guards against a cancel that is lost because it reaches the process of an upgrade that lacks the session.
#[test]
fn a_cancel_that_reaches_the_other_process_of_an_upgrade_cancels_the_query() {
    let engine = Engine::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let old = Proxy::inherit(&listener, &[&engine]);
    let mut client = old.client();
    let (mut connection, command) = client.send_to(&engine, &query("load", 1, 15_000));
    let _new = Proxy::inherit(&listener, &[&engine]);
    old.signal("-TERM");
    wait_within(TIMEOUT, "the old process drains", || old.call("GET", "/ops/readiness").0 != 200);
    let _cancel = client.cancel();
    assert!(client.read_response().starts_with("E 57014"));
    assert_eq!(connection.command()[..2], ["cancel", &command[1]]);
}

/// Guards against work for an engine that has gone at the engine which has its address now.
#[test]
fn an_engine_at_the_address_of_a_listed_one_replaces_it() {
    let (engine, coordinator) = (Engine::new(), Coordinator::new());
    let proxy = Proxy::follow(&[&engine], Some(&coordinator));
    let (mut stream, _) = coordinator.accept();
    let mut old = open_idle_connection(&proxy, &engine, 1);
    stream.write_all(event(2, &[engine.list_entry("s-9", "SERVING")]).as_bytes()).unwrap();
    old.assert_closed_by_proxy();
    assert_eq!(proxy.statistic("/discovered"), Some(1));
    drop(open_idle_connection(&proxy, &engine, 2));
    // The late removal of the engine before does not remove the one that has its address.
    stream.write_all(event(3, &[engine.list_entry("s-0", "DELETED")]).as_bytes()).unwrap();
    drop(open_idle_connection(&proxy, &engine, 3));
    assert_eq!(proxy.statistic("/discovered"), Some(1));
}

/// Guards against connections to the process before, which may be silent, after an engine has restarted.
#[test]
fn a_restarted_engine_is_reached_on_new_connections() {
    let (engine, coordinator) = (Engine::new(), Coordinator::new());
    let proxy = Proxy::follow(&[&engine], Some(&coordinator));
    let (mut stream, _) = coordinator.accept();
    let mut old = open_idle_connection(&proxy, &engine, 1);
    let entry = engine.list_entry("s-0", "SERVING").replace('}', r#","up_since_ms":1700000000000}"#);
    stream.write_all(event(2, std::slice::from_ref(&entry)).as_bytes()).unwrap();
    old.assert_closed_by_proxy();
    let mut connection = open_idle_connection(&proxy, &engine, 2);
    // The same entry again is no restart.
    stream.write_all(event(3, &[entry]).as_bytes()).unwrap();
    assert_only_next_query_arrives(&proxy, &mut connection);
}

/// Guards against a cancel for a session of the process before that cancels a query of the restarted one.
#[test]
fn a_cancel_key_of_the_process_before_cancels_nothing_after_a_restart() {
    let engine = Engine::new();
    let mut proxy = Proxy::start(&[&engine]);
    let before = proxy.client();
    proxy.kill();
    proxy.restart();
    let mut after = proxy.client();
    let (mut connection, command) = after.send_to(&engine, &query("lookup", 1, 15_000));
    let mut cancel = before.cancel();
    let mut rest = Vec::new();
    cancel.read_to_end(&mut rest).expect("the cancel request is processed");
    let until = Instant::now() + Duration::from_millis(200);
    while Instant::now() < until && connection.is_silent() {}
    assert!(connection.is_silent(), "the query of another session is cancelled");
    connection.serve(&command[1]);
    assert_eq!(after.read_response(), "TDC");
}
