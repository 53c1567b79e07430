//! Test of the leases that a planner grants to forwarders.

use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_two_level::forwarder_leases::{AttachOutcome, EXPIRE_AFTER, ForwarderLeases};

const START: Timestamp = Timestamp::ORIGIN;
const MILLISECOND: Duration = Duration::from_millis(1);

#[test]
fn a_planner_accepts_forwarders_up_to_its_capacity_and_expires_silent_ones() {
    let mut leases = ForwarderLeases::new(8, 4);
    let outcomes: Vec<AttachOutcome> =
        (0..4).map(|number| leases.attach(START, &format!("f{number}"), 1)).collect();
    let accepted = AttachOutcome::Accepted;
    assert_eq!(outcomes, [accepted, accepted, accepted, AttachOutcome::AtCapacity]);
    let later = START + MILLISECOND;
    assert_eq!(leases.attach(later, "f0", 5), accepted, "an attached forwarder may attach again at any time");
    assert_eq!(leases.attach(later, "f0", 4), AttachOutcome::StaleEpoch);
    let renewed_at = START + 10 * MILLISECOND;
    assert!(leases.renew(renewed_at, "f0", 5));
    assert!(!leases.renew(renewed_at, "f0", 4));
    assert!(!leases.renew(renewed_at, "f9", 1));
    leases.resize(8, 8);
    assert_eq!(leases.len(), 3, "no attached forwarder is removed");
    leases.detach("f1", 2);
    assert!(leases.is_attached("f1", 1), "a detach under another epoch has no effect");
    leases.detach("f1", 1);
    assert!(!leases.is_attached("f1", 1));
    assert_eq!(leases.expire(START + EXPIRE_AFTER + MILLISECOND), ["f2"]);
    assert_eq!(leases.expire(renewed_at + EXPIRE_AFTER), ["f0"]);
    assert!(leases.is_empty());
}
