//! The coordinator: which databases there are, as server-sent events.

use std::collections::HashMap;
use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use gaugestep_dispatch::interface::{CellId, EngineEntry, EngineId, MachineId, Readiness, ZoneId};
use may::net::TcpStream;
use serde_json::Value;

use crate::request_lifecycle::RequestHandler;
use crate::{lock, task};

/// A comment comes each second: silence for longer means that the connection is dead.
const SILENCE: Duration = Duration::from_millis(2_500);
/// A coordinator that cannot be reached within this time is tried again.
const CONNECT_WITHIN: Duration = Duration::from_secs(1);
/// Between tries to connect.
const PAUSE: Duration = Duration::from_millis(200);
/// Reads before all others get their turn, and how long that lasts: a stream may never end.
const READS: u64 = 16;
const TURN: Duration = Duration::from_millis(1);
/// The longest event of the stream.
const LONGEST: usize = 4 * 1024 * 1024;

/// The list of databases as the coordinator tells it.
pub struct Roster {
    handler: Arc<RequestHandler>,
    known: Mutex<Known>,
    place: Mutex<Place>,
    /// Before the coordinator is called anew.
    pause: Duration,
    changed: OnceLock<Box<dyn Fn() + Send + Sync>>,
}

/// What has been told so far.
#[derive(Default)]
struct Known {
    /// The number of the last event.
    index: u64,
    /// The module's numbers of the databases that are listed. Guards against growth: whoever goes is forgotten,
    /// and its number is not given again.
    engines: HashMap<String, Listed>,
    next: u32,
}

/// A database that is listed.
#[derive(Clone, Debug)]
pub struct Listed {
    /// The module's number.
    pub engine: EngineId,
    /// Its zone, kind and cell, as the list has them.
    pub zone: String,
    /// See `zone`.
    pub kind: String,
    /// See `zone`.
    pub cell: u64,
    /// Whether it takes work.
    pub readiness: Readiness,
}

/// Where the coordinator is, and the connection to it.
struct Place {
    address: Option<SocketAddr>,
    open: Option<std::net::TcpStream>,
}

impl Roster {
    /// A roster that knows nothing yet and will follow the coordinator at `address`.
    ///
    /// `spread` stretches the pause before it is called anew, by the proxy's place: all proxies lose it at one moment.
    pub fn new(handler: Arc<RequestHandler>, address: Option<SocketAddr>, spread: f64) -> Self {
        let place = Mutex::new(Place { address, open: None });
        let pause = PAUSE.mul_f64(spread);
        Roster { handler, known: Mutex::default(), place, pause, changed: OnceLock::new() }
    }

    /// How many databases are listed.
    pub fn listed(&self) -> usize {
        lock(&self.known).engines.len()
    }

    /// The databases that are listed, by name; none before the first list has come.
    pub fn databases(&self) -> Option<Vec<(String, Listed)>> {
        let known = lock(&self.known);
        let all = known.engines.iter().map(|(name, listed)| (name.clone(), listed.clone())).collect();
        (known.index > 0).then_some(all)
    }

    /// Has `then` called whenever the list has changed, with [`RequestHandler::update_lock`] held.
    pub fn on_change(&self, then: Box<dyn Fn() + Send + Sync>) {
        let _ = self.changed.set(then);
    }

    /// Takes the events of a configuration; those known already are skipped.
    pub fn know(&self, index: u64, events: &[Value]) {
        for event in events {
            // An event of the start may lack a number: the list's own then stands for it.
            self.event(event["index"].as_u64().or(Some(index)), event);
        }
        let mut known = lock(&self.known);
        known.index = known.index.max(index);
    }

    /// The coordinator is at this address from now on. Guards against waiting for the old one's silence: the
    /// connection to it is shut, which wakes the coroutine that reads it.
    pub fn move_to(&self, address: Option<SocketAddr>) {
        let mut place = lock(&self.place);
        if place.address != address {
            place.address = address;
            if let Some(open) = place.open.take() {
                let _ = open.shutdown(Shutdown::Both);
            }
        }
    }

    /// Applies one event. What cannot be read is logged and passed over.
    fn apply(&self, event: &Value) {
        let _changes = lock(&self.handler.update_lock);
        let endpoints = &event["endpoints"];
        let whole = endpoints["complete"].as_bool().unwrap_or(false);
        let Some(members) = endpoints["members"].as_array() else {
            return tracing::warn!("an event without members");
        };
        let mut entries = Vec::with_capacity(members.len());
        for member in members {
            match self.member(member) {
                Some(entry) => entries.push(entry),
                None => tracing::warn!("a member that cannot be read"),
            }
        }
        if whole {
            let engines: Vec<EngineId> = entries.iter().map(|entry| entry.engine).collect();
            lock(&self.known).engines.retain(|_, listed| engines.contains(&listed.engine));
            self.handler.upstream_pool.only(&engines);
        }
        tracing::info!(whole, members = entries.len(), "databases listed");
        self.handler.facade.update_engines(entries, whole);
        if let Some(then) = self.changed.get() {
            then();
        }
    }

    fn member(&self, member: &Value) -> Option<EngineEntry> {
        let name = member["id"].as_str()?;
        let readiness = match member["phase"].as_str()? {
            "SERVING" => Readiness::Up,
            "DRAINING" => Readiness::Draining,
            "DELETED" => Readiness::Gone,
            _ => return None,
        };
        let address: Option<SocketAddr> = member["host_port"].as_str().and_then(|text| text.parse().ok());
        let text = |key: &str| member[key].as_str().unwrap_or_default().to_owned();
        let cell = member["cell"].as_u64().unwrap_or(0);
        let (zone, kind) = (text("locality"), text("flavor"));
        let engine = self.number(name, Listed { engine: EngineId(0), zone, kind, cell, readiness })?;
        self.handler.upstream_pool.listed(engine, address, readiness);
        let names = &self.handler.names;
        let place = |names: &[String], key: &str| {
            let name = member[key].as_str();
            names.iter().position(|other| Some(other.as_str()) == name)
        };
        let started = member["up_since_ms"].as_f64().filter(|at| *at > 0.0);
        tracing::info!(name, ?readiness, engine = engine.0, ?address, "database");
        Some(EngineEntry {
            engine,
            zone: ZoneId(place(&names.zones, "locality").unwrap_or(0)),
            machine: MachineId(place(&names.machines, "flavor").unwrap_or(usize::MAX)),
            cell: CellId(cell),
            readiness,
            started_at: started.map(|at| self.handler.facade.at_unix(at)),
            key: gaugestep_subsetting::key(name),
        })
    }

    /// The module's number of a database, which ends with it; none if it goes without ever having been listed.
    fn number(&self, name: &str, listed: Listed) -> Option<EngineId> {
        let mut known = lock(&self.known);
        if listed.readiness == Readiness::Gone {
            return known.engines.remove(name).map(|listed| listed.engine);
        }
        let engine = match known.engines.get(name) {
            Some(known) => known.engine,
            None => {
                known.next += 1;
                EngineId(known.next - 1)
            }
        };
        known.engines.insert(name.to_owned(), Listed { engine, ..listed });
        Some(engine)
    }

    /// Follows the coordinator for good, wherever it moves.
    pub fn follow(&self) {
        loop {
            let address = lock(&self.place).address;
            match address.map(|address| self.stream(address)) {
                None => {}
                Some(Ok(())) => tracing::debug!("the coordinator's stream ended"),
                Some(Err(error)) => tracing::info!("the coordinator's stream broke: {error}"),
            }
            let mut place = lock(&self.place);
            place.open = None;
            let moved = place.address != address;
            drop(place);
            if !moved {
                task::sleep(self.pause);
            }
        }
    }

    /// One connection to the coordinator.
    fn stream(&self, address: SocketAddr) -> io::Result<()> {
        let mut socket = TcpStream::connect_timeout(&address, CONNECT_WITHIN)?;
        socket.set_read_timeout(Some(SILENCE))?;
        socket.set_nodelay(true)?;
        {
            let mut place = lock(&self.place);
            if place.address != Some(address) {
                return Ok(());
            }
            place.open = Some(socket.inner().try_clone()?);
        }
        let last = lock(&self.known).index;
        let ask = format!(
            "GET /v2/stream HTTP/1.1\r\nHost: {address}\r\nAccept: text/event-stream\r\nLast-Event-ID: {last}\r\n\r\n"
        );
        socket.write_all(ask.as_bytes())?;
        let mut input = Vec::new();
        let (head, chunked) = loop {
            if let Some(head) = parse_head(&input)? {
                break head;
            }
            read(&mut socket, &mut input)?;
        };
        input.drain(..head);
        let mut chunks = Chunks::default();
        let mut text = Vec::new();
        let mut event = Pending::default();
        // Bytes of a line that is not whole in which its end was looked for.
        let (mut looked, mut reads) = (0, 0u64);
        loop {
            if chunked {
                if !chunks.take(&mut input, &mut text)? {
                    return Ok(());
                }
            } else {
                text.append(&mut input);
            }
            let mut at = 0;
            while let Some(end) = text[at.max(looked)..].iter().position(|byte| *byte == b'\n') {
                let end = at.max(looked) + end;
                let line = &text[at..end];
                event.line(line.strip_suffix(b"\r").unwrap_or(line), |id, data| self.told(id, data))?;
                at = end + 1;
            }
            text.drain(..at);
            looked = text.len();
            if text.len() + event.data.len() > LONGEST || input.len() > LONGEST {
                return Err(io::Error::other("an event is too long"));
            }
            reads += 1;
            if reads % READS == 0 {
                task::sleep(TURN);
            }
            read(&mut socket, &mut input)?;
        }
    }

    /// Takes an event off the stream. One that cannot be read ends the connection: the next one brings it whole.
    fn told(&self, id: Option<u64>, data: &str) -> io::Result<()> {
        let json = serde_json::from_str::<Value>(data).map_err(io::Error::other)?;
        self.event(id.or(json["index"].as_u64()), &json);
        Ok(())
    }

    /// Applies an event once: a coordinator may tell it twice, and so may a new configuration.
    fn event(&self, index: Option<u64>, event: &Value) {
        let Some(index) = index else { return tracing::warn!("an event without number") };
        {
            let mut known = lock(&self.known);
            if index <= known.index {
                return;
            }
            known.index = index;
        }
        self.apply(event);
    }
}

fn read(socket: &mut TcpStream, input: &mut Vec<u8>) -> io::Result<()> {
    let before = input.len();
    input.resize(before + 4096, 0);
    let read = socket.read(&mut input[before..]);
    input.truncate(before + *read.as_ref().unwrap_or(&0));
    match read {
        Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
        Ok(_) => Ok(()),
        Err(error) => Err(error),
    }
}

/// The length of the response's head, if it is whole, and whether its body is chunked.
fn parse_head(input: &[u8]) -> io::Result<Option<(usize, bool)>> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(input).map_err(io::Error::other)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if input.len() > 16 * 1024 => {
            return Err(io::Error::other("a head too long"));
        }
        httparse::Status::Partial => return Ok(None),
    };
    if response.code != Some(200) {
        return Err(io::Error::other(format!("status {}", response.code.unwrap_or(0))));
    }
    let chunked = response.headers.iter().any(|header| {
        header.name.eq_ignore_ascii_case("transfer-encoding")
            && header.value.to_ascii_lowercase().windows(7).any(|part| part == b"chunked")
    });
    Ok(Some((length, chunked)))
}

/// Takes a chunked body apart.
#[derive(Default)]
struct Chunks {
    /// Bytes of the chunk, with its line end, that are still to come.
    left: usize,
}

impl Chunks {
    /// Moves what has come from `input` to `text`; false at the body's end.
    fn take(&mut self, input: &mut Vec<u8>, text: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            if self.left > 0 {
                let part = self.left.min(input.len());
                // The last two bytes of a chunk are its line end.
                let body = part.min(self.left.saturating_sub(2));
                text.extend_from_slice(&input[..body]);
                input.drain(..part);
                self.left -= part;
                if self.left > 0 {
                    return Ok(true);
                }
            }
            match httparse::parse_chunk_size(input) {
                Ok(httparse::Status::Complete((_, 0))) => return Ok(false),
                Ok(httparse::Status::Complete((head, size))) if size <= LONGEST as u64 => {
                    input.drain(..head);
                    self.left = size as usize + 2;
                }
                Ok(httparse::Status::Partial) => return Ok(true),
                _ => return Err(io::Error::other("a malformed chunk")),
            }
        }
    }
}

/// An event of which lines have come.
#[derive(Default)]
struct Pending {
    id: Option<u64>,
    data: String,
}

impl Pending {
    fn line(
        &mut self,
        line: &[u8],
        give: impl FnOnce(Option<u64>, &str) -> io::Result<()>,
    ) -> io::Result<()> {
        if line.is_empty() {
            let Pending { id, data } = std::mem::take(self);
            return if data.is_empty() { Ok(()) } else { give(id, &data) };
        }
        let line = String::from_utf8_lossy(line);
        let (name, value) = line.split_once(':').unwrap_or((&line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => self.id = value.trim().parse().ok(),
            "data" => {
                if !self.data.is_empty() {
                    self.data.push('\n');
                }
                self.data.push_str(value);
            }
            // Comments and all else.
            _ => {}
        }
        Ok(())
    }
}
