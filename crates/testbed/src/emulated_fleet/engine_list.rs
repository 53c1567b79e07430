//! A server of the engine list, whose event stream any number of proxies may read.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use super::lock;

/// The interval between two heartbeat lines. The protocol promises one per second; more are harmless.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The index of the first event, which proxies know from their configuration.
const FIRST_INDEX: usize = 1;

#[derive(Default)]
struct Events {
    /// The events after the first one, as encoded on the stream.
    published: Mutex<Vec<String>>,
    changed: Condvar,
}

/// An engine list that is served to proxies.
#[derive(Clone)]
pub struct EngineList {
    /// The address on which the list is served.
    pub address: SocketAddr,
    events: Arc<Events>,
}

impl EngineList {
    /// Starts a list whose first event all proxies already know.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be bound.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let list = EngineList { address: listener.local_addr()?, events: Arc::default() };
        let server = list.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let list = server.clone();
                // The error is ignored: a stream ends when its proxy closes the connection.
                thread::spawn(move || list.serve_stream(socket));
            }
        });
        Ok(list)
    }

    /// Publishes changed entries, which [`EmulatedEngine::list_entry`](super::EmulatedEngine::list_entry)
    /// encodes.
    pub fn publish(&self, entries: &[String]) {
        let mut published = lock(&self.events.published);
        let (index, members) = (published.len() + FIRST_INDEX + 1, entries.join(","));
        published.push(format!(
            "id: {index}\ndata: {{\"index\":{index},\"endpoints\":{{\"complete\":false,\"members\":[{members}]}}}}\n\n"
        ));
        self.events.changed.notify_all();
    }

    /// Serves one proxy: the events after the last one that it knows, then new events and heartbeats.
    fn serve_stream(&self, socket: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(socket.try_clone()?);
        let mut writer = socket;
        let Some(last_index) = read_last_index(&mut reader)? else { return Ok(()) };
        writer.write_all(b"HTTP/1.1 200 OK\r\n\r\n")?;
        let mut next = last_index.max(FIRST_INDEX) - FIRST_INDEX;
        loop {
            let new_events = self.wait_for_events(next);
            next += new_events.len();
            match new_events.is_empty() {
                true => writer.write_all(b": here\n\n")?,
                false => writer.write_all(new_events.concat().as_bytes())?,
            }
        }
    }

    /// Returns the events from position `next` on, or an empty vector if there are none before the next
    /// heartbeat.
    fn wait_for_events(&self, next: usize) -> Vec<String> {
        let published = lock(&self.events.published);
        let none_new = |published: &mut Vec<String>| published.len() <= next;
        let waited = self.events.changed.wait_timeout_while(published, HEARTBEAT_INTERVAL, none_new);
        let (published, _) = waited.unwrap_or_else(PoisonError::into_inner);
        published.get(next..).map(<[String]>::to_vec).unwrap_or_default()
    }
}

/// Reads the head of an HTTP request and returns the index of the last event that the proxy knows, 0 if it
/// names none. Returns `None` if the connection ends first.
fn read_last_index(reader: &mut impl BufRead) -> io::Result<Option<usize>> {
    let mut last_index = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        if let Some(index) = line.strip_prefix("Last-Event-ID: ") {
            last_index = index.trim().parse().unwrap_or(0);
        }
        if line == "\r\n" {
            return Ok(Some(last_index));
        }
    }
}
