//! The databases' protocol: commands and messages of one line each, with many attempts on one connection.
//!
//! Each database has a pool of connections ([`pool`]), and one coroutine owns the socket of each ([`connection`]). An attempt
//! is queued with a connection, whose coroutine is then woken and writes the command as soon as the socket accepts it. Until
//! its first byte has been written, an attempt can be cancelled, rejected or moved to another connection, and the database
//! never learns of it.
//!
//! [`connection_state`] holds what others may reach of a connection, [`attempt`] what is known of each attempt on it.
//! [`command`] writes commands, [`message`] parses what databases send, [`health`] judges whether a connection still works,
//! and the [`sweeper`] asks it at regular intervals.

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
