#![forbid(unsafe_code)]
//! Decisions that each proxy makes on its own and that together balance the load of the fleet.
//!
//! Every proxy has a position in the fleet ([`position`]): an *ordinal*, a number that no other proxy has at
//! the same time, or the key of its name while it has no ordinal. From its position a proxy computes, without
//! communication, which engines are in its subset ([`subset`], [`assignment`]), when it does something that
//! all proxies would otherwise do at the same moment ([`rotation`]), and how much it may send an engine that
//! is warming up ([`slow_start`]).
//!
//! Ordinals come from the settings, from a list in the configuration document, or from a roster that the
//! lease holder of a role manages ([`roster`]); a proxy uses an ordinal of the roster under a lease
//! ([`ordinal_lease`]). [`fairness`] measures how evenly load is distributed.
//!
//! Nothing here does I/O, reads a clock or starts a thread. The functions that the dispatcher calls for each
//! request take times in `f64` milliseconds, as the settings and the wire do; leases use
//! [`Timestamp`](gaugestep_clock::Timestamp) and [`Duration`](std::time::Duration).

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
    /// Precision of an `f64` in bits.
    const PRECISION_BITS: u32 = 53;
    let hash = xxh3_64_with_seed(&salt.to_le_bytes(), key);
    (hash >> (u64::BITS - PRECISION_BITS)) as f64 / (1u64 << PRECISION_BITS) as f64
}

/// An exponentially distributed pseudo-random number that depends on the two arguments only. Divided by a
/// weight it orders candidates for weighted rendezvous hashing, the smallest first.
pub(crate) fn exponential_hash(key: u64, salt: u64) -> f64 {
    /// Replaces 0, whose logarithm is not finite.
    const MIN_HASH: f64 = 1e-300;
    -uniform_hash(key, salt).max(MIN_HASH).ln()
}
