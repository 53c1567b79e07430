//! The simulated planners, whose simple policy has a random element.

use std::collections::BTreeMap;

use gaugestep_two_level::forwarder_leases::ForwarderLeases;
use gaugestep_two_level::order_guard::{
    Attempt, AttemptState, Effect, EngineId, Order, PlannerEvent, RequestInfo,
};

use crate::simulation::{
    Details, Event, FORWARDERS, ForwarderMessage, Id, PLANNERS, PlannerMessage, Simulation, forwarder_name,
    forwarder_number,
};

/// Milliseconds between two ticks of a planner.
const TICK_MS: f64 = 5.0;
/// The most attempts that a planner orders for one request.
const MAX_ATTEMPTS: usize = 4;

/// A request that a forwarder registered under an epoch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RequestKey {
    forwarder: usize,
    epoch: u64,
    id: Id,
}

/// The state of a request as the planner knows it.
struct PlannedRequest {
    info: RequestInfo<Details>,
    attempts: Vec<Attempt>,
    in_flight: Option<usize>,
}

impl PlannedRequest {
    fn on_attempt_end(&mut self, attempt: usize, state: AttemptState) {
        self.in_flight = self.in_flight.filter(|in_flight| *in_flight != attempt);
        if let Some(ended) = self.attempts.get_mut(attempt) {
            ended.state = state;
        }
    }

    /// Removes an attempt that was not started, as the forwarder rejected the order.
    fn on_start_rejected(&mut self, attempt: usize) {
        if self.in_flight == Some(attempt) && attempt + 1 == self.attempts.len() {
            self.in_flight = None;
            self.attempts.pop();
        }
    }
}

pub struct Planner {
    pub incarnation: u64,
    pub dead_until: f64,
    /// Messages that arrive before this time are delivered at it.
    pub suspended_until: f64,
    leases: ForwarderLeases,
    requests: BTreeMap<RequestKey, PlannedRequest>,
}

impl Planner {
    pub fn new() -> Self {
        Planner {
            incarnation: 0,
            dead_until: 0.0,
            suspended_until: 0.0,
            leases: ForwarderLeases::new(FORWARDERS, PLANNERS),
            requests: BTreeMap::new(),
        }
    }

    /// Kills the planner, which restarts at this time.
    pub fn restart_at(&mut self, restart: f64) {
        *self = Planner { incarnation: self.incarnation + 1, dead_until: restart, ..Planner::new() };
    }

    fn on_event(&mut self, forwarder: usize, epoch: u64, event: PlannerEvent<Id, Details>) {
        if !self.leases.is_attached(&forwarder_name(forwarder), epoch) {
            return;
        }
        let key = |id: Id| RequestKey { forwarder, epoch, id };
        match event {
            PlannerEvent::Registered { id, info, attempts } => {
                let in_flight = attempts.iter().position(|attempt| attempt.state == AttemptState::InFlight);
                self.requests.insert(key(id), PlannedRequest { info, attempts, in_flight });
            }
            PlannerEvent::AttemptEnded { id, finished: true, .. } | PlannerEvent::Finished { id } => {
                self.requests.remove(&key(id));
            }
            PlannerEvent::AttemptEnded { id, attempt, state, finished: false } => {
                if let Some(request) = self.requests.get_mut(&key(id)) {
                    request.on_attempt_end(attempt, state);
                }
            }
            PlannerEvent::OrderRejected { id, order, .. } => {
                let request = self.requests.get_mut(&key(id));
                if let (Some(request), Order::StartAttempt { attempt, .. }) = (request, order) {
                    request.on_start_rejected(attempt);
                }
            }
        }
    }
}

impl Simulation {
    pub fn on_forwarder_message(&mut self, planner: usize, forwarder: usize, message: ForwarderMessage) {
        let now = self.clock();
        let state = &mut self.planners[planner];
        let name = forwarder_name(forwarder);
        match message {
            ForwarderMessage::Attach { epoch, requested_at } => {
                let outcome = state.leases.attach(now, &name, epoch);
                let response = PlannerMessage::Attached { epoch, requested_at, outcome };
                self.send_to_forwarder(planner, forwarder, response);
            }
            ForwarderMessage::Renew { epoch, requested_at } => {
                if state.leases.renew(now, &name, epoch) {
                    let response = PlannerMessage::Renewed { epoch, requested_at };
                    self.send_to_forwarder(planner, forwarder, response);
                }
            }
            ForwarderMessage::Detach { epoch } => state.leases.detach(&name, epoch),
            ForwarderMessage::Event { epoch, event } => state.on_event(forwarder, epoch, event),
        }
    }

    pub fn on_planner_tick(&mut self, planner: usize) {
        self.schedule(TICK_MS, Event::PlannerTick { planner });
        let clock = self.clock();
        let state = &mut self.planners[planner];
        if self.now < state.dead_until || self.now < state.suspended_until {
            return;
        }
        for name in state.leases.expire(clock) {
            let expired = forwarder_number(&name);
            state.requests.retain(|key, _| key.forwarder != expired);
        }
        let keys: Vec<RequestKey> = state.requests.keys().cloned().collect();
        // The planner also knows draining engines, and an engine may be gone when the order arrives.
        let engines: Vec<EngineId> = self.engines.keys().copied().collect();
        for key in keys {
            if let Some(order) = self.choose_order(planner, &key, &engines) {
                let RequestKey { forwarder, epoch, id } = key;
                self.send_to_forwarder(planner, forwarder, PlannerMessage::Order { epoch, id, order });
            }
        }
    }

    /// Chooses an order for a request at random: nine in ten requests without an attempt in flight are sent,
    /// and a few are rejected or failed; a few attempts are cancelled.
    fn choose_order(&mut self, planner: usize, key: &RequestKey, engines: &[EngineId]) -> Option<Order> {
        let per_mille = self.random.rand_range(0..1_000);
        let engine = engines[self.pick(engines.len())];
        let started_at = self.clock();
        let request = self.planners[planner].requests.get_mut(key)?;
        let attempt = request.attempts.len();
        let start = Order::StartAttempt { attempt, engine, priority: 1 };
        match request.in_flight {
            None if per_mille < 900 && attempt < MAX_ATTEMPTS => {
                let state = AttemptState::InFlight;
                request.in_flight = Some(attempt);
                request.attempts.push(Attempt { engine, started_at, state, priority: 1 });
                Some(start)
            }
            None if per_mille < 905 => {
                Some(Order::Reject { retry_after: std::time::Duration::from_millis(100) })
            }
            None if per_mille < 908 => Some(Order::Fail),
            Some(attempt) if per_mille < 5 && request.info.effect == Effect::Safe => {
                Some(Order::CancelAttempt { attempt })
            }
            // A faulty planner orders another attempt while one is in flight.
            Some(_) if per_mille > 997 => Some(start),
            _ => None,
        }
    }
}
