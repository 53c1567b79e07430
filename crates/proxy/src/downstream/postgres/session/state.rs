//! The state machine of a session.
//!
//! ```text
//! Startup ──> Ready <──> Busy
//!    │         │ ^
//!    │         v │
//!    │     SkipUntilSync
//!    │         │
//!    └────> Closing ──> Draining
//! ```
//!
//! A session whose output has been written in full may also go from any state but `Busy` to `Draining` directly. Every
//! transition is a method of [`SessionState`].

use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::downstream::postgres::client_handle::ClientHandle;
use crate::downstream::postgres::session_end::CloseDeadlines;
use crate::lock;
use crate::query::{Answer, EventSender};
use crate::request_lifecycle::OpenRequestGuard;

/// Where the coroutine of a request leaves the answer for its session.
pub type AnswerSlot = Arc<Mutex<Option<Answer>>>;

/// A query that is running.
pub struct RunningQuery {
    /// Reaches the request's coroutine.
    pub events: EventSender,
    /// Where its answer will be.
    pub answer: AnswerSlot,
    /// The first word of the statement, for the tag of its result.
    pub command: String,
    /// Counts it as open.
    pub open: OpenRequestGuard,
    /// Its client.
    pub client: Arc<ClientHandle>,
}

/// A state of a session.
pub enum State {
    /// Waiting for the startup message.
    Startup,
    /// Waiting for a query.
    Ready,
    /// After an error in the extended query protocol: messages are discarded up to Sync.
    SkipUntilSync,
    /// A query is running.
    Busy(RunningQuery),
    /// No message is accepted any more; the output is being written.
    Closing,
    /// The output has been written and its side of the connection shut down; input is discarded until the client closes
    /// the other side, or a deadline passes.
    Draining(CloseDeadlines),
}

/// The state of a session, which changes by its methods only.
pub struct SessionState {
    state: State,
}

impl SessionState {
    /// The state of a new session.
    pub fn new() -> Self {
        SessionState { state: State::Startup }
    }

    /// The current state.
    pub fn get(&self) -> &State {
        &self.state
    }

    /// Whether the startup message has not come yet.
    pub fn is_startup(&self) -> bool {
        matches!(self.state, State::Startup)
    }

    /// Whether messages are discarded up to Sync.
    pub fn is_skipping(&self) -> bool {
        matches!(self.state, State::SkipUntilSync)
    }

    /// Whether a query is running.
    pub fn is_busy(&self) -> bool {
        matches!(self.state, State::Busy(_))
    }

    /// Whether no message is accepted any more and the output is being written.
    pub fn is_closing(&self) -> bool {
        matches!(self.state, State::Closing)
    }

    /// Whether the output has been shut down.
    pub fn is_draining(&self) -> bool {
        matches!(self.state, State::Draining(_))
    }

    /// Whether the session waits between queries.
    pub fn is_between_queries(&self) -> bool {
        matches!(self.state, State::Ready | State::SkipUntilSync)
    }

    /// Whether the next message may be processed.
    pub fn accepts_messages(&self) -> bool {
        matches!(self.state, State::Startup | State::Ready | State::SkipUntilSync)
    }

    /// The startup message has been accepted.
    pub fn started(&mut self) {
        self.state = State::Ready;
    }

    /// A message of the extended query protocol has been rejected.
    pub fn skip_until_sync(&mut self) {
        self.state = State::SkipUntilSync;
    }

    /// Sync has come.
    pub fn synced(&mut self) {
        self.state = State::Ready;
    }

    /// A query has been started.
    pub fn query_started(&mut self, query: RunningQuery) {
        self.state = State::Busy(query);
    }

    /// Ends the running query if its answer has come, and returns both.
    pub fn take_answer(&mut self) -> Option<(Answer, RunningQuery)> {
        let State::Busy(query) = &self.state else { return None };
        let answer = lock(&query.answer).take()?;
        Some((answer, self.abandon_query()?))
    }

    /// Ends the running query, if any, without its answer.
    pub fn abandon_query(&mut self) -> Option<RunningQuery> {
        match std::mem::replace(&mut self.state, State::Ready) {
            State::Busy(query) => Some(query),
            state => {
                self.state = state;
                None
            }
        }
    }

    /// The session ends once its output has been written. No query may be running.
    pub fn close(&mut self) {
        self.state = State::Closing;
    }

    /// The output has been written and shut down. No query may be running.
    pub fn output_shut_down(&mut self, now: Instant) {
        self.state = State::Draining(CloseDeadlines::new(now));
    }

    /// Input has come. Returns true if it must be discarded, because the output has been shut down.
    pub fn input_received(&mut self) -> bool {
        match &mut self.state {
            State::Draining(deadlines) => {
                deadlines.extend(Instant::now());
                true
            }
            _ => false,
        }
    }
}

#[cfg(test)]
#[path = "../../../../tests/unit/session_state.rs"]
mod tests;
