//! State protected by the facade's lock: the dispatcher, the open requests and the timers.

use std::collections::{BTreeMap, VecDeque};

use gaugestep_dispatch::interface::{
    AttemptEnd, AttemptNo, ClassId, EngineId, Millis, NewRequest, Outcome, RequestId, SettingsError,
};
use gaugestep_dispatch::{Action, Dispatcher, Event, Settings};
use may::sync::mpsc::Sender;

use super::mailbox::{AttemptOrder, Rejection, RequestEvent};
use super::timers::{ClockTime, Timer, TimerQueue, to_duration};

/// Minimum interval between two calls of [`Dispatcher::run_pending`], in milliseconds: events that arrive in
/// quick succession share one call.
const RUN_PENDING_INTERVAL: Millis = 1.0;

/// Priority of a request until the dispatcher sets another one.
const INITIAL_PRIORITY: u8 = 1;

/// An attempt that the dispatcher has ordered and that has not ended.
#[derive(Clone, Copy)]
pub struct InFlightAttempt {
    /// The attempt's number within its request, from 0.
    pub attempt: AttemptNo,
    /// The engine that it is sent to.
    pub engine: EngineId,
    /// When the dispatcher ordered it, on the facade's clock.
    pub sent_at: Millis,
}

/// An open request.
struct RequestEntry<Upstream> {
    events: Sender<RequestEvent<Upstream>>,
    deadline: Millis,
    /// True once the final response is decided or the client is gone. The entry is kept until the attempt in
    /// flight ends.
    is_finished: bool,
    in_flight: Option<InFlightAttempt>,
    /// Attempts that the dispatcher has ordered, including those that could not be sent.
    attempts_ordered: usize,
    max_attempts: usize,
    /// From 0 to 3.
    priority: u8,
}

impl<Upstream> RequestEntry<Upstream> {
    /// Returns whether another attempt may be sent at `now`.
    fn is_sendable(&self, now: Millis) -> bool {
        !self.is_finished
            && self.in_flight.is_none()
            && self.attempts_ordered < self.max_attempts
            && now < self.deadline
    }

    /// Sends an event to the request's mailbox. Errors are ignored: a coroutine that has dropped its mailbox
    /// has finished the request.
    fn send(&self, event: RequestEvent<Upstream>) {
        let _ = self.events.send(event);
    }
}

/// An attempt that has ended, with the state of its request.
pub struct EndedAttempt {
    /// The attempt that has ended.
    pub attempt: InFlightAttempt,
    /// Whether the request was finished before the attempt ended.
    pub was_finished: bool,
    /// Whether the request is finished after the attempt.
    pub is_finished: bool,
}

/// The state protected by the facade's lock.
pub struct FacadeState<Upstream> {
    dispatcher: Dispatcher,
    requests: BTreeMap<RequestId, RequestEntry<Upstream>>,
    timers: TimerQueue,
    log_lines: Vec<String>,
    /// Upper limit of all deadlines; infinite until the proxy shuts down.
    latest_deadline: Millis,
    /// When [`Dispatcher::run_pending`] was last called.
    last_pending_run_at: Millis,
    /// Whether a [`Timer::RunPending`] is set.
    pending_run_scheduled: bool,
    /// Maximum number of attempts of requests that are opened from now on.
    max_attempts: usize,
    /// Whether attempts are sent with their priority.
    priorities_enabled: bool,
}

impl<Upstream> FacadeState<Upstream> {
    /// Creates the state with a new dispatcher. `seed` seeds its random number generator.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let max_attempts = max_attempts(&settings);
        let priorities_enabled = settings.priorities;
        Ok(FacadeState {
            dispatcher: Dispatcher::new(settings, seed)?,
            requests: BTreeMap::new(),
            timers: TimerQueue::default(),
            log_lines: Vec::new(),
            latest_deadline: f64::INFINITY,
            last_pending_run_at: 0.0,
            pending_run_scheduled: false,
            max_attempts,
            priorities_enabled,
        })
    }

    /// Returns the time at which the next timer fires.
    pub fn next_timer_at(&self) -> ClockTime {
        self.timers.next_at()
    }

    /// Removes and returns the next timer if it is due.
    pub fn pop_due_timer(&mut self, now: Millis) -> Option<Timer> {
        self.timers.pop_due(now)
    }

    /// Removes and returns the log lines that the dispatcher has emitted.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log_lines)
    }

    /// Returns how many engines are ejected as outliers.
    pub fn ejected_count(&mut self, now: Millis) -> usize {
        self.dispatcher.ejected_count(now)
    }

    /// Returns whether a request with this id is open.
    pub fn is_open(&self, id: &RequestId) -> bool {
        self.requests.contains_key(id)
    }

    /// Returns whether a request with this id may have run and must not run again.
    pub fn may_have_run(&self, id: &RequestId) -> bool {
        self.dispatcher.may_have_run(id)
    }

    /// Returns whether requests of this class must not run twice.
    pub fn must_run_once(&self, class: ClassId) -> bool {
        self.dispatcher.must_run_once(class)
    }

    /// Treats a request with this id as one that may have run.
    pub fn remember_id(&mut self, id: &RequestId) {
        self.dispatcher.remember_id(id);
    }

    /// Opens a request whose events go to `events`. During a shutdown, its deadline is limited to the latest
    /// one that is allowed.
    pub fn open(&mut self, request: &mut NewRequest, events: Sender<RequestEvent<Upstream>>) {
        request.deadline = request.deadline.min(self.latest_deadline);
        let entry = RequestEntry {
            events,
            deadline: request.deadline,
            is_finished: false,
            in_flight: None,
            attempts_ordered: 0,
            max_attempts: self.max_attempts,
            priority: INITIAL_PRIORITY,
        };
        self.timers.set(request.deadline, Timer::Deadline(request.id.clone()));
        self.requests.insert(request.id.clone(), entry);
    }

    /// Removes a request and its deadline timer.
    fn remove(&mut self, id: &RequestId) {
        if let Some(entry) = self.requests.remove(id) {
            self.timers.clear(entry.deadline, Timer::Deadline(id.clone()));
        }
    }

    /// Ends the attempt that is in flight for a request. Returns `None` if no attempt is in flight.
    pub fn end_attempt(&mut self, id: &RequestId, outcome: Outcome) -> Option<EndedAttempt> {
        let entry = self.requests.get_mut(id)?;
        let attempt = entry.in_flight.take()?;
        let was_finished = entry.is_finished;
        entry.is_finished |= outcome == Outcome::Served;
        let is_finished = entry.is_finished;
        if is_finished {
            self.remove(id);
        }
        Some(EndedAttempt { attempt, was_finished, is_finished })
    }

    /// Marks a request as finished because its client has disconnected or cancelled it. Returns false if the
    /// request is not open.
    pub fn on_client_gone(&mut self, id: &RequestId) -> bool {
        let Some(entry) = self.requests.get_mut(id) else { return false };
        entry.is_finished = true;
        if entry.in_flight.is_none() {
            self.remove(id);
        }
        true
    }

    /// Returns the number of the attempt that is in flight for a request, or `None`.
    pub fn attempt_in_flight(&self, id: &RequestId) -> Option<AttemptNo> {
        self.requests.get(id)?.in_flight.map(|in_flight| in_flight.attempt)
    }

    /// Applies the settings that the facade itself uses. Open requests keep their maximum number of attempts.
    pub fn update_settings(&mut self, settings: &Settings) {
        self.max_attempts = max_attempts(settings);
        self.priorities_enabled = settings.priorities;
    }

    /// Moves the deadlines of all open and future requests that are later than `latest_deadline` to it.
    pub fn limit_deadlines(&mut self, latest_deadline: Millis) {
        self.latest_deadline = latest_deadline;
        let FacadeState { requests, timers, .. } = self;
        for (id, entry) in requests.iter_mut().filter(|(_, entry)| entry.deadline > latest_deadline) {
            timers.clear(entry.deadline, Timer::Deadline(id.clone()));
            timers.set(latest_deadline, Timer::Deadline(id.clone()));
            entry.deadline = latest_deadline;
        }
    }

    /// Handles the deadline timer of a request: notifies its coroutine if an attempt is in flight.
    pub fn on_deadline(&mut self, id: &RequestId) {
        let Some(entry) = self.requests.get(id).filter(|entry| !entry.is_finished) else { return };
        if let Some(in_flight) = entry.in_flight {
            entry.send(RequestEvent::Deadline(in_flight.attempt));
        }
    }

    /// Handles [`Timer::RunPending`]: the next [`FacadeState::dispatch`] calls [`Dispatcher::run_pending`].
    pub fn on_pending_run_timer(&mut self, now: Millis) {
        self.last_pending_run_at = now - RUN_PENDING_INTERVAL;
        self.pending_run_scheduled = false;
    }

    /// Passes an event to the dispatcher and applies its actions, including the follow-up events of attempts
    /// that could not be sent. Then calls [`Dispatcher::run_pending`], or sets a timer for it if it was
    /// called less than [`RUN_PENDING_INTERVAL`] ago.
    pub fn dispatch(&mut self, now: Millis, event: Option<Event>) {
        let mut events = VecDeque::from_iter(event);
        let mut actions = Vec::new();
        loop {
            match events.pop_front() {
                Some(event) => self.dispatcher.handle(now, event, &mut actions),
                None if now - self.last_pending_run_at >= RUN_PENDING_INTERVAL => {
                    self.last_pending_run_at = now;
                    self.dispatcher.run_pending(now, &mut actions);
                }
                None => break,
            }
            for action in actions.drain(..) {
                events.extend(self.apply(now, action));
            }
        }
        if self.last_pending_run_at < now && !self.pending_run_scheduled {
            self.pending_run_scheduled = true;
            self.timers.set(self.last_pending_run_at + RUN_PENDING_INTERVAL, Timer::RunPending);
        }
    }

    /// Applies one action. Returns an event for the dispatcher if the action is an attempt that cannot be
    /// sent.
    fn apply(&mut self, now: Millis, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, engine } => return self.send_attempt(now, id, engine),
            Action::Cancel { id, attempt } => self.cancel_attempt(&id, attempt),
            Action::Reject { id, retry_after, reason } => {
                self.finish(&id, RequestEvent::Reject(Rejection { retry_after, reason }));
            }
            Action::Fail { id } => self.finish(&id, RequestEvent::Fail),
            Action::SetAttemptOptions { id, priority, .. } => self.set_priority(&id, priority),
            Action::SetTimer { timer, delay } => self.timers.set(now + delay, Timer::Dispatcher(timer)),
            Action::Log(line) => self.log_lines.push(line),
        }
        None
    }

    /// Orders an attempt from the request's coroutine. If the request may not be sent any more, returns the
    /// event that ends the attempt as not sent.
    fn send_attempt(&mut self, now: Millis, id: RequestId, engine: EngineId) -> Option<Event> {
        let Some(entry) = self.requests.get_mut(&id) else {
            return Some(not_sent(id, AttemptNo(0), engine, true));
        };
        let attempt = AttemptNo(entry.attempts_ordered);
        let is_sendable = entry.is_sendable(now);
        entry.attempts_ordered += 1;
        if !is_sendable {
            let is_finished = entry.is_finished;
            return Some(not_sent(id, attempt, engine, is_finished));
        }
        entry.in_flight = Some(InFlightAttempt { attempt, engine, sent_at: now });
        let priority = self.priorities_enabled.then_some(entry.priority);
        let sendable_until = self.dispatcher.sendable_until(&id);
        let sendable_for = sendable_until.is_finite().then(|| to_duration(sendable_until - now));
        entry.send(RequestEvent::Send(AttemptOrder { engine, attempt, priority, sendable_for }));
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

    /// Finishes a request with its final response, unless it is already finished.
    fn finish(&mut self, id: &RequestId, response: RequestEvent<Upstream>) {
        let Some(entry) = self.requests.get_mut(id).filter(|entry| !entry.is_finished) else { return };
        entry.is_finished = true;
        entry.send(response);
        if entry.in_flight.is_none() {
            self.remove(id);
        }
    }
}

/// Returns the maximum number of attempts of a request, at least 1.
fn max_attempts(settings: &Settings) -> usize {
    settings.max_attempts.max(1)
}

/// Creates the event that ends an attempt as not sent.
fn not_sent(id: RequestId, attempt: AttemptNo, engine: EngineId, is_finished: bool) -> Event {
    Event::AttemptEnded(AttemptEnd {
        id,
        attempt,
        engine,
        outcome: Outcome::NotSent,
        finished: is_finished,
        elapsed: 0.0,
        cost: None,
        load: None,
    })
}
