//! Tests of `checkpoint`.

use gaugestep_config::schema::Progress;
use gaugestep_leadership::checkpoint::{COUNTS_INTERVAL, CheckpointBarrier};
use prost::Message as _;

fn progress(step: u32, served: u64) -> Option<Progress> {
    Some(Progress { number: 1, step, counts: vec![served, 0, 0, 0], ..Progress::default() })
}

#[test]
fn nothing_is_said_of_a_step_before_it_is_agreed_on() {
    let mut barrier = CheckpointBarrier::resume(4, Progress::default());
    assert_eq!(barrier.submit('a'), Some('a'));
    let keep = barrier.checkpoint(0.0, progress(0, 0)).unwrap();
    assert_eq!((keep.order, Progress::decode(keep.state.as_slice()).ok()), (5, progress(0, 0)));
    assert_eq!(barrier.submit('b'), None);
    assert_eq!(barrier.checkpoint(1.0, progress(0, 9)), None, "counts alone are not proposed at once");
    assert!(barrier.on_commit(4, true).is_empty(), "of an earlier order");
    assert!(barrier.on_commit(5, false).is_empty());
    let again = barrier.checkpoint(2.0, progress(0, 9)).unwrap();
    assert_eq!(barrier.on_commit(again.order, true), ['b']);
    assert_eq!(barrier.submit('c'), Some('c'));
    assert!(barrier.checkpoint(2.0 + COUNTS_INTERVAL, progress(0, 20)).is_some());
    assert_eq!(barrier.checkpoint(9_000.0, None), None);
}

#[test]
fn a_later_step_holds_up_what_the_earlier_one_released_nothing_for() {
    let mut barrier = CheckpointBarrier::resume(0, Progress::default());
    let first = barrier.checkpoint(0.0, progress(0, 0)).unwrap();
    barrier.submit('a');
    let second = barrier.checkpoint(0.0, progress(1, 0)).unwrap();
    assert!(barrier.on_commit(first.order, true).is_empty(), "the later state is the one that counts");
    assert_eq!(barrier.on_commit(second.order, true), ['a']);
}
