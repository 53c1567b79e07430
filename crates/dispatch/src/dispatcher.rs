//! The dispatcher as its embedder sees it: its state, and the entry points, which hand each event to the method of the policy
//! that answers it. Nothing is decided here.

use oorandom::Rand64;

use crate::engines::{Fleet, GrantedPosition};
use crate::interface::*;
use crate::policy::*;
use crate::requests::{OrderedQueues, Requests};
use crate::stats::Mean;

/// The time and the settings by which all parts decide.
#[derive(Debug)]
pub struct Context {
    /// The time of the event that is handled.
    pub now: Millis,
    /// The settings in force.
    pub settings: Settings,
}

/// The decisions of one dispatcher.
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
    pub(crate) fleet: Fleet,
    /// When the earliest timer is due.
    pub(crate) wakes_at: Millis,
    pub(crate) reviewed_at: Millis,
    /// Answers without service since the last log line.
    pub(crate) unserved: u32,
    /// Events were handled since what waits was last looked at.
    pub(crate) pending: bool,
}

impl Dispatcher {
    /// A dispatcher that knows nothing but its settings; `seed` feeds its own random numbers.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the field of unusable settings.
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
            fleet: Fleet::default(),
            wakes_at: f64::INFINITY,
            reviewed_at: 0.0,
            unserved: 0,
            pending: false,
        };
        dispatcher.update_settings(settings);
        Ok(dispatcher)
    }

    /// Handles one event and adds what is to be done to `out`. While much is open, what waits is not looked at for each
    /// event, which took more than a core: [`Dispatcher::run_pending`] must follow soon.
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
            // The answer is the client's from here on.
            Event::StreamingStarted(id, _) => {
                self.requests.entry(id).and_modify(|request| request.finished = true);
            }
            Event::Progress(id, attempt, report) => {
                self.on_progress(&id, attempt, report);
                self.act_on_due(&id, out);
            }
            Event::ClientGone(id) => self.finish(&id, out),
            Event::ShutdownBy(at) => self.requests.values_mut().for_each(|request| request.bring_forward(at)),
            Event::SettingsUpdated(settings) => self.update_settings(*settings),
            Event::PositionAssigned(position, until) => {
                self.fleet.subset.granted = Some(GrantedPosition { position, until });
            }
            Event::ProbeResult(engine, _, load) => self.on_load_report(engine, load),
            Event::Timer(_) => self.on_timer(out),
        }
        self.run_or_defer(out);
    }

    /// Places what waits, if events since the last call left that open.
    pub fn run_pending(&mut self, now: Millis, out: &mut Vec<Action>) {
        if std::mem::take(&mut self.pending) {
            self.advance_to(now);
            self.run(out);
        }
    }

    /// How many engines that take work by the list are ejected at this time.
    pub fn ejected_count(&mut self, now: Millis) -> usize {
        self.advance_to(now);
        let ejected = |engine: &&_| !self.fleet.outliers.is_available(engine, self.context.now);
        self.fleet.engines.values().filter(|engine| engine.is_up()).filter(ejected).count()
    }

    /// Until when the request's newest attempt may be sent.
    pub fn sendable_until(&self, id: &RequestId) -> Millis {
        let Some(request) = self.requests.get(id) else { return f64::INFINITY };
        repeat_until(&self.context, request, request.attempts.len().saturating_sub(1))
    }

    /// The clock never goes backwards.
    fn advance_to(&mut self, now: Millis) {
        self.context.now = self.context.now.max(now);
    }

    fn on_progress(&mut self, id: &RequestId, attempt: AttemptNo, report: ProgressReport) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(attempt) = request.attempts.get_mut(attempt.0) else { return };
        match report {
            ProgressReport::Done(share) => attempt.on_progress(share, self.context.now),
            ProgressReport::Spills(_) => self.work.on_spill(request.new.class),
            ProgressReport::WaitsForMemory | ProgressReport::WaitsForLoad => {}
        }
    }

    /// Takes new settings; each part takes over what it knows.
    fn update_settings(&mut self, settings: Settings) {
        let old = std::mem::replace(&mut self.context.settings, settings);
        let new = &self.context.settings;
        reset_changed(&mut self.work.0, &old.classes, &new.classes);
        reset_changed(&mut self.timeouts.0, &old.classes, &new.classes);
        self.quotas.0.resize(new.tenants.len(), Mean::default());
        self.fleet.draw_subset(&self.context);
    }
}

/// Takes over new settings of classes: what is known of a class is forgotten with its rules.
fn reset_changed<T: Default>(known: &mut Vec<T>, old: &[ClassSettings], new: &[ClassSettings]) {
    for (_, class) in known.iter_mut().enumerate().filter(|(at, _)| old.get(*at) != new.get(*at)) {
        *class = T::default();
    }
    known.resize_with(new.len(), T::default);
}
