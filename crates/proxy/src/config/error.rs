//! Why a configuration cannot be used.

use std::error::Error;
use std::io;
use std::path::PathBuf;

use gaugestep_dispatch::interface::SettingsError;
use serde_json::Value;

/// Why a configuration file cannot be used. The message names the file; the source says what is wrong with it.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What failed.
        source: io::Error,
    },
    /// The file is not JSON.
    #[error("{}: not JSON", path.display())]
    NotJson {
        /// The file.
        path: PathBuf,
        /// Where the text is wrong.
        source: serde_json::Error,
    },
    /// The file is JSON, but not a valid configuration.
    #[error("{}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: DecodeError,
    },
}

/// Why JSON is not a valid configuration.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// A key is missing.
    #[error("'{0}' is missing")]
    Missing(String),
    /// A text is not an address.
    #[error("'{key}' is '{text}', no address")]
    NotAnAddress {
        /// The key.
        key: &'static str,
        /// Its value.
        text: String,
    },
    /// A value is not a text.
    #[error("'{key}' is {value}, not a text")]
    NotText {
        /// The key.
        key: &'static str,
        /// Its value.
        value: Value,
    },
    /// The seed is negative, too large or a fraction.
    #[error("'seed' is out of range")]
    SeedOutOfRange,
    /// The seed is a text, but not a hexadecimal number.
    #[error("'seed' is '{0}', not a hexadecimal number")]
    SeedNotHexadecimal(String),
    /// The seed is neither a number nor a text.
    #[error("'seed' is {0}, no number")]
    SeedNotANumber(Value),
    /// A value is not a number, or below 0.
    #[error("'{key}' is {value}, not a number of 0 or more")]
    Negative {
        /// The key.
        key: &'static str,
        /// Its value.
        value: Value,
    },
    /// A value is not a number, or not above 0.
    #[error("'{key}' is {value}, not a number above 0")]
    NotPositive {
        /// The key.
        key: &'static str,
        /// Its value.
        value: Value,
    },
    /// A class of requests has no name.
    #[error("a class of 'services' has no name")]
    UnnamedClass,
    /// The process may hold too few descriptors.
    #[error("'limits.sockets' must be {min} or more", min = super::MIN_DESCRIPTORS)]
    TooFewDescriptors,
    /// The dispatcher's settings cannot be decoded.
    #[error(transparent)]
    Settings(Box<dyn Error + Send + Sync>),
    /// The dispatcher's settings are invalid.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
}
