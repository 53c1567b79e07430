//! The admin API and the signals of the proxy: statistics, drain, reload and take-over of the listening
//! socket.
#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

#[path = "common/proxy.rs"]
mod proxy;

use std::io::Write as _;
use std::net::TcpListener;
use std::time::{Duration, Instant};

use proxy::{Client, Engine, Proxy, TIMEOUT, query, read_to_close};

/// Guards against silent clients that block the admin API, and against counting the outcome of a request
/// twice.
#[test]
fn statistics_count_request_outcomes_while_silent_admin_connections_are_open() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let _silent: Vec<_> = (0..8).map(|_| proxy.admin_connection()).collect();
    let mut incomplete = proxy.admin_connection();
    incomplete.write_all(b"GET /ops/stats HT").unwrap();
    let (mut client, mut load) = (proxy.client(), proxy.client());
    let (mut connection, serve) = client.send_to(&engine, &query("lookup", 1, 15_000));
    assert_eq!(proxy.statistic("/outstanding"), Some(1));
    connection.serve(&serve[1]);
    assert_eq!(client.read_response(), "TDC");
    load.send(&query("load", 2, 15_000));
    let serve = connection.command();
    connection.send(&serve[1], "FAULT", "-", "");
    assert!(load.read_response().starts_with("E 58000"));
    client.send(&query("lookup", 3, 300));
    connection.command();
    assert!(client.read_response().starts_with("E 53000"));
    for (pointer, count) in [
        ("/results/lookup/succeeded", 1),
        ("/results/lookup/declined", 1),
        ("/results/load/aborted", 1),
        ("/forwards", 3),
        ("/outstanding", 0),
        ("/discovered", 1),
        ("/ejected", 0),
    ] {
        assert_eq!(proxy.statistic(pointer), Some(count), "{pointer}");
    }
    assert_eq!(proxy.call("GET", "/ops/none").0, 404);
    assert_eq!(proxy.call("GET", "/ops/drain/start").0, 405);
    assert!(read_to_close(&incomplete).contains("408"));
}

/// A drained proxy closes the sessions of its clients and accepts no new ones until the drain is stopped.
#[test]
fn a_drained_proxy_closes_its_sessions_and_serves_again_once_the_drain_is_stopped() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let (mut busy, idle) = (proxy.client(), proxy.client());
    let (mut connection, serve) = busy.send_to(&engine, &query("lookup", 1, 15_000));
    assert_eq!(proxy.call("PUT", "/ops/drain/start").0, 200);
    assert_eq!(proxy.call("GET", "/ops/readiness").0, 503);
    assert_eq!(read_to_close(&idle.socket), "", "an idle session is closed");
    connection.serve(&serve[1]);
    assert_eq!(busy.read_response(), "TDC", "an open request receives its response");
    assert_eq!(read_to_close(&busy.socket), "");
    let late = std::net::TcpStream::connect(proxy.address).unwrap();
    (&late).write_all(b"\0\0\0\x09\0\x03\0\0\0").unwrap();
    assert!(read_to_close(&late).contains("57P03"));
    assert_eq!(proxy.call("PUT", "/ops/drain/stop").0, 200);
    assert_eq!(proxy.call("GET", "/ops/readiness").0, 200);
    assert_eq!(proxy.client().request(""), "I");
}

/// Open requests keep the settings under which they were accepted, and an invalid file changes no setting.
#[test]
fn new_settings_apply_to_new_requests_and_invalid_ones_are_rejected() {
    let (first, second) = (Engine::new(), Engine::new());
    let proxy = Proxy::start(&[&first]);
    for (from, to) in [
        (r#""importance": 8"#, r#""x": 8"#),
        (r#""max_attempts": 4"#, r#""max_attempts": 0"#),
        (r#""deadline_ms": 4000"#, r#""deadline_ms": "4000""#),
        (r#""seed":"#, r#""x":"#),
    ] {
        proxy.reload_with(from, to, "/sighup_rejected");
    }
    let (mut old, mut new) = (proxy.client(), proxy.client());
    let (mut connection, serve) = old.send_to(&first, &query("lookup", 1, 15_000));
    let renamed = r#""name": "lookup", "effect": "unsafe""#;
    proxy.reload_with(r#""name": "lookup", "effect": "safe""#, renamed, "/sighup_applied");
    proxy.reload_with(r#""name": "load""#, r#""name": "import""#, "/sighup_applied");
    assert!(new.request(&query("load", 2, 900)).starts_with("E 22023"), "a class that was removed");
    new.send(&query("import", 3, 15_000));
    let mut other = first.accept();
    assert!(other.command()[2].starts_with("queue=import"));
    other.send(&format!("{:016x}", 3), "HIT", "total=1", "a\tb\tc\n");
    assert_eq!(new.read_response(), "TDC");
    // Under the settings of the old request its class is safe: it may be retried, and so it is rejected and
    // does not fail.
    connection.send(&serve[1], "FAULT", "-", "");
    drop((connection, second));
    assert!(!old.read_response().starts_with("E 58000"));
    assert_eq!(proxy.statistic("/sighup_applied"), Some(2));
}

/// Open and new requests are served while a successor takes over.
#[test]
fn a_successor_takes_over_the_listening_socket() {
    let engine = Engine::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut old = Proxy::inherit(&listener, &[&engine]);
    let (mut busy, mut idle) = (old.client(), old.client());
    let (mut connection, serve) = busy.send_to(&engine, &query("lookup", 1, 15_000));
    let new = Proxy::inherit(&listener, &[&engine]);
    old.signal("-TERM");
    let until = Instant::now() + TIMEOUT;
    while old.call("GET", "/ops/readiness").0 == 200 {
        assert!(Instant::now() < until);
    }
    std::thread::sleep(Duration::from_millis(1_000));
    let mut clients: Vec<Client> = (0..8).map(|_| new.client()).collect();
    assert!(clients.iter_mut().all(|client| client.request("") == "I"));
    assert_eq!(idle.request(""), "I", "an idle session stays open");
    drop(idle);
    connection.serve(&serve[1]);
    assert_eq!(busy.read_response(), "TDC");
    assert_eq!(read_to_close(&busy.socket), "", "the session is closed after its response");
    assert!(old.wait().success());
    assert_eq!(new.client().request(""), "I");
}
