//! Errors of configuration files.

use std::io;
use std::path::PathBuf;

use gaugestep_dispatch::interface::SettingsError;
use gaugestep_settings::SettingError;
use serde_json::Value;

/// The reason why a configuration file cannot be used. The message names the file, and the source the error
/// in it.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}", path.display())]
    Read {
        /// The configuration file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is not JSON.
    #[error("{}: not JSON", path.display())]
    NotJson {
        /// The configuration file.
        path: PathBuf,
        /// The syntax error with its position.
        source: serde_json::Error,
    },
    /// The file is JSON, but not a valid configuration.
    #[error("{}", path.display())]
    Invalid {
        /// The configuration file.
        path: PathBuf,
        /// The first error in the configuration.
        source: DecodeError,
    },
}

/// The reason why a JSON value is not a valid configuration.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// A required key is missing.
    #[error("'{0}' is missing")]
    Missing(String),
    /// A string is not a socket address.
    #[error("'{key}' is '{text}', no address")]
    NotAnAddress {
        /// The key in the configuration.
        key: &'static str,
        /// The value of the key.
        text: String,
    },
    /// A value is not a string.
    #[error("'{key}' is {value}, not a text")]
    NotText {
        /// The key in the configuration.
        key: &'static str,
        /// The value of the key.
        value: Value,
    },
    /// The seed is a number but not an unsigned 64-bit integer.
    #[error("'seed' is out of range")]
    SeedOutOfRange,
    /// The seed is a string but not a hexadecimal number of at most 64 bits.
    #[error("'seed' is '{0}', not a hexadecimal number")]
    SeedNotHexadecimal(String),
    /// The seed is neither a number nor a string.
    #[error("'seed' is {0}, no number")]
    SeedNotANumber(Value),
    /// A value is not a number, or is below 0.
    #[error("'{key}' is {value}, not a number of 0 or more")]
    Negative {
        /// The key in the configuration.
        key: &'static str,
        /// The value of the key.
        value: Value,
    },
    /// A value is not a number, or is not above 0.
    #[error("'{key}' is {value}, not a number above 0")]
    NotPositive {
        /// The key in the configuration.
        key: &'static str,
        /// The value of the key.
        value: Value,
    },
    /// A request class has no name.
    #[error("a class of 'services' has no name")]
    UnnamedClass,
    /// The process may open fewer descriptors than the proxy needs.
    #[error("'limits.sockets' must be {min} or more", min = super::MIN_DESCRIPTORS)]
    TooFewDescriptors,
    /// The dispatcher's settings cannot be decoded.
    #[error(transparent)]
    Settings(#[from] SettingError),
    /// The dispatcher's settings are invalid.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
}
