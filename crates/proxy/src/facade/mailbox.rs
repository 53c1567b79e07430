//! What the facade and a request's coroutine exchange.

use std::time::Duration;

use gaugestep_dispatch::interface::{AttemptNo, Cost, EngineId, LoadReport, Millis, Outcome, RejectReason};
use may::sync::mpsc::{Receiver, Sender, channel};

/// What reaches a request's coroutine. `Upstream` is what the databases' side reports about an attempt.
#[derive(Debug)]
pub enum RequestEvent<Upstream> {
    /// Send the request to an engine.
    Send(AttemptOrder),
    /// Cancel the attempt.
    Cancel(AttemptNo),
    /// Change the priority of the running attempt.
    Priority(u8),
    /// Answer that the request is rejected.
    Reject(Rejection),
    /// Answer that the request has failed.
    Fail,
    /// The deadline has passed while this attempt was in flight.
    Deadline(AttemptNo),
    /// The client has left.
    ClientGone,
    /// The databases' side reports about an attempt.
    Upstream(AttemptNo, Upstream),
}

/// One attempt that the dispatcher has ordered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptOrder {
    /// The engine to send it to.
    pub engine: EngineId,
    /// Its number.
    pub attempt: AttemptNo,
    /// Its priority, where engines use one.
    pub priority: Option<u8>,
    /// How long it may still be sent, where engines recognise repeats for a limited time only.
    pub sendable_for: Option<Duration>,
}

/// The rejection of a request, which did not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// How long the client should wait before it tries again.
    pub retry_after: Millis,
    /// Why the request was rejected.
    pub reason: RejectReason,
}

/// What a request's coroutine has to do next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextStep {
    /// Make this attempt, then [`report`](super::Facade::report) its end.
    Send(AttemptOrder),
    /// Answer that the request is rejected.
    Reject(Rejection),
    /// Answer that the request has failed.
    Fail,
    /// Answer that a request with this id is open. This one was not accepted.
    Duplicate,
    /// Nothing: the request has ended.
    Finished,
}

/// The end of an attempt, in the dispatcher's terms.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport {
    /// How it ended.
    pub outcome: Outcome,
    /// The resources it used, where known.
    pub cost: Option<Cost>,
    /// The engine's load, where known.
    pub load: Option<LoadReport>,
}

impl AttemptReport {
    /// An attempt that ended like this, of which nothing else is known.
    pub fn outcome(outcome: Outcome) -> Self {
        AttemptReport { outcome, cost: None, load: None }
    }
}

/// The queue of a request's events, read by its coroutine.
pub struct Mailbox<Upstream> {
    events: Receiver<RequestEvent<Upstream>>,
    sender: Sender<RequestEvent<Upstream>>,
}

impl<Upstream> Mailbox<Upstream> {
    /// An empty mailbox.
    pub fn new() -> Self {
        let (sender, events) = channel();
        Mailbox { events, sender }
    }

    /// A sender to this mailbox.
    pub fn sender(&self) -> Sender<RequestEvent<Upstream>> {
        self.sender.clone()
    }

    /// Blocks the coroutine until an event comes.
    pub fn next(&self) -> RequestEvent<Upstream> {
        self.events.recv().expect("the mailbox holds a sender of its own, so its channel stays open")
    }

    /// Takes the final answer out of the events that are queued, if it is among them. The dispatcher may have answered
    /// while the coroutine was still dealing with an earlier event, such as the deadline.
    pub(super) fn take_final_answer(&self) -> NextStep {
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
