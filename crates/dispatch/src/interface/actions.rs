//! The actions that the dispatcher asks its embedder to carry out.

use super::*;

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The request's attempts failed or were rejected, and no further attempt is allowed.
    AttemptsFailed,
    /// No engine had capacity for the request before its deadline.
    QueueTimeout,
    /// The expected run time, learned from the responses of the class, exceeds the time to the deadline by
    /// far, or a response would have no priority weight any more.
    TooLong,
    /// More than [`Settings::max_open`] requests are open, and this one has the lowest rank.
    Overloaded,
}

impl RejectReason {
    /// The reason in words, as clients receive it.
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

/// One action for the embedder. Actions are carried out in the order in which the dispatcher returns them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt, which may run until the request's deadline.
    Send {
        /// The request to send.
        id: RequestId,
        /// The engine to send it to.
        engine: EngineId,
    },
    /// Cancel an attempt. Its end is still reported as [`Event::AttemptEnded`].
    Cancel {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The attempt to cancel.
        attempt: AttemptNo,
    },
    /// The final response: rejected. The client may safely retry.
    Reject {
        /// The rejected request.
        id: RequestId,
        /// How long the client should wait before a retry, in ms; 0 if no retry delay is sent.
        retry_after: Millis,
        /// The reason for the rejection.
        reason: RejectReason,
    },
    /// The final response: failed. The request may have taken effect.
    Fail {
        /// The failed request.
        id: RequestId,
    },
    /// Set the memory grant and the priority of the request's further attempts.
    SetAttemptOptions {
        /// The request whose attempts the options apply to.
        id: RequestId,
        /// The memory grant in MB; 0 leaves it to the engine.
        memory_mb: f64,
        /// The priority from 0 to 3; 3 is the highest.
        priority: u8,
    },
    /// Start a timer. When it is due, the embedder sends [`Event::Timer`].
    SetTimer {
        /// The id to pass with the event.
        timer: TimerId,
        /// The time from now until the timer is due, in ms.
        delay: Millis,
    },
    /// Write a line to the log, for operators.
    Log(String),
}
