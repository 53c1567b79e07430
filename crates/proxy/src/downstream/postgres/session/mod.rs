//! A client session: the coroutine that owns the client's socket.
//!
//! This module contains the event loop of the session: it reads, writes, and waits for the socket or for
//! another coroutine to wake it. [`messages`] processes the messages of the client, [`closing`] checks
//! timeouts and ends the session, and [`state`] is the state machine of the session.

mod closing;
mod input;
mod messages;
mod state;

use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

use gaugestep_dispatch::interface::Millis;
use may::io::{CoIo, WaitIo as _};

use self::input::SocketInput;
use self::state::SessionState;
use super::cancel_registry::SessionHandle;
use super::frontend::CancelKey;
use super::result_encoder::ResultEncoder;
use super::session_manager::SessionManager;
use crate::memory::MemoryCharge;
use crate::request_lifecycle::OpenRequestGuard;
use crate::stream::{Stream as _, WriteBuffer, discard_input};

pub use self::closing::initial_status;

/// Length of the buffered input from which a session reads no more, except for the rest of one longer
/// message.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Length of the unwritten output from which a session processes no further message and encodes no more of a
/// result.
const MAX_UNWRITTEN_BYTES: usize = 4 * 1024;
/// Maximum number of messages that are processed in one iteration of the event loop.
const MESSAGES_PER_ITERATION: usize = 16;
/// Number of iterations without a wait after which a session pauses, so that other sessions can run.
const ITERATIONS_BEFORE_PAUSE: usize = 8;
/// Number of reads without a wait after which a session pauses, whatever its iterations.
const READS_BEFORE_PAUSE: usize = 4;
/// A session. Only its own coroutine accesses it; other coroutines use its [`SessionHandle`].
pub struct Session<'a> {
    manager: &'a Arc<SessionManager>,
    stream: Arc<CoIo<TcpStream>>,
    handle: Arc<SessionHandle>,
    key: CancelKey,
    state: SessionState,
    /// Input that was read and not processed yet.
    input: Vec<u8>,
    /// The memory of `input`.
    input_charge: MemoryCharge,
    out: WriteBuffer,
    /// The part of a result that is not in `out` yet.
    result: Option<ResultEncoder>,
    /// Number of reads since the session last waited or paused.
    reads_since_pause: usize,
    /// When the input that was read last had arrived at the latest, on the facade's clock.
    read_at: Millis,
    /// Since when input may wait in the socket because the memory for messages is used up. A request that was
    /// read since then may have arrived as early as that.
    unread_since: Option<Millis>,
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
            input_charge: manager.message_memory.empty_charge(),
            out: WriteBuffer::default(),
            result: None,
            reads_since_pause: 0,
            read_at: 0.0,
            unread_since: None,
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
        let mut iterations_since_pause = 0;
        while let Ok(socket_input) = read {
            if self.process_events().is_err() {
                return;
            }
            if self.may_wait(socket_input) && !self.has_message_to_process() {
                self.stream.wait_io();
                (iterations_since_pause, self.reads_since_pause) = (0, 0);
            } else if socket_input == SocketInput::OutOfMemory {
                self.manager.pacer.pause();
            } else {
                iterations_since_pause += 1;
                let must_pause = iterations_since_pause >= ITERATIONS_BEFORE_PAUSE
                    || self.reads_since_pause >= READS_BEFORE_PAUSE;
                if must_pause {
                    self.manager.pacer.pause();
                    (iterations_since_pause, self.reads_since_pause) = (0, 0);
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
        self.settle_input_charge();
        self.write_output()?;
        if self.out.pending() == 0 {
            self.on_output_written()?;
        }
        self.publish_status()
    }

    /// Writes as much output as the socket accepts. A result is encoded in parts, so that a client that reads
    /// slowly holds little more than the pages of its result.
    fn write_output(&mut self) -> Result<(), Disconnected> {
        loop {
            let is_encoded = self.encode_result();
            let progressed = self.out.flush(self.stream.socket()).map_err(|_| Disconnected)?;
            if progressed || self.out.pending() == 0 {
                self.last_progress = Instant::now();
            }
            if is_encoded || self.out.pending() > 0 {
                return Ok(());
            }
        }
    }

    /// Encodes the next part of the result, if one is pending. Returns whether nothing is left to encode.
    fn encode_result(&mut self) -> bool {
        let Some(result) = &mut self.result else { return true };
        let is_encoded = result.encode(self.out.buffer(), MAX_UNWRITTEN_BYTES);
        if is_encoded {
            self.result = None;
        }
        is_encoded
    }
}
