//! The control plane: versioned configuration for a fleet of proxies, agreed on by a group of members.
//!
//! The decisions are made in crates without I/O (`gaugestep-config`, `gaugestep-leadership`,
//! `gaugestep-subsetting`). This crate does the I/O around them:
//!
//! - [`raft`] replicates the state of the group to its members;
//! - [`server`] serves proxies, operators and other members;
//! - [`client`] is a proxy's side of the configuration stream;
//! - [`cli`] is the command line of `gaugestep-control`, including the client for operator calls;
//! - [`transport`] carries length-prefixed messages, over TLS if keys are configured.

pub mod cli;
pub mod client;
pub mod clock;
mod error;
pub mod failpoints;
pub mod raft;
pub mod server;
pub mod text_file;
pub mod transport;

use gaugestep_coroutine_io::lock;

pub use error::error_line;
pub use text_file::read_text_file;
