//! How a control server runs, as its file says.

use std::net::SocketAddr;
use std::path::PathBuf;

use gaugestep_config::schema::{self, Member};

use crate::transport::tls::{self, TlsError, TlsFiles};

/// Versions that are kept at least, where the file does not say.
const DEFAULT_RETAINED_VERSIONS: u32 = 100;
/// Streams that may be open together, where the file does not say.
const DEFAULT_MAX_STREAMS: u32 = 4_096;
/// The number of a member whose file names none: it is alone.
const DEFAULT_MEMBER_NUMBER: u64 = 1;

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A field that is needed is empty.
    #[error("'{0}' is missing")]
    Missing(&'static str),
    /// A field is no address.
    #[error("'{field}' is '{value}', no address")]
    InvalidAddress {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// The keys are not complete.
    #[error(transparent)]
    Keys(TlsError),
    /// An address may not be served without TLS.
    #[error(transparent)]
    InsecureAddress(TlsError),
}

/// The files of keys for the two listeners.
#[derive(Clone, Debug)]
pub struct ListenerKeys {
    /// For proxies and the other members.
    pub proxies: TlsFiles,
    /// For operators, whose certificates another authority signs.
    pub operators: TlsFiles,
}

/// How a server runs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where proxies and the other members connect.
    pub listen: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// The file in which versions are kept.
    pub store: PathBuf,
    /// Keys; without them only loopback addresses are served.
    pub keys: Option<ListenerKeys>,
    /// Versions that are kept at least.
    pub retained_versions: u32,
    /// Streams that may be open together.
    pub max_streams: usize,
    /// This server as a member of its group.
    pub member: Member,
    /// It has an empty store and waits to be added.
    pub joins: bool,
    /// The name that the other members' certificates carry.
    pub service_name: String,
    /// The store is used although it is a copy, or older than its generation file.
    pub restored: bool,
}

impl Settings {
    /// Takes the settings from the server's file.
    ///
    /// # Errors
    ///
    /// If a field is missing or is no address, or if an address that is not loopback would be served without keys.
    pub fn from_schema(config: &schema::Service) -> Result<Self, SettingsError> {
        let keys = listener_keys(config)?;
        if config.store.is_empty() {
            return Err(SettingsError::Missing("store"));
        }
        let listen = parse_address("listen", &config.listen)?;
        let operators = parse_address("operators", &config.operators)?;
        for address in [listen, operators] {
            tls::check_address_allowed(address, keys.is_some()).map_err(SettingsError::InsecureAddress)?;
        }
        let group = config.group.clone().unwrap_or_default();
        if keys.is_some() && config.group.is_some() && group.service_name.is_empty() {
            return Err(SettingsError::Missing("group.service_name"));
        }
        let member = Member {
            number: if group.member == 0 { DEFAULT_MEMBER_NUMBER } else { group.member },
            listen: advertised_address("group.listen_as", &group.listen_as, listen)?,
            operators: advertised_address("group.operators_as", &group.operators_as, operators)?,
            ..Member::default()
        };
        Ok(Settings {
            listen,
            operators,
            store: PathBuf::from(&config.store),
            keys,
            retained_versions: config.keep.unwrap_or(DEFAULT_RETAINED_VERSIONS).max(1),
            max_streams: config.streams.unwrap_or(DEFAULT_MAX_STREAMS).max(1) as usize,
            member,
            joins: group.joins,
            service_name: group.service_name,
            restored: false,
        })
    }
}

fn listener_keys(config: &schema::Service) -> Result<Option<ListenerKeys>, SettingsError> {
    let Some(files) = &config.keys else { return Ok(None) };
    if config.operators_authority.is_empty() {
        return Err(SettingsError::Missing("operators_authority"));
    }
    let proxies = TlsFiles::from_config(files).map_err(SettingsError::Keys)?;
    let operators = TlsFiles { authority: PathBuf::from(&config.operators_authority), ..proxies.clone() };
    Ok(Some(ListenerKeys { proxies, operators }))
}

fn parse_address(field: &'static str, value: &str) -> Result<SocketAddr, SettingsError> {
    value.parse().map_err(|_| SettingsError::InvalidAddress { field, value: value.to_owned() })
}

/// The address under which others reach a listener: its own one if none is set.
fn advertised_address(field: &'static str, value: &str, listen: SocketAddr) -> Result<String, SettingsError> {
    let address = if value.is_empty() { listen } else { parse_address(field, value)? };
    Ok(address.to_string())
}
