//! Ends a session: when its client disconnects, when a timeout expires, or when the proxy evicts it or
//! drains.

use std::time::{Duration, Instant};

use super::state::State;
use super::{Disconnected, MAX_READ_AHEAD_BYTES, Session};
use crate::downstream::postgres::backend;
use crate::downstream::postgres::cancel_registry::{Eviction, Phase, SessionStatus};
use crate::downstream::postgres::error::FatalError;
use crate::downstream::postgres::frontend::kind;
use crate::downstream::postgres::session_end::{SessionEnd, shut_down_output};
use crate::facade::RequestEvent;
use crate::memory::relief::HeldMemory;
use crate::stream::Stream as _;

/// Time in which a client must send its startup message, or the rest of a message whose first bytes have
/// arrived.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without progress in writing output after which the connection is closed, because the client does
/// not read.
const CLIENT_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// When a session must be woken to enforce a timeout.
enum Deadline {
    /// The client must have sent the rest of its message; otherwise the session ends with an error.
    Message(Instant),
    /// The connection is closed without an error message.
    Connection(Instant),
}

/// Returns the status of a session that started at `started_at` and has read no input yet.
pub fn initial_status(started_at: Instant) -> SessionStatus {
    let wake_at = Some(started_at + MESSAGE_TIMEOUT);
    let held = HeldMemory { incomplete_since: Some(started_at), input_bytes: 0, unread_since: None };
    SessionStatus { phase: Phase::StartingOrClosing, no_progress_since: started_at, wake_at, held }
}

impl Session<'_> {
    /// Ends the session with an error.
    pub(super) fn fail(&mut self, error: FatalError) {
        tracing::debug!(process_id = self.key.process_id, %error, "session failed");
        self.manager.count_failure(error);
        backend::fatal_error(self.out.buffer(), error);
        self.input = Vec::new();
        self.state.close();
    }

    /// Abandons the running request and notifies its coroutine that the client is gone. Returns false if
    /// there is none.
    pub(super) fn abandon_request(&mut self) -> bool {
        let Some(query) = self.state.abandon_query() else { return false };
        query.client.cancel();
        // Sending fails if the request has ended in the meantime, which needs no handling.
        let _ = query.events.send(RequestEvent::ClientGone);
        true
    }

    /// Checks whether the client is gone: it has closed its side of the connection, or sent Terminate while
    /// its query is running. A client that reaches the read-ahead limit while its query is running is
    /// treated as gone too, because the session could no longer notice a disconnect. The running query is
    /// then abandoned, and buffered ones are discarded.
    pub(super) fn check_client_gone(&mut self) {
        let is_busy = self.state.is_busy();
        let error = if self.client_closed {
            FatalError::ClientClosed
        } else if is_busy && self.input.first() == Some(&kind::TERMINATE) {
            FatalError::ClientTerminated
        } else if is_busy && self.input.len() >= MAX_READ_AHEAD_BYTES {
            FatalError::TooMuchReadAhead
        } else {
            return;
        };
        if self.abandon_request() {
            backend::fatal_error(self.out.buffer(), error);
        }
        self.input.clear();
        self.state.close();
    }

    /// Ends the session if the client has not sent the rest of a message in time, or if the session was
    /// evicted before its startup message or, to free memory, before its message was complete.
    pub(super) fn check_message_timeout(&mut self) {
        let is_startup = self.state.is_startup();
        let is_incomplete = is_startup
            || !self.input.is_empty() && self.state.accepts_messages() && !self.has_complete_message();
        match self.handle.eviction() {
            Some(Eviction::TooManySessions) if is_startup => self.fail(FatalError::TooManyClients),
            Some(Eviction::OutOfMemory) if is_incomplete => self.fail(FatalError::OutOfMemory),
            _ => {}
        }
        if is_incomplete {
            self.message_started_at.get_or_insert_with(Instant::now);
        } else {
            self.message_started_at = None;
        }
        let is_timed_out =
            self.message_started_at.is_some_and(|started_at| started_at.elapsed() >= MESSAGE_TIMEOUT);
        if is_timed_out && self.state.accepts_messages() {
            self.fail(FatalError::MessageTimeout);
        }
    }

    /// Shuts down the sending side if the session must end, now that all output has been written. Fails if
    /// the client has closed its side: the connection can then be closed at once.
    pub(super) fn on_output_written(&mut self) -> Result<(), Disconnected> {
        let response_written = self.unsent_response_guard.take().is_some();
        if self.client_closed {
            return Err(Disconnected);
        }
        if self.state.is_closing() || self.must_close(response_written) {
            shut_down_output(self.stream.socket());
            self.state.on_output_shut_down(Instant::now());
        }
        Ok(())
    }

    /// Whether the proxy must end the session now that all output has been written. `response_written` is
    /// whether the output completed a response.
    fn must_close(&self, response_written: bool) -> bool {
        let is_evicted = self.handle.is_evicted() && !self.state.is_busy() && !self.state.is_half_closed();
        let policy = &self.manager.end_policy;
        let policy_ends_session = policy.includes(SessionEnd::WhenIdle)
            || response_written && policy.includes(SessionEnd::AfterResponse);
        let is_idle = self.state.is_between_queries() && self.input.is_empty();
        is_evicted || policy_ends_session && is_idle
    }

    /// Publishes the status of the session. Fails if the connection must be closed because a deadline has
    /// passed, or because the session was evicted while half-closed or, to free memory, while its client does
    /// not read.
    pub(super) fn publish_status(&mut self) -> Result<(), Disconnected> {
        let deadline = self.next_deadline()?;
        let wake_at = match deadline {
            Some(Deadline::Connection(at)) if at <= Instant::now() => return Err(Disconnected),
            Some(Deadline::Connection(at) | Deadline::Message(at)) => Some(at),
            None => None,
        };
        let (phase, no_progress_since) = self.current_phase();
        self.handle.set_status(SessionStatus { phase, no_progress_since, wake_at, held: self.held_memory() });
        Ok(())
    }

    fn held_memory(&self) -> HeldMemory {
        let is_unread = self.out.pending() > 0 && !self.state.is_busy();
        HeldMemory {
            incomplete_since: self.message_started_at.filter(|_| self.state.accepts_messages()),
            input_bytes: self.input_charge.bytes(),
            unread_since: is_unread.then_some(self.last_progress),
        }
    }

    /// Returns the next deadline of the session, or `None` if no timeout is running. Fails if the
    /// connection must be closed at once, because the session was evicted; see [`Session::publish_status`].
    fn next_deadline(&self) -> Result<Option<Deadline>, Disconnected> {
        match self.state.get() {
            State::HalfClosed(_) if self.handle.is_evicted() => Err(Disconnected),
            State::HalfClosed(deadlines) => Ok(Some(Deadline::Connection(deadlines.next()))),
            _ if self.held_memory().unread_since.is_some() && self.must_free_memory() => Err(Disconnected),
            _ if self.out.pending() > 0 => {
                Ok(Some(Deadline::Connection(self.last_progress + CLIENT_READ_TIMEOUT)))
            }
            _ if self.state.accepts_messages() => {
                Ok(self.message_started_at.map(|started_at| Deadline::Message(started_at + MESSAGE_TIMEOUT)))
            }
            _ => Ok(None),
        }
    }

    fn must_free_memory(&self) -> bool {
        self.handle.eviction() == Some(Eviction::OutOfMemory)
    }

    /// Returns the phase of the session and since when it has made no progress.
    fn current_phase(&self) -> (Phase, Instant) {
        match self.state.get() {
            State::Busy(_) => (Phase::Busy, self.last_progress),
            State::Startup | State::Closing | State::HalfClosed(_) => {
                (Phase::StartingOrClosing, self.message_started_at.unwrap_or(self.last_progress))
            }
            State::Ready | State::SkipUntilSync => (Phase::Idle, self.last_progress),
        }
    }
}
