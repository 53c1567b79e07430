#![forbid(unsafe_code)]
#![doc = include_str!("../README.md")]

pub mod interface;
mod requests;
pub mod rules;
mod stats;
pub mod wire;

pub use interface::{Action, Event, Settings};
pub use rules::Dispatcher;
