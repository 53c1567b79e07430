//! Mutual TLS: key files, the configurations built from them, and the verification of peers.
//!
//! Both sides present a certificate. Without keys there is no authentication, so only loopback addresses are
//! allowed.

mod files;
mod reloading;

use std::net::SocketAddr;
use std::path::PathBuf;

use rustls::server::VerifierBuilderError;
use rustls_pki_types::{CertificateDer, ServerName, pem};

pub use files::{TlsFiles, TlsIdentity};
pub use reloading::{ClientTls, ReloadingConfig, ServerTls};

/// Why the TLS settings, or their absence, are invalid.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// The path of a file is empty.
    #[error("'keys.{field}' is missing")]
    MissingField {
        /// The field that contains the path.
        field: &'static str,
    },
    /// A file cannot be read, or does not contain the required PEM section.
    #[error("{}: {source}", .path.display())]
    Pem {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: pem::Error,
    },
    /// A certificate in the authority file cannot be used as a trust anchor.
    #[error("{}: {source}", .path.display())]
    Authority {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: rustls::Error,
    },
    /// The authority file contains no certificate.
    #[error("{}: holds no certificate", .path.display())]
    NoAuthority {
        /// The file.
        path: PathBuf,
    },
    /// The verifier of client certificates cannot be built from the authority file.
    #[error(transparent)]
    Verifier(#[from] VerifierBuilderError),
    /// The TLS library rejected the configuration, for example as the key does not match the certificate.
    #[error(transparent)]
    Configuration(#[from] rustls::Error),
    /// An address other than a loopback address is used without keys.
    #[error("{address}: without keys only loopback addresses are allowed")]
    PlaintextNotAllowed {
        /// The address.
        address: SocketAddr,
    },
}

/// Checks whether an address may be used. Without keys there is no authentication, so only loopback addresses
/// are allowed.
///
/// # Errors
///
/// [`TlsError::PlaintextNotAllowed`] if the address may not be used.
pub fn check_address_allowed(address: SocketAddr, uses_tls: bool) -> Result<(), TlsError> {
    if uses_tls || address.ip().is_loopback() {
        return Ok(());
    }
    Err(TlsError::PlaintextNotAllowed { address })
}

/// Whether `address`, a text received from a peer, is a valid address that may be used.
pub fn is_address_allowed(address: &str, uses_tls: bool) -> bool {
    address.parse().is_ok_and(|address| check_address_allowed(address, uses_tls).is_ok())
}

/// Whether a peer's certificate contains this name.
pub fn certificate_is_valid_for(certificate: &CertificateDer<'_>, name: &str) -> bool {
    let Ok(name) = ServerName::try_from(name) else { return false };
    webpki::EndEntityCert::try_from(certificate)
        .is_ok_and(|certificate| certificate.verify_is_valid_for_subject_name(&name).is_ok())
}
