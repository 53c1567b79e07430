//! The decision module in blocking style: [`Facade::pick`], [`Facade::report`] and [`Facade::tick`].
//!
//! The facade owns the dispatcher, its clock and its timers, and turns the dispatcher's actions into events
//! for the coroutines of requests. Each request has one [`Mailbox`], through which its coroutine receives all
//! events. The facade makes no decisions: [`state`] applies the dispatcher's actions in order.

mod mailbox;
mod state;
mod ticker;
mod timers;

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use gaugestep_dispatch::interface::{
    AttemptEnd, AttemptNo, ClassId, EngineEntry, FleetPosition, Millis, NewRequest, Outcome, ProgressReport,
    RequestId, SettingsError,
};
use gaugestep_dispatch::{Event, Settings};

use self::state::FacadeState;
use self::ticker::Ticker;
use self::timers::{ClockTime, Timer};
use crate::lock;

pub use self::mailbox::{AttemptOrder, AttemptReport, Mailbox, NextStep, Rejection, RequestEvent};
pub use self::timers::to_duration;

/// The dispatcher with its clock and its timers, shared by the coroutines of all requests.
///
/// `Upstream` is the type of the events that the connections to engines report about an attempt.
pub struct Facade<Upstream> {
    state: Mutex<FacadeState<Upstream>>,
    /// Zero of the facade's clock.
    started_at: Instant,
    /// Zero of the facade's clock, as a Unix time in milliseconds.
    epoch_unix_ms: Millis,
    ticker: Ticker,
}

impl<Upstream> Facade<Upstream> {
    /// Creates a dispatcher whose clock starts now. `seed` seeds its random number generator.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings are invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let state = Mutex::new(FacadeState::new(settings, seed)?);
        let since_unix_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Ok(Facade {
            state,
            started_at: Instant::now(),
            epoch_unix_ms: since_unix_epoch.as_secs_f64() * 1e3,
            ticker: Ticker::new(),
        })
    }

    /// Returns the time on the facade's clock: the milliseconds since the facade was created.
    pub fn now(&self) -> Millis {
        self.started_at.elapsed().as_secs_f64() * 1e3
    }

    /// Converts a Unix time in milliseconds to the facade's clock. The result is negative for times before
    /// the facade was created.
    pub fn unix_to_clock(&self, unix_ms: Millis) -> Millis {
        unix_ms - self.epoch_unix_ms
    }

    /// Passes a new request to the dispatcher and blocks until the request's first step is decided.
    pub fn pick(&self, mut request: NewRequest, mailbox: &Mailbox<Upstream>) -> NextStep {
        let id = request.id.clone();
        let mut state = lock(&self.state);
        // A second request under the same id would replace the first one's entry and receive its response.
        if state.is_open(&id) {
            return NextStep::Duplicate;
        }
        if state.may_have_run(&id) {
            return NextStep::AlreadyRun;
        }
        state.open(&mut request, mailbox.sender());
        self.dispatch(state, Some(Event::Request(request)));
        self.wait_for_step(&id, mailbox)
    }

    /// Returns whether requests of this class must not run twice.
    pub fn must_run_once(&self, class: ClassId) -> bool {
        lock(&self.state).must_run_once(class)
    }

    /// Leaves a request to another process, unless it is open or may have run here: it is not run here any more.
    /// Returns whether it is left to the other process.
    pub fn give_up(&self, id: &RequestId) -> bool {
        let mut state = lock(&self.state);
        let may_run_here = state.is_open(id) || state.may_have_run(id);
        state.remember_id(id);
        !may_run_here
    }

    /// Reports the end of the attempt in flight and blocks until the request's next step is decided.
    pub fn report(&self, id: &RequestId, report: AttemptReport, mailbox: &Mailbox<Upstream>) -> NextStep {
        let now = self.now();
        let mut state = lock(&self.state);
        let Some(ended) = state.end_attempt(id, report.outcome) else { return NextStep::Finished };
        let event = Event::AttemptEnded(AttemptEnd {
            id: id.clone(),
            attempt: ended.attempt.attempt,
            engine: ended.attempt.engine,
            outcome: report.outcome,
            finished: ended.is_finished,
            elapsed: now - ended.attempt.sent_at,
            cost: report.cost,
            load: report.load,
        });
        self.dispatch(state, Some(event));
        if ended.is_finished || ended.was_finished {
            mailbox.take_final_response()
        } else {
            self.wait_for_step(id, mailbox)
        }
    }

    /// Passes an engine's progress report about an attempt in flight to the dispatcher.
    pub fn on_progress(&self, id: &RequestId, attempt: AttemptNo, report: ProgressReport) {
        self.dispatch(lock(&self.state), Some(Event::Progress(id.clone(), attempt, report)));
    }

    /// Reports that the client of a request has disconnected or cancelled it: the request gets no response.
    /// If an attempt is in flight, the dispatcher cancels it with a [`RequestEvent::Cancel`].
    pub fn on_client_gone(&self, id: &RequestId) {
        let mut state = lock(&self.state);
        if state.on_client_gone(id) {
            self.dispatch(state, Some(Event::ClientGone(id.clone())));
        }
    }

    /// Passes endpoint entries to the dispatcher. They replace its list of engines if `complete` is true, and
    /// update single engines otherwise.
    pub fn update_engines(&self, entries: Vec<EngineEntry>, complete: bool) {
        let event = if complete { Event::EngineList(entries) } else { Event::EngineChanges(entries) };
        self.dispatch(lock(&self.state), Some(event));
    }

    /// Returns how many of the listed engines are ejected as outliers.
    pub fn ejected_count(&self) -> usize {
        lock(&self.state).ejected_count(self.now())
    }

    /// Applies new settings. Open requests keep the class rules and the maximum number of attempts under
    /// which they were opened.
    pub fn update_settings(&self, settings: Settings) {
        let mut state = lock(&self.state);
        state.update_settings(&settings);
        self.dispatch(state, Some(Event::SettingsUpdated(Box::new(settings))));
    }

    /// Assigns the dispatcher a position in the fleet for the time `valid_for`. Afterwards the position in
    /// the settings applies again.
    pub fn set_fleet_position(&self, position: FleetPosition, valid_for: Millis) {
        let valid_until = self.now() + valid_for;
        self.dispatch(lock(&self.state), Some(Event::PositionAssigned(position, valid_until)));
    }

    /// Limits the deadlines of all open and future requests to `latest_deadline`, because the proxy shuts
    /// down.
    pub fn limit_deadlines(&self, latest_deadline: Millis) {
        let mut state = lock(&self.state);
        state.limit_deadlines(latest_deadline);
        self.dispatch(state, Some(Event::ShutdownBy(latest_deadline)));
    }

    /// Fires the timers that are due.
    pub fn tick(&self) {
        loop {
            let now = self.now();
            let mut state = lock(&self.state);
            let Some(timer) = state.pop_due_timer(now) else { return };
            match timer {
                Timer::Deadline(id) => state.on_deadline(&id),
                Timer::Dispatcher(timer) => self.dispatch(state, Some(Event::Timer(timer))),
                Timer::RunPending => {
                    state.on_pending_run_timer(now);
                    self.dispatch(state, None);
                }
            }
        }
    }

    /// Returns the time at which the next timer fires.
    fn next_timer_at(&self) -> ClockTime {
        lock(&self.state).next_timer_at()
    }

    /// Blocks until the next step is decided for a request that has no attempt in flight.
    fn wait_for_step(&self, id: &RequestId, mailbox: &Mailbox<Upstream>) -> NextStep {
        loop {
            match mailbox.next() {
                RequestEvent::Send(order) => return NextStep::Send(order),
                RequestEvent::Reject(rejection) => return NextStep::Reject(rejection),
                RequestEvent::Fail => return NextStep::Fail,
                RequestEvent::ClientGone => {
                    self.on_client_gone(id);
                    self.end_unsent_attempts(id, mailbox);
                    return NextStep::Finished;
                }
                // These events are about attempts that have ended.
                RequestEvent::Cancel(_)
                | RequestEvent::Priority(_)
                | RequestEvent::Deadline(_)
                | RequestEvent::Upstream(..) => {}
            }
        }
    }

    /// Reports attempts that the dispatcher ordered before it received the client's disconnect as not sent.
    fn end_unsent_attempts(&self, id: &RequestId, mailbox: &Mailbox<Upstream>) {
        while let Some(attempt) = self.attempt_in_flight(id) {
            tracing::debug!(attempt = attempt.0, "attempt cancelled before it was sent");
            self.report(id, AttemptReport::outcome(Outcome::NotSent), mailbox);
        }
    }

    fn attempt_in_flight(&self, id: &RequestId) -> Option<AttemptNo> {
        lock(&self.state).attempt_in_flight(id)
    }

    /// Passes an event to the dispatcher, applies the actions and releases the lock. Then wakes the ticker if
    /// it sleeps too long, and writes the log lines.
    fn dispatch(&self, mut state: MutexGuard<'_, FacadeState<Upstream>>, event: Option<Event>) {
        state.dispatch(self.now(), event);
        let next_timer_at = state.next_timer_at();
        let log_lines = state.take_log_lines();
        drop(state);
        self.ticker.wake_for(next_timer_at);
        for line in log_lines {
            tracing::info!("dispatcher: {line}");
        }
    }
}

/// Creates a request id from its text.
pub fn request_id(text: &str) -> RequestId {
    RequestId(Arc::from(text))
}

#[cfg(test)]
#[path = "../../tests/unit/facade.rs"]
mod tests;
