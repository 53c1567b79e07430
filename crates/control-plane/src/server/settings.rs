//! The settings of a control server, taken from its settings file.

use std::net::SocketAddr;
use std::path::PathBuf;

use gaugestep_config::schema::{self, Member};

use crate::transport::tls::{self, TlsError, TlsFiles};

/// The default of [`Settings::retained_versions`].
const DEFAULT_RETAINED_VERSIONS: u32 = 100;
/// The default of [`Settings::max_streams`].
const DEFAULT_MAX_STREAMS: u32 = 4_096;
/// The default of the member number, for a server that is a group of one.
const DEFAULT_MEMBER_NUMBER: u64 = 1;

/// The reason why settings are rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A required field is empty.
    #[error("'{0}' is missing")]
    Missing(&'static str),
    /// A field is not an IP address with a port.
    #[error("'{field}' is '{value}', no address")]
    InvalidAddress {
        /// The name of the field.
        field: &'static str,
        /// The rejected value of the field.
        value: String,
    },
    /// The TLS key files are incomplete.
    #[error(transparent)]
    Keys(TlsError),
    /// An address is not loopback and no TLS keys are configured.
    #[error(transparent)]
    InsecureAddress(TlsError),
}

/// The TLS key files of the two listeners.
#[derive(Clone, Debug)]
pub struct ListenerKeys {
    /// For the listener of proxies and other members.
    pub proxies: TlsFiles,
    /// For the listener of operators, whose certificates are signed by a separate authority.
    pub operators: TlsFiles,
}

/// The settings of a control server.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address of the listener for proxies and other members.
    pub listen: SocketAddr,
    /// The address of the listener for operators.
    pub operators: SocketAddr,
    /// The file of the store, which contains the versions and the Raft log.
    pub store: PathBuf,
    /// The TLS keys; `None` serves without TLS, on loopback addresses only.
    pub keys: Option<ListenerKeys>,
    /// The number of newest versions to retain, at least 1. Older ones are retained only while a proxy has
    /// them in force or a rollback would restore them.
    pub retained_versions: u32,
    /// The maximum number of concurrent streams, at least 1.
    pub max_streams: usize,
    /// This server as a member of its group.
    pub member: Member,
    /// Whether this server starts with an empty store and waits to be added to a group.
    pub joins: bool,
    /// The name that the certificates of the other members must contain.
    pub service_name: String,
    /// Whether to use the store even if it is a copy or older than its generation file; set by the option
    /// `--restored`.
    pub restored: bool,
}

impl Settings {
    /// Converts and checks the settings of a parsed settings file.
    ///
    /// # Errors
    ///
    /// If a field is missing or not an address, or if an address is not loopback and no TLS keys are
    /// configured.
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
    let Some(key_files) = &config.keys else { return Ok(None) };
    if config.operators_authority.is_empty() {
        return Err(SettingsError::Missing("operators_authority"));
    }
    let proxies = TlsFiles::from_config(key_files).map_err(SettingsError::Keys)?;
    let operators = TlsFiles { authority: PathBuf::from(&config.operators_authority), ..proxies.clone() };
    Ok(Some(ListenerKeys { proxies, operators }))
}

fn parse_address(field: &'static str, value: &str) -> Result<SocketAddr, SettingsError> {
    value.parse().map_err(|_| SettingsError::InvalidAddress { field, value: value.to_owned() })
}

/// The address at which other members reach a listener: `value`, or the listener's own address if `value` is
/// empty.
fn advertised_address(field: &'static str, value: &str, listen: SocketAddr) -> Result<String, SettingsError> {
    let address = if value.is_empty() { listen } else { parse_address(field, value)? };
    Ok(address.to_string())
}
