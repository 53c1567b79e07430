//! Fronts: what clients speak.

mod fields;
mod message;
pub mod postgres;
