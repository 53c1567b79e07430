//! The PEM files of a certificate, its private key and the authority that signs the peers' certificates.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;

use gaugestep_config::schema;
use rustls::RootCertStore;
use rustls_pki_types::pem::PemObject as _;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

use super::TlsError;

/// The paths of the PEM files for TLS.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// The certificate, followed by its intermediate certificates.
    pub certificate: PathBuf,
    /// The private key of the certificate.
    pub key: PathBuf,
    /// The certificates of the authority that signs the peers' certificates.
    pub authority: PathBuf,
}

/// The modification times of the certificate, key and authority files; `None` for a file that cannot be
/// accessed.
pub(super) type ModificationTimes = [Option<SystemTime>; 3];

/// The parsed content of the files.
pub(super) struct LoadedKeys {
    pub(super) certificates: Vec<CertificateDer<'static>>,
    pub(super) key: PrivateKeyDer<'static>,
    pub(super) roots: Arc<RootCertStore>,
}

impl TlsFiles {
    /// Returns the files that an operator's configuration names.
    ///
    /// # Errors
    ///
    /// [`TlsError::MissingField`] if a path is empty.
    pub fn from_config(keys: &schema::Keys) -> Result<Self, TlsError> {
        let path = |field: &'static str, text: &str| match text {
            "" => Err(TlsError::MissingField { field }),
            text => Ok(PathBuf::from(text)),
        };
        Ok(TlsFiles {
            certificate: path("certificate", &keys.certificate)?,
            key: path("key", &keys.key)?,
            authority: path("authority", &keys.authority)?,
        })
    }

    pub(super) fn modification_times(&self) -> ModificationTimes {
        [&self.certificate, &self.key, &self.authority]
            .map(|path| fs::metadata(path).and_then(|metadata| metadata.modified()).ok())
    }

    pub(super) fn load(&self) -> Result<LoadedKeys, TlsError> {
        let roots = load_authority(&self.authority)?;
        let key = PrivateKeyDer::from_pem_file(&self.key)
            .map_err(|source| TlsError::Pem { path: self.key.clone(), source })?;
        let certificates = load_certificates(&self.certificate)?;
        Ok(LoadedKeys { certificates, key, roots: Arc::new(roots) })
    }
}

fn load_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .map_err(|source| TlsError::Pem { path: path.to_owned(), source })
}

fn load_authority(path: &Path) -> Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    for certificate in load_certificates(path)? {
        roots.add(certificate).map_err(|source| TlsError::Authority { path: path.to_owned(), source })?;
    }
    if roots.is_empty() {
        return Err(TlsError::NoAuthority { path: path.to_owned() });
    }
    Ok(roots)
}

/// The TLS files of a client, and the name that it expects in the server's certificate.
#[derive(Clone, Debug)]
pub struct TlsIdentity {
    /// The certificate, key and authority.
    pub files: TlsFiles,
    /// The name that the servers' certificates must contain.
    pub server_name: String,
}
