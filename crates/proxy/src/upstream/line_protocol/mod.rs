//! The line protocol of the engines: commands and messages of one line each, with many attempts on one
//! connection.
//!
//! Each engine has a pool of connections ([`pool`]), and the socket of each connection is owned by one
//! coroutine ([`connection`]). An attempt is queued on a connection, whose coroutine is then woken and writes
//! the command as soon as the socket accepts it. Until its first byte has been written, an attempt can be
//! cancelled, rejected or moved to another connection, and the engine receives no part of it.
//!
//! [`connection_state`] is the part of a connection that other coroutines share, [`attempt`] is the state of
//! an attempt on it, and [`handle`] cancels an attempt or changes its priority. [`command`] encodes commands,
//! and [`message`] parses what engines send. [`health`] decides when a silent connection is checked or
//! closed, and the [`sweeper`] runs these checks periodically.

mod attempt;
mod command;
mod connection;
mod connection_state;
mod handle;
mod health;
mod message;
mod pool;
mod sweeper;

pub use handle::UpstreamHandle;
pub use pool::UpstreamPool;
