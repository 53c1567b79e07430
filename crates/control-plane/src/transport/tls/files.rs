//! The files that hold a certificate, its key and the authority of the peers' certificates.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;

use gaugestep_config::schema;
use rustls::RootCertStore;
use rustls_pki_types::pem::PemObject as _;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

use super::TlsError;

/// Keys as files in PEM form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// The certificate, with those that lead to its authority.
    pub certificate: PathBuf,
    /// Its key.
    pub key: PathBuf,
    /// The authority of the peers' certificates.
    pub authority: PathBuf,
}

/// When each of the files was last changed; a file that is not there has no time.
pub(super) type ChangeTimes = [Option<SystemTime>; 3];

/// The content of the files.
pub(super) struct LoadedKeys {
    pub(super) certificates: Vec<CertificateDer<'static>>,
    pub(super) key: PrivateKeyDer<'static>,
    pub(super) roots: Arc<RootCertStore>,
}

impl TlsFiles {
    /// The files that an operator's configuration names.
    ///
    /// # Errors
    ///
    /// [`TlsError::MissingField`] if one is not named.
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

    pub(super) fn change_times(&self) -> ChangeTimes {
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

/// The keys of one end of a connection, and the name that it expects of the server at the other end.
#[derive(Clone, Debug)]
pub struct TlsIdentity {
    /// The files of the keys.
    pub files: TlsFiles,
    /// The name that the servers' certificates carry.
    pub server_name: String,
}
