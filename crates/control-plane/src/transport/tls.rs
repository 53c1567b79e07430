//! Keys for TLS on both sides, read anew when their files change. Streams that are open go on under the old ones.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::SystemTime;

use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use rustls_pki_types::pem::PemObject as _;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName};

use gaugestep_config::schema;

use crate::lock;

/// Keys as files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// The certificate, with those that lead to its authority.
    pub certificate: PathBuf,
    /// Its key.
    pub key: PathBuf,
    /// Who signs the peers' certificates.
    pub authority: PathBuf,
}

impl TlsFiles {
    /// As an operator's file names them.
    pub fn from_config(keys: &schema::Keys) -> Result<Self, String> {
        for (field, path) in
            [("certificate", &keys.certificate), ("key", &keys.key), ("authority", &keys.authority)]
        {
            if path.is_empty() {
                return Err(format!("'keys.{field}' is missing"));
            }
        }
        let path = |text: &String| PathBuf::from(text);
        Ok(TlsFiles {
            certificate: path(&keys.certificate),
            key: path(&keys.key),
            authority: path(&keys.authority),
        })
    }

    /// When each was last changed; a file that is not there has no time.
    fn changed(&self) -> [Option<SystemTime>; 3] {
        [&self.certificate, &self.key, &self.authority]
            .map(|path| fs::metadata(path).and_then(|told| told.modified()).ok())
    }

    fn read(&self) -> Result<LoadedKeys, String> {
        let failed = |path: &PathBuf, error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
        let certificates = |path: &PathBuf| {
            let read = CertificateDer::pem_file_iter(path).and_then(Iterator::collect::<Result<Vec<_>, _>>);
            read.map_err(|error| failed(path, &error))
        };
        let mut roots = RootCertStore::empty();
        for certificate in certificates(&self.authority)? {
            roots.add(certificate).map_err(|error| failed(&self.authority, &error))?;
        }
        if roots.is_empty() {
            return Err(failed(&self.authority, &"holds no certificate"));
        }
        let key = PrivateKeyDer::from_pem_file(&self.key).map_err(|error| failed(&self.key, &error))?;
        Ok(LoadedKeys { certificates: certificates(&self.certificate)?, key, roots: Arc::new(roots) })
    }
}

struct LoadedKeys {
    certificates: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn server(read: LoadedKeys) -> Result<Arc<ServerConfig>, String> {
    let verifier = WebPkiClientVerifier::builder_with_provider(read.roots, provider())
        .build()
        .map_err(|error| error.to_string())?;
    ServerConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()
        .and_then(|builder| {
            builder.with_client_cert_verifier(verifier).with_single_cert(read.certificates, read.key)
        })
        .map(Arc::new)
        .map_err(|error| error.to_string())
}

fn client(read: LoadedKeys) -> Result<Arc<ClientConfig>, String> {
    ClientConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()
        .and_then(|builder| {
            builder.with_root_certificates(read.roots).with_client_auth_cert(read.certificates, read.key)
        })
        .map(Arc::new)
        .map_err(|error| error.to_string())
}

/// What has been read of files, with their times then.
struct LoadedConfig<T> {
    config: Arc<T>,
    changed: [Option<SystemTime>; 3],
}

/// A configuration that follows its files.
pub struct ReloadingConfig<T> {
    files: TlsFiles,
    make: fn(LoadedKeys) -> Result<Arc<T>, String>,
    kept: Mutex<LoadedConfig<T>>,
}

impl<T> ReloadingConfig<T> {
    fn start(files: TlsFiles, make: fn(LoadedKeys) -> Result<Arc<T>, String>) -> Result<Self, String> {
        let changed = files.changed();
        let config = files.read().and_then(make)?;
        Ok(ReloadingConfig { files, make, kept: Mutex::new(LoadedConfig { config, changed }) })
    }

    /// Reads the files anew if they have changed. What cannot be used is told, and the old keys stay. Reads files: not
    /// for coroutines.
    pub fn reload_if_changed(&self) {
        let changed = self.files.changed();
        if lock(&self.kept).changed == changed {
            return;
        }
        match self.files.read().and_then(self.make) {
            Ok(config) => {
                *lock(&self.kept) = LoadedConfig { config, changed };
                tracing::info!(certificate = %self.files.certificate.display(), "took new keys");
            }
            // Key and certificate are replaced one behind the other: the next look finds both.
            Err(error) => tracing::warn!("the old keys stay: {error}"),
        }
    }

    /// The configuration for the next stream.
    pub fn current(&self) -> Arc<T> {
        lock(&self.kept).config.clone()
    }
}

/// A service's keys.
pub type ServerTls = ReloadingConfig<ServerConfig>;
/// A proxy's or an operator's keys.
pub type ClientTls = ReloadingConfig<ClientConfig>;

impl ServerTls {
    /// Reads the keys of a service, which asks its peers for theirs.
    pub fn load(files: TlsFiles) -> Result<Self, String> {
        ReloadingConfig::start(files, server)
    }
}

impl ClientTls {
    /// Reads the keys of a client.
    pub fn load(files: TlsFiles) -> Result<Self, String> {
        ReloadingConfig::start(files, client)
    }
}

/// Without keys everybody is believed, so only the machine itself may be talked to.
pub fn check_address_allowed(address: SocketAddr, keys: bool) -> Result<(), String> {
    match keys || address.ip().is_loopback() {
        true => Ok(()),
        false => Err(format!("{address}: without keys only loopback addresses are allowed")),
    }
}

/// The same of an address that a service names.
pub fn is_address_allowed(address: &str, keys: bool) -> bool {
    address.parse().is_ok_and(|address| check_address_allowed(address, keys).is_ok())
}

/// Whether a peer's certificate carries this name.
pub fn certificate_is_valid_for(certificate: &CertificateDer<'_>, name: &str) -> bool {
    let Ok(name) = ServerName::try_from(name) else { return false };
    webpki::EndEntityCert::try_from(certificate)
        .is_ok_and(|certificate| certificate.verify_is_valid_for_subject_name(&name).is_ok())
}
