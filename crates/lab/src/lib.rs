#![forbid(unsafe_code)]
//! The project's laboratory: what stand-ins record ([`record`]), whether the rules held ([`audit`]), and how an engine
//! behaves ([`engine`]). Nothing here does I/O, reads a clock or starts a thread.

pub mod audit;
pub mod engine;
pub mod record;
