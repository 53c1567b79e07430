#![forbid(unsafe_code)]
//! Translates between the simulator's line protocol and the types of the decision module, which makes all
//! decisions.
//!
//! [`Host`] runs one independent dispatcher for each dispatcher id. It handles the protocol line by line, and
//! the line that closes a batch yields the response to the batch. [`fields`] splits a line into fields,
//! [`message`] decodes them, [`reply`] encodes the actions, and [`command`] is the program that connects a
//! host to standard input and output.

pub mod command;
pub mod error;
pub mod fields;
mod host;
mod instance;
pub mod message;
pub mod reply;

pub use error::{LineError, WireError};
pub use host::Host;
pub use reply::write_action;
