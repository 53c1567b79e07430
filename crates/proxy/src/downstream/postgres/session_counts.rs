//! Counts of sessions by how they ended, for operators.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use super::error::FatalError;
use crate::lock;

/// Numbers of sessions since the start of the proxy.
#[derive(Default)]
pub struct SessionCounts {
    /// Sessions that were evicted because memory was used up.
    evicted_for_memory: AtomicU64,
    /// Sessions that ended with an error, by error.
    failures: Mutex<BTreeMap<FatalError, u64>>,
}

impl SessionCounts {
    /// Counts a session that is evicted because memory is used up.
    pub fn record_eviction(&self) {
        self.evicted_for_memory.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a session that ends with an error.
    pub fn record_failure(&self, error: FatalError) {
        *lock(&self.failures).entry(error).or_default() += 1;
    }

    /// Returns the counts with the number of open sessions, as the JSON object that operators read.
    pub fn to_json(&self, open: usize) -> serde_json::Value {
        let failures = lock(&self.failures);
        let failures: serde_json::Map<String, serde_json::Value> =
            failures.iter().map(|(error, count)| (format!("{error:?}"), (*count).into())).collect();
        let evicted_for_memory = self.evicted_for_memory.load(Ordering::Relaxed);
        serde_json::json!({"open": open, "evicted_for_memory": evicted_for_memory, "failed": failures})
    }
}
