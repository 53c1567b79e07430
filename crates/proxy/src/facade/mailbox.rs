//! The events, steps and reports that the facade and the coroutine of a request exchange.

use std::time::Duration;

use gaugestep_dispatch::interface::{AttemptNo, Cost, EngineId, LoadReport, Millis, Outcome, RejectReason};
use may::sync::mpsc::{Receiver, Sender, channel};

/// An event for the coroutine of a request. `Upstream` is the type of the events that the connections to
/// engines report about an attempt.
#[derive(Debug)]
pub enum RequestEvent<Upstream> {
    /// Send the request to an engine.
    Send(AttemptOrder),
    /// Cancel the attempt with this number.
    Cancel(AttemptNo),
    /// Change the priority of the attempt in flight, from 0 to 3.
    Priority(u8),
    /// Respond that the request is rejected.
    Reject(Rejection),
    /// Respond that the request has failed.
    Fail,
    /// The deadline has passed while this attempt was in flight.
    Deadline(AttemptNo),
    /// The client has disconnected or cancelled the request.
    ClientGone,
    /// A connection to an engine reports an event of this attempt.
    Upstream(AttemptNo, Upstream),
}

/// The dispatcher's order to send one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptOrder {
    /// The engine to send the attempt to.
    pub engine: EngineId,
    /// The attempt's number within its request, from 0.
    pub attempt: AttemptNo,
    /// The attempt's priority, from 0 to 3; `None` if the engines ignore priorities, by the settings.
    pub priority: Option<u8>,
    /// How long the attempt may still be sent. `None` means without limit; a limit applies where engines
    /// deduplicate a request for a limited time only.
    pub sendable_for: Option<Duration>,
}

/// The rejection of a request: it did not run, or it is safe to run it again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// How long the client should wait before it retries; 0 if no retry delay is sent.
    pub retry_after: Millis,
    /// Why the request was rejected.
    pub reason: RejectReason,
}

/// The next step of a request's coroutine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextStep {
    /// Send this attempt, then [`report`](super::Facade::report) its end.
    Send(AttemptOrder),
    /// Respond that the request is rejected.
    Reject(Rejection),
    /// Respond that the request has failed.
    Fail,
    /// Respond that another request with this id is open. The request was not accepted.
    Duplicate,
    /// Respond that a request with this id may have run and must not run again. The request was not accepted.
    AlreadyRun,
    /// Nothing to do: the request is finished.
    Finished,
}

/// The end of an attempt as it is reported to the dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The resources that the attempt used; `None` if the engine did not report them.
    pub cost: Option<Cost>,
    /// The engine's load report that came with the response; `None` if there was none.
    pub load: Option<LoadReport>,
}

impl AttemptReport {
    /// Creates a report of an outcome without cost and load.
    pub fn outcome(outcome: Outcome) -> Self {
        AttemptReport { outcome, cost: None, load: None }
    }
}

/// The event queue of a request, read by its coroutine.
pub struct Mailbox<Upstream> {
    events: Receiver<RequestEvent<Upstream>>,
    sender: Sender<RequestEvent<Upstream>>,
}

impl<Upstream> Mailbox<Upstream> {
    /// Creates an empty mailbox.
    pub fn new() -> Self {
        let (sender, events) = channel();
        Mailbox { events, sender }
    }

    /// Returns a sender to this mailbox.
    pub fn sender(&self) -> Sender<RequestEvent<Upstream>> {
        self.sender.clone()
    }

    /// Blocks the coroutine until an event arrives.
    pub fn next(&self) -> RequestEvent<Upstream> {
        self.events.recv().expect("the mailbox owns a sender, so its channel is never closed")
    }

    /// Searches the queued events for the final response, and discards the events before it. The dispatcher
    /// may have finished the request while the coroutine was handling an earlier event, such as the deadline.
    pub(super) fn take_final_response(&self) -> NextStep {
        while let Ok(event) = self.events.try_recv() {
            match event {
                RequestEvent::Reject(rejection) => return NextStep::Reject(rejection),
                RequestEvent::Fail => return NextStep::Fail,
                _ => {}
            }
        }
        NextStep::Finished
    }
}
