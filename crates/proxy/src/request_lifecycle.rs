//! One request's way from a front to the databases and back, as the facade says.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use crate::class_registry::{Class, ClassRegistry};
use crate::config::Names;
use crate::facade::{AttemptOrder, AttemptReport, Facade, Mailbox, NextStep, RequestEvent, to_duration};
use crate::query::{Answer, AttemptResult, Pages, Query, UpstreamEvent};
use crate::termination::Termination;
use crate::upstream::line_protocol::Lines;

/// What all requests share.
pub struct RequestHandler {
    /// The module.
    pub facade: Facade<UpstreamEvent>,
    /// The databases.
    pub upstream_pool: Arc<Lines>,
    /// The names of places and machines.
    pub names: Names,
    /// The classes and tenants.
    pub classes: ClassRegistry,
    /// Requests that may be open together.
    pub max_open: AtomicUsize,
    /// Held while the list of engines or the settings change, so that a version is checked against a proxy that stays
    /// as it is until the version is in force.
    pub update_lock: Mutex<()>,
    /// Requests that are taken and not yet answered in full.
    pub open: AtomicUsize,
}

impl RequestHandler {
    /// Counts a request as open until the returned guard is dropped.
    pub fn track_open(self: &Arc<Self>, class: &Arc<Class>) -> OpenRequestGuard {
        self.open.fetch_add(1, Ordering::Relaxed);
        class.request_opened();
        OpenRequestGuard(self.clone(), class.clone())
    }
}

/// Counts one open request.
pub struct OpenRequestGuard(Arc<RequestHandler>, Arc<Class>);

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
        self.1.request_closed();
    }
}

/// Sees a request through; `answer` gets the one final answer, unless the client leaves before it.
pub fn handle_request(
    handler: &RequestHandler,
    query: Query,
    mailbox: &Mailbox<UpstreamEvent>,
    answer: impl FnOnce(Answer),
) {
    let query = Arc::new(query);
    let mut request = Request { handler, query: &query, mailbox, answer: Some(answer) };
    let mut next_step = handler.facade.pick(query.new.clone(), mailbox);
    loop {
        next_step = match next_step {
            NextStep::Send(order) => request.attempt(order),
            NextStep::Reject(backoff, reason) => return request.answer(Answer::Rejected(backoff, reason)),
            NextStep::Fail => return request.answer(Answer::Failed),
            NextStep::Duplicate => return request.answer(Answer::Duplicate),
            NextStep::Finished => return,
        }
    }
}

struct Request<'a, F> {
    handler: &'a RequestHandler,
    query: &'a Arc<Query>,
    mailbox: &'a Mailbox<UpstreamEvent>,
    answer: Option<F>,
}

impl<F: FnOnce(Answer)> Request<'_, F> {
    /// Gives the final answer; a second one is impossible.
    fn answer(&mut self, answer: Answer) {
        let Some(give) = self.answer.take() else { return };
        let (id, class) = (&*self.query.new.id.0, self.query.new.class.0);
        match answer {
            Answer::Served(_) => self.query.class.succeeded(),
            Answer::Rejected(_, reason) => {
                tracing::debug!(id, class, ?reason, "rejected");
                self.query.class.rejected();
            }
            Answer::Failed | Answer::Duplicate => {
                tracing::debug!(id, class, "failed");
                self.query.class.failed();
            }
        }
        give(answer);
    }

    /// Makes one attempt and reports its end.
    fn attempt(&mut self, order: AttemptOrder) -> NextStep {
        let facade = &self.handler.facade;
        let id = &self.query.new.id;
        if self.query.client.has_left() {
            return self.abandon(order);
        }
        let left = to_duration(self.query.new.deadline - facade.now());
        let handle = self.handler.upstream_pool.send(order, self.query, left, self.mailbox.sender());
        let cancel_attempt = |termination: Termination| {
            handle.cancel();
            AttemptResult::from(termination)
        };
        let end = loop {
            let event = self.mailbox.next();
            match event {
                RequestEvent::Cancel(attempt) if attempt == order.attempt => {
                    break cancel_attempt(Termination::Cancelled);
                }
                RequestEvent::Deadline(attempt) if attempt == order.attempt => {
                    break cancel_attempt(Termination::Deadline);
                }
                RequestEvent::Priority(priority) => handle.weigh(priority),
                RequestEvent::Upstream(attempt, upstream_event) if attempt == order.attempt => {
                    match upstream_event {
                        UpstreamEvent::Progress(report) => {
                            tracing::debug!(
                                id = &*id.0,
                                engine = order.engine.0,
                                ?report,
                                "progress reported"
                            );
                            facade.on_progress(id, attempt, report);
                        }
                        UpstreamEvent::Ended(end) => break end,
                    }
                }
                RequestEvent::Reject(backoff, reason) => self.answer(Answer::Rejected(backoff, reason)),
                RequestEvent::Fail => self.answer(Answer::Failed),
                RequestEvent::ClientGone => {
                    self.answer = None;
                    facade.client_gone(id);
                }
                // What is left of attempts before; one attempt is out at a time.
                RequestEvent::Send(_)
                | RequestEvent::Cancel(_)
                | RequestEvent::Deadline(_)
                | RequestEvent::Upstream(..) => {}
            }
        };
        let AttemptResult { termination, cost, load, pages } = end;
        tracing::debug!(
            id = &*id.0,
            class = self.query.new.class.0,
            engine = order.engine.0,
            attempt = order.attempt.0,
            ?termination,
            "attempt ended"
        );
        match termination {
            Termination::Served => self.served(pages),
            Termination::ClientLeft => return self.abandon(order),
            _ => {}
        }
        facade.report(id, AttemptReport { outcome: termination.outcome(), cost, load }, self.mailbox)
    }

    /// Ends an attempt that was not made, as its client has left before.
    fn abandon(&mut self, order: AttemptOrder) -> NextStep {
        let (facade, id) = (&self.handler.facade, &self.query.new.id);
        tracing::debug!(id = &*id.0, attempt = order.attempt.0, "client left before the attempt was sent");
        self.answer = None;
        facade.client_gone(id);
        let outcome = Termination::ClientLeft.outcome();
        facade.report(id, AttemptReport { outcome, cost: None, load: None }, self.mailbox)
    }

    fn served(&mut self, pages: Pages) {
        self.answer(Answer::Served(pages));
    }
}
