//! The simulated fleet: its clock, its events, and the network between forwarders and planners.

use std::collections::BTreeMap;
use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_testbed::record::{Phase, Record};
use gaugestep_two_level::PlannerId;
use gaugestep_two_level::forwarder_leases::AttachOutcome;
use gaugestep_two_level::order_guard::{AttemptEnd, EngineId, Order, PlannerEvent};

use crate::engines::SimulatedEngine;
use crate::forwarder::Forwarder;
use crate::planner::Planner;

pub const FORWARDERS: usize = 10;
pub const PLANNERS: usize = 3;
pub const ENGINES: usize = 6;
/// The simulated time, in milliseconds, until which requests arrive and faults occur.
pub const TRAFFIC_END_MS: f64 = 12_000.0;
/// The simulated time, in milliseconds, at which the simulation ends and all requests must be finished.
const END_MS: f64 = 20_000.0;

pub type Id = String;

/// The details of a request that planners receive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Details {
    pub class: &'static str,
    pub work: f64,
}

/// An incarnation of a forwarder, between two restarts. Messages to an earlier incarnation do not reach it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwarderIncarnation {
    pub forwarder: usize,
    pub incarnation: u64,
}

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    pub id: Id,
    pub attempt: usize,
}

/// A message from a forwarder to a planner.
#[derive(Clone, Debug)]
pub enum ForwarderMessage {
    Attach { epoch: u64, requested_at: Timestamp },
    Renew { epoch: u64, requested_at: Timestamp },
    Detach { epoch: u64 },
    Event { epoch: u64, event: PlannerEvent<Id, Details> },
}

/// A message from a planner to a forwarder.
#[derive(Clone, Debug)]
pub enum PlannerMessage {
    Attached { epoch: u64, requested_at: Timestamp, outcome: AttachOutcome },
    Renewed { epoch: u64, requested_at: Timestamp },
    Order { epoch: u64, id: Id, order: Order },
}

#[derive(Clone, Debug)]
pub enum Event {
    MessageToPlanner {
        planner: usize,
        incarnation: u64,
        from: usize,
        message: ForwarderMessage,
    },
    MessageToForwarder {
        to: ForwarderIncarnation,
        from: usize,
        message: PlannerMessage,
    },
    /// The next request of a client arrives at a forwarder.
    RequestArrives {
        forwarder: usize,
    },
    ClientDisconnects {
        from: ForwarderIncarnation,
        id: Id,
    },
    /// The forwarder checks its deadlines and leases.
    ForwarderTick {
        forwarder: usize,
    },
    /// The planner gives orders for its requests.
    PlannerTick {
        planner: usize,
    },
    AttemptReachesEngine {
        engine: EngineId,
        from: ForwarderIncarnation,
        attempt: AttemptKey,
        details: Details,
    },
    CancelReachesEngine {
        engine: EngineId,
        attempt: AttemptKey,
    },
    /// Attempts may have ended at an engine, unless it changed since this check was scheduled.
    EngineCheck {
        engine: EngineId,
        change: u64,
    },
    /// The end of an attempt reaches its forwarder.
    AttemptEnds {
        to: ForwarderIncarnation,
        attempt: AttemptKey,
        end: AttemptEnd,
    },
    /// A forwarder learns of the phase of an engine.
    EngineListed {
        to: ForwarderIncarnation,
        engine: EngineId,
        phase: Phase,
    },
    Fault,
}

/// Counts of events over a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    pub faults: u32,
    pub rejected_orders: u32,
    pub hand_overs: u32,
    /// How often a forwarder began to use its own policy.
    pub standalone: u32,
}

pub struct Simulation {
    /// The simulated time in milliseconds.
    pub now: f64,
    pub random: oorandom::Rand64,
    /// The scheduled events by time in microseconds, then by the order in which they were scheduled.
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    pub forwarders: Vec<Forwarder>,
    pub planners: Vec<Planner>,
    pub engines: BTreeMap<EngineId, SimulatedEngine>,
    pub next_engine: u32,
    /// The time until which a forwarder (named first) and a planner cannot reach each other.
    pub cut_until: BTreeMap<(usize, usize), f64>,
    pub records: Vec<Record>,
    pub counters: Counters,
}

pub fn planner_name(planner: usize) -> PlannerId {
    PlannerId(format!("p{planner}"))
}

pub fn planner_number(id: &PlannerId) -> usize {
    id.0[1..].parse().unwrap()
}

pub fn forwarder_name(forwarder: usize) -> String {
    format!("f{forwarder}")
}

pub fn forwarder_number(name: &str) -> usize {
    name[1..].parse().unwrap()
}

pub fn engine_name(engine: EngineId) -> String {
    format!("e{}", engine.0)
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut simulation = Simulation {
            now: 0.0,
            random: oorandom::Rand64::new(seed.into()),
            events: BTreeMap::new(),
            next_event: 0,
            forwarders: (0..FORWARDERS).map(|number| Forwarder::new(number, 0)).collect(),
            planners: (0..PLANNERS).map(|_| Planner::new()).collect(),
            engines: BTreeMap::new(),
            next_engine: 0,
            cut_until: BTreeMap::new(),
            records: Vec::new(),
            counters: Counters::default(),
        };
        for _ in 0..ENGINES {
            simulation.start_engine(true);
        }
        for forwarder in 0..FORWARDERS {
            let wait = simulation.between(0.0, 100.0);
            simulation.schedule(wait, Event::RequestArrives { forwarder });
            simulation.schedule(0.0, Event::ForwarderTick { forwarder });
        }
        for planner in 0..PLANNERS {
            simulation.schedule(0.0, Event::PlannerTick { planner });
        }
        let wait = simulation.between(300.0, 1_500.0);
        simulation.schedule(wait, Event::Fault);
        simulation
    }

    /// Handles all events until [`END_MS`].
    pub fn run(mut self) -> Self {
        while let Some(((micros, _), event)) = self.events.pop_first() {
            self.now = micros as f64 / 1e3;
            if self.now > END_MS {
                break;
            }
            self.handle(event);
        }
        self
    }

    /// Returns the simulated time as forwarders and planners read it.
    pub fn clock(&self) -> Timestamp {
        Timestamp::ORIGIN + Duration::from_micros((self.now * 1e3).round() as u64)
    }

    /// Draws a number between two bounds.
    pub fn between(&mut self, min: f64, max: f64) -> f64 {
        min + (max - min) * self.random.rand_float()
    }

    /// Draws true with a probability of one in `count`.
    pub fn one_in(&mut self, count: u64) -> bool {
        self.random.rand_range(0..count) == 0
    }

    /// Draws an index below `count`.
    pub fn pick(&mut self, count: usize) -> usize {
        self.random.rand_range(0..count as u64) as usize
    }

    /// Schedules an event `wait` milliseconds from now.
    pub fn schedule(&mut self, wait: f64, event: Event) {
        self.next_event += 1;
        // Times are integral microseconds, so that the order of events does not depend on rounding. They are
        // rounded up, so that no wait is too short.
        let micros = ((self.now + wait.max(0.0)) * 1e3).ceil() as u64;
        self.events.insert((micros, self.next_event), event);
    }

    pub fn incarnation(&self, forwarder: usize) -> ForwarderIncarnation {
        ForwarderIncarnation { forwarder, incarnation: self.forwarders[forwarder].incarnation }
    }

    pub fn is_current(&self, incarnation: ForwarderIncarnation) -> bool {
        self.incarnation(incarnation.forwarder) == incarnation
    }

    pub fn send_to_planner(&mut self, forwarder: usize, planner: usize, message: ForwarderMessage) {
        let incarnation = self.planners[planner].incarnation;
        let event = Event::MessageToPlanner { planner, incarnation, from: forwarder, message };
        self.transmit(forwarder, planner, &event);
    }

    pub fn send_to_forwarder(&mut self, planner: usize, forwarder: usize, message: PlannerMessage) {
        let event = Event::MessageToForwarder { to: self.incarnation(forwarder), from: planner, message };
        self.transmit(forwarder, planner, &event);
    }

    /// Delivers a message between a forwarder and a planner. Some messages are lost, and some are duplicated.
    fn transmit(&mut self, forwarder: usize, planner: usize, event: &Event) {
        let cut = self.cut_until.get(&(forwarder, planner)).is_some_and(|until| self.now < *until);
        if cut || self.one_in(400) {
            return;
        }
        let copies = if self.one_in(50) { 2 } else { 1 };
        for _ in 0..copies {
            // Some messages are delayed, so that later ones overtake them.
            let delay = if self.one_in(40) { self.between(5.0, 400.0) } else { self.between(0.2, 3.0) };
            self.schedule(delay, event.clone());
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::MessageToPlanner { planner, incarnation, from, message } => {
                self.deliver_to_planner(planner, incarnation, from, message);
            }
            Event::MessageToForwarder { to, from, message } if self.is_current(to) => {
                self.on_planner_message(to.forwarder, from, message);
            }
            Event::RequestArrives { forwarder } => self.on_request(forwarder),
            Event::ClientDisconnects { from, id } if self.is_current(from) => {
                self.on_client_disconnect(from.forwarder, id);
            }
            Event::ForwarderTick { forwarder } => self.on_forwarder_tick(forwarder),
            Event::PlannerTick { planner } => self.on_planner_tick(planner),
            // An attempt of a killed forwarder does not arrive, as its connection is closed.
            Event::AttemptReachesEngine { engine, from, attempt, details } if self.is_current(from) => {
                self.on_attempt_at_engine(engine, from, attempt, details);
            }
            Event::CancelReachesEngine { engine, attempt } => self.on_cancel_at_engine(engine, &attempt),
            Event::EngineCheck { engine, change } => {
                if self.engines.get(&engine).is_some_and(|engine| engine.change == change) {
                    self.collect_completed(engine);
                }
            }
            Event::AttemptEnds { to, attempt, end } if self.is_current(to) => {
                self.on_attempt_end(to.forwarder, &attempt, end);
            }
            Event::EngineListed { to, engine, phase } if self.is_current(to) => {
                self.on_engine_listed(to.forwarder, engine, phase);
            }
            Event::Fault => self.on_fault(),
            // These events are addressed to an earlier incarnation of a forwarder.
            Event::MessageToForwarder { .. }
            | Event::ClientDisconnects { .. }
            | Event::AttemptReachesEngine { .. }
            | Event::AttemptEnds { .. }
            | Event::EngineListed { .. } => {}
        }
    }

    fn deliver_to_planner(
        &mut self,
        planner: usize,
        incarnation: u64,
        from: usize,
        message: ForwarderMessage,
    ) {
        let receiver = &self.planners[planner];
        if receiver.incarnation != incarnation || self.now < receiver.dead_until {
            return;
        }
        if self.now < receiver.suspended_until {
            let wait = receiver.suspended_until - self.now;
            self.schedule(wait, Event::MessageToPlanner { planner, incarnation, from, message });
        } else {
            self.on_forwarder_message(planner, from, message);
        }
    }
}
