#![forbid(unsafe_code)]
//! Timestamps of the clock of an embedder, for crates that do not read a clock themselves.

use std::ops::{Add, Sub};
use std::time::Duration;

const NANOS_PER_MILLI: f64 = 1e6;

/// A reading of the clock of the embedder.
///
/// [`std::time::Instant`] is not suitable: its clock may stop while the machine is suspended, but a lease
/// must expire during a suspension, and a test cannot set it. The embedder chooses the origin of its clock,
/// and a timestamp may lie before the origin. Arithmetic saturates. Timestamps of different clocks must not
/// be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp {
    nanos: i64,
}

impl Timestamp {
    /// The origin of the clock.
    pub const ORIGIN: Timestamp = Timestamp { nanos: 0 };

    /// The timestamp this number of milliseconds after the origin of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Timestamp::ORIGIN.after(Duration::from_millis(millis))
    }

    /// The timestamp this number of milliseconds after the origin of the clock, or before it if negative.
    /// Fractions of a nanosecond are truncated.
    pub fn from_millis_f64(millis: f64) -> Self {
        Timestamp { nanos: (millis * NANOS_PER_MILLI) as i64 }
    }

    /// The milliseconds since the origin of the clock; negative for a timestamp before it.
    pub fn as_millis_f64(self) -> f64 {
        self.nanos as f64 / NANOS_PER_MILLI
    }

    /// The time since an earlier timestamp; zero if that timestamp is the later one.
    pub const fn duration_since(self, earlier: Timestamp) -> Duration {
        let nanos = self.nanos.saturating_sub(earlier.nanos);
        if nanos < 0 { Duration::ZERO } else { Duration::from_nanos(nanos as u64) }
    }

    const fn after(self, elapsed: Duration) -> Self {
        Timestamp { nanos: self.nanos.saturating_add(saturating_nanos(elapsed)) }
    }
}

/// A duration in nanoseconds, limited to the largest `i64`.
const fn saturating_nanos(duration: Duration) -> i64 {
    let nanos = duration.as_nanos();
    if nanos > i64::MAX as u128 { i64::MAX } else { nanos as i64 }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, elapsed: Duration) -> Timestamp {
        self.after(elapsed)
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, elapsed: Duration) -> Timestamp {
        Timestamp { nanos: self.nanos.saturating_sub(saturating_nanos(elapsed)) }
    }
}
