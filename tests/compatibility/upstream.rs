//! The commands that the proxy sends to engines, and its request to the coordinator.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::TcpStream;

use crate::golden;
use crate::proxy::{Coordinator, Engine, Proxy, TIMEOUT, event, query};

/// A request of the proxy to the coordinator, before the response.
pub struct CoordinatorRequest {
    /// The request line and the headers, up to the empty line.
    pub head: String,
    pub stream: TcpStream,
}

/// Accepts the next request to the coordinator. Connections that the proxy closes before it has sent a
/// request are skipped.
pub fn accept_request(coordinator: &Coordinator) -> CoordinatorRequest {
    loop {
        let (socket, _) = coordinator.0.accept().unwrap();
        socket.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut reader = BufReader::new(socket);
        let mut head = String::new();
        while reader.read_line(&mut head).unwrap() > 0 {
            if head.ends_with("\r\n\r\n") {
                return CoordinatorRequest { head, stream: reader.into_inner() };
            }
        }
    }
}

/// Replaces each number by `N`, as times differ between runs.
fn without_numbers(text: &str) -> String {
    let mut recorded = String::new();
    for character in text.chars() {
        let shown = if character.is_ascii_digit() { 'N' } else { character };
        if shown != 'N' || !recorded.ends_with('N') {
            recorded.push(shown);
        }
    }
    recorded
}

#[test]
fn commands_to_engines_stay() {
    let engine = Engine::new();
    let proxy = Proxy::start(&[&engine]);
    let mut recorded = String::new();
    let mut show = |words: Vec<String>| recorded += &format!("{}\n", without_numbers(&words.join(" ")));
    let mut client = proxy.client();
    let (mut connection, serve) = client.send_to(&engine, &query("lookup", 1, 15_000));
    show(serve.clone());
    connection.send(&serve[1], "HIT", "total=2,elapsed=5,rss=8", "a\tb\tc\n");
    let read = connection.command();
    show(read.clone());
    connection.send(&read[1], "PART", "index=1", "d\te\tf\n");
    assert_eq!(client.read_response(), "TDDC");
    client.send(&query("lookup", 2, 15_000));
    let serve = connection.command();
    show(serve);
    drop(client);
    let cancel = connection.command();
    show(cancel);
    golden::assert_matches("upstream_commands.txt", &recorded);
}

#[test]
fn the_request_to_the_coordinator_stays() {
    let coordinator = Coordinator::new();
    let engine = Engine::new();
    let proxy = Proxy::follow(&[], Some(&coordinator));
    let CoordinatorRequest { head, mut stream } = accept_request(&coordinator);
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").unwrap();
    stream.write_all(event(2, &[engine.list_entry("s-0", "SERVING")]).as_bytes()).unwrap();
    crate::control::wait_until("the event is applied", || proxy.statistic("/discovered") == Some(1));
    let host = coordinator.0.local_addr().unwrap().to_string();
    golden::assert_matches("coordinator_call.txt", &head.replace(&host, "ADDRESS").replace('\r', ""));
}
