//! The clock of leases: it counts the time for which the process or the machine was suspended.

/// Milliseconds since the machine started.
pub fn now() -> f64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    now.tv_sec as f64 * 1e3 + now.tv_nsec as f64 / 1e6
}
