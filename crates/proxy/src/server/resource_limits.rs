//! How descriptors and memory are shared out between clients and databases.

use crate::config::Limits;

/// Descriptors for everything but clients and databases.
const MAX_RESERVED_DESCRIPTORS: usize = 32;
/// The part of all descriptors that the reserve may be.
const RESERVE_DIVISOR: usize = 4;
/// The part of the memory that the messages of all sessions may take.
const MESSAGE_MEMORY_DIVISOR: usize = 8;
/// The least message length that clients are allowed, in bytes.
const MIN_MESSAGE_LIMIT: usize = 64 * 1024;

/// What each side of the proxy may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Sessions of clients that may be open together.
    pub max_sessions: usize,
    /// Descriptors for connections to databases.
    pub upstream_descriptors: usize,
    /// The longest message that a client may send, in bytes.
    pub max_message_length: usize,
}

impl ResourceLimits {
    /// Shares out what the process may use. If `is_listener_shared`, a successor accepts from the same socket, and both
    /// processes together may use it for a while.
    pub fn new(limits: &Limits, is_listener_shared: bool) -> Self {
        // Clients use a third of the descriptors; the few connections beyond only cancel queries.
        let max_sessions = limits.descriptors * 2 / 5;
        let reserve = MAX_RESERVED_DESCRIPTORS.min(limits.descriptors / RESERVE_DIVISOR);
        // A client has one connection, to this process or to its successor. Databases have connections to both.
        let upstream_descriptors = if is_listener_shared {
            (limits.descriptors - max_sessions).saturating_sub(2 * reserve) / 2
        } else {
            limits.descriptors - max_sessions - reserve
        };
        let max_message_length =
            (limits.memory_bytes / MESSAGE_MEMORY_DIVISOR / max_sessions).max(MIN_MESSAGE_LIMIT);
        ResourceLimits { max_sessions, upstream_descriptors, max_message_length }
    }
}

/// How many requests may be open together: a tenth of the clients' connections stays free for those who come next.
pub fn max_open_requests(configured: usize, limits: &Limits) -> usize {
    configured.min(limits.descriptors / 3 * 9 / 10).max(1)
}

/// Has the kernel allocate the table of all descriptors that the process may hold, before there is load.
///
/// In a process with more than one thread, each doubling of the table waits for all processors. A busy proxy was seen to
/// hang in `accept` for seconds.
pub fn preallocate_descriptor_table(descriptors: usize) {
    let last = i32::try_from(descriptors.saturating_sub(1)).unwrap_or(i32::MAX);
    if let Err(error) = rustix::io::fcntl_dupfd_cloexec(std::io::stderr(), last) {
        eprintln!("gaugestep: no room for {descriptors} descriptors: {error}");
    }
}
