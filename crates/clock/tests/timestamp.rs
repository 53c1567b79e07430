//! Arithmetic and conversion of timestamps.

use std::time::Duration;

use gaugestep_clock::Timestamp;

#[test]
fn durations_are_added_and_subtracted_and_never_negative() {
    let start = Timestamp::from_millis(1_000);
    let later = start + Duration::from_millis(250);
    assert_eq!(later, Timestamp::from_millis(1_250));
    assert_eq!(later - Duration::from_millis(250), start);
    assert_eq!(later.duration_since(start), Duration::from_millis(250));
    assert_eq!(start.duration_since(later), Duration::ZERO);
}

#[test]
fn timestamps_may_precede_the_origin_and_arithmetic_saturates() {
    let before = Timestamp::ORIGIN - Duration::from_millis(5);
    assert_eq!(before, Timestamp::from_millis_f64(-5.0));
    assert_eq!(before.as_millis_f64(), -5.0);
    assert!(before < Timestamp::ORIGIN);
    let last = Timestamp::ORIGIN + Duration::MAX;
    assert_eq!(last + Duration::from_nanos(1), last + Duration::MAX);
    assert!(before - Duration::MAX < before);
}

#[test]
fn milliseconds_are_converted_both_ways() {
    let timestamp = Timestamp::from_millis_f64(123_456.789);
    assert_eq!(timestamp.as_millis_f64(), 123_456.789);
    assert_eq!(Timestamp::from_millis(7).as_millis_f64(), 7.0);
}
