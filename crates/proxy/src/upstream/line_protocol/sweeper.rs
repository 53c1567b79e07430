//! Checks all connections periodically.

use std::sync::Weak;
use std::time::{Duration, Instant};

use super::pool::UpstreamPool;
use crate::{lock, task};

/// Time between two checks of a connection.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

impl UpstreamPool {
    /// Has silent connections checked and idle ones closed; blocks its coroutine and never returns.
    pub fn run_sweeper(&self) {
        loop {
            task::sleep(SWEEP_INTERVAL);
            // Engines close connections after `engine_idle_timeout_ms` without traffic. The proxy closes them
            // earlier, so that no attempt is sent on a connection that its engine is closing.
            let idle_timeout = Duration::from_millis(self.settings().engine_idle_timeout_ms * 2 / 3);
            let mut connections = lock(&self.connections);
            connections.retain(|connection| connection.strong_count() > 0);
            for connection in connections.iter().filter_map(Weak::upgrade) {
                connection.check_health(Instant::now(), idle_timeout);
            }
        }
    }
}
