//! All decisions of a dispatcher. Its events and actions are in [`crate::interface`].
//!
//! A request's path: `on_request` books it, `serve_waiting` ranks what waits by worth per work and gives each an
//! engine with room (`place`), or leaves it waiting; `tick` watches what runs: past its class's tau
//! (`choose_tau`) it is cut and waits again for its one relaunch on another engine, which runs to its end;
//! `on_attempt_ended` learns from each outcome and passes on, retries (`further_attempt`) or answers.
//! What cannot be served in time is refused; every request gets one final answer before its deadline.

use std::collections::{BTreeMap, VecDeque};

use gaugestep_subsetting::slow_start::{SlowStartBudget, SlowStartLimit, stagger_factor};
use gaugestep_subsetting::subset::Subset;

use crate::interface::*;
use crate::requests::{Attempt, Class, OrderedQueue, Request};
use crate::stats::{
    BINS, InFlightLoad, Level, Mean, bin_of, held_by_all, product_limit, remember, since, unseen,
};

/// ms that a timer or an outcome may come late; half the usual slack for answers.
const TICK: Millis = 10.0;
/// ms between tries to place what waits, where no event brings one: engines free up unseen.
const RETRY: Millis = 25.0;
/// ms between reviews: tau is computed anew, and a line logged on what was not served.
const REVIEW_EVERY: Millis = 1_000.0;
/// Ended first runs of a class before anything is cut: fewer tell nothing of a tail of a few in a hundred.
const MIN_OUTCOMES: usize = 20;
/// First runs remembered for each class: a minute or more of its traffic, so that rare stragglers stay known.
const WINDOW: usize = 1000;
/// Share of first runs never cut, so that the tail stays seen.
const UNCUT_SHARE: f64 = 0.04;
/// Load with tau over load without must be under this to start cutting: less is noise of the estimates.
const MIN_GAIN: f64 = 0.85;
/// Part of tau after which a note may bring a cut forward, if it tells of this many mean reruns left.
const EARLY_TAU: f64 = 0.3;
const EARLY_LEFT: f64 = 2.5;
/// A request is given up when it needs this many times the time that its client still waits: usual runs, and
/// what notes tell of this one, are off by less.
const HOPELESS: f64 = 2.0;
/// Reruns that the class's mean counts for: one bad rerun among the first must not end all cuts.
const PRIOR_RERUNS: f64 = 10.0;
/// ms over which a class's pace, its rare reruns and an engine's slowness are averaged: steady against quick.
const CLASS_HORIZON: Millis = 20_000.0;
const RERUN_HORIZON: Millis = 80_000.0;
const ENGINE_HORIZON: Millis = 1_500.0;
/// Threads in flight for each core of an engine: about where cores and disks are all busy.
const THREADS_PER_CORE: f64 = 1.3;
/// Further room for each step of priority: urgent queries are short, and run first anyway.
const URGENT_ROOM: f64 = 0.35;
/// Rank over the usual rank from which each step of priority holds.
const PRIORITY_STEPS: [f64; 3] = [0.05, 0.25, 1.0];
/// Share of an engine's memory that is granted at most: where queries wait in line for it, and where they
/// run with what is left, spill, and do their work several times over.
const MEMORY_FILL: f64 = 0.95;
const TRIMMED_FILL: f64 = 0.75;
/// Granted over needed memory on average: needs scatter and a spill costs more than spare memory.
const GRANT_MARGIN: f64 = 1.2;
/// Random part of a placement score, against herding of dispatchers that see the same reports.
const SCATTER: f64 = 0.15;
/// Weight of the price of crossing zones in a placement score.
const CROSSING: f64 = 4.0;
/// Dispatchers above which a placement compares not all engines but so many heard of last and at random, and
/// the engines drawn from: over the whole fleet handshakes are paid for and connections scarce.
const WIDE: usize = 4;
const HEARD: usize = 3;
const AT_RANDOM: usize = 2;
const SUBSET: usize = 8;
/// ms after which a report of an engine's load tells little: about the run of a heavy query.
const REPORT_TRUST: Millis = 2_000.0;
/// Share of what is known of the usual query that each end replaces: some 50 ends tell the mix.
const MIX_STEP: f64 = 0.02;
/// The same for the memory that a class needs: some 20 ends.
const MEMORY_STEP: f64 = 0.05;
/// Strikes at which an engine is left alone: a full answer, two failed connects, three resets or errors that
/// lie so many ms apart: requests that nobody can answer and those on one connection fail at one moment.
const STRIKES_OUT: u32 = 3;
const STRIKE_EVERY: Millis = 100.0;
/// Blame from which an engine is left alone, if it is twice the fleet's: what fails fast draws ever more.
const BLAME_OUT: f64 = 0.15;
/// Errors from different engines after which a request is given up.
const ERRORS_OUT: usize = 2;
/// ms that an engine is left alone at first, doubled with each further one up to the most.
const BAR_FIRST: Millis = 250.0;
const BAR_MOST: Millis = 4_000.0;
/// ms over which a tenant's requests are held against its share, and standard deviations left to chance.
const TENANT_HORIZON: Millis = 5_000.0;
const TENANT_DOUBT: f64 = 2.0;
/// Open requests up to which each event is followed by a look at all that waits.
const FEW: usize = 300;
/// Share of the requests that may be open from which on only the most urgent are sent.
const SLOW_OPEN: f64 = 0.85;
/// ms of work taken for a request without an estimate until an answer of its class tells of it.
const UNKNOWN_WORK: Millis = 1_000.0;
/// Answers, less what is forgotten, from which a class is known. What is not must not count as hopeless: it
/// would be refused for good, as nothing would be learned.
const KNOWN: f64 = 0.5;

/// What is due for a request.
enum Due {
    Answer,
    Cut(usize),
}

#[derive(Default)]
struct Engine {
    entry: EngineEntry,
    cold_since: Option<Millis>,
    /// What may be sent while it is cold.
    allowance: SlowStartBudget,
    /// Mean log of run times over what their classes usually take.
    slowness: Mean,
    /// Queries held for other dispatchers, as reported.
    others: Mean,
    /// The share of its answers that were errors to requests which another engine then served.
    blame: Mean,
    /// Failures since the last answer, by weight.
    strikes: u32,
    struck_at: Millis,
    barred_until: Millis,
    held: InFlightLoad,
}

/// The decisions of one dispatcher.
pub struct Dispatcher {
    settings: Settings,
    random: oorandom::Rand64,
    now: Millis,
    classes: Vec<Class>,
    engines: BTreeMap<EngineId, Engine>,
    requests: BTreeMap<RequestId, Request>,
    lines: BTreeMap<OrderKey, OrderedQueue>,
    /// Requests of late of each tenant, as the weight of a forgetting mean.
    tenants: Vec<Mean>,
    accepted: VecDeque<Millis>,
    further: VecDeque<Millis>,
    density: Mean,
    /// What queries in flight take up, weighted by their time there.
    usual: InFlightLoad,
    /// The engines that reported last, this dispatcher's subset, and those of it that are drawn from for now.
    heard: VecDeque<EngineId>,
    subset: Subset,
    own: (Vec<EngineId>, Millis),
    /// Its place by a roster, and until when.
    seated: (FleetPosition, Millis),
    /// Other dispatchers' queries for each core, and the blame of an engine, on the fleet's average.
    crowd: Level,
    blame: f64,
    /// When the earliest timer is due.
    wakes_at: Millis,
    /// Answers without service since the last log line.
    unserved: u32,
    /// Events were taken since what waits was last looked at.
    unsettled: bool,
    reviewed_at: Millis,
}

impl Dispatcher {
    /// A dispatcher that knows nothing but its settings; `seed` feeds its own random numbers.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Dispatcher {
            random: oorandom::Rand64::new(seed.into()),
            now: 0.0,
            classes: settings.classes.iter().map(|_| Class::default()).collect(),
            engines: BTreeMap::new(),
            requests: BTreeMap::new(),
            lines: BTreeMap::new(),
            tenants: vec![Mean::default(); settings.tenants.len()],
            accepted: VecDeque::new(),
            further: VecDeque::new(),
            density: Mean::default(),
            usual: InFlightLoad::default(),
            heard: VecDeque::new(),
            subset: Subset::default(),
            own: (Vec::new(), 0.0),
            seated: (settings.place, 0.0),
            crowd: Level::default(),
            blame: 0.0,
            wakes_at: f64::INFINITY,
            unserved: 0,
            unsettled: false,
            reviewed_at: 0.0,
            settings,
        })
    }

    /// Takes one event and adds what is to be done to `out`. While much is open, what waits is not looked at
    /// for each event, which took more than a core: [`Dispatcher::run_pending`] must follow soon.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.subset.position != Some(self.stands()) {
            self.draw_subset();
        }
        match event {
            Event::EngineList(entries) => self.engines_listed(entries, true),
            Event::EngineChanges(entries) => self.engines_listed(entries, false),
            Event::Request(new) => self.on_request(new),
            Event::AttemptEnded(end) => self.on_attempt_ended(end, out),
            // The stream is the client's from here on.
            Event::Streaming(id, _) => {
                self.requests.entry(id).and_modify(|request| request.finished = true);
            }
            Event::Progress(id, attempt, note) => {
                self.on_progress(&id, attempt, note);
                self.look_at(&id, out);
            }
            Event::ClientGone(id) => self.finish(&id, out),
            Event::ClosingBy(at) => {
                self.requests.values_mut().for_each(|it| it.new.deadline = it.new.deadline.min(at))
            }
            Event::SettingsUpdated(settings) => self.update_settings(*settings),
            Event::PositionAssigned(place, until) => self.seated = (place, until),
            Event::ProbeResult(engine, _, load) => self.reported(engine, load),
            Event::Timer(_) => self.tick(out),
        }
        self.unsettled = self.requests.len() > FEW;
        if !self.unsettled {
            self.serve(out);
        }
    }

    /// Places what waits, if events since the last call left that open.
    pub fn run_pending(&mut self, now: Millis, out: &mut Vec<Action>) {
        if std::mem::take(&mut self.unsettled) {
            self.now = self.now.max(now);
            self.serve(out);
        }
    }

    fn serve(&mut self, out: &mut Vec<Action>) {
        self.serve_waiting(out);
        let next = self.next_look();
        if next < self.wakes_at {
            self.wakes_at = next;
            out.push(Action::SetTimer { timer: TimerId(0), delay: next - self.now });
        }
    }

    // The mechanism: tau, the cut, the relaunch.

    /// Sets the class's tau to the value that minimises a query's load: the area under first runs' survival
    /// up to tau plus the mean rerun times survival at tau (the paper's Theorem 4), or to none where never
    /// cutting is as good (Theorem 2). Attempts that did not end well, or still run, are right-censored.
    fn choose_tau(&mut self, class: usize, out: &mut Vec<Action>) {
        let mut ends = [0u32; BINS];
        let mut seen = [0u32; BINS];
        // Until a class has enough outcomes of its own, those of all classes stand in for it.
        let own = self.classes[class].runs.iter().filter(|(_, ended)| *ended).count() >= MIN_OUTCOMES;
        let pooled = |other: usize| other == class || !own;
        let classes = self.classes.iter().enumerate().filter(|(other, _)| pooled(*other));
        for &(bin, ended) in classes.flat_map(|(_, other)| &other.runs) {
            seen[bin] += 1;
            ends[bin] += u32::from(ended);
        }
        for request in self.requests.values().filter(|request| pooled(request.new.class.0)) {
            for (_, attempt) in
                request.live().filter(|(at, attempt)| !attempt.cut && !request.cut_before(*at))
            {
                // A note tells the end of a run while it lasts: stragglers show long before they end.
                let left = attempt.left().unwrap_or(0.0);
                let bin = bin_of(self.run_ratio(request, attempt, left));
                seen[bin] += 1;
                ends[bin] += u32::from(left > 0.0);
            }
        }
        let (curve, mean) = product_limit(&ends, &seen);
        let this = &mut self.classes[class];
        let (reruns, known) = (this.reruns.value, this.reruns.weight);
        this.rerun = (mean * PRIOR_RERUNS + reruns * known) / (PRIOR_RERUNS + known);
        let loads = curve.iter().map(|&(tau, area, survival)| (area + this.rerun * survival, tau));
        let best = loads.min_by(|a, b| a.0.total_cmp(&b.0));
        // Once all stragglers are cut little of the tail is seen: cutting stops only when it gains nothing.
        let wanted = if this.timeout.is_some() { 1.0 } else { MIN_GAIN };
        let tau = best.filter(|(load, _)| *load < mean * wanted).map(|(_, tau)| tau);
        let tau =
            tau.filter(|_| ends.iter().sum::<u32>() as usize >= MIN_OUTCOMES && self.settings.cancellation);
        if tau.is_some() != this.timeout.is_some() {
            let told =
                tau.map_or("nothing is cut".into(), |tau| format!("cuts past {tau:.2} times the estimate"));
            out.push(Action::Log(format!("class {class}: {told}")));
        }
        this.timeout = tau;
    }

    /// How long an attempt has run, and runs on, over its estimate and its engine's slowness: crowding and
    /// troubles that slow every query of an engine, or of all, are no mark of a straggler.
    fn run_ratio(&self, request: &Request, attempt: &Attempt, left: Millis) -> f64 {
        (self.now + left - attempt.sent) / (self.nominal(&request.new) * self.slowness(attempt.engine))
    }

    /// The attempt to cut, if the request's run has passed tau and a relaunch may and should follow.
    fn cut_due(&self, request: &Request) -> Option<usize> {
        let class = &self.classes[request.new.class.0];
        let tau = class.timeout?;
        let (index, attempt) = request.live().next()?;
        if request.finished || request.never_cut || attempt.cut || request.cut_before(index) {
            return None;
        }
        let ratio = self.run_ratio(request, attempt, 0.0);
        let rerun = class.rerun * self.nominal(&request.new) * self.slowness(attempt.engine).max(1.0);
        // A class bound to places or groups may have no other engine to go to.
        let other = |engine: &Engine| engine.entry.engine != attempt.engine && self.healthy(engine);
        let elsewhere = self.engines.values().any(|engine| other(engine) && self.permitted(request, engine));
        if !elsewhere || request.new.deadline - self.now < rerun || !self.further_attempt(request, true) {
            return None;
        }
        // A note weighs the time left against a rerun, as Theorem 2 does for the class: what ends sooner goes
        // on, what clearly ends later need not wait for tau. A wrong note costs one rerun.
        let due = match attempt.left() {
            Some(left) if ratio >= tau => left > rerun,
            Some(left) => ratio >= tau * EARLY_TAU && left > EARLY_LEFT * rerun,
            None => ratio >= tau,
        };
        due.then_some(index)
    }

    /// Whether a note tells that what runs cannot by far end before the client leaves: a rerun with
    /// a bad plan of its own, or one too late to cut. It would only slow others. Repeatable classes alone.
    fn hopeless_run(&self, request: &Request) -> bool {
        let safe = self.settings.classes[request.new.class.0].effect == Effect::Safe;
        let left = request.live().next().and_then(|(_, attempt)| attempt.left());
        safe && left.is_some_and(|left| self.now + left / HOPELESS > request.new.deadline)
    }

    /// Looks at all that runs: cuts, and answers what is overdue.
    fn tick(&mut self, out: &mut Vec<Action>) {
        if self.now + 1e-3 < self.wakes_at {
            return;
        }
        self.wakes_at = f64::INFINITY;
        if self.now - self.reviewed_at >= REVIEW_EVERY {
            self.reviewed_at = self.now;
            for class in 0..self.classes.len() {
                self.choose_tau(class, out);
            }
            if self.unserved > 0 {
                out.push(Action::Log(format!("not served: {}", std::mem::take(&mut self.unserved))));
            }
        }
        self.lines.retain(|_, line| !line.queue.is_empty() || line.rests_until > self.now);
        let due = self.requests.iter().filter(|(_, request)| self.due(request).is_some());
        let due: Vec<RequestId> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.look_at(&id, out);
        }
    }

    /// What is due for the request.
    fn due(&self, request: &Request) -> Option<Due> {
        if request.finished {
            return None;
        }
        let past = self.now >= self.repeat_until(request, request.attempts.len());
        let lost = request.live().next().is_none() && (self.too_late(request) || past);
        if self.now >= self.answer_by(request) || lost || self.hopeless_run(request) {
            return Some(Due::Answer);
        }
        self.cut_due(request).map(Due::Cut)
    }

    /// Cuts the request's run, or answers it, if that is due.
    fn look_at(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        match self.requests.get(id).and_then(|request| self.due(request)) {
            Some(Due::Answer) => self.answer(id, out),
            Some(Due::Cut(index)) => {
                out.push(Action::Cancel { id: id.clone(), attempt: AttemptNo(index) });
                self.requests.entry(id.clone()).and_modify(|request| request.attempts[index].cut = true);
            }
            None => {}
        }
    }

    /// The time-out at the deadline answers for what runs; this guards against its coming late.
    fn answer_by(&self, request: &Request) -> Millis {
        request.new.deadline - if request.live().next().is_some() { 0.0 } else { 2.0 * TICK }
    }

    /// When the next timer is due: to cut, to answer, to place what waits, or to learn tau anew.
    fn next_look(&self) -> Millis {
        let mut next = f64::INFINITY;
        let slow: BTreeMap<EngineId, f64> = self.engines.keys().map(|id| (*id, self.slowness(*id))).collect();
        for request in self.requests.values().filter(|request| !request.finished) {
            let tau = self.classes[request.new.class.0].timeout.unwrap_or(f64::INFINITY);
            let at = request.live().find(|(_, attempt)| !attempt.cut).map_or(self.now + RETRY, |(_, run)| {
                run.sent + tau * self.nominal(&request.new) * slow.get(&run.engine).unwrap_or(&1.0) + 0.5
            });
            let at = if at > self.now { at } else { f64::INFINITY };
            next = next.min(at).min(self.answer_by(request)).min(self.now + REVIEW_EVERY);
        }
        next.max(self.now + 1.0)
    }

    /// Whether one more attempt may be made at all, by effect, copies, limit and budget. With `after_cancel`
    /// the attempt that is out is thought of as cancelled.
    fn further_attempt(&self, request: &Request, after_cancel: bool) -> bool {
        let tried = request.attempts.len();
        if tried == 0 {
            return true;
        }
        let copies = self.settings.concurrent_attempts && request.live().all(|(_, attempt)| attempt.cut);
        let alone = request.live().next().is_none() || after_cancel || copies;
        let repeatable = self.now < self.repeat_until(request, tried);
        // What fails on several engines fails by itself: more tries would only take the ration.
        let failed = request.attempts.iter().filter(|at| at.ended == Some(Outcome::Failed)).count();
        failed < ERRORS_OUT && tried < request.most && alone && repeatable && self.budget_left()
    }

    /// Until when one more attempt may follow the request's first `count`, by its effect.
    fn repeat_until(&self, request: &Request, count: usize) -> Millis {
        request.repeat_until(self.settings.classes[request.new.class.0].effect, count) - TICK
    }

    /// Until when the request's newest attempt may leave.
    pub fn sendable_until(&self, id: &RequestId) -> Millis {
        let of = |request: &Request| self.repeat_until(request, request.attempts.len().saturating_sub(1));
        self.requests.get(id).map_or(f64::INFINITY, of)
    }

    /// Whether the budget has room for one further attempt in the window that ends now.
    fn budget_left(&self) -> bool {
        let Some(budget) = self.settings.retry_budget else { return true };
        // The window of attempts is taken a little longer than that of requests, to be safe at its edges.
        let made = since(&self.further, self.now - budget.window - TICK);
        let taken = since(&self.accepted, self.now - budget.window + TICK);
        (made + 1) as f64 <= budget.min_retries + budget.ratio * taken as f64
    }

    // Requests: arrival, outcomes, answers.

    fn on_request(&mut self, new: NewRequest) {
        if self.requests.contains_key(&new.id) || new.class.0 >= self.classes.len() {
            return;
        }
        let span = self.settings.retry_budget.map_or(0.0, |budget| budget.window + 2.0 * TICK);
        self.accepted.push_back(self.now);
        for times in [&mut self.accepted, &mut self.further] {
            while times.front().is_some_and(|at| self.now - at > span) {
                times.pop_front();
            }
        }
        if let Some(key) = self.key_of(&new) {
            self.lines.entry(key).or_default().queue.push_back(new.id.clone());
        }
        let work = self.nominal(&new) * self.settings.classes[new.class.0].threads;
        self.classes[new.class.0].work.add(work, self.now, CLASS_HORIZON);
        let in_quota = self.within_share(new.tenant);
        let never_cut = self.random.rand_float() < UNCUT_SHARE;
        let (arrived, most, attempts) = (self.now, self.settings.max_attempts.max(1), Vec::new());
        let request = Request { arrived, in_quota, never_cut, finished: false, most, attempts, new };
        let density = self.rank(&request);
        self.density.add(density.max(1e-9).ln(), self.now, CLASS_HORIZON);
        self.requests.insert(request.new.id.clone(), request);
    }

    /// Takes new settings: what is known of a class goes with its rules.
    fn update_settings(&mut self, settings: Settings) {
        let (old, new) = (&self.settings.classes, &settings.classes);
        for (_, class) in self.classes.iter_mut().enumerate().filter(|(at, _)| old.get(*at) != new.get(*at)) {
            *class = Class::default();
        }
        self.classes.resize_with(new.len(), Class::default);
        self.tenants.resize(settings.tenants.len(), Mean::default());
        self.settings = settings;
        self.draw_subset();
    }

    /// Books a request of the tenant; the part of its traffic within its share, as far as this dispatcher's
    /// part of both tells more than chance. Guards others against a tenant that floods all dispatchers.
    fn within_share(&mut self, tenant: TenantId) -> f64 {
        let told = self.settings.tenants.get(tenant.0).filter(|told| told.quota_per_s > 0.0);
        let (Some(told), Some(seen)) = (told, self.tenants.get_mut(tenant.0)) else { return 1.0 };
        seen.add(1.0, self.now, TENANT_HORIZON);
        let due = told.quota_per_s / 1000.0 * TENANT_HORIZON / self.settings.dispatchers as f64;
        ((due + TENANT_DOUBT * due.sqrt() + 1.0) / seen.weight).min(1.0)
    }

    fn key_of(&self, new: &NewRequest) -> Option<OrderKey> {
        new.key.clone().filter(|_| self.settings.classes[new.class.0].ordered)
    }

    fn on_attempt_ended(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        self.reported(end.engine, end.load);
        let Some(request) = self.requests.get_mut(&end.id) else { return };
        let Some(attempt) = request.attempts.get_mut(end.attempt.0) else { return };
        if attempt.ended.is_some() {
            return;
        }
        attempt.ended = Some(end.outcome);
        if matches!(end.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            if let Some(line) = request.new.key.as_ref().and_then(|key| self.lines.get_mut(key)) {
                line.rests_until = self.now + self.settings.order_pause + 1.0;
            }
        }
        self.learn(&end, out);
        if end.finished || end.outcome == Outcome::Served {
            return self.finish(&end.id, out);
        }
        let Some(request) = self.requests.get(&end.id) else { return };
        if request.finished {
            self.forget_if_over(&end.id);
        } else if request.live().next().is_none() {
            let overdue = end.outcome == Outcome::TimedOut || self.now >= request.new.deadline;
            if overdue || !self.further_attempt(request, false) {
                self.answer(&end.id, out);
            }
        }
    }

    /// Learns run times, sizes and health from an outcome.
    fn learn(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&end.id) else { return };
        let attempt = &request.attempts[end.attempt.0];
        let class_id = request.new.class.0;
        let nominal = self.nominal(&request.new);
        let ratio = end.elapsed / (nominal * self.slowness(attempt.engine));
        let (rerun, now) = (request.cut_before(end.attempt.0), self.now);
        let (need, needs) = (request.new.memory_mb, self.needs(&request.new));
        let class = &mut self.classes[class_id];
        if !end.outcome.never_ran() {
            self.usual.add(self.usual, -MIX_STEP);
            self.usual.add(needs, MIX_STEP * end.elapsed.max(1.0));
            // A rerun that did not end well took at least this long: left out, cuts would look too good.
            if rerun {
                class.reruns.add(ratio, now, RERUN_HORIZON);
            } else {
                remember(&mut class.runs, (bin_of(ratio), end.outcome == Outcome::Served), WINDOW);
            }
        }
        let failed = |at: &&Attempt| end.outcome == Outcome::Served && at.ended == Some(Outcome::Failed);
        for erred in request.attempts.iter().filter(failed) {
            self.engines.entry(erred.engine).and_modify(|it| it.blame.add(1.0, now, ENGINE_HORIZON));
        }
        let Some(engine) = self.engines.get_mut(&end.engine) else { return };
        match end.outcome {
            Outcome::Served => {
                engine.blame.add(0.0, now, ENGINE_HORIZON);
                engine.strikes = 0;
                engine.barred_until = now;
                let mut true_nominal = nominal;
                if let Some(cost) = end.cost.filter(|cost| cost.work > 0.0) {
                    true_nominal = cost.work / self.settings.classes[class_id].threads;
                    class.bias.add((true_nominal / nominal).ln(), now, CLASS_HORIZON);
                    if need > 0.0 && cost.memory_mb > 0.0 {
                        class.memory.step((cost.memory_mb / need).ln(), MEMORY_STEP);
                    }
                } else {
                    class.memory.set((class.memory.log - 0.001).max(-0.2));
                }
                let stretch = (end.elapsed.max(0.1) / true_nominal).ln();
                if class.stretch.mean.weight > 0.0 {
                    engine.slowness.add(stretch - class.stretch.mean.value, now, ENGINE_HORIZON);
                }
                class.stretch.add(stretch, now, CLASS_HORIZON);
                let work = true_nominal * self.settings.classes[class_id].threads;
                class.learned.add((work / UNKNOWN_WORK).ln(), now, CLASS_HORIZON);
            }
            // A connection that breaks now and then is the network's doing; failures in a row, with no answer
            // between, are the engine's. This guards against dead, failing and full engines.
            Outcome::ConnectFailed | Outcome::Reset | Outcome::Rejected | Outcome::Failed => {
                let strikes = match end.outcome {
                    Outcome::Rejected => STRIKES_OUT,
                    Outcome::ConnectFailed => 2,
                    _ => u32::from(now - engine.struck_at >= STRIKE_EVERY),
                };
                engine.strikes += strikes;
                engine.struck_at = if strikes > 0 { now } else { engine.struck_at };
                if strikes > 0 && engine.strikes >= STRIKES_OUT {
                    out.push(Action::Log(format!("engine {}: left alone, {:?}", end.engine.0, end.outcome)));
                    let doubled = f64::from((engine.strikes / STRIKES_OUT).min(8) - 1).exp2();
                    let wait = (BAR_FIRST * doubled).min(BAR_MOST)
                        * stagger_factor(self.subset.rotation_slot(end.engine.0));
                    engine.barred_until = now + wait;
                    if end.outcome == Outcome::ConnectFailed {
                        // A process that comes back after this is cold, whenever the list says so.
                        (engine.cold_since, engine.allowance) =
                            (Some(now + wait), SlowStartBudget::default());
                    }
                }
            }
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn on_progress(&mut self, id: &RequestId, attempt: AttemptNo, note: ProgressReport) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let class = &mut self.classes[request.new.class.0];
        let Some(attempt) = request.attempts.get_mut(attempt.0) else { return };
        match note {
            ProgressReport::Done(share) => attempt.done = Some((share.clamp(0.0, 1.0), self.now)),
            ProgressReport::Spills(_) => class.memory.set((class.memory.log + 0.03).min(1.0)),
            ProgressReport::WaitsForMemory | ProgressReport::WaitsForLoad => {}
        }
    }

    /// Ends a request that is not finished with a refusal where that may be promised, else with a failure.
    fn answer(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let harmless = match self.settings.classes[request.new.class.0].effect {
            Effect::Safe | Effect::Keyed(DedupGroup::All, _) => true,
            Effect::Keyed(..) | Effect::Unsafe => !request.may_have_run(),
        };
        let reason = match request.attempts.is_empty() {
            false => RejectReason::AttemptsFailed,
            true if self.now >= self.answer_by(request) => RejectReason::QueueTimeout,
            true if self.too_late(request) => RejectReason::TooLong,
            true => RejectReason::Overloaded,
        };
        self.unserved += 1;
        let (id_out, retry_after) = (id.clone(), self.settings.max_retry_after);
        out.push(match harmless {
            true => Action::Reject { id: id_out, retry_after, reason },
            false => Action::Fail { id: id_out },
        });
        self.finish(id, out);
    }

    /// Marks a request as finished and calls off what is still out for it.
    fn finish(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.finished = true;
        if self.settings.cancellation {
            for (index, _) in request.live().filter(|(_, attempt)| !attempt.cut) {
                out.push(Action::Cancel { id: id.clone(), attempt: AttemptNo(index) });
            }
        }
        self.forget_if_over(id);
    }

    /// Drops a finished request once all its attempts have ended; only then does its key move on.
    fn forget_if_over(&mut self, id: &RequestId) {
        let over = |request: &&Request| request.finished && request.live().count() == 0;
        let Some(request) = self.requests.get(id).filter(over) else { return };
        if let Some(line) = self.key_of(&request.new).and_then(|key| self.lines.get_mut(&key)) {
            line.queue.retain(|other| other != id);
        }
        self.requests.remove(id);
    }

    // Admission: who goes next.

    /// The time that the request's work would take alone, by its estimate, or else by its class's answers.
    fn nominal(&self, new: &NewRequest) -> Millis {
        let class = &self.classes[new.class.0];
        let usual = UNKNOWN_WORK * class.learned.factor / class.bias.factor;
        let work = if new.estimate > 0.0 { new.estimate } else { usual };
        work / self.settings.classes[new.class.0].threads
    }

    /// The same with the class's estimates corrected.
    fn alone(&self, new: &NewRequest) -> Millis {
        self.nominal(new) * self.classes[new.class.0].bias.factor
    }

    /// The time that a run of it takes, on the fleet's average; 0 while no answer of late tells it.
    fn expected_run(&self, new: &NewRequest) -> Millis {
        let stretch = &self.classes[new.class.0].stretch;
        let known = stretch.mean.weight_at(self.now, CLASS_HORIZON) >= KNOWN;
        if known { self.alone(new) * stretch.factor } else { 0.0 }
    }

    /// Worth still to be had for each unit of work.
    fn rank(&self, request: &Request) -> f64 {
        let told = &self.settings.classes[request.new.class.0];
        let alone = self.alone(&request.new);
        let aim =
            (request.arrived + told.target_latency + told.target_stretch * alone).min(request.new.deadline);
        let late = if self.now + self.expected_run(&request.new) > aim { told.late_fraction } else { 1.0 };
        // The head of a key's line works for all behind it.
        let line = self.key_of(&request.new).and_then(|key| self.lines.get(&key));
        let behind = line.map_or(1.0, |line| line.queue.len().max(1) as f64);
        let tenant = request.in_quota + (1.0 - request.in_quota) * self.settings.over_quota_weight;
        told.priority_weight * late * tenant * behind / (alone * told.threads)
    }

    /// Priority by rank against the usual rank.
    fn priority(&self, rank: f64) -> u8 {
        let against = rank / self.density.value.exp();
        PRIORITY_STEPS.iter().filter(|step| against >= **step).count() as u8
    }

    /// Whether the request can earn nothing any more, as half its usual run no longer fits.
    fn too_late(&self, request: &Request) -> bool {
        self.rank(request) <= 0.0
            || self.now + self.expected_run(&request.new) / HOPELESS > request.new.deadline
    }

    /// Sends what waits, best first, as long as engines have room.
    fn serve_waiting(&mut self, out: &mut Vec<Action>) {
        let waits = |request: &Request| {
            let idle = request.live().all(|(_, attempt)| attempt.cut) && !self.too_late(request);
            idle && !request.finished && self.further_attempt(request, false) && self.has_turn(request)
        };
        let waiting = self.requests.iter().filter(|(_, request)| waits(request));
        let mut waiting: Vec<_> = waiting
            .map(|(id, request)| (self.rank(request), id.clone(), request.new.class.0, request.new.memory_mb))
            .collect();
        if waiting.is_empty() {
            return;
        }
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        self.book_held();
        // The least memory of the fresh requests of a class for which no engine had room so far. Engines
        // only fill up and ranks only fall in it: one that needs as much need not be tried.
        let mut no_room = vec![f64::INFINITY; self.classes.len()];
        // Where engines are compared by lot, the next request may meet others.
        let alike = self.requests.len() > FEW && self.settings.dispatchers <= WIDE;
        let mut left = Vec::new();
        // Slow queries must not hold all that may be open: the quick ones behind them are worth more for it.
        let running = |request: &&Request| !request.finished && request.live().next().is_some();
        let mut running = self.requests.values().filter(running).count() as f64;
        for (rank, id, class, memory) in waiting {
            let priority = self.priority(rank);
            let Some(request) = self.requests.get(&id) else { continue };
            let fresh = request.attempts.is_empty();
            let quick = usize::from(priority) == PRIORITY_STEPS.len();
            let opens = quick || running < self.settings.max_open as f64 * SLOW_OPEN;
            let may = opens && memory < no_room[class] && self.further_attempt(request, false);
            if let Some(engine) = may.then(|| self.place(&id, priority)).flatten() {
                self.send(&id, engine, priority, out);
                running += 1.0;
                continue;
            }
            if may && fresh && alike {
                no_room[class] = memory;
            }
            left.push(id);
        }
        // Guards against a full house: the clients of whatever comes next could not even connect.
        let open = self.requests.values().filter(|request| !request.finished).count();
        for id in left.iter().rev().take(open.saturating_sub(self.settings.max_open)) {
            self.answer(id, out);
        }
    }

    /// Whether the request's key lets it run now.
    fn has_turn(&self, request: &Request) -> bool {
        let Some(line) = self.key_of(&request.new).and_then(|key| self.lines.get(&key)) else { return true };
        line.queue.front() == Some(&request.new.id) && (self.now >= line.rests_until)
    }

    /// Books on each engine what this dispatcher has out there, and what reports tell of the whole fleet.
    fn book_held(&mut self) {
        self.engines.values_mut().for_each(|engine| engine.held = InFlightLoad::default());
        if self.now >= self.own.1 {
            self.own = (self.own(|_| true), self.now + BAR_FIRST);
        }
        for request in self.requests.values() {
            let held = self.needs(&request.new);
            for (_, attempt) in request.live().filter(|(_, attempt)| !attempt.cut) {
                self.engines.entry(attempt.engine).and_modify(|engine| engine.held.add(held, 1.0));
            }
        }
        let blame = self.engines.values().map(|it| it.blame.shrunk(self.now, ENGINE_HORIZON)).sum::<f64>();
        self.blame = blame / self.engines.len().max(1) as f64;
        let (mut held, mut cores, mut own) = (0.0, 0.0, Vec::new());
        for engine in self.engines.values().filter(|engine| self.healthy(engine)) {
            let (size, news) = (self.machine(engine).cores, self.news(engine));
            // As if one engine had just been seen idle: without news, sends are tried again and bring some.
            cores += size * news + if cores == 0.0 { size } else { 0.0 };
            held += engine.others.value.max(0.0) * news;
            if self.heard.is_empty() {
                own.push((engine.held.queries, size));
            }
        }
        // Where no engine tells of its load, other dispatchers are taken to do as this one does.
        match self.heard.is_empty() {
            true => {
                let all = held_by_all(&mut own, self.settings.dispatchers);
                self.crowd.follow(all, self.now, ENGINE_HORIZON);
            }
            false => self.crowd.value = if cores > 0.0 { held / cores } else { 0.0 },
        }
    }

    /// What an engine's reports still tell, from 0 to 1.
    fn news(&self, engine: &Engine) -> f64 {
        engine.others.weight_at(self.now, REPORT_TRUST).min(1.0)
    }

    /// Queries of other dispatchers on an engine: its reports, drawn to the fleet's mean as they grow old.
    fn others(&self, engine: &Engine) -> f64 {
        let mean = self.crowd.value * self.machine(engine).cores * self.warmth(engine);
        match self.heard.is_empty() {
            true => unseen(engine.held.queries, mean, self.settings.dispatchers),
            false => (mean + (engine.others.value - mean) * self.news(engine)).max(0.0),
        }
    }

    /// What one run of the request takes up; memory with its margin.
    fn needs(&self, new: &NewRequest) -> InFlightLoad {
        let threads = self.settings.classes[new.class.0].threads;
        let memory = new.memory_mb * self.classes[new.class.0].memory.factor * GRANT_MARGIN;
        InFlightLoad { queries: 1.0, threads, memory }
    }

    // Placement.

    /// The engine with the least load for its speed among the candidates, if any has room.
    fn place(&mut self, id: &RequestId, priority: u8) -> Option<EngineId> {
        let candidates = self.candidates(id);
        let request = self.requests.get(id)?;
        let needs = self.needs(&request.new);
        let room = THREADS_PER_CORE * (1.0 + URGENT_ROOM * f64::from(priority));
        // Of loads on the same tables an engine runs one at a time: the others would stand still there.
        let holds = |new: &NewRequest| self.settings.classes[new.class.0].locks_tables;
        let same = |other: &&Request| holds(&other.new) && other.new.tables == request.new.tables;
        let loads = holds(&request.new).then(|| self.requests.values().filter(same)).into_iter().flatten();
        let taken: Vec<EngineId> = loads.flat_map(Request::live).map(|(_, at)| at.engine).collect();
        // Other dispatchers' queries are taken to be like one's own.
        let alike = if self.usual.queries > 0.0 { self.usual } else { needs };
        let mut fit = Vec::new();
        for (engine_id, scatter) in candidates {
            let Some(engine) = self.engines.get(&engine_id) else { continue };
            let here = engine.held;
            // After a failure one query at a time tries whether the engine is well again.
            let trial = engine.strikes < STRIKES_OUT || here.queries == 0.0;
            let tried = request.attempts.iter().any(|attempt| attempt.engine == engine_id);
            let open = trial && !tried && self.healthy(engine) && !taken.contains(&engine_id);
            if !open || !self.permitted(request, engine) {
                continue;
            }
            let machine = self.machine(engine);
            let others = self.others(engine);
            let threads = here.threads + others * alike.threads / alike.queries + needs.threads;
            let memory = here.memory + others * alike.memory / alike.queries + needs.memory;
            let load = threads / (machine.cores * self.warmth(engine)) * self.slowness(engine_id);
            // The most urgent are small, and go first where a line for memory forms.
            let passes = usize::from(priority) == PRIORITY_STEPS.len() && self.settings.memory_queueing;
            let fill = if self.settings.memory_queueing { MEMORY_FILL } else { TRIMMED_FILL };
            let filled = machine.memory_mb > 0.0 && memory > machine.memory_mb * fill;
            let crowded = load > room || (filled && !passes);
            if crowded && (here.queries >= 1.0 || others >= 0.5) {
                continue;
            }
            let crosses = engine.entry.zone != self.settings.zone;
            let price = if crosses { CROSSING * self.settings.cross_zone_price } else { 0.0 };
            let weight = self.settings.weight(&request.new, engine_id);
            fit.push((load * (1.0 + price) * scatter / weight, engine_id));
        }
        fit.sort_by(|a, b| a.0.total_cmp(&b.0));
        let class = request.new.class;
        fit.into_iter().map(|(_, engine)| engine).find(|engine| self.cold_room(*engine, class))
    }

    /// The engines compared for one placement, with the random part of their scores: all, where dispatchers
    /// are few; else some heard of last and some at random, as the least by old reports would draw all.
    fn candidates(&mut self, id: &RequestId) -> Vec<(EngineId, f64)> {
        let chosen: Vec<EngineId> = if self.wide() {
            let Some(request) = self.requests.get(id) else { return Vec::new() };
            let class = &self.settings.classes[request.new.class.0];
            let bound = class.zones.is_some() || class.machines.is_some() || !self.settings.routes.is_empty();
            let fit = (bound || !request.attempts.is_empty())
                .then(|| self.own(|engine| self.permitted(request, engine)));
            let own = fit.as_ref().unwrap_or(&self.own.0);
            let mut any = || own[self.random.rand_range(0..own.len() as u64) as usize];
            let drawn = if own.is_empty() { 0 } else { AT_RANDOM };
            let heard = self.heard.iter().copied().filter(|engine| own.contains(engine));
            (0..drawn).map(|_| any()).chain(heard).collect()
        } else {
            self.engines.keys().copied().collect()
        };
        chosen.into_iter().map(|engine| (engine, 1.0 + SCATTER * self.random.rand_float())).collect()
    }

    /// Whether dispatchers and engines are so many that each draws from a subset.
    fn wide(&self) -> bool {
        self.settings.dispatchers > WIDE && self.engines.len() > HEARD + AT_RANDOM
    }

    /// The engines that are drawn from: the subset as far as it fits, and others for those left alone.
    fn own(&self, fit: impl Fn(&Engine) -> bool) -> Vec<EngineId> {
        let listed = self.subset.order.iter().filter_map(|id| self.engines.get(&EngineId(*id)));
        let fit = listed.filter(|engine| self.healthy(engine) && fit(engine));
        fit.map(|engine| engine.entry.engine).take(SUBSET).collect()
    }

    /// Where it stands at this time. What a roster told holds for a while only, and not behind a stop.
    fn stands(&self) -> FleetPosition {
        if self.now < self.seated.1 { self.seated.0 } else { self.settings.place }
    }

    /// Draws the subset anew, from the engines that take work by the list.
    fn draw_subset(&mut self) {
        let up = self.engines.values().filter(|engine| engine.entry.readiness == Readiness::Up);
        let members: Vec<Member> = up.map(|it| it.entry.member(self.machine(it).cores)).collect();
        let size = if self.wide() { SUBSET } else { usize::MAX };
        self.subset = Subset::draw(self.stands(), self.settings.dispatchers, &members, size);
        self.own.1 = self.now;
    }

    /// Whether class, route and effect allow this engine (placement rule, repeats of keyed requests).
    fn permitted(&self, request: &Request, engine: &Engine) -> bool {
        let told = &self.settings.classes[request.new.class.0];
        let entry = &engine.entry;
        let zone = told.zones.as_ref().is_none_or(|zones| zones.contains(&entry.zone));
        let machine = told.machines.as_ref().is_none_or(|machines| machines.contains(&entry.machine));
        let effect = request.attempts.iter().all(|attempt| {
            let there = self.engines.get(&attempt.engine).map(|engine| engine.entry);
            let same = match told.effect {
                Effect::Keyed(DedupGroup::Zone, _) => there.is_some_and(|there| there.zone == entry.zone),
                Effect::Keyed(DedupGroup::Cell, _) => there.is_some_and(|there| there.cell == entry.cell),
                Effect::Keyed(DedupGroup::All, _) | Effect::Safe | Effect::Unsafe => true,
            };
            same || attempt.ended.is_some_and(Outcome::never_ran)
        });
        zone && machine && effect && self.settings.weight(&request.new, entry.engine) > 0.0
    }

    fn send(&mut self, id: &RequestId, engine_id: EngineId, priority: u8, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let (needs, work) = (self.needs(&request.new), self.usual_work(request.new.class));
        let Some(request) = self.requests.get_mut(id) else { return };
        if !request.attempts.is_empty() {
            self.further.push_back(self.now);
        }
        let attempt = Attempt { engine: engine_id, sent: self.now, ended: None, cut: false, done: None };
        request.attempts.push(attempt);
        if let Some(engine) = self.engines.get_mut(&engine_id) {
            engine.held.add(needs, 1.0);
            engine.allowance.consume(work);
        }
        if self.settings.memory_grants || self.settings.priorities {
            let memory_mb = if self.settings.memory_grants { needs.memory } else { 0.0 };
            out.push(Action::SetTerms { id: id.clone(), memory_mb, priority });
        }
        out.push(Action::Send { id: id.clone(), engine: engine_id });
    }

    /// A kind of machine that the settings do not name is taken for the least.
    fn machine(&self, engine: &Engine) -> MachineSettings {
        let least = MachineSettings { cores: 1.0, memory_mb: 0.0 };
        self.settings.machines.get(engine.entry.machine.0).copied().unwrap_or(least)
    }

    // Health of engines.

    fn engines_listed(&mut self, entries: Vec<EngineEntry>, whole: bool) {
        if whole {
            for engine in self.engines.values_mut() {
                engine.entry.readiness = Readiness::Gone;
            }
        }
        for entry in entries {
            // An engine that turns up later has just started, whatever the list says of it.
            let fresh = (!whole).then_some(self.now);
            let new = |cold_since| Engine { entry, cold_since, ..Engine::default() };
            let engine = self.engines.entry(entry.engine).or_insert_with(|| new(entry.started_at.or(fresh)));
            if entry.started_at.is_some() && entry.started_at != engine.entry.started_at {
                *engine = new(entry.started_at);
            }
            engine.entry = entry;
        }
        self.engines.retain(|_, engine| engine.entry.readiness != Readiness::Gone);
        self.draw_subset();
    }

    fn reported(&mut self, engine: EngineId, load: Option<LoadReport>) {
        let Some(held) = load.and_then(|load| load.in_flight) else { return };
        let own =
            self.requests.values().flat_map(Request::live).filter(|(_, at)| at.engine == engine).count();
        // What waits for memory there takes up neither cores nor memory yet.
        let running = held - load.and_then(|load| load.queued).unwrap_or(0.0);
        let others = if self.settings.dispatchers > 1 { running - own as f64 } else { 0.0 };
        if let Some(known) = self.engines.get_mut(&engine) {
            known.others.add(others, self.now, REPORT_TRUST);
            self.heard.retain(|other| *other != engine);
            remember(&mut self.heard, engine, HEARD);
        }
    }

    fn healthy(&self, engine: &Engine) -> bool {
        let blamed = engine.blame.shrunk(self.now, ENGINE_HORIZON) > BLAME_OUT.max(2.0 * self.blame);
        engine.entry.readiness == Readiness::Up && self.now >= engine.barred_until && !blamed
    }

    /// How many engines that take work are left alone at this time.
    pub fn ejected_count(&mut self, now: Millis) -> usize {
        self.now = self.now.max(now);
        let up = self.engines.values().filter(|engine| engine.entry.readiness == Readiness::Up);
        up.filter(|engine| !self.healthy(engine)).count()
    }

    /// How much slower than usual an engine is.
    fn slowness(&self, engine: EngineId) -> f64 {
        let mean = self.engines.get(&engine).map_or(0.0, |at| at.slowness.shrunk(self.now, ENGINE_HORIZON));
        mean.exp().clamp(0.5, 10.0)
    }

    /// The share of its capacity that an engine has by now, at the least.
    fn warmth(&self, engine: &Engine) -> f64 {
        engine.cold_since.map_or(1.0, |since| self.settings.slow_start.capacity_share(self.now - since))
    }

    /// Whether a cold engine can take one more request of the class, by this dispatcher's rights there.
    fn cold_room(&mut self, engine_id: EngineId, class: ClassId) -> bool {
        let Some(engine) = self.engines.get(&engine_id) else { return false };
        let Some(since) = engine.cold_since else { return true };
        let budget = SlowStartLimit { cores: self.machine(engine).cores, settings: self.settings.slow_start };
        let works: Vec<f64> = (0..self.classes.len()).map(|it| self.usual_work(ClassId(it))).collect();
        let (work, stand, age) = (works[class.0], self.subset.rotation_slot(engine_id.0), self.now - since);
        let engine = self.engines.get_mut(&engine_id);
        engine.is_some_and(|it| it.allowance.available(&budget, stand, age, works.into_iter(), work))
    }

    /// The work of a usual request of the class; only estimates that run low are corrected.
    fn usual_work(&self, class: ClassId) -> Millis {
        let class = &self.classes[class.0];
        class.work.value * class.bias.factor.max(1.0)
    }
}
