//! Reads the input of a session, within the memory for messages.

use super::{Disconnected, MAX_READ_AHEAD_BYTES, Session};
use crate::downstream::postgres::frontend;
use crate::memory::Share;
use crate::memory::plan::SMALL_INPUT_BYTES;
use crate::stream::{
    MAX_READ_BYTES, ReadOutcome, Stream as _, capacity_after_read, peer_closed, read_at_most,
};

/// Maximum number of reads in one iteration of the event loop.
const READS_PER_ITERATION: usize = 4;

/// Whether the socket may have more input after a read.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum SocketInput {
    /// All input has been read, and new input wakes the session.
    Drained,
    /// The socket may have unread input, which does not wake the session.
    MayHaveMore,
    /// The socket may have unread input, and the memory for messages is used up.
    OutOfMemory,
}

impl Session<'_> {
    /// Reads the available input, up to a complete message that can be processed.
    pub(super) fn read(&mut self) -> Result<SocketInput, Disconnected> {
        for _ in 0..READS_PER_ITERATION {
            if !self.should_read() {
                break;
            }
            let Some(max_bytes) = self.charge_read() else {
                self.on_out_of_memory();
                return Ok(SocketInput::OutOfMemory);
            };
            match read_at_most(self.stream.socket(), &mut self.input, max_bytes) {
                Ok(ReadOutcome::Data) => {
                    let now = self.manager.handler.facade.now();
                    self.read_at = self.unread_since.unwrap_or(now);
                }
                Ok(ReadOutcome::WouldBlock) => {
                    self.unread_since = None;
                    return Ok(SocketInput::Drained);
                }
                Ok(ReadOutcome::Closed) => {
                    self.client_closed = true;
                    return Ok(SocketInput::Drained);
                }
                Err(_) => return Err(Disconnected),
            }
            self.reads_since_pause += 1;
            if self.state.on_input() {
                self.input = Vec::new();
            }
            if self.state.accepts_messages() && self.has_complete_message() {
                break;
            }
        }
        Ok(SocketInput::MayHaveMore)
    }

    /// Whether the session may wait for its socket. The socket is edge-triggered: it reports input only once. So
    /// the session waits only when it has read all input or must not read more now.
    pub(super) fn may_wait(&self, socket_input: SocketInput) -> bool {
        match socket_input {
            SocketInput::Drained => true,
            SocketInput::MayHaveMore => !self.should_read(),
            // The response wakes the session, and it then reads on.
            SocketInput::OutOfMemory => self.state.is_busy(),
        }
    }

    /// Whether to read more input. A client that does not read its responses, or sends queries faster than
    /// they run, has to wait: the session buffers at most [`MAX_READ_AHEAD_BYTES`] or one longer message.
    /// Within that limit it also reads while a query runs, so that it notices when the client disconnects.
    fn should_read(&self) -> bool {
        let is_message_incomplete =
            || self.state.accepts_messages() && self.out.pending() == 0 && !self.has_complete_message();
        !self.client_closed && (self.input.len() < MAX_READ_AHEAD_BYTES || is_message_incomplete())
    }

    /// Charges the memory of the next read and returns how many bytes it may read; `None` if the memory for
    /// messages is used up. A session may always hold a little input. Input of a session that ends is discarded
    /// at once and not charged, and input ahead of a response leaves room for other messages.
    fn charge_read(&mut self) -> Option<usize> {
        if !self.state.is_busy() && !self.state.accepts_messages() {
            return Some(MAX_READ_BYTES);
        }
        let share = if self.state.is_busy() { Share::HalfOfUnreserved } else { Share::Unreserved };
        let length = self.input.len();
        let bytes = capacity_after_read(length, MAX_READ_BYTES).max(self.input.capacity());
        if self.input_charge.try_resize(bytes, share) {
            return Some(MAX_READ_BYTES);
        }
        let small_read = SMALL_INPUT_BYTES.saturating_sub(self.input.capacity().max(length + length / 4));
        let may_read = small_read > 0 && self.input_charge.try_resize(SMALL_INPUT_BYTES, Share::All);
        may_read.then_some(small_read)
    }

    /// Makes another session give way, unless the query of this one runs: then it only notices whether its client
    /// has disconnected.
    fn on_out_of_memory(&mut self) {
        self.unread_since.get_or_insert(self.manager.handler.facade.now());
        if self.state.is_busy() {
            self.client_closed = peer_closed(self.stream.socket());
        } else {
            self.manager.evict_incomplete_message();
        }
    }

    /// Releases memory that the input does not need any more, and gives back its charge.
    pub(super) fn settle_input_charge(&mut self) {
        if self.input.is_empty() {
            // An idle session keeps no input buffer.
            self.input = Vec::new();
        } else if self.input.capacity() > capacity_after_read(self.input.len(), 0) {
            self.input.shrink_to_fit();
        }
        let bytes = self.input.capacity().min(self.input_charge.bytes());
        self.input_charge.try_resize(bytes, Share::All);
    }

    /// Whether a message can be processed now, without waiting for the socket.
    pub(super) fn has_message_to_process(&self) -> bool {
        self.out.pending() == 0 && self.state.accepts_messages() && self.has_complete_message()
    }

    /// Whether the input begins with a complete or malformed message.
    pub(super) fn has_complete_message(&self) -> bool {
        if self.state.is_startup() {
            !matches!(frontend::parse_startup(&self.input), Ok(None))
        } else {
            !matches!(frontend::parse(&self.input, self.manager.max_message_length), Ok(None))
        }
    }
}
