//! The way of one request from a client to the databases and back, step by step as the facade says.

use std::ops::ControlFlow;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use crate::class_registry::{Class, ClassRegistry};
use crate::config::Names;
use crate::facade::{AttemptOrder, AttemptReport, Facade, Mailbox, NextStep, RequestEvent, to_duration};
use crate::query::{Answer, AttemptResult, LifecycleEvent, Query, UpstreamEvent};
use crate::termination::Termination;
use crate::upstream::line_protocol::{UpstreamHandle, UpstreamPool};

/// What all requests share.
pub struct RequestHandler {
    /// The dispatcher.
    pub facade: Facade<UpstreamEvent>,
    /// The connections to databases.
    pub upstream_pool: Arc<UpstreamPool>,
    /// The names of zones and machines.
    pub names: Names,
    /// The classes and tenants.
    pub classes: ClassRegistry,
    /// How many requests may be open together.
    pub max_open_requests: AtomicUsize,
    /// Held while the list of engines or the settings change, so that a version is put into force in the state of the proxy
    /// that it was checked against.
    pub update_lock: Mutex<()>,
    /// Requests that were accepted and whose answers have not been written in full.
    pub open_requests: AtomicUsize,
}

impl RequestHandler {
    /// Counts a request as open until the returned guard is dropped.
    pub fn track_open(self: &Arc<Self>, class: &Arc<Class>) -> OpenRequestGuard {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        class.request_opened();
        OpenRequestGuard { handler: self.clone(), class: class.clone() }
    }
}

/// Counts one request as open.
pub struct OpenRequestGuard {
    handler: Arc<RequestHandler>,
    class: Arc<Class>,
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.handler.open_requests.fetch_sub(1, Ordering::Relaxed);
        self.class.request_closed();
    }
}

/// Handles a request to its end; blocks its coroutine. `respond` takes the one final answer, unless the client leaves first.
pub fn handle_request(
    handler: &RequestHandler,
    query: Query,
    mailbox: &Mailbox<UpstreamEvent>,
    respond: impl FnOnce(Answer),
) {
    let query = Arc::new(query);
    let mut request = RequestInProgress { handler, query: &query, mailbox, respond: Some(respond) };
    let mut next_step = handler.facade.pick(query.request.clone(), mailbox);
    loop {
        next_step = match next_step {
            NextStep::Send(order) => request.attempt(order),
            NextStep::Reject(rejection) => return request.answer(Answer::Rejected(rejection)),
            NextStep::Fail => return request.answer(Answer::Failed),
            NextStep::Duplicate => return request.answer(Answer::Duplicate),
            NextStep::Finished => return,
        }
    }
}

struct RequestInProgress<'a, F> {
    handler: &'a RequestHandler,
    query: &'a Arc<Query>,
    mailbox: &'a Mailbox<UpstreamEvent>,
    /// Takes the answer; none once it has been given, or the client has left.
    respond: Option<F>,
}

impl<F: FnOnce(Answer)> RequestInProgress<'_, F> {
    /// Gives the final answer, unless there is nobody to take it any more.
    fn answer(&mut self, answer: Answer) {
        let Some(respond) = self.respond.take() else { return };
        let (id, class) = (&*self.query.request.id.0, self.query.request.class.0);
        match &answer {
            Answer::Served(_) => self.query.class.succeeded(),
            Answer::Rejected(rejection) => {
                tracing::debug!(id, class, reason = ?rejection.reason, "rejected");
                self.query.class.rejected();
            }
            Answer::Failed | Answer::Duplicate => {
                tracing::debug!(id, class, "failed");
                self.query.class.failed();
            }
        }
        respond(answer);
    }

    /// Makes one attempt and reports its end, unless the client has left before it.
    fn attempt(&mut self, order: AttemptOrder) -> NextStep {
        if self.query.client.is_gone() {
            return self.abandon_attempt(order);
        }
        let result = self.run_attempt(order);
        tracing::debug!(
            id = &*self.query.request.id.0,
            class = self.query.request.class.0,
            engine = order.engine.0,
            attempt = order.attempt.0,
            termination = ?result.termination,
            "attempt ended"
        );
        let AttemptResult { termination, cost, load, pages } = result;
        match termination {
            Termination::ClientLeft => return self.abandon_attempt(order),
            Termination::Served => self.answer(Answer::Served(pages)),
            _ => {}
        }
        self.report(AttemptReport { outcome: termination.outcome(), cost, load })
    }

    /// Sends an attempt and follows it to its end.
    fn run_attempt(&mut self, order: AttemptOrder) -> AttemptResult {
        let left = to_duration(self.query.request.deadline - self.handler.facade.now());
        let handle = self.handler.upstream_pool.send(order, self.query, left, self.mailbox.sender());
        loop {
            let event = self.mailbox.next();
            if let ControlFlow::Break(result) = self.on_event(order, &handle, event) {
                return result;
            }
        }
    }

    /// Deals with an event that comes while an attempt is in flight. Breaks with the end of the attempt.
    fn on_event(
        &mut self,
        order: AttemptOrder,
        handle: &UpstreamHandle,
        event: LifecycleEvent,
    ) -> ControlFlow<AttemptResult> {
        let is_current = |attempt| attempt == order.attempt;
        match event {
            RequestEvent::Upstream(attempt, event) if is_current(attempt) => match event {
                UpstreamEvent::Ended(result) => return ControlFlow::Break(result),
                UpstreamEvent::Progress(report) => {
                    let id = &self.query.request.id;
                    tracing::debug!(id = &*id.0, engine = order.engine.0, ?report, "progress reported");
                    self.handler.facade.on_progress(id, attempt, report);
                }
            },
            RequestEvent::Cancel(attempt) if is_current(attempt) => {
                handle.cancel();
                return ControlFlow::Break(Termination::Cancelled.into());
            }
            RequestEvent::Deadline(attempt) if is_current(attempt) => {
                handle.cancel();
                return ControlFlow::Break(Termination::Deadline.into());
            }
            RequestEvent::Priority(priority) => handle.set_priority(priority),
            RequestEvent::Reject(rejection) => self.answer(Answer::Rejected(rejection)),
            RequestEvent::Fail => self.answer(Answer::Failed),
            RequestEvent::ClientGone => self.client_gone(),
            // These concern earlier attempts: at most one is in flight.
            RequestEvent::Send(_)
            | RequestEvent::Cancel(_)
            | RequestEvent::Deadline(_)
            | RequestEvent::Upstream(..) => {}
        }
        ControlFlow::Continue(())
    }

    /// Ends an attempt that was not sent, as its client has left before.
    fn abandon_attempt(&mut self, order: AttemptOrder) -> NextStep {
        let id = &*self.query.request.id.0;
        tracing::debug!(id, attempt = order.attempt.0, "client left before the attempt was sent");
        self.client_gone();
        self.report(AttemptReport::outcome(Termination::ClientLeft.outcome()))
    }

    /// The client has left: nobody waits for the answer.
    fn client_gone(&mut self) {
        self.respond = None;
        self.handler.facade.client_gone(&self.query.request.id);
    }

    fn report(&self, report: AttemptReport) -> NextStep {
        self.handler.facade.report(&self.query.request.id, report, self.mailbox)
    }
}
