//! The PostgreSQL front: sessions of simple queries.
//!
//! One coroutine owns each session's socket. A query runs in a coroutine of its own, which leaves the answer with the
//! session and wakes it; so the session sees at any time that its client has left.

use std::collections::HashMap;
use std::fmt;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use gaugestep_dispatch::interface::{NewRequest, TablesId, TenantId};
use may::io::{CoIo, WaitIo as _};

use super::message::{self, StartupMessage};
use super::{fields, message::Message};
use crate::facade::{Mailbox, RequestEvent, request_id};
use crate::query::{Answer, Client, EventSender, Query};
use crate::request_lifecycle::{OpenRequestGuard, RequestHandler, handle_request};
use crate::stream::{
    ReadOutcome, Stream as _, Waker, WriteBuffer, discard_input, peer_closed, read_into, readable,
};
use crate::{lock, task};

/// Milliseconds kept back from a client's time for the answer's way.
const ANSWER_RESERVE_MS: f64 = 5.0;
/// A client must have said who it is, and must have sent a message that it began, within this time.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// A client must go on reading within this time.
const CLIENT_READ_TIMEOUT: Duration = Duration::from_secs(30);
/// After a fatal error a client may go on sending for so long in all, and be silent for so long, before its connection
/// is closed under it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
const CLOSE_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes read ahead of what is being answered.
const MAX_READ_AHEAD: usize = 64 * 1024;
/// What one session does before others get their turn: reads and messages at a time, rounds, and the pause then. A
/// pause and no mere yield: coroutines that yield run before anything else is read.
const READS_PER_TURN: usize = 16;
const MESSAGES_PER_TURN: usize = 16;
const TURNS_BEFORE_PAUSE: usize = 8;
const TURN_PAUSE: Duration = Duration::from_millis(1);

/// What the sessions of the front share.
pub struct SessionManager {
    handler: Arc<RequestHandler>,
    sessions: Mutex<HashMap<u32, Arc<SessionHandle>>>,
    next: AtomicU32,
    seed: u64,
    /// Whether sessions close, and when.
    leaving: AtomicU8,
    /// The max_message_length message that a client may send.
    max_message_length: usize,
    /// Where clients connect, while it listens.
    listener: Weak<CoIo<TcpListener>>,
    /// Connections that were taken in and not yet read from.
    unread_connections: AtomicUsize,
}

/// How a front takes leave of its sessions.
#[derive(Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum SessionEnd {
    /// Not at all.
    Never,
    /// Behind their next answer: a client that reads it sees the close, and sends nothing across it.
    AfterAnswer,
    /// As soon as nothing is open in them, and nothing new is taken.
    WhenIdle,
}

/// What others reach a session by.
struct SessionHandle {
    secret: u32,
    cancelled: AtomicBool,
    /// The session is to make room for another.
    evicted: AtomicBool,
    status: Mutex<SessionStatus>,
    /// Gone with the session.
    stream: Weak<CoIo<TcpStream>>,
    waker: Waker,
}

impl SessionHandle {
    /// Whether a query runs or has come, whole or in part.
    fn has_query(&self) -> bool {
        let SessionStatus { phase, due, .. } = *lock(&self.status);
        phase != Phase::Idle || due.is_some() || self.stream.upgrade().is_some_and(|it| readable(it.socket()))
    }
}

/// How a session looks from outside.
#[derive(Clone, Copy)]
struct SessionStatus {
    phase: Phase,
    since: Instant,
    /// When the session has to look at its clock.
    due: Option<Instant>,
}

/// In the order in which sessions make room for others.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// It has not said what it wants, or is being closed.
    Silent,
    /// It waits for its next query.
    Idle,
    /// A query runs.
    Busy,
}

impl SessionManager {
    /// A front before the handler; `seed` makes the sessions' keys hard to guess.
    pub fn new(
        handler: Arc<RequestHandler>,
        seed: u64,
        max_message_length: usize,
        listener: &Arc<CoIo<TcpListener>>,
    ) -> Self {
        SessionManager {
            handler,
            sessions: Mutex::default(),
            next: AtomicU32::new(1),
            seed,
            leaving: AtomicU8::new(SessionEnd::Never as u8),
            max_message_length,
            listener: Arc::downgrade(listener),
            unread_connections: AtomicUsize::new(0),
        }
    }

    /// How many sessions there are.
    pub fn session_count(&self) -> usize {
        lock(&self.sessions).len()
    }

    /// From now on sessions are closed, or no longer.
    pub fn end_sessions(&self, how: SessionEnd) {
        self.leaving.store(how as u8, Ordering::Relaxed);
        self.wake(|_| true);
    }

    fn ends_sessions(&self, how: SessionEnd) -> bool {
        self.leaving.load(Ordering::Relaxed) >= how as u8
    }

    /// Wakes the sessions for which it is time to look at their clocks.
    pub fn wake_expired(&self) {
        let now = Instant::now();
        self.wake(|handle| lock(&handle.status).due.is_some_and(|due| due <= now));
    }

    fn wake(&self, which: impl Fn(&SessionHandle) -> bool) {
        for handle in lock(&self.sessions).values().filter(|handle| which(handle)) {
            handle.waker.wakeup();
        }
    }

    /// Has the session closed that has been silent max_message_length, or else idle max_message_length; false if queries run in all. Guards
    /// usual clients' descriptors against those who connect and say nothing, or ask once and stay.
    pub fn evict_idle_session(&self) -> bool {
        let sessions = lock(&self.sessions);
        let open = sessions.values().filter(|handle| !handle.evicted.load(Ordering::Relaxed));
        let ranked = open.map(|handle| (*lock(&handle.status), handle));
        let idle = ranked.filter(|(status, _)| status.phase != Phase::Busy);
        let Some((_, handle)) = idle.min_by_key(|(status, _)| (status.phase, status.since)) else {
            return false;
        };
        handle.evicted.store(true, Ordering::Relaxed);
        handle.waker.wakeup();
        true
    }

    /// Closes a connection for which there is no room, and says why.
    pub fn reject(&self, socket: &TcpStream) {
        let mut out = WriteBuffer::default();
        message::error(out.buffer(), true, "53300", "sorry, too many clients already");
        let _ = socket.set_nonblocking(true);
        let _ = socket.set_nodelay(true);
        let _ = out.flush(socket);
        let _ = socket.shutdown(Shutdown::Write);
        // Closed with bytes unread it would be reset, and the error lost.
        discard_input(socket);
    }

    /// Takes in a connection; the coroutine that runs it is started here.
    pub fn admit(self: &Arc<Self>, socket: TcpStream) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        let stream = Arc::new(CoIo::new(socket).map_err(std::io::Error::from)?);
        let process = self.next.fetch_add(1, Ordering::Relaxed);
        let secret = oorandom::Rand32::new(self.seed ^ (u64::from(process) << 32)).rand_u32();
        let began = Instant::now();
        let status = SessionStatus { phase: Phase::Silent, since: began, due: Some(began + MESSAGE_TIMEOUT) };
        let handle = Arc::new(SessionHandle {
            secret,
            cancelled: AtomicBool::new(false),
            evicted: AtomicBool::new(false),
            status: Mutex::new(status),
            stream: Arc::downgrade(&stream),
            waker: stream.waker(),
        });
        lock(&self.sessions).insert(process, handle.clone());
        let manager = self.clone();
        self.unread_connections.fetch_add(1, Ordering::Relaxed);
        let spawned = task::spawn("session", move || {
            let mut session = Session {
                manager: &manager,
                stream,
                handle,
                process,
                input: Vec::new(),
                at: 0,
                out: WriteBuffer::default(),
                message_started: Some(began),
                last_progress: began,
                read_at: 0.0,
                encryptions: 0,
                closed: false,
                cancelled_early: false,
                state: State::Starting,
            };
            session.run();
            session.abandon_request();
            discard_input(session.stream.socket());
            lock(&manager.sessions).remove(&process);
        });
        if spawned.is_err() {
            self.unread_connections.fetch_sub(1, Ordering::Relaxed);
            lock(&self.sessions).remove(&process);
        }
        spawned
    }

    /// Whether a connection has come that nobody has read from: what it brings may call a query off.
    fn has_unread_input(&self) -> bool {
        let listens = self.listener.upgrade().is_some_and(|listener| readable(listener.inner()));
        listens || self.unread_connections.load(Ordering::Relaxed) > 0
    }

    fn cancel(&self, process: u32, secret: u32) {
        let handle = lock(&self.sessions).get(&process).filter(|handle| handle.secret == secret).cloned();
        // One that finds no query, also none that is still to be read, holds for none that comes later.
        if let Some(handle) = handle.filter(|handle| handle.has_query()) {
            handle.cancelled.store(true, Ordering::Relaxed);
            handle.waker.wakeup();
        }
    }
}

/// The client of one request, as others may ask after it at any moment.
struct ClientHandle {
    manager: Arc<SessionManager>,
    handle: Arc<SessionHandle>,
    cancelled: AtomicBool,
}

impl fmt::Debug for ClientHandle {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("ClientHandle").field("cancelled", &self.cancelled).finish_non_exhaustive()
    }
}

impl Client for ClientHandle {
    /// Guards against an attempt that begins behind its client's back: under load it takes its time until the session has
    /// read that the client has left. A client that has closed its part of the connection has left, too: from here
    /// nobody can tell it from one that has closed all of it.
    fn has_left(&self) -> bool {
        let told = self.cancelled.load(Ordering::Relaxed) || self.handle.cancelled.load(Ordering::Relaxed);
        told || self.handle.stream.upgrade().is_none_or(|stream| peer_closed(stream.socket()))
    }

    fn has_unread_input(&self) -> bool {
        self.manager.has_unread_input()
    }
}

enum State {
    Starting,
    Ready,
    /// After an error in the extended protocol: all is passed over until Sync.
    SkipUntilSync,
    Busy(RunningQuery),
    /// Closed once all is written: what the client still sends is passed over, as a connection closed with bytes unread is
    /// reset, and what was written last is lost.
    Closing,
    /// All is written, and this side of the connection is closed; the other once the client has closed, or at this time.
    Draining {
        until: Instant,
        give_up_at: Instant,
    },
}

/// A query that runs.
struct RunningQuery {
    events: EventSender,
    answer: Arc<Mutex<Option<Answer>>>,
    /// The statement's first word, for the tag of its result.
    word: String,
    open: OpenRequestGuard,
    client: Arc<ClientHandle>,
}

struct Session<'a> {
    manager: &'a Arc<SessionManager>,
    stream: Arc<CoIo<TcpStream>>,
    handle: Arc<SessionHandle>,
    process: u32,
    input: Vec<u8>,
    /// Bytes of `input` that are done with.
    at: usize,
    out: WriteBuffer,
    /// When the message began that the client has not yet sent in full; the session's first at its start.
    message_started: Option<Instant>,
    /// When the client last took something, or was last not owed anything.
    last_progress: Instant,
    /// When the last bytes were read, on the module's clock.
    read_at: f64,
    /// How often encryption was asked for.
    encryptions: u32,
    /// The client sends nothing any more.
    closed: bool,
    /// The query that has come in part is called off already.
    cancelled_early: bool,
    state: State,
}

impl Session<'_> {
    /// Runs until the connection is to be closed.
    fn run(&mut self) {
        let (mut answered, mut rounds) = (None, 0);
        let mut fresh = true;
        loop {
            let read = self.read();
            if std::mem::take(&mut fresh) {
                self.manager.unread_connections.fetch_sub(1, Ordering::Relaxed);
            }
            let Ok(drained) = read else { return };
            answered = self.write_answer().or(answered);
            if self.handle.cancelled.swap(false, Ordering::Relaxed) {
                self.cancel_query();
            }
            self.check_client_left();
            self.process_messages();
            self.check_timeouts();
            match self.out.flush(self.stream.socket()) {
                Ok(last_progress) if last_progress || self.out.pending() == 0 => {
                    self.last_progress = Instant::now()
                }
                Ok(_) => {}
                Err(_) => return,
            }
            if self.out.pending() == 0 {
                let done = answered.take().is_some();
                if self.closed {
                    return;
                }
                let evicted = self.handle.evicted.load(Ordering::Relaxed);
                let leaves = evicted && !matches!(self.state, State::Busy(_) | State::Draining { .. });
                let takes_leave = self.manager.ends_sessions(SessionEnd::WhenIdle)
                    || done && self.manager.ends_sessions(SessionEnd::AfterAnswer);
                let ends = leaves || takes_leave && self.idle();
                if matches!(self.state, State::Closing) || ends {
                    let _ = self.stream.socket().shutdown(Shutdown::Write);
                    let now = Instant::now();
                    self.state =
                        State::Draining { until: now + CLOSE_IDLE_TIMEOUT, give_up_at: now + CLOSE_TIMEOUT };
                }
            }
            let Some(status) = self.status() else { return };
            *lock(&self.handle.status) = status;
            let more = self.out.pending() == 0 && self.accepts_messages() && self.has_complete_message();
            // Waits only once the socket had nothing more, or what it has need not be read: it tells of news once.
            if !more && (drained || !self.wants_input()) {
                rounds = 0;
                self.stream.wait_io();
            } else {
                rounds += 1;
                if rounds % TURNS_BEFORE_PAUSE == 0 {
                    task::sleep(TURN_PAUSE);
                }
            }
        }
    }

    /// Ends what a client has begun to say and does not say in full.
    fn check_timeouts(&mut self) {
        let evicted = self.handle.evicted.load(Ordering::Relaxed);
        let starting = matches!(self.state, State::Starting);
        if evicted && starting {
            message::error(self.out.buffer(), true, "53300", "sorry, too many clients already");
            self.state = State::Closing;
        }
        let partial =
            starting || self.input.len() > self.at && self.accepts_messages() && !self.has_complete_message();
        self.message_started = if partial { self.message_started.or(Some(Instant::now())) } else { None };
        if self.accepts_messages()
            && self
                .message_started
                .is_some_and(|message_started| message_started.elapsed() >= MESSAGE_TIMEOUT)
        {
            message::error(
                self.out.buffer(),
                true,
                "57014",
                "canceling: the client's message did not come in time",
            );
            self.state = State::Closing;
        }
    }

    /// How the session stands; nothing if it has waited for its client for too long.
    fn status(&self) -> Option<SessionStatus> {
        let (phase, since) = match &self.state {
            State::Busy(_) => (Phase::Busy, self.last_progress),
            State::Draining { .. } | State::Starting | State::Closing => {
                (Phase::Silent, self.message_started.unwrap_or(self.last_progress))
            }
            State::Ready | State::SkipUntilSync => (Phase::Idle, self.last_progress),
        };
        let say = self
            .message_started
            .filter(|_| self.accepts_messages())
            .map(|message_started| message_started + MESSAGE_TIMEOUT);
        let due = match self.state {
            // It makes room for another at once.
            State::Draining { .. } if self.handle.evicted.load(Ordering::Relaxed) => return None,
            State::Draining { until, give_up_at } => Some(until.min(give_up_at)),
            _ if self.out.pending() > 0 => Some(self.last_progress + CLIENT_READ_TIMEOUT),
            _ => say,
        };
        let over = due.is_some_and(|due| due <= Instant::now()) && say != due;
        (!over).then_some(SessionStatus { phase, since, due })
    }

    fn idle(&self) -> bool {
        matches!(self.state, State::Ready | State::SkipUntilSync) && self.input.len() == self.at
    }

    fn accepts_messages(&self) -> bool {
        !matches!(self.state, State::Busy(_) | State::Closing | State::Draining { .. })
    }

    fn has_complete_message(&self) -> bool {
        let input = &self.input[self.at..];
        match self.state {
            State::Starting => !matches!(message::parse_startup(input), Ok(None)),
            _ => !matches!(message::parse(input, self.manager.max_message_length), Ok(None)),
        }
    }

    /// A client that does not read its answers, or sends faster than it is answered, has to wait: so much is read ahead and
    /// the rest of a long message, and no more. Within that a client whose query runs is read on, so that it is seen to leave.
    fn wants_input(&self) -> bool {
        let long = || self.accepts_messages() && self.out.pending() == 0 && !self.has_complete_message();
        !self.closed && (self.input.len() < MAX_READ_AHEAD || long())
    }

    /// Reads what has come, up to a whole message; true if there was nothing more, an error if the client has gone.
    fn read(&mut self) -> Result<bool, ()> {
        for _ in 0..READS_PER_TURN {
            if !self.wants_input() {
                break;
            }
            match read_into(self.stream.socket(), &mut self.input) {
                Ok(ReadOutcome::Data) => self.read_at = self.manager.handler.facade.now(),
                Ok(ReadOutcome::WouldBlock) => return Ok(true),
                Ok(ReadOutcome::Closed) => {
                    self.closed = true;
                    return Ok(true);
                }
                Err(_) => return Err(()),
            }
            if let State::Draining { until, .. } = &mut self.state {
                *until = Instant::now() + CLOSE_IDLE_TIMEOUT;
                self.input.clear();
            }
            if self.accepts_messages() && self.has_complete_message() {
                break;
            }
        }
        Ok(false)
    }

    /// Writes out the answer that has come, if any; the request stays open until the client has it all.
    fn write_answer(&mut self) -> Option<OpenRequestGuard> {
        let State::Busy(running) = &self.state else { return None };
        let answer = lock(&running.answer).take()?;
        let out = self.out.buffer();
        match answer {
            Answer::Served(pages) => message::result(out, &running.word, &pages),
            Answer::Rejected(backoff, reason) => {
                let text = format!("refused, nothing was done: backoff={:.0}", backoff.max(0.0));
                message::error_with_hint(out, false, "53000", &text, Some(reason.description()));
            }
            Answer::Duplicate => message::error(out, false, "42710", "a request with this 'rid' is open"),
            Answer::Failed => message::error(out, false, "58000", "failed: the statement may have run"),
        }
        message::ready_for_query(out);
        match std::mem::replace(&mut self.state, State::Ready) {
            State::Busy(running) => Some(running.open),
            _ => None,
        }
    }

    /// The client has asked to have its query called off: the one that runs, or one that has come and was not looked at.
    fn cancel_query(&mut self) {
        if self.abandon_request() {
            message::error(self.out.buffer(), false, "57014", "canceling statement due to user request");
            message::ready_for_query(self.out.buffer());
        } else if self.accepts_messages() {
            self.cancelled_early = self.input.len() > self.at;
        }
    }

    /// Tells the request that runs, if any, that nobody waits for it any more.
    fn abandon_request(&mut self) -> bool {
        match std::mem::replace(&mut self.state, State::Ready) {
            State::Busy(running) => {
                running.client.cancelled.store(true, Ordering::Relaxed);
                let _ = running.events.send(RequestEvent::ClientGone);
                true
            }
            state => {
                self.state = state;
                false
            }
        }
    }

    /// Looks whether the client has left: closed its side, said good-bye while its query runs, or sent so much ahead of the
    /// answer that it could not be seen to leave. Its query is over then, and nothing that it sent ahead is begun.
    fn check_client_left(&mut self) {
        let input = &self.input[self.at..];
        let busy = matches!(self.state, State::Busy(_));
        let (code, text) = if self.closed {
            ("57014", "canceling: the client has closed its side of the connection")
        } else if busy && input.first() == Some(&b'X') {
            ("57014", "canceling: the client has taken its leave")
        } else if busy && input.len() >= MAX_READ_AHEAD {
            ("54000", "too much was sent ahead of an answer")
        } else {
            return;
        };
        if self.abandon_request() {
            message::error(self.out.buffer(), true, code, text);
        }
        if self.closed || busy {
            self.at = self.input.len();
            self.state = State::Closing;
        }
    }

    /// Deals with the whole messages that have been read, up to the next query.
    fn process_messages(&mut self) {
        for _ in 0..MESSAGES_PER_TURN {
            if !self.accepts_messages() || self.out.pending() >= MAX_READ_AHEAD {
                break;
            }
            let input = std::mem::take(&mut self.input);
            let taken = match self.state {
                State::Starting => self.start(&input[self.at..]),
                _ => self.message(&input[self.at..]),
            };
            self.input = input;
            match taken {
                Ok(0) => break,
                Ok(taken) => self.at += taken,
                Err((code, text)) => {
                    message::error(self.out.buffer(), true, code, text);
                    self.state = State::Closing;
                }
            }
        }
        if matches!(self.state, State::Closing) {
            self.at = self.input.len();
        }
        self.input.drain(..self.at);
        self.at = 0;
        if self.input.is_empty() {
            self.input = Vec::new();
        }
    }

    fn start(&mut self, input: &[u8]) -> Result<usize, message::Malformed> {
        let Some((start, length)) = message::parse_startup(input)? else { return Ok(0) };
        match start {
            StartupMessage::Session if self.manager.ends_sessions(SessionEnd::WhenIdle) => {
                return Err(("57P03", "the proxy is shutting down"));
            }
            StartupMessage::Session => {
                message::session_start(self.out.buffer(), self.process, self.handle.secret);
                self.state = State::Ready;
            }
            // Guards against a client that asks for nothing else: two kinds can be asked for, each once.
            StartupMessage::Encryption if self.encryptions >= 2 => {
                return Err(("08P01", "encryption was asked for more than once"));
            }
            StartupMessage::Encryption => {
                self.encryptions += 1;
                self.out.buffer().push(b'N');
            }
            StartupMessage::Cancel { process, secret } => {
                self.manager.cancel(process, secret);
                self.state = State::Closing;
            }
        }
        Ok(length)
    }

    fn message(&mut self, input: &[u8]) -> Result<usize, message::Malformed> {
        let Some(Message { kind, body, length }) = message::parse(input, self.manager.max_message_length)?
        else {
            return Ok(0);
        };
        match (kind, &self.state) {
            (b'X', _) => self.state = State::Closing,
            (b'S', _) => {
                message::ready_for_query(self.out.buffer());
                self.state = State::Ready;
            }
            (_, State::SkipUntilSync) => {}
            (b'Q', _) => self.query(body)?,
            (b'P' | b'B' | b'D' | b'E' | b'C' | b'H', _) => {
                message::error(self.out.buffer(), false, "0A000", "only simple queries are supported");
                self.state = State::SkipUntilSync;
            }
            (b'F', _) => {
                message::error(self.out.buffer(), false, "0A000", "function calls are not supported");
                message::ready_for_query(self.out.buffer());
            }
            // Data of a copy too: none is ever begun, and it might never end.
            _ => return Err(("08P01", "invalid frontend message type")),
        }
        Ok(length)
    }

    fn query(&mut self, body: &[u8]) -> Result<(), message::Malformed> {
        let text = body.strip_suffix(&[0]).filter(|text| !text.contains(&0));
        let text = text.ok_or(("08P01", "invalid string in message"))?;
        if self.manager.ends_sessions(SessionEnd::WhenIdle) {
            return Err(("57P03", "the proxy is shutting down"));
        }
        let out = self.out.buffer();
        if text.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';') {
            message::empty_query_response(out);
            message::ready_for_query(out);
            return Ok(());
        }
        if std::mem::take(&mut self.cancelled_early) {
            message::error(out, false, "57014", "canceling statement due to user request");
            message::ready_for_query(out);
            return Ok(());
        }
        let client = Arc::new(ClientHandle {
            manager: self.manager.clone(),
            handle: self.handle.clone(),
            cancelled: AtomicBool::new(false),
        });
        let query = match self.manager.parse_query(text, self.read_at, client.clone()) {
            Ok(query) => query,
            Err((code, text)) => {
                message::error(out, false, code, &text);
                message::ready_for_query(out);
                return Ok(());
            }
        };
        let word = query.statement.iter().take_while(|byte| byte.is_ascii_alphabetic()).take(16);
        let word = word.map(|byte| char::from(*byte)).collect();
        let (mailbox, answer) = (Mailbox::new(), Arc::new(Mutex::new(None)));
        let (events, slot, waker) = (mailbox.sender(), answer.clone(), self.stream.waker());
        let (handler, open) = (self.manager.handler.clone(), self.manager.handler.track_open(&query.class));
        let spawned = task::spawn("request", move || {
            handle_request(&handler, query, &mailbox, |given| {
                *lock(&slot) = Some(given);
                waker.wakeup();
            });
        });
        match spawned {
            Ok(()) => self.state = State::Busy(RunningQuery { events, answer, word, open, client }),
            Err(_) => {
                message::error(out, false, "53200", "out of memory");
                message::ready_for_query(out);
            }
        }
        Ok(())
    }
}

impl SessionManager {
    /// The request that a query's text holds, or code and text of what is wrong with it.
    fn parse_query(
        &self,
        text: &[u8],
        read_at: f64,
        client: Arc<dyn Client>,
    ) -> Result<Query, (&'static str, String)> {
        let (handler, active) = (&self.handler, self.handler.classes.active());
        let (fields, statement) = fields::parse(text).map_err(|text| ("42601", text))?;
        let class = active
            .class(fields.method)
            .ok_or_else(|| ("22023", format!("field 'method' is '{}', which is no class", fields.method)))?;
        let tenant = match fields.acct {
            None => 0,
            Some(name) => active
                .tenant(name)
                .ok_or_else(|| ("22023", format!("field 'acct' is '{name}', which is no tenant")))?,
        };
        if handler.open.load(Ordering::Relaxed) >= handler.max_open.load(Ordering::Relaxed) {
            class.rejected();
            return Err(("53300", "too many requests are open".into()));
        }
        let new = NewRequest {
            id: request_id(fields.rid),
            class: class.id,
            tenant: TenantId(tenant),
            deadline: read_at + fields.budget - ANSWER_RESERVE_MS.min(fields.budget / 2.0),
            estimate: fields.est,
            memory_mb: fields.space,
            tables: TablesId(fields::table_group(statement).unwrap_or(0)),
            key: None,
        };
        Ok(Query { new, class: class.clone(), statement: statement.to_vec(), client })
    }
}
