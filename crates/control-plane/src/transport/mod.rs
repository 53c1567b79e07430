//! Connections between servers, proxies and commands: length-prefixed protobuf messages, over TLS where keys are
//! configured.

pub mod backoff;
pub mod connection;
pub mod framing;
pub mod tls;
