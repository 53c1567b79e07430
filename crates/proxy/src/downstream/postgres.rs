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

use super::message::{self, Start};
use super::{fields, message::Message};
use crate::facade::{Letter, Mailbox, request_id};
use crate::query::{Answer, Client, Post, Query};
use crate::request_lifecycle::{Gateway, Open, relay};
use crate::stream::{
    ReadOutcome, Stream as _, Waker, WriteBuffer, discard_input, peer_closed, read_into, readable,
};
use crate::{lock, task};

/// Milliseconds kept back from a client's time for the answer's way.
const ANSWER_WAY: f64 = 5.0;
/// A client must have said who it is, and must have sent a message that it began, within this time.
const SAY_WITHIN: Duration = Duration::from_secs(2);
/// A client must go on reading within this time.
const READ_WITHIN: Duration = Duration::from_secs(30);
/// After a fatal error a client may go on sending for so long in all, and be silent for so long, before its connection
/// is closed under it.
const LEAVE_WITHIN: Duration = Duration::from_secs(5);
const LINGER: Duration = Duration::from_millis(500);
/// Bytes read ahead of what is being answered.
const READ_AHEAD: usize = 64 * 1024;
/// What one session does before others get their turn: reads and messages at a time, rounds, and the pause then. A
/// pause and no mere yield: coroutines that yield run before anything else is read.
const READS: usize = 16;
const MESSAGES: usize = 16;
const ROUNDS: usize = 8;
const PAUSE: Duration = Duration::from_millis(1);

/// What the sessions of the front share.
pub struct Front {
    gateway: Arc<Gateway>,
    sessions: Mutex<HashMap<u32, Arc<Desk>>>,
    next: AtomicU32,
    seed: u64,
    /// Whether sessions close, and when.
    leaving: AtomicU8,
    /// The longest message that a client may send.
    longest: usize,
    /// Where clients connect, while it listens.
    listener: Weak<CoIo<TcpListener>>,
    /// Connections that were taken in and not yet read from.
    fresh: AtomicUsize,
}

/// How a front takes leave of its sessions.
#[derive(Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Leave {
    /// Not at all.
    Stay,
    /// Behind their next answer: a client that reads it sees the close, and sends nothing across it.
    Answered,
    /// As soon as nothing is open in them, and nothing new is taken.
    Idle,
}

/// What others reach a session by.
struct Desk {
    secret: u32,
    cancelled: AtomicBool,
    /// The session is to make room for another.
    evicted: AtomicBool,
    standing: Mutex<Standing>,
    /// Gone with the session.
    stream: Weak<CoIo<TcpStream>>,
    waker: Waker,
}

impl Desk {
    /// Whether a query runs or has come, whole or in part.
    fn asks(&self) -> bool {
        let Standing { phase, due, .. } = *lock(&self.standing);
        phase != Phase::Idle || due.is_some() || self.stream.upgrade().is_some_and(|it| readable(it.socket()))
    }
}

/// How a session looks from outside.
#[derive(Clone, Copy)]
struct Standing {
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

impl Front {
    /// A front before the gateway; `seed` makes the sessions' keys hard to guess.
    pub fn new(gateway: Arc<Gateway>, seed: u64, longest: usize, listener: &Arc<CoIo<TcpListener>>) -> Self {
        Front {
            gateway,
            sessions: Mutex::default(),
            next: AtomicU32::new(1),
            seed,
            leaving: AtomicU8::new(Leave::Stay as u8),
            longest,
            listener: Arc::downgrade(listener),
            fresh: AtomicUsize::new(0),
        }
    }

    /// How many sessions there are.
    pub fn sessions(&self) -> usize {
        lock(&self.sessions).len()
    }

    /// From now on sessions are closed, or no longer.
    pub fn leave(&self, how: Leave) {
        self.leaving.store(how as u8, Ordering::Relaxed);
        self.wake(|_| true);
    }

    fn leaves(&self, how: Leave) -> bool {
        self.leaving.load(Ordering::Relaxed) >= how as u8
    }

    /// Wakes the sessions for which it is time to look at their clocks.
    pub fn look_over(&self) {
        let now = Instant::now();
        self.wake(|desk| lock(&desk.standing).due.is_some_and(|due| due <= now));
    }

    fn wake(&self, which: impl Fn(&Desk) -> bool) {
        for desk in lock(&self.sessions).values().filter(|desk| which(desk)) {
            desk.waker.wakeup();
        }
    }

    /// Has the session closed that has been silent longest, or else idle longest; false if queries run in all. Guards
    /// usual clients' descriptors against those who connect and say nothing, or ask once and stay.
    pub fn make_room(&self) -> bool {
        let sessions = lock(&self.sessions);
        let open = sessions.values().filter(|desk| !desk.evicted.load(Ordering::Relaxed));
        let ranked = open.map(|desk| (*lock(&desk.standing), desk));
        let idle = ranked.filter(|(standing, _)| standing.phase != Phase::Busy);
        let Some((_, desk)) = idle.min_by_key(|(standing, _)| (standing.phase, standing.since)) else {
            return false;
        };
        desk.evicted.store(true, Ordering::Relaxed);
        desk.waker.wakeup();
        true
    }

    /// Closes a connection for which there is no room, and says why.
    pub fn turn_away(&self, socket: &TcpStream) {
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
    pub fn take_in(self: &Arc<Self>, socket: TcpStream) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        let stream = Arc::new(CoIo::new(socket).map_err(std::io::Error::from)?);
        let process = self.next.fetch_add(1, Ordering::Relaxed);
        let secret = oorandom::Rand32::new(self.seed ^ (u64::from(process) << 32)).rand_u32();
        let began = Instant::now();
        let standing = Standing { phase: Phase::Silent, since: began, due: Some(began + SAY_WITHIN) };
        let desk = Arc::new(Desk {
            secret,
            cancelled: AtomicBool::new(false),
            evicted: AtomicBool::new(false),
            standing: Mutex::new(standing),
            stream: Arc::downgrade(&stream),
            waker: stream.waker(),
        });
        lock(&self.sessions).insert(process, desk.clone());
        let front = self.clone();
        self.fresh.fetch_add(1, Ordering::Relaxed);
        let spawned = task::spawn("session", move || {
            let mut session = Session {
                front: &front,
                stream,
                desk,
                process,
                input: Vec::new(),
                at: 0,
                out: WriteBuffer::default(),
                began: Some(began),
                moved: began,
                read_at: 0.0,
                encryptions: 0,
                closed: false,
                called_off: false,
                state: State::Starting,
            };
            session.run();
            session.leave_request();
            discard_input(session.stream.socket());
            lock(&front.sessions).remove(&process);
        });
        if spawned.is_err() {
            self.fresh.fetch_sub(1, Ordering::Relaxed);
            lock(&self.sessions).remove(&process);
        }
        spawned
    }

    /// Whether a connection has come that nobody has read from: what it brings may call a query off.
    fn unheard(&self) -> bool {
        let listens = self.listener.upgrade().is_some_and(|listener| readable(listener.inner()));
        listens || self.fresh.load(Ordering::Relaxed) > 0
    }

    fn cancel(&self, process: u32, secret: u32) {
        let desk = lock(&self.sessions).get(&process).filter(|desk| desk.secret == secret).cloned();
        // One that finds no query, also none that is still to be read, holds for none that comes later.
        if let Some(desk) = desk.filter(|desk| desk.asks()) {
            desk.cancelled.store(true, Ordering::Relaxed);
            desk.waker.wakeup();
        }
    }
}

/// The client of one request, as others may ask after it at any moment.
struct Caller {
    front: Arc<Front>,
    desk: Arc<Desk>,
    called_off: AtomicBool,
}

impl fmt::Debug for Caller {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("Caller").field("called_off", &self.called_off).finish_non_exhaustive()
    }
}

impl Client for Caller {
    /// Guards against an attempt that begins behind its client's back: under load it takes its time until the session has
    /// read that the client has left. A client that has closed its part of the connection has left, too: from here
    /// nobody can tell it from one that has closed all of it.
    fn gone(&self) -> bool {
        let told = self.called_off.load(Ordering::Relaxed) || self.desk.cancelled.load(Ordering::Relaxed);
        told || self.desk.stream.upgrade().is_none_or(|stream| peer_closed(stream.socket()))
    }

    fn unheard(&self) -> bool {
        self.front.unheard()
    }
}

enum State {
    Starting,
    Ready,
    /// After an error in the extended protocol: all is passed over until Sync.
    Skipping,
    Busy(Running),
    /// Closed once all is written: what the client still sends is passed over, as a connection closed with bytes unread is
    /// reset, and what was written last is lost.
    Closing,
    /// All is written, and this side of the connection is closed; the other once the client has closed, or at this time.
    Leaving {
        until: Instant,
        at_last: Instant,
    },
}

/// A query that runs.
struct Running {
    post: Post,
    answer: Arc<Mutex<Option<Answer>>>,
    /// The statement's first word, for the tag of its result.
    word: String,
    open: Open,
    caller: Arc<Caller>,
}

struct Session<'a> {
    front: &'a Arc<Front>,
    stream: Arc<CoIo<TcpStream>>,
    desk: Arc<Desk>,
    process: u32,
    input: Vec<u8>,
    /// Bytes of `input` that are done with.
    at: usize,
    out: WriteBuffer,
    /// When the message began that the client has not yet sent in full; the session's first at its start.
    began: Option<Instant>,
    /// When the client last took something, or was last not owed anything.
    moved: Instant,
    /// When the last bytes were read, on the module's clock.
    read_at: f64,
    /// How often encryption was asked for.
    encryptions: u32,
    /// The client sends nothing any more.
    closed: bool,
    /// The query that has come in part is called off already.
    called_off: bool,
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
                self.front.fresh.fetch_sub(1, Ordering::Relaxed);
            }
            let Ok(drained) = read else { return };
            answered = self.take_answer().or(answered);
            if self.desk.cancelled.swap(false, Ordering::Relaxed) {
                self.cancelled();
            }
            self.look_for_end();
            self.take_messages();
            self.look_at_clock();
            match self.out.flush(self.stream.socket()) {
                Ok(moved) if moved || self.out.pending() == 0 => self.moved = Instant::now(),
                Ok(_) => {}
                Err(_) => return,
            }
            if self.out.pending() == 0 {
                let done = answered.take().is_some();
                if self.closed {
                    return;
                }
                let evicted = self.desk.evicted.load(Ordering::Relaxed);
                let leaves = evicted && !matches!(self.state, State::Busy(_) | State::Leaving { .. });
                let takes_leave =
                    self.front.leaves(Leave::Idle) || done && self.front.leaves(Leave::Answered);
                let ends = leaves || takes_leave && self.idle();
                if matches!(self.state, State::Closing) || ends {
                    let _ = self.stream.socket().shutdown(Shutdown::Write);
                    let now = Instant::now();
                    self.state = State::Leaving { until: now + LINGER, at_last: now + LEAVE_WITHIN };
                }
            }
            let Some(standing) = self.stand() else { return };
            *lock(&self.desk.standing) = standing;
            let more = self.out.pending() == 0 && self.can_take() && self.whole_message();
            // Waits only once the socket had nothing more, or what it has need not be read: it tells of news once.
            if !more && (drained || !self.wants_more()) {
                rounds = 0;
                self.stream.wait_io();
            } else {
                rounds += 1;
                if rounds % ROUNDS == 0 {
                    task::sleep(PAUSE);
                }
            }
        }
    }

    /// Ends what a client has begun to say and does not say in full.
    fn look_at_clock(&mut self) {
        let evicted = self.desk.evicted.load(Ordering::Relaxed);
        let starting = matches!(self.state, State::Starting);
        if evicted && starting {
            message::error(self.out.buffer(), true, "53300", "sorry, too many clients already");
            self.state = State::Closing;
        }
        let partial = starting || self.input.len() > self.at && self.can_take() && !self.whole_message();
        self.began = if partial { self.began.or(Some(Instant::now())) } else { None };
        if self.can_take() && self.began.is_some_and(|began| began.elapsed() >= SAY_WITHIN) {
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
    fn stand(&self) -> Option<Standing> {
        let (phase, since) = match &self.state {
            State::Busy(_) => (Phase::Busy, self.moved),
            State::Leaving { .. } | State::Starting | State::Closing => {
                (Phase::Silent, self.began.unwrap_or(self.moved))
            }
            State::Ready | State::Skipping => (Phase::Idle, self.moved),
        };
        let say = self.began.filter(|_| self.can_take()).map(|began| began + SAY_WITHIN);
        let due = match self.state {
            // It makes room for another at once.
            State::Leaving { .. } if self.desk.evicted.load(Ordering::Relaxed) => return None,
            State::Leaving { until, at_last } => Some(until.min(at_last)),
            _ if self.out.pending() > 0 => Some(self.moved + READ_WITHIN),
            _ => say,
        };
        let over = due.is_some_and(|due| due <= Instant::now()) && say != due;
        (!over).then_some(Standing { phase, since, due })
    }

    fn idle(&self) -> bool {
        matches!(self.state, State::Ready | State::Skipping) && self.input.len() == self.at
    }

    fn can_take(&self) -> bool {
        !matches!(self.state, State::Busy(_) | State::Closing | State::Leaving { .. })
    }

    fn whole_message(&self) -> bool {
        let input = &self.input[self.at..];
        match self.state {
            State::Starting => !matches!(message::start(input), Ok(None)),
            _ => !matches!(message::next(input, self.front.longest), Ok(None)),
        }
    }

    /// A client that does not read its answers, or sends faster than it is answered, has to wait: so much is read ahead and
    /// the rest of a long message, and no more. Within that a client whose query runs is read on, so that it is seen to leave.
    fn wants_more(&self) -> bool {
        let long = || self.can_take() && self.out.pending() == 0 && !self.whole_message();
        !self.closed && (self.input.len() < READ_AHEAD || long())
    }

    /// Reads what has come, up to a whole message; true if there was nothing more, an error if the client has gone.
    fn read(&mut self) -> Result<bool, ()> {
        for _ in 0..READS {
            if !self.wants_more() {
                break;
            }
            match read_into(self.stream.socket(), &mut self.input) {
                Ok(ReadOutcome::Data) => self.read_at = self.front.gateway.facade.now(),
                Ok(ReadOutcome::WouldBlock) => return Ok(true),
                Ok(ReadOutcome::Closed) => {
                    self.closed = true;
                    return Ok(true);
                }
                Err(_) => return Err(()),
            }
            if let State::Leaving { until, .. } = &mut self.state {
                *until = Instant::now() + LINGER;
                self.input.clear();
            }
            if self.can_take() && self.whole_message() {
                break;
            }
        }
        Ok(false)
    }

    /// Writes out the answer that has come, if any; the request stays open until the client has it all.
    fn take_answer(&mut self) -> Option<Open> {
        let State::Busy(running) = &self.state else { return None };
        let answer = lock(&running.answer).take()?;
        let out = self.out.buffer();
        match answer {
            Answer::Served(pages) => message::result(out, &running.word, &pages),
            Answer::Refused(backoff, reason) => {
                let text = format!("refused, nothing was done: backoff={:.0}", backoff.max(0.0));
                message::error_with_hint(out, false, "53000", &text, Some(reason.description()));
            }
            Answer::Duplicate => message::error(out, false, "42710", "a request with this 'rid' is open"),
            Answer::Failed => message::error(out, false, "58000", "failed: the statement may have run"),
        }
        message::ready(out);
        match std::mem::replace(&mut self.state, State::Ready) {
            State::Busy(running) => Some(running.open),
            _ => None,
        }
    }

    /// The client has asked to have its query called off: the one that runs, or one that has come and was not looked at.
    fn cancelled(&mut self) {
        if self.leave_request() {
            message::error(self.out.buffer(), false, "57014", "canceling statement due to user request");
            message::ready(self.out.buffer());
        } else if self.can_take() {
            self.called_off = self.input.len() > self.at;
        }
    }

    /// Tells the request that runs, if any, that nobody waits for it any more.
    fn leave_request(&mut self) -> bool {
        match std::mem::replace(&mut self.state, State::Ready) {
            State::Busy(running) => {
                running.caller.called_off.store(true, Ordering::Relaxed);
                let _ = running.post.send(Letter::ClientGone);
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
    fn look_for_end(&mut self) {
        let input = &self.input[self.at..];
        let busy = matches!(self.state, State::Busy(_));
        let (code, text) = if self.closed {
            ("57014", "canceling: the client has closed its side of the connection")
        } else if busy && input.first() == Some(&b'X') {
            ("57014", "canceling: the client has taken its leave")
        } else if busy && input.len() >= READ_AHEAD {
            ("54000", "too much was sent ahead of an answer")
        } else {
            return;
        };
        if self.leave_request() {
            message::error(self.out.buffer(), true, code, text);
        }
        if self.closed || busy {
            self.at = self.input.len();
            self.state = State::Closing;
        }
    }

    /// Deals with the whole messages that have been read, up to the next query.
    fn take_messages(&mut self) {
        for _ in 0..MESSAGES {
            if !self.can_take() || self.out.pending() >= READ_AHEAD {
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
        let Some((start, length)) = message::start(input)? else { return Ok(0) };
        match start {
            Start::Session if self.front.leaves(Leave::Idle) => {
                return Err(("57P03", "the proxy is shutting down"));
            }
            Start::Session => {
                message::welcome(self.out.buffer(), self.process, self.desk.secret);
                self.state = State::Ready;
            }
            // Guards against a client that asks for nothing else: two kinds can be asked for, each once.
            Start::Encryption if self.encryptions >= 2 => {
                return Err(("08P01", "encryption was asked for more than once"));
            }
            Start::Encryption => {
                self.encryptions += 1;
                self.out.buffer().push(b'N');
            }
            Start::Cancel { process, secret } => {
                self.front.cancel(process, secret);
                self.state = State::Closing;
            }
        }
        Ok(length)
    }

    fn message(&mut self, input: &[u8]) -> Result<usize, message::Malformed> {
        let Some(Message { kind, body, length }) = message::next(input, self.front.longest)? else {
            return Ok(0);
        };
        match (kind, &self.state) {
            (b'X', _) => self.state = State::Closing,
            (b'S', _) => {
                message::ready(self.out.buffer());
                self.state = State::Ready;
            }
            (_, State::Skipping) => {}
            (b'Q', _) => self.query(body)?,
            (b'P' | b'B' | b'D' | b'E' | b'C' | b'H', _) => {
                message::error(self.out.buffer(), false, "0A000", "only simple queries are supported");
                self.state = State::Skipping;
            }
            (b'F', _) => {
                message::error(self.out.buffer(), false, "0A000", "function calls are not supported");
                message::ready(self.out.buffer());
            }
            // Data of a copy too: none is ever begun, and it might never end.
            _ => return Err(("08P01", "invalid frontend message type")),
        }
        Ok(length)
    }

    fn query(&mut self, body: &[u8]) -> Result<(), message::Malformed> {
        let text = body.strip_suffix(&[0]).filter(|text| !text.contains(&0));
        let text = text.ok_or(("08P01", "invalid string in message"))?;
        if self.front.leaves(Leave::Idle) {
            return Err(("57P03", "the proxy is shutting down"));
        }
        let out = self.out.buffer();
        if text.iter().all(|byte| byte.is_ascii_whitespace() || *byte == b';') {
            message::empty(out);
            message::ready(out);
            return Ok(());
        }
        if std::mem::take(&mut self.called_off) {
            message::error(out, false, "57014", "canceling statement due to user request");
            message::ready(out);
            return Ok(());
        }
        let caller = Arc::new(Caller {
            front: self.front.clone(),
            desk: self.desk.clone(),
            called_off: AtomicBool::new(false),
        });
        let query = match self.front.read_query(text, self.read_at, caller.clone()) {
            Ok(query) => query,
            Err((code, text)) => {
                message::error(out, false, code, &text);
                message::ready(out);
                return Ok(());
            }
        };
        let word = query.statement.iter().take_while(|byte| byte.is_ascii_alphabetic()).take(16);
        let word = word.map(|byte| char::from(*byte)).collect();
        let (mailbox, answer) = (Mailbox::new(), Arc::new(Mutex::new(None)));
        let (post, slot, waker) = (mailbox.address(), answer.clone(), self.stream.waker());
        let (gateway, open) = (self.front.gateway.clone(), self.front.gateway.opened(&query.class));
        let spawned = task::spawn("request", move || {
            relay(&gateway, query, &mailbox, |given| {
                *lock(&slot) = Some(given);
                waker.wakeup();
            });
        });
        match spawned {
            Ok(()) => self.state = State::Busy(Running { post, answer, word, open, caller }),
            Err(_) => {
                message::error(out, false, "53200", "out of memory");
                message::ready(out);
            }
        }
        Ok(())
    }
}

impl Front {
    /// The request that a query's text holds, or code and text of what is wrong with it.
    fn read_query(
        &self,
        text: &[u8],
        read_at: f64,
        client: Arc<dyn Client>,
    ) -> Result<Query, (&'static str, String)> {
        let (gateway, book) = (&self.gateway, self.gateway.classes.book());
        let (fields, statement) = fields::split(text).map_err(|text| ("42601", text))?;
        let class = book
            .class(fields.method)
            .ok_or_else(|| ("22023", format!("field 'method' is '{}', which is no class", fields.method)))?;
        let tenant = match fields.acct {
            None => 0,
            Some(name) => book
                .tenant(name)
                .ok_or_else(|| ("22023", format!("field 'acct' is '{name}', which is no tenant")))?,
        };
        if gateway.open.load(Ordering::Relaxed) >= gateway.max_open.load(Ordering::Relaxed) {
            class.declined();
            return Err(("53300", "too many requests are open".into()));
        }
        let new = NewRequest {
            id: request_id(fields.rid),
            class: class.id,
            tenant: TenantId(tenant),
            deadline: read_at + fields.budget - ANSWER_WAY.min(fields.budget / 2.0),
            estimate: fields.est,
            memory_mb: fields.space,
            tables: TablesId(fields::table_group(statement).unwrap_or(0)),
            key: None,
        };
        Ok(Query { new, class: class.clone(), statement: statement.to_vec(), client })
    }
}
