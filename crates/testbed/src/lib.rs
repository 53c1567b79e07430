#![forbid(unsafe_code)]
//! Emulated environments and independent audits for tests of complete fleets.
//!
//! These modules use no I/O, clocks or threads: [`record`] defines records of events, [`audit`] checks from
//! them whether requests were handled by the rules, [`leadership_audit`] checks leases and published
//! versions, [`fleet_audit`] checks the sum of the decisions of many proxies, [`engine_model`] models an
//! engine, and [`faults`] draws fault schedules.
//!
//! These modules use processes and sockets: [`network`] injects faults into connections, [`process`]
//! suspends, resumes and kills processes, and [`emulated_fleet`] provides engines and an engine list for a
//! fleet of proxies.

pub mod audit;
pub mod emulated_fleet;
pub mod engine_model;
pub mod faults;
pub mod fleet_audit;
pub mod leadership_audit;
pub mod network;
pub mod process;
pub mod record;
