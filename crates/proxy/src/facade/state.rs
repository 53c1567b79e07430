//! What the facade keeps behind its lock: the dispatcher, the open requests and the timers.

use std::collections::{BTreeMap, VecDeque};

use gaugestep_dispatch::interface::{
    AttemptEnd, AttemptNo, EngineId, Millis, NewRequest, Outcome, RequestId, SettingsError,
};
use gaugestep_dispatch::{Action, Dispatcher, Event, Settings};
use may::sync::mpsc::Sender;

use super::mailbox::{AttemptOrder, Rejection, RequestEvent};
use super::timers::{ClockTime, Timer, TimerQueue, to_duration};

/// How often the dispatcher looks at what is pending while many events come.
const RUN_PENDING_INTERVAL: Millis = 1.0;

/// The priority of a request until the dispatcher sets another.
const INITIAL_PRIORITY: u8 = 1;

/// An attempt that has been ordered and has not ended.
#[derive(Clone, Copy)]
pub struct InFlightAttempt {
    /// Its number.
    pub attempt: AttemptNo,
    /// Where it was sent.
    pub engine: EngineId,
    /// When it was ordered.
    pub sent_at: Millis,
}

/// An open request.
struct RequestEntry<Upstream> {
    events: Sender<RequestEvent<Upstream>>,
    deadline: Millis,
    /// It has been answered, or its client has left.
    finished: bool,
    in_flight: Option<InFlightAttempt>,
    attempts_sent: usize,
    max_attempts: usize,
    priority: u8,
}

impl<Upstream> RequestEntry<Upstream> {
    /// Whether another attempt may be made at `now`.
    fn is_sendable(&self, now: Millis) -> bool {
        !self.finished
            && self.in_flight.is_none()
            && self.attempts_sent < self.max_attempts
            && now < self.deadline
    }

    /// Leaves an event in the request's mailbox. A coroutine that has dropped it needs no event any more.
    fn send(&self, event: RequestEvent<Upstream>) {
        let _ = self.events.send(event);
    }
}

/// An attempt that has ended, and its request then.
pub struct EndedAttempt {
    /// The attempt.
    pub attempt: InFlightAttempt,
    /// Whether the request had ended before.
    pub was_finished: bool,
    /// Whether it has ended by now.
    pub is_finished: bool,
}

/// What the facade keeps behind its lock.
pub struct FacadeState<Upstream> {
    dispatcher: Dispatcher,
    requests: BTreeMap<RequestId, RequestEntry<Upstream>>,
    timers: TimerQueue,
    log_lines: Vec<String>,
    /// No deadline is later than this.
    closing_by: Millis,
    /// When the dispatcher last looked at what is pending.
    pending_run_at: Millis,
    /// Whether a timer is set for it to do so again.
    pending_run_scheduled: bool,
    max_attempts: usize,
    priorities: bool,
}

impl<Upstream> FacadeState<Upstream> {
    /// The state of a new dispatcher.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let (max_attempts, priorities) = (max_attempts(&settings), settings.priorities);
        Ok(FacadeState {
            dispatcher: Dispatcher::new(settings, seed)?,
            requests: BTreeMap::new(),
            timers: TimerQueue::default(),
            log_lines: Vec::new(),
            closing_by: f64::INFINITY,
            pending_run_at: 0.0,
            pending_run_scheduled: false,
            max_attempts,
            priorities,
        })
    }

    /// When the next timer fires.
    pub fn next_timer(&self) -> ClockTime {
        self.timers.next()
    }

    /// Removes and returns the next timer if it is due.
    pub fn pop_due_timer(&mut self, now: Millis) -> Option<Timer> {
        self.timers.pop_due(now)
    }

    /// The lines that the dispatcher wants logged.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }

    /// How many engines are ejected.
    pub fn ejected_count(&mut self, now: Millis) -> usize {
        self.dispatcher.ejected_count(now)
    }

    /// Whether a request with this id is open.
    pub fn is_open(&self, id: &RequestId) -> bool {
        self.requests.contains_key(id)
    }

    /// Opens a request whose events go to `events`. Its deadline is moved ahead if all requests have to end before it.
    pub fn open(&mut self, new: &mut NewRequest, events: Sender<RequestEvent<Upstream>>) {
        new.deadline = new.deadline.min(self.closing_by);
        let entry = RequestEntry {
            events,
            deadline: new.deadline,
            finished: false,
            in_flight: None,
            attempts_sent: 0,
            max_attempts: self.max_attempts,
            priority: INITIAL_PRIORITY,
        };
        self.timers.set(new.deadline, Timer::Deadline(new.id.clone()));
        self.requests.insert(new.id.clone(), entry);
    }

    /// Removes a request and its deadline.
    fn remove(&mut self, id: &RequestId) {
        if let Some(entry) = self.requests.remove(id) {
            self.timers.clear(entry.deadline, Timer::Deadline(id.clone()));
        }
    }

    /// Ends the attempt of a request that is in flight; `None` if there is none.
    pub fn end_attempt(&mut self, id: &RequestId, outcome: Outcome) -> Option<EndedAttempt> {
        let entry = self.requests.get_mut(id)?;
        let attempt = entry.in_flight.take()?;
        let was_finished = entry.finished;
        entry.finished |= outcome == Outcome::Served;
        let is_finished = entry.finished;
        if is_finished {
            self.remove(id);
        }
        Some(EndedAttempt { attempt, was_finished, is_finished })
    }

    /// The client of a request has left; false if the request is not open.
    pub fn client_gone(&mut self, id: &RequestId) -> bool {
        let Some(entry) = self.requests.get_mut(id) else { return false };
        entry.finished = true;
        if entry.in_flight.is_none() {
            self.remove(id);
        }
        true
    }

    /// The number of the attempt of a request that is in flight.
    pub fn attempt_in_flight(&self, id: &RequestId) -> Option<AttemptNo> {
        self.requests.get(id)?.in_flight.map(|in_flight| in_flight.attempt)
    }

    /// Takes what of new settings the facade itself needs. Open requests keep what they were opened with.
    pub fn update_settings(&mut self, settings: &Settings) {
        self.max_attempts = max_attempts(settings);
        self.priorities = settings.priorities;
    }

    /// Moves the deadlines of all requests, also of those yet to come, to `at` where they are later.
    pub fn close_by(&mut self, at: Millis) {
        self.closing_by = at;
        let FacadeState { requests, timers, .. } = self;
        for (id, entry) in requests.iter_mut().filter(|(_, entry)| entry.deadline > at) {
            timers.clear(entry.deadline, Timer::Deadline(id.clone()));
            timers.set(at, Timer::Deadline(id.clone()));
            entry.deadline = at;
        }
    }

    /// The deadline of a request has passed.
    pub fn deadline_passed(&mut self, id: &RequestId) {
        let Some(entry) = self.requests.get(id).filter(|entry| !entry.finished) else { return };
        if let Some(in_flight) = entry.in_flight {
            entry.send(RequestEvent::Deadline(in_flight.attempt));
        }
    }

    /// The timer of [`Timer::RunPending`] has fired.
    pub fn pending_run_due(&mut self, now: Millis) {
        self.pending_run_at = now - RUN_PENDING_INTERVAL;
        self.pending_run_scheduled = false;
    }

    /// Hands an event to the dispatcher and applies its actions. Then has it look at what is pending, or sets a timer for
    /// that if it has just done so.
    pub fn dispatch(&mut self, now: Millis, event: Option<Event>) {
        let mut events = VecDeque::from_iter(event);
        let mut actions = Vec::new();
        loop {
            match events.pop_front() {
                Some(event) => self.dispatcher.handle(now, event, &mut actions),
                None if now - self.pending_run_at >= RUN_PENDING_INTERVAL => {
                    self.pending_run_at = now;
                    self.dispatcher.run_pending(now, &mut actions);
                }
                None => break,
            }
            for action in actions.drain(..) {
                events.extend(self.apply(now, action));
            }
        }
        if self.pending_run_at < now && !self.pending_run_scheduled {
            self.pending_run_scheduled = true;
            self.timers.set(self.pending_run_at + RUN_PENDING_INTERVAL, Timer::RunPending);
        }
    }

    /// Applies one action. Returns the end of an attempt that could not be sent.
    fn apply(&mut self, now: Millis, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, engine } => return self.send_attempt(now, id, engine),
            Action::Cancel { id, attempt } => self.cancel_attempt(&id, attempt),
            Action::Reject { id, retry_after, reason } => {
                self.answer(&id, RequestEvent::Reject(Rejection { retry_after, reason }));
            }
            Action::Fail { id } => self.answer(&id, RequestEvent::Fail),
            Action::SetAttemptOptions { id, priority, .. } => self.set_priority(&id, priority),
            Action::SetTimer { timer, delay } => self.timers.set(now + delay, Timer::Dispatcher(timer)),
            Action::Log(text) => self.log_lines.push(text),
        }
        None
    }

    /// Orders an attempt. Where the request may not be sent any more, returns the end of the attempt.
    fn send_attempt(&mut self, now: Millis, id: RequestId, engine: EngineId) -> Option<Event> {
        let Some(entry) = self.requests.get_mut(&id) else {
            return Some(not_sent(id, AttemptNo(0), engine, true));
        };
        let attempt = AttemptNo(entry.attempts_sent);
        let is_sendable = entry.is_sendable(now);
        entry.attempts_sent += 1;
        if !is_sendable {
            let is_finished = entry.finished;
            return Some(not_sent(id, attempt, engine, is_finished));
        }
        entry.in_flight = Some(InFlightAttempt { attempt, engine, sent_at: now });
        let priority = self.priorities.then_some(entry.priority);
        let sendable_until = self.dispatcher.sendable_until(&id);
        let left = sendable_until.is_finite().then(|| to_duration(sendable_until - now));
        entry.send(RequestEvent::Send(AttemptOrder { engine, attempt, priority, left }));
        None
    }

    fn cancel_attempt(&self, id: &RequestId, attempt: AttemptNo) {
        let Some(entry) = self.requests.get(id) else { return };
        if entry.in_flight.is_some_and(|in_flight| in_flight.attempt == attempt) {
            entry.send(RequestEvent::Cancel(attempt));
        }
    }

    fn set_priority(&mut self, id: &RequestId, priority: u8) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        if entry.in_flight.is_some() && entry.priority != priority {
            entry.send(RequestEvent::Priority(priority));
        }
        entry.priority = priority;
    }

    /// Sends a request its final answer, unless it has ended.
    fn answer(&mut self, id: &RequestId, answer: RequestEvent<Upstream>) {
        let Some(entry) = self.requests.get_mut(id).filter(|entry| !entry.finished) else { return };
        entry.finished = true;
        entry.send(answer);
        if entry.in_flight.is_none() {
            self.remove(id);
        }
    }
}

/// How many attempts a request may have; one at the least.
fn max_attempts(settings: &Settings) -> usize {
    settings.max_attempts.max(1)
}

/// The end of an attempt that was not sent.
fn not_sent(id: RequestId, attempt: AttemptNo, engine: EngineId, finished: bool) -> Event {
    Event::AttemptEnded(AttemptEnd {
        id,
        attempt,
        engine,
        outcome: Outcome::NotSent,
        finished,
        elapsed: 0.0,
        cost: None,
        load: None,
    })
}
