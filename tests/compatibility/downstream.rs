//! The PostgreSQL protocol as clients see it: messages byte for byte, error codes with their texts and hints.

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, TcpStream};

use crate::control::RespondingEngine;
use crate::golden;
use crate::proxy::{Engine, Proxy, TIMEOUT, query};

const PROTOCOL_3: u32 = 3 << 16;
const TLS_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;

/// The first message of a connection: its length, a code and a body.
fn first_message(code: u32, body: &[u8]) -> Vec<u8> {
    let length = 8 + body.len() as u32;
    [&length.to_be_bytes()[..], &code.to_be_bytes(), body].concat()
}

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = 4 + body.len() as u32;
    [&[kind][..], &length.to_be_bytes(), body].concat()
}

fn simple_query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), &[0]].concat())
}

fn session_start() -> Vec<u8> {
    first_message(PROTOCOL_3, b"user\0app\0database\0dw\0\0")
}

/// A client that reads messages byte for byte.
struct RawClient(TcpStream);

impl RawClient {
    fn connect(proxy: &Proxy) -> Self {
        let socket = TcpStream::connect(proxy.address).unwrap();
        socket.set_read_timeout(Some(TIMEOUT)).unwrap();
        RawClient(socket)
    }

    /// A session that is ready for queries.
    fn session(proxy: &Proxy) -> Self {
        let mut client = Self::connect(proxy);
        client.send(&session_start());
        client.messages();
        client
    }

    fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }

    /// Reads once and returns the number of bytes, 0 at the end of the connection. Repeats a read that was
    /// interrupted, as by a suspension of the test's own process.
    fn read_or_end(&mut self, buffer: &mut [u8]) -> usize {
        loop {
            match self.0.read(buffer) {
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                read => return read.unwrap(),
            }
        }
    }

    /// Reads all messages up to the next ReadyForQuery or the end of the connection, and returns a line for
    /// each.
    fn messages(&mut self) -> String {
        let mut received = String::new();
        loop {
            let mut kind = [0];
            if self.read_or_end(&mut kind) == 0 {
                return received + "  end of connection\n";
            }
            let mut length = [0; 4];
            self.0.read_exact(&mut length).unwrap();
            let mut body = vec![0; u32::from_be_bytes(length) as usize - 4];
            self.0.read_exact(&mut body).unwrap();
            received += &match kind[0] {
                b'K' => format!("  K {} random bytes\n", body.len()),
                kind => format!("  {} {}\n", char::from(kind), body.escape_ascii()),
            };
            if kind[0] == b'Z' {
                return received;
            }
        }
    }
}

#[test]
fn responses_to_first_messages_stay() {
    let proxy = Proxy::start(&[]);
    let cases: [(&str, Vec<u8>); 10] = [
        ("session", session_start()),
        ("session of a minor version", first_message(PROTOCOL_3 + 2, b"user\0app\0\0")),
        ("version 2", first_message(2 << 16, b"user\0app\0\0")),
        ("length 7", vec![0, 0, 0, 7, 0, 3, 0]),
        ("length 10001", 10_001u32.to_be_bytes().to_vec()),
        ("no terminator", first_message(PROTOCOL_3, b"user")),
        ("short cancel request", first_message(CANCEL_REQUEST, b"1234")),
        ("cancel request of nobody", first_message(CANCEL_REQUEST, b"12345678")),
        ("cancel request that is too long", first_message(CANCEL_REQUEST, b"123456789")),
        ("too many requests for encryption", first_message(TLS_REQUEST, b"").repeat(3)),
    ];
    let mut received = String::new();
    for (name, bytes) in cases {
        let mut client = RawClient::connect(&proxy);
        client.send(&bytes);
        if name.contains("encryption") {
            let mut responses = [0; 2];
            client.0.read_exact(&mut responses).unwrap();
            received += &format!("  {}\n", responses.escape_ascii());
        }
        received += &format!("{name}\n{}", client.messages());
    }
    let mut client = RawClient::connect(&proxy);
    for code in [GSS_REQUEST, TLS_REQUEST] {
        client.send(&first_message(code, b""));
        let mut response = [0];
        client.0.read_exact(&mut response).unwrap();
        received += &format!("encryption {code}: {}\n", response.escape_ascii());
    }
    client.send(&session_start());
    received += &client.messages();
    golden::assert_matches("downstream_start.txt", &received);
}

#[test]
fn responses_to_messages_of_a_session_stay() {
    let engine = RespondingEngine::new();
    let proxy = Proxy::start(&[&engine.listener]);
    let fields = |fields: &str| simple_query(&format!("/* {fields} */ SELECT a FROM sales_17.orders"));
    let rid = "rid=00000000000000a1";
    let cases: [(&str, Vec<u8>); 29] = [
        ("empty query", simple_query(" ; ")),
        ("served", simple_query(&query("lookup", 1, 15_000))),
        ("served update", simple_query(&query("load", 2, 15_000).replace("SELECT a FROM", "UPDATE"))),
        ("served insert", simple_query(&query("load", 3, 15_000).replace("SELECT a FROM", "INSERT INTO"))),
        ("no comment", simple_query("SELECT 1")),
        ("open comment", simple_query("/* method=lookup")),
        ("empty comment", simple_query("/* */ SELECT 1")),
        ("no pair", fields("method")),
        ("bad request id", fields("method=lookup,rid=1,budget=5")),
        ("no budget", fields(&format!("method=lookup,{rid}"))),
        ("budget 0", fields(&format!("method=lookup,{rid},budget=0"))),
        ("budget too long", fields(&format!("method=lookup,{rid},budget=3600001"))),
        ("budget not finite", fields(&format!("method=lookup,{rid},budget=inf"))),
        ("estimate below 0", fields(&format!("method=lookup,{rid},budget=50,est=-1"))),
        ("memory no number", fields(&format!("method=lookup,{rid},budget=50,space=NaN"))),
        ("unknown class", fields(&format!("method=none,{rid},budget=50"))),
        ("unknown tenant", fields(&format!("method=lookup,{rid},budget=50,acct=none"))),
        ("unknown field", fields(&format!("method=lookup,{rid},budget=5000,later=1"))),
        ("no statement", simple_query(&format!("/* method=lookup,{rid},budget=50 */ "))),
        ("fields not UTF-8", message(b'Q', b"/* \xff */ SELECT 1\0")),
        ("statement not UTF-8", message(b'Q', b"/* method=lookup,rid=00000000000000a1,budget=50 */ \xff\0")),
        ("query without end", message(b'Q', b"SELECT 1")),
        ("query with zeros", message(b'Q', b"SELECT\x001\0")),
        (
            "extended query",
            [message(b'P', b"\0SELECT 1\0\0\0"), message(b'B', b""), message(b'S', b"")].concat(),
        ),
        ("function call", message(b'F', b"\0\0\0\0")),
        ("sync", message(b'S', b"")),
        ("copy data", message(b'd', b"a")),
        ("length below 4", b"Q\0\0\0\x03".to_vec()),
        ("too long", b"Q\x7f\xff\xff\xff".to_vec()),
    ];
    let mut received = String::new();
    for (name, bytes) in cases {
        let mut client = RawClient::session(&proxy);
        client.send(&bytes);
        received += &format!("{name}\n{}", client.messages());
    }
    let mut client = RawClient::session(&proxy);
    client.send(&message(b'X', b""));
    received += &format!("terminate\n{}", client.messages());
    golden::assert_matches("downstream_session.txt", &received);
}

/// The engine reports a fault, sheds the request, closes the connection or stays silent, or there is no
/// engine.
#[test]
fn responses_to_requests_that_fail_stay() {
    let mut received = String::new();
    for (class, word) in [("load", "FAULT"), ("load", "SHED"), ("lookup", "SHED"), ("load", "GONE")] {
        let engine = Engine::new();
        let proxy = Proxy::start(&[&engine]);
        let mut client = RawClient::session(&proxy);
        client.send(&simple_query(&query(class, 1, 900)));
        let mut connection = engine.accept();
        let serve = connection.command();
        match word {
            "GONE" => drop(connection),
            word => connection.send(&serve[1], word, "-", ""),
        }
        drop(engine);
        received += &format!("{class}, {word}\n{}", client.messages());
    }
    // An engine that does not respond before the deadline.
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    for class in ["lookup", "load"] {
        let mut client = RawClient::session(&proxy);
        client.send(&simple_query(&query(class, 2, 600)));
        received += &format!("{class}, silence\n{}", client.messages());
    }
    // No engine is listed.
    let proxy = Proxy::start(&[]);
    let mut client = RawClient::session(&proxy);
    client.send(&simple_query(&query("lookup", 3, 300)));
    received += &format!("lookup, no engine\n{}", client.messages());
    golden::assert_matches("downstream_failures.txt", &received);
}

/// A duplicate request id, a cancel request, a client that closes its side or terminates, and a proxy that
/// drains.
#[test]
fn responses_to_duplicates_cancels_closes_and_drains_stay() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut busy = proxy.client();
    busy.send(&query("lookup", 1, 15_000));
    let mut connection = engine.accept();
    assert_eq!(connection.command()[0], "serve");
    let mut received = String::new();
    let mut duplicate = RawClient::session(&proxy);
    duplicate.send(&simple_query(&query("lookup", 1, 15_000)));
    received += &format!("duplicate request id\n{}", duplicate.messages());
    drop(busy.cancel());
    received += &format!("canceled by request: {}\n", busy.read_response());

    let mut half_closed = RawClient::session(&proxy);
    half_closed.send(&simple_query(&query("lookup", 2, 15_000)));
    half_closed.0.shutdown(Shutdown::Write).unwrap();
    received += &format!("client closes its side\n{}", half_closed.messages());

    let mut leaving = RawClient::session(&proxy);
    leaving.send(&[simple_query(&query("lookup", 3, 15_000)), message(b'X', b"")].concat());
    received += &format!("client terminates\n{}", leaving.messages());

    assert_eq!(proxy.call("PUT", "/ops/drain/start").0, 200);
    let mut idle = RawClient(busy.socket.try_clone().unwrap());
    received += &format!("idle session of a drained proxy\n{}", idle.messages());
    let mut late = RawClient::connect(&proxy);
    late.send(&session_start());
    received += &format!("new session of a drained proxy\n{}", late.messages());
    golden::assert_matches("downstream_cancellation.txt", &received);
}
