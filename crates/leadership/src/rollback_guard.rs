//! Whether a store may be used: a member that has forgotten its vote must not vote again.
//!
//! Each start counts up in the store and then in a generation file beside it, which also names the file that holds the
//! store (its device and inode). A store that was restored from a backup is behind its generation file, a copy is
//! another file, and if both files were restored together the other members know of a later start. Each case is refused.

use thiserror::Error;

/// What the generation file beside a store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Generation {
    /// Starts that were counted.
    pub boots: u64,
    /// The identity of the file that held the store.
    pub file: u64,
}

/// A store and its generation file, before the store is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FoundStore {
    /// Starts that the store has counted; 0: it is new, or was written by a build that did not count.
    pub boots: u64,
    /// The identity of the file that holds the store.
    pub file: u64,
    /// The content of the generation file, if there is one.
    pub generation: Option<Generation>,
}

/// Why a store may not be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum StoreRejected {
    /// It is older than its generation file.
    #[error("the store is older than its seal ({boots} starts, the seal counts {recorded})")]
    RolledBack {
        /// Starts that the store counts.
        boots: u64,
        /// Starts that the generation file counts.
        recorded: u64,
    },
    /// It was used before, and has no generation file.
    #[error("the store has no seal beside it")]
    GenerationMissing,
    /// Its generation file names another file.
    #[error("the store is a copy: its seal names another file")]
    Copied,
}

/// Whether a store that fails the check is used all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestorePolicy {
    /// It is refused.
    Reject,
    /// It is used: the operator says that whoever used it before is gone for good.
    Accept,
}

/// The number of this start.
///
/// # Errors
///
/// [`StoreRejected`] if the store fails the check, unless `policy` accepts that.
pub fn next_boot(found: FoundStore, policy: RestorePolicy) -> Result<u64, StoreRejected> {
    if policy == RestorePolicy::Reject {
        check(found)?;
    }
    let recorded = found.generation.map_or(0, |generation| generation.boots);
    Ok(found.boots.max(recorded).saturating_add(1))
}

fn check(found: FoundStore) -> Result<(), StoreRejected> {
    let Some(generation) = found.generation else {
        return if found.boots == 0 { Ok(()) } else { Err(StoreRejected::GenerationMissing) };
    };
    if generation.file != found.file {
        return Err(StoreRejected::Copied);
    }
    // A start that was killed between the two writes leaves the store one ahead.
    let recorded = generation.boots;
    if found.boots == recorded || Some(found.boots) == recorded.checked_add(1) {
        return Ok(());
    }
    Err(StoreRejected::RolledBack { boots: found.boots, recorded })
}

/// One start of a member's process, as other members know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessStart {
    /// The number of the start.
    pub boot: u64,
    /// Drawn at the start: two processes that count the same number differ in it.
    pub nonce: u64,
}

/// Whether a member that announces a start has forgotten a later one that is known of it.
pub fn is_stale_start(known: ProcessStart, announced: ProcessStart) -> bool {
    announced.boot < known.boot || announced.boot == known.boot && announced.nonce != known.nonce
}
