//! The configuration that the platform gives the proxy, as a JSON file.

mod decode;
mod error;
mod shape;

use std::net::SocketAddr;
use std::path::Path;

use gaugestep_dispatch::Settings;
use serde_json::Value;

pub use self::error::{ConfigError, DecodeError};
use self::shape::missing_key;

/// The fewest descriptors with which the proxy can run.
const MIN_DESCRIPTORS: usize = 64;

/// The limits that the proxy observes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Descriptors that the process may hold.
    pub descriptors: usize,
    /// Memory that the process may hold, in bytes.
    pub memory_bytes: usize,
    /// Attempts that one connection to a database carries together.
    pub max_attempts_per_connection: usize,
    /// How long it may take to connect to a database, in milliseconds.
    pub dial_timeout_ms: u64,
    /// Idle connections are closed by the databases after this time, in milliseconds.
    pub engine_idle_timeout_ms: u64,
    /// Requests that may be open together.
    pub max_open: usize,
    /// The longest deadline of all classes, in milliseconds; infinite if none has one.
    pub longest_deadline_ms: f64,
}

/// The names that the protocol uses, in the order of the settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Tenants; may be empty.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub machines: Vec<String>,
}

/// The whole configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The proxy's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The seed of the dispatcher's random draws.
    pub seed: u64,
    /// The address of the HTTP API for operators, if there is one.
    pub management: Option<SocketAddr>,
    /// The coordinator's address, if there is one.
    pub coordinator: Option<SocketAddr>,
    /// The number of the last event in `known`.
    pub known_index: u64,
    /// The coordinator's events so far.
    pub known: Vec<Value>,
    /// The dispatcher's settings.
    pub settings: Settings,
    /// Names of the settings.
    pub names: Names,
    /// Limits.
    pub limits: Limits,
}

impl Config {
    /// Reads a configuration file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or is not a valid configuration.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let json = read(path)?;
        Self::decode(&json, path)
    }

    /// Reads a configuration file again.
    ///
    /// # Errors
    ///
    /// As for [`Config::load`], and if the file lacks a key that `shape` has, the file as it was at the start.
    pub fn reload(path: &Path, shape: &Value) -> Result<Self, ConfigError> {
        let json = read(path)?;
        match missing_key(shape, &json) {
            Some(key) => {
                Err(ConfigError::Invalid { path: path.to_owned(), source: DecodeError::Missing(key) })
            }
            None => Self::decode(&json, path),
        }
    }

    fn decode(json: &Value, path: &Path) -> Result<Self, ConfigError> {
        decode::decode(json).map_err(|source| ConfigError::Invalid { path: path.to_owned(), source })
    }
}

/// Reads a file as JSON.
///
/// # Errors
///
/// If the file cannot be read, or is not JSON.
pub fn read(path: &Path) -> Result<Value, ConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigError::Read { path: path.to_owned(), source })?;
    serde_json::from_str(&text).map_err(|source| ConfigError::NotJson { path: path.to_owned(), source })
}
