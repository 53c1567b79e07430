//! The control plane: versioned configuration for a fleet of proxies, agreed on by a group of members.
//!
//! What is decided is decided in crates without I/O (`gaugestep-config`, `gaugestep-leadership`, `gaugestep-subsetting`);
//! here are the programs' parts round them that do the I/O:
//!
//! - [`raft`] replicates the state of the group on its members;
//! - [`server`] serves proxies, operators and other members;
//! - [`client`] is a proxy's side of the configuration stream;
//! - [`cli`] is the command line of `gaugestep-control`, with the client for operators' calls;
//! - [`transport`] carries their messages: behind their length, over TLS where there are keys.

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
