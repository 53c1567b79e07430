//! The delay before a reconnection. It is random, so that hundreds of proxies that lose a server at the same
//! moment do not all reconnect at the same moment.

use std::time::Duration;

/// The upper bound of the first delay.
pub const BASE_RANGE: Duration = Duration::from_millis(250);
/// The upper bound of all delays.
pub const MAX_RANGE: Duration = Duration::from_secs(8);
/// A stream that was healthy for at least this long resets the count of failures.
pub const RESET_AFTER: Duration = Duration::from_secs(10);

/// Exponential backoff with full jitter: each delay is uniformly distributed between zero and a bound that
/// doubles with each failure.
pub struct Backoff {
    random: oorandom::Rand64,
    /// Consecutive failures, with the latest one.
    failures: u32,
}

impl Backoff {
    /// Creates a backoff without failures. `seed` should differ from proxy to proxy.
    pub fn new(seed: u64) -> Self {
        Backoff { random: oorandom::Rand64::new(seed.into()), failures: 0 }
    }

    /// Returns the delay after a stream has ended or could not be opened. `healthy_for` is how long the
    /// stream was healthy; zero if it never was.
    pub fn next_delay(&mut self, healthy_for: Duration) -> Duration {
        self.failures = if healthy_for >= RESET_AFTER { 1 } else { self.failures.saturating_add(1) };
        let unbounded = BASE_RANGE.as_secs_f64() * f64::from(self.failures - 1).exp2();
        let range = unbounded.min(MAX_RANGE.as_secs_f64());
        Duration::from_secs_f64(self.random.rand_float() * range)
    }
}
