//! Readings of the embedder's clock.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A reading of the clock that the embedder drives this crate with.
///
/// Its origin is the embedder's choice, so that tests can set any time. Unlike [`std::time::Instant`] a reading may lie
/// before the origin: a proxy may report a version that is older than the machine that asks. Arithmetic saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp {
    nanos: i64,
}

const NANOS_PER_MILLI: f64 = 1e6;

impl Timestamp {
    /// The reading that many milliseconds after the clock's origin.
    pub fn from_millis(millis: f64) -> Self {
        Timestamp { nanos: (millis * NANOS_PER_MILLI) as i64 }
    }

    /// Milliseconds since the clock's origin.
    pub fn as_millis(self) -> f64 {
        self.nanos as f64 / NANOS_PER_MILLI
    }

    /// The time that has passed since `earlier`; zero if that is later than this reading.
    pub fn duration_since(self, earlier: Timestamp) -> Duration {
        let nanos = self.nanos.saturating_sub(earlier.nanos);
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(0))
    }
}

/// A duration in nanoseconds, or the most that a reading can differ by.
fn saturating_nanos(duration: Duration) -> i64 {
    i64::try_from(duration.as_nanos()).unwrap_or(i64::MAX)
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        Timestamp { nanos: self.nanos.saturating_add(saturating_nanos(duration)) }
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, duration: Duration) -> Timestamp {
        Timestamp { nanos: self.nanos.saturating_sub(saturating_nanos(duration)) }
    }
}
