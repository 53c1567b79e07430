#![forbid(unsafe_code)]
//! The decisions of a two-level fleet: thin forwarders that pass bytes, and a few planners that say what to do.
//!
//! A forwarder is the only one that carries an order out, so it alone decides whose orders hold ([`guard`]) and who is to
//! plan for it ([`membership`]). What an engine or a tenant may take over the whole fleet is divided among planners in
//! leased shares ([`shares`]). Nothing here does I/O, reads a clock or starts a thread; times are milliseconds on the
//! caller's own clock, and only spans of it are ever compared between processes.

pub mod book;
pub mod guard;
pub mod membership;
pub mod shares;

/// A point on the caller's clock, or a span of it, in milliseconds.
pub type Millis = f64;

/// A planner, by the name that the operators gave it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlannerId(pub String);
