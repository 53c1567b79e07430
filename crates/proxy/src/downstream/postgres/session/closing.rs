//! How a session ends: by its client, by a timeout, or by the proxy.

use std::time::{Duration, Instant};

use super::state::State;
use super::{Disconnected, MAX_READ_AHEAD, Session};
use crate::downstream::postgres::backend;
use crate::downstream::postgres::cancel_registry::{Phase, SessionStatus};
use crate::downstream::postgres::error::FatalError;
use crate::downstream::postgres::frontend::kind;
use crate::downstream::postgres::session_end::{SessionEnd, shut_down_output};
use crate::facade::RequestEvent;
use crate::stream::Stream as _;

/// How long a client may take to send its startup message, or the rest of a message that it has begun.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client may read nothing of what was written for it.
const CLIENT_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// When a session has to be woken.
enum Deadline {
    /// The client has to have sent the rest of its message. The session then ends with an error.
    Message(Instant),
    /// The connection is closed without further ado.
    Connection(Instant),
}

/// The status of a session that started at `started_at` and has read nothing.
pub fn initial_status(started_at: Instant) -> SessionStatus {
    SessionStatus { phase: Phase::Silent, since: started_at, due: Some(started_at + MESSAGE_TIMEOUT) }
}

impl Session<'_> {
    /// Ends the session with an error.
    pub(super) fn fail(&mut self, error: FatalError) {
        backend::fatal_error(self.out.buffer(), error);
        self.state.close();
    }

    /// Gives up the request that is running; false if there is none.
    pub(super) fn abandon_request(&mut self) -> bool {
        let Some(query) = self.state.abandon_query() else { return false };
        query.client.cancel();
        // The request may have ended by now.
        let _ = query.events.send(RequestEvent::ClientGone);
        true
    }

    /// Checks whether the client has left: closed its side of the connection, sent Terminate while its query is running, or
    /// sent so much ahead of the answer that the session could not notice that it leaves. Its query is then given up, and
    /// no other that it has sent is started.
    pub(super) fn check_client_left(&mut self) {
        let is_busy = self.state.is_busy();
        let error = if self.client_closed {
            FatalError::ClientClosed
        } else if is_busy && self.input.first() == Some(&kind::TERMINATE) {
            FatalError::ClientTerminated
        } else if is_busy && self.input.len() >= MAX_READ_AHEAD {
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

    /// Ends the session if the client has not sent the rest of a message in time, or if the session has been evicted before it
    /// was started.
    pub(super) fn check_message_timeout(&mut self) {
        let is_startup = self.state.is_startup();
        if is_startup && self.handle.is_evicted() {
            self.fail(FatalError::TooManyClients);
        }
        let is_incomplete = is_startup
            || !self.input.is_empty() && self.state.accepts_messages() && !self.has_complete_message();
        self.message_started_at =
            if is_incomplete { self.message_started_at.or_else(|| Some(Instant::now())) } else { None };
        let is_late =
            self.message_started_at.is_some_and(|started_at| started_at.elapsed() >= MESSAGE_TIMEOUT);
        if is_late && self.state.accepts_messages() {
            self.fail(FatalError::MessageTimeout);
        }
    }

    /// All output has been written: shuts the connection down if the session ends here.
    pub(super) fn output_written(&mut self) -> Result<(), Disconnected> {
        let has_answered = self.unwritten.take().is_some();
        if self.client_closed {
            return Err(Disconnected);
        }
        if self.state.is_closing() || self.must_end(has_answered) {
            shut_down_output(self.stream.socket());
            self.state.output_shut_down(Instant::now());
        }
        Ok(())
    }

    /// Whether the proxy ends the session now that all output has been written.
    fn must_end(&self, has_answered: bool) -> bool {
        let is_evicted = self.handle.is_evicted() && !self.state.is_busy() && !self.state.is_draining();
        let policy = &self.manager.end_policy;
        let policy_applies =
            policy.applies(SessionEnd::WhenIdle) || has_answered && policy.applies(SessionEnd::AfterResponse);
        let is_idle = self.state.is_between_queries() && self.input.is_empty();
        is_evicted || policy_applies && is_idle
    }

    /// Publishes the status of the session. Fails if the connection must be closed, because a deadline has passed.
    pub(super) fn publish_status(&mut self) -> Result<(), Disconnected> {
        let deadline = self.next_deadline()?;
        let due = match deadline {
            Some(Deadline::Connection(at)) if at <= Instant::now() => return Err(Disconnected),
            Some(Deadline::Connection(at) | Deadline::Message(at)) => Some(at),
            None => None,
        };
        let (phase, since) = self.phase();
        self.handle.set_status(SessionStatus { phase, since, due });
        Ok(())
    }

    /// The deadline that the session waits for. Fails if the connection must be closed at once, to make room for another.
    fn next_deadline(&self) -> Result<Option<Deadline>, Disconnected> {
        match self.state.get() {
            State::Draining(_) if self.handle.is_evicted() => Err(Disconnected),
            State::Draining(deadlines) => Ok(Some(Deadline::Connection(deadlines.next()))),
            _ if self.out.pending() > 0 => {
                Ok(Some(Deadline::Connection(self.last_progress + CLIENT_READ_TIMEOUT)))
            }
            _ if self.state.accepts_messages() => {
                Ok(self.message_started_at.map(|started_at| Deadline::Message(started_at + MESSAGE_TIMEOUT)))
            }
            _ => Ok(None),
        }
    }

    /// What the session is doing, and since when.
    fn phase(&self) -> (Phase, Instant) {
        match self.state.get() {
            State::Busy(_) => (Phase::Busy, self.last_progress),
            State::Startup | State::Closing | State::Draining(_) => {
                (Phase::Silent, self.message_started_at.unwrap_or(self.last_progress))
            }
            State::Ready | State::SkipUntilSync => (Phase::Idle, self.last_progress),
        }
    }
}
