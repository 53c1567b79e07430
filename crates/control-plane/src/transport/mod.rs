//! Connections between services, proxies and commands: framed messages, over TLS where keys are given.

pub mod backoff;
pub mod connection;
pub mod framing;
pub mod tls;
