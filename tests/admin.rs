//! Tests of what operators do with the real program, started as a process.

#[path = "common/proxy.rs"]
mod proxy;

use std::io::Write as _;
use std::net::TcpListener;
use std::time::{Duration, Instant};

use proxy::{Client, Database, PATIENCE, Proxy, query, rest};

/// Guards the door against callers that stay silent, and the figures against what clients and databases do.
#[test]
fn statistics_count_request_outcomes_while_silent_admin_connections_are_open() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let _silent: Vec<_> = (0..8).map(|_| proxy.door()).collect();
    let mut half = proxy.door();
    half.write_all(b"GET /ops/stats HT").unwrap();
    let (mut client, mut load) = (proxy.client(), proxy.client());
    client.send(&query("lookup", 1, 15_000));
    let mut lines = database.accept();
    let serve = lines.command();
    assert_eq!(proxy.figure("/outstanding"), Some(1));
    lines.say(&serve[1], "HIT", "total=1", "a\tb\tc\n");
    assert_eq!(client.answer(), "TDC");
    load.send(&query("load", 2, 15_000));
    let serve = lines.command();
    lines.say(&serve[1], "FAULT", "-", "");
    assert!(load.answer().starts_with("E 58000"));
    client.send(&query("lookup", 3, 300));
    lines.command();
    assert!(client.answer().starts_with("E 53000"));
    for (pointer, count) in [
        ("/results/lookup/succeeded", 1),
        ("/results/lookup/declined", 1),
        ("/results/load/aborted", 1),
        ("/forwards", 3),
        ("/outstanding", 0),
        ("/discovered", 1),
        ("/ejected", 0),
    ] {
        assert_eq!(proxy.figure(pointer), Some(count), "{pointer}");
    }
    assert_eq!(proxy.call("GET", "/ops/none").0, 404);
    assert_eq!(proxy.call("GET", "/ops/drain/start").0, 405);
    assert!(rest(&half).contains("408"));
}

/// Guards against clients that stay on a drained proxy, and against one that does not come back.
#[test]
fn a_drained_proxy_closes_its_sessions_and_serves_again_once_the_drain_is_stopped() {
    let database = Database::new();
    let proxy = Proxy::start(&[&database]);
    let (mut busy, idle) = (proxy.client(), proxy.client());
    busy.send(&query("lookup", 1, 15_000));
    let mut lines = database.accept();
    let serve = lines.command();
    assert_eq!(proxy.call("PUT", "/ops/drain/start").0, 200);
    assert_eq!(proxy.call("GET", "/ops/readiness").0, 503);
    assert_eq!(rest(&idle.socket), "", "an idle session is closed");
    lines.say(&serve[1], "HIT", "total=1", "a\tb\tc\n");
    assert_eq!(busy.answer(), "TDC", "what is open is answered");
    assert_eq!(rest(&busy.socket), "");
    let late = std::net::TcpStream::connect(proxy.address).unwrap();
    (&late).write_all(b"\0\0\0\x09\0\x03\0\0\0").unwrap();
    assert!(rest(&late).contains("57P03"));
    assert_eq!(proxy.call("PUT", "/ops/drain/stop").0, 200);
    assert_eq!(proxy.call("GET", "/ops/readiness").0, 200);
    assert_eq!(proxy.client().ask(""), "I");
}

/// Guards requests that are open against rules that came after them, and the proxy against files that are spoilt.
#[test]
fn new_settings_apply_to_new_requests_and_invalid_ones_are_rejected() {
    let (first, second) = (Database::new(), Database::new());
    let proxy = Proxy::start(&[&first]);
    for (from, to) in [
        (r#""importance": 8"#, r#""x": 8"#),
        (r#""max_attempts": 4"#, r#""max_attempts": 0"#),
        (r#""deadline_ms": 4000"#, r#""deadline_ms": "4000""#),
        (r#""seed":"#, r#""x":"#),
    ] {
        proxy.retune(from, to, "/sighup_rejected");
    }
    let (mut old, mut new) = (proxy.client(), proxy.client());
    old.send(&query("lookup", 1, 15_000));
    let mut lines = first.accept();
    let serve = lines.command();
    let renamed = r#""name": "lookup", "effect": "unsafe""#;
    proxy.retune(r#""name": "lookup", "effect": "safe""#, renamed, "/sighup_applied");
    proxy.retune(r#""name": "load""#, r#""name": "import""#, "/sighup_applied");
    assert!(new.ask(&query("load", 2, 900)).starts_with("E 22023"), "a class that was dropped");
    new.send(&query("import", 3, 15_000));
    let mut other = first.accept();
    assert!(other.command()[2].starts_with("queue=import"));
    other.say(&format!("{:016x}", 3), "HIT", "total=1", "a\tb\tc\n");
    assert_eq!(new.answer(), "TDC");
    // Under its own rules the old request may be tried again, and so it is refused and not failed.
    lines.say(&serve[1], "FAULT", "-", "");
    drop((lines, second));
    assert!(!old.answer().starts_with("E 58000"));
    assert_eq!(proxy.figure("/sighup_applied"), Some(2));
}

/// Guards what clients have open, and what they send next, while a successor takes over.
#[test]
fn a_successor_takes_over_the_listening_socket() {
    let database = Database::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut old = Proxy::inherit(&listener, &[&database]);
    let (mut busy, mut idle) = (old.client(), old.client());
    busy.send(&query("lookup", 1, 15_000));
    let mut lines = database.accept();
    let serve = lines.command();
    let new = Proxy::inherit(&listener, &[&database]);
    old.signal("-TERM");
    let until = Instant::now() + PATIENCE;
    while old.call("GET", "/ops/readiness").0 == 200 {
        assert!(Instant::now() < until);
    }
    std::thread::sleep(Duration::from_millis(1_000));
    let mut clients: Vec<Client> = (0..8).map(|_| new.client()).collect();
    assert!(clients.iter_mut().all(|client| client.ask("") == "I"));
    assert_eq!(idle.ask(""), "I", "an idle session is left to its client");
    drop(idle);
    lines.say(&serve[1], "HIT", "total=1", "a\tb\tc\n");
    assert_eq!(busy.answer(), "TDC");
    assert_eq!(rest(&busy.socket), "", "closed behind its answer");
    assert!(old.wait().success());
    assert_eq!(new.client().ask(""), "I");
}
