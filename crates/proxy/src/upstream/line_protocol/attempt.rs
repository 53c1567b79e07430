//! One attempt on a connection, from the queue to its end.

use std::sync::Arc;
use std::time::Instant;

use gaugestep_dispatch::interface::{AttemptNo, ProgressReport};

use super::command;
use super::handle::ConnectionSlot;
use super::message::{Message, MessageError};
use crate::facade::RequestEvent;
use crate::query::{AttemptResult, EventSender, Pages, Query, UpstreamEvent};
use crate::termination::Termination;

/// The most pages of a result.
const MAX_PAGES: usize = 64;
/// The most bytes of all pages of a result.
const MAX_RESULT_LENGTH: usize = 48_000;

/// An attempt that waits for its connection.
pub struct QueuedAttempt {
    /// The request.
    pub query: Arc<Query>,
    /// Its priority, where databases use one.
    pub priority: Option<u8>,
    /// When its client stops waiting.
    pub deadline: Instant,
    /// The last moment at which it may be written, if there is one.
    pub write_by: Option<Instant>,
}

impl QueuedAttempt {
    /// Why it must not be written any more; none if it may be.
    pub fn is_obsolete(&self, now: Instant) -> Option<Termination> {
        match self.write_by {
            _ if self.query.client.has_left() => Some(Termination::ClientLeft),
            Some(write_by) if now > write_by => Some(Termination::TooLate),
            _ => None,
        }
    }
}

/// What has come of the reply to an attempt.
enum Reply {
    /// Nothing that shows that the query runs.
    Awaited,
    /// A progress report that shows that the query runs.
    Running,
    /// The first page; others are missing.
    Partial { result: AttemptResult, missing_pages: usize },
}

/// An attempt that has not ended.
pub struct ActiveAttempt {
    /// What is to be written once the connection accepts it; none once it has been written.
    pub queued: Option<QueuedAttempt>,
    /// Where its command begins, counted in all bytes written on the connection.
    pub start_offset: u64,
    /// Whether it has been moved from a connection that turned out to be closed.
    pub was_moved: bool,
    /// The connection that it is on, shared with its handle.
    pub slot: ConnectionSlot,
    number: AttemptNo,
    events: EventSender,
    reply: Reply,
}

impl ActiveAttempt {
    /// An attempt that has not been written, whose events go to `events`.
    pub fn new(number: AttemptNo, queued: QueuedAttempt, events: EventSender) -> Self {
        ActiveAttempt {
            queued: Some(queued),
            start_offset: 0,
            was_moved: false,
            slot: ConnectionSlot::default(),
            number,
            events,
            reply: Reply::Awaited,
        }
    }

    /// Reports the end of the attempt.
    pub fn end(self, result: impl Into<AttemptResult>) {
        self.report(UpstreamEvent::Ended(result.into()));
    }

    /// Whether the first page of its result has come.
    pub fn has_result(&self) -> bool {
        matches!(self.reply, Reply::Partial { .. })
    }

    /// Passes a progress report on.
    pub fn on_progress(&mut self, report: ProgressReport) {
        let is_running = matches!(report, ProgressReport::Done(share) if share > 0.0);
        if is_running && matches!(self.reply, Reply::Awaited) {
            self.reply = Reply::Running;
        }
        self.report(UpstreamEvent::Progress(report));
    }

    /// Takes the first page, and requests all others by commands appended to `out`. Returns the result if it is complete.
    pub fn on_first_page(
        &mut self,
        message: &Message,
        out: &mut Vec<u8>,
    ) -> Result<Option<AttemptResult>, MessageError> {
        // A second copy of the first page adds nothing.
        if self.has_result() {
            return Ok(None);
        }
        let page_count = message.page_count()?.unwrap_or(1).max(1);
        if page_count > MAX_PAGES {
            return Err(MessageError::ResultTooLarge);
        }
        let mut pages: Pages = vec![Vec::new(); page_count];
        pages[0] = message.page()?;
        let (cost, load) = (message.cost(), message.load());
        let result = AttemptResult { termination: Termination::Served, cost, load, pages };
        if page_count == 1 {
            return Ok(Some(result));
        }
        self.reply = Reply::Partial { result, missing_pages: page_count - 1 };
        for page in 1..page_count {
            command::read_page(out, message.id, page);
        }
        Ok(None)
    }

    /// Takes a further page. Returns the result if it is complete.
    pub fn on_page(&mut self, message: &Message) -> Result<Option<AttemptResult>, MessageError> {
        let index = message.page_index()?;
        let Reply::Partial { result, missing_pages } = &mut self.reply else {
            return Err(MessageError::Unexpected);
        };
        let page = result.pages.get_mut(index).filter(|_| index > 0).ok_or(MessageError::Unexpected)?;
        if !page.is_empty() {
            return Ok(None);
        }
        *page = message.page()?;
        // A page without rows would count as missing for ever.
        if page.is_empty() {
            return Err(MessageError::MalformedPage);
        }
        if result.pages.iter().map(Vec::len).sum::<usize>() > MAX_RESULT_LENGTH {
            return Err(MessageError::ResultTooLarge);
        }
        *missing_pages -= 1;
        if *missing_pages > 0 {
            return Ok(None);
        }
        let complete = AttemptResult::from(Termination::Served);
        Ok(Some(std::mem::replace(result, complete)))
    }

    /// The end of an attempt that the database says it has not run.
    ///
    /// A request that must not run twice may be sent again after it. So the message is an error if the query has begun to
    /// reply, and has therefore run.
    pub fn on_not_run(&self, reason: Termination, message: &Message) -> Result<AttemptResult, MessageError> {
        match self.reply {
            Reply::Awaited => Ok(unserved(reason, message)),
            Reply::Running | Reply::Partial { .. } => Err(MessageError::Unexpected),
        }
    }

    fn report(&self, event: UpstreamEvent) {
        // The request may have ended, and its mailbox with it.
        let _ = self.events.send(RequestEvent::Upstream(self.number, event));
    }
}

/// The end of an attempt without a result.
pub fn unserved(reason: Termination, message: &Message) -> AttemptResult {
    AttemptResult { load: message.load(), ..reason.into() }
}
