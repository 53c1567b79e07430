//! Actions wait until the progress that they follow from is committed.

use gaugestep_clock::Timestamp;
use gaugestep_config::schema::Progress;
use gaugestep_leadership::checkpoint::{COUNTS_CHECKPOINT_INTERVAL, CheckpointBarrier};
use prost::Message as _;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn progress(step: u32, served: u64) -> Option<Progress> {
    Some(Progress { number: 1, step, counts: vec![served, 0, 0, 0], ..Progress::default() })
}

#[test]
fn actions_of_a_step_wait_for_its_checkpoint() {
    let mut barrier = CheckpointBarrier::resume(4, Progress::default());
    assert_eq!(barrier.submit('a'), Some('a'));
    let keep = barrier.checkpoint(at(0), progress(0, 0)).unwrap();
    assert_eq!((keep.order, Progress::decode(keep.state.as_slice()).ok()), (5, progress(0, 0)));
    assert_eq!(barrier.submit('b'), None);
    assert_eq!(barrier.checkpoint(at(1), progress(0, 9)), None, "counts alone are not proposed at once");
    assert!(barrier.on_commit(4, true).is_empty(), "of an earlier order");
    assert!(barrier.on_commit(5, false).is_empty());
    let again = barrier.checkpoint(at(2), progress(0, 9)).unwrap();
    assert_eq!(barrier.on_commit(again.order, true), ['b']);
    assert_eq!(barrier.submit('c'), Some('c'));
    assert!(barrier.checkpoint(at(2) + COUNTS_CHECKPOINT_INTERVAL, progress(0, 20)).is_some());
    assert_eq!(barrier.checkpoint(at(9_000), None), None);
}

#[test]
fn a_later_checkpoint_replaces_one_that_is_pending() {
    let mut barrier = CheckpointBarrier::resume(0, Progress::default());
    let first = barrier.checkpoint(at(0), progress(0, 0)).unwrap();
    barrier.submit('a');
    let second = barrier.checkpoint(at(0), progress(1, 0)).unwrap();
    assert!(barrier.on_commit(first.order, true).is_empty(), "the later checkpoint is the one that counts");
    assert_eq!(barrier.on_commit(second.order, true), ['a']);
}
