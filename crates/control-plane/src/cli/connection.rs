//! The options for the connection to the control servers, and the calls that commands make with them.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use gaugestep_config::schema::{Done, Fleet, Show, Shown, Status, call, reply};

use crate::cli::admin_client::{AdminClient, CallError, Delivery};
use crate::cli::exit::{CommandResult, ExitStatus};
use crate::cli::output::Output;
use crate::transport::tls::{TlsFiles, TlsIdentity};

/// The options for the connection to the control servers.
#[derive(Args)]
pub struct ConnectionArgs {
    /// The addresses of the control servers for operators, separated by commas and tried in turn.
    #[arg(long, env = "GAUGESTEP_CONTROL", default_value = "127.0.0.1:9401", value_delimiter = ',')]
    service: Vec<SocketAddr>,
    /// The PEM file with the operator's certificate. Without it, connections are not encrypted.
    #[arg(long, env = "GAUGESTEP_CERTIFICATE", requires_all = ["key", "authority"])]
    certificate: Option<PathBuf>,
    /// The PEM file with the private key of the certificate.
    #[arg(long, env = "GAUGESTEP_KEY", requires = "certificate")]
    key: Option<PathBuf>,
    /// The PEM file with the certificate of the authority that signs the servers' certificates.
    #[arg(long, env = "GAUGESTEP_AUTHORITY", requires = "certificate")]
    authority: Option<PathBuf>,
    /// The name that the servers' certificates must contain.
    #[arg(long, env = "GAUGESTEP_SERVICE_NAME", default_value = "gaugestep-control")]
    service_name: String,
}

/// Whether a call may be sent again after a failure that leaves its outcome unknown.
fn delivery_of(request: &call::What) -> Delivery {
    match request {
        call::What::Publish(publish) if publish.key.is_empty() => Delivery::AtMostOnce,
        call::What::Rollback(rollback) if rollback.key.is_empty() => Delivery::AtMostOnce,
        call::What::HandOver(_) => Delivery::AtMostOnce,
        // All other calls are idempotent: they only read, set a state that the call names, or have a key.
        _ => Delivery::AtLeastOnce,
    }
}

impl ConnectionArgs {
    /// The TLS files and the server name; `None` without a certificate. The parser ensures that certificate,
    /// key and authority are given together.
    fn tls_identity(&self) -> Option<TlsIdentity> {
        let (certificate, key, authority) =
            (self.certificate.clone()?, self.key.clone()?, self.authority.clone()?);
        let files = TlsFiles { certificate, key, authority };
        Some(TlsIdentity { files, server_name: self.service_name.clone() })
    }

    /// Sends a call and returns the response.
    pub(crate) fn call(&self, request: &call::What) -> Result<reply::What, CallError> {
        let client = AdminClient { addresses: self.service.clone(), tls: self.tls_identity() };
        client.call(request, delivery_of(request))
    }

    /// Sends a call whose response contains nothing but that it was carried out, and then prints
    /// `confirmation`.
    pub(crate) fn change(&self, output: Output, request: &call::What, confirmation: &str) -> CommandResult {
        #[derive(serde::Serialize)]
        struct DoneReport {
            done: bool,
        }
        let reply::What::Done(Done {}) = self.call(request)? else {
            return Err(CallError::UnexpectedResponse.into());
        };
        output.print(&DoneReport { done: true }, || format!("{confirmation}\n"));
        Ok(ExitStatus::Success)
    }

    /// Fetches a version with its document; 0 is the newest.
    pub(crate) fn version(&self, number: u64) -> Result<Shown, CallError> {
        match self.call(&call::What::Show(Show { number }))? {
            reply::What::Shown(shown) => Ok(shown),
            _ => Err(CallError::UnexpectedResponse),
        }
    }

    /// Fetches the status of all proxies that the lease holder has a record of.
    pub(crate) fn fleet(&self) -> Result<Fleet, CallError> {
        match self.call(&call::What::Status(Status {}))? {
            reply::What::Fleet(fleet) => Ok(fleet),
            _ => Err(CallError::UnexpectedResponse),
        }
    }
}
