//! Connections to databases: lines of words, many requests on each connection.
//!
//! Each database has a pool of connections, each connection one coroutine. Whoever sends leaves the request with the
//! connection and wakes its coroutine, which writes the command when the socket takes it and not before: until its first
//! byte leaves, a request can be given up, turned back or moved to another connection without a trace.

use std::collections::HashMap;
use std::io::Write as _;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};
use std::time::{Duration, Instant};

use gaugestep_dispatch::interface::{
    AttemptNo, Cost, EngineId, LoadReport, ProgressReport, Readiness, RequestId,
};
use may::io::WaitIo as _;
use may::net::TcpStream;

use crate::config::Limits;
use crate::facade::{AttemptOrder, RequestEvent};
use crate::query::{AttemptResult, EventSender, Pages, Query, UpstreamEvent};
use crate::stream::{ReadOutcome, Stream, Waker, WriteBuffer, discard_input, read_into};
use crate::termination::Termination;
use crate::{lock, task};

/// The longest line that a database may send, and the longest page.
const LONGEST_LINE: usize = 4 * 1024;
const LONGEST_PAGE: usize = 6_000;
/// The most pages of a result, the most bytes of them all, and the columns of each row.
const MOST_PAGES: usize = 64;
const LONGEST_RESULT: usize = 48_000;
const COLUMNS: usize = 3;
/// Figures above this are noise.
const MOST: f64 = 1e9;
/// An answer that has begun must be whole within this time. Guards against a length that is too long: the connection
/// is not silent, but whatever comes is taken for the answer's own bytes.
const WHOLE_WITHIN: Duration = Duration::from_millis(500);
/// A connection with requests out that has been silent for so long is checked...
const CHECK_AFTER: Duration = Duration::from_millis(1_000);
/// ...and given up if the check brings nothing for so long.
const CHECK_WITHIN: Duration = Duration::from_millis(1_500);
/// How often connections are looked at.
const SWEEP: Duration = Duration::from_millis(100);
/// Bytes that may wait for a database that does not read.
const MOST_WAITING: usize = 1024 * 1024;
/// How often a request waits for what has come from clients to be heard first, before it is written, and for how long. A
/// pause and no mere yield: on a busy machine a coroutine that yields runs again before anything else is read.
const HEARINGS: u32 = 8;
const HEARING: Duration = Duration::from_millis(1);
/// Reads from one database before all others get their turn, and the pause then: an answer may never end.
const READS: usize = 4;
const PAUSE: Duration = Duration::from_millis(1);

/// All connections to databases.
pub struct Lines {
    limits: Limits,
    /// Descriptors for connections to databases.
    budget: usize,
    pools: Mutex<HashMap<EngineId, Pool>>,
    /// Attempts written to databases.
    forwards: Arc<AtomicU64>,
    /// All that are open, also to databases that are gone.
    connections: Mutex<Vec<Weak<Connection>>>,
}

/// The connections to one database.
struct Pool {
    address: SocketAddr,
    /// False once it drains or is gone: nothing new goes to it.
    accepting: bool,
    connections: Vec<Arc<Connection>>,
}

/// One connection.
struct Connection {
    state: Mutex<State>,
    waker: OnceLock<Waker>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Dialing,
    Up,
    Closed,
}

struct State {
    phase: Phase,
    out: WriteBuffer,
    calls: HashMap<String, Call>,
    heard: Instant,
    /// When the answer began of which a part has come.
    partial: Option<Instant>,
    /// When the last check went out that nothing has followed.
    checked: Option<Instant>,
    /// Set to have the connection closed.
    close: Option<Termination>,
    /// The database is gone: closed once nothing is open on it.
    retired: bool,
    /// Attempts written, on all connections.
    forwards: Arc<AtomicU64>,
}

/// One attempt on a connection.
struct Call {
    post: EventSender,
    attempt: AttemptNo,
    /// What to send once the connection takes it.
    unsent: Option<Unsent>,
    /// Where its command begins in all that is written.
    begins: u64,
    /// Whether a note told that it runs.
    runs: bool,
    /// The result so far, once its end is known.
    result: Option<PartResult>,
    /// The connection that it is on, which its handle knows too.
    place: Place,
    /// It was on a connection that turned out to be closed, and went to another.
    moved: bool,
}

/// A request that waits for its connection.
struct Unsent {
    query: Arc<Query>,
    priority: Option<u8>,
    /// When its client leaves.
    due: Instant,
    /// The last moment at which it may be written.
    by: Option<Instant>,
}

impl Unsent {
    /// Why it may not be written any more.
    fn moot(&self, now: Instant) -> Option<Termination> {
        match self.by {
            _ if self.query.client.has_left() => Some(Termination::ClientLeft),
            Some(by) if now > by => Some(Termination::TooLate),
            _ => None,
        }
    }
}

/// The connection that an attempt is on.
type Place = Arc<Mutex<Option<Arc<Connection>>>>;

struct PartResult {
    end: AttemptResult,
    missing: usize,
}

/// A way to reach an attempt that is out.
pub struct Handle {
    place: Place,
    id: RequestId,
}

impl Lines {
    /// No connections yet; `budget` descriptors may be used.
    pub fn new(limits: Limits, budget: usize) -> Self {
        Lines {
            limits,
            budget,
            forwards: Arc::default(),
            pools: Mutex::default(),
            connections: Mutex::default(),
        }
    }

    /// A database is listed at this address, or is gone. Unless `Up`, nothing new goes to it from now on: what waits
    /// for its connection is turned back. What is open there still ends in its own way.
    pub fn listed(&self, engine: EngineId, address: Option<SocketAddr>, readiness: Readiness) {
        let mut pools = lock(&self.pools);
        if readiness == Readiness::Gone {
            // Guards against growth, and against meeting an old connection at an address that is used again.
            if let Some(pool) = pools.remove(&engine) {
                pool.close();
            }
            return;
        }
        let Some(address) = address else { return };
        let new = || Pool { address, accepting: true, connections: Vec::new() };
        let pool = pools.entry(engine).or_insert_with(new);
        if pool.address != address {
            // Guards against meeting an old connection: whoever answers at the old address is another.
            std::mem::replace(pool, new()).close();
        }
        pool.accepting = readiness == Readiness::Up;
        if !pool.accepting {
            for connection in &pool.connections {
                connection.turn_back();
            }
        }
    }

    /// Attempts written to databases so far.
    pub fn forwards(&self) -> u64 {
        self.forwards.load(Ordering::Relaxed)
    }

    /// Databases that a whole list does not name are gone.
    pub fn only(&self, engines: &[EngineId]) {
        lock(&self.pools).retain(|engine, pool| {
            let listed = engines.contains(engine);
            if !listed {
                pool.close();
            }
            listed
        });
    }

    /// Starts an attempt; its news go to `post`. `left` is how long the client still waits.
    pub fn send(
        self: &Arc<Self>,
        sending: AttemptOrder,
        query: &Arc<Query>,
        left: Duration,
        post: EventSender,
    ) -> Handle {
        let (id, place, now) = (query.new.id.clone(), Place::default(), Instant::now());
        let call = Call {
            post,
            attempt: sending.attempt,
            unsent: Some(Unsent {
                query: query.clone(),
                priority: sending.priority,
                due: now + left,
                by: sending.left.map(|left| now + left),
            }),
            begins: 0,
            runs: false,
            result: None,
            place: place.clone(),
            moved: false,
        };
        self.place(sending.engine, id.0.to_string(), call);
        Handle { place, id }
    }

    /// Leaves an attempt with a connection, or ends it.
    fn place(self: &Arc<Self>, engine: EngineId, id: String, call: Call) {
        let Some(connection) = self.connection(engine) else {
            return call.end(Termination::NeverWritten.into());
        };
        let mut state = lock(&connection.state);
        if state.phase == Phase::Closed || state.close.is_some() {
            return call.end(Termination::NeverWritten.into());
        }
        *lock(&call.place) = Some(connection.clone());
        state.calls.insert(id, call);
        drop(state);
        connection.wake();
    }

    /// The connection for one more attempt, a new one if need be.
    fn connection(self: &Arc<Self>, engine: EngineId) -> Option<Arc<Connection>> {
        let mut pools = lock(&self.pools);
        let engines = pools.values().filter(|pool| pool.accepting).count().max(1);
        let most = (self.budget / engines).max(1);
        let held = lock(&self.connections).iter().filter(|open| open.strong_count() > 0).count();
        let pool = pools.get_mut(&engine).filter(|pool| pool.accepting)?;
        let carried = |connection: &Arc<Connection>| {
            let state = lock(&connection.state);
            (state.phase != Phase::Closed && state.close.is_none()).then_some(state.calls.len())
        };
        let open = pool.connections.iter().filter_map(|c| Some((carried(c)?, c)));
        let idle = open.clone().find(|(calls, _)| *calls == 0);
        let least = idle.or_else(|| open.min_by_key(|(calls, _)| *calls));
        // One request on each, while descriptors last. Guards the others against an answer that is spoilt: it ends
        // the connection for all that is open on it.
        let full = pool.connections.len() >= most || held >= self.budget;
        match least {
            Some((0, connection)) => return Some(connection.clone()),
            Some((calls, connection)) if full && calls < self.limits.multiplex => {
                return Some(connection.clone());
            }
            _ if full => return None,
            _ => {}
        }
        let connection = Arc::new(Connection::new(self.forwards.clone()));
        pool.connections.push(connection.clone());
        lock(&self.connections).push(Arc::downgrade(&connection));
        let (lines, address, owned) = (self.clone(), pool.address, connection.clone());
        drop(pools);
        let spawned = task::spawn("database", move || owned.run(&lines, engine, address));
        if let Err(error) = spawned {
            tracing::error!("no coroutine for a connection: {error}");
            self.forget(engine, &connection);
            return None;
        }
        Some(connection)
    }

    fn forget(&self, engine: EngineId, connection: &Arc<Connection>) {
        let mut pools = lock(&self.pools);
        if let Some(pool) = pools.get_mut(&engine) {
            pool.connections.retain(|other| !Arc::ptr_eq(other, connection));
        }
    }

    /// Checks silent connections and closes idle ones, for good.
    pub fn run_sweeper(&self) {
        // Ahead of the databases, which close idle connections too: a send must not cross their close.
        let idle = Duration::from_millis(self.limits.idle_ms * 2 / 3);
        loop {
            task::sleep(SWEEP);
            let mut connections = lock(&self.connections);
            connections.retain(|connection| connection.strong_count() > 0);
            for connection in connections.iter().filter_map(Weak::upgrade) {
                if lock(&connection.state).look_over(idle) {
                    connection.wake();
                }
            }
        }
    }
}

impl Pool {
    /// Its database is gone: connections close, those with something open as soon as that has ended.
    fn close(&self) {
        for connection in &self.connections {
            connection.turn_back();
            let mut state = lock(&connection.state);
            state.retired = true;
            drop(state);
            connection.wake();
        }
    }
}

impl Handle {
    /// Gives the attempt up.
    pub fn cancel(&self) {
        let Some(connection) = lock(&self.place).clone() else { return };
        let mut state = lock(&connection.state);
        let Some(call) = state.calls.remove(&*self.id.0) else { return };
        if call.unsent.is_none() {
            let word = if call.result.is_some() { "release" } else { "cancel" };
            let _ = write!(state.out.buffer(), "{word} {}\r\n", self.id.0);
        }
        drop(state);
        connection.wake();
    }

    /// Gives the attempt another priority.
    pub fn weigh(&self, priority: u8) {
        let Some(connection) = lock(&self.place).clone() else { return };
        let mut state = lock(&connection.state);
        let Some(call) = state.calls.get_mut(&*self.id.0) else { return };
        match &mut call.unsent {
            Some(unsent) => unsent.priority = Some(priority),
            None if call.result.is_none() => {
                let _ = write!(state.out.buffer(), "weigh {} {priority}\r\n", self.id.0);
            }
            None => {}
        }
        drop(state);
        connection.wake();
    }
}

impl Call {
    fn end(self, end: AttemptResult) {
        let _ = self.post.send(RequestEvent::Upstream(self.attempt, UpstreamEvent::Ended(end)));
    }
}

impl State {
    /// Writes the commands of all that waited for the connection, once it has taken all that was written before; what is
    /// moot by then ends instead. Guards against an attempt that begins behind a client's back, or behind its window.
    fn write_unsent(&mut self) {
        let now = Instant::now();
        if self.out.pending() > 0 || self.calls.values().all(|call| call.unsent.is_none()) {
            return;
        }
        let moot = |call: &mut Call| call.unsent.as_ref().and_then(|unsent| unsent.moot(now));
        let ended: Vec<(String, Termination)> =
            self.calls.iter_mut().filter_map(|(id, call)| Some((id.clone(), moot(call)?))).collect();
        for (id, ending) in ended {
            if let Some(call) = self.calls.remove(&id) {
                call.end(ending.into());
            }
        }
        if self.calls.values().all(|call| call.unsent.is_some()) {
            // Nothing was expected so far, so its silence means nothing.
            self.heard = now;
        }
        for (id, call) in &mut self.calls {
            let Some(Unsent { query, priority, due, .. }) = call.unsent.take() else { continue };
            call.begins = self.out.end_offset();
            let budget = due.saturating_duration_since(now).as_millis().max(1);
            self.forwards.fetch_add(1, Ordering::Relaxed);
            let out = self.out.buffer();
            let _ = write!(out, "serve {id} queue={},budget={budget}", query.class.name);
            if let Some(priority) = priority {
                let _ = write!(out, ",band={priority}");
            }
            let _ = write!(out, " {}\r\n", query.statement.len());
            out.extend_from_slice(&query.statement);
            out.extend_from_slice(b"\r\n");
        }
    }

    /// Whether a client whose request waits here may be about to call it off.
    fn has_unread_input(&self) -> bool {
        self.calls
            .values()
            .filter_map(|call| call.unsent.as_ref())
            .any(|unsent| unsent.query.client.has_unread_input())
    }

    /// Whether the connection's coroutine has something to do by now.
    fn look_over(&mut self, idle: Duration) -> bool {
        let silent = self.heard.elapsed();
        if self.phase != Phase::Up || self.close.is_some() {
            return false;
        }
        if self.partial.is_some_and(|since| since.elapsed() >= WHOLE_WITHIN) {
            self.close = Some(Termination::Garbled);
            return true;
        }
        if self.calls.is_empty() {
            self.checked = None;
            if silent >= idle {
                self.close = Some(Termination::Closed);
            }
            return self.close.is_some();
        }
        match self.checked {
            Some(at) if at.elapsed() >= CHECK_WITHIN => self.close = Some(Termination::Silent),
            None if silent >= CHECK_AFTER => {
                self.checked = Some(Instant::now());
                self.out.buffer().extend_from_slice(b"health check\r\n");
            }
            _ => return false,
        }
        true
    }
}

impl Connection {
    fn new(forwards: Arc<AtomicU64>) -> Self {
        let state = State {
            phase: Phase::Dialing,
            out: WriteBuffer::default(),
            calls: HashMap::new(),
            heard: Instant::now(),
            partial: None,
            checked: None,
            close: None,
            retired: false,
            forwards,
        };
        Connection { state: Mutex::new(state), waker: OnceLock::new() }
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.get() {
            waker.wakeup();
        }
    }

    /// Turns back what still waits for the connection to come up.
    fn turn_back(&self) {
        let mut state = lock(&self.state);
        let waiting: Vec<String> =
            state.calls.iter().filter(|(_, call)| call.unsent.is_some()).map(|(id, _)| id.clone()).collect();
        for id in waiting {
            if let Some(call) = state.calls.remove(&id) {
                call.end(Termination::NeverWritten.into());
            }
        }
    }

    /// The life of the connection.
    fn run(self: Arc<Self>, lines: &Arc<Lines>, engine: EngineId, address: SocketAddr) {
        let within = Duration::from_millis(lines.limits.dial_timeout_ms);
        let mut socket = None;
        let ending = match TcpStream::connect_timeout(&address, within) {
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                let _ = self.waker.set(stream.waker());
                let mut state = lock(&self.state);
                state.phase = Phase::Up;
                state.heard = Instant::now();
                drop(state);
                self.carry(socket.insert(stream))
            }
            Err(error) if error.kind() == std::io::ErrorKind::TimedOut => Termination::DialTimedOut,
            Err(error) if own_fault(&error) => Termination::NotDialled,
            Err(_) => Termination::DialRefused,
        };
        lines.forget(engine, &self);
        let mut state = lock(&self.state);
        state.phase = Phase::Closed;
        let (written, calls) = (state.out.written_offset(), std::mem::take(&mut state.calls));
        drop(state);
        tracing::debug!(engine = engine.0, ?ending, open = calls.len(), "connection over");
        let dialled = socket.is_some();
        if let Some(stream) = &socket {
            discard_input(stream.socket());
        }
        drop(socket);
        for (id, mut call) in calls {
            // Guards the unsafe class: what was never begun on this connection has not run.
            let begun = call.unsent.is_none() && call.begins < written;
            match dialled {
                false => call.end(ending.into()),
                true if begun => call.end(ending.into()),
                // The connection was closed while it rested: that tells nothing of the database.
                true if call.unsent.is_some() && !call.moved => {
                    call.moved = true;
                    lines.place(engine, id, call);
                }
                true => call.end(Termination::NeverWritten.into()),
            }
        }
    }

    /// Reads and writes until the connection ends.
    fn carry(&self, stream: &TcpStream) -> Termination {
        let mut input = Vec::new();
        let (mut broken, mut hearings) = (false, 0);
        loop {
            let mut reads = 0;
            while reads < READS {
                match read_into(stream.socket(), &mut input) {
                    Ok(ReadOutcome::Data) => match self.take(&input) {
                        Ok(taken) => drop(input.drain(..taken)),
                        Err(ending) => return ending,
                    },
                    Ok(ReadOutcome::WouldBlock) if broken => return Termination::Reset,
                    Ok(ReadOutcome::WouldBlock) => break,
                    Ok(ReadOutcome::Closed) => return Termination::Closed,
                    Err(_) => return Termination::Reset,
                }
                reads += 1;
            }
            let mut state = lock(&self.state);
            if let Some(ending) = state.close {
                return ending;
            }
            if state.retired && state.calls.is_empty() && state.out.pending() == 0 {
                return Termination::Closed;
            }
            // An answer may have come whole just before the connection broke: it is read before all is given up.
            broken = broken || state.out.flush(stream.socket()).is_err();
            // Under load, what calls a request off may wait beside what sends it.
            if !broken && hearings < HEARINGS && state.has_unread_input() {
                hearings += 1;
                drop(state);
                task::sleep(HEARING);
                continue;
            }
            hearings = 0;
            if !broken {
                state.write_unsent();
                broken = state.out.flush(stream.socket()).is_err();
            }
            if state.out.pending() > MOST_WAITING {
                return Termination::Silent;
            }
            drop(state);
            if input.is_empty() {
                input = Vec::new();
            }
            if reads == READS {
                task::sleep(PAUSE);
            } else if !broken {
                stream.wait_io();
            }
        }
    }

    /// Takes all whole answers off the front of `input`; the number of bytes taken.
    fn take(&self, input: &[u8]) -> Result<usize, Termination> {
        let mut at = 0;
        let mut state = lock(&self.state);
        state.heard = Instant::now();
        state.checked = None;
        while let Some(answer) = Message::parse(&input[at..])? {
            at += answer.length;
            state.answered(&answer)?;
        }
        // Bytes of an answer that is not whole; its clock starts anew behind each whole one.
        let since = state.partial.filter(|_| at == 0);
        state.partial = (at < input.len()).then(|| since.unwrap_or_else(Instant::now));
        Ok(at)
    }
}

/// Whether a dial failed by a lack at the proxy's own side, which tells nothing of the database.
fn own_fault(error: &std::io::Error) -> bool {
    const LACKS: [i32; 6] =
        [libc::EMFILE, libc::ENFILE, libc::ENOMEM, libc::ENOBUFS, libc::ENOSPC, libc::EADDRNOTAVAIL];
    error.raw_os_error().is_some_and(|code| LACKS.contains(&code))
}

/// One answer, in the buffer that it was read into.
struct Message<'a> {
    id: &'a str,
    word: &'a str,
    fields: &'a str,
    body: &'a [u8],
    /// Bytes of the whole.
    length: usize,
}

impl<'a> Message<'a> {
    /// The first answer in `input`, if it is whole.
    fn parse(input: &'a [u8]) -> Result<Option<Self>, Termination> {
        let Some(end) = input.windows(2).take(LONGEST_LINE).position(|pair| pair == b"\r\n") else {
            return if input.len() > LONGEST_LINE { Err(Termination::Garbled) } else { Ok(None) };
        };
        let line = std::str::from_utf8(&input[..end]).map_err(|_| Termination::Garbled)?;
        let mut words = line.split(' ');
        let (Some(id), Some(word), Some(fields), Some(length), None) =
            (words.next(), words.next(), words.next(), words.next(), words.next())
        else {
            tracing::warn!(line, "no answer");
            return Err(Termination::Garbled);
        };
        let body: usize = length.parse().map_err(|_| Termination::Garbled)?;
        if body > LONGEST_PAGE {
            return Err(Termination::Garbled);
        }
        let (from, to) = (end + 2, end + 2 + body);
        if input.len() < to + 2 {
            return Ok(None);
        }
        if &input[to..to + 2] != b"\r\n" {
            return Err(Termination::Garbled);
        }
        Ok(Some(Message { id, word, fields, body: &input[from..to], length: to + 2 }))
    }

    fn field(&self, name: &str) -> Option<&'a str> {
        let pairs = self.fields.split(',').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }

    fn number(&self, name: &str) -> Option<f64> {
        self.field(name)?.parse().ok().filter(|number| (0.0..=MOST).contains(number))
    }

    /// A field that holds a whole number, if it is there.
    fn whole(&self, name: &str) -> Result<Option<usize>, Termination> {
        self.field(name).map(|text| text.parse().map_err(|_| Termination::Garbled)).transpose()
    }

    /// The page that it brings. Guards the client against noise: what is no whole rows is no page.
    fn page(&self) -> Result<Vec<u8>, Termination> {
        let text = std::str::from_utf8(self.body).map_err(|_| Termination::Garbled)?;
        let printable = text.chars().all(|c| !c.is_control() || c == '\t' || c == '\n');
        let whole = text.split_inclusive('\n').all(|row| {
            row.ends_with('\n') && row.bytes().filter(|byte| *byte == b'\t').count() == COLUMNS - 1
        });
        if printable && whole { Ok(self.body.to_vec()) } else { Err(Termination::Garbled) }
    }

    fn load(&self) -> Option<LoadReport> {
        let mut load = LoadReport::default();
        for (name, value) in self.field("use")?.split(';').filter_map(|pair| pair.split_once(':')) {
            let value = value.parse().ok().filter(|number| (0.0..=MOST).contains(number));
            match name {
                "rif" | "inflight" => load.in_flight = value,
                "q" | "queue" => load.queued = value,
                "busy" | "util" => load.busy = value,
                "x0" => load.memory = value,
                _ => {}
            }
        }
        Some(load)
    }

    fn cost(&self) -> Option<Cost> {
        let work = self.number("elapsed")?;
        Some(Cost { work, memory_mb: self.number("rss").unwrap_or(0.0) })
    }

    fn note(&self) -> Option<ProgressReport> {
        let amount = self.number("datum").unwrap_or(0.0);
        match self.field("detail")? {
            "done" => Some(ProgressReport::Done(amount)),
            "spills" => Some(ProgressReport::Spills(amount)),
            "waits" if amount == 2.0 => Some(ProgressReport::WaitsForLoad),
            "waits" => Some(ProgressReport::WaitsForMemory),
            _ => None,
        }
    }
}

impl State {
    /// Carries out what one answer means for its call. Answers to what was given up are passed over.
    fn answered(&mut self, answer: &Message) -> Result<(), Termination> {
        if answer.word == "PONG" {
            return Ok(());
        }
        let Some(call) = self.calls.get_mut(answer.id) else { return Ok(()) };
        let ending = match answer.word {
            "INFO" => {
                if let Some(note) = answer.note() {
                    call.runs |= matches!(note, ProgressReport::Done(share) if share > 0.0);
                    let _ =
                        call.post.send(RequestEvent::Upstream(call.attempt, UpstreamEvent::Progress(note)));
                }
                return Ok(());
            }
            "HIT" => {
                // A second copy of an answer that is good brings nothing.
                if call.result.is_some() {
                    return Ok(());
                }
                let total = answer.whole("total")?.unwrap_or(1).max(1);
                if total > MOST_PAGES {
                    return Err(Termination::Garbled);
                }
                let mut pages: Pages = vec![Vec::new(); total];
                pages[0] = answer.page()?;
                let (cost, load) = (answer.cost(), answer.load());
                let end = AttemptResult { termination: Termination::Served, cost, load, pages };
                call.result = Some(PartResult { end, missing: total - 1 });
                for page in 1..total {
                    let _ = write!(self.out.buffer(), "read {} {page}\r\n", answer.id);
                }
                if total > 1 {
                    return Ok(());
                }
                Termination::Served
            }
            "PART" => {
                let index = answer.whole("index")?.ok_or(Termination::Garbled)?;
                let Some(result) = &mut call.result else { return Err(Termination::Garbled) };
                let page =
                    result.end.pages.get_mut(index).filter(|_| index > 0).ok_or(Termination::Garbled)?;
                if !page.is_empty() {
                    return Ok(());
                }
                *page = answer.page()?;
                // A page without rows would be asked for for good.
                if page.is_empty() || result.end.pages.iter().map(Vec::len).sum::<usize>() > LONGEST_RESULT {
                    return Err(Termination::Garbled);
                }
                result.missing -= 1;
                if result.missing > 0 {
                    return Ok(());
                }
                Termination::Served
            }
            // Guards the unsafe class: what has begun to answer has run, whatever is said of it then.
            "SHED" | "LATE" if call.result.is_some() || call.runs => return Err(Termination::Garbled),
            "SHED" => Termination::Shed,
            "LATE" => Termination::Late,
            "FAULT" => Termination::Fault,
            _ => return Err(Termination::Garbled),
        };
        let Some(call) = self.calls.remove(answer.id) else { return Ok(()) };
        let Call { post, attempt, result, .. } = call;
        let end = match result {
            Some(result) if ending == Termination::Served => result.end,
            _ => AttemptResult { load: answer.load(), ..ending.into() },
        };
        let _ = post.send(RequestEvent::Upstream(attempt, UpstreamEvent::Ended(end)));
        Ok(())
    }
}
