#![forbid(unsafe_code)]
//! The decision logic of a two-level fleet: forwarders relay bytes, and a few planners order which attempts
//! they make.
//!
//! Only forwarders execute orders, so each forwarder decides itself which orders it accepts ([`order_guard`])
//! and which planner it follows ([`planner_directory`]). A planner grants a lease to each forwarder that it
//! plans for ([`forwarder_leases`]). The capacity of an engine or the quota of a tenant over the complete
//! fleet is divided among the planners in leased quotas ([`quota`]).
//!
//! The crate does no I/O, reads no clock and starts no thread. Each process passes in readings of its own
//! clock; only durations are exchanged between processes.

pub mod forwarder_leases;
pub mod order_guard;
pub mod planner_directory;
pub mod quota;

/// The configured name of a planner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlannerId(pub String);
