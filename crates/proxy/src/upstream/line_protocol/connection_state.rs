//! The shared state of a connection: its phase, its attempts and its pending output.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::attempt::{ActiveAttempt, QueuedAttempt, end_without_result};
use super::command;
use super::health::{HealthAction, HealthMonitor};
use super::message::{Message, MessageError, MessageKind};
use crate::stream::WriteBuffer;
use crate::termination::Termination;

/// The phases of a connection, in order.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The connection is being established.
    Dialing,
    /// The connection is established.
    Open,
    /// The coroutine of the connection must close it for this reason.
    Closing(Termination),
    /// The connection is closed and has no attempts.
    Closed,
}

/// The attempts of a closed connection, and how much of its output was written.
pub struct ClosedConnection {
    /// Offset in the connection's output up to which bytes were written.
    pub written_offset: u64,
    /// The attempts that had not ended, by request id.
    pub attempts: HashMap<String, ActiveAttempt>,
}

/// The state of a connection. The connection's coroutine shares it with the coroutines that send and cancel
/// attempts.
pub struct ConnectionState {
    /// Commands that have not been written yet.
    pub out: WriteBuffer,
    phase: Phase,
    /// Attempts that have not ended, queued or in flight, by request id.
    attempts: HashMap<String, ActiveAttempt>,
    health: HealthMonitor,
    /// Whether the connection closes once it has no attempts and no pending output, because its engine was
    /// removed or has another address.
    is_retired: bool,
    /// Number of attempts sent so far, on all connections to all engines.
    attempts_sent: Arc<AtomicU64>,
}

impl ConnectionState {
    /// The state of a connection that is being established.
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

    /// Records that the connection has been established.
    pub fn on_established(&mut self) {
        self.phase = Phase::Open;
        self.health.reset_silence(Instant::now());
    }

    /// Records that the connection is closed, and removes its attempts.
    pub fn on_closed(&mut self) -> ClosedConnection {
        self.phase = Phase::Closed;
        let attempts = std::mem::take(&mut self.attempts);
        ClosedConnection { written_offset: self.out.written_offset(), attempts }
    }

    /// Has the connection closed once it has no attempts and no pending output.
    pub fn retire(&mut self) {
        self.is_retired = true;
    }

    /// Why the connection must be closed now; `None` if it may stay open.
    pub fn close_reason(&self) -> Option<Termination> {
        match self.phase {
            Phase::Closing(reason) => Some(reason),
            _ if self.is_retired && self.attempts.is_empty() && self.out.pending() == 0 => {
                Some(Termination::Closed)
            }
            _ => None,
        }
    }

    /// Number of attempts on the connection; `None` if it accepts no more attempts.
    pub fn attempt_count(&self) -> Option<usize> {
        match self.phase {
            Phase::Dialing | Phase::Open => Some(self.attempts.len()),
            Phase::Closing(_) | Phase::Closed => None,
        }
    }

    /// Queues an attempt under its request id.
    pub fn enqueue(&mut self, id: String, attempt: ActiveAttempt) {
        self.attempts.insert(id, attempt);
    }

    /// Removes an attempt without reporting its end, and cancels its query if the command was sent. A
    /// connection whose engine has not read all of the only attempt's command is closed, so that the rest does
    /// not arrive later. Returns false if the attempt is not on this connection.
    pub fn cancel(&mut self, id: &str) -> bool {
        let Some(attempt) = self.attempts.remove(id) else { return false };
        let is_command_pending = attempt.end_offset > self.out.written_offset();
        match attempt.queued {
            Some(_) => {}
            None if is_command_pending && self.attempts.is_empty() => {
                self.phase = Phase::Closing(Termination::Cancelled);
            }
            None if attempt.has_result() => command::release(self.out.buffer(), id),
            None => command::cancel(self.out.buffer(), id),
        }
        true
    }

    /// Changes the priority of an attempt. Returns false if the attempt is not on this connection.
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

    /// Ends all queued attempts as never written.
    pub fn reject_queued(&mut self) {
        self.end_queued(|_| Some(Termination::NeverWritten));
    }

    /// Adds the commands of the queued attempts to the output, provided that the socket has accepted all
    /// earlier output. Obsolete attempts end instead, and attempts whose clients have sent input that is not
    /// read yet stay queued: their clients' close may follow it. Returns whether such attempts are queued.
    ///
    /// Because commands are added only then, no attempt starts after its client has left or after the latest
    /// time at which it may be written.
    pub fn write_queued(&mut self) -> bool {
        let now = Instant::now();
        if self.out.pending() > 0 || self.attempts.values().all(|attempt| attempt.queued.is_none()) {
            return false;
        }
        self.end_queued(|queued| queued.obsolete_reason(now));
        if self.attempts.values().all(|attempt| attempt.queued.is_some()) {
            // No attempt was in flight, so the engine had no reason to send anything until now.
            self.health.reset_silence(now);
        }
        let mut waits_for_client = false;
        for (id, attempt) in &mut self.attempts {
            let may_have_left = |queued: &QueuedAttempt| queued.query.client.has_unread_own_input();
            if attempt.queued.as_ref().is_some_and(may_have_left) {
                waits_for_client = true;
                continue;
            }
            let Some(queued) = attempt.queued.take() else { continue };
            attempt.start_offset = self.out.end_offset();
            self.attempts_sent.fetch_add(1, Ordering::Relaxed);
            let remaining_time = queued.deadline.saturating_duration_since(now);
            command::serve(self.out.buffer(), id, &queued.query, queued.priority, remaining_time);
            attempt.end_offset = self.out.end_offset();
        }
        waits_for_client
    }

    /// Whether there is unread input of clients that may cancel one of the queued attempts.
    pub fn has_unread_input(&self) -> bool {
        let mut queued = self.attempts.values().filter_map(|attempt| attempt.queued.as_ref());
        queued.any(|queued| queued.query.client.has_unread_input())
    }

    /// Checks an open connection. Returns true if the connection's coroutine has to be woken to send a health
    /// check or close the connection.
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

    /// Handles all complete messages at the start of `input`. Returns their total length in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if a message is invalid. All messages before it have been handled.
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

    /// Handles one message. Ignores messages for attempts that are no longer on the connection.
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
            MessageKind::Fault => Some(end_without_result(Termination::Fault, message)),
            MessageKind::Pong | MessageKind::Unknown => return Err(MessageError::Unexpected),
        };
        if let Some(result) = result
            && let Some(attempt) = self.attempts.remove(message.id)
        {
            attempt.end(result);
        }
        Ok(())
    }

    /// Ends the queued attempts for which `end_reason` returns a termination.
    fn end_queued(&mut self, end_reason: impl Fn(&QueuedAttempt) -> Option<Termination>) {
        let termination_of = |attempt: &ActiveAttempt| attempt.queued.as_ref().and_then(&end_reason);
        let terminations = self.attempts.iter().filter_map(|(id, attempt)| {
            let termination = termination_of(attempt)?;
            Some((id.clone(), termination))
        });
        let terminations: Vec<(String, Termination)> = terminations.collect();
        for (id, termination) in terminations {
            if let Some(attempt) = self.attempts.remove(&id) {
                attempt.end(termination);
            }
        }
    }
}
