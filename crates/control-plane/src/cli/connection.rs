//! The options that say how to reach the service, and calls by way of them.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use gaugestep_config::schema::{Done, Fleet, Show, Shown, Status, call, reply};

use crate::cli::admin_client::{AdminClient, CallError, Delivery};
use crate::cli::exit::{CommandResult, ExitStatus};
use crate::cli::output::Output;
use crate::transport::tls::{TlsFiles, TlsIdentity};

/// How to reach the service.
#[derive(Args)]
pub struct ConnectionArgs {
    /// The members' addresses for operators, tried in turn.
    #[arg(long, env = "GAUGESTEP_CONTROL", default_value = "127.0.0.1:9401", value_delimiter = ',')]
    service: Vec<SocketAddr>,
    /// The operator's certificate, as a PEM file; without it, connections are not encrypted.
    #[arg(long, env = "GAUGESTEP_CERTIFICATE", requires_all = ["key", "authority"])]
    certificate: Option<PathBuf>,
    /// The key of the certificate, as a PEM file.
    #[arg(long, env = "GAUGESTEP_KEY", requires = "certificate")]
    key: Option<PathBuf>,
    /// The certificate of the authority that signs the servers' certificates.
    #[arg(long, env = "GAUGESTEP_AUTHORITY", requires = "certificate")]
    authority: Option<PathBuf>,
    /// The name that the servers' certificates carry.
    #[arg(long, env = "GAUGESTEP_SERVICE_NAME", default_value = "gaugestep-control")]
    service_name: String,
}

/// Whether a request may be sent again after a failure that leaves open whether it was carried out.
fn delivery_of(request: &call::What) -> Delivery {
    match request {
        call::What::Publish(publish) if publish.key.is_empty() => Delivery::AtMostOnce,
        call::What::Rollback(rollback) if rollback.key.is_empty() => Delivery::AtMostOnce,
        call::What::HandOver(_) => Delivery::AtMostOnce,
        // The others only read, or name the state that they lead to.
        _ => Delivery::AtLeastOnce,
    }
}

impl ConnectionArgs {
    /// The keys, if they are given; the options require each other.
    fn tls_identity(&self) -> Option<TlsIdentity> {
        let (certificate, key, authority) =
            (self.certificate.clone()?, self.key.clone()?, self.authority.clone()?);
        let files = TlsFiles { certificate, key, authority };
        Some(TlsIdentity { files, server_name: self.service_name.clone() })
    }

    /// Carries out a call.
    pub(crate) fn call(&self, request: &call::What) -> Result<reply::What, CallError> {
        let client = AdminClient { addresses: self.service.clone(), tls: self.tls_identity() };
        client.call(request, delivery_of(request))
    }

    /// Carries out a call that is answered by no more than that it is done, and prints these words.
    pub(crate) fn change(&self, output: Output, request: &call::What, text: &str) -> CommandResult {
        #[derive(serde::Serialize)]
        struct DoneReport {
            done: bool,
        }
        let reply::What::Done(Done {}) = self.call(request)? else {
            return Err(CallError::UnexpectedReply.into());
        };
        output.print(&DoneReport { done: true }, || format!("{text}\n"));
        Ok(ExitStatus::Success)
    }

    /// A version with its document; 0: the newest.
    pub(crate) fn version(&self, number: u64) -> Result<Shown, CallError> {
        match self.call(&call::What::Show(Show { number }))? {
            reply::What::Shown(shown) => Ok(shown),
            _ => Err(CallError::UnexpectedReply),
        }
    }

    /// All proxies that the service knows.
    pub(crate) fn fleet(&self) -> Result<Fleet, CallError> {
        match self.call(&call::What::Status(Status {}))? {
            reply::What::Fleet(fleet) => Ok(fleet),
            _ => Err(CallError::UnexpectedReply),
        }
    }
}
