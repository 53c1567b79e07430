//! One request's way from a front to the databases and back, as the facade says.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use crate::class_registry::{Class, Classes};
use crate::config::Names;
use crate::facade::{AttemptReport, Facade, Letter, Mailbox, Sending, Step, milliseconds};
use crate::query::{Answer, AttemptEnding, Mail, News, Pages, Query};
use crate::termination::Ending;
use crate::upstream::line_protocol::Lines;

/// What all requests share.
pub struct Gateway {
    /// The module.
    pub facade: Facade<News>,
    /// The databases.
    pub lines: Arc<Lines>,
    /// The names of places and machines.
    pub names: Names,
    /// The classes and tenants.
    pub classes: Classes,
    /// Requests that may be open together.
    pub max_open: AtomicUsize,
    /// Held while the list of engines or the settings change, so that a version is checked against a proxy that stays
    /// as it is until the version is in force.
    pub changes: Mutex<()>,
    /// Requests that are taken and not yet answered in full.
    pub open: AtomicUsize,
}

impl Gateway {
    /// Counts a request as open until the returned guard is dropped.
    pub fn opened(self: &Arc<Self>, class: &Arc<Class>) -> Open {
        self.open.fetch_add(1, Ordering::Relaxed);
        class.opened();
        Open(self.clone(), class.clone())
    }
}

/// Counts one open request.
pub struct Open(Arc<Gateway>, Arc<Class>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
        self.1.closed();
    }
}

/// Sees a request through; `answer` gets the one final answer, unless the client leaves before it.
pub fn relay(gateway: &Gateway, query: Query, mailbox: &Mailbox<News>, answer: impl FnOnce(Answer)) {
    let query = Arc::new(query);
    let mut request = Request { gateway, query: &query, mailbox, answer: Some(answer) };
    let mut step = gateway.facade.pick(query.new.clone(), mailbox);
    loop {
        step = match step {
            Step::Send(sending) => request.attempt(sending),
            Step::Refuse(backoff, reason) => return request.answer(Answer::Refused(backoff, reason)),
            Step::Fail => return request.answer(Answer::Failed),
            Step::Duplicate => return request.answer(Answer::Duplicate),
            Step::Over => return,
        }
    }
}

struct Request<'a, F> {
    gateway: &'a Gateway,
    query: &'a Arc<Query>,
    mailbox: &'a Mailbox<News>,
    answer: Option<F>,
}

impl<F: FnOnce(Answer)> Request<'_, F> {
    /// Gives the final answer; a second one is impossible.
    fn answer(&mut self, answer: Answer) {
        let Some(give) = self.answer.take() else { return };
        let (id, class) = (&*self.query.new.id.0, self.query.new.class.0);
        match answer {
            Answer::Served(_) => self.query.class.succeeded(),
            Answer::Refused(_, reason) => {
                tracing::debug!(id, class, ?reason, "refused");
                self.query.class.declined();
            }
            Answer::Failed | Answer::Duplicate => {
                tracing::debug!(id, class, "failed");
                self.query.class.aborted();
            }
        }
        give(answer);
    }

    /// Makes one attempt and reports its end.
    fn attempt(&mut self, sending: Sending) -> Step {
        let facade = &self.gateway.facade;
        let id = &self.query.new.id;
        if self.query.client.gone() {
            return self.left(sending);
        }
        let left = milliseconds(self.query.new.deadline - facade.now());
        let handle = self.gateway.lines.send(sending, self.query, left, self.mailbox.address());
        let give_up = |ending: Ending| {
            handle.cancel();
            AttemptEnding::from(ending)
        };
        let end = loop {
            let letter: Mail = self.mailbox.next();
            match letter {
                Letter::Cancel(attempt) if attempt == sending.attempt => break give_up(Ending::Cancelled),
                Letter::Deadline(attempt) if attempt == sending.attempt => break give_up(Ending::Deadline),
                Letter::Priority(priority) => handle.weigh(priority),
                Letter::Back(attempt, news) if attempt == sending.attempt => match news {
                    News::Note(note) => {
                        tracing::debug!(id = &*id.0, engine = sending.engine.0, ?note, "noted");
                        facade.noted(id, attempt, note);
                    }
                    News::Ended(end) => break end,
                },
                Letter::Refuse(backoff, reason) => self.answer(Answer::Refused(backoff, reason)),
                Letter::Fail => self.answer(Answer::Failed),
                Letter::ClientGone => {
                    self.answer = None;
                    facade.client_gone(id);
                }
                // What is left of attempts before; one attempt is out at a time.
                Letter::Send(_) | Letter::Cancel(_) | Letter::Deadline(_) | Letter::Back(..) => {}
            }
        };
        let AttemptEnding { ending, cost, load, pages } = end;
        tracing::debug!(
            id = &*id.0,
            class = self.query.new.class.0,
            engine = sending.engine.0,
            attempt = sending.attempt.0,
            ?ending,
            "ended"
        );
        match ending {
            Ending::Served => self.served(pages),
            Ending::ClientLeft => return self.left(sending),
            _ => {}
        }
        facade.report(id, AttemptReport { outcome: ending.outcome(), cost, load }, self.mailbox)
    }

    /// Ends an attempt that was not made, as its client has left before.
    fn left(&mut self, sending: Sending) -> Step {
        let (facade, id) = (&self.gateway.facade, &self.query.new.id);
        tracing::debug!(id = &*id.0, attempt = sending.attempt.0, "the client left before it was sent");
        self.answer = None;
        facade.client_gone(id);
        let outcome = Ending::ClientLeft.outcome();
        facade.report(id, AttemptReport { outcome, cost: None, load: None }, self.mailbox)
    }

    fn served(&mut self, pages: Pages) {
        self.answer(Answer::Served(pages));
    }
}
