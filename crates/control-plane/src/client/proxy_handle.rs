//! What the subscriber needs of the proxy that it runs in.

use std::time::Duration;

use gaugestep_config::Document;
use gaugestep_config::proxy_state::ProxyState;
use gaugestep_subsetting::position::FleetPosition;

/// The proxy as the subscriber sees it.
pub trait ProxyHandle: Send + Sync + 'static {
    /// Calls `then` with the proxy as it runs, which does not change before that has returned: neither the list of engines
    /// nor the settings. Requests may come and go.
    fn with_state(&self, then: &mut dyn FnMut(&ProxyState));
    /// Puts the document in force. Called from within [`with_state`](Self::with_state).
    fn apply(&self, document: &Document);
    /// What became of requests since the proxy's start.
    fn request_totals(&self) -> RequestTotals;
    /// The proxy holds a lease on this position from now on; `None`: on none, so that its position follows from its name.
    fn assign_position(&self, lease: Option<PositionLease>);
}

/// Requests since the proxy's start, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestTotals {
    /// Requests served.
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
    /// For how long the lease holds from now on.
    pub valid_for: Duration,
}
