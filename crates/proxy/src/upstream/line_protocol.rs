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
const MAX_LINE_LENGTH: usize = 4 * 1024;
const MAX_PAGE_LENGTH: usize = 6_000;
/// The most pages of a result, the most bytes of them all, and the columns of each row.
const MAX_PAGES: usize = 64;
const MAX_RESULT_LENGTH: usize = 48_000;
const COLUMNS_PER_ROW: usize = 3;
/// Figures above this are noise.
const MAX_FIGURE: f64 = 1e9;
/// An answer that has begun must be whole within this time. Guards against a length that is too long: the connection
/// is not silent, but whatever comes is taken for the answer's own bytes.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection with requests out that has been silent for so long is checked...
const HEALTH_CHECK_AFTER: Duration = Duration::from_millis(1_000);
/// ...and given up if the check brings nothing for so long.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often connections are looked at.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes that may wait for a database that does not read.
const MAX_PENDING_BYTES: usize = 1024 * 1024;
/// How often, and for how long, a request waits before it is written until what has come from clients is read. A
/// pause and no mere yield: on a busy machine a coroutine that yields runs again before anything else is read.
const MAX_CANCEL_WAITS: u32 = 8;
const CANCEL_WAIT: Duration = Duration::from_millis(1);
/// Reads from one database before all others get their turn, and the pause then: an answer may never end.
const READS_PER_TURN: usize = 4;
const TURN_PAUSE: Duration = Duration::from_millis(1);

/// All connections to databases.
pub struct UpstreamPool {
    limits: Limits,
    /// Descriptors for connections to databases.
    budget: usize,
    pools: Mutex<HashMap<EngineId, EnginePool>>,
    /// Attempts written to databases.
    forwards: Arc<AtomicU64>,
    /// All that are open, also to databases that are gone.
    connections: Mutex<Vec<Weak<Connection>>>,
}

/// The connections to one database.
struct EnginePool {
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
    attempts: HashMap<String, ActiveAttempt>,
    last_read: Instant,
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
struct ActiveAttempt {
    events: EventSender,
    attempt: AttemptNo,
    /// What to send once the connection takes it.
    queued: Option<QueuedAttempt>,
    /// Offset of its command in all bytes written.
    start_offset: u64,
    /// Whether a progress report has shown that it runs.
    has_run: bool,
    /// The result so far, once its end is known.
    result: Option<PartialResult>,
    /// The connection that it is on, which its handle knows too.
    place: ConnectionSlot,
    /// It was on a connection that turned out to be closed, and went to another.
    moved: bool,
}

/// A request that waits for its connection.
struct QueuedAttempt {
    query: Arc<Query>,
    priority: Option<u8>,
    /// When its client leaves.
    due: Instant,
    /// The last moment at which it may be written.
    by: Option<Instant>,
}

impl QueuedAttempt {
    /// Why it may not be written any more.
    fn is_obsolete(&self, now: Instant) -> Option<Termination> {
        match self.by {
            _ if self.query.client.has_left() => Some(Termination::ClientLeft),
            Some(by) if now > by => Some(Termination::TooLate),
            _ => None,
        }
    }
}

/// The connection that an attempt is on.
type ConnectionSlot = Arc<Mutex<Option<Arc<Connection>>>>;

struct PartialResult {
    end: AttemptResult,
    missing: usize,
}

/// A way to reach an attempt that is out.
pub struct UpstreamHandle {
    place: ConnectionSlot,
    id: RequestId,
}

impl UpstreamPool {
    /// No connections yet; `budget` descriptors may be used.
    pub fn new(limits: Limits, budget: usize) -> Self {
        UpstreamPool {
            limits,
            budget,
            forwards: Arc::default(),
            pools: Mutex::default(),
            connections: Mutex::default(),
        }
    }

    /// A database is listed at this address, or is gone. Unless `Up`, nothing new goes to it from now on: what waits
    /// for its connection is turned back. What is open there still ends in its own way.
    pub fn update_endpoint(&self, engine: EngineId, address: Option<SocketAddr>, readiness: Readiness) {
        let mut pools = lock(&self.pools);
        if readiness == Readiness::Gone {
            // Guards against growth, and against meeting an old connection at an address that is used again.
            if let Some(pool) = pools.remove(&engine) {
                pool.close();
            }
            return;
        }
        let Some(address) = address else { return };
        let new = || EnginePool { address, accepting: true, connections: Vec::new() };
        let pool = pools.entry(engine).or_insert_with(new);
        if pool.address != address {
            // Guards against meeting an old connection: whoever answers at the old address is another.
            std::mem::replace(pool, new()).close();
        }
        pool.accepting = readiness == Readiness::Up;
        if !pool.accepting {
            for connection in &pool.connections {
                connection.reject_queued();
            }
        }
    }

    /// Attempts written to databases so far.
    pub fn forwards(&self) -> u64 {
        self.forwards.load(Ordering::Relaxed)
    }

    /// Databases that a whole list does not name are gone.
    pub fn retain_only(&self, engines: &[EngineId]) {
        lock(&self.pools).retain(|engine, pool| {
            let listed = engines.contains(engine);
            if !listed {
                pool.close();
            }
            listed
        });
    }

    /// Starts an attempt; its news go to `events`. `left` is how long the client still waits.
    pub fn send(
        self: &Arc<Self>,
        order: AttemptOrder,
        query: &Arc<Query>,
        left: Duration,
        events: EventSender,
    ) -> UpstreamHandle {
        let (id, place, now) = (query.request.id.clone(), ConnectionSlot::default(), Instant::now());
        let active = ActiveAttempt {
            events,
            attempt: order.attempt,
            queued: Some(QueuedAttempt {
                query: query.clone(),
                priority: order.priority,
                due: now + left,
                by: order.left.map(|left| now + left),
            }),
            start_offset: 0,
            has_run: false,
            result: None,
            place: place.clone(),
            moved: false,
        };
        self.place(order.engine, id.0.to_string(), active);
        UpstreamHandle { place, id }
    }

    /// Leaves an attempt with a connection, or ends it.
    fn place(self: &Arc<Self>, engine: EngineId, id: String, active: ActiveAttempt) {
        let Some(connection) = self.connection(engine) else {
            return active.end(Termination::NeverWritten.into());
        };
        let mut state = lock(&connection.state);
        if state.phase == Phase::Closed || state.close.is_some() {
            return active.end(Termination::NeverWritten.into());
        }
        *lock(&active.place) = Some(connection.clone());
        state.attempts.insert(id, active);
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
            (state.phase != Phase::Closed && state.close.is_none()).then_some(state.attempts.len())
        };
        let open = pool.connections.iter().filter_map(|c| Some((carried(c)?, c)));
        let idle = open.clone().find(|(attempts, _)| *attempts == 0);
        let least = idle.or_else(|| open.min_by_key(|(attempts, _)| *attempts));
        // One request on each, while descriptors last. Guards the others against an answer that is spoilt: it ends
        // the connection for all that is open on it.
        let full = pool.connections.len() >= most || held >= self.budget;
        match least {
            Some((0, connection)) => return Some(connection.clone()),
            Some((attempts, connection)) if full && attempts < self.limits.multiplex => {
                return Some(connection.clone());
            }
            _ if full => return None,
            _ => {}
        }
        let connection = Arc::new(Connection::new(self.forwards.clone()));
        pool.connections.push(connection.clone());
        lock(&self.connections).push(Arc::downgrade(&connection));
        let (pool, address, owned) = (self.clone(), pool.address, connection.clone());
        drop(pools);
        let spawned = task::spawn("database", move || owned.run(&pool, engine, address));
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
            task::sleep(SWEEP_INTERVAL);
            let mut connections = lock(&self.connections);
            connections.retain(|connection| connection.strong_count() > 0);
            for connection in connections.iter().filter_map(Weak::upgrade) {
                if lock(&connection.state).check_health(idle) {
                    connection.wake();
                }
            }
        }
    }
}

impl EnginePool {
    /// Its database is gone: connections close, those with something open as soon as that has ended.
    fn close(&self) {
        for connection in &self.connections {
            connection.reject_queued();
            let mut state = lock(&connection.state);
            state.retired = true;
            drop(state);
            connection.wake();
        }
    }
}

impl UpstreamHandle {
    /// Gives the attempt up.
    pub fn cancel(&self) {
        let Some(connection) = lock(&self.place).clone() else { return };
        let mut state = lock(&connection.state);
        let Some(active) = state.attempts.remove(&*self.id.0) else { return };
        if active.queued.is_none() {
            let word = if active.result.is_some() { "release" } else { "cancel" };
            let _ = write!(state.out.buffer(), "{word} {}\r\n", self.id.0);
        }
        drop(state);
        connection.wake();
    }

    /// Gives the attempt another priority.
    pub fn set_priority(&self, priority: u8) {
        let Some(connection) = lock(&self.place).clone() else { return };
        let mut state = lock(&connection.state);
        let Some(active) = state.attempts.get_mut(&*self.id.0) else { return };
        match &mut active.queued {
            Some(queued) => queued.priority = Some(priority),
            None if active.result.is_none() => {
                let _ = write!(state.out.buffer(), "weigh {} {priority}\r\n", self.id.0);
            }
            None => {}
        }
        drop(state);
        connection.wake();
    }
}

impl ActiveAttempt {
    fn end(self, end: AttemptResult) {
        let _ = self.events.send(RequestEvent::Upstream(self.attempt, UpstreamEvent::Ended(end)));
    }
}

impl State {
    /// Writes the commands of all that waited for the connection, once it has taken all that was written before; what is
    /// obsolete by then ends instead. Guards against an attempt that begins behind a client's back, or behind its window.
    fn write_queued(&mut self) {
        let now = Instant::now();
        if self.out.pending() > 0 || self.attempts.values().all(|active| active.queued.is_none()) {
            return;
        }
        let obsolete =
            |active: &mut ActiveAttempt| active.queued.as_ref().and_then(|queued| queued.is_obsolete(now));
        let ended: Vec<(String, Termination)> = self
            .attempts
            .iter_mut()
            .filter_map(|(id, active)| Some((id.clone(), obsolete(active)?)))
            .collect();
        for (id, ending) in ended {
            if let Some(active) = self.attempts.remove(&id) {
                active.end(ending.into());
            }
        }
        if self.attempts.values().all(|active| active.queued.is_some()) {
            // Nothing was expected so far, so its silence means nothing.
            self.last_read = now;
        }
        for (id, active) in &mut self.attempts {
            let Some(QueuedAttempt { query, priority, due, .. }) = active.queued.take() else { continue };
            active.start_offset = self.out.end_offset();
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

    /// Whether a client whose request waits here may be about to cancel it.
    fn has_unread_input(&self) -> bool {
        self.attempts
            .values()
            .filter_map(|active| active.queued.as_ref())
            .any(|queued| queued.query.client.has_unread_input())
    }

    /// Whether the connection's coroutine has something to do by now.
    fn check_health(&mut self, idle: Duration) -> bool {
        let silent = self.last_read.elapsed();
        if self.phase != Phase::Up || self.close.is_some() {
            return false;
        }
        if self.partial.is_some_and(|since| since.elapsed() >= MESSAGE_TIMEOUT) {
            self.close = Some(Termination::Garbled);
            return true;
        }
        if self.attempts.is_empty() {
            self.checked = None;
            if silent >= idle {
                self.close = Some(Termination::Closed);
            }
            return self.close.is_some();
        }
        match self.checked {
            Some(at) if at.elapsed() >= HEALTH_CHECK_TIMEOUT => self.close = Some(Termination::Silent),
            None if silent >= HEALTH_CHECK_AFTER => {
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
            attempts: HashMap::new(),
            last_read: Instant::now(),
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
    fn reject_queued(&self) {
        let mut state = lock(&self.state);
        let waiting: Vec<String> = state
            .attempts
            .iter()
            .filter(|(_, active)| active.queued.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        for id in waiting {
            if let Some(active) = state.attempts.remove(&id) {
                active.end(Termination::NeverWritten.into());
            }
        }
    }

    /// The life of the connection.
    fn run(self: Arc<Self>, pool: &Arc<UpstreamPool>, engine: EngineId, address: SocketAddr) {
        let within = Duration::from_millis(pool.limits.dial_timeout_ms);
        let mut socket = None;
        let ending = match TcpStream::connect_timeout(&address, within) {
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                let _ = self.waker.set(stream.waker());
                let mut state = lock(&self.state);
                state.phase = Phase::Up;
                state.last_read = Instant::now();
                drop(state);
                self.serve(socket.insert(stream))
            }
            Err(error) if error.kind() == std::io::ErrorKind::TimedOut => Termination::DialTimedOut,
            Err(error) if is_local_fault(&error) => Termination::NotDialled,
            Err(_) => Termination::DialRefused,
        };
        pool.forget(engine, &self);
        let mut state = lock(&self.state);
        state.phase = Phase::Closed;
        let (written, attempts) = (state.out.written_offset(), std::mem::take(&mut state.attempts));
        drop(state);
        tracing::debug!(engine = engine.0, ?ending, open = attempts.len(), "connection closed");
        let dialled = socket.is_some();
        if let Some(stream) = &socket {
            discard_input(stream.socket());
        }
        drop(socket);
        for (id, mut active) in attempts {
            // Guards the unsafe class: what was never begun on this connection has not run.
            let begun = active.queued.is_none() && active.start_offset < written;
            match dialled {
                false => active.end(ending.into()),
                true if begun => active.end(ending.into()),
                // The connection was closed while it rested: that tells nothing of the database.
                true if active.queued.is_some() && !active.moved => {
                    active.moved = true;
                    pool.place(engine, id, active);
                }
                true => active.end(Termination::NeverWritten.into()),
            }
        }
    }

    /// Reads and writes until the connection ends.
    fn serve(&self, stream: &TcpStream) -> Termination {
        let mut input = Vec::new();
        let (mut broken, mut cancel_waits) = (false, 0);
        loop {
            let mut reads = 0;
            while reads < READS_PER_TURN {
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
            if state.retired && state.attempts.is_empty() && state.out.pending() == 0 {
                return Termination::Closed;
            }
            // An answer may have come whole just before the connection broke: it is read before all is given up.
            broken = broken || state.out.flush(stream.socket()).is_err();
            // Under load, what cancels a request may wait beside what sends it.
            if !broken && cancel_waits < MAX_CANCEL_WAITS && state.has_unread_input() {
                cancel_waits += 1;
                drop(state);
                task::sleep(CANCEL_WAIT);
                continue;
            }
            cancel_waits = 0;
            if !broken {
                state.write_queued();
                broken = state.out.flush(stream.socket()).is_err();
            }
            if state.out.pending() > MAX_PENDING_BYTES {
                return Termination::Silent;
            }
            drop(state);
            if input.is_empty() {
                input = Vec::new();
            }
            if reads == READS_PER_TURN {
                task::sleep(TURN_PAUSE);
            } else if !broken {
                stream.wait_io();
            }
        }
    }

    /// Takes all whole answers off the front of `input`; the number of bytes taken.
    fn take(&self, input: &[u8]) -> Result<usize, Termination> {
        let mut at = 0;
        let mut state = lock(&self.state);
        state.last_read = Instant::now();
        state.checked = None;
        while let Some(answer) = Message::parse(&input[at..])? {
            at += answer.length;
            state.on_message(&answer)?;
        }
        // Bytes of an answer that is not whole; its clock starts anew behind each whole one.
        let since = state.partial.filter(|_| at == 0);
        state.partial = (at < input.len()).then(|| since.unwrap_or_else(Instant::now));
        Ok(at)
    }
}

/// Whether a dial failed by a lack at the proxy's own side, which tells nothing of the database.
fn is_local_fault(error: &std::io::Error) -> bool {
    const LOCAL_ERRORS: [i32; 6] =
        [libc::EMFILE, libc::ENFILE, libc::ENOMEM, libc::ENOBUFS, libc::ENOSPC, libc::EADDRNOTAVAIL];
    error.raw_os_error().is_some_and(|code| LOCAL_ERRORS.contains(&code))
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
        let Some(end) = input.windows(2).take(MAX_LINE_LENGTH).position(|pair| pair == b"\r\n") else {
            return if input.len() > MAX_LINE_LENGTH { Err(Termination::Garbled) } else { Ok(None) };
        };
        let line = std::str::from_utf8(&input[..end]).map_err(|_| Termination::Garbled)?;
        let mut words = line.split(' ');
        let (Some(id), Some(word), Some(fields), Some(length), None) =
            (words.next(), words.next(), words.next(), words.next(), words.next())
        else {
            tracing::warn!(line, "malformed message");
            return Err(Termination::Garbled);
        };
        let body: usize = length.parse().map_err(|_| Termination::Garbled)?;
        if body > MAX_PAGE_LENGTH {
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
        self.field(name)?.parse().ok().filter(|number| (0.0..=MAX_FIGURE).contains(number))
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
            row.ends_with('\n') && row.bytes().filter(|byte| *byte == b'\t').count() == COLUMNS_PER_ROW - 1
        });
        if printable && whole { Ok(self.body.to_vec()) } else { Err(Termination::Garbled) }
    }

    fn load(&self) -> Option<LoadReport> {
        let mut load = LoadReport::default();
        for (name, value) in self.field("use")?.split(';').filter_map(|pair| pair.split_once(':')) {
            let value = value.parse().ok().filter(|number| (0.0..=MAX_FIGURE).contains(number));
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

    fn progress_report(&self) -> Option<ProgressReport> {
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
    /// Carries out what one answer means for its attempt. Answers to what was given up are passed over.
    fn on_message(&mut self, answer: &Message) -> Result<(), Termination> {
        if answer.word == "PONG" {
            return Ok(());
        }
        let Some(active) = self.attempts.get_mut(answer.id) else { return Ok(()) };
        let ending = match answer.word {
            "INFO" => {
                if let Some(report) = answer.progress_report() {
                    active.has_run |= matches!(report, ProgressReport::Done(share) if share > 0.0);
                    let _ = active
                        .events
                        .send(RequestEvent::Upstream(active.attempt, UpstreamEvent::Progress(report)));
                }
                return Ok(());
            }
            "HIT" => {
                // A second copy of an answer that is good brings nothing.
                if active.result.is_some() {
                    return Ok(());
                }
                let total = answer.whole("total")?.unwrap_or(1).max(1);
                if total > MAX_PAGES {
                    return Err(Termination::Garbled);
                }
                let mut pages: Pages = vec![Vec::new(); total];
                pages[0] = answer.page()?;
                let (cost, load) = (answer.cost(), answer.load());
                let end = AttemptResult { termination: Termination::Served, cost, load, pages };
                active.result = Some(PartialResult { end, missing: total - 1 });
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
                let Some(result) = &mut active.result else { return Err(Termination::Garbled) };
                let page =
                    result.end.pages.get_mut(index).filter(|_| index > 0).ok_or(Termination::Garbled)?;
                if !page.is_empty() {
                    return Ok(());
                }
                *page = answer.page()?;
                // A page without rows would be asked for for good.
                if page.is_empty() || result.end.pages.iter().map(Vec::len).sum::<usize>() > MAX_RESULT_LENGTH
                {
                    return Err(Termination::Garbled);
                }
                result.missing -= 1;
                if result.missing > 0 {
                    return Ok(());
                }
                Termination::Served
            }
            // Guards the unsafe class: what has begun to answer has run, whatever is said of it then.
            "SHED" | "LATE" if active.result.is_some() || active.has_run => return Err(Termination::Garbled),
            "SHED" => Termination::Shed,
            "LATE" => Termination::Late,
            "FAULT" => Termination::Fault,
            _ => return Err(Termination::Garbled),
        };
        let Some(active) = self.attempts.remove(answer.id) else { return Ok(()) };
        let ActiveAttempt { events, attempt, result, .. } = active;
        let end = match result {
            Some(result) if ending == Termination::Served => result.end,
            _ => AttemptResult { load: answer.load(), ..ending.into() },
        };
        let _ = events.send(RequestEvent::Upstream(attempt, UpstreamEvent::Ended(end)));
        Ok(())
    }
}
