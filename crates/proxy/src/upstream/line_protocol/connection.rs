//! A connection to an engine, and the coroutine that owns its socket.

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use gaugestep_dispatch::interface::EngineId;
use may::io::WaitIo as _;
use may::net::TcpStream;
use socket2::SockRef;

use super::connection_state::{ClosedConnection, ConnectionState};
use super::pool::UpstreamPool;
use crate::pacer::Pacer;
use crate::stream::{ReadOutcome, Stream, Waker, discard_input, read_into};
use crate::termination::Termination;
use crate::{lock, task};

/// Pending output above which the engine counts as silent, because it does not read.
const MAX_PENDING_BYTES: usize = 1024 * 1024;
/// Output that the kernel holds beyond the window of an engine.
const MAX_UNSENT_BYTES: u32 = 16 * 1024;
/// How many times in a row the writing of queued attempts is deferred while clients have unread input, which
/// may cancel the attempts.
const MAX_WRITE_DEFERRALS: u32 = 8;
/// Duration of one deferral. The coroutine sleeps instead of yielding, because under load a coroutine that
/// yields runs again before any input is read.
const WRITE_DEFERRAL: Duration = Duration::from_millis(1);
/// Number of reads before the coroutine pauses. Without pauses, an engine that never stops sending would
/// block the other coroutines.
const READ_BATCH_SIZE: usize = 4;

/// A connection to an engine.
pub struct Connection {
    /// The state that the connection's coroutine shares with other coroutines.
    pub state: Mutex<ConnectionState>,
    /// Wakes the connection's coroutine; not set until the connection is established.
    waker: OnceLock<Waker>,
}

impl Connection {
    /// A connection that is not yet established. `attempts_sent` counts the attempts sent on all connections.
    pub fn new(attempts_sent: Arc<AtomicU64>) -> Self {
        Connection { state: Mutex::new(ConnectionState::new(attempts_sent)), waker: OnceLock::new() }
    }

    /// Wakes the connection's coroutine, unless the connection is still being established.
    pub fn wake(&self) {
        if let Some(waker) = self.waker.get() {
            waker.wakeup();
        }
    }

    /// Checks the connection for silence, and wakes its coroutine if a health check must be sent or the
    /// connection closed.
    pub fn check_health(&self, now: Instant, idle_timeout: Duration) {
        let needs_action = lock(&self.state).check_health(now, idle_timeout);
        if needs_action {
            self.wake();
        }
    }

    /// Stops using the connection, because its engine was removed or has another address: ends the queued
    /// attempts, and closes the connection once the attempts in flight have ended.
    pub fn retire(&self) {
        let mut state = lock(&self.state);
        state.reject_queued();
        state.retire();
        drop(state);
        self.wake();
    }

    /// Establishes the connection and runs it until it ends; blocks its coroutine.
    pub fn run(self: Arc<Self>, pool: &Arc<UpstreamPool>, engine: EngineId, address: SocketAddr) {
        let dial_timeout = Duration::from_millis(pool.settings().dial_timeout_ms);
        let dialed = self.dial(address, dial_timeout);
        let termination = match &dialed {
            Ok(stream) => ConnectionDriver::new(&self, stream, &pool.pacer).run(),
            Err(termination) => *termination,
        };
        pool.remove_connection(engine, &self);
        let closed = lock(&self.state).on_closed();
        tracing::debug!(engine = engine.0, ?termination, open = closed.attempts.len(), "connection closed");
        match dialed {
            Err(_) => closed.attempts.into_values().for_each(|attempt| attempt.end(termination)),
            Ok(stream) => {
                discard_input(stream.socket());
                drop(stream);
                end_or_move_attempts(closed, termination, pool, engine);
            }
        }
    }

    /// Establishes the connection. An error is the termination of the attempts that wait for it.
    fn dial(&self, address: SocketAddr, timeout: Duration) -> Result<TcpStream, Termination> {
        let connected = TcpStream::connect_timeout(&address, timeout);
        let stream = connected.map_err(|error| dial_termination(&error))?;
        // If TCP_NODELAY cannot be set, the connection is slower but works.
        let _ = stream.set_nodelay(true);
        // Without the limit, a command for an engine that does not read may arrive after its client has left.
        let _ = SockRef::from(stream.socket()).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
        // Setting the waker cannot fail, because a connection is established only once.
        let _ = self.waker.set(stream.waker());
        lock(&self.state).on_established();
        Ok(stream)
    }
}

/// Ends the attempts of an established connection that has closed, or moves them to other connections.
///
/// An attempt of which no byte was written has not run, so even a request that must not run twice may be sent
/// again. The engine may be healthy and have closed the connection as idle, so queued attempts are moved to
/// another connection, but only once.
fn end_or_move_attempts(
    closed: ClosedConnection,
    termination: Termination,
    pool: &Arc<UpstreamPool>,
    engine: EngineId,
) {
    for (id, mut attempt) in closed.attempts {
        let is_queued = attempt.queued.is_some();
        let has_written_bytes = !is_queued && attempt.start_offset < closed.written_offset;
        if has_written_bytes {
            attempt.end(termination);
        } else if is_queued && !attempt.was_moved {
            attempt.was_moved = true;
            pool.enqueue(engine, id, attempt);
        } else {
            attempt.end(Termination::NeverWritten);
        }
    }
}

/// The termination for an error of connecting.
fn dial_termination(error: &std::io::Error) -> Termination {
    match error.kind() {
        std::io::ErrorKind::TimedOut => Termination::DialTimedOut,
        _ if is_local_fault(error) => Termination::NotDialled,
        _ => Termination::DialRefused,
    }
}

/// Whether connecting failed because the proxy itself lacks resources, which is no fault of the engine.
fn is_local_fault(error: &std::io::Error) -> bool {
    const LOCAL_ERRORS: [i32; 6] =
        [libc::EMFILE, libc::ENFILE, libc::ENOMEM, libc::ENOBUFS, libc::ENOSPC, libc::EADDRNOTAVAIL];
    error.raw_os_error().is_some_and(|code| LOCAL_ERRORS.contains(&code))
}

/// Whether the queued attempts of a connection were written.
enum WriteOutcome {
    /// They were added to the output, which was written as far as the socket accepted it.
    Written,
    /// Some are deferred until unread input of clients, which may cancel them, has been read.
    Deferred,
}

/// Reads from and writes to an established connection.
struct ConnectionDriver<'a> {
    connection: &'a Connection,
    stream: &'a TcpStream,
    pacer: &'a Pacer,
    /// Received bytes that have not been parsed.
    input: Vec<u8>,
    /// Whether a write has failed. Input that was received before is still read and handled.
    write_failed: bool,
    /// How many times in a row the queued attempts have been deferred.
    write_deferrals: u32,
}

impl<'a> ConnectionDriver<'a> {
    fn new(connection: &'a Connection, stream: &'a TcpStream, pacer: &'a Pacer) -> Self {
        ConnectionDriver {
            connection,
            stream,
            pacer,
            input: Vec::new(),
            write_failed: false,
            write_deferrals: 0,
        }
    }

    /// Reads and writes until the connection ends.
    fn run(mut self) -> Termination {
        loop {
            if let ControlFlow::Break(termination) = self.run_iteration() {
                return termination;
            }
        }
    }

    /// Reads and writes what the socket allows now, then waits until it is ready or the coroutine is woken.
    fn run_iteration(&mut self) -> ControlFlow<Termination> {
        let has_more_input = self.read()?;
        if let WriteOutcome::Deferred = self.write()? {
            task::sleep(WRITE_DEFERRAL);
            return ControlFlow::Continue(());
        }
        if self.input.is_empty() {
            // Releases the buffer: hundreds of connections are idle most of the time, and the memory would
            // add up.
            self.input = Vec::new();
        }
        if has_more_input {
            self.pacer.pause();
        } else if !self.write_failed {
            self.stream.wait_io();
        }
        ControlFlow::Continue(())
    }

    /// Reads and handles input. Returns true if more input may be available.
    fn read(&mut self) -> ControlFlow<Termination, bool> {
        for _ in 0..READ_BATCH_SIZE {
            match read_into(self.stream.socket(), &mut self.input) {
                Ok(ReadOutcome::Data) => self.handle_input()?,
                Ok(ReadOutcome::WouldBlock) if self.write_failed => {
                    return ControlFlow::Break(Termination::Reset);
                }
                Ok(ReadOutcome::WouldBlock) => return ControlFlow::Continue(false),
                Ok(ReadOutcome::Closed) => return ControlFlow::Break(Termination::Closed),
                Err(_) => return ControlFlow::Break(Termination::Reset),
            }
        }
        ControlFlow::Continue(true)
    }

    /// Handles the complete messages in `input` and removes them from it.
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

    /// Adds queued attempts to the output, and writes as much output as the socket accepts.
    fn write(&mut self) -> ControlFlow<Termination, WriteOutcome> {
        let mut state = lock(&self.connection.state);
        if let Some(reason) = state.close_reason() {
            return ControlFlow::Break(reason);
        }
        // The engine may have sent a complete message before the write failed, so the connection is still
        // read.
        self.write_failed = self.write_failed || state.out.flush(self.stream.socket()).is_err();
        // Under load, a client's cancellation may still be unread when its attempt is about to be written.
        if !self.write_failed && self.write_deferrals < MAX_WRITE_DEFERRALS && state.has_unread_input() {
            self.write_deferrals += 1;
            return ControlFlow::Continue(WriteOutcome::Deferred);
        }
        self.write_deferrals = 0;
        let mut waits_for_client = false;
        if !self.write_failed {
            waits_for_client = state.write_queued();
            self.write_failed = state.out.flush(self.stream.socket()).is_err();
        }
        if state.out.pending() > MAX_PENDING_BYTES {
            return ControlFlow::Break(Termination::Silent);
        }
        let outcome = if waits_for_client { WriteOutcome::Deferred } else { WriteOutcome::Written };
        ControlFlow::Continue(outcome)
    }
}
