#![forbid(unsafe_code)]
//! The decisions of a two-level fleet: forwarders that pass bytes, and a few planners that tell them what to do.
//!
//! Only a forwarder carries orders out, so it alone decides whose orders count ([`order_guard`]) and which planner it follows
//! ([`planner_directory`]). A planner leases itself to the forwarders that it plans for ([`forwarder_leases`]). What an
//! engine or a tenant may use over the whole fleet is divided among planners in leased quotas ([`quota`]).
//!
//! Nothing here does I/O, reads a clock or starts a thread. Readings of clocks are the caller's own, and only durations are
//! ever exchanged between processes.

pub mod forwarder_leases;
pub mod order_guard;
pub mod planner_directory;
pub mod quota;

/// A planner, by its configured name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlannerId(pub String);
