#![forbid(unsafe_code)]
//! Emulated environments and independent audits for tests of whole fleets.
//!
//! Without I/O, clocks or threads: what happened ([`record`]) and whether requests were treated by the rules
//! ([`audit`]); whether roles and versions were ([`leadership_audit`]); whether the choices of many proxies add up
//! ([`fleet_audit`]); how an engine behaves ([`engine_model`]); which faults come when ([`faults`]).
//!
//! With processes and sockets: links that drop, stall and cut ([`network`]), processes that are suspended, resumed and
//! killed ([`process`]), and engines with their list for a fleet to talk to ([`emulated_fleet`]).

pub mod audit;
pub mod emulated_fleet;
pub mod engine_model;
pub mod faults;
pub mod fleet_audit;
pub mod leadership_audit;
pub mod network;
pub mod process;
pub mod record;
