#![forbid(unsafe_code)]
//! The decision module: which engine a request is sent to, when an attempt is cancelled and relaunched,
//! whether it is retried and which requests are rejected.
//!
//! A [`Dispatcher`] takes [`Event`]s and returns [`Action`]s. It does no I/O, reads no clock and starts no
//! thread. The same seed and the same events give the same actions.

mod dispatcher;
mod engines;
pub mod interface;
mod policy;
mod requests;
mod stats;

// The unit tests of the private modules are in tests/parts/.
#[cfg(test)]
extern crate self as gaugestep_dispatch;
#[cfg(test)]
#[path = "../tests/parts/mod.rs"]
mod parts;

pub use dispatcher::Dispatcher;
pub use interface::{Action, Event, Settings};
