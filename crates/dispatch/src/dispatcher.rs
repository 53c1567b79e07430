//! The dispatcher as its embedder sees it: its state, and the entry points, which pass each event to the
//! method of the policy that handles it. The decisions are in [`crate::policy`].

use oorandom::Rand64;

use crate::engines::{AssignedPosition, Engine, Fleet};
use crate::interface::{
    Action, AttemptNo, ClassId, ClassSettings, Event, Idempotency, Millis, ProgressReport, RequestId,
    Settings, SettingsError,
};
use crate::policy::{
    Ranking, ReplayGuard, RetryBudget, TenantQuotas, TimeoutEstimator, WorkEstimator, may_repeat_until,
};
use crate::requests::{OrderedQueues, Requests};
use crate::stats::DecayingMean;

/// The time and the settings that every decision uses.
#[derive(Debug)]
pub struct Context {
    /// The time of the event that is being handled.
    pub now: Millis,
    /// The settings in force.
    pub settings: Settings,
}

/// Makes the decisions of one dispatcher.
pub struct Dispatcher {
    pub(crate) context: Context,
    pub(crate) random: Rand64,
    pub(crate) requests: Requests,
    pub(crate) quotas: TenantQuotas,
    pub(crate) queues: OrderedQueues,
    pub(crate) ranking: Ranking,
    pub(crate) work: WorkEstimator,
    pub(crate) timeouts: TimeoutEstimator,
    pub(crate) retries: RetryBudget,
    pub(crate) replays: ReplayGuard,
    pub(crate) fleet: Fleet,
    /// When the earliest timer that was asked for is due; infinite if there is none.
    pub(crate) timer_due_at: Millis,
    /// When the last review took place.
    pub(crate) reviewed_at: Millis,
    /// Number of requests that were rejected or failed since the last log line about them.
    pub(crate) unserved_requests: u32,
    /// True if waiting requests were not placed after the latest event; `run_pending` does that.
    pub(crate) placement_pending: bool,
}

impl Dispatcher {
    /// A dispatcher without engines and requests; `seed` initialises its random number generator.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the first invalid field of the settings.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let mut dispatcher = Dispatcher {
            context: Context { now: 0.0, settings: settings.clone() },
            random: Rand64::new(seed.into()),
            requests: Requests::default(),
            quotas: TenantQuotas::default(),
            queues: OrderedQueues::default(),
            ranking: Ranking::default(),
            work: WorkEstimator::default(),
            timeouts: TimeoutEstimator::default(),
            retries: RetryBudget::default(),
            replays: ReplayGuard::default(),
            fleet: Fleet::default(),
            timer_due_at: f64::INFINITY,
            reviewed_at: 0.0,
            unserved_requests: 0,
            placement_pending: false,
        };
        dispatcher.update_settings(settings);
        Ok(dispatcher)
    }

    /// Handles one event and appends the resulting actions to `out`. While many requests are open, placing
    /// the waiting ones after each event would use more than one core. [`Dispatcher::run_pending`] does it
    /// then, and must be called soon after.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.advance_to(now);
        let position = self.fleet.subset.position(self.context.now, self.context.settings.fleet_position);
        if self.fleet.subset.drawn.position != Some(position) {
            self.fleet.draw_subset(&self.context);
        }
        match event {
            Event::EngineList(entries) => self.fleet.on_engine_list(&self.context, entries, true),
            Event::EngineChanges(entries) => self.fleet.on_engine_list(&self.context, entries, false),
            Event::Request(new) => self.on_request(new),
            Event::AttemptEnded(end) => self.on_attempt_ended(&end, out),
            // The client has received a part of the response, so the request can be neither rejected nor
            // retried.
            Event::StreamingStarted(id, _) => {
                self.requests.entry(id).and_modify(|request| request.finished = true);
            }
            Event::Progress(id, attempt, report) => {
                self.on_progress(&id, attempt, report);
                self.act_on_due(&id, out);
            }
            Event::ClientGone(id) => self.finish(&id, out),
            Event::ShutdownBy(latest) => {
                self.requests.values_mut().for_each(|request| request.limit_deadline(latest));
            }
            Event::SettingsUpdated(settings) => self.update_settings(*settings),
            Event::PositionAssigned(position, until) => {
                self.fleet.subset.assigned = Some(AssignedPosition { position, until });
            }
            Event::ProbeResult(engine, _, load) => self.on_load_report(engine, load),
            Event::Timer(_) => self.on_timer(out),
        }
        self.place_or_defer(out);
    }

    /// Places the waiting requests if [`Dispatcher::handle`] has deferred that, and appends the resulting
    /// actions to `out`.
    pub fn run_pending(&mut self, now: Millis, out: &mut Vec<Action>) {
        if std::mem::take(&mut self.placement_pending) {
            self.advance_to(now);
            self.place_and_set_timer(out);
        }
    }

    /// The number of engines that accept requests according to the endpoint list and are ejected at this
    /// time.
    pub fn ejected_count(&mut self, now: Millis) -> usize {
        self.advance_to(now);
        let is_ejected = |engine: &&Engine| !self.fleet.outliers.is_available(engine, self.context.now);
        self.fleet.engines.values().filter(|engine| engine.is_up()).filter(is_ejected).count()
    }

    /// Whether a request with this id, which is not open any more, may have run and must not run again.
    pub fn may_have_run(&self, id: &RequestId) -> bool {
        self.replays.may_have_run(id)
    }

    /// Treats a request with this id as one that may have run, because another process runs it.
    pub fn remember_id(&mut self, id: &RequestId) {
        self.replays.remember(id);
    }

    /// Whether requests of this class must not run twice.
    pub fn must_run_once(&self, class: ClassId) -> bool {
        let settings = self.context.settings.classes.get(class.0);
        settings.is_some_and(|settings| settings.idempotency != Idempotency::Safe)
    }

    /// Until when the request's latest attempt may be sent to its engine; infinite for an unknown request.
    pub fn sendable_until(&self, id: &RequestId) -> Millis {
        let Some(request) = self.requests.get(id) else { return f64::INFINITY };
        let earlier_attempts = request.attempts.len().saturating_sub(1);
        may_repeat_until(&self.context, request, earlier_attempts)
    }

    /// Sets the time of the event, which never goes backwards.
    fn advance_to(&mut self, now: Millis) {
        self.context.now = self.context.now.max(now);
    }

    /// Applies a progress report: stores how much is done, or raises the memory estimate of the class after a
    /// spill.
    fn on_progress(&mut self, id: &RequestId, attempt: AttemptNo, report: ProgressReport) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(attempt) = request.attempts.get_mut(attempt.0) else { return };
        match report {
            ProgressReport::Done(done_fraction) => attempt.on_progress(done_fraction, self.context.now),
            ProgressReport::Spills(_) => self.work.on_spill(request.new.class),
            ProgressReport::WaitsForMemory | ProgressReport::WaitsForLoad => {}
        }
    }

    /// Applies new settings. Keeps what was learned about tenants and classes, except for classes whose
    /// settings changed.
    fn update_settings(&mut self, settings: Settings) {
        let old = std::mem::replace(&mut self.context.settings, settings);
        let new = &self.context.settings;
        reset_changed(&mut self.work.corrections, &old.classes, &new.classes);
        reset_changed(&mut self.timeouts.histories, &old.classes, &new.classes);
        self.quotas.recent_requests.resize(new.tenants.len(), DecayingMean::default());
        self.fleet.draw_subset(&self.context);
    }
}

/// Adapts what was learned about each class to new settings: it is reset for classes whose settings changed,
/// dropped for removed classes, and empty for added ones.
fn reset_changed<T: Default>(learned: &mut Vec<T>, old: &[ClassSettings], new: &[ClassSettings]) {
    for (number, class) in learned.iter_mut().enumerate() {
        if old.get(number) != new.get(number) {
            *class = T::default();
        }
    }
    learned.resize_with(new.len(), T::default);
}
