//! One connection to a database, and the coroutine that owns its socket.

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use gaugestep_dispatch::interface::EngineId;
use may::io::WaitIo as _;
use may::net::TcpStream;

use super::connection_state::{ClosedConnection, ConnectionState};
use super::pool::UpstreamPool;
use crate::stream::{ReadOutcome, Stream, Waker, discard_input, read_into};
use crate::termination::Termination;
use crate::{lock, task};

/// Bytes that may wait for a database that does not read.
const MAX_PENDING_BYTES: usize = 1024 * 1024;
/// How often attempts wait, before they are written, until unread input of clients has been read.
const MAX_CANCEL_WAITS: u32 = 8;
/// How long they wait each time. It is a sleep, as a coroutine that only yields runs again on a busy machine before
/// anything else is read.
const CANCEL_WAIT: Duration = Duration::from_millis(1);
/// Reads from one database before other coroutines run: a message may never end.
const READS_PER_TURN: usize = 4;
/// How long other coroutines run then.
const TURN_PAUSE: Duration = Duration::from_millis(1);

/// A connection to a database.
pub struct Connection {
    /// What its coroutine shares with others.
    pub state: Mutex<ConnectionState>,
    /// Wakes the coroutine, once there is a socket that it can wait on.
    waker: OnceLock<Waker>,
}

impl Connection {
    /// A connection that is about to be established.
    pub fn new(attempts_sent: Arc<AtomicU64>) -> Self {
        Connection { state: Mutex::new(ConnectionState::new(attempts_sent)), waker: OnceLock::new() }
    }

    /// Wakes the coroutine of the connection.
    pub fn wake(&self) {
        if let Some(waker) = self.waker.get() {
            waker.wakeup();
        }
    }

    /// Checks whether the connection still works, and has its coroutine act on it.
    pub fn check_health(&self, now: Instant, idle_timeout: Duration) {
        let needs_action = lock(&self.state).check_health(now, idle_timeout);
        if needs_action {
            self.wake();
        }
    }

    /// The database has been removed: queued attempts end, and the connection closes once all others have ended.
    pub fn retire(&self) {
        let mut state = lock(&self.state);
        state.reject_queued();
        state.retire();
        drop(state);
        self.wake();
    }

    /// Runs the connection from its establishment to its end; blocks its coroutine.
    pub fn run(self: Arc<Self>, pool: &Arc<UpstreamPool>, engine: EngineId, address: SocketAddr) {
        let dial_timeout = Duration::from_millis(pool.limits.dial_timeout_ms);
        let dialed = self.dial(address, dial_timeout);
        let termination = match &dialed {
            Ok(stream) => Exchange::new(&self, stream).run(),
            Err(termination) => *termination,
        };
        pool.remove_connection(engine, &self);
        let left = lock(&self.state).closed();
        tracing::debug!(engine = engine.0, ?termination, open = left.attempts.len(), "connection closed");
        match dialed {
            Err(_) => left.attempts.into_values().for_each(|attempt| attempt.end(termination)),
            Ok(stream) => {
                discard_input(stream.socket());
                drop(stream);
                end_or_move_attempts(left, termination, pool, engine);
            }
        }
    }

    /// Establishes the connection.
    fn dial(&self, address: SocketAddr, timeout: Duration) -> Result<TcpStream, Termination> {
        let stream = TcpStream::connect_timeout(&address, timeout).map_err(|error| match error.kind() {
            std::io::ErrorKind::TimedOut => Termination::DialTimedOut,
            _ if is_local_fault(&error) => Termination::NotDialled,
            _ => Termination::DialRefused,
        })?;
        // Without it the connection is slower, but it works.
        let _ = stream.set_nodelay(true);
        // A connection is established once, so there is no waker before this one.
        let _ = self.waker.set(stream.waker());
        lock(&self.state).opened();
        Ok(stream)
    }
}

/// Ends the attempts of a connection that had been established, or moves them to other connections.
///
/// An attempt of which no byte was written has not run: a request that must not run twice may be sent again. That the
/// connection was closed while it was idle says nothing about the database, so such an attempt is moved, but only once.
fn end_or_move_attempts(
    left: ClosedConnection,
    termination: Termination,
    pool: &Arc<UpstreamPool>,
    engine: EngineId,
) {
    for (id, mut attempt) in left.attempts {
        let is_queued = attempt.queued.is_some();
        let has_begun = !is_queued && attempt.start_offset < left.written;
        if has_begun {
            attempt.end(termination);
        } else if is_queued && !attempt.was_moved {
            attempt.was_moved = true;
            pool.enqueue(engine, id, attempt);
        } else {
            attempt.end(Termination::NeverWritten);
        }
    }
}

/// Whether a connection failed by a lack of resources of the proxy itself, which says nothing about the database.
fn is_local_fault(error: &std::io::Error) -> bool {
    const LOCAL_ERRORS: [i32; 6] =
        [libc::EMFILE, libc::ENFILE, libc::ENOMEM, libc::ENOBUFS, libc::ENOSPC, libc::EADDRNOTAVAIL];
    error.raw_os_error().is_some_and(|code| LOCAL_ERRORS.contains(&code))
}

/// What happened to the queued attempts in one turn.
enum WriteTurn {
    /// They were written, as far as the socket accepted them.
    Written,
    /// They wait until input of clients has been read, as it may cancel them.
    Deferred,
}

/// Reads and writes on an open connection.
struct Exchange<'a> {
    connection: &'a Connection,
    stream: &'a TcpStream,
    input: Vec<u8>,
    /// Whether writing has failed. What has come before is still read.
    is_broken: bool,
    /// How often the queued attempts have been deferred.
    cancel_waits: u32,
}

impl<'a> Exchange<'a> {
    fn new(connection: &'a Connection, stream: &'a TcpStream) -> Self {
        Exchange { connection, stream, input: Vec::new(), is_broken: false, cancel_waits: 0 }
    }

    /// Reads and writes until the connection ends.
    fn run(mut self) -> Termination {
        loop {
            if let ControlFlow::Break(termination) = self.turn() {
                return termination;
            }
        }
    }

    /// Reads and writes what is possible now, then waits for more.
    fn turn(&mut self) -> ControlFlow<Termination> {
        let has_more_input = self.read()?;
        if let WriteTurn::Deferred = self.write()? {
            task::sleep(CANCEL_WAIT);
            return ControlFlow::Continue(());
        }
        if self.input.is_empty() {
            // Hundreds of connections are idle most of the time: their buffers would take memory.
            self.input = Vec::new();
        }
        if has_more_input {
            task::sleep(TURN_PAUSE);
        } else if !self.is_broken {
            self.stream.wait_io();
        }
        ControlFlow::Continue(())
    }

    /// Reads and handles what has come. Returns true if there may be more.
    fn read(&mut self) -> ControlFlow<Termination, bool> {
        for _ in 0..READS_PER_TURN {
            match read_into(self.stream.socket(), &mut self.input) {
                Ok(ReadOutcome::Data) => self.handle_input()?,
                Ok(ReadOutcome::WouldBlock) if self.is_broken => {
                    return ControlFlow::Break(Termination::Reset);
                }
                Ok(ReadOutcome::WouldBlock) => return ControlFlow::Continue(false),
                Ok(ReadOutcome::Closed) => return ControlFlow::Break(Termination::Closed),
                Err(_) => return ControlFlow::Break(Termination::Reset),
            }
        }
        ControlFlow::Continue(true)
    }

    fn handle_input(&mut self) -> ControlFlow<Termination> {
        let consumed = lock(&self.connection.state).on_input(&self.input);
        match consumed {
            Ok(consumed) => {
                self.input.drain(..consumed);
                ControlFlow::Continue(())
            }
            Err(error) => ControlFlow::Break(error.into()),
        }
    }

    /// Writes what the socket accepts.
    fn write(&mut self) -> ControlFlow<Termination, WriteTurn> {
        let mut state = lock(&self.connection.state);
        if let Some(reason) = state.close_reason() {
            return ControlFlow::Break(reason);
        }
        // A complete message may have come just before the connection broke, so a failure does not end it at once.
        self.is_broken = self.is_broken || state.out.flush(self.stream.socket()).is_err();
        // Under load, what cancels a request may still be unread as the request is about to be written.
        if !self.is_broken && self.cancel_waits < MAX_CANCEL_WAITS && state.has_unread_input() {
            self.cancel_waits += 1;
            return ControlFlow::Continue(WriteTurn::Deferred);
        }
        self.cancel_waits = 0;
        if !self.is_broken {
            state.write_queued();
            self.is_broken = state.out.flush(self.stream.socket()).is_err();
        }
        if state.out.pending() > MAX_PENDING_BYTES {
            return ControlFlow::Break(Termination::Silent);
        }
        ControlFlow::Continue(WriteTurn::Written)
    }
}
