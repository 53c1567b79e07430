//! The ordinal that the proxy holds a lease on.

use std::time::Duration;

use gaugestep_leadership::ORDINALS_ROLE;
use gaugestep_subsetting::position::FleetPosition;

use crate::{clock, lock};

use super::proxy_handle::OrdinalAssignment;
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
        let position = held.map(|(position, _)| position);
        let has_changed = std::mem::replace(&mut state.ordinal.assigned, position) != position;
        let is_renewed = check == OrdinalCheck::Confirmation && held.is_some();
        if !has_changed && !is_renewed {
            return;
        }
        let epoch = state.ordinal.lease.last_grant().map_or(0, |grant| grant.epoch);
        drop(state);
        if let Some((FleetPosition::Ordinal { ordinal, fleet_size }, until)) = held {
            let role = ORDINALS_ROLE;
            if has_changed {
                tracing::info!(role, term, epoch, ordinal, fleet_size, "ordinal assigned");
            }
            tracing::debug!(role, term, epoch, ordinal, fleet_size, at = now, until, "ordinal confirmed");
        } else {
            tracing::warn!(role = ORDINALS_ROLE, term, epoch, "ordinal lost");
        }
        self.proxy.assign_ordinal(held.map(|(position, until)| OrdinalAssignment {
            position,
            valid_for: Duration::from_secs_f64((until - now).max(0.0) / 1e3),
        }));
    }
}
