//! The configuration file, a JSON file that the platform writes for the proxy.

mod decode;
mod error;
mod shape;

use std::net::SocketAddr;
use std::path::Path;

use gaugestep_dispatch::Settings;
use serde_json::Value;

pub use self::error::{ConfigError, DecodeError};
use self::shape::missing_key;

/// Minimum number of descriptors that the proxy needs.
const MIN_DESCRIPTORS: usize = 64;

/// Resource limits of the process, which stay as they were at its start.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of descriptors that the process may open.
    pub descriptors: usize,
    /// Maximum memory that the process may use, in bytes.
    pub memory_bytes: usize,
}

/// Settings of the connections to engines.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSettings {
    /// Maximum number of concurrent attempts on one connection to an engine.
    pub max_attempts_per_connection: usize,
    /// Timeout for connecting to an engine, in milliseconds.
    pub dial_timeout_ms: u64,
    /// Time after which engines close idle connections, in milliseconds.
    pub engine_idle_timeout_ms: u64,
}

/// The names that requests and endpoints use for items of the settings, in the order of the settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of request classes.
    pub classes: Vec<String>,
    /// Names of tenants; empty if the settings define none.
    pub tenants: Vec<String>,
    /// Names of zones.
    pub zones: Vec<String>,
    /// Names of machine types.
    pub machine_types: Vec<String>,
}

/// The decoded configuration file.
#[derive(Clone, Debug)]
pub struct Config {
    /// The proxy's name in the fleet.
    pub name: String,
    /// The address on which the proxy listens for clients.
    pub listen_address: SocketAddr,
    /// Seed of the dispatcher's random number generator.
    pub seed: u64,
    /// The address of the HTTP API for operators; `None` disables the API.
    pub admin_address: Option<SocketAddr>,
    /// The coordinator's address; `None` if there is no coordinator to follow.
    pub coordinator_address: Option<SocketAddr>,
    /// The index of the last event in `initial_events`.
    pub initial_event_index: u64,
    /// The coordinator's events up to the time when the file was written.
    pub initial_events: Vec<Value>,
    /// The dispatcher's settings.
    pub settings: Settings,
    /// The names of classes, tenants, zones and machine types in the settings.
    pub names: Names,
    /// Resource limits of the process.
    pub limits: Limits,
    /// Settings of the connections to engines.
    pub connections: ConnectionSettings,
    /// Maximum number of open requests.
    pub max_open: usize,
    /// The longest deadline of all classes, in milliseconds; infinite if no class has a deadline.
    pub longest_deadline_ms: f64,
}

impl Config {
    /// Loads a configuration file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or is not a valid configuration.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let json = read_json(path)?;
        Self::decode(&json, path)
    }

    /// Reloads a configuration file. `initial_json` is its content at the start of the process.
    ///
    /// # Errors
    ///
    /// As for [`Config::load`], and if a key of `initial_json` is missing from the file.
    pub fn reload(path: &Path, initial_json: &Value) -> Result<Self, ConfigError> {
        let json = read_json(path)?;
        match missing_key(initial_json, &json) {
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
/// Returns an error if the file cannot be read, or is not JSON.
pub fn read_json(path: &Path) -> Result<Value, ConfigError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ConfigError::Read { path: path.to_owned(), source })?;
    serde_json::from_str(&text).map_err(|source| ConfigError::NotJson { path: path.to_owned(), source })
}
