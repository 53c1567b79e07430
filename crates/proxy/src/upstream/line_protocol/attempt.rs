//! An attempt on a connection, from queueing to its end.

use std::sync::Arc;
use std::time::Instant;

use gaugestep_dispatch::interface::{AttemptNo, ProgressReport};

use super::command;
use super::handle::ConnectionSlot;
use super::message::{Message, MessageError};
use crate::facade::RequestEvent;
use crate::query::{AttemptResult, EventSender, Pages, Query, UpstreamEvent};
use crate::termination::Termination;

/// Maximum number of pages of a result.
const MAX_PAGES: usize = 64;
/// Maximum total length of the pages of a result.
const MAX_RESULT_BYTES: usize = 48_000;

/// The command of an attempt that has not been written to its connection yet.
pub struct QueuedAttempt {
    /// The request that the attempt sends.
    pub query: Arc<Query>,
    /// Priority of the attempt, 0 to 3; `None` if the engines do not use priorities.
    pub priority: Option<u8>,
    /// When the client stops waiting for the response.
    pub deadline: Instant,
    /// Latest time at which the command may be written; `None` if there is no limit.
    pub write_by: Option<Instant>,
}

impl QueuedAttempt {
    /// Why the attempt must not be written any more; `None` if it may still be written.
    pub fn obsolete_reason(&self, now: Instant) -> Option<Termination> {
        match self.write_by {
            _ if self.query.client.is_gone() => Some(Termination::ClientLeft),
            Some(write_by) if now > write_by => Some(Termination::TooLate),
            _ => None,
        }
    }
}

/// How much of the response to an attempt has been received.
enum ResponseState {
    /// Nothing that proves that the query runs.
    Awaited,
    /// A progress report that proves that the query runs.
    Running,
    /// The first page of the result, and possibly more, but not all.
    Partial { result: AttemptResult, missing_pages: usize },
}

/// An attempt that has not ended.
pub struct ActiveAttempt {
    /// The command, while it waits for the connection; `None` once it has been added to the connection's
    /// output.
    pub queued: Option<QueuedAttempt>,
    /// Offset of the command's first byte in the output of the connection.
    pub start_offset: u64,
    /// Offset after the command's last byte in the output of the connection.
    pub end_offset: u64,
    /// Whether the attempt was moved here from a connection that closed before the command was written.
    pub was_moved: bool,
    /// The connection of the attempt, shared with the attempt's handle.
    pub slot: ConnectionSlot,
    number: AttemptNo,
    events: EventSender,
    response: ResponseState,
}

impl ActiveAttempt {
    /// Creates an attempt that is not yet written and reports its events to `events`.
    pub fn new(number: AttemptNo, queued: QueuedAttempt, events: EventSender) -> Self {
        ActiveAttempt {
            queued: Some(queued),
            start_offset: 0,
            end_offset: 0,
            was_moved: false,
            slot: ConnectionSlot::default(),
            number,
            events,
            response: ResponseState::Awaited,
        }
    }

    /// Reports the end of the attempt.
    pub fn end(self, result: impl Into<AttemptResult>) {
        self.report(UpstreamEvent::Ended(result.into()));
    }

    /// Whether the first page of the result has been received.
    pub fn has_result(&self) -> bool {
        matches!(self.response, ResponseState::Partial { .. })
    }

    /// Forwards a progress report to the request.
    pub fn on_progress(&mut self, report: ProgressReport) {
        let is_running = matches!(report, ProgressReport::Done(fraction) if fraction > 0.0);
        if is_running && matches!(self.response, ResponseState::Awaited) {
            self.response = ResponseState::Running;
        }
        self.report(UpstreamEvent::Progress(report));
    }

    /// Stores the first page, and appends commands to `out` that request the remaining pages. Returns the
    /// result if the page completes it.
    pub fn on_first_page(
        &mut self,
        message: &Message,
        out: &mut Vec<u8>,
    ) -> Result<Option<AttemptResult>, MessageError> {
        // The engine may send the first page more than once.
        if self.has_result() {
            return Ok(None);
        }
        let page_count = message.page_count()?.unwrap_or(1).max(1);
        if page_count > MAX_PAGES {
            return Err(MessageError::ResultTooLarge);
        }
        let mut pages: Pages = vec![Vec::new(); page_count];
        pages[0] = message.page()?;
        let (cost, load) = (message.cost(), message.load_report());
        let result = AttemptResult { termination: Termination::Served, cost, load, pages };
        if page_count == 1 {
            return Ok(Some(result));
        }
        self.response = ResponseState::Partial { result, missing_pages: page_count - 1 };
        for page in 1..page_count {
            command::read_page(out, message.id, page);
        }
        Ok(None)
    }

    /// Stores a page after the first one. Returns the result if the page completes it.
    pub fn on_page(&mut self, message: &Message) -> Result<Option<AttemptResult>, MessageError> {
        let index = message.page_index()?;
        let ResponseState::Partial { result, missing_pages } = &mut self.response else {
            return Err(MessageError::Unexpected);
        };
        let page = result.pages.get_mut(index).filter(|_| index > 0).ok_or(MessageError::Unexpected)?;
        if !page.is_empty() {
            return Ok(None);
        }
        *page = message.page()?;
        // An empty entry of `pages` marks a missing page, so a page without rows would never count as
        // received.
        if page.is_empty() {
            return Err(MessageError::MalformedPage);
        }
        let result_bytes: usize = result.pages.iter().map(Vec::len).sum();
        if result_bytes > MAX_RESULT_BYTES {
            return Err(MessageError::ResultTooLarge);
        }
        *missing_pages -= 1;
        if *missing_pages > 0 {
            return Ok(None);
        }
        let placeholder = AttemptResult::from(Termination::Served);
        Ok(Some(std::mem::replace(result, placeholder)))
    }

    /// The end of an attempt that the engine reports as not run.
    ///
    /// After it, even a request that must not run twice may be retried. The message is therefore an error if
    /// an earlier one has proved that the query runs.
    pub fn on_not_run(
        &self,
        termination: Termination,
        message: &Message,
    ) -> Result<AttemptResult, MessageError> {
        match self.response {
            ResponseState::Awaited => Ok(end_without_result(termination, message)),
            ResponseState::Running | ResponseState::Partial { .. } => Err(MessageError::Unexpected),
        }
    }

    fn report(&self, event: UpstreamEvent) {
        // Sending fails once the request has ended and its mailbox has been dropped.
        let _ = self.events.send(RequestEvent::Upstream(self.number, event));
    }
}

/// The end of an attempt without a result, with the load report of the engine's last message.
pub fn end_without_result(termination: Termination, message: &Message) -> AttemptResult {
    AttemptResult { load: message.load_report(), ..termination.into() }
}
