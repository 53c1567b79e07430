//! A session or a connection to an engine closes while a message is on its way on it.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::proxy::{Engine, Proxy, TIMEOUT, query, read_to_close, wait_within};
use crate::{open_idle_connection, serve};

/// The proxy closes an idle session as it shuts down while the client sends its next query: the proxy does
/// not forward the query, and the client sees an orderly close and no reset.
#[test]
fn a_query_that_crosses_the_close_of_its_session_is_neither_forwarded_nor_reset() {
    let engine = Engine::new();
    let mut proxy = Proxy::start(&[&engine]);
    let connection = open_idle_connection(&proxy, &engine, 1);
    let mut client = proxy.client();
    proxy.signal("-TERM");
    assert_eq!(client.socket.read(&mut [0]).unwrap(), 0, "the session is closed");
    client.send(&query("lookup", 2, 15_000));
    assert!(proxy.wait().success());
    assert_eq!(client.socket.read(&mut [0]).unwrap(), 0);
    assert!(client.socket.take_error().unwrap().is_none(), "the session is not reset");
    let mut forwarded = String::new();
    let mut connection = connection;
    connection.0.read_to_string(&mut forwarded).unwrap();
    assert_eq!(forwarded, "", "no query is forwarded");
}

/// A client that sends a query, a Terminate message and further bytes at once still receives the response to
/// its query.
#[test]
fn bytes_after_a_terminate_message_do_not_discard_the_response() {
    let proxy = Proxy::start(&[&Engine::new()]);
    let mut client = proxy.client();
    proxy.suspend();
    client.send("SELECT 1");
    client.socket.write_all(b"X\0\0\0\x04").unwrap();
    client.socket.write_all(&[b'x'; 4_000]).unwrap();
    proxy.resume();
    assert!(read_to_close(&client.socket).contains("42601"));
}

/// More clients than the proxy accepts at a time connect as it stops listening: each receives an error, or a
/// session that is then closed in order.
#[test]
fn clients_that_connect_as_the_listener_closes_are_not_reset() {
    let mut proxy = Proxy::start(&[&Engine::new()]);
    let idle = proxy.client();
    proxy.signal("-TERM");
    wait_within(TIMEOUT, "the proxy shuts down", || proxy.call("GET", "/ops/readiness").0 != 200);
    // The proxy is suspended beyond the period in which clients may still connect, and finds their
    // connections after it.
    proxy.suspend();
    let late: Vec<TcpStream> = (0..60)
        .map(|_| {
            let mut late = TcpStream::connect(proxy.address).unwrap();
            late.write_all(b"\0\0\0\x12\0\x03\0\0user\0app\0\0").unwrap();
            late
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_000));
    proxy.resume();
    for late in &late {
        let response = read_to_close(late);
        assert!(response.contains("57P03") || response.ends_with("Z\0\0\0\x05I"), "{response}");
    }
    drop(idle);
    assert!(proxy.wait().success());
}

/// The engine closes an idle connection as the proxy is about to send the next request on it: the request is
/// sent on a new connection, even if its class is unsafe, because no byte of it was written.
#[test]
fn a_request_that_meets_the_close_of_an_idle_connection_is_sent_on_a_new_one() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let connection = open_idle_connection(&proxy, &engine, 1);
    let mut client = proxy.client();
    proxy.suspend();
    client.send(&query("load", 2, 15_000));
    drop(connection);
    proxy.resume();
    let mut connection = engine.accept();
    assert_eq!(connection.command()[1], format!("{:016x}", 2));
    serve(&mut connection, 2);
    assert_eq!(client.read_response(), "TDC");
    assert_eq!(proxy.attempts_once_idle(), 2);
}

/// A response and the reset of its connection arrive together: a complete response counts, a partial line
/// does not.
#[test]
fn a_complete_response_counts_though_its_connection_is_reset_and_a_partial_line_does_not() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    for (id, length, expected) in [(1, 1_000, "TDC"), (2, 40, "E 58000 failed: the statement may have run")] {
        let mut client = proxy.client();
        client.send(&query("load", id, 15_000));
        let mut connection = engine.accept();
        wait_within(TIMEOUT, "the request is sent", || proxy.statistic("/forwards") == Some(id));
        proxy.suspend();
        let response = format!("{id:016x} HIT total=1,elapsed=5 6\r\na\tb\tc\n\r\n");
        let part = &response.as_bytes()[..response.len().min(length)];
        connection.0.get_mut().write_all(part).unwrap();
        // The command is still unread, so this resets the connection.
        drop(connection);
        proxy.resume();
        assert_eq!(client.read_response(), expected);
    }
}

/// The progress report shows that the query may have run, so the SHED message after it does not allow a
/// retry.
#[test]
fn a_rejection_after_a_progress_report_does_not_prove_that_the_query_never_ran() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut client = proxy.client();
    let (mut connection, command) = client.send_to(&engine, &query("load", 1, 15_000));
    connection.send(&command[1], "INFO", "detail=done,datum=0.4", "");
    connection.send(&command[1], "SHED", "-", "");
    assert!(client.read_response().starts_with("E 58000"));
    assert_eq!(proxy.attempts_once_idle(), 1);
}
