//! Scripted engines and a scripted coordinator, as the proxy sees them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use super::TIMEOUT;

/// An engine whose responses the test writes.
pub struct Engine(pub TcpListener);

impl Engine {
    pub fn new() -> Self {
        Engine(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// The engine's entry in the coordinator's list.
    pub fn list_entry(&self, id: &str, phase: &str) -> String {
        let address = self.0.local_addr().unwrap();
        format!(r#"{{"id":"{id}","host_port":"{address}","locality":"dc","flavor":"k","phase":"{phase}"}}"#)
    }

    /// An engine with a full accept backlog, and the connection that fills it: dials hang until the test
    /// accepts that connection, because the kernel discards their SYN packets, which are sent again later.
    pub fn with_full_backlog() -> (Self, TcpStream) {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let engine = Engine(socket.into());
        let backlog = TcpStream::connect(engine.0.local_addr().unwrap()).unwrap();
        (engine, backlog)
    }

    /// Accepts the next connection of the proxy.
    pub fn accept(&self) -> EngineConnection {
        EngineConnection(BufReader::new(accept(&self.0)))
    }
}

/// A coordinator whose events the test writes.
pub struct Coordinator(pub TcpListener);

impl Coordinator {
    pub fn new() -> Self {
        Coordinator(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// Responds to the next request with an error.
    pub fn fail(&self) {
        accept(&self.0).write_all(b"HTTP/1.1 503 Service Unavailable\r\n\r\n").unwrap();
    }

    /// Accepts the next event stream of the proxy and returns it with the index of the last event that the
    /// proxy has applied. On a busy machine the proxy may time out a dial and close the connection without a
    /// request; such a connection is skipped.
    pub fn accept(&self) -> (TcpStream, u64) {
        loop {
            if let Some(stream) = self.try_accept() {
                return stream;
            }
        }
    }

    fn try_accept(&self) -> Option<(TcpStream, u64)> {
        let (mut reader, mut last_event) = (BufReader::new(accept(&self.0)), 0);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap() == 0 {
                return None;
            }
            if let Some(number) = line.strip_prefix("Last-Event-ID: ") {
                last_event = number.trim().parse().unwrap();
            }
            if line == "\r\n" {
                reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\n\r\n").unwrap();
                return Some((reader.into_inner(), last_event));
            }
        }
    }
}

/// Accepts the next connection to a listener; panics if the proxy does not connect within [`TIMEOUT`].
fn accept(listener: &TcpListener) -> TcpStream {
    let until = Instant::now() + TIMEOUT;
    listener.set_nonblocking(true).unwrap();
    loop {
        if let Ok((socket, _)) = listener.accept() {
            socket.set_nonblocking(false).unwrap();
            socket.set_read_timeout(Some(TIMEOUT)).unwrap();
            return socket;
        }
        assert!(Instant::now() < until, "the proxy does not connect");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// An event of the coordinator with these list entries.
pub fn event(index: u64, members: &[String]) -> String {
    let members = members.join(",");
    format!("id: {index}\ndata: {{\"endpoints\":{{\"complete\":false,\"members\":[{members}]}}}}\n\n")
}

/// A connection of the proxy to an engine.
pub struct EngineConnection(pub BufReader<TcpStream>);

impl EngineConnection {
    /// Reads the next command and returns its words; the statement of a `serve` command is the last word.
    pub fn command(&mut self) -> Vec<String> {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        let mut words: Vec<String> = line.trim_end().split(' ').map(String::from).collect();
        if words[0] == "serve" {
            let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
            self.0.read_exact(&mut body).unwrap();
            words.push(String::from_utf8(body).unwrap().trim_end_matches("\r\n").into());
        }
        words
    }

    /// Whether nothing has arrived.
    pub fn is_silent(&mut self) -> bool {
        self.0.get_ref().set_nonblocking(true).unwrap();
        let silent = self.0.fill_buf().is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        self.0.get_ref().set_nonblocking(false).unwrap();
        silent
    }

    /// Fails unless the proxy closes the connection, long before it closes idle ones.
    pub fn assert_closed_by_proxy(&mut self) {
        const MAX_WAIT: Duration = Duration::from_secs(5);
        self.0.get_ref().set_read_timeout(Some(MAX_WAIT)).unwrap();
        self.0.read_to_end(&mut Vec::new()).expect("the proxy closes the connection");
    }

    /// Responds to a request with a result of one row.
    pub fn serve(&mut self, id: &str) {
        self.send(id, "HIT", "total=1", "a\tb\tc\n");
    }

    /// Sends a line about a request, with a body.
    pub fn send(&mut self, id: &str, word: &str, fields: &str, body: &str) {
        let line = format!("{id} {word} {fields} {}\r\n{body}\r\n", body.len());
        self.0.get_mut().write_all(line.as_bytes()).unwrap();
    }
}
