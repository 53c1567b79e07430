//! Client sessions: the simple query protocol of PostgreSQL, version 3.0.
//!
//! One coroutine owns the socket of each session ([`session`]). Each query runs in a coroutine of its own,
//! which stores the response for the session and wakes it. So the session coroutine is never blocked by a
//! query, and notices at any time that its client has disconnected or cancelled.
//!
//! [`frontend`] parses the messages of clients, [`backend`] encodes the messages to clients, [`error`]
//! defines the errors that clients receive, and [`request`] builds a request from the text of a query.
//! [`session_manager`] admits, evicts and ends sessions. Other coroutines reach a session through its
//! handle in the [`cancel_registry`].

mod backend;
mod cancel_registry;
mod client_handle;
mod error;
mod frontend;
mod request;
mod result_encoder;
mod session;
mod session_counts;
mod session_end;
mod session_manager;

pub use frontend::CancelKey;
pub use session_end::SessionEnd;
pub use session_manager::SessionManager;
