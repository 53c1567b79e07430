//! Tests of the division of descriptors and memory.

use super::{ResourceLimits, max_open_requests};
use crate::config::Limits;

fn limits(descriptors: usize, memory_mb: usize) -> Limits {
    Limits { descriptors, memory_bytes: memory_mb * 1024 * 1024 }
}

#[test]
fn clients_engines_and_the_reserve_never_exceed_the_descriptors() {
    for descriptors in [64, 65, 100, 256, 1024, 65_536] {
        let exclusive = ResourceLimits::new(&limits(descriptors, 192), false);
        let reserve = descriptors - exclusive.max_sessions - exclusive.upstream_descriptors;
        assert_eq!(exclusive.max_sessions, descriptors * 2 / 5);
        assert_eq!(reserve, 32.min(descriptors / 4), "{descriptors}");
        let shared = ResourceLimits::new(&limits(descriptors, 192), true);
        assert_eq!(shared.max_sessions, exclusive.max_sessions);
        assert!(shared.max_sessions + 2 * (shared.upstream_descriptors + reserve) <= descriptors);
    }
}

#[test]
fn messages_of_all_sessions_use_an_eighth_of_the_memory_or_64_kb_each() {
    let large = ResourceLimits::new(&limits(100, 1024), false);
    assert_eq!(large.max_message_length, 1024 * 1024 * 1024 / 8 / 40);
    assert_eq!(ResourceLimits::new(&limits(1024, 1), false).max_message_length, 64 * 1024);
}

#[test]
fn a_tenth_of_the_client_connections_remains_free() {
    assert_eq!(max_open_requests(20_000, &limits(1024, 192)), 306);
    assert_eq!(max_open_requests(10, &limits(1024, 192)), 10);
    assert_eq!(max_open_requests(0, &limits(1024, 192)), 1);
}
