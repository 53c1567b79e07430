//! A client of the proxy: sessions, queries and responses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use super::{Engine, EngineConnection, TIMEOUT, wait_within};

/// A client with an open session.
pub struct Client {
    pub socket: TcpStream,
    /// The hint of the last error; `None` if it had none.
    pub hint: Option<String>,
    /// The key that cancels the session's query.
    key: Vec<u8>,
}

impl Client {
    pub fn open(address: SocketAddr) -> Self {
        Client::try_open(address).unwrap()
    }

    /// Like [`open`](Self::open), where the proxy may not run.
    pub fn try_open(address: SocketAddr) -> std::io::Result<Self> {
        let mut client = Client { socket: TcpStream::connect(address)?, hint: None, key: Vec::new() };
        client.socket.set_read_timeout(Some(TIMEOUT))?;
        let body = b"\0\x03\0\0user\0app\0database\0dw\0\0";
        client.socket.write_all(&(body.len() as u32 + 4).to_be_bytes())?;
        client.socket.write_all(body)?;
        client.try_read_response()?;
        Ok(client)
    }

    /// Closes the connection, and waits until the end of it has arrived at the proxy. That may be later than the
    /// close: a process that another test is starting holds a copy of the socket until it runs its program.
    pub fn close(self) {
        let (client, proxy) = (self.socket.local_addr().unwrap(), self.socket.peer_addr().unwrap());
        assert!(is_established(proxy, client), "the connection is open");
        drop(self);
        wait_within(TIMEOUT, "the end of the connection arrives", || !is_established(proxy, client));
    }

    pub fn send(&mut self, text: &str) {
        self.try_send(text).unwrap();
    }

    /// Sends a query that the proxy forwards on a new connection to this engine, and returns the connection
    /// and the words of the command that arrives on it.
    pub fn send_to(&mut self, engine: &Engine, text: &str) -> (EngineConnection, Vec<String>) {
        self.send(text);
        let mut connection = engine.accept();
        let command = connection.command();
        (connection, command)
    }

    pub fn try_send(&mut self, text: &str) -> std::io::Result<()> {
        let mut message = vec![b'Q'];
        message.extend((text.len() as u32 + 5).to_be_bytes());
        message.extend(text.as_bytes());
        message.push(0);
        self.socket.write_all(&message)
    }

    /// Reads all messages up to ReadyForQuery and returns their type bytes; an error also shows its code and
    /// text.
    pub fn read_response(&mut self) -> String {
        self.try_read_response().expect("the session stays open")
    }

    fn try_read_response(&mut self) -> std::io::Result<String> {
        let mut received = String::new();
        loop {
            let mut head = [0; 5];
            self.socket.read_exact(&mut head)?;
            let length = u32::from_be_bytes(head[1..].try_into().unwrap()) as usize - 4;
            let mut body = vec![0; length];
            self.socket.read_exact(&mut body)?;
            match head[0] {
                b'Z' => return Ok(received),
                b'K' => {
                    self.key = body;
                    received.push('K');
                }
                b'E' => {
                    let fields: Vec<&str> = body
                        .split(|byte| *byte == 0)
                        .map(|field| std::str::from_utf8(field).unwrap())
                        .collect();
                    received += &format!("E {} {}", &fields[2][1..], &fields[3][1..]);
                    self.hint = fields.iter().find_map(|field| field.strip_prefix('H')).map(String::from);
                }
                kind => received.push(kind.into()),
            }
        }
    }

    /// Sends a cancel request for the session's query on a new connection.
    pub fn cancel(&self) -> TcpStream {
        let mut socket = TcpStream::connect(self.socket.peer_addr().unwrap()).unwrap();
        let message = [&16u32.to_be_bytes(), &80_877_102u32.to_be_bytes(), &self.key[..]].concat();
        socket.write_all(&message).unwrap();
        socket
    }

    /// Sends a query and reads its response.
    pub fn request(&mut self, text: &str) -> String {
        self.try_request(text).expect("the session stays open")
    }

    /// Like [`request`](Self::request), where the proxy may end meanwhile.
    pub fn try_request(&mut self, text: &str) -> std::io::Result<String> {
        self.try_send(text)?;
        self.try_read_response()
    }
}

/// Reads a connection up to its orderly close.
pub fn read_to_close(mut socket: &TcpStream) -> String {
    let mut received = Vec::new();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    socket.read_to_end(&mut received).expect("the connection is closed and not reset");
    String::from_utf8_lossy(&received).into_owned()
}

/// A query of a class with this request id and a deadline after `budget_ms`.
pub fn query(class: &str, id: u64, budget_ms: u32) -> String {
    format!("/* method={class},rid={id:016x},budget={budget_ms},est=20 */ SELECT a FROM sales_17.orders")
}

/// Whether the kernel has this connection in the state ESTABLISHED at its `local` end: neither a close of the other
/// end nor a reset has arrived there.
fn is_established(local: SocketAddr, remote: SocketAddr) -> bool {
    const ESTABLISHED: &str = "01";
    let (local, remote) = (kernel_form(local), kernel_form(remote));
    let connections = std::fs::read_to_string("/proc/net/tcp").unwrap();
    connections.lines().any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields[1..4] == [local.as_str(), remote.as_str(), ESTABLISHED]
    })
}

/// An address as `/proc/net/tcp` shows it: the bytes of the IPv4 address as a number of this machine, and the port.
fn kernel_form(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else { panic!("{address} is no IPv4 address") };
    format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port())
}
