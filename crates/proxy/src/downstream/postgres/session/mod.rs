//! A client session: the coroutine that owns the client's socket.
//!
//! This module contains the event loop of the session: it reads, writes, and waits for the socket or for
//! another coroutine to wake it. [`messages`] processes the messages of the client, [`closing`] checks
//! timeouts and ends the session, and [`state`] is the state machine of the session.

mod closing;
mod messages;
mod state;

use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gaugestep_dispatch::interface::Millis;
use may::io::{CoIo, WaitIo as _};

use self::state::SessionState;
use super::cancel_registry::SessionHandle;
use super::frontend::{self, CancelKey};
use super::session_manager::SessionManager;
use crate::request_lifecycle::OpenRequestGuard;
use crate::stream::{ReadOutcome, Stream as _, WriteBuffer, discard_input, read_into};
use crate::task;

pub use self::closing::initial_status;

/// Length of the buffered input from which a session reads no more, except for the rest of one longer
/// message; also the length of the unwritten output from which it processes no further message.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Maximum number of reads in one iteration of the event loop.
const READS_PER_ITERATION: usize = 16;
/// Maximum number of messages that are processed in one iteration of the event loop.
const MESSAGES_PER_ITERATION: usize = 16;
/// Number of iterations without a wait after which a session pauses, so that other sessions can run.
const ITERATIONS_BEFORE_PAUSE: usize = 8;
/// How long a session pauses then. It sleeps, because a coroutine that yields runs again before any other
/// socket is read.
const LOOP_PAUSE: Duration = Duration::from_millis(1);

/// A session. Only its own coroutine accesses it; other coroutines use its [`SessionHandle`].
pub struct Session<'a> {
    manager: &'a Arc<SessionManager>,
    stream: Arc<CoIo<TcpStream>>,
    handle: Arc<SessionHandle>,
    key: CancelKey,
    state: SessionState,
    /// Input that was read and not processed yet.
    input: Vec<u8>,
    out: WriteBuffer,
    /// When input was last read, on the facade's clock.
    read_at: Millis,
    /// When the first bytes of the incomplete message arrived, or when the session started if it waits for
    /// the startup message. `None` if no message is incomplete.
    message_started_at: Option<Instant>,
    /// When output was last written to the socket, or when there was last no output to write.
    last_progress: Instant,
    /// How often the client has requested encryption.
    encryption_requests: u32,
    /// Whether the client has closed its side of the connection.
    client_closed: bool,
    /// Whether a cancel request has arrived for the next query, which is buffered in full or in part.
    cancel_next_query: bool,
    /// Counts the request whose response is still being written as open.
    unsent_response_guard: Option<OpenRequestGuard>,
}

/// Whether the socket may have more input after a read.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SocketInput {
    /// All input has been read, and new input wakes the session.
    Drained,
    /// The socket may have unread input, which does not wake the session.
    MayHaveMore,
}

/// The session must end at once, because the connection is broken or must be closed.
struct Disconnected;

impl<'a> Session<'a> {
    /// Creates a session that has read no input yet.
    pub fn new(
        manager: &'a Arc<SessionManager>,
        stream: Arc<CoIo<TcpStream>>,
        handle: Arc<SessionHandle>,
        key: CancelKey,
        started_at: Instant,
    ) -> Self {
        Session {
            manager,
            stream,
            handle,
            key,
            state: SessionState::new(),
            input: Vec::new(),
            out: WriteBuffer::default(),
            read_at: 0.0,
            message_started_at: Some(started_at),
            last_progress: started_at,
            encryption_requests: 0,
            client_closed: false,
            cancel_next_query: false,
            unsent_response_guard: None,
        }
    }

    /// Runs the event loop until the connection can be closed; blocks the coroutine.
    pub fn run(&mut self) {
        let first_read = self.read();
        self.manager.on_first_read();
        let mut read = first_read;
        let mut iterations = 0;
        while let Ok(socket_input) = read {
            if self.process_events().is_err() {
                return;
            }
            // The socket is edge-triggered: it reports input only once. So the session waits only when it
            // has read all input or must not read more now.
            let may_wait = socket_input == SocketInput::Drained || !self.should_read();
            if may_wait && !self.has_message_to_process() {
                iterations = 0;
                self.stream.wait_io();
            } else {
                iterations += 1;
                if iterations % ITERATIONS_BEFORE_PAUSE == 0 {
                    task::sleep(LOOP_PAUSE);
                }
            }
            read = self.read();
        }
    }

    /// Abandons the running request and discards unread input, before the connection is closed.
    pub fn clean_up(&mut self) {
        self.unsent_response_guard = None;
        self.abandon_request();
        discard_input(self.stream.socket());
    }

    /// Handles the response of the running query, a cancel request, the input and the timeouts, and writes
    /// the output that the socket accepts.
    fn process_events(&mut self) -> Result<(), Disconnected> {
        self.write_response();
        if self.handle.take_cancel_request() {
            self.cancel_query();
        }
        self.check_client_gone();
        self.process_messages();
        self.check_message_timeout();
        self.flush()?;
        if self.out.pending() == 0 {
            self.on_output_written()?;
        }
        self.publish_status()
    }

    /// Reads the available input, up to a complete message that can be processed.
    fn read(&mut self) -> Result<SocketInput, Disconnected> {
        for _ in 0..READS_PER_ITERATION {
            if !self.should_read() {
                break;
            }
            match read_into(self.stream.socket(), &mut self.input) {
                Ok(ReadOutcome::Data) => self.read_at = self.manager.handler.facade.now(),
                Ok(ReadOutcome::WouldBlock) => return Ok(SocketInput::Drained),
                Ok(ReadOutcome::Closed) => {
                    self.client_closed = true;
                    return Ok(SocketInput::Drained);
                }
                Err(_) => return Err(Disconnected),
            }
            if self.state.on_input() {
                self.input.clear();
            }
            if self.state.accepts_messages() && self.has_complete_message() {
                break;
            }
        }
        Ok(SocketInput::MayHaveMore)
    }

    /// Writes as much output as the socket accepts.
    fn flush(&mut self) -> Result<(), Disconnected> {
        let progressed = self.out.flush(self.stream.socket()).map_err(|_| Disconnected)?;
        if progressed || self.out.pending() == 0 {
            self.last_progress = Instant::now();
        }
        Ok(())
    }

    /// Whether to read more input. A client that does not read its responses, or sends queries faster than
    /// they run, has to wait: the session buffers at most [`MAX_READ_AHEAD_BYTES`] or one longer message.
    /// Within that limit it also reads while a query runs, so that it notices when the client disconnects.
    fn should_read(&self) -> bool {
        let is_message_incomplete =
            || self.state.accepts_messages() && self.out.pending() == 0 && !self.has_complete_message();
        !self.client_closed && (self.input.len() < MAX_READ_AHEAD_BYTES || is_message_incomplete())
    }

    /// Whether a message can be processed now, without waiting for the socket.
    fn has_message_to_process(&self) -> bool {
        self.out.pending() == 0 && self.state.accepts_messages() && self.has_complete_message()
    }

    /// Whether the input begins with a complete or malformed message.
    fn has_complete_message(&self) -> bool {
        if self.state.is_startup() {
            !matches!(frontend::parse_startup(&self.input), Ok(None))
        } else {
            !matches!(frontend::parse(&self.input, self.manager.max_message_length), Ok(None))
        }
    }
}
