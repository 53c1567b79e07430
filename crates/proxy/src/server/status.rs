//! Readiness and statistics that the proxy reports to operators.

use std::sync::atomic::{AtomicU64, Ordering};

use super::Server;
use crate::memory::MemoryAccount;
use crate::memory::account::AccountUsage;

/// Number of reloads of the configuration file since the start, by result.
#[derive(Debug, Default)]
pub struct ReloadCounts {
    applied: AtomicU64,
    rejected: AtomicU64,
}

impl ReloadCounts {
    /// Counts a reload whose configuration was applied.
    pub fn record_applied(&self) {
        self.applied.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a reload that was rejected because the file is invalid.
    pub fn record_rejected(&self) {
        self.rejected.fetch_add(1, Ordering::Relaxed);
    }
}

impl Server {
    /// Returns whether the proxy is ready for new clients.
    pub fn is_ready(&self) -> bool {
        !self.name_is_superseded() && !self.drain.is_draining() && !self.drain.is_shutting_down()
    }

    /// Returns whether another process has claimed the proxy's name. This process then continues to serve its
    /// clients, but receives no further configuration versions.
    pub fn name_is_superseded(&self) -> bool {
        self.subscriber.as_ref().is_some_and(|subscriber| subscriber.name_is_superseded())
    }

    /// Returns the readiness response of a ready proxy. It includes the configuration version in force and
    /// its age, because a proxy that cannot reach the control server continues with the last version.
    pub fn readiness_text(&self) -> String {
        match &self.subscriber {
            None => "ready\n".into(),
            Some(subscriber) => format!("ready; {}\n", subscriber.status_line()),
        }
    }

    /// Returns the memory statistics of `/ops/memory`.
    pub fn memory_json(&self) -> serde_json::Value {
        let account = |account: &MemoryAccount| {
            let AccountUsage { limit, used, peak, failed_charges } = account.usage();
            serde_json::json!({"limit": limit, "used": used, "peak": peak, "failed_charges": failed_charges})
        };
        serde_json::json!({
            "limit": self.limits.memory_bytes,
            "messages": account(self.session_manager.message_memory()),
            "requests": account(&self.handler.request_memory),
            "sessions": self.session_manager.counts_json(),
        })
    }

    /// Returns the statistics of `/ops/stats`.
    pub fn stats_json(&self) -> serde_json::Value {
        let reloads = &self.reload_counts;
        let mut stats = serde_json::json!({
            "results": self.handler.classes.counts_json(),
            "forwards": self.handler.upstream_pool.attempts_sent(),
            "outstanding": self.handler.open_requests.load(Ordering::Relaxed),
            "discovered": self.endpoint_list.len(),
            "ejected": self.handler.facade.ejected_count(),
            "sighup_applied": reloads.applied.load(Ordering::Relaxed),
            "sighup_rejected": reloads.rejected.load(Ordering::Relaxed),
        });
        if let Some(subscriber) = &self.subscriber {
            stats["configuration"] = serde_json::json!(subscriber.status());
        }
        stats
    }
}
