//! Decides whether a store may be used. A member whose store has lost its vote must not vote again.
//!
//! Each start increments a counter in the store and then in a generation file next to it, which also
//! identifies the file of the store by device and inode. A store that was restored from a backup has a lower
//! count than its generation file, and a copy is another file. If both files were restored together, the
//! other members have recorded a later start. Each of these cases is rejected.

use thiserror::Error;

/// The content of the generation file of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Generation {
    /// The number of starts.
    pub boots: u64,
    /// Identifies the file that contained the store at its last start.
    pub file: u64,
}

/// The state of a store and its generation file before the store is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FoundStore {
    /// The number of starts according to the store; 0 if it is new or was written by a build that did not
    /// count starts.
    pub boots: u64,
    /// Identifies the file that contains the store.
    pub file: u64,
    /// The content of the generation file; `None` if there is no such file.
    pub generation: Option<Generation>,
}

/// The reason why a store must not be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum StoreRejected {
    /// The store is older than its generation file.
    #[error("the store is older than its seal ({boots} starts, the seal counts {recorded})")]
    RolledBack {
        /// The number of starts according to the store.
        boots: u64,
        /// The number of starts according to the generation file.
        recorded: u64,
    },
    /// The store was used before but has no generation file.
    #[error("the store has no seal beside it")]
    GenerationMissing,
    /// The generation file identifies another file.
    #[error("the store is a copy: its seal names another file")]
    Copied,
}

/// Whether a store that appears to be restored from a backup or copied is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoredStorePolicy {
    /// The store is rejected.
    Reject,
    /// The store is used, because the operator has confirmed that the process that used it before never runs
    /// again.
    Accept,
}

/// Checks the store and returns the number of this start, which is above all earlier ones.
///
/// # Errors
///
/// [`StoreRejected`] if the store fails the check and `policy` is [`RestoredStorePolicy::Reject`].
pub fn next_boot(found: FoundStore, policy: RestoredStorePolicy) -> Result<u64, StoreRejected> {
    if policy == RestoredStorePolicy::Reject {
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
    // If a process is killed between the two writes, the store is one start ahead.
    let recorded = generation.boots;
    if found.boots == recorded || Some(found.boots) == recorded.checked_add(1) {
        return Ok(());
    }
    Err(StoreRejected::RolledBack { boots: found.boots, recorded })
}

/// Identifies one start of the process of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessStart {
    /// The number of the start.
    pub boot: u64,
    /// A random number that distinguishes two processes with the same number of the start.
    pub nonce: u64,
}

/// Whether the announced start of a member is older than, or conflicts with, its latest recorded start.
pub fn is_stale_start(latest: ProcessStart, announced: ProcessStart) -> bool {
    announced.boot < latest.boot || announced.boot == latest.boot && announced.nonce != latest.nonce
}
