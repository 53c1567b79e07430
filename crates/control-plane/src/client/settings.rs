//! Settings of a proxy's connection to the control servers.

use std::net::SocketAddr;
use std::path::PathBuf;

use gaugestep_config::schema;

use crate::transport::tls::{self, TlsError, TlsFiles, TlsIdentity};

/// Settings of a proxy's connection to the control servers.
#[derive(Clone, Debug)]
pub struct SubscriberSettings {
    /// The proxy's name.
    pub proxy: String,
    /// The proxy's build, which operators see.
    pub build: String,
    /// The addresses of the control servers, tried in turn.
    pub servers: Vec<SocketAddr>,
    /// The directory of the last good version and of the highest terms.
    pub state_directory: PathBuf,
    /// The proxy's TLS certificate and key, and the name expected of the servers; `None` without TLS.
    pub tls: Option<TlsIdentity>,
    /// The seed of the random delays between connection attempts, and part of the random number that
    /// identifies the process (its incarnation).
    pub seed: u64,
}

/// Why an operator's settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SubscriberSettingsError {
    /// A required field is absent.
    #[error("'control.{field}' is missing")]
    MissingField {
        /// The field.
        field: &'static str,
    },
    /// An entry of the list of servers is not an IP address with a port.
    #[error("'control.services' names '{text}', no address")]
    InvalidAddress {
        /// The entry.
        text: String,
    },
    /// The TLS keys cannot be used, or are missing where they are required.
    #[error(transparent)]
    Tls(#[from] TlsError),
}

impl SubscriberSettings {
    /// Validates the `control` section of an operator's file. `seed` should differ from proxy to proxy.
    ///
    /// # Errors
    ///
    /// [`SubscriberSettingsError`] for the first invalid field.
    pub fn from_config(
        config: &schema::Control,
        proxy: &str,
        build: &str,
        seed: u64,
    ) -> Result<Self, SubscriberSettingsError> {
        let servers =
            config.services.iter().map(|text| parse_address(text)).collect::<Result<Vec<_>, _>>()?;
        if servers.is_empty() {
            return Err(SubscriberSettingsError::MissingField { field: "services" });
        }
        if config.state.is_empty() {
            return Err(SubscriberSettingsError::MissingField { field: "state" });
        }
        let tls = config.keys.as_ref().map(|keys| tls_identity(keys, &config.service_name)).transpose()?;
        for address in &servers {
            tls::check_address_allowed(*address, tls.is_some())?;
        }
        Ok(SubscriberSettings {
            proxy: proxy.to_owned(),
            build: build.to_owned(),
            servers,
            state_directory: PathBuf::from(&config.state),
            tls,
            seed,
        })
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, SubscriberSettingsError> {
    text.parse().map_err(|_| SubscriberSettingsError::InvalidAddress { text: text.to_owned() })
}

fn tls_identity(keys: &schema::Keys, server_name: &str) -> Result<TlsIdentity, SubscriberSettingsError> {
    if server_name.is_empty() {
        return Err(SubscriberSettingsError::MissingField { field: "service_name" });
    }
    Ok(TlsIdentity { files: TlsFiles::from_config(keys)?, server_name: server_name.to_owned() })
}
