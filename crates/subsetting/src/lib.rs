#![forbid(unsafe_code)]
//! Decisions that each proxy makes alone and that add up over the fleet.
//!
//! Every proxy has a position among all ([`position`]), at best an *ordinal*: a number that no other proxy has at the same
//! time. From its position alone it computes which engines are its own ([`subset`], [`assignment`]), when it is its turn to
//! do what all proxies would otherwise do at the same moment ([`rotation`]), and how much it may send an engine that is
//! still warming up ([`slow_start`]). Nobody has to be asked.
//!
//! Ordinals come from the platform, from a list in the configuration, or from a roster that the holder of a leader-elected
//! role manages ([`roster`]); a proxy holds one of these under a lease ([`ordinal_lease`]). [`fairness`] measures how evenly
//! load is spread.
//!
//! Nothing here does I/O, reads a clock or starts a thread. What dispatch calls for each request counts in `f64`
//! milliseconds, as the settings and the wire do; leases use [`Timestamp`](gaugestep_clock::Timestamp) and
//! [`Duration`](std::time::Duration).

pub mod assignment;
pub mod fairness;
pub mod ordinal_lease;
pub mod position;
pub mod roster;
pub mod rotation;
pub mod slow_start;
pub mod subset;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The key of a name, the same at every proxy of every build: XXH3-64 of its bytes.
pub fn key(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
}

/// A pseudo-random number from 0 (inclusive) to 1 (exclusive) that depends on the two arguments only.
pub(crate) fn uniform_hash(key: u64, salt: u64) -> f64 {
    /// Bits of an `f64`'s mantissa.
    const BITS: u32 = 53;
    (xxh3_64_with_seed(&salt.to_le_bytes(), key) >> (u64::BITS - BITS)) as f64 / (1u64 << BITS) as f64
}

/// An exponentially distributed number that depends on the two arguments only; divided by a weight it orders candidates by
/// weighted rendezvous hashing, the smallest first.
pub(crate) fn exponential_hash(key: u64, salt: u64) -> f64 {
    /// Keeps the logarithm finite.
    const SMALLEST: f64 = 1e-300;
    -uniform_hash(key, salt).max(SMALLEST).ln()
}
