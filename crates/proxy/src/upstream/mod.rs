//! The databases' side of the proxy.

pub mod line_protocol;
