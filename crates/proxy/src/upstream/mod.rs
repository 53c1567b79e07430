//! The proxy's side towards the engines.

pub mod line_protocol;
