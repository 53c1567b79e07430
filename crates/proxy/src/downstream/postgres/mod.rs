//! The clients' protocol: sessions of simple queries in version 3.0 of the PostgreSQL protocol.
//!
//! One coroutine owns the socket of each session ([`session`]). A query runs in a coroutine of its own, which leaves the
//! answer with the session and wakes it, so that the session notices at any time that its client has left.
//!
//! [`frontend`] parses what clients send, [`backend`] writes what they are sent, [`error`] holds the errors among that, and
//! [`request`] makes a request of a query. [`session_manager`] admits, evicts and ends sessions; others reach a session
//! through its handle in the [`cancel_registry`].

mod backend;
mod cancel_registry;
mod client_handle;
mod error;
mod frontend;
mod request;
mod session;
mod session_end;
mod session_manager;

pub use session_end::SessionEnd;
pub use session_manager::SessionManager;
