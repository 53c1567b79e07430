//! The ordinal that the proxy holds a lease on.

use gaugestep_clock::Timestamp;
use gaugestep_leadership::ORDINALS_ROLE;
use gaugestep_subsetting::ordinal_lease::LeasedPosition;
use gaugestep_subsetting::position::FleetPosition;

use crate::{clock, lock};

use super::proxy_handle::PositionLease;
use super::subscriber::ConfigSubscriber;

/// Why the ordinal is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrdinalCheck {
    /// The leader has confirmed it, which renews the lease.
    Confirmation,
    /// Time has passed, and the lease may have expired.
    Clock,
}

impl ConfigSubscriber {
    /// Assigns the proxy its ordinal, if it has changed, was confirmed or its lease has expired.
    pub(super) fn update_ordinal(&self, check: OrdinalCheck) {
        let now = clock::now();
        let mut state = lock(&self.state);
        let (held, term) = (state.ordinal.lease.position(now), state.fencing.term(ORDINALS_ROLE));
        let position = held.map(|leased| leased.position);
        let has_changed = std::mem::replace(&mut state.ordinal.assigned, position) != position;
        let is_renewed = check == OrdinalCheck::Confirmation && held.is_some();
        if !has_changed && !is_renewed {
            return;
        }
        let epoch = state.ordinal.lease.last_grant().map_or(0, |grant| grant.epoch);
        drop(state);
        log_ordinal(held, has_changed, now, term, epoch);
        self.proxy.assign_position(held.map(|leased| PositionLease {
            position: leased.position,
            valid_for: leased.expires_at.duration_since(now),
        }));
    }
}

fn log_ordinal(held: Option<LeasedPosition>, has_changed: bool, now: Timestamp, term: u64, epoch: u64) {
    let role = ORDINALS_ROLE;
    let Some(LeasedPosition { position: FleetPosition::Ordinal { ordinal, fleet_size }, expires_at }) = held
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
