//! Divides the memory limit of the process at its start. docs/capacity.md shows the sums as a table.

use crate::config::Limits;
use crate::discovery::MAX_EVENT_LENGTH;

const KB: usize = 1024;
const MB: usize = 1024 * KB;

/// The program, its threads, the log queue and the statistics.
const PROGRAM_BYTES: usize = 14 * MB;
/// An event of the endpoint list while it is received and decoded.
const DISCOVERY_BYTES: usize = 2 * MB;
/// An event of the endpoint list may have the total memory divided by this: decoded, it takes up to seventeen times
/// its length.
const EVENT_MEMORY_DIVISOR: usize = 48;
/// The touched part of a coroutine's stack.
const STACK_BYTES: usize = 8 * KB;
/// A session without input: its stack, its state and the output that its client has not read.
const SESSION_BYTES: usize = STACK_BYTES + 8 * KB;
/// The longest result of an engine (48,000 bytes) with the page that may exceed it.
const RESULT_BYTES: usize = 54_000;
/// A part of a result that is encoded but not yet written.
const ENCODED_RESULT_BYTES: usize = 16 * KB;
/// An incomplete message of an engine: a line, a page and what was read beyond them.
const UPSTREAM_INPUT_BYTES: usize = 20 * KB;
/// An open request without its statement: two coroutines, the message of its engine, and its result.
const REQUEST_BYTES: usize = 2 * STACK_BYTES + UPSTREAM_INPUT_BYTES + RESULT_BYTES + ENCODED_RESULT_BYTES;
/// Input that each session may hold, whatever the others hold.
pub const SMALL_INPUT_BYTES: usize = 1280;
/// Copies of a statement: in the request, and in the output of a connection whose engine does not read.
const STATEMENT_COPIES: usize = 2;
/// The part of the divided memory that is left to the allocator, for fragmentation.
const FRAGMENTATION_DIVISOR: usize = 10;
/// Incomplete messages get one part in this many; open requests get the rest.
const MESSAGES_DIVISOR: usize = 3;
/// The least number of requests and of incomplete messages of the longest length that must fit.
const MIN_REQUESTS: usize = 4;

/// The limits cannot be met together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("'limits.memory_mb' must be {required_mb} or more with 'limits.sockets' of {descriptors}")]
pub struct PlanError {
    /// The least memory, in MB.
    pub required_mb: usize,
    /// The number of descriptors in the configuration.
    pub descriptors: usize,
}

/// How the memory of the process is divided between buffers whose sizes peers choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Bytes for input of clients that is not processed yet.
    pub message_bytes: usize,
    /// The part of `message_bytes` that holds [`SMALL_INPUT_BYTES`] of each session.
    pub small_message_bytes: usize,
    /// Bytes for open requests, from the acceptance of a query until its response is written.
    pub request_bytes: usize,
}

impl MemoryPlan {
    /// Divides the memory for at most `max_sessions` sessions, whose messages are at most `max_message_length`
    /// long.
    ///
    /// # Errors
    ///
    /// Returns an error if the memory is too small for the sessions and a few requests.
    pub fn new(limits: &Limits, max_sessions: usize, max_message_length: usize) -> Result<Self, PlanError> {
        let fixed = PROGRAM_BYTES + DISCOVERY_BYTES + max_sessions * SESSION_BYTES;
        let divided = limits.memory_bytes.saturating_sub(fixed);
        let divided = divided - divided / FRAGMENTATION_DIVISOR;
        let small_message_bytes = max_sessions * SMALL_INPUT_BYTES;
        let message_bytes = divided / MESSAGES_DIVISOR;
        let request_bytes = divided - message_bytes;
        let least_request_bytes = MIN_REQUESTS * request_charge(max_message_length);
        let least_message_bytes = small_message_bytes + 2 * MIN_REQUESTS * max_message_length;
        if request_bytes < least_request_bytes || message_bytes < least_message_bytes {
            let for_requests = least_request_bytes * MESSAGES_DIVISOR / (MESSAGES_DIVISOR - 1);
            let least_divided = for_requests.max(least_message_bytes * MESSAGES_DIVISOR);
            let required = fixed + least_divided * FRAGMENTATION_DIVISOR / (FRAGMENTATION_DIVISOR - 1);
            let required_mb = required.div_ceil(MB) + 1;
            return Err(PlanError { required_mb, descriptors: limits.descriptors });
        }
        Ok(MemoryPlan { message_bytes, small_message_bytes, request_bytes })
    }
}

/// Returns the most bytes that a request with a statement of this length uses until its response is written.
pub fn request_charge(statement_length: usize) -> usize {
    REQUEST_BYTES + STATEMENT_COPIES * statement_length
}

/// Returns the maximum length of an event of the endpoint list, in bytes.
pub fn max_event_length(limits: &Limits) -> usize {
    MAX_EVENT_LENGTH.min(limits.memory_bytes / EVENT_MEMORY_DIVISOR)
}

#[cfg(test)]
#[path = "../../tests/unit/memory_plan.rs"]
mod tests;
