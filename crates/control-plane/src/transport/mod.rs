//! Connections between control servers, proxies and operator commands: length-prefixed protobuf messages,
//! over TLS if keys are configured.

pub mod backoff;
pub mod connection;
pub mod framing;
pub mod tls;
