//! A session or a connection to an engine closes while something is sent on it.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::proxy::{Engine, Proxy, TIMEOUT, query, read_to_close, wait_within};
use crate::{open_idle_connection, serve};

/// The proxy closes an idle session as it shuts down, and its client's next query crosses that: it is not forwarded, and
/// the client sees an orderly close and no reset.
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
    assert!(client.socket.take_error().unwrap().is_none(), "and not reset");
    let mut unheard = String::new();
    let mut connection = connection;
    connection.0.read_to_string(&mut unheard).unwrap();
    assert_eq!(unheard, "", "nothing was sent on");
}

/// A client that sends its query and its good-bye at once gets its answer, whatever it sends behind that.
#[test]
fn bytes_after_a_terminate_message_do_not_discard_the_answer() {
    let proxy = Proxy::start(&[&Engine::new()]);
    let mut client = proxy.client();
    proxy.suspend();
    client.send("SELECT 1");
    client.socket.write_all(b"X\0\0\0\x04").unwrap();
    client.socket.write_all(&[b'x'; 4_000]).unwrap();
    proxy.resume();
    assert!(read_to_close(&client.socket).contains("42601"));
}

/// Many clients connect as the proxy stops listening, more than it accepts at a time: each receives an error, or is accepted
/// and then closed in order.
#[test]
fn clients_that_connect_as_the_listener_closes_are_not_reset() {
    let mut proxy = Proxy::start(&[&Engine::new()]);
    let resting = proxy.client();
    proxy.signal("-TERM");
    wait_within(TIMEOUT, "it stops", || proxy.call("GET", "/ops/readiness").0 != 200);
    // It is suspended past the time in which clients still connect, and finds them after it.
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
    drop(resting);
    assert!(proxy.wait().success());
}

/// The engine closes a resting connection as the next request goes out on it: that request is sent on a new one, also if it
/// must not be repeated, as nothing of it was written.
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

/// A complete answer and the reset of its connection arrive together: the answer counts. A partial line does not.
#[test]
fn a_complete_answer_counts_though_its_connection_breaks_and_a_partial_line_does_not() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    for (id, length, response) in [(1, 1_000, "TDC"), (2, 40, "E 58000 failed: the statement may have run")] {
        let mut client = proxy.client();
        client.send(&query("load", id, 15_000));
        let mut connection = engine.accept();
        wait_within(TIMEOUT, "it is sent", || proxy.statistic("/forwards") == Some(id));
        proxy.suspend();
        let answer = format!("{id:016x} HIT total=1,elapsed=5 6\r\na\tb\tc\n\r\n");
        let part = &answer.as_bytes()[..answer.len().min(length)];
        connection.0.get_mut().write_all(part).unwrap();
        // The command is still unread, so this resets the connection.
        drop(connection);
        proxy.resume();
        assert_eq!(client.read_response(), response);
    }
}

/// It may have run, as the progress report shows; a rejection proves nothing any more.
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
