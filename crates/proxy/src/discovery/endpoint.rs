//! Endpoints: the databases of the coordinator's list.

use std::net::SocketAddr;

use gaugestep_dispatch::interface::{EngineId, Millis, Readiness};
use serde_json::Value;

/// A database that is listed.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The dispatcher's number of it.
    pub engine: EngineId,
    /// Its zone, as the list names it.
    pub zone: String,
    /// Its kind of machine, as the list names it.
    pub kind: String,
    /// Its cell.
    pub cell: u64,
    /// Whether it accepts work.
    pub readiness: Readiness,
}

/// Why an endpoint cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointError {
    /// It has no id.
    #[error("it has no id")]
    MissingId,
    /// It has no phase that is known.
    #[error("it has no known phase")]
    UnknownPhase,
}

/// What an event says about one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointUpdate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its address, if that can be parsed.
    pub address: Option<SocketAddr>,
    /// Its zone, if it has one.
    pub zone: Option<&'a str>,
    /// Its kind of machine, if it has one.
    pub kind: Option<&'a str>,
    /// Its cell.
    pub cell: u64,
    /// Whether it accepts work.
    pub readiness: Readiness,
    /// The Unix time in milliseconds since which it has been up, if that is known.
    pub up_since: Option<Millis>,
}

impl<'a> EndpointUpdate<'a> {
    /// Decodes an entry of an event's `members`.
    ///
    /// # Errors
    ///
    /// If it has no id or no known phase. All else may be missing.
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
            kind: member["flavor"].as_str(),
            cell: member["cell"].as_u64().unwrap_or(0),
            readiness,
            up_since: member["up_since_ms"].as_f64().filter(|at| *at > 0.0),
        })
    }
}
