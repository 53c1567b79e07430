#![forbid(unsafe_code)]
//! Translation between the simulator's line protocol and the types of the decision module; nothing is decided here.
//!
//! [`Host`] keeps one independent dispatcher for each dispatcher id, takes the protocol line by line and returns the
//! reply to a batch when its closing line has come. [`fields`] splits a line, [`message`] decodes it, [`reply`] writes
//! the actions, and [`command`] is the program round them.

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
