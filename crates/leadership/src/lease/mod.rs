//! Leases: who may act until when.
//!
//! One lease of a member covers all its roles, so that a thousand roles cost no more than one. A member requests it from
//! the leader ([`LeaseSession`]), which grants it once a majority has confirmed that it still leads ([`LeaseGrantor`]).
//! The member's lease runs from the moment of its request, the leader's expiry grace from the moment the request
//! arrived: with clocks whose rates differ by no more than [`LeaseTiming::drift`], a holder has stopped before anybody
//! else is assigned its roles.

mod grantor;
mod session;

use std::time::Duration;

pub use grantor::{LeaseAction, LeaseGrantor};
pub use session::LeaseSession;

/// The times of leases.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTiming {
    /// How long a lease lasts from the moment at which it was requested.
    pub duration: Duration,
    /// The largest error of the rate of any clock, as a fraction of 1.
    pub drift: f64,
    /// The interval of a member's requests.
    pub renew_interval: Duration,
    /// What had no effect after this time is proposed again.
    pub retry_interval: Duration,
    /// A member whose store failed requests no lease before the store has worked for this time. Without it a member
    /// whose store works for a moment each time would keep its roles and do nothing for them.
    pub probation: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        LeaseTiming {
            duration: Duration::from_secs(2),
            drift: 0.02,
            renew_interval: Duration::from_millis(500),
            retry_interval: Duration::from_secs(1),
            probation: Duration::from_secs(5),
        }
    }
}

impl LeaseTiming {
    /// How long a leader waits for a silent member before it assigns the member's roles to others: the lease's
    /// duration on a slow clock, measured on a fast one.
    pub fn expiry_grace(&self) -> Duration {
        self.duration.mul_f64((1.0 + self.drift) / (1.0 - self.drift))
    }
}
