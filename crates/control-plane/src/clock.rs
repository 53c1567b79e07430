//! The clock of leases: unlike [`std::time::Instant`] it counts the time for which the machine was suspended.

use std::time::Duration;

use gaugestep_clock::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// The time since the machine started.
pub fn now() -> Timestamp {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
    Timestamp::ORIGIN + Duration::new(seconds, nanos)
}
