//! The control service of versioned configuration and the proxies' side of its stream.
//!
//! What is decided is decided in `gaugestep-config`; here are the shells that do its I/O: [`service`] keeps versions and
//! talks to proxies and operators, [`follow`] is a proxy's side, [`call`] an operator's command's. All talk over a
//! [`channel::Channel`]: messages behind their length, over TLS where there are [`keys`].

pub mod backoff;
pub mod call;
mod calls;
pub mod channel;
pub mod cli;
pub mod clock;
mod commands;
mod driving;
pub mod follow;
pub mod frame;
pub mod group;
mod group_commands;
pub mod keys;
mod node;
mod opened;
pub mod peers;
mod raft_log;
mod raft_wire;
pub mod seams;
mod seating;
pub mod service;

use std::path::Path;

use gaugestep_config::text;
use gaugestep_coroutine_io::lock;

/// Reads a message of this name from a file of protobuf text format; the error is one plain line that names the file.
pub fn read_file<M: prost::Message + Default>(name: &str, path: &Path) -> Result<M, String> {
    let told = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    text::read(name, &told).map_err(|error| format!("{}: {error}", path.display()))
}
