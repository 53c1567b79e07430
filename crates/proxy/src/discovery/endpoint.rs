//! Endpoints: the entries of the coordinator's list of engines.

use std::net::SocketAddr;

use gaugestep_dispatch::interface::{EngineId, Millis, Readiness};
use serde_json::Value;

/// An engine on the list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The engine's id in the dispatcher.
    pub engine: EngineId,
    /// Name of the engine's zone; empty if the list has none.
    pub zone: String,
    /// Name of the engine's machine type; empty if the list has none.
    pub machine_type: String,
    /// Number of the engine's cell; 0 if the list has none.
    pub cell: u64,
    /// Whether the engine accepts attempts.
    pub readiness: Readiness,
    /// Address of the engine; `None` if the list has none.
    pub address: Option<SocketAddr>,
    /// Unix time in milliseconds at which the engine started; `None` if the list has none.
    pub up_since: Option<Millis>,
}

/// Why an entry of the list cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointError {
    /// The entry has no id.
    #[error("endpoint has no id")]
    MissingId,
    /// The phase is missing or unknown.
    #[error("endpoint has no known phase")]
    UnknownPhase,
}

/// An entry of an event: the current state of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointUpdate<'a> {
    /// Name of the endpoint, which identifies it on the list.
    pub name: &'a str,
    /// Address of the engine; `None` if it is missing or malformed.
    pub address: Option<SocketAddr>,
    /// Name of the engine's zone; `None` if it is missing.
    pub zone: Option<&'a str>,
    /// Name of the engine's machine type; `None` if it is missing.
    pub machine_type: Option<&'a str>,
    /// Number of the engine's cell; 0 if it is missing.
    pub cell: u64,
    /// Whether the engine accepts attempts, or has been removed.
    pub readiness: Readiness,
    /// Unix time in milliseconds at which the engine started; `None` if it is missing.
    pub up_since: Option<Millis>,
}

impl<'a> EndpointUpdate<'a> {
    /// Decodes an entry of an event's `members`.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry has no id or no known phase. All other fields may be missing or
    /// malformed.
    pub fn decode(member: &'a Value) -> Result<Self, EndpointError> {
        let name = member["id"].as_str().ok_or(EndpointError::MissingId)?;
        let readiness = match member["phase"].as_str() {
            Some("SERVING") => Readiness::Up,
            Some("DRAINING") => Readiness::Draining,
            Some("DELETED") => Readiness::Gone,
            _ => return Err(EndpointError::UnknownPhase),
        };
        Ok(EndpointUpdate {
            name,
            address: member["host_port"].as_str().and_then(|text| text.parse().ok()),
            zone: member["locality"].as_str(),
            machine_type: member["flavor"].as_str(),
            cell: member["cell"].as_u64().unwrap_or(0),
            readiness,
            up_since: member["up_since_ms"].as_f64().filter(|at| *at > 0.0),
        })
    }
}

#[cfg(test)]
#[path = "../../tests/unit/endpoint.rs"]
mod tests;
