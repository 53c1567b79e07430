//! What others may reach of a connection: its phase, its attempts and what is still to be written.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::attempt::{ActiveAttempt, QueuedAttempt, unserved};
use super::command;
use super::health::{HealthAction, HealthMonitor};
use super::message::{Message, MessageError, MessageKind};
use crate::stream::WriteBuffer;
use crate::termination::Termination;

/// The phases in the life of a connection, in their order.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It is being established.
    Dialing,
    /// It is read from and written to.
    Open,
    /// Its coroutine is about to close it for this reason.
    Closing(Termination),
    /// It is closed; its attempts have been taken off it.
    Closed,
}

/// What is left of a connection that is closed.
pub struct ClosedConnection {
    /// How many bytes were written on it.
    pub written: u64,
    /// The attempts that were on it, by request id.
    pub attempts: HashMap<String, ActiveAttempt>,
}

/// The state of a connection, which its coroutine shares with those who send and cancel attempts.
pub struct ConnectionState {
    /// Commands that are still to be written.
    pub out: WriteBuffer,
    phase: Phase,
    /// By request id.
    attempts: HashMap<String, ActiveAttempt>,
    health: HealthMonitor,
    /// Whether the database has been removed: the connection closes once nothing is open on it.
    is_retired: bool,
    /// Attempts written so far, on all connections of all databases.
    attempts_sent: Arc<AtomicU64>,
}

impl ConnectionState {
    /// The state of a connection that is about to be established.
    pub fn new(attempts_sent: Arc<AtomicU64>) -> Self {
        ConnectionState {
            out: WriteBuffer::default(),
            phase: Phase::Dialing,
            attempts: HashMap::new(),
            health: HealthMonitor::new(Instant::now()),
            is_retired: false,
            attempts_sent,
        }
    }

    /// The connection has been established.
    pub fn opened(&mut self) {
        self.phase = Phase::Open;
        self.health.reset_silence(Instant::now());
    }

    /// The connection is closed. Returns what is left of it.
    pub fn closed(&mut self) -> ClosedConnection {
        self.phase = Phase::Closed;
        ClosedConnection { written: self.out.written_offset(), attempts: std::mem::take(&mut self.attempts) }
    }

    /// The database has been removed: the connection closes once nothing is open on it.
    pub fn retire(&mut self) {
        self.is_retired = true;
    }

    /// Why the connection is to be closed now; none if it is not.
    pub fn close_reason(&self) -> Option<Termination> {
        match self.phase {
            Phase::Closing(reason) => Some(reason),
            _ if self.is_retired && self.attempts.is_empty() && self.out.pending() == 0 => {
                Some(Termination::Closed)
            }
            _ => None,
        }
    }

    /// The number of attempts on the connection; none if it accepts no further one.
    pub fn load(&self) -> Option<usize> {
        match self.phase {
            Phase::Dialing | Phase::Open => Some(self.attempts.len()),
            Phase::Closing(_) | Phase::Closed => None,
        }
    }

    /// Queues an attempt.
    pub fn enqueue(&mut self, id: String, attempt: ActiveAttempt) {
        self.attempts.insert(id, attempt);
    }

    /// Removes an attempt without an event of its end. Returns false if it is not on the connection.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(attempt) = self.attempts.remove(id) else { return false };
        match attempt.queued {
            Some(_) => {}
            None if attempt.has_result() => command::release(self.out.buffer(), id),
            None => command::cancel(self.out.buffer(), id),
        }
        true
    }

    /// Changes the priority of an attempt. Returns false if it is not on the connection.
    pub fn set_priority(&mut self, id: &str, priority: u8) -> bool {
        let Some(attempt) = self.attempts.get_mut(id) else { return false };
        let has_result = attempt.has_result();
        match &mut attempt.queued {
            Some(queued) => queued.priority = Some(priority),
            None if has_result => {}
            None => command::change_priority(self.out.buffer(), id, priority),
        }
        true
    }

    /// Ends all attempts that have not been written.
    pub fn reject_queued(&mut self) {
        self.end_queued(|_| Some(Termination::NeverWritten));
    }

    /// Writes all queued attempts, once everything before them has been written; those that are obsolete by then end instead.
    ///
    /// So no attempt begins after its client has left, or after the last moment at which it may be sent.
    pub fn write_queued(&mut self) {
        let now = Instant::now();
        if self.out.pending() > 0 || self.attempts.values().all(|attempt| attempt.queued.is_none()) {
            return;
        }
        self.end_queued(|queued| queued.is_obsolete(now));
        if self.attempts.values().all(|attempt| attempt.queued.is_some()) {
            // Nothing was expected from the database so far, so its silence means nothing.
            self.health.reset_silence(now);
        }
        for (id, attempt) in &mut self.attempts {
            let Some(queued) = attempt.queued.take() else { continue };
            attempt.start_offset = self.out.end_offset();
            self.attempts_sent.fetch_add(1, Ordering::Relaxed);
            let budget = queued.deadline.saturating_duration_since(now);
            command::serve(self.out.buffer(), id, &queued.query, queued.priority, budget);
        }
    }

    /// Whether unread input of clients may cancel one of the queued attempts.
    pub fn has_unread_input(&self) -> bool {
        let mut queued = self.attempts.values().filter_map(|attempt| attempt.queued.as_ref());
        queued.any(|queued| queued.query.client.has_unread_input())
    }

    /// Checks an open connection. Returns true if its coroutine has something to do.
    pub fn check_health(&mut self, now: Instant, idle_timeout: Duration) -> bool {
        if self.phase != Phase::Open {
            return false;
        }
        match self.health.check(now, !self.attempts.is_empty(), idle_timeout) {
            HealthAction::None => return false,
            HealthAction::SendCheck => command::health_check(self.out.buffer()),
            HealthAction::Close(reason) => self.phase = Phase::Closing(reason),
        }
        true
    }

    /// Handles all complete messages at the front of `input`. Returns how many bytes they have.
    ///
    /// # Errors
    ///
    /// If one of them is not valid. Those before it have been handled.
    pub fn on_input(&mut self, input: &[u8]) -> Result<usize, MessageError> {
        let mut consumed = 0;
        self.health.on_read(Instant::now());
        while let Some(message) = Message::parse(&input[consumed..])? {
            consumed += message.length;
            self.on_message(&message)?;
        }
        self.health.on_parsed(consumed > 0, consumed < input.len());
        Ok(consumed)
    }

    /// Handles one message. Messages about attempts that are no longer on the connection are ignored.
    fn on_message(&mut self, message: &Message) -> Result<(), MessageError> {
        if message.kind == MessageKind::Pong {
            return Ok(());
        }
        let Some(attempt) = self.attempts.get_mut(message.id) else { return Ok(()) };
        let result = match message.kind {
            MessageKind::Progress => {
                if let Some(report) = message.progress_report() {
                    attempt.on_progress(report);
                }
                None
            }
            MessageKind::FirstPage => attempt.on_first_page(message, self.out.buffer())?,
            MessageKind::Page => attempt.on_page(message)?,
            MessageKind::Shed => Some(attempt.on_not_run(Termination::Shed, message)?),
            MessageKind::Late => Some(attempt.on_not_run(Termination::Late, message)?),
            MessageKind::Fault => Some(unserved(Termination::Fault, message)),
            MessageKind::Pong | MessageKind::Unknown => return Err(MessageError::Unexpected),
        };
        if let Some(result) = result
            && let Some(attempt) = self.attempts.remove(message.id)
        {
            attempt.end(result);
        }
        Ok(())
    }

    /// Ends the queued attempts for which there is a reason.
    fn end_queued(&mut self, reason: impl Fn(&QueuedAttempt) -> Option<Termination>) {
        let reason = |attempt: &ActiveAttempt| attempt.queued.as_ref().and_then(&reason);
        let ended: Vec<(String, Termination)> =
            self.attempts.iter().filter_map(|(id, attempt)| Some((id.clone(), reason(attempt)?))).collect();
        for (id, reason) in ended {
            if let Some(attempt) = self.attempts.remove(&id) {
                attempt.end(reason);
            }
        }
    }
}
