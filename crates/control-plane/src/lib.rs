//! The control service of versioned configuration and the proxies' side of its stream.
//!
//! What is decided is decided in `gaugestep-config`; here are the shells that do its I/O: [`server`] keeps versions and
//! talks to proxies and operators, [`client`] is a proxy's side, [`cli::admin_client`] an operator's command's. All talk over a
//! [`transport::connection::FramedConnection`]: messages behind their length, over TLS where there are [`transport::tls`].

pub mod cli;
pub mod client;
pub mod clock;
pub mod failpoints;
pub mod raft;
pub mod server;
pub mod transport;

use std::path::Path;

use gaugestep_config::text;
use gaugestep_coroutine_io::lock;

/// Reads a message of this name from a file of protobuf text format; the error is one plain line that names the file.
pub fn read_text_file<M: prost::Message + Default>(name: &str, path: &Path) -> Result<M, String> {
    let told = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    text::read(name, &told).map_err(|error| format!("{}: {error}", path.display()))
}
