//! The proxy: PostgreSQL clients in front, databases behind, the decision module between.
//!
//! - `downstream` serves clients, `upstream` keeps the connections to databases;
//! - `request_lifecycle` sees each request through, as the `facade` of the decision module says;
//! - `discovery` keeps the list of databases, `config_applier` puts configurations into force;
//! - `server` starts and stops all of it, `admin` answers operators, `cli` is the command line.

mod admin;
mod class_registry;
mod cli;
mod config;
mod config_applier;
mod discovery;
mod downstream;
mod facade;
mod logging;
pub mod process_exit;
mod query;
mod request_lifecycle;
mod server;
mod termination;
mod upstream;

pub use cli::run;
pub(crate) use gaugestep_coroutine_io::{lock, stream, task};
