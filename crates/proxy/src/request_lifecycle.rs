//! The lifecycle of a request: its attempts on engines and its one final response.
//!
//! Each request runs [`handle_request`] in a coroutine of its own. The facade of the dispatcher decides
//! each step: send an attempt, reject the request, fail it, or finish. Events that concern an attempt in
//! flight arrive in the request's mailbox.

use std::ops::ControlFlow;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use gaugestep_dispatch::interface::{Millis, RejectReason};

use crate::class_registry::{Class, ClassRegistry};
use crate::facade::{
    AttemptOrder, AttemptReport, Facade, Mailbox, NextStep, Rejection, RequestEvent, to_duration,
};
use crate::handover::{ClaimAnswer, Handover};
use crate::location_ids::LocationIds;
use crate::memory::{MemoryAccount, MemoryCharge};
use crate::query::{AttemptResult, LifecycleEvent, Query, Response, UpstreamEvent};
use crate::termination::Termination;
use crate::upstream::line_protocol::{UpstreamHandle, UpstreamPool};

/// Retry delay of a request that the other process of an upgrade has not answered for, in milliseconds.
const CLAIM_RETRY_AFTER_MS: Millis = 500.0;

/// State shared by all requests of the proxy.
pub struct RequestHandler {
    /// The dispatcher, which decides the steps of each request.
    pub facade: Facade<UpstreamEvent>,
    /// The connections to engines.
    pub upstream_pool: Arc<UpstreamPool>,
    /// The ids of zones and machine types.
    pub location_ids: Arc<LocationIds>,
    /// The classes and tenants of the current settings.
    pub classes: ClassRegistry,
    /// The link to the other process of an upgrade.
    pub handover: Handover,
    /// The memory for open requests.
    pub request_memory: Arc<MemoryAccount>,
    /// Maximum number of open requests; further ones are rejected.
    pub max_open_requests: AtomicUsize,
    /// Serializes updates of the engine list and of the settings, so that a configuration version is
    /// applied to the same state of the proxy that it was checked against.
    pub update_lock: Mutex<()>,
    /// Number of accepted requests whose responses have not been written to their clients in full.
    pub open_requests: AtomicUsize,
}

impl RequestHandler {
    /// Counts a request as open, in total and in its class, and keeps its memory charged until the returned
    /// guard is dropped.
    pub fn track_open(self: &Arc<Self>, query: &Query) -> OpenRequestGuard {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        query.class.record_opened();
        let (class, memory) = (query.class.clone(), query.memory.clone());
        OpenRequestGuard { handler: self.clone(), class, _memory: memory }
    }
}

/// Counts one request as open, and keeps its memory charged, until it is dropped.
pub struct OpenRequestGuard {
    handler: Arc<RequestHandler>,
    class: Arc<Class>,
    _memory: Arc<MemoryCharge>,
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.handler.open_requests.fetch_sub(1, Ordering::Relaxed);
        self.class.record_closed();
    }
}

/// Runs a request until it has ended; blocks its coroutine. Calls `send_response` once with the final
/// response, or never if the client is gone first.
pub fn handle_request(
    handler: &RequestHandler,
    query: Query,
    mailbox: &Mailbox<UpstreamEvent>,
    send_response: impl FnOnce(Response),
) {
    let query = Arc::new(query);
    let mut request = ActiveRequest { handler, query: &query, mailbox, send_response: Some(send_response) };
    let mut next_step = first_step(handler, &query, mailbox);
    loop {
        next_step = match next_step {
            NextStep::Send(order) => request.run_attempt(order),
            NextStep::Reject(rejection) => return request.respond(Response::Rejected(rejection)),
            NextStep::Fail => return request.respond(Response::Failed),
            NextStep::Duplicate => return request.respond(Response::Duplicate),
            NextStep::AlreadyRun => return request.respond(Response::AlreadyRun),
            NextStep::Finished => return,
        }
    }
}

/// Claims a request that must not run twice, if this process is one of the two of an upgrade, and blocks
/// until its first step is decided.
fn first_step(handler: &RequestHandler, query: &Query, mailbox: &Mailbox<UpstreamEvent>) -> NextStep {
    let request = &query.request;
    if handler.facade.must_run_once(request.class) {
        match handler.handover.claim(&request.id) {
            ClaimAnswer::Granted => {}
            ClaimAnswer::Denied => return NextStep::AlreadyRun,
            ClaimAnswer::Unknown => {
                let reason = RejectReason::Overloaded;
                return NextStep::Reject(Rejection { retry_after: CLAIM_RETRY_AFTER_MS, reason });
            }
        }
    }
    handler.facade.pick(request.clone(), mailbox)
}

/// A request that its coroutine is running.
struct ActiveRequest<'a, F> {
    handler: &'a RequestHandler,
    query: &'a Arc<Query>,
    mailbox: &'a Mailbox<UpstreamEvent>,
    /// Sends the final response to the client's session. `None` once the response was sent or the client is
    /// gone.
    send_response: Option<F>,
}

impl<F: FnOnce(Response)> ActiveRequest<'_, F> {
    /// Counts, logs and sends the final response. Does nothing if a response was sent already or the client
    /// is gone.
    fn respond(&mut self, response: Response) {
        let Some(send_response) = self.send_response.take() else { return };
        let id = &*self.query.request.id.0;
        let class = self.query.request.class.0;
        match &response {
            Response::Served(_) => self.query.class.record_succeeded(),
            Response::Rejected(rejection) => {
                tracing::debug!(id, class, reason = ?rejection.reason, "rejected");
                self.query.class.record_rejected();
            }
            Response::Failed | Response::Duplicate | Response::AlreadyRun => {
                tracing::debug!(id, class, ?response, "failed");
                self.query.class.record_failed();
            }
        }
        send_response(response);
    }

    /// Runs one attempt to its end, responds if it was served, and reports it to the facade. An attempt
    /// whose client is gone before it was written to the engine is reported as not sent.
    fn run_attempt(&mut self, order: AttemptOrder) -> NextStep {
        if self.query.client.is_gone() {
            return self.report_unsent_attempt(order);
        }
        let result = self.send_and_await_end(order);
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
            Termination::ClientLeft => return self.report_unsent_attempt(order),
            Termination::Served => self.respond(Response::Served(pages)),
            _ => {}
        }
        self.report_attempt(AttemptReport { outcome: termination.outcome(), cost, load })
    }

    /// Sends an attempt to its engine and handles the request's events until the attempt has ended.
    fn send_and_await_end(&mut self, order: AttemptOrder) -> AttemptResult {
        let time_to_deadline = to_duration(self.query.request.deadline - self.handler.facade.now());
        let events = self.mailbox.sender();
        let handle = self.handler.upstream_pool.send(order, self.query, time_to_deadline, events);
        loop {
            let event = self.mailbox.next();
            if let ControlFlow::Break(result) = self.on_event(order, &handle, event) {
                return result;
            }
        }
    }

    /// Handles one event while an attempt is in flight. Breaks with the attempt's result when the event
    /// ends the attempt.
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
            // The client gets its response now; the attempt stays in flight until it ends or is cancelled.
            RequestEvent::Reject(rejection) => self.respond(Response::Rejected(rejection)),
            RequestEvent::Fail => self.respond(Response::Failed),
            RequestEvent::ClientGone => self.on_client_gone(),
            // At most one attempt is in flight, so these concern earlier attempts.
            RequestEvent::Send(_)
            | RequestEvent::Cancel(_)
            | RequestEvent::Deadline(_)
            | RequestEvent::Upstream(..) => {}
        }
        ControlFlow::Continue(())
    }

    /// Reports an attempt that was not written to its engine because the client is gone.
    fn report_unsent_attempt(&mut self, order: AttemptOrder) -> NextStep {
        let id = &*self.query.request.id.0;
        tracing::debug!(id, attempt = order.attempt.0, "client gone before the attempt was sent");
        self.on_client_gone();
        self.report_attempt(AttemptReport::outcome(Termination::ClientLeft.outcome()))
    }

    /// Drops the response callback and informs the facade that the client has disconnected or cancelled.
    fn on_client_gone(&mut self) {
        self.send_response = None;
        self.handler.facade.on_client_gone(&self.query.request.id);
    }

    /// Reports the end of the attempt in flight to the facade, and blocks until the facade has decided the
    /// next step.
    fn report_attempt(&self, report: AttemptReport) -> NextStep {
        self.handler.facade.report(&self.query.request.id, report, self.mailbox)
    }
}
