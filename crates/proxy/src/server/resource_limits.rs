//! Divides the descriptors and the memory of the process between clients and engines.

use crate::config::Limits;
use crate::memory::{MemoryPlan, PlanError};

/// Maximum number of descriptors reserved for uses other than clients and engines.
const MAX_RESERVED_DESCRIPTORS: usize = 32;
/// The reserve is at most the total number of descriptors divided by this.
const RESERVE_DIVISOR: usize = 4;
/// The messages of all sessions together may use the total memory divided by this.
const MESSAGE_MEMORY_DIVISOR: usize = 8;
/// Lower limit of the maximum message length, in bytes.
const MIN_MAX_MESSAGE_LENGTH: usize = 64 * 1024;

/// The limits for clients and for connections to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Maximum number of open client sessions.
    pub max_sessions: usize,
    /// Maximum number of descriptors for connections to engines.
    pub upstream_descriptors: usize,
    /// Maximum length of a client's message, in bytes.
    pub max_message_length: usize,
}

impl ResourceLimits {
    /// Divides the resources of the process. With `is_listener_shared`, a successor accepts from the same
    /// socket, and during the handover both processes together must stay within the limits.
    pub fn new(limits: &Limits, is_listener_shared: bool) -> Self {
        // Queries of clients use up to a third of the descriptors; the connections above that only carry
        // cancel requests.
        let max_sessions = limits.descriptors * 2 / 5;
        let reserve = MAX_RESERVED_DESCRIPTORS.min(limits.descriptors / RESERVE_DIVISOR);
        // Each client is connected either to this process or to the successor, whereas engines have
        // connections from both.
        let upstream_descriptors = if is_listener_shared {
            (limits.descriptors - max_sessions).saturating_sub(2 * reserve) / 2
        } else {
            limits.descriptors - max_sessions - reserve
        };
        let max_message_length =
            (limits.memory_bytes / MESSAGE_MEMORY_DIVISOR / max_sessions).max(MIN_MAX_MESSAGE_LENGTH);
        ResourceLimits { max_sessions, upstream_descriptors, max_message_length }
    }

    /// Divides the memory for these sessions and their messages.
    ///
    /// # Errors
    ///
    /// Returns an error if the memory is too small for the descriptors.
    pub fn memory_plan(&self, limits: &Limits) -> Result<MemoryPlan, PlanError> {
        MemoryPlan::new(limits, self.max_sessions, self.max_message_length)
    }
}

/// Returns the maximum number of open requests: the configured one, limited so that a tenth of the client
/// connections remains free for new clients.
pub fn max_open_requests(configured: usize, limits: &Limits) -> usize {
    configured.min(limits.descriptors / 3 * 9 / 10).max(1)
}

/// Makes the kernel allocate the table for all `descriptors` that the process may open, before it is under
/// load.
///
/// In a process with several threads, each doubling of the table waits for all processors; under load,
/// `accept` was observed to block for seconds.
pub fn preallocate_descriptor_table(descriptors: usize) {
    let last_descriptor = i32::try_from(descriptors.saturating_sub(1)).unwrap_or(i32::MAX);
    if let Err(error) = rustix::io::fcntl_dupfd_cloexec(std::io::stderr(), last_descriptor) {
        eprintln!("gaugestep: cannot preallocate a table of {descriptors} descriptors: {error}");
    }
}

#[cfg(test)]
#[path = "../../tests/unit/resource_limits.rs"]
mod tests;
