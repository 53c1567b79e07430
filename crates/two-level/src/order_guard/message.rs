//! What planners order, and what the guard has the forwarder do.

use std::time::Duration;

use super::request::{Attempt, AttemptState, EngineId, RequestInfo};

/// An order of a planner for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Order {
    /// Start an attempt.
    StartAttempt {
        /// The number of the attempt, from 0.
        attempt: usize,
        /// The engine to send it to.
        engine: EngineId,
        /// Its priority.
        priority: u8,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The number of the attempt.
        attempt: usize,
    },
    /// Change the priority of the attempt in flight.
    SetPriority {
        /// The new priority.
        priority: u8,
    },
    /// Final answer: nothing was done, and the client may retry.
    Reject {
        /// When the client may retry.
        retry_after: Duration,
    },
    /// Final answer: the request has failed.
    Fail,
}

/// Why an order is void.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRejected {
    /// The forwarder does not follow this planner, or followed it under an earlier epoch.
    Fenced,
    /// The planner's lease has expired.
    LeaseExpired,
    /// The request is not open, or was not registered with this planner.
    UnknownRequest,
    /// The attempt is not the next one, or not the one in flight.
    OutOfTurn,
    /// An attempt is in flight.
    AttemptInFlight,
    /// The request may have run, and its effect does not allow this repeat.
    NotRepeatable,
    /// The request has had all its attempts.
    AttemptsExhausted,
    /// The retry budget is used up.
    RetryBudgetExhausted,
    /// The engine drains, or is not on the forwarder's list.
    EngineNotUp,
    /// The request's deadline has passed.
    DeadlineExceeded,
}

/// The final answer to a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// Served, with the result of the attempt.
    Served,
    /// Rejected: nothing was done, or a repeat does no harm.
    Rejected {
        /// When the client may retry.
        retry_after: Duration,
    },
    /// Failed: the request may or may not have run.
    Failed,
}

/// What the forwarder must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<Id, T> {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        id: Id,
        /// The number of the attempt.
        attempt: usize,
        /// The engine to send it to.
        engine: EngineId,
        /// Its priority.
        priority: u8,
    },
    /// Cancel an attempt. Its end must be reported all the same.
    CancelAttempt {
        /// The request.
        id: Id,
        /// The number of the attempt.
        attempt: usize,
    },
    /// Change the priority of an attempt in flight.
    SetPriority {
        /// The request.
        id: Id,
        /// The number of the attempt.
        attempt: usize,
        /// The new priority.
        priority: u8,
    },
    /// Answer the client.
    Answer {
        /// The request.
        id: Id,
        /// The answer.
        answer: Answer,
    },
    /// Notify the planner that is followed.
    Notify {
        /// The epoch under which it is followed.
        epoch: u64,
        /// The event.
        event: PlannerEvent<Id, T>,
    },
}

/// What a planner is notified of.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerEvent<Id, T> {
    /// A request is open: a new one, or one that another planner had.
    Registered {
        /// The request.
        id: Id,
        /// The request as it arrived.
        info: RequestInfo<T>,
        /// Its attempts so far, in order.
        attempts: Vec<Attempt>,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        id: Id,
        /// The number of the attempt.
        attempt: usize,
        /// How it ended.
        state: AttemptState,
        /// Whether the request is finished, so that nothing more may be ordered for it.
        finished: bool,
    },
    /// An order was void.
    OrderRejected {
        /// The request.
        id: Id,
        /// The order.
        order: Order,
        /// Why it was void.
        reason: OrderRejected,
    },
    /// The request is finished without an order of this planner: its client disconnected or its deadline passed.
    Finished {
        /// The request.
        id: Id,
    },
}
