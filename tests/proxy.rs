//! Black-box tests of the proxy as a process, with scripted clients, engines and a scripted coordinator.
#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

#[path = "common/proxy.rs"]
mod proxy;

use std::io::Write as _;
use std::net::TcpStream;

use proxy::{Client, Coordinator, Engine, Proxy, event, query, read_to_close};

#[test]
fn a_result_of_two_pages_is_served_completely_and_the_statement_is_forwarded_unchanged() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut client = proxy.client();
    let (mut connection, serve) = client.send_to(&engine, &query("lookup", 1, 5_000));
    assert_eq!(serve[1], format!("{:016x}", 1));
    assert!(serve[2].starts_with("queue=lookup,budget="), "{}", serve[2]);
    assert_eq!(serve[4], "SELECT a FROM sales_17.orders");
    connection.send(&serve[1], "HIT", "total=2,elapsed=5,rss=8,use=q:0;rif:1;x0:0.1", "a\tb\tc\n");
    assert_eq!(connection.command(), ["read", &serve[1], "1"]);
    connection.send(&serve[1], "PART", "index=1", "d\te\tf\n");
    assert_eq!(client.read_response(), "TDDC");
}

/// Guards against losing the final response when the dispatcher ends the request while the proxy still
/// handles the deadline (crates/proxy/src/facade/mailbox.rs).
#[test]
fn a_silent_engine_yields_one_response_at_the_deadline() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let (mut safe, mut load) = (proxy.client(), proxy.client());
    safe.send(&query("lookup", 1, 600));
    load.send(&query("load", 2, 600));
    assert_eq!(safe.read_response(), "E 53000 refused, nothing was done: backoff=700");
    // The load may have run, and a response that it was rejected would make the client run it again.
    assert_eq!(load.read_response(), "E 58000 failed: the statement may have run");
}

/// After a reset a load may have run and must not be retried; after a SHED message it has not run.
#[test]
fn a_load_is_retried_after_a_rejection_but_not_after_a_reset() {
    let (first, second) = (Engine::new(), Engine::new());
    let proxy = Proxy::start(&[&first]);
    let mut client = proxy.client();
    client.send(&query("load", 1, 5_000));
    let mut connection = first.accept();
    connection.command();
    drop(connection);
    assert_eq!(client.read_response(), "E 58000 failed: the statement may have run");
    drop(proxy);
    let proxy = Proxy::start(&[&second]);
    let mut client = proxy.client();
    let (mut connection, serve) = client.send_to(&second, &query("load", 2, 900));
    connection.send(&serve[1], "SHED", "-", "");
    assert!(client.read_response().starts_with("E 53000 refused"));
}

#[test]
fn invalid_fields_and_messages_are_rejected_at_once() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut client = proxy.client();
    for bad in ["SELECT 1", "/* rid=1,method=lookup,budget=5 */ SELECT 1", "/* */", "/* method=lookup"] {
        assert!(client.request(bad).starts_with("E 42601"), "{bad}");
    }
    assert!(client.request(&query("none", 1, 50)).starts_with("E 22023"));
    assert!(client.request(&query("lookup", 1, 0)).starts_with("E 42601"));
    assert_eq!(client.request(" ; "), "I");
    let mut oversized = Client::open(proxy.address);
    oversized.socket.write_all(b"Q\x7f\xff\xff\xff").unwrap();
    let response = read_to_close(&oversized.socket);
    assert!(response.contains("54000"), "{response:?}");
    for bad in ["budget=1e9", "budget=50,est=1e12", "budget=50,est=-1", "budget=50,space=NaN", "budget=inf"] {
        let text = format!("/* method=lookup,rid={:016x},{bad} */ SELECT a FROM sales_17.orders", 1);
        assert!(client.request(&text).starts_with("E 42601"), "{bad}");
    }
}

#[test]
fn a_malformed_line_of_an_engine_closes_the_connection_and_does_not_affect_the_session() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut client = proxy.client();
    client.send(&query("load", 1, 5_000));
    let mut connection = engine.accept();
    connection.command();
    connection.0.get_mut().write_all(b"what is this\r\n").unwrap();
    assert!(client.read_response().starts_with("E 58000"));
    assert_eq!(client.request(""), "I");
}

#[test]
fn the_query_of_a_client_that_disconnects_is_cancelled() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut client = proxy.client();
    let (mut connection, serve) = client.send_to(&engine, &query("lookup", 7, 15_000));
    drop(client);
    assert_eq!(connection.command(), ["cancel", &serve[1]]);
}

#[test]
fn sigterm_lets_open_requests_finish() {
    let engine = Engine::new();
    let mut proxy = Proxy::start(&[&engine]);
    let mut client = proxy.client();
    client.send(&query("lookup", 1, 15_000));
    let (mut connection, serve) = client.send_to(&engine, &query("lookup", 2, 15_000));
    let session = std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_millis(1_500));
        connection.serve(&serve[1]);
        (client.read_response(), read_to_close(&client.socket))
    });
    assert!(proxy.terminate().success());
    let (response, rest) = session.join().unwrap();
    assert_eq!(response, "TDC");
    assert!(rest.contains("57P03"), "the session ends with an error: {rest:?}");
}

/// Guards against a proxy that ends on SIGHUP, that keeps its stream to the old coordinator until that is
/// silent, or that applies an event twice.
#[test]
fn sighup_switches_to_the_new_coordinator_without_touching_attempts() {
    let (first, second) = (Engine::new(), Engine::new());
    let (old, new) = (Coordinator::new(), Coordinator::new());
    let proxy = Proxy::follow(&[&first], Some(&old));
    let (mut stream, last) = old.accept();
    assert_eq!(last, 1);
    let mut client = proxy.client();
    // This request has another class than the ones below, as on a busy machine its late response makes its
    // class slow.
    let (mut connection, serve) = client.send_to(&first, &query("load", 1, 15_000));
    // The new configuration contains event 1 again, which would list the first engine as serving.
    let replaced = [first.list_entry("s-0", "DRAINING"), second.list_entry("s-9", "SERVING")];
    stream.write_all(event(2, &replaced).as_bytes()).unwrap();
    wait_until_reached(&proxy, &second);
    proxy.load_invalid_configuration();
    proxy.reconfigure(&[&first], &new);
    let (_stream, last) = new.accept();
    assert_eq!(last, 2);
    assert_eq!(std::io::Read::read(&mut stream, &mut [0]).unwrap(), 0, "the old stream is closed");
    connection.serve(&serve[1]);
    assert_eq!(client.read_response(), "TDC");
    wait_until_reached(&proxy, &second);
}

/// Guards against applying an incomplete event, and against losing the list after a stream has broken.
#[test]
fn a_truncated_event_counts_only_once_it_is_complete() {
    let (first, second) = (Engine::new(), Engine::new());
    let coordinator = Coordinator::new();
    let proxy = Proxy::follow(&[&first], Some(&coordinator));
    let notice = event(2, &[first.list_entry("s-0", "DELETED"), second.list_entry("s-9", "SERVING")]);
    let (mut stream, _) = coordinator.accept();
    stream.write_all(&notice.as_bytes()[..notice.len() - 1]).unwrap();
    drop(stream);
    coordinator.fail();
    let (mut stream, last) = coordinator.accept();
    assert_eq!(last, 1);
    stream.write_all(notice.as_bytes()).unwrap();
    stream.write_all(notice.as_bytes()).unwrap();
    wait_until_reached(&proxy, &second);
}

/// Sends queries with short deadlines until one reaches this engine, which shows that the proxy has applied
/// its event.
fn wait_until_reached(proxy: &Proxy, engine: &Engine) {
    engine.0.set_nonblocking(true).unwrap();
    let mut client = proxy.client();
    for id in 1_000.. {
        client.send(&query("lookup", id, 100));
        std::thread::sleep(std::time::Duration::from_millis(50));
        if engine.0.accept().is_ok() {
            return;
        }
        assert!(id < 1_100, "the event is never applied");
        client.read_response();
    }
}

/// Guards against clients that occupy descriptors forever by sending nothing or a part of a message.
#[test]
fn clients_with_an_incomplete_message_receive_an_error_and_are_disconnected() {
    let proxy = Proxy::start(&[&Engine::new()]);
    let silent = TcpStream::connect(proxy.address).unwrap();
    let mut incomplete = proxy.client();
    let idle = &mut proxy.client();
    incomplete.socket.write_all(b"Q\0\0\0\x20/* met").unwrap();
    assert!(read_to_close(&silent).contains("57014"));
    assert!(read_to_close(&incomplete.socket).contains("57014"));
    assert_eq!(idle.request(""), "I", "an idle session stays open");
}

/// Guards against closing the connection with unread bytes, which resets it and loses the error that was sent
/// last.
#[test]
fn an_oversized_message_is_rejected_with_an_error_while_the_client_still_sends() {
    let proxy = Proxy::start(&[&Engine::new()]);
    let mut client = proxy.client();
    client.socket.write_all(b"Q\x03\x93\x87\0").unwrap();
    for _ in 0..600 {
        client.socket.write_all(&[b'x'; 10_000]).expect("the proxy still reads");
    }
    assert!(read_to_close(&client.socket).contains("54000"));
}

/// Guards against a client that names the id of another client's request and receives its response.
#[test]
fn the_id_of_an_open_request_is_rejected_for_other_requests() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let (mut first, mut second) = (proxy.client(), proxy.client());
    let (mut connection, serve) = first.send_to(&engine, &query("lookup", 1, 15_000));
    assert!(second.request(&query("load", 1, 15_000)).starts_with("E 42710"));
    connection.serve(&serve[1]);
    assert_eq!(first.read_response(), "TDC");
}

/// Guards against idle clients that keep their connections and prevent new clients from connecting.
#[test]
fn the_longest_idle_session_is_evicted_and_a_busy_one_is_not() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut busy = proxy.client();
    let (mut connection, serve) = busy.send_to(&engine, &query("lookup", 1, 15_000));
    // Two fifths of 256 descriptors are for sessions.
    let idle: Vec<Client> = (0..101).map(|_| proxy.client()).collect();
    assert_eq!(proxy.client().request(""), "I");
    assert_eq!(read_to_close(&idle[0].socket), "");
    connection.serve(&serve[1]);
    assert_eq!(busy.read_response(), "TDC");
}

/// Accepted requests receive a response before the platform sends SIGKILL, which is long before some of their
/// deadlines.
#[test]
fn sigterm_ends_requests_that_would_outlast_the_shutdown_with_an_error() {
    let engine = Engine::new();
    let mut proxy = Proxy::start(&[&engine]);
    let (mut safe, mut load) = (proxy.client(), proxy.client());
    safe.send(&query("lookup", 1, 60_000));
    load.send(&query("load", 2, 60_000));
    let _open = [engine.accept().command(), engine.accept().command()];
    assert!(proxy.terminate().success());
    assert!(safe.read_response().starts_with("E 53000"));
    assert!(load.read_response().starts_with("E 58000"));
}

/// Responses that belong to no request are discarded, and the connection stays in use.
#[test]
fn responses_with_an_unknown_id_and_duplicate_responses_are_ignored() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut client = proxy.client();
    let (mut connection, serve) = client.send_to(&engine, &query("lookup", 1, 15_000));
    connection.send("00000000deadbeef", "HIT", "total=1", "x\ty\tz\n");
    connection.send(&serve[1], "HIT", "total=2", "a\tb\tc\n");
    connection.send(&serve[1], "HIT", "total=2", "a\tb\tc\n");
    for _ in 0..2 {
        connection.send(&serve[1], "PART", "index=1", "d\te\tf\n");
    }
    assert_eq!(client.read_response(), "TDDC");
    client.send(&query("lookup", 2, 15_000));
    assert_eq!(connection.command()[..2], ["read", &serve[1]]);
    assert_eq!(connection.command()[1], format!("{:016x}", 2));
}

/// The client receives no malformed data, and a request of an unsafe class is not reported as not run.
#[test]
fn a_malformed_response_fails_a_load_without_affecting_other_requests() {
    let malformed = [
        ("HIT", "total=1", "a\tb\n"),
        ("HIT", "total=1", "a\tb\tc"),
        ("HIT", "total=x", "a\tb\tc\n"),
        ("SHED", "-", "-"),
    ];
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let (mut client, mut other) = (proxy.client(), proxy.client());
    let (mut other_connection, serve) = other.send_to(&engine, &query("load", 99, 15_000));
    for (id, (word, fields, body)) in (1..).zip(malformed) {
        client.send(&query("load", id, 15_000));
        let mut connection = engine.accept();
        let id = connection.command()[1].clone();
        if word == "SHED" {
            connection.send(&id, "HIT", "total=2", "a\tb\tc\n");
        }
        connection.send(&id, word, fields, body);
        assert!(client.read_response().starts_with("E 58000"), "{word} {fields} {body}");
    }
    other_connection.serve(&serve[1]);
    assert_eq!(other.read_response(), "TDC");
}

/// An engine whose machine fails leaves its connections open and silent.
#[test]
fn a_connection_without_a_response_to_a_health_check_is_closed() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut client = proxy.client();
    client.send(&query("load", 1, 60_000));
    let mut connection = engine.accept();
    connection.command();
    assert_eq!(connection.command(), ["health", "check"]);
    assert!(client.read_response().starts_with("E 58000"));
}

/// After a length that is too large, all further bytes on the connection count as part of the same response.
#[test]
fn a_response_that_never_completes_closes_its_connection() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut client = proxy.client();
    let (mut connection, serve) = client.send_to(&engine, &query("load", 1, 60_000));
    let socket = connection.0.get_mut();
    write!(socket, "{} HIT total=1 5000\r\n", serve[1]).unwrap();
    while socket.write_all(b"x").is_ok() {
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
    assert!(client.read_response().starts_with("E 58000"));
}

/// Guards against using an old connection or old health state for an endpoint id that is listed again.
#[test]
fn an_engine_that_returns_at_another_address_is_reached_on_new_connections() {
    let (first, second) = (Engine::new(), Engine::new());
    let coordinator = Coordinator::new();
    let proxy = Proxy::follow(&[&first], Some(&coordinator));
    let (mut stream, _) = coordinator.accept();
    let mut client = proxy.client();
    let (mut connection, serve) = client.send_to(&first, &query("lookup", 1, 15_000));
    connection.serve(&serve[1]);
    assert_eq!(client.read_response(), "TDC");
    stream.write_all(event(2, &[first.list_entry("s-0", "DELETED")]).as_bytes()).unwrap();
    assert_eq!(read_to_close(connection.0.get_ref()), "", "the old connection is closed");
    stream.write_all(event(3, &[second.list_entry("s-0", "SERVING")]).as_bytes()).unwrap();
    wait_until_reached(&proxy, &second);
}

/// The proxy has one worker thread. Guards against timers of the coroutine library, which resume a coroutine
/// on another thread.
#[cfg(target_os = "linux")]
#[test]
fn coroutines_run_on_one_thread() {
    let proxy = Proxy::start(&[&Engine::new()]);
    std::thread::sleep(std::time::Duration::from_millis(1_500));
    let busy = proxy.threads().iter().filter(|(name, waits)| name == "gaugestep" && *waits > 8).count();
    assert_eq!(busy, 1, "{:?}", proxy.threads());
}

/// Guards against blocking the worker thread while the kernel enlarges the descriptor table.
#[cfg(target_os = "linux")]
#[test]
fn the_descriptor_table_has_its_full_size_from_the_start() {
    let table_size: usize = Proxy::with_descriptors(900).status("FDSize:").parse().unwrap();
    assert!(table_size >= 900, "a table of {table_size} descriptors");
}
