//! What the module wants done.

use super::*;

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Its attempts failed or were rejected, and no further one may be made.
    AttemptsFailed,
    /// Its time ran out while no engine had capacity for it.
    QueueTimeout,
    /// By the answers of its class, its run does not fit into the time that is left, or it has no priority weight left.
    TooLong,
    /// Too many requests are open, and its rank is the lowest.
    Overloaded,
}

impl RejectReason {
    /// The reason in words, for people who use clients.
    pub fn description(self) -> &'static str {
        match self {
            RejectReason::AttemptsFailed => "attempts on engines failed, and no further one is allowed",
            RejectReason::QueueTimeout => "no engine had room before the time ran out",
            RejectReason::TooLong => {
                "runs of this class take longer than the time that is left, or than is wanted"
            }
            RejectReason::Overloaded => {
                "too many requests are open, and others are worth more for their work"
            }
        }
    }
}

/// What the module wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt that runs until the client gives up.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        engine: EngineId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: AttemptNo,
    },
    /// Final answer: declined, a retry does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before a retry; 0 gives no advice.
        retry_after: Millis,
        /// Why it is rejected.
        reason: RejectReason,
    },
    /// Final answer: failed, nothing promised about the effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Memory and priority for the request's further sends.
    SetAttemptOptions {
        /// The request.
        id: RequestId,
        /// Memory to grant in MB; 0 leaves it to the engine.
        memory_mb: f64,
        /// Priority from 0 to 3.
        priority: u8,
    },
    /// Ask for a timer.
    SetTimer {
        /// Which timer.
        timer: TimerId,
        /// How long from now.
        delay: Millis,
    },
    /// A line for the on-call reader.
    Log(String),
}
