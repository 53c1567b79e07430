//! Actions are deferred until the rollout progress that they depend on is committed.

use gaugestep_clock::Timestamp;
use gaugestep_config::schema::Progress;
use gaugestep_leadership::checkpoint::{COUNTS_CHECKPOINT_INTERVAL, CheckpointBarrier};
use prost::Message as _;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn progress(step: u32, request_count: u64) -> Option<Progress> {
    Some(Progress { number: 1, step, counts: vec![request_count, 0, 0, 0], ..Progress::default() })
}

#[test]
fn actions_are_deferred_until_the_checkpoint_of_their_step_is_committed() {
    let mut barrier = CheckpointBarrier::resume(4, Progress::default());
    assert_eq!(barrier.submit('a'), Some('a'));
    let keep = barrier.checkpoint(at(0), progress(0, 0)).unwrap();
    assert_eq!((keep.order, Progress::decode(keep.state.as_slice()).ok()), (5, progress(0, 0)));
    assert_eq!(barrier.submit('b'), None);
    assert_eq!(
        barrier.checkpoint(at(1), progress(0, 9)),
        None,
        "changed counts are not proposed before the interval has passed"
    );
    assert!(barrier.on_commit(4, true).is_empty(), "a commit of an earlier order releases no actions");
    assert!(barrier.on_commit(5, false).is_empty());
    let retried = barrier.checkpoint(at(2), progress(0, 9)).unwrap();
    assert_eq!(barrier.on_commit(retried.order, true), ['b']);
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
    assert!(barrier.on_commit(first.order, true).is_empty(), "actions wait for the later checkpoint");
    assert_eq!(barrier.on_commit(second.order, true), ['a']);
}
