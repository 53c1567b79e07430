//! TLS on both sides: keys in files, the configurations made of them, and who is trusted.
//!
//! Both sides show a certificate. Without keys everybody is trusted, so only loopback addresses are allowed.

mod files;
mod reloading;

use std::net::SocketAddr;
use std::path::PathBuf;

use rustls::server::VerifierBuilderError;
use rustls_pki_types::{CertificateDer, ServerName, pem};

pub use files::{TlsFiles, TlsIdentity};
pub use reloading::{ClientTls, ReloadingConfig, ServerTls};

/// Why TLS, or the lack of it, cannot be used as configured.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A file of the keys is not named.
    #[error("'keys.{field}' is missing")]
    MissingField {
        /// The field.
        field: &'static str,
    },
    /// A file cannot be read, or is no PEM file of the kind that is needed.
    #[error("{}: {source}", .path.display())]
    Pem {
        /// The file.
        path: PathBuf,
        /// Why.
        source: pem::Error,
    },
    /// A certificate of an authority cannot be trusted.
    #[error("{}: {source}", .path.display())]
    Authority {
        /// The file.
        path: PathBuf,
        /// Why.
        source: rustls::Error,
    },
    /// The file of the authority holds no certificate.
    #[error("{}: holds no certificate", .path.display())]
    NoAuthority {
        /// The file.
        path: PathBuf,
    },
    /// The peers' certificates cannot be verified with what the authority's file holds.
    #[error(transparent)]
    Verifier(#[from] VerifierBuilderError),
    /// The certificate and its key do not go together.
    #[error(transparent)]
    Configuration(#[from] rustls::Error),
    /// An address that is not loopback is to be used without keys.
    #[error("{address}: without keys only loopback addresses are allowed")]
    PlaintextNotAllowed {
        /// The address.
        address: SocketAddr,
    },
}

/// Whether an address may be used. Without keys everybody is trusted, so only the machine itself may be connected.
///
/// # Errors
///
/// [`TlsError::PlaintextNotAllowed`] if it may not.
pub fn check_address_allowed(address: SocketAddr, has_keys: bool) -> Result<(), TlsError> {
    if has_keys || address.ip().is_loopback() {
        return Ok(());
    }
    Err(TlsError::PlaintextNotAllowed { address })
}

/// Whether `address`, which a peer has sent, is an address that may be used.
pub fn is_address_allowed(address: &str, has_keys: bool) -> bool {
    address.parse().is_ok_and(|address| check_address_allowed(address, has_keys).is_ok())
}

/// Whether a peer's certificate carries this name.
pub fn certificate_is_valid_for(certificate: &CertificateDer<'_>, name: &str) -> bool {
    let Ok(name) = ServerName::try_from(name) else { return false };
    webpki::EndEntityCert::try_from(certificate)
        .is_ok_and(|certificate| certificate.verify_is_valid_for_subject_name(&name).is_ok())
}
