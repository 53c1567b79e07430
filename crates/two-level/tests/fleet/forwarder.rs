//! The simulated forwarders and their clients.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_testbed::record::{self, Phase, Record};
use gaugestep_two_level::PlannerId;
use gaugestep_two_level::forwarder_leases::{AttachOutcome, LEASE_DURATION, RENEW_INTERVAL};
use gaugestep_two_level::order_guard::{
    Action, AttemptEnd, Effect, Engine, EngineId, Order, OrderGuard, PlannerEvent, RequestInfo, Response,
    RetryBudgetSettings,
};
use gaugestep_two_level::planner_directory::PlannerDirectory;

use crate::simulation::{
    AttemptKey, Details, Event, ForwarderMessage, Id, PLANNERS, PlannerMessage, Simulation, TRAFFIC_END_MS,
    engine_name, forwarder_name, planner_name, planner_number,
};

pub const RETRY_BUDGET: RetryBudgetSettings =
    RetryBudgetSettings { base: 5.0, ratio: 0.2, window: Duration::from_secs(5) };
/// Milliseconds between two ticks of a forwarder.
const TICK_MS: f64 = 10.0;
/// How long after a request to attach a planner without a response counts as failed.
const ATTACH_TIMEOUT: Duration = Duration::from_millis(100);
/// The most requests that are registered at once.
const REGISTER_LIMIT: usize = 32;
/// Milliseconds by which the guard's deadline precedes that of the client.
const DEADLINE_MARGIN_MS: u64 = 10;
/// Milliseconds between two checks whether a preferred planner is available again.
const RETURN_INTERVAL_MS: f64 = 2_000.0;
/// Milliseconds after which a cancel reaches the engine, which is after its attempt, as on one connection.
const CANCEL_DELAY_MS: f64 = 1.5;
/// A lease duration that is longer than a simulation.
const FOREVER: Duration = Duration::from_secs(1_000_000_000);
/// Attempts in flight above which a forwarder without a planner starts no more.
const MAX_STANDALONE_IN_FLIGHT: usize = 8;
/// The most attempts that a forwarder without a planner starts in one tick.
const MAX_STANDALONE_STARTS: usize = 4;

/// A request to attach to a planner that has no response yet.
#[derive(Clone, Copy)]
struct Attaching {
    planner: usize,
    epoch: u64,
    since: Timestamp,
}

pub struct Forwarder {
    pub incarnation: u64,
    guard: OrderGuard<Id, Details>,
    planners: PlannerDirectory,
    attaching: Option<Attaching>,
    /// The planner that granted this forwarder a lease.
    follows: Option<usize>,
    /// Whether the forwarder uses its own policy, as no planner is available.
    standalone: bool,
    last_renewal: Timestamp,
    /// The attempts whose end was not reported yet, and their engines.
    pub in_flight: BTreeMap<AttemptKey, EngineId>,
    /// The phase of each engine in the engine list.
    engine_phases: BTreeMap<EngineId, Phase>,
    details: BTreeMap<Id, Details>,
    /// The number of requests that arrived in this incarnation.
    request_count: u64,
}

/// A kind of request that clients send.
struct RequestKind {
    class: &'static str,
    effect: Effect,
    /// The mean work in milliseconds.
    work: f64,
    /// Milliseconds until the client's deadline.
    budget: u64,
}

impl Forwarder {
    pub fn new(number: usize, incarnation: u64) -> Self {
        Forwarder {
            incarnation,
            guard: OrderGuard::new(Some(RETRY_BUDGET)),
            planners: PlannerDirectory::new(&forwarder_name(number), (0..PLANNERS).map(planner_name)),
            attaching: None,
            follows: None,
            standalone: false,
            last_renewal: Timestamp::ORIGIN,
            in_flight: BTreeMap::new(),
            engine_phases: BTreeMap::new(),
            details: BTreeMap::new(),
            request_count: 0,
        }
    }

    /// Returns the open requests without an attempt in flight.
    fn waiting_requests(&self) -> Vec<Id> {
        let in_flight: BTreeSet<&Id> = self.in_flight.keys().map(|attempt| &attempt.id).collect();
        self.guard.open_requests().filter(|id| !in_flight.contains(id)).cloned().collect()
    }

    /// Stops attaching to a planner that does not respond, and stops following one whose lease has expired.
    fn drop_failed_planners(&mut self, now: Timestamp) {
        let timed_out = |attaching: &Attaching| now.duration_since(attaching.since) >= ATTACH_TIMEOUT;
        if let Some(attaching) = self.attaching.take_if(|attaching| timed_out(attaching)) {
            self.planners.on_failure(now, &planner_name(attaching.planner));
        }
        if let Some(planner) = self.follows.filter(|_| self.guard.is_lease_expired(now)) {
            self.follows = None;
            self.guard.abandon();
            self.planners.on_failure(now, &planner_name(planner));
        }
    }

    fn first_candidate(&self, now: Timestamp) -> Option<usize> {
        self.planners.candidates(now).first().map(planner_number)
    }
}

impl Simulation {
    fn request_kind(&mut self) -> RequestKind {
        match self.random.rand_range(0..10) {
            0 => RequestKind { class: "load", effect: Effect::Unsafe, work: 300.0, budget: 4_000 },
            1 | 2 => RequestKind { class: "report", effect: Effect::Safe, work: 500.0, budget: 4_000 },
            _ => RequestKind { class: "lookup", effect: Effect::Safe, work: 25.0, budget: 1_000 },
        }
    }

    pub fn on_request(&mut self, forwarder: usize) {
        if self.now >= TRAFFIC_END_MS {
            return;
        }
        let wait = self.between(10.0, 120.0);
        self.schedule(wait, Event::RequestArrives { forwarder });
        let RequestKind { class, effect, work, budget } = self.request_kind();
        let details = Details { class, work: self.between(0.3, 2.0) * work };
        let now = self.clock();
        let state = &mut self.forwarders[forwarder];
        state.request_count += 1;
        let id = format!("f{forwarder}-{}-{}", state.incarnation, state.request_count);
        state.details.insert(id.clone(), details);
        let deadline = now + Duration::from_millis(budget - DEADLINE_MARGIN_MS);
        let info = RequestInfo { effect, deadline, max_attempts: 4, details };
        assert!(state.guard.on_request(now, id.clone(), info));
        self.records.push(Record::Requested {
            at: self.now,
            via: forwarder_name(forwarder),
            id: id.clone(),
            class: class.into(),
            budget: budget as f64,
        });
        if self.one_in(30) {
            let wait = self.between(1.0, budget as f64);
            let from = self.incarnation(forwarder);
            self.schedule(wait, Event::ClientDisconnects { from, id });
        }
        self.register(forwarder);
    }

    pub fn on_client_disconnect(&mut self, forwarder: usize, id: Id) {
        let actions = self.forwarders[forwarder].guard.on_disconnect(&id);
        self.records.push(Record::ClientGone { at: self.now, id });
        self.execute(forwarder, actions);
    }

    pub fn on_attempt_end(&mut self, forwarder: usize, attempt: &AttemptKey, end: AttemptEnd) {
        let state = &mut self.forwarders[forwarder];
        state.in_flight.remove(attempt);
        let actions = state.guard.on_attempt_end(&attempt.id, attempt.attempt, end);
        self.execute(forwarder, actions);
    }

    pub fn on_engine_listed(&mut self, forwarder: usize, engine: EngineId, phase: Phase) {
        let state = &mut self.forwarders[forwarder];
        // Phases only advance: an engine that is gone does not return under its id.
        let previous = state.engine_phases.get(&engine);
        if matches!((previous, phase), (Some(Phase::Gone), _) | (Some(Phase::Draining), Phase::Serving)) {
            return;
        }
        state.engine_phases.insert(engine, phase);
        let entry = Engine { up: phase == Phase::Serving, zone: 0, cell: 0 };
        state.guard.update_engine(engine, (phase != Phase::Gone).then_some(entry));
        let (at, via, engine) = (self.now, forwarder_name(forwarder), engine_name(engine));
        self.records.push(Record::EngineListed { at, via, engine, phase });
    }

    fn register(&mut self, forwarder: usize) {
        let now = self.clock();
        let actions = self.forwarders[forwarder].guard.register(now, REGISTER_LIMIT);
        self.execute(forwarder, actions);
    }

    pub fn on_forwarder_tick(&mut self, forwarder: usize) {
        self.schedule(TICK_MS, Event::ForwarderTick { forwarder });
        let now = self.clock();
        let actions = self.forwarders[forwarder].guard.respond_to_overdue(now);
        self.execute(forwarder, actions);
        self.forwarders[forwarder].drop_failed_planners(now);
        self.return_to_first_planner(forwarder);
        match self.forwarders[forwarder].follows {
            Some(planner) => self.renew(forwarder, planner),
            None => self.find_planner(forwarder),
        }
        self.register(forwarder);
        if self.forwarders[forwarder].standalone {
            self.plan_standalone(forwarder);
        }
    }

    /// Detaches from the planner if another one is preferred and not in a backoff. Checked once per interval.
    fn return_to_first_planner(&mut self, forwarder: usize) {
        let clock = self.clock();
        let state = &mut self.forwarders[forwarder];
        let first = state.first_candidate(clock);
        let is_better = |planner: &usize| first.is_some_and(|first| first != *planner);
        let due = self.now % RETURN_INTERVAL_MS < TICK_MS;
        if let Some(planner) = state.follows.filter(|planner| is_better(planner) && due) {
            let epoch = state.guard.epoch().unwrap_or(0);
            state.follows = None;
            state.guard.abandon();
            self.send_to_planner(forwarder, planner, ForwarderMessage::Detach { epoch });
        }
    }

    fn renew(&mut self, forwarder: usize, planner: usize) {
        let now = self.clock();
        let state = &mut self.forwarders[forwarder];
        if now.duration_since(state.last_renewal) >= RENEW_INTERVAL {
            state.last_renewal = now;
            let epoch = state.guard.epoch().unwrap_or(0);
            let renewal = ForwarderMessage::Renew { epoch, requested_at: now };
            self.send_to_planner(forwarder, planner, renewal);
        }
    }

    /// Asks the first candidate to plan for this forwarder. Without a candidate the forwarder uses its own
    /// policy.
    fn find_planner(&mut self, forwarder: usize) {
        let now = self.clock();
        let state = &mut self.forwarders[forwarder];
        if state.attaching.is_some() {
            return;
        }
        if let Some(planner) = state.first_candidate(now) {
            // The new epoch begins with the request, without a lease, so that messages of earlier epochs are
            // rejected.
            let epoch = state.guard.follow(planner_name(planner), now, Duration::ZERO);
            state.attaching = Some(Attaching { planner, epoch, since: now });
            state.standalone = false;
            let request = ForwarderMessage::Attach { epoch, requested_at: now };
            self.send_to_planner(forwarder, planner, request);
        } else if !state.standalone {
            state.guard.follow(PlannerId("itself".into()), now, FOREVER);
            state.standalone = true;
            self.counters.standalone += 1;
        }
    }

    pub fn on_planner_message(&mut self, forwarder: usize, planner: usize, message: PlannerMessage) {
        let now = self.clock();
        let state = &mut self.forwarders[forwarder];
        match message {
            PlannerMessage::Attached { epoch, requested_at, outcome } => {
                let attaching =
                    state.attaching.take_if(|request| (request.planner, request.epoch) == (planner, epoch));
                if attaching.is_none() {
                    return;
                }
                let accepted = outcome == AttachOutcome::Accepted;
                if accepted && state.guard.renew(epoch, requested_at, LEASE_DURATION) {
                    state.follows = Some(planner);
                    state.last_renewal = now;
                    state.planners.on_lease(&planner_name(planner), requested_at, LEASE_DURATION);
                    self.counters.hand_overs += 1;
                    self.register(forwarder);
                } else {
                    state.planners.on_failure(now, &planner_name(planner));
                }
            }
            PlannerMessage::Renewed { epoch, requested_at } => {
                if state.guard.renew(epoch, requested_at, LEASE_DURATION) {
                    state.planners.on_lease(&planner_name(planner), requested_at, LEASE_DURATION);
                }
            }
            PlannerMessage::Order { epoch, id, order } => {
                let actions = state.guard.on_order(now, epoch, &id, order);
                self.execute(forwarder, actions);
            }
        }
    }

    fn execute(&mut self, forwarder: usize, actions: Vec<Action<Id, Details>>) {
        for action in actions {
            match action {
                Action::StartAttempt { id, attempt, engine, .. } => {
                    self.start_attempt(forwarder, AttemptKey { id, attempt }, engine);
                }
                Action::CancelAttempt { id, attempt } => {
                    let attempt = AttemptKey { id, attempt };
                    if let Some(&engine) = self.forwarders[forwarder].in_flight.get(&attempt) {
                        self.schedule(CANCEL_DELAY_MS, Event::CancelReachesEngine { engine, attempt });
                    }
                }
                Action::Respond { id, response } => {
                    let outcome = match response {
                        Response::Served => record::RequestOutcome::Served,
                        Response::Rejected { .. } => record::RequestOutcome::Rejected,
                        Response::Failed => record::RequestOutcome::Failed,
                    };
                    self.records.push(Record::Responded { at: self.now, id, outcome });
                }
                Action::Notify { epoch, event } => {
                    let rejected = matches!(event, PlannerEvent::OrderRejected { .. });
                    self.counters.rejected_orders += u32::from(rejected);
                    if let Some(planner) = self.forwarders[forwarder].follows {
                        let message = ForwarderMessage::Event { epoch, event };
                        self.send_to_planner(forwarder, planner, message);
                    }
                }
                Action::SetPriority { .. } => {}
            }
        }
    }

    fn start_attempt(&mut self, forwarder: usize, attempt: AttemptKey, engine: EngineId) {
        let state = &mut self.forwarders[forwarder];
        let details = state.details[&attempt.id];
        state.in_flight.insert(attempt.clone(), engine);
        let delay = self.between(0.1, 1.0);
        let from = self.incarnation(forwarder);
        self.schedule(delay, Event::AttemptReachesEngine { engine, from, attempt, details });
    }

    /// The forwarder's own policy while no planner is available: a few requests at a time, each sent once.
    fn plan_standalone(&mut self, forwarder: usize) {
        let state = &self.forwarders[forwarder];
        let Some(epoch) = state.guard.epoch() else { return };
        let serving = state.engine_phases.iter().filter(|(_, phase)| **phase == Phase::Serving);
        let serving: Vec<EngineId> = serving.map(|(engine, _)| *engine).collect();
        if serving.is_empty() || state.in_flight.len() > MAX_STANDALONE_IN_FLIGHT {
            return;
        }
        for id in state.waiting_requests().into_iter().take(MAX_STANDALONE_STARTS) {
            let engine = serving[self.pick(serving.len())];
            let order = Order::StartAttempt { attempt: 0, engine, priority: 1 };
            let now = self.clock();
            let actions = self.forwarders[forwarder].guard.on_order(now, epoch, &id, order);
            self.execute(forwarder, actions);
        }
    }
}
