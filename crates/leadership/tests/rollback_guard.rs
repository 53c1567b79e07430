//! A store that was rolled back or copied is rejected.

use gaugestep_leadership::rollback_guard::{
    FoundStore, Generation, ProcessStart, RestoredStorePolicy, StoreRejected, is_stale_start, next_boot,
};

#[test]
fn a_restored_store_a_copy_and_one_without_its_generation_file_are_rejected() {
    let found = |boots, file, generation: Option<(u64, u64)>| {
        let generation = generation.map(|(boots, file)| Generation { boots, file });
        FoundStore { boots, file, generation }
    };
    let check = |found| next_boot(found, RestoredStorePolicy::Reject);
    let restore = |found| next_boot(found, RestoredStorePolicy::Accept);
    assert_eq!(check(found(0, 1, None)), Ok(1), "a new store, or one of an older build");
    assert_eq!(check(found(3, 1, Some((3, 1)))), Ok(4));
    assert_eq!(check(found(4, 1, Some((3, 1)))), Ok(5), "the process was killed between the two writes");
    let rolled_back = StoreRejected::RolledBack { boots: 2, recorded: 3 };
    assert_eq!(check(found(2, 1, Some((3, 1)))), Err(rolled_back));
    assert_eq!(check(found(3, 2, Some((3, 1)))), Err(StoreRejected::Copied));
    assert_eq!(check(found(3, 1, None)), Err(StoreRejected::GenerationMissing));
    assert_eq!(restore(found(2, 1, Some((3, 1)))), Ok(4), "above the counts of both files");
    assert_eq!(restore(found(0, 1, Some((u64::MAX, 1)))), Ok(u64::MAX));
}

#[test]
fn a_start_before_the_latest_recorded_one_or_with_another_nonce_is_stale() {
    let start = |boot, nonce| ProcessStart { boot, nonce };
    assert!(!is_stale_start(start(3, 9), start(3, 9)));
    assert!(!is_stale_start(start(3, 9), start(4, 1)));
    assert!(is_stale_start(start(3, 9), start(2, 9)));
    assert!(is_stale_start(start(3, 9), start(3, 8)));
}
