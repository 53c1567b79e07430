//! One session: the coroutine that owns a client's socket.
//!
//! It reads and writes here, and waits for the socket or for others to wake it. What it does in between: [`messages`]
//! processes what the client sends, [`closing`] checks timeouts and ends the session, [`state`] is its state machine.

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

/// Bytes read ahead of what is being answered.
const MAX_READ_AHEAD: usize = 64 * 1024;
/// Reads and messages in one turn of a session.
const READS_PER_TURN: usize = 16;
/// See [`READS_PER_TURN`].
const MESSAGES_PER_TURN: usize = 16;
/// Turns without a wait after which a session pauses, so that others get theirs.
const TURNS_BEFORE_PAUSE: usize = 8;
/// The length of that pause. A coroutine that merely yielded would run again before any other socket is read.
const TURN_PAUSE: Duration = Duration::from_millis(1);

/// A session, owned by its coroutine.
pub struct Session<'a> {
    manager: &'a Arc<SessionManager>,
    stream: Arc<CoIo<TcpStream>>,
    handle: Arc<SessionHandle>,
    key: CancelKey,
    state: SessionState,
    /// What was read and not yet processed.
    input: Vec<u8>,
    out: WriteBuffer,
    /// When bytes were last read, on the facade's clock.
    read_at: Millis,
    /// When the first bytes of the message came that is still incomplete. The first message counts from the session's start.
    message_started_at: Option<Instant>,
    /// When the client last took some output, or when there was last none to take.
    last_progress: Instant,
    /// How often encryption was requested.
    encryption_requests: u32,
    /// The client has closed its side of the connection.
    client_closed: bool,
    /// The query that has come in part is cancelled already.
    next_query_cancelled: bool,
    /// The request whose answer is still being written.
    unwritten: Option<OpenRequestGuard>,
}

/// What a turn of reading has left in the socket.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SocketInput {
    /// Nothing: the socket will report what comes next.
    Drained,
    /// Perhaps more.
    MayHaveMore,
}

/// The connection is broken.
struct Disconnected;

impl<'a> Session<'a> {
    /// A session that has not read anything.
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
            next_query_cancelled: false,
            unwritten: None,
        }
    }

    /// Runs the session until its connection can be closed.
    pub fn run(&mut self) {
        let first_read = self.read();
        self.manager.first_read_done();
        let mut read = first_read;
        let mut turns = 0;
        while let Ok(socket_input) = read {
            if self.take_turn().is_err() {
                return;
            }
            // The socket reports input once: the session waits only once it has read all, or need not read the rest.
            let may_wait = socket_input == SocketInput::Drained || !self.wants_input();
            if may_wait && !self.has_message_to_process() {
                turns = 0;
                self.stream.wait_io();
            } else {
                turns += 1;
                if turns % TURNS_BEFORE_PAUSE == 0 {
                    task::sleep(TURN_PAUSE);
                }
            }
            read = self.read();
        }
    }

    /// Gives up all that is open in the session, before its connection is closed.
    pub fn release(&mut self) {
        self.unwritten = None;
        self.abandon_request();
        discard_input(self.stream.socket());
    }

    /// Processes what was read and what others have left for the session, and writes what the client takes.
    fn take_turn(&mut self) -> Result<(), Disconnected> {
        self.write_answer();
        if self.handle.take_cancel_request() {
            self.cancel_query();
        }
        self.check_client_left();
        self.process_messages();
        self.check_message_timeout();
        self.flush()?;
        if self.out.pending() == 0 {
            self.output_written()?;
        }
        self.publish_status()
    }

    /// Reads what has come, up to a complete message.
    fn read(&mut self) -> Result<SocketInput, Disconnected> {
        for _ in 0..READS_PER_TURN {
            if !self.wants_input() {
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
            if self.state.input_received() {
                self.input.clear();
            }
            if self.state.accepts_messages() && self.has_complete_message() {
                break;
            }
        }
        Ok(SocketInput::MayHaveMore)
    }

    /// Writes what the socket takes.
    fn flush(&mut self) -> Result<(), Disconnected> {
        let progressed = self.out.flush(self.stream.socket()).map_err(|_| Disconnected)?;
        if progressed || self.out.pending() == 0 {
            self.last_progress = Instant::now();
        }
        Ok(())
    }

    /// Whether to read more. A client that does not read its answers, or sends faster than it is answered, has to
    /// wait: only so much is read ahead, or the rest of one long message. Within that limit input is also read while a query
    /// runs, so that the session notices that its client leaves.
    fn wants_input(&self) -> bool {
        let is_message_incomplete =
            || self.state.accepts_messages() && self.out.pending() == 0 && !self.has_complete_message();
        !self.client_closed && (self.input.len() < MAX_READ_AHEAD || is_message_incomplete())
    }

    fn has_message_to_process(&self) -> bool {
        self.out.pending() == 0 && self.state.accepts_messages() && self.has_complete_message()
    }

    /// Whether the input begins with a complete message, or with a malformed one.
    fn has_complete_message(&self) -> bool {
        if self.state.is_startup() {
            !matches!(frontend::parse_startup(&self.input), Ok(None))
        } else {
            !matches!(frontend::parse(&self.input, self.manager.max_message_length), Ok(None))
        }
    }
}
