//! Floods of clients.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::time::{Duration, Instant};

use crate::rand_id;

/// How long the clients of a flood write. Incomplete messages time out after 2 s.
pub const DURATION: Duration = Duration::from_millis(1_800);
/// Length of the large messages, just below the longest that a proxy with little memory accepts, in bytes.
const LARGE: usize = 65_000;
/// The largest number of bytes that a client writes at once, so that all of them progress together.
const WRITE_SIZE: usize = 8 * 1024;
/// Interval between two bytes of a slow client.
const SLOW_WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// What the clients of a flood do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    /// Stop shortly before the end of a large query.
    HalfQuery,
    /// Stop within the startup message.
    HalfStartup,
    /// Write a large query, the end of it a byte at a time.
    SlowQuery,
    /// Send large queries whose comments have thousands of short fields; every other one stops before its end.
    ShortFields,
    /// Send a small query.
    SmallQuery,
    /// Send a large query.
    LargeQuery,
    /// Send a small query and most of a large one behind it.
    ReadAhead,
    /// Send queries with results and read nothing.
    UnreadResult,
    /// Send unsound queries with large fields, one behind the other, and read nothing.
    UnreadErrors,
}

impl Flood {
    /// All floods.
    pub const ALL: [Flood; 9] = [
        Flood::HalfQuery,
        Flood::HalfStartup,
        Flood::SlowQuery,
        Flood::ShortFields,
        Flood::SmallQuery,
        Flood::LargeQuery,
        Flood::ReadAhead,
        Flood::UnreadResult,
        Flood::UnreadErrors,
    ];

    /// The bytes that a client of this flood writes.
    fn input(self, client: usize) -> Vec<u8> {
        if self == Flood::HalfStartup {
            return [&9_999u32.to_be_bytes()[..], &[b'x'; 9_900]].concat();
        }
        let without_end = |mut message: Vec<u8>| {
            message.truncate(message.len() - 20);
            message
        };
        let messages = match self {
            Flood::HalfStartup => Vec::new(),
            Flood::HalfQuery => without_end(query(LARGE)),
            Flood::SlowQuery | Flood::LargeQuery => query(LARGE),
            Flood::ShortFields if client % 2 == 0 => fields(),
            Flood::ShortFields => without_end(fields()),
            Flood::SmallQuery => query(10),
            Flood::ReadAhead => [query(10), without_end(query(60_000))].concat(),
            Flood::UnreadResult => [query(10), query(10)].concat(),
            Flood::UnreadErrors => message(&format!("/* {} */ SELECT 1", "x".repeat(60_000))).repeat(8),
        };
        [startup(), messages].concat()
    }
}

/// A query message with a statement of this length.
fn query(length: usize) -> Vec<u8> {
    let id = rand_id();
    let statement = "x".repeat(length.saturating_sub(100));
    message(&format!("/* method=lookup,rid={id:016x},budget=4000,est=20 */ SELECT '{statement}'"))
}

/// A query message with thousands of fields.
fn fields() -> Vec<u8> {
    message(&format!(
        "/* {}method=lookup,rid={:016x},budget=4000 */ SELECT 1",
        "a=1,".repeat(16_000),
        rand_id()
    ))
}

/// The startup message of a session.
pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0app\0database\0dw\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// A query message with this text.
pub fn message(text: &str) -> Vec<u8> {
    [b"Q", &(text.len() as u32 + 5).to_be_bytes()[..], text.as_bytes(), b"\0"].concat()
}

/// A client of a flood.
struct FloodClient {
    socket: TcpStream,
    input: Vec<u8>,
    written: usize,
    /// How many bytes before the end of the input the client slows down; 0 if it does not.
    slow_tail: usize,
    last_write: Instant,
}

impl FloodClient {
    /// Writes what the socket accepts. Errors are ignored: the proxy may close the connection.
    fn write(&mut self) {
        let rest = &self.input[self.written..];
        let is_slow = rest.len() <= self.slow_tail;
        let size = if is_slow { 1 } else { WRITE_SIZE.min(rest.len() - self.slow_tail) }.min(rest.len());
        if size == 0 || is_slow && self.last_write.elapsed() < SLOW_WRITE_INTERVAL {
            return;
        }
        if let Ok(count) = self.socket.write(&rest[..size]) {
            self.written += count;
            self.last_write = Instant::now();
        }
    }
}

/// The clients of one or more floods.
pub struct Crowd(Vec<FloodClient>);

impl Crowd {
    /// Connects the clients, which take turns in the floods.
    pub fn connect(address: SocketAddr, clients: usize, floods: &[Flood]) -> Self {
        let client = |number: usize| {
            let flood = floods[number % floods.len()];
            let socket = TcpStream::connect(address).unwrap();
            socket.set_nonblocking(true).unwrap();
            let slow_tail = if flood == Flood::SlowQuery { 1_000 } else { 0 };
            let input = flood.input(number);
            FloodClient { socket, input, written: 0, slow_tail, last_write: Instant::now() }
        };
        Crowd((0..clients).map(client).collect())
    }

    /// Has all clients write for this time, and calls `meanwhile` again and again.
    pub fn write_for(&mut self, duration: Duration, mut meanwhile: impl FnMut()) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.0.iter_mut().for_each(FloodClient::write);
            meanwhile();
        }
    }
}

/// The seeds to play: those of `GAUGESTEP_FLOOD_SEEDS`, or else `default`.
pub fn seeds(default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("GAUGESTEP_FLOOD_SEEDS") else { return default };
    let (first, end) = text.split_once("..").expect("GAUGESTEP_FLOOD_SEEDS is FIRST..END");
    first.parse().unwrap()..end.parse().unwrap()
}
