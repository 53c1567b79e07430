//! Tests of `rollback_guard`.

use gaugestep_leadership::rollback_guard::{FoundStore, StoreRejected, is_stale_start, next_boot};

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
