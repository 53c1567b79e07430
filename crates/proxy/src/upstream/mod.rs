//! The databases' side.

pub mod line_protocol;
