#![forbid(unsafe_code)]
//! Readings of the embedder's clock, for crates that are driven from outside and read no clock themselves.

use std::ops::{Add, Sub};
use std::time::Duration;

const NANOS_PER_MILLI: f64 = 1e6;

/// A reading of the clock that the embedder drives a crate with.
///
/// [`std::time::Instant`] does not do: its clock may stop while the machine is suspended, which a lease must count, and a
/// test cannot set it. The origin is the embedder's choice, and a reading may lie before it. Arithmetic saturates. Readings
/// of different clocks must not be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp {
    nanos: i64,
}

impl Timestamp {
    /// The reading at the clock's origin.
    pub const ORIGIN: Timestamp = Timestamp { nanos: 0 };

    /// The reading that many milliseconds after the clock's origin.
    pub const fn from_millis(millis: u64) -> Self {
        Timestamp::ORIGIN.after(Duration::from_millis(millis))
    }

    /// The reading that many milliseconds after the clock's origin, or before it if negative; parts of a nanosecond are
    /// cut off.
    pub fn from_millis_f64(millis: f64) -> Self {
        Timestamp { nanos: (millis * NANOS_PER_MILLI) as i64 }
    }

    /// Milliseconds since the clock's origin, negative before it.
    pub fn as_millis_f64(self) -> f64 {
        self.nanos as f64 / NANOS_PER_MILLI
    }

    /// The time since an earlier reading; zero if that reading is in fact the later one.
    pub const fn duration_since(self, earlier: Timestamp) -> Duration {
        let nanos = self.nanos.saturating_sub(earlier.nanos);
        if nanos < 0 { Duration::ZERO } else { Duration::from_nanos(nanos as u64) }
    }

    const fn after(self, elapsed: Duration) -> Self {
        Timestamp { nanos: self.nanos.saturating_add(saturating_nanos(elapsed)) }
    }
}

/// A duration in nanoseconds, limited to the largest difference of two readings.
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
