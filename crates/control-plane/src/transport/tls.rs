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
pub struct Files {
    /// The certificate, with those that lead to its authority.
    pub certificate: PathBuf,
    /// Its key.
    pub key: PathBuf,
    /// Who signs the peers' certificates.
    pub authority: PathBuf,
}

impl Files {
    /// As an operator's file names them.
    pub fn of(keys: &schema::Keys) -> Result<Self, String> {
        for (field, path) in
            [("certificate", &keys.certificate), ("key", &keys.key), ("authority", &keys.authority)]
        {
            if path.is_empty() {
                return Err(format!("'keys.{field}' is missing"));
            }
        }
        let path = |text: &String| PathBuf::from(text);
        Ok(Files {
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

    fn read(&self) -> Result<Read, String> {
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
        Ok(Read { certificates: certificates(&self.certificate)?, key, roots: Arc::new(roots) })
    }
}

struct Read {
    certificates: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    roots: Arc<RootCertStore>,
}

fn provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn server(read: Read) -> Result<Arc<ServerConfig>, String> {
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

fn client(read: Read) -> Result<Arc<ClientConfig>, String> {
    ClientConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()
        .and_then(|builder| {
            builder.with_root_certificates(read.roots).with_client_auth_cert(read.certificates, read.key)
        })
        .map(Arc::new)
        .map_err(|error| error.to_string())
}

/// What has been read of files, with their times then.
struct Kept<T> {
    config: Arc<T>,
    changed: [Option<SystemTime>; 3],
}

/// A configuration that follows its files.
pub struct Following<T> {
    files: Files,
    make: fn(Read) -> Result<Arc<T>, String>,
    kept: Mutex<Kept<T>>,
}

impl<T> Following<T> {
    fn start(files: Files, make: fn(Read) -> Result<Arc<T>, String>) -> Result<Self, String> {
        let changed = files.changed();
        let config = files.read().and_then(make)?;
        Ok(Following { files, make, kept: Mutex::new(Kept { config, changed }) })
    }

    /// Reads the files anew if they have changed. What cannot be used is told, and the old keys stay. Reads files: not
    /// for coroutines.
    pub fn look(&self) {
        let changed = self.files.changed();
        if lock(&self.kept).changed == changed {
            return;
        }
        match self.files.read().and_then(self.make) {
            Ok(config) => {
                *lock(&self.kept) = Kept { config, changed };
                tracing::info!(certificate = %self.files.certificate.display(), "took new keys");
            }
            // Key and certificate are replaced one behind the other: the next look finds both.
            Err(error) => tracing::warn!("the old keys stay: {error}"),
        }
    }

    /// The configuration for the next stream.
    pub fn now(&self) -> Arc<T> {
        lock(&self.kept).config.clone()
    }
}

/// A service's keys.
pub type ServerKeys = Following<ServerConfig>;
/// A proxy's or an operator's keys.
pub type ClientKeys = Following<ClientConfig>;

impl ServerKeys {
    /// Reads the keys of a service, which asks its peers for theirs.
    pub fn serve(files: Files) -> Result<Self, String> {
        Following::start(files, server)
    }
}

impl ClientKeys {
    /// Reads the keys of a client.
    pub fn connect(files: Files) -> Result<Self, String> {
        Following::start(files, client)
    }
}

/// Without keys everybody is believed, so only the machine itself may be talked to.
pub fn allowed(address: SocketAddr, keys: bool) -> Result<(), String> {
    match keys || address.ip().is_loopback() {
        true => Ok(()),
        false => Err(format!("{address}: without keys only loopback addresses are allowed")),
    }
}

/// The same of an address that a service names.
pub fn allowed_text(address: &str, keys: bool) -> bool {
    address.parse().is_ok_and(|address| allowed(address, keys).is_ok())
}

/// Whether a peer's certificate carries this name.
pub fn carries(certificate: &CertificateDer<'_>, name: &str) -> bool {
    let Ok(name) = ServerName::try_from(name) else { return false };
    webpki::EndEntityCert::try_from(certificate)
        .is_ok_and(|certificate| certificate.verify_is_valid_for_subject_name(&name).is_ok())
}
