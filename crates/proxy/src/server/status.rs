//! What the proxy reports about itself to operators.

use std::sync::atomic::{AtomicU64, Ordering};

use super::Server;

/// How often the configuration file was read again since the start.
#[derive(Debug, Default)]
pub struct ReloadCounts {
    applied: AtomicU64,
    rejected: AtomicU64,
}

impl ReloadCounts {
    /// Counts a file that was put into force.
    pub fn record_applied(&self) {
        self.applied.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a file that is invalid.
    pub fn record_rejected(&self) {
        self.rejected.fetch_add(1, Ordering::Relaxed);
    }
}

impl Server {
    /// Whether new clients may come.
    pub fn is_ready(&self) -> bool {
        !self.name_is_superseded() && !self.drain.is_draining() && !self.drain.is_shutting_down()
    }

    /// Whether another process has claimed the proxy's name: this one goes on serving, and gets no versions of the
    /// configuration any more.
    pub fn name_is_superseded(&self) -> bool {
        self.subscriber.get().is_some_and(|subscriber| subscriber.name_is_superseded())
    }

    /// What a ready proxy answers: also which version of the operators' configuration is in force and how old it is, as a
    /// proxy that cannot reach its control service goes on under the last one.
    pub fn readiness_text(&self) -> String {
        match self.subscriber.get() {
            None => "ready\n".into(),
            Some(subscriber) => format!("ready; {}\n", subscriber.status_line()),
        }
    }

    /// The figures of `/ops/stats`.
    pub fn stats_json(&self) -> serde_json::Value {
        let reloads = &self.reload_counts;
        let mut stats = serde_json::json!({
            "results": self.handler.classes.counts_json(),
            "forwards": self.handler.upstream_pool.forwards(),
            "outstanding": self.handler.open_requests.load(Ordering::Relaxed),
            "discovered": self.endpoint_list.len(),
            "ejected": self.handler.facade.ejected_count(),
            "sighup_applied": reloads.applied.load(Ordering::Relaxed),
            "sighup_rejected": reloads.rejected.load(Ordering::Relaxed),
        });
        if let Some(subscriber) = self.subscriber.get() {
            stats["configuration"] = serde_json::json!(subscriber.status());
        }
        stats
    }
}
