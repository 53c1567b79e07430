//! A control server without peers detects suspensions of its process.

use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_leadership::pause_detector::SuspensionDetector;

const LEASE: Duration = Duration::from_secs(2);

#[test]
fn a_suspension_while_proxies_follow_is_recorded_until_it_is_cleared() {
    let mut detector = SuspensionDetector::new(Timestamp::ORIGIN);
    assert!(!detector.observe(Timestamp::from_millis(1_999), LEASE, true));
    assert!(
        !detector.observe(Timestamp::from_millis(9_000), LEASE, false),
        "no proxy could have followed another server"
    );
    assert!(detector.observe(Timestamp::from_millis(20_000), LEASE, true));
    assert!(!detector.observe(Timestamp::from_millis(20_100), LEASE, true));
    assert_eq!(detector.suspended_for(), Some(Duration::from_secs(11)));
    detector.clear();
    assert_eq!(detector.suspended_for(), None);
}
