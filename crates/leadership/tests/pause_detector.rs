//! Tests of `pause_detector`.

use gaugestep_leadership::pause_detector::PauseDetector;

#[test]
fn who_stood_still_waits_for_a_proxy_that_has_seen_nobody_else() {
    let mut detector = PauseDetector::new(0.0);
    assert!(!detector.observe(1_999.0, 2_000.0, true));
    assert!(!detector.observe(9_000.0, 2_000.0, false), "nobody could have turned to another");
    assert!(detector.observe(20_000.0, 2_000.0, true));
    assert!(!detector.observe(20_100.0, 2_000.0, true));
    assert_eq!(detector.suspended_for(), Some(11_000.0));
    detector.clear();
    assert_eq!(detector.suspended_for(), None);
}
