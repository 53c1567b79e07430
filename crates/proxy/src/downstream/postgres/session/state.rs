//! The state machine of a session.
//!
//! ```text
//! Startup ──> Ready <──> Busy
//!    │         │ ^
//!    │         v │
//!    │     SkipUntilSync
//!    │         │
//!    └────> Closing ──> HalfClosed
//! ```
//!
//! A session whose output has been written in full may also go directly from any state but `Busy` to
//! `HalfClosed`. Each transition is a method of [`SessionState`].

use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::downstream::postgres::client_handle::ClientHandle;
use crate::downstream::postgres::session_end::CloseDeadlines;
use crate::lock;
use crate::query::{EventSender, Response};
use crate::request_lifecycle::OpenRequestGuard;

/// Where the coroutine of a request stores the response for its session.
pub type ResponseSlot = Arc<Mutex<Option<Response>>>;

/// A query that is running.
pub struct RunningQuery {
    /// Sends events to the request's coroutine.
    pub events: EventSender,
    /// The response; `None` until the request's coroutine has stored it.
    pub response: ResponseSlot,
    /// The first word of the statement, for the command tag of the result.
    pub command: String,
    /// Counts the request as open.
    pub open_guard: OpenRequestGuard,
    /// The client that waits for the response.
    pub client: Arc<ClientHandle>,
}

/// The states of a session.
pub enum State {
    /// The session is waiting for the startup message.
    Startup,
    /// The session is waiting for a query.
    Ready,
    /// A message of the extended query protocol was rejected, and further messages are discarded until Sync.
    SkipUntilSync,
    /// A query is running.
    Busy(RunningQuery),
    /// No more messages are accepted, and the remaining output is being written.
    Closing,
    /// All output has been written and the sending side of the connection is shut down. Input is discarded
    /// until the client closes its side or a deadline passes.
    HalfClosed(CloseDeadlines),
}

/// The state of a session. It changes only through its methods.
pub struct SessionState {
    state: State,
}

impl SessionState {
    /// Creates the state of a new session.
    pub fn new() -> Self {
        SessionState { state: State::Startup }
    }

    /// Returns the current state.
    pub fn get(&self) -> &State {
        &self.state
    }

    /// Whether the session is waiting for the startup message.
    pub fn is_startup(&self) -> bool {
        matches!(self.state, State::Startup)
    }

    /// Whether messages are discarded until Sync.
    pub fn is_skipping(&self) -> bool {
        matches!(self.state, State::SkipUntilSync)
    }

    /// Whether a query is running.
    pub fn is_busy(&self) -> bool {
        matches!(self.state, State::Busy(_))
    }

    /// Whether no more messages are accepted and the remaining output is being written.
    pub fn is_closing(&self) -> bool {
        matches!(self.state, State::Closing)
    }

    /// Whether the sending side of the connection has been shut down.
    pub fn is_half_closed(&self) -> bool {
        matches!(self.state, State::HalfClosed(_))
    }

    /// Whether the session has been started and no query is running.
    pub fn is_between_queries(&self) -> bool {
        matches!(self.state, State::Ready | State::SkipUntilSync)
    }

    /// Whether the next message may be processed.
    pub fn accepts_messages(&self) -> bool {
        matches!(self.state, State::Startup | State::Ready | State::SkipUntilSync)
    }

    /// Handles an accepted startup message.
    pub fn on_startup_accepted(&mut self) {
        self.state = State::Ready;
    }

    /// Discards messages until Sync, after a message of the extended query protocol was rejected.
    pub fn skip_until_sync(&mut self) {
        self.state = State::SkipUntilSync;
    }

    /// Handles a Sync message.
    pub fn on_sync(&mut self) {
        self.state = State::Ready;
    }

    /// Handles the start of a query.
    pub fn on_query_started(&mut self, query: RunningQuery) {
        self.state = State::Busy(query);
    }

    /// Ends the running query if its response has been stored, and returns both.
    pub fn take_response(&mut self) -> Option<(Response, RunningQuery)> {
        let State::Busy(query) = &self.state else { return None };
        let response = lock(&query.response).take()?;
        Some((response, self.abandon_query()?))
    }

    /// Ends the running query without a response, and returns it. Returns `None` if no query is running.
    pub fn abandon_query(&mut self) -> Option<RunningQuery> {
        match std::mem::replace(&mut self.state, State::Ready) {
            State::Busy(query) => Some(query),
            state => {
                self.state = state;
                None
            }
        }
    }

    /// Accepts no more messages; the session ends once its output has been written. No query may be running.
    pub fn close(&mut self) {
        self.state = State::Closing;
    }

    /// Handles the shutdown of the sending side at `now`, after all output was written. No query may be
    /// running.
    pub fn on_output_shut_down(&mut self, now: Instant) {
        self.state = State::HalfClosed(CloseDeadlines::new(now));
    }

    /// Handles input from the client. Returns true if it must be discarded, because the sending side is
    /// shut down.
    pub fn on_input(&mut self) -> bool {
        match &mut self.state {
            State::HalfClosed(deadlines) => {
                deadlines.extend_idle(Instant::now());
                true
            }
            _ => false,
        }
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/session_state.rs"]
mod tests;
