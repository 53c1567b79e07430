//! The proxy between PostgreSQL clients and query engines, with the decision module (the dispatcher) in the
//! process.
//!
//! - `downstream` serves clients, `upstream` manages the connections to engines;
//! - `request_lifecycle` runs each request as the dispatcher decides, through the `facade` of the decision
//!   module;
//! - `discovery` maintains the list of engines, `config_applier` applies configurations;
//! - `server` starts and stops all components, `admin` is the HTTP API for operators, `cli` is the command
//!   line.

mod admin;
mod class_registry;
mod cli;
mod config;
mod config_applier;
mod discovery;
mod downstream;
mod facade;
mod handover;
mod location_ids;
mod log_limit;
mod logging;
mod memory;
pub mod process_exit;
mod query;
mod request_lifecycle;
mod server;
mod termination;
mod upstream;

pub use cli::run;
pub(crate) use gaugestep_coroutine_io::{lock, pacer, stream, task};
