//! Leases, which limit the time for which a member may act for its roles.
//!
//! One lease covers all roles of a member, so that the cost does not depend on the number of roles. A member
//! requests its lease from the leader ([`LeaseSession`]), which grants it once a majority has confirmed the
//! leadership ([`LeaseGrantor`]). The lease runs from the time at which the member sent its request, and the
//! expiry grace of the leader from the later time at which the request arrived. While no clock rate is off by
//! more than [`LeaseTiming::drift`], a holder therefore stops before its roles are assigned to another
//! member.

mod grantor;
mod session;

use std::time::Duration;

pub use grantor::{LeaseAction, LeaseGrantor};
pub use session::LeaseSession;

/// The durations that govern leases.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTiming {
    /// The duration of a lease from the time of its request.
    pub duration: Duration,
    /// The largest relative error of the rate of a clock, as a fraction of 1.
    pub drift: f64,
    /// The interval between the lease requests of a member.
    pub renew_interval: Duration,
    /// The time after which a confirmation or a change of holder that had no effect is proposed again.
    pub retry_interval: Duration,
    /// The time for which the store of a member must work after a failure before the member requests a lease
    /// again. Without it, a member whose store fails repeatedly would keep its roles without acting for them.
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
    /// The time that a leader waits after the last request of a member before it assigns the roles of that
    /// member to other members: the duration of a lease on the slowest allowed clock, as measured by the
    /// fastest allowed clock.
    pub fn expiry_grace(&self) -> Duration {
        self.duration.mul_f64((1.0 + self.drift) / (1.0 - self.drift))
    }
}
