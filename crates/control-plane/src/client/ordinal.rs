//! The proxy's ordinal, which it uses while it holds a lease on it.

use gaugestep_clock::Timestamp;
use gaugestep_leadership::ORDINALS_ROLE;
use gaugestep_subsetting::ordinal_lease::LeasedPosition;
use gaugestep_subsetting::position::FleetPosition;

use crate::{clock, lock};

use super::proxy_handle::PositionLease;
use super::subscriber::ConfigSubscriber;

/// The cause of an update of the ordinal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrdinalUpdateCause {
    /// A control server confirmed the ordinal, which renews the lease.
    Confirmed,
    /// The periodic check, which finds expired leases.
    Timer,
}

impl ConfigSubscriber {
    /// Passes the leased position to the proxy if the lease was renewed, or the position changed or expired.
    pub(super) fn update_ordinal(&self, cause: OrdinalUpdateCause) {
        let now = clock::now();
        let mut state = lock(&self.state);
        let leased = state.ordinal.lease.position(now);
        let term = state.fencing.term(ORDINALS_ROLE);
        let position = leased.map(|leased| leased.position);
        let previous = std::mem::replace(&mut state.ordinal.assigned, position);
        let has_changed = previous != position;
        let is_renewed = cause == OrdinalUpdateCause::Confirmed && leased.is_some();
        if !has_changed && !is_renewed {
            return;
        }
        let epoch = state.ordinal.lease.last_grant().map_or(0, |grant| grant.epoch);
        drop(state);
        log_ordinal(leased, has_changed, now, term, epoch);
        self.proxy.assign_position(leased.map(|leased| PositionLease {
            position: leased.position,
            valid_for: leased.expires_at.duration_since(now),
        }));
    }
}

fn log_ordinal(leased: Option<LeasedPosition>, has_changed: bool, now: Timestamp, term: u64, epoch: u64) {
    let role = ORDINALS_ROLE;
    let Some(LeasedPosition { position: FleetPosition::Ordinal { ordinal, fleet_size }, expires_at }) =
        leased
    else {
        tracing::warn!(role, term, epoch, "ordinal lost");
        return;
    };
    if has_changed {
        tracing::info!(role, term, epoch, ordinal, fleet_size, "ordinal assigned");
    }
    let (at, until) = (now.as_millis_f64(), expires_at.as_millis_f64());
    tracing::debug!(role, term, epoch, ordinal, fleet_size, at, until, "ordinal confirmed");
}
