//! TLS configurations that are reloaded when their key files change.

use std::sync::{Arc, Mutex};

use rustls::crypto::CryptoProvider;
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, ServerConfig};

use crate::lock;

use super::TlsError;
use super::files::{LoadedKeys, ModificationTimes, TlsFiles};

/// A TLS configuration that is rebuilt when its key files change. Open connections keep the configuration
/// with which they were opened.
pub struct ReloadingConfig<T> {
    files: TlsFiles,
    build: fn(LoadedKeys) -> Result<T, TlsError>,
    current: Mutex<BuiltConfig<T>>,
}

/// A configuration, and the modification times of the files from which it was built.
struct BuiltConfig<T> {
    config: Arc<T>,
    modification_times: ModificationTimes,
}

/// The TLS configuration of a server.
pub type ServerTls = ReloadingConfig<ServerConfig>;
/// The TLS configuration of a client: a proxy, a member that connects to another member, or an operator
/// command.
pub type ClientTls = ReloadingConfig<ClientConfig>;

impl ServerTls {
    /// Loads the keys of a server, which requires client certificates.
    ///
    /// # Errors
    ///
    /// [`TlsError`] if the keys cannot be used.
    pub fn load(files: TlsFiles) -> Result<Self, TlsError> {
        ReloadingConfig::new(files, build_server_config)
    }
}

impl ClientTls {
    /// Loads the keys of a client.
    ///
    /// # Errors
    ///
    /// [`TlsError`] if the keys cannot be used.
    pub fn load(files: TlsFiles) -> Result<Self, TlsError> {
        ReloadingConfig::new(files, build_client_config)
    }
}

impl<T> ReloadingConfig<T> {
    fn new(files: TlsFiles, build: fn(LoadedKeys) -> Result<T, TlsError>) -> Result<Self, TlsError> {
        // Read before the files, so that the next check notices a change made while they are read.
        let modification_times = files.modification_times();
        let config = Arc::new(files.load().and_then(build)?);
        Ok(ReloadingConfig { files, build, current: Mutex::new(BuiltConfig { config, modification_times }) })
    }

    /// Reloads the keys if their files have changed. If the new keys are invalid, logs that and keeps the
    /// previous ones.
    ///
    /// Reads files, which blocks, so it must not be called from a coroutine.
    pub fn reload_if_changed(&self) {
        let modification_times = self.files.modification_times();
        if lock(&self.current).modification_times == modification_times {
            return;
        }
        match self.files.load().and_then(self.build) {
            Ok(config) => {
                *lock(&self.current) = BuiltConfig { config: Arc::new(config), modification_times };
                tracing::info!(certificate = %self.files.certificate.display(), "keys reloaded");
            }
            // An operator may have replaced only one of certificate and key yet; the next check retries.
            Err(error) => {
                tracing::warn!("the changed keys are invalid, the previous ones stay in use: {error}");
            }
        }
    }

    /// The configuration for the next connection.
    pub fn current(&self) -> Arc<T> {
        lock(&self.current).config.clone()
    }
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn build_server_config(keys: LoadedKeys) -> Result<ServerConfig, TlsError> {
    let verifier = WebPkiClientVerifier::builder_with_provider(keys.roots, provider()).build()?;
    let config = ServerConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()?
        .with_client_cert_verifier(verifier)
        .with_single_cert(keys.certificates, keys.key)?;
    Ok(config)
}

fn build_client_config(keys: LoadedKeys) -> Result<ClientConfig, TlsError> {
    let config = ClientConfig::builder_with_provider(provider())
        .with_safe_default_protocol_versions()?
        .with_root_certificates(keys.roots)
        .with_client_auth_cert(keys.certificates, keys.key)?;
    Ok(config)
}
