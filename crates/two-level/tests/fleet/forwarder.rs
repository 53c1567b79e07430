//! Forwarders and their clients.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_testbed::record::{self, Phase, Record};
use gaugestep_two_level::PlannerId;
use gaugestep_two_level::forwarder_leases::{AttachOutcome, LEASE_DURATION, RENEW_INTERVAL};
use gaugestep_two_level::order_guard::{
    Action, Answer, AttemptEnd, Effect, Engine, EngineId, Order, OrderGuard, PlannerEvent, RequestInfo,
    RetryBudgetSettings,
};
use gaugestep_two_level::planner_directory::PlannerDirectory;

use crate::simulation::{
    AttemptKey, Details, Event, ForwarderMessage, Id, PLANNERS, PlannerMessage, Simulation, TRAFFIC_END,
    engine_name, forwarder_name, planner_name, planner_number,
};

pub const RETRY_BUDGET: RetryBudgetSettings =
    RetryBudgetSettings { base: 5.0, ratio: 0.2, window: Duration::from_secs(5) };
/// Milliseconds between two ticks.
const TICK: f64 = 10.0;
/// A planner that has not answered for this long has failed.
const ATTACH_TIMEOUT: Duration = Duration::from_millis(100);
/// Requests that are registered at once.
const REGISTER_LIMIT: usize = 32;
/// How long before the client's deadline the guard answers, in milliseconds.
const DEADLINE_MARGIN: u64 = 10;
/// Milliseconds between two checks whether a better planner is there.
const RETURN_INTERVAL: f64 = 2_000.0;
/// Milliseconds after which a cancel reaches the engine: after its attempt on the same connection.
const CANCEL_DELAY: f64 = 1.5;
/// Longer than a simulation.
const FOREVER: Duration = Duration::from_secs(1_000_000_000);
/// Attempts in flight beyond which a forwarder without a planner starts no more.
const MAX_ALONE_IN_FLIGHT: usize = 8;
/// Attempts that a forwarder without a planner starts in one tick.
const MAX_ALONE_STARTS: usize = 4;

/// A request to attach that has no response yet.
#[derive(Clone, Copy)]
struct Attaching {
    planner: usize,
    epoch: u64,
    since: Timestamp,
}

pub struct Forwarder {
    pub life: u64,
    guard: OrderGuard<Id, Details>,
    planners: PlannerDirectory,
    attaching: Option<Attaching>,
    /// The planner that it follows.
    follows: Option<usize>,
    /// It uses its own policy, as no planner is there.
    alone: bool,
    last_renewal: Timestamp,
    /// Attempts whose end was not reported, by their engines.
    pub in_flight: BTreeMap<AttemptKey, EngineId>,
    /// What the engine list says.
    known_engines: BTreeMap<EngineId, Phase>,
    details: BTreeMap<Id, Details>,
    /// Requests that arrived in this life.
    request_count: u64,
}

/// A kind of request that clients send.
struct RequestKind {
    class: &'static str,
    effect: Effect,
    /// The mean work.
    work: f64,
    /// Milliseconds until the client's deadline.
    budget: u64,
}

impl Forwarder {
    pub fn new(number: usize, life: u64) -> Self {
        Forwarder {
            life,
            guard: OrderGuard::new(Some(RETRY_BUDGET)),
            planners: PlannerDirectory::new(&forwarder_name(number), (0..PLANNERS).map(planner_name)),
            attaching: None,
            follows: None,
            alone: false,
            last_renewal: Timestamp::ORIGIN,
            in_flight: BTreeMap::new(),
            known_engines: BTreeMap::new(),
            details: BTreeMap::new(),
            request_count: 0,
        }
    }

    /// Open requests without an attempt in flight.
    fn waiting_requests(&self) -> Vec<Id> {
        let in_flight: BTreeSet<&Id> = self.in_flight.keys().map(|attempt| &attempt.id).collect();
        self.guard.open_requests().filter(|id| !in_flight.contains(id)).cloned().collect()
    }

    /// Gives up planners that do not answer or whose lease has expired.
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
        if self.now >= TRAFFIC_END {
            return;
        }
        let wait = self.between(10.0, 120.0);
        self.after(wait, Event::RequestArrives { forwarder });
        let RequestKind { class, effect, work, budget } = self.request_kind();
        let details = Details { class, work: self.between(0.3, 2.0) * work };
        let now = self.clock();
        let here = &mut self.forwarders[forwarder];
        here.request_count += 1;
        let id = format!("f{forwarder}-{}-{}", here.life, here.request_count);
        here.details.insert(id.clone(), details);
        let deadline = now + Duration::from_millis(budget - DEADLINE_MARGIN);
        let info = RequestInfo { effect, deadline, max_attempts: 4, details };
        assert!(here.guard.on_request(now, id.clone(), info));
        self.records.push(Record::Requested {
            at: self.now,
            via: forwarder_name(forwarder),
            id: id.clone(),
            class: class.into(),
            budget: budget as f64,
        });
        if self.one_in(30) {
            let wait = self.between(1.0, budget as f64);
            let from = self.life(forwarder);
            self.after(wait, Event::ClientDisconnects { from, id });
        }
        self.register(forwarder);
    }

    pub fn on_client_disconnect(&mut self, forwarder: usize, id: Id) {
        let actions = self.forwarders[forwarder].guard.on_disconnect(&id);
        self.records.push(Record::ClientGone { at: self.now, id });
        self.carry_out(forwarder, actions);
    }

    pub fn on_attempt_end(&mut self, forwarder: usize, attempt: &AttemptKey, end: AttemptEnd) {
        let here = &mut self.forwarders[forwarder];
        here.in_flight.remove(attempt);
        let actions = here.guard.on_attempt_end(&attempt.id, attempt.attempt, end);
        self.carry_out(forwarder, actions);
    }

    pub fn on_engine_listed(&mut self, forwarder: usize, engine: EngineId, phase: Phase) {
        let here = &mut self.forwarders[forwarder];
        // Phases only go forward: an engine that has gone does not return under its id.
        let known = here.known_engines.get(&engine);
        if matches!((known, phase), (Some(Phase::Gone), _) | (Some(Phase::Draining), Phase::Serving)) {
            return;
        }
        here.known_engines.insert(engine, phase);
        let entry = Engine { up: phase == Phase::Serving, zone: 0, cell: 0 };
        here.guard.update_engine(engine, (phase != Phase::Gone).then_some(entry));
        let (at, via, engine) = (self.now, forwarder_name(forwarder), engine_name(engine));
        self.records.push(Record::EngineListed { at, via, engine, phase });
    }

    fn register(&mut self, forwarder: usize) {
        let now = self.clock();
        let actions = self.forwarders[forwarder].guard.register(now, REGISTER_LIMIT);
        self.carry_out(forwarder, actions);
    }

    pub fn on_forwarder_tick(&mut self, forwarder: usize) {
        self.after(TICK, Event::ForwarderTick { forwarder });
        let now = self.clock();
        let actions = self.forwarders[forwarder].guard.answer_overdue(now);
        self.carry_out(forwarder, actions);
        self.forwarders[forwarder].drop_failed_planners(now);
        self.return_to_first_planner(forwarder);
        match self.forwarders[forwarder].follows {
            Some(planner) => self.renew(forwarder, planner),
            None => self.find_planner(forwarder),
        }
        self.register(forwarder);
        if self.forwarders[forwarder].alone {
            self.plan_alone(forwarder);
        }
    }

    /// Leaves the planner for the one that is preferred, if that may be tried again.
    fn return_to_first_planner(&mut self, forwarder: usize) {
        let clock = self.clock();
        let here = &mut self.forwarders[forwarder];
        let first = here.first_candidate(clock);
        let is_better = |planner: &usize| first.is_some_and(|first| first != *planner);
        let due = self.now % RETURN_INTERVAL < TICK;
        if let Some(planner) = here.follows.filter(|planner| is_better(planner) && due) {
            let epoch = here.guard.epoch().unwrap_or(0);
            here.follows = None;
            here.guard.abandon();
            self.send_to_planner(forwarder, planner, ForwarderMessage::Detach { epoch });
        }
    }

    fn renew(&mut self, forwarder: usize, planner: usize) {
        let now = self.clock();
        let here = &mut self.forwarders[forwarder];
        if now.duration_since(here.last_renewal) >= RENEW_INTERVAL {
            here.last_renewal = now;
            let epoch = here.guard.epoch().unwrap_or(0);
            let renewal = ForwarderMessage::Renew { epoch, requested_at: now };
            self.send_to_planner(forwarder, planner, renewal);
        }
    }

    /// Asks the first candidate to plan for this forwarder; without any it uses its own policy.
    fn find_planner(&mut self, forwarder: usize) {
        let now = self.clock();
        let here = &mut self.forwarders[forwarder];
        if here.attaching.is_some() {
            return;
        }
        if let Some(planner) = here.first_candidate(now) {
            // The epoch begins with the request, without a lease: whatever an earlier one brings is void.
            let epoch = here.guard.follow(planner_name(planner), now, Duration::ZERO);
            here.attaching = Some(Attaching { planner, epoch, since: now });
            here.alone = false;
            let request = ForwarderMessage::Attach { epoch, requested_at: now };
            self.send_to_planner(forwarder, planner, request);
        } else if !here.alone {
            here.guard.follow(PlannerId("itself".into()), now, FOREVER);
            here.alone = true;
            self.counters.alone += 1;
        }
    }

    pub fn on_planner_message(&mut self, forwarder: usize, planner: usize, message: PlannerMessage) {
        let now = self.clock();
        let here = &mut self.forwarders[forwarder];
        match message {
            PlannerMessage::Attached { epoch, requested_at, outcome } => {
                let attaching = here.attaching.take_if(|it| (it.planner, it.epoch) == (planner, epoch));
                if attaching.is_none() {
                    return;
                }
                let accepted = outcome == AttachOutcome::Accepted;
                if accepted && here.guard.renew(epoch, requested_at, LEASE_DURATION) {
                    here.follows = Some(planner);
                    here.last_renewal = now;
                    here.planners.on_lease(&planner_name(planner), requested_at, LEASE_DURATION);
                    self.counters.hand_overs += 1;
                    self.register(forwarder);
                } else {
                    here.planners.on_failure(now, &planner_name(planner));
                }
            }
            PlannerMessage::Renewed { epoch, requested_at } => {
                if here.guard.renew(epoch, requested_at, LEASE_DURATION) {
                    here.planners.on_lease(&planner_name(planner), requested_at, LEASE_DURATION);
                }
            }
            PlannerMessage::Order { epoch, id, order } => {
                let actions = here.guard.on_order(now, epoch, &id, order);
                self.carry_out(forwarder, actions);
            }
        }
    }

    fn carry_out(&mut self, forwarder: usize, actions: Vec<Action<Id, Details>>) {
        for action in actions {
            match action {
                Action::StartAttempt { id, attempt, engine, .. } => {
                    self.start_attempt(forwarder, AttemptKey { id, attempt }, engine);
                }
                Action::CancelAttempt { id, attempt } => {
                    let attempt = AttemptKey { id, attempt };
                    if let Some(&engine) = self.forwarders[forwarder].in_flight.get(&attempt) {
                        self.after(CANCEL_DELAY, Event::CancelReachesEngine { engine, attempt });
                    }
                }
                Action::Answer { id, answer } => {
                    let outcome = match answer {
                        Answer::Served => record::RequestOutcome::Served,
                        Answer::Rejected { .. } => record::RequestOutcome::Rejected,
                        Answer::Failed => record::RequestOutcome::Failed,
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
        let here = &mut self.forwarders[forwarder];
        let details = here.details[&attempt.id];
        here.in_flight.insert(attempt.clone(), engine);
        let delay = self.between(0.1, 1.0);
        let from = self.life(forwarder);
        self.after(delay, Event::AttemptReachesEngine { engine, from, attempt, details });
    }

    /// The forwarder's own policy while no planner is there: a few requests at a time, each sent once.
    fn plan_alone(&mut self, forwarder: usize) {
        let here = &self.forwarders[forwarder];
        let Some(epoch) = here.guard.epoch() else { return };
        let serving = here.known_engines.iter().filter(|(_, phase)| **phase == Phase::Serving);
        let serving: Vec<EngineId> = serving.map(|(engine, _)| *engine).collect();
        if serving.is_empty() || here.in_flight.len() > MAX_ALONE_IN_FLIGHT {
            return;
        }
        for id in here.waiting_requests().into_iter().take(MAX_ALONE_STARTS) {
            let engine = serving[self.pick(serving.len())];
            let order = Order::StartAttempt { attempt: 0, engine, priority: 1 };
            let now = self.clock();
            let actions = self.forwarders[forwarder].guard.on_order(now, epoch, &id, order);
            self.carry_out(forwarder, actions);
        }
    }
}
