//! The databases' side.

pub mod lines;
