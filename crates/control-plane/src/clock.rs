//! The clock that leases are measured by. Unlike [`std::time::Instant`], it advances while the machine is
//! suspended.

use std::time::Duration;

use gaugestep_clock::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine booted, including time in suspension.
pub fn now() -> Timestamp {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
    Timestamp::ORIGIN + Duration::new(seconds, nanos)
}
