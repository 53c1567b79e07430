//! The orders of planners, the actions that the guard returns to the forwarder, and the events that planners
//! receive.

use std::time::Duration;

use super::request::{Attempt, AttemptState, EngineId, RequestInfo};

/// A planner's order for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Order {
    /// Start an attempt.
    StartAttempt {
        /// The number of the attempt, from 0.
        attempt: usize,
        /// The engine to send it to.
        engine: EngineId,
        /// The priority of the attempt, 0 to 3.
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
    /// Respond to the client that the request is rejected and may be retried.
    Reject {
        /// How long the client must wait before it retries.
        retry_after: Duration,
    },
    /// Respond to the client that the request has failed.
    Fail,
}

/// Why the guard rejected an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRejectReason {
    /// The forwarder does not follow this planner, or followed it under an earlier epoch.
    Fenced,
    /// The planner's lease has expired.
    LeaseExpired,
    /// The request is not open, or is not registered with this planner.
    UnknownRequest,
    /// The attempt is not the next one, or not the one in flight.
    UnexpectedAttempt,
    /// Another attempt of the request is in flight.
    AttemptInFlight,
    /// The request may have run, and its effect does not allow it to run again here.
    NotRepeatable,
    /// The request has already had the most attempts that it may have.
    AttemptsExhausted,
    /// The retry budget of the forwarder is exhausted.
    RetryBudgetExhausted,
    /// The engine drains, or is not in the forwarder's engine list.
    EngineNotUp,
    /// The request's deadline has passed.
    DeadlineExceeded,
}

/// The final response to a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Response {
    /// The result of the attempt.
    Served,
    /// A rejection: the request never ran, or may safely run again.
    Rejected {
        /// How long the client must wait before it retries.
        retry_after: Duration,
    },
    /// A failure: the request may or may not have run.
    Failed,
}

/// An action that the forwarder must execute.
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
        /// The priority of the attempt, 0 to 3.
        priority: u8,
    },
    /// Cancel an attempt. The forwarder must still report the end of the attempt.
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
    /// Send the final response to the client.
    Respond {
        /// The request.
        id: Id,
        /// The response.
        response: Response,
    },
    /// Notify the planner that is followed.
    Notify {
        /// The epoch under which it is followed.
        epoch: u64,
        /// The event.
        event: PlannerEvent<Id, T>,
    },
}

/// An event of which the guard notifies a planner.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerEvent<Id, T> {
    /// A request is open and registered with this planner: a new one, or one that another planner had.
    Registered {
        /// The request.
        id: Id,
        /// The request as it arrived.
        info: RequestInfo<T>,
        /// The attempts so far, in the order of their numbers.
        attempts: Vec<Attempt>,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        id: Id,
        /// The number of the attempt.
        attempt: usize,
        /// The state in which it ended.
        state: AttemptState,
        /// Whether the request is finished: later orders for it are rejected.
        finished: bool,
    },
    /// An order of this planner was rejected.
    OrderRejected {
        /// The request.
        id: Id,
        /// The order.
        order: Order,
        /// Why it was rejected.
        reason: OrderRejectReason,
    },
    /// The request is finished other than by a result: by an order of this planner, by its deadline, or as
    /// its client disconnected.
    Finished {
        /// The request.
        id: Id,
    },
}
