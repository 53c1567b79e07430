#![forbid(unsafe_code)]
//! Choices that each proxy makes for itself and that add up over the fleet.
//!
//! A *seat* is a proxy's number among all that choose by the same rules ([`position`]). From its seat alone a proxy knows which
//! engines are its own ([`subset`]) and when it is its turn to send what all others would send at the same moment ([`slow_start`]);
//! nobody has to be asked. Seats come from the platform, from an operator's list, or from a roster that the owner of a duty
//! keeps ([`roster`]), which a proxy goes on with for a while when it has lost touch ([`ordinal_lease`]). [`fairness`] says how
//! evenly things lie.
//!
//! Nothing here does I/O, reads a clock or starts a thread. Times are milliseconds on the embedder's clock.

pub mod fairness;
pub mod ordinal_lease;
pub mod position;
pub mod roster;
pub mod slow_start;
pub mod subset;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number under which all proxies, of whatever build, know a name: XXH3 of its bytes.
pub fn key(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}

/// A number from 0 to 1 drawn by two others; the same for whoever draws it.
pub(crate) fn lot(one: u64, other: u64) -> f64 {
    // 53 bits are a double's own.
    (xxh3_64_with_seed(&other.to_le_bytes(), one) >> 11) as f64 / (1u64 << 53) as f64
}
