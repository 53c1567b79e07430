//! Checks all connections at regular intervals.

use std::sync::Weak;
use std::time::{Duration, Instant};

use super::pool::UpstreamPool;
use crate::{lock, task};

/// Between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

impl UpstreamPool {
    /// Checks silent connections and closes idle ones; blocks its coroutine and never returns.
    pub fn run_sweeper(&self) {
        // Earlier than the databases, which close idle connections too: an attempt must not be sent as they close.
        let idle_timeout = Duration::from_millis(self.limits.engine_idle_timeout_ms * 2 / 3);
        loop {
            task::sleep(SWEEP_INTERVAL);
            let mut connections = lock(&self.connections);
            connections.retain(|connection| connection.strong_count() > 0);
            for connection in connections.iter().filter_map(Weak::upgrade) {
                connection.check_health(Instant::now(), idle_timeout);
            }
        }
    }
}
