//! The interface of the proxy that the subscriber uses.

use std::time::Duration;

use gaugestep_config::Document;
use gaugestep_config::proxy_state::ProxyState;
use gaugestep_subsetting::position::FleetPosition;

/// The proxy in which a subscriber runs.
pub trait ProxyHandle: Send + Sync + 'static {
    /// Calls `callback` with the state of the proxy. The list of engines and the settings do not change until
    /// `callback` returns; requests may start and end meanwhile.
    fn with_state(&self, callback: &mut dyn FnMut(&ProxyState));
    /// Puts the document in force. Called from a callback of [`with_state`](Self::with_state).
    fn apply(&self, document: &Document);
    /// The number of requests since the proxy's start, by outcome.
    fn request_totals(&self) -> RequestTotals;
    /// Sets the position that the proxy has a lease on. `None` ends the lease: the proxy then derives its
    /// position from its name.
    fn assign_position(&self, lease: Option<PositionLease>);
}

/// Requests since the proxy's start, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTotals {
    /// Requests that were served.
    pub succeeded: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
}

/// A position in the fleet that the proxy holds a lease on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PositionLease {
    /// The position.
    pub position: FleetPosition,
    /// The time from now until the lease expires.
    pub valid_for: Duration,
}
