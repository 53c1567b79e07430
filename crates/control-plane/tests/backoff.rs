//! The delays before reconnections.

use std::time::Duration;

use gaugestep_control_plane::transport::backoff::{BASE_RANGE, Backoff, MAX_RANGE, RESET_AFTER};

#[test]
fn the_range_doubles_up_to_its_maximum_and_is_reset_by_a_healthy_stream() {
    let mut backoff = Backoff::new(1);
    for failure in 0..2_000u32 {
        let range = BASE_RANGE.saturating_mul(1 << failure.min(20)).min(MAX_RANGE);
        assert!(backoff.next_delay(Duration::ZERO) <= range);
    }
    assert!(backoff.next_delay(RESET_AFTER) <= BASE_RANGE);
}

/// Guards against reconnection storms: when 300 proxies lose their server at the same moment, each tenth of
/// the first range must contain 10 to 59 of the reconnections.
#[test]
fn many_reconnects_are_spread_out() {
    let mut tenths = [0; 10];
    for seed in 0..300 {
        let delay = Backoff::new(seed).next_delay(Duration::ZERO);
        tenths[(delay.as_secs_f64() / BASE_RANGE.as_secs_f64() * 10.0) as usize] += 1;
    }
    assert!(tenths.iter().all(|count| (10..60).contains(count)), "{tenths:?}");
}
