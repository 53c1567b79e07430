//! How long to wait before connecting again, such that hundreds of proxies which lose one server at the same moment do not
//! reconnect at the same moment.

use std::time::Duration;

/// The range of the first wait.
pub const BASE_RANGE: Duration = Duration::from_millis(250);
/// The largest range of any wait.
pub const MAX_RANGE: Duration = Duration::from_secs(8);
/// A stream that was of use for this long was a good one: failures before it do not count any more.
pub const RESET_AFTER: Duration = Duration::from_secs(10);

/// Exponential backoff with full jitter: each wait is drawn evenly from zero to a range that doubles with each failure.
pub struct Backoff {
    random: oorandom::Rand64,
    failures: u32,
}

impl Backoff {
    /// A backoff without any failure. `seed` should differ from proxy to proxy.
    pub fn new(seed: u64) -> Self {
        Backoff { random: oorandom::Rand64::new(seed.into()), failures: 0 }
    }

    /// The wait after a stream that has ended or did not come up. `useful_for` is how long it was of use.
    pub fn next_delay(&mut self, useful_for: Duration) -> Duration {
        self.failures = if useful_for >= RESET_AFTER { 1 } else { self.failures.saturating_add(1) };
        let range = BASE_RANGE.as_secs_f64() * f64::from(self.failures - 1).exp2();
        Duration::from_secs_f64(self.random.rand_float() * range.min(MAX_RANGE.as_secs_f64()))
    }
}
