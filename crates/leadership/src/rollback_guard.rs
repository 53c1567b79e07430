//! Whether a store may be used: a member that forgot what it voted for must not vote.
//!
//! Each start counts one boot in the store and then in a seal beside it, which also names the file that holds the store
//! (device and number). A store of yesterday put back into its place is behind its seal; a copy elsewhere is another
//! file; and where both came back together, the other members know of a later boot. Each is refused with a plain line.

/// What is known of a store and its seal before it is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FoundStore {
    /// Boots that the store has counted; 0: it is new, or was written by a build that did not count.
    pub boots: u64,
    /// The file in which it lies.
    pub file: u64,
    /// The seal: boots and file, if there is one.
    pub generation: Option<(u64, u64)>,
}

/// Why a store may not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRejected {
    /// It is older than its seal.
    RolledBack {
        /// Boots in the store.
        boots: u64,
        /// Boots in the seal.
        recorded: u64,
    },
    /// It has boots and no seal.
    GenerationMissing,
    /// Its seal is another file's.
    Copied,
}

impl std::fmt::Display for StoreRejected {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreRejected::RolledBack { boots, recorded } => {
                write!(f, "the store is older than its seal ({boots} starts, the seal counts {recorded})")
            }
            StoreRejected::GenerationMissing => write!(f, "the store has no seal beside it"),
            StoreRejected::Copied => write!(f, "the store is a copy: its seal names another file"),
        }
    }
}

/// The number of this boot, or why there is none. `restored`: the operator says that the store is to be used as it is, and
/// that whoever used it before is gone for good.
pub fn next_boot(found: FoundStore, restored: bool) -> Result<u64, StoreRejected> {
    let recorded = found.generation.map_or(0, |(boots, _)| boots);
    let refused = match found.generation {
        None if found.boots == 0 => None,
        None => Some(StoreRejected::GenerationMissing),
        Some((_, file)) if file != found.file => Some(StoreRejected::Copied),
        // A start that was killed between store and seal leaves the store one ahead.
        Some((recorded, _)) if found.boots == recorded || Some(found.boots) == recorded.checked_add(1) => {
            None
        }
        Some((recorded, _)) => Some(StoreRejected::RolledBack { boots: found.boots, recorded }),
    };
    match refused {
        Some(refused) if !restored => Err(refused),
        _ => Ok(found.boots.max(recorded).saturating_add(1)),
    }
}

/// What another member says to one that names its boot: whether it is older than one that was heard of.
pub fn is_stale_start(known: (u64, u64), told: (u64, u64)) -> bool {
    let ((known, nonce), (boot, other)) = (known, told);
    boot < known || boot == known && nonce != other
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn yesterdays_store_a_copy_and_one_without_its_seal_are_refused() {
        let found = |boots, file, generation| FoundStore { boots, file, generation };
        assert_eq!(next_boot(found(0, 1, None), false), Ok(1), "new, or of an older build");
        assert_eq!(next_boot(found(3, 1, Some((3, 1))), false), Ok(4));
        assert_eq!(next_boot(found(4, 1, Some((3, 1))), false), Ok(5), "killed between store and seal");
        let older = StoreRejected::RolledBack { boots: 2, recorded: 3 };
        assert_eq!(next_boot(found(2, 1, Some((3, 1))), false), Err(older));
        assert_eq!(next_boot(found(3, 2, Some((3, 1))), false), Err(StoreRejected::Copied));
        assert_eq!(next_boot(found(3, 1, None), false), Err(StoreRejected::GenerationMissing));
        assert_eq!(next_boot(found(2, 1, Some((3, 1))), true), Ok(4), "above both");
        assert_eq!(next_boot(found(0, 1, Some((u64::MAX, 1))), true), Ok(u64::MAX));
    }

    #[test]
    fn the_others_know_a_later_boot() {
        assert!(!is_stale_start((3, 9), (3, 9)) && !is_stale_start((3, 9), (4, 1)));
        assert!(is_stale_start((3, 9), (2, 9)) && is_stale_start((3, 9), (3, 8)));
    }
}
