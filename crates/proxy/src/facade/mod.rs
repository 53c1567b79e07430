//! The decision module in blocking style: [`Facade::pick`], [`Facade::report`] and [`Facade::tick`].
//!
//! The facade owns the dispatcher, its clock and its timers, and turns the dispatcher's actions into events for the
//! coroutines of requests. Each request has one [`Mailbox`]; whatever reaches its coroutine comes through it. Nothing is
//! decided here: [`state`] applies actions as they come.

mod mailbox;
mod state;
mod ticker;
mod timers;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use gaugestep_dispatch::interface::{
    AttemptEnd, AttemptNo, EngineEntry, FleetPosition, Millis, NewRequest, Outcome, ProgressReport,
    RequestId, SettingsError,
};
use gaugestep_dispatch::{Event, Settings};

use self::state::FacadeState;
use self::ticker::Ticker;
use self::timers::{ClockTime, Timer};
use crate::lock;

pub use self::mailbox::{AttemptOrder, AttemptReport, Mailbox, NextStep, Rejection, RequestEvent};
pub use self::timers::to_duration;

/// The dispatcher, its clock and its timers. `Upstream` is what the databases' side reports about an attempt.
pub struct Facade<Upstream> {
    state: Mutex<FacadeState<Upstream>>,
    started_at: Instant,
    /// Unix time of the clock's zero.
    epoch: Millis,
    ticker: Ticker,
}

impl<Upstream> Facade<Upstream> {
    /// A facade of a new dispatcher, whose clock starts now. `seed` is that of the dispatcher's random draws.
    ///
    /// # Errors
    ///
    /// If the settings are invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let state = Mutex::new(FacadeState::new(settings, seed)?);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Ok(Facade {
            state,
            started_at: Instant::now(),
            epoch: unix.as_secs_f64() * 1e3,
            ticker: Ticker::new(),
        })
    }

    /// The facade's clock.
    pub fn now(&self) -> Millis {
        self.started_at.elapsed().as_secs_f64() * 1e3
    }

    /// A Unix time in milliseconds on the facade's clock. It is negative if it lies before the clock's zero.
    pub fn at_unix(&self, unix_ms: Millis) -> Millis {
        unix_ms - self.epoch
    }

    /// Hands a new request to the dispatcher and blocks until there is something to do for it.
    pub fn pick(&self, mut new: NewRequest, mailbox: &Mailbox<Upstream>) -> NextStep {
        let id = new.id.clone();
        let mut state = lock(&self.state);
        // Otherwise the open request's answer would go to whoever sends its id again.
        if state.is_open(&id) {
            return NextStep::Duplicate;
        }
        state.open(&mut new, mailbox.sender());
        self.dispatch(state, Some(Event::Request(new)));
        self.wait_for_step(&id, mailbox)
    }

    /// Reports the end of an attempt and blocks until there is something further to do.
    pub fn report(&self, id: &RequestId, end: AttemptReport, mailbox: &Mailbox<Upstream>) -> NextStep {
        let now = self.now();
        let mut state = lock(&self.state);
        let Some(ended) = state.end_attempt(id, end.outcome) else { return NextStep::Finished };
        let event = Event::AttemptEnded(AttemptEnd {
            id: id.clone(),
            attempt: ended.attempt.attempt,
            engine: ended.attempt.engine,
            outcome: end.outcome,
            finished: ended.is_finished,
            elapsed: now - ended.attempt.sent_at,
            cost: end.cost,
            load: end.load,
        });
        self.dispatch(state, Some(event));
        if ended.is_finished || ended.was_finished {
            mailbox.take_final_answer()
        } else {
            self.wait_for_step(id, mailbox)
        }
    }

    /// Passes on what an engine reports of an attempt in flight.
    pub fn on_progress(&self, id: &RequestId, attempt: AttemptNo, report: ProgressReport) {
        self.dispatch(lock(&self.state), Some(Event::Progress(id.clone(), attempt, report)));
    }

    /// The client of a request has left and gets no answer. An attempt in flight is cancelled by an event.
    pub fn client_gone(&self, id: &RequestId) {
        let mut state = lock(&self.state);
        if state.client_gone(id) {
            self.dispatch(state, Some(Event::ClientGone(id.clone())));
        }
    }

    /// Passes on the list of engines if `complete`, else changes to it.
    pub fn update_engines(&self, entries: Vec<EngineEntry>, complete: bool) {
        let event = if complete { Event::EngineList(entries) } else { Event::EngineChanges(entries) };
        self.dispatch(lock(&self.state), Some(event));
    }

    /// How many of the listed engines are ejected.
    pub fn ejected_count(&self) -> usize {
        lock(&self.state).ejected_count(self.now())
    }

    /// Puts new settings into force. Open requests keep the rules that they were opened under.
    pub fn update_settings(&self, settings: Settings) {
        let mut state = lock(&self.state);
        state.update_settings(&settings);
        self.dispatch(state, Some(Event::SettingsUpdated(Box::new(settings))));
    }

    /// The dispatcher has this position in the fleet for the time `left`, and that of its settings afterwards.
    pub fn set_fleet_position(&self, position: FleetPosition, left: Millis) {
        let until = self.now() + left;
        self.dispatch(lock(&self.state), Some(Event::PositionAssigned(position, until)));
    }

    /// The proxy ends: the deadlines of all requests, also of those yet to come, are at `at` or earlier.
    pub fn close_by(&self, at: Millis) {
        let mut state = lock(&self.state);
        state.close_by(at);
        self.dispatch(state, Some(Event::ShutdownBy(at)));
    }

    /// Fires the timers that are due.
    pub fn tick(&self) {
        loop {
            let now = self.now();
            let mut state = lock(&self.state);
            let Some(timer) = state.pop_due_timer(now) else { return };
            match timer {
                Timer::Deadline(id) => state.deadline_passed(&id),
                Timer::Dispatcher(timer) => self.dispatch(state, Some(Event::Timer(timer))),
                Timer::RunPending => {
                    state.pending_run_due(now);
                    self.dispatch(state, None);
                }
            }
        }
    }

    /// When the next timer fires.
    fn next_timer(&self) -> ClockTime {
        lock(&self.state).next_timer()
    }

    /// Blocks until there is something to do for a request of which no attempt is in flight.
    fn wait_for_step(&self, id: &RequestId, mailbox: &Mailbox<Upstream>) -> NextStep {
        loop {
            match mailbox.next() {
                RequestEvent::Send(order) => return NextStep::Send(order),
                RequestEvent::Reject(rejection) => return NextStep::Reject(rejection),
                RequestEvent::Fail => return NextStep::Fail,
                RequestEvent::ClientGone => {
                    self.client_gone(id);
                    self.end_unsent_attempts(id, mailbox);
                    return NextStep::Finished;
                }
                // These concern attempts that have ended.
                RequestEvent::Cancel(_)
                | RequestEvent::Priority(_)
                | RequestEvent::Deadline(_)
                | RequestEvent::Upstream(..) => {}
            }
        }
    }

    /// Ends the attempt that the dispatcher may have ordered just before the client left.
    fn end_unsent_attempts(&self, id: &RequestId, mailbox: &Mailbox<Upstream>) {
        while let Some(attempt) = self.attempt_in_flight(id) {
            tracing::debug!(attempt = attempt.0, "attempt cancelled before it was sent");
            self.report(id, AttemptReport::outcome(Outcome::NotSent), mailbox);
        }
    }

    fn attempt_in_flight(&self, id: &RequestId) -> Option<AttemptNo> {
        lock(&self.state).attempt_in_flight(id)
    }

    /// Hands an event to the dispatcher and applies its actions. Then releases the lock, and logs.
    fn dispatch(&self, mut state: MutexGuard<'_, FacadeState<Upstream>>, event: Option<Event>) {
        state.dispatch(self.now(), event);
        let next_timer = state.next_timer();
        let log_lines = state.take_log_lines();
        drop(state);
        self.ticker.wake_by(next_timer);
        for text in log_lines {
            tracing::info!("module: {text}");
        }
    }
}

/// The id of a request.
pub fn request_id(text: &str) -> RequestId {
    RequestId(Arc::from(text))
}

#[cfg(test)]
#[path = "../../tests/unit/facade.rs"]
mod tests;
