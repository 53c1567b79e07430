//! What engines and the coordinator are sent.

use std::io::{BufRead as _, BufReader, Write as _};
use std::net::TcpStream;

use crate::golden;
use crate::proxy::{Coordinator, Engine, Proxy, TIMEOUT, event, query};

/// A call of the proxy to the coordinator, not answered yet.
pub struct CoordinatorCall {
    /// All up to the empty line.
    pub head: String,
    /// The connection.
    pub stream: TcpStream,
}

/// The next call to the coordinator. A dial that the proxy gave up before it said anything is passed over.
pub fn accept_call(coordinator: &Coordinator) -> CoordinatorCall {
    loop {
        let (socket, _) = coordinator.0.accept().unwrap();
        socket.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut reader = BufReader::new(socket);
        let mut head = String::new();
        while reader.read_line(&mut head).unwrap() > 0 {
            if head.ends_with("\r\n\r\n") {
                return CoordinatorCall { head, stream: reader.into_inner() };
            }
        }
    }
}

/// Numbers replaced: times differ between runs.
fn without_numbers(text: &str) -> String {
    let mut recorded = String::new();
    for character in text.chars() {
        let kept = if character.is_ascii_digit() { 'N' } else { character };
        if kept != 'N' || !recorded.ends_with('N') {
            recorded.push(kept);
        }
    }
    recorded
}

#[test]
fn commands_to_databases_stay() {
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
fn the_call_to_the_coordinator_stays() {
    let coordinator = Coordinator::new();
    let engine = Engine::new();
    let proxy = Proxy::follow(&[], Some(&coordinator));
    let CoordinatorCall { head, mut stream } = accept_call(&coordinator);
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").unwrap();
    stream.write_all(event(2, &[engine.list_entry("s-0", "SERVING")]).as_bytes()).unwrap();
    crate::control::wait_until("the event is taken", || proxy.statistic("/discovered") == Some(1));
    let host = coordinator.0.local_addr().unwrap().to_string();
    golden::assert_matches("coordinator_call.txt", &head.replace(&host, "ADDRESS").replace('\r', ""));
}
