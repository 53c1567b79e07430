//! Tests of the choice of the session that gives way.

use std::time::{Duration, Instant};

use super::{HeldMemory, oldest_incomplete, slowest_reader};

const NONE: HeldMemory = HeldMemory { incomplete_since: None, input_bytes: 0, unread_since: None };

#[test]
fn the_oldest_large_incomplete_message_gives_way_and_a_small_one_only_without_a_large_one() {
    let now = Instant::now();
    let incomplete = |age_ms, input_bytes| HeldMemory {
        incomplete_since: Some(now - Duration::from_millis(age_ms)),
        input_bytes,
        ..NONE
    };
    let (small, large, larger) = (incomplete(900, 100), incomplete(50, 9_000), incomplete(20, 60_000));
    let complete = HeldMemory { input_bytes: 60_000, ..NONE };
    let empty = incomplete(2_000, 0);
    let choice = oldest_incomplete([complete, small, larger, large, empty].into_iter().enumerate());
    assert_eq!(choice, Some(3));
    assert_eq!(oldest_incomplete([complete, small, empty].into_iter().enumerate()), Some(1));
    assert_eq!(oldest_incomplete([complete, empty].into_iter().enumerate()), None);
}

#[test]
fn the_client_that_has_not_read_for_longest_gives_way_and_none_that_just_has() {
    let now = Instant::now();
    let unread = |age_ms| HeldMemory { unread_since: Some(now - Duration::from_millis(age_ms)), ..NONE };
    let sessions = [unread(4_000), unread(5_100), unread(9_000), NONE];
    assert_eq!(slowest_reader(sessions.into_iter().enumerate(), now), Some(2));
    assert_eq!(slowest_reader([unread(4_900), NONE].into_iter().enumerate(), now), None);
}
