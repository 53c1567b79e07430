//! Tests of the division of the memory.

use super::{DISCOVERY_BYTES, MB, MemoryPlan, PROGRAM_BYTES, SESSION_BYTES, request_charge};
use crate::config::Limits;

fn limits(memory_mb: usize) -> Limits {
    Limits { descriptors: 1024, memory_bytes: memory_mb * MB }
}

#[test]
fn all_parts_together_stay_within_the_limit() {
    for memory_mb in [32, 48, 64, 192, 2048] {
        let plan = MemoryPlan::new(&limits(memory_mb), 409, 64 * 1024).expect("enough memory");
        let sum =
            PROGRAM_BYTES + DISCOVERY_BYTES + 409 * SESSION_BYTES + plan.message_bytes + plan.request_bytes;
        assert!(sum <= memory_mb * MB, "{sum} of {memory_mb} MB");
        assert!(plan.request_bytes >= 20 * request_charge(1_000), "{memory_mb} MB");
    }
}

#[test]
fn too_little_memory_is_rejected_with_the_least_that_suffices() {
    let error = MemoryPlan::new(&limits(16), 409, 64 * 1024).expect_err("16 MB are too little");
    assert!(MemoryPlan::new(&limits(error.required_mb), 409, 64 * 1024).is_ok(), "{error}");
    assert!(MemoryPlan::new(&limits(error.required_mb - 2), 409, 64 * 1024).is_err(), "{error}");
    assert!(error.required_mb <= 32, "{error}");
}
