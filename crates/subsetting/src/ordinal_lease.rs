//! A proxy's lease on its ordinal.
//!
//! Each confirmation by a control server lets the proxy use its ordinal for [`LEASE_DURATION`], counted from
//! the time at which the proxy sent the request, so that neither a slow response nor a suspension of the
//! process extends the lease. Without a lease the proxy falls back to its [`FleetPosition::NameKey`].

use std::time::Duration;

use gaugestep_clock::Timestamp;

use crate::position::{FleetPosition, OrdinalAssignment};

/// How long a proxy may use its ordinal after it sent the request that was confirmed.
pub const LEASE_DURATION: Duration = Duration::from_secs(5);

/// An ordinal as a control server confirms it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrdinalGrant {
    /// The term of the role that manages the roster. It never decreases.
    pub term: u64,
    /// The epoch of the roster. It increases with each change of the roster.
    pub epoch: u64,
    /// The ordinal of the proxy; `None` while it has none.
    pub assignment: Option<OrdinalAssignment>,
}

/// A position that a proxy may use until its lease expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeasedPosition {
    /// The position that the proxy may use.
    pub position: FleetPosition,
    /// When the lease expires.
    pub expires_at: Timestamp,
}

/// The lease of one proxy on its ordinal.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrdinalLease {
    /// The last confirmed grant; `None` before the first one.
    last: Option<ConfirmedGrant>,
}

/// A grant with the end of its lease.
#[derive(Clone, Copy, Debug)]
struct ConfirmedGrant {
    grant: OrdinalGrant,
    expires_at: Timestamp,
}

impl OrdinalLease {
    /// Processes the grant in the response to a request sent at `requested_at`, on a clock that also runs
    /// while the process is suspended. Returns false, and changes nothing, if the grant is older than the
    /// last one.
    pub fn confirm(&mut self, requested_at: Timestamp, grant: OrdinalGrant) -> bool {
        let mut expires_at = requested_at + LEASE_DURATION;
        if let Some(last) = self.last {
            if (grant.term, grant.epoch) < (last.grant.term, last.grant.epoch) {
                return false;
            }
            // Responses may be reordered, so a lease on the same ordinal never becomes shorter. A different
            // ordinal does not inherit the expiry of the last one.
            if grant.assignment == last.grant.assignment {
                expires_at = expires_at.max(last.expires_at);
            }
        }
        self.last = Some(ConfirmedGrant { grant, expires_at });
        true
    }

    /// The position that the proxy may use now; `None` if it has no ordinal or its lease has expired.
    pub fn position(&self, now: Timestamp) -> Option<LeasedPosition> {
        let ConfirmedGrant { grant, expires_at } = self.last.filter(|last| now < last.expires_at)?;
        let OrdinalAssignment { ordinal, fleet_size } = grant.assignment?;
        Some(LeasedPosition { position: FleetPosition::ordinal(ordinal, fleet_size)?, expires_at })
    }

    /// The last grant, also after the lease has expired; `None` before the first one.
    pub fn last_grant(&self) -> Option<OrdinalGrant> {
        self.last.map(|last| last.grant)
    }
}
