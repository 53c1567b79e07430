//! A proxy's lease on its ordinal.
//!
//! Each confirmation by a control server lets the proxy use its ordinal for [`LEASE_DURATION`], counted from when the proxy
//! sent the request, so that neither a slow response nor a suspension extends the lease. Without a lease the proxy falls
//! back to its [`FleetPosition::NameKey`].

use std::time::Duration;

use gaugestep_clock::Timestamp;

use crate::position::{FleetPosition, OrdinalAssignment};

/// How long a proxy may use its ordinal from when it asked for the confirmation.
pub const LEASE_DURATION: Duration = Duration::from_secs(5);

/// What a control server confirms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrdinalGrant {
    /// The term of the role that manages the roster. Never falls.
    pub term: u64,
    /// The epoch of the roster. Rises with each change.
    pub epoch: u64,
    /// The proxy's ordinal; `None` while it has none.
    pub assignment: Option<OrdinalAssignment>,
}

/// A position that a proxy may use for a limited time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeasedPosition {
    /// The position.
    pub position: FleetPosition,
    /// The end of the lease.
    pub expires_at: Timestamp,
}

/// The lease of one proxy.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrdinalLease {
    confirmed: Option<Confirmed>,
}

#[derive(Clone, Copy, Debug)]
struct Confirmed {
    grant: OrdinalGrant,
    expires_at: Timestamp,
}

impl OrdinalLease {
    /// Takes the response to a request sent at `requested_at`, on a clock that also counts the time for which the process
    /// was suspended. Returns false, and changes nothing, if the grant is older than the last one.
    pub fn confirm(&mut self, requested_at: Timestamp, grant: OrdinalGrant) -> bool {
        let mut expires_at = requested_at + LEASE_DURATION;
        if let Some(last) = self.confirmed {
            if (grant.term, grant.epoch) < (last.grant.term, last.grant.epoch) {
                return false;
            }
            // Responses may be reordered. A different ordinal does not inherit the time of the last one.
            if grant.assignment == last.grant.assignment {
                expires_at = expires_at.max(last.expires_at);
            }
        }
        self.confirmed = Some(Confirmed { grant, expires_at });
        true
    }

    /// The position that the proxy may use now, if its lease has not expired.
    pub fn position(&self, now: Timestamp) -> Option<LeasedPosition> {
        let Confirmed { grant, expires_at } =
            self.confirmed.filter(|confirmed| now < confirmed.expires_at)?;
        let OrdinalAssignment { ordinal, fleet_size } = grant.assignment?;
        Some(LeasedPosition { position: FleetPosition::ordinal(ordinal, fleet_size)?, expires_at })
    }

    /// The last grant, also after the lease has expired.
    pub fn last_grant(&self) -> Option<OrdinalGrant> {
        self.confirmed.map(|confirmed| confirmed.grant)
    }
}
