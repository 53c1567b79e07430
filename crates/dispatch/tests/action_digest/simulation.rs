//! A simulated embedder with clients, engines that have faults, and a clock. It carries out the dispatcher's
//! actions as the proxy does: it reports progress, streaming and the end of each attempt that is sent, the
//! outcome of a cancel a little later, and timers when they are due. All random numbers are drawn from one
//! seed.

use std::collections::BTreeMap;
use std::path::Path;

use gaugestep_dispatch::Dispatcher;
use gaugestep_dispatch::interface::*;

use crate::encoding;
use crate::profiles::{Profile, changed_settings, engine_entry};
use crate::recorder::Recorder;

/// The minimum time between two calls of `run_pending`, as in the proxy, in ms.
const RUN_PENDING_INTERVAL: Millis = 1.0;
/// The time between two steps that may start a fault or change an engine, in ms.
const FLEET_CHANGE_INTERVAL: Millis = 400.0;
/// The time between two changes of the settings, in ms.
const SETTINGS_CHANGE_INTERVAL: Millis = 6_000.0;
/// The time between two assignments of a position by the roster, and the lifetime of a position, in ms. The
/// lifetime is shorter, so that positions expire.
const ROSTER_INTERVAL: Millis = 5_000.0;
const POSITION_LIFETIME: Millis = 4_000.0;
/// The time after the deadline of a request at which its client disconnects if it has no response, in ms.
const DISCONNECT_AFTER_DEADLINE: Millis = 60.0;
/// The number of events between two calls of `ejected_count`.
const EJECTED_COUNT_INTERVAL: u64 = 16;
/// The fraction of the stream after which the shutdown is announced, and the time from then to the shutdown
/// in ms.
const SHUTDOWN_AT_FRACTION: f64 = 0.7;
const SHUTDOWN_DELAY: Millis = 2_500.0;

/// The probability that an attempt cannot be sent any more.
const UNSENDABLE_CHANCE: f64 = 0.005;

/// A temporary fault of an engine.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    RefusesConnections,
    Rejects,
    BreaksConnections,
    Fails,
    Slow,
    Hangs,
}

const FAULTS: [Fault; 6] = [
    Fault::RefusesConnections,
    Fault::Rejects,
    Fault::BreaksConnections,
    Fault::Fails,
    Fault::Slow,
    Fault::Hangs,
];

/// An engine of the simulated fleet.
struct Engine {
    entry: EngineEntry,
    fault: Option<Fault>,
    fault_until: Millis,
}

/// An attempt as the embedder sees it.
struct Attempt {
    engine: EngineId,
    sent: Millis,
    ended: bool,
}

/// A client with its request.
struct Client {
    new: NewRequest,
    /// The true cost of the query, which may differ from the estimates in the request.
    cost: Cost,
    attempts: Vec<Attempt>,
    /// True if the client has its response or the start of a streamed one, or has disconnected.
    is_finished: bool,
}

/// An event of the simulation that is scheduled for a time.
enum Scheduled {
    Arrival,
    AttemptEnd(RequestId, AttemptNo, Outcome),
    Progress(RequestId, AttemptNo, ProgressReport),
    StreamStart(RequestId, AttemptNo),
    ClientDisconnect(RequestId),
    Timer(TimerId),
    RunPending,
    FleetChange,
    Probe,
    SettingsChange,
    PositionAssignment,
}

/// The simulation of one stream.
pub struct Simulation {
    profile: Profile,
    settings: Settings,
    dispatcher: Dispatcher,
    random: oorandom::Rand64,
    now: Millis,
    /// The scheduled events, by the bits of their times (positive floats and their bits have the same order)
    /// and a sequence number.
    scheduled: BTreeMap<(u64, u64), Scheduled>,
    last_sequence: u64,
    clients: BTreeMap<RequestId, Client>,
    engines: BTreeMap<EngineId, Engine>,
    arrivals: u64,
    settings_changes: u64,
    positions_assigned: u64,
    pending_run_at: Millis,
    pending_run_planned: bool,
    shutdown_announced: bool,
    recorder: Recorder,
}

impl Simulation {
    /// Simulates one stream of a profile to its end and returns its record.
    pub fn run_stream(profile: &Profile, seed: u64, trace: Option<&Path>) -> Recorder {
        let dispatcher =
            Dispatcher::new(profile.settings.clone(), seed).expect("the profile's settings are valid");
        let fleet = (0..profile.engines).map(engine_entry);
        let engine = |entry: EngineEntry| Engine { entry, fault: None, fault_until: 0.0 };
        let mut simulation = Simulation {
            settings: profile.settings.clone(),
            dispatcher,
            random: oorandom::Rand64::new(u128::from(seed) << 32 | 0x5eed),
            now: 0.0,
            scheduled: BTreeMap::new(),
            last_sequence: 0,
            clients: BTreeMap::new(),
            engines: fleet.map(|entry| (entry.engine, engine(entry))).collect(),
            arrivals: 0,
            settings_changes: 0,
            positions_assigned: 0,
            pending_run_at: 0.0,
            pending_run_planned: false,
            shutdown_announced: false,
            recorder: Recorder::new(trace),
            profile: profile.clone(),
        };
        simulation.start();
        simulation.run();
        simulation.recorder
    }

    fn start(&mut self) {
        self.send_engine_list();
        self.schedule(1.0, Scheduled::Arrival);
        self.schedule(FLEET_CHANGE_INTERVAL, Scheduled::FleetChange);
        self.schedule(self.profile.traffic.probe_interval, Scheduled::Probe);
        if self.profile.changes_settings {
            self.schedule(SETTINGS_CHANGE_INTERVAL, Scheduled::SettingsChange);
        }
        if self.profile.has_roster {
            self.schedule(1.0, Scheduled::PositionAssignment);
        }
    }

    fn run(&mut self) {
        while self.recorder.events < self.profile.events {
            let Some(((time, _), scheduled)) = self.scheduled.pop_first() else { return };
            self.now = f64::from_bits(time);
            self.handle_scheduled(scheduled);
            let is_due = self.recorder.events as f64 >= SHUTDOWN_AT_FRACTION * self.profile.events as f64;
            if is_due && !self.shutdown_announced {
                self.shutdown_announced = true;
                self.handle_event(Event::ShutdownBy(self.now + SHUTDOWN_DELAY));
            }
        }
    }

    fn handle_scheduled(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Arrival => self.arrival(),
            Scheduled::AttemptEnd(id, attempt, outcome) => self.end_attempt(id, attempt, outcome),
            Scheduled::Progress(id, attempt, report) => self.progress(id, attempt, report),
            Scheduled::StreamStart(id, attempt) => self.start_streaming(id, attempt),
            Scheduled::ClientDisconnect(id) => self.disconnect_client(id),
            Scheduled::Timer(timer) => self.handle_event(Event::Timer(timer)),
            Scheduled::RunPending => {
                self.pending_run_planned = false;
                self.run_pending();
            }
            Scheduled::FleetChange => self.change_fleet(),
            Scheduled::Probe => self.probe(),
            Scheduled::SettingsChange => self.change_settings(),
            Scheduled::PositionAssignment => self.assign_position(),
        }
    }

    // Random draws and scheduling.

    fn chance(&mut self, chance: f64) -> bool {
        self.random.rand_float() < chance
    }

    fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.random.rand_float()
    }

    fn below(&mut self, count: usize) -> usize {
        self.random.rand_range(0..count as u64) as usize
    }

    fn random_engine(&mut self) -> EngineId {
        EngineId(self.below(self.profile.engines as usize) as u32)
    }

    fn schedule(&mut self, delay: Millis, scheduled: Scheduled) {
        self.last_sequence += 1;
        self.scheduled.insert(((self.now + delay).to_bits(), self.last_sequence), scheduled);
    }

    // Calls of the dispatcher.

    fn handle_event(&mut self, event: Event) {
        self.handle_event_at(self.now, event);
    }

    /// Passes an event with the time `now` to the dispatcher and carries out the actions.
    fn handle_event_at(&mut self, now: Millis, event: Event) {
        let kind = encoding::event_kind(&event);
        self.recorder.count_content(&event);
        let mut actions = Vec::new();
        self.dispatcher.handle(now, event, &mut actions);
        self.recorder.event(now, kind, &actions);
        self.execute(actions);
        if self.recorder.events % EJECTED_COUNT_INTERVAL == 0 {
            self.recorder.ejected_count(self.dispatcher.ejected_count(self.now));
        }
        let open = self.clients.values().filter(|client| !client.is_finished).count();
        self.recorder.coverage.most_open = self.recorder.coverage.most_open.max(open);
        self.run_pending_soon();
    }

    /// Calls `run_pending` now or, if the last call was too recent, schedules it.
    fn run_pending_soon(&mut self) {
        if self.now - self.pending_run_at >= RUN_PENDING_INTERVAL {
            self.run_pending();
        } else if !self.pending_run_planned {
            self.pending_run_planned = true;
            self.schedule(self.pending_run_at + RUN_PENDING_INTERVAL - self.now, Scheduled::RunPending);
        }
    }

    fn run_pending(&mut self) {
        self.pending_run_at = self.now;
        let mut actions = Vec::new();
        self.dispatcher.run_pending(self.now, &mut actions);
        self.recorder.run_pending(self.now, &actions);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, engine } => self.send(id, engine),
                Action::Cancel { id, attempt } => self.cancel(id, attempt),
                Action::Reject { id, .. } | Action::Fail { id } => self.finish_client(&id),
                Action::SetTimer { timer, delay } => self.schedule(delay.max(0.0), Scheduled::Timer(timer)),
                Action::SetAttemptOptions { .. } | Action::Log(_) => {}
            }
        }
    }

    // Requests and attempts.

    fn arrival(&mut self) {
        let traffic = self.profile.traffic.clone();
        let gap = -traffic.mean_arrival_interval * (1.0 - self.random.rand_float()).ln();
        self.schedule(gap, Scheduled::Arrival);
        self.arrivals += 1;
        let id = RequestId(format!("r{}", self.arrivals).into());
        let class = self.below(self.settings.classes.len());
        let spread = self.random.rand_float();
        let work = traffic.work.0 * (traffic.work.1 / traffic.work.0).powf(spread);
        let memory_mb = self.between(10.0, 4_000.0);
        let time_budget = self.between(traffic.time_budget.0, traffic.time_budget.1);
        let has_short_budget = self.chance(0.05);
        let deadline = self.now + if has_short_budget { time_budget / 20.0 } else { time_budget };
        let estimate = if self.chance(0.2) { 0.0 } else { work * self.between(0.6, 1.6) };
        let tables = TableSetId(self.below(3) as u64);
        let key = self.chance(0.8).then(|| OrderKey(format!("k{}", self.below(4)).into()));
        let tenant = TenantId(self.below(self.settings.tenants.len() + 1));
        let stated_memory = if self.chance(0.2) { 0.0 } else { memory_mb * 0.8 };
        let new = NewRequest {
            id: id.clone(),
            class: ClassId(class),
            tenant,
            deadline,
            estimate,
            memory_mb: stated_memory,
            tables,
            order_key: key,
        };
        let cost = Cost { work, memory_mb };
        let client = Client { new: new.clone(), cost, attempts: Vec::new(), is_finished: false };
        self.clients.insert(id.clone(), client);
        if self.chance(traffic.client_disconnects) {
            let after = self.between(0.0, time_budget);
            self.schedule(after, Scheduled::ClientDisconnect(id.clone()));
        }
        self.schedule(deadline - self.now + DISCONNECT_AFTER_DEADLINE, Scheduled::ClientDisconnect(id));
        self.handle_event(Event::Request(new));
        if self.chance(traffic.unusual_event) {
            self.handle_unusual_event();
        }
    }

    fn send(&mut self, id: RequestId, engine: EngineId) {
        let until = self.dispatcher.sendable_until(&id);
        self.recorder.sendable_until(until);
        let unsendable = self.chance(UNSENDABLE_CHANCE);
        let connect_time = if self.chance(0.02) { self.between(50.0, 500.0) } else { self.between(0.1, 3.0) };
        let Some(client) = self.clients.get_mut(&id) else { return };
        let attempt = AttemptNo(client.attempts.len());
        client.attempts.push(Attempt { engine, sent: self.now, ended: false });
        if unsendable || client.is_finished || self.now + connect_time > until {
            return self.schedule(connect_time, Scheduled::AttemptEnd(id, attempt, Outcome::NotSent));
        }
        let time_to_deadline = (client.new.deadline - self.now).max(0.0);
        let work = client.cost.work / self.settings.classes[client.new.class.0].threads;
        let run = connect_time + self.run_time(work, engine);
        self.schedule(time_to_deadline, Scheduled::AttemptEnd(id.clone(), attempt, Outcome::TimedOut));
        if let Some((outcome, after)) = self.draw_outcome(engine, run) {
            self.schedule(after, Scheduled::AttemptEnd(id.clone(), attempt, outcome));
        }
        if self.chance(self.profile.traffic.progress) {
            self.schedule_progress(&id, attempt, run);
        }
        if self.chance(self.profile.traffic.streamed) {
            self.schedule(run * 0.9, Scheduled::StreamStart(id, attempt));
        }
    }

    /// The time that a run of this work takes on the engine with its current fault.
    fn run_time(&mut self, work: Millis, engine: EngineId) -> Millis {
        let straggles = self.chance(self.profile.traffic.straggler);
        let scatter = self.between(0.7, 1.4);
        let factor = if straggles { self.between(8.0, 30.0) } else { 1.0 };
        let slow = if self.fault(engine) == Some(Fault::Slow) { 4.0 } else { 1.0 };
        work * scatter * factor * slow
    }

    /// The outcome of an attempt on the engine and the time until then. `None` if it lasts until its
    /// deadline.
    fn draw_outcome(&mut self, engine: EngineId, run: Millis) -> Option<(Outcome, Millis)> {
        let soon = self.between(0.5, 20.0);
        let draw = self.random.rand_float();
        match self.fault(engine) {
            Some(Fault::RefusesConnections) => Some((Outcome::ConnectFailed, soon)),
            Some(Fault::Rejects) => Some((Outcome::Rejected, soon)),
            Some(Fault::BreaksConnections) => Some((Outcome::Reset, soon)),
            Some(Fault::Fails) => Some((Outcome::Failed, soon)),
            Some(Fault::Hangs) => None,
            Some(Fault::Slow) | None => match draw {
                draw if draw < 0.01 => Some((Outcome::Failed, run * 0.5)),
                draw if draw < 0.015 => Some((Outcome::Reset, run * 0.5)),
                draw if draw < 0.02 => Some((Outcome::ConnectFailed, soon)),
                draw if draw < 0.022 => Some((Outcome::Rejected, soon)),
                _ => Some((Outcome::Served, run)),
            },
        }
    }

    fn fault(&self, engine: EngineId) -> Option<Fault> {
        let engine = self.engines.get(&engine)?;
        engine.fault.filter(|_| self.now < engine.fault_until)
    }

    fn schedule_progress(&mut self, id: &RequestId, attempt: AttemptNo, run: Millis) {
        for fraction in [0.05, 0.3, 0.6, 0.9] {
            let report = match self.below(8) {
                0 => ProgressReport::Spills(self.between(1.0, 500.0)),
                1 => ProgressReport::WaitsForMemory,
                2 => ProgressReport::WaitsForLoad,
                _ => ProgressReport::Done(fraction * self.between(0.7, 1.2)),
            };
            self.schedule(run * fraction, Scheduled::Progress(id.clone(), attempt, report));
        }
    }

    fn cancel(&mut self, id: RequestId, attempt: AttemptNo) {
        // Some cancels are lost; the attempt then ends by itself or at its deadline.
        if self.chance(0.95) {
            let after = if self.chance(0.1) { self.between(50.0, 800.0) } else { self.between(0.5, 15.0) };
            self.schedule(after, Scheduled::AttemptEnd(id, attempt, Outcome::Cancelled));
        }
    }

    fn end_attempt(&mut self, id: RequestId, number: AttemptNo, outcome: Outcome) {
        let repeated = self.chance(0.02);
        let Some(client) = self.clients.get_mut(&id) else { return };
        let attempt = &mut client.attempts[number.0];
        if attempt.ended && !repeated {
            return;
        }
        attempt.ended = true;
        let (engine, sent) = (attempt.engine, attempt.sent);
        client.is_finished |= outcome == Outcome::Served;
        let (finished, cost) = (client.is_finished, client.cost);
        let reports_cost = outcome == Outcome::Served && self.chance(self.profile.traffic.cost_report);
        let load = self.load_report(engine);
        self.handle_event(Event::AttemptEnded(AttemptEnd {
            id: id.clone(),
            attempt: number,
            engine,
            outcome,
            finished,
            elapsed: self.now - sent,
            cost: reports_cost.then_some(cost),
            load,
        }));
        self.remove_if_finished(&id);
    }

    fn load_report(&mut self, engine: EngineId) -> Option<LoadReport> {
        if !self.chance(self.profile.traffic.load_report) {
            return None;
        }
        let attempts = self.clients.values().flat_map(|client| &client.attempts);
        let own = attempts.filter(|attempt| !attempt.ended && attempt.engine == engine).count();
        let of_other_dispatchers = if self.settings.dispatchers > 1 { self.below(6) } else { 0 };
        let in_flight = (own + of_other_dispatchers) as f64;
        Some(LoadReport {
            in_flight: self.chance(0.9).then_some(in_flight),
            queued: self.chance(0.5).then_some((in_flight - 8.0).max(0.0)),
            core_utilization: self.chance(0.5).then_some((in_flight / 8.0).min(1.0)),
            memory_utilization: self.chance(0.5).then_some((in_flight / 16.0).min(1.0)),
        })
    }

    fn progress(&mut self, id: RequestId, attempt: AttemptNo, report: ProgressReport) {
        let Some(client) = self.clients.get(&id) else { return };
        if !client.attempts[attempt.0].ended {
            self.handle_event(Event::Progress(id, attempt, report));
        }
    }

    fn start_streaming(&mut self, id: RequestId, attempt: AttemptNo) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if !client.is_finished && !client.attempts[attempt.0].ended {
            client.is_finished = true;
            self.handle_event(Event::StreamingStarted(id, attempt));
        }
    }

    fn disconnect_client(&mut self, id: RequestId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if !client.is_finished {
            client.is_finished = true;
            self.handle_event(Event::ClientGone(id.clone()));
            self.remove_if_finished(&id);
        }
    }

    fn finish_client(&mut self, id: &RequestId) {
        if let Some(client) = self.clients.get_mut(id) {
            client.is_finished = true;
        }
        self.remove_if_finished(id);
    }

    /// Removes a client that needs no response any more and has no attempt in flight.
    fn remove_if_finished(&mut self, id: &RequestId) {
        let done =
            |client: &Client| client.is_finished && client.attempts.iter().all(|attempt| attempt.ended);
        if self.clients.get(id).is_some_and(done) {
            self.clients.remove(id);
        }
    }

    // The fleet.

    fn send_engine_list(&mut self) {
        let listed = self.engines.values().map(|engine| engine.entry);
        let entries = listed.filter(|entry| entry.readiness != Readiness::Gone).collect();
        self.handle_event(Event::EngineList(entries));
    }

    fn change_fleet(&mut self) {
        self.schedule(FLEET_CHANGE_INTERVAL, Scheduled::FleetChange);
        if self.chance(self.profile.traffic.fault) {
            let id = self.random_engine();
            let fault = FAULTS[self.below(FAULTS.len())];
            let until = self.now + self.between(300.0, self.profile.traffic.max_fault_duration);
            if let Some(engine) = self.engines.get_mut(&id) {
                (engine.fault, engine.fault_until) = (Some(fault), until);
            }
        }
        if self.chance(self.profile.traffic.fleet_change) {
            self.change_an_engine();
        }
        // An engine that is down restarts from time to time, so that the fleet does not shrink permanently.
        let not_up = self.engines.values().find(|engine| engine.entry.readiness != Readiness::Up);
        if let Some(id) = not_up.map(|engine| engine.entry.engine).filter(|_| self.random.rand_float() < 0.2)
        {
            self.restart_engine(id);
        }
    }

    fn change_an_engine(&mut self) {
        let id = self.random_engine();
        match self.below(4) {
            0 => self.set_readiness(id, Readiness::Draining),
            1 => {
                self.set_readiness(id, Readiness::Gone);
                self.break_attempts(id);
            }
            2 => {
                self.restart_engine(id);
                self.break_attempts(id);
            }
            _ => self.send_engine_list(),
        }
    }

    fn set_readiness(&mut self, id: EngineId, readiness: Readiness) {
        let Some(engine) = self.engines.get_mut(&id) else { return };
        engine.entry.readiness = readiness;
        let entry = engine.entry;
        if self.chance(0.5) {
            self.handle_event(Event::EngineChanges(vec![entry]));
        } else {
            self.send_engine_list();
        }
    }

    /// Restarts the engine's process. The time of the start is not always reported.
    fn restart_engine(&mut self, id: EngineId) {
        let started = self.chance(0.7).then_some(self.now);
        if let Some(engine) = self.engines.get_mut(&id) {
            (engine.entry.started_at, engine.fault) = (started, None);
        }
        self.set_readiness(id, Readiness::Up);
    }

    /// Breaks the connections of all attempts on an engine whose process has ended.
    fn break_attempts(&mut self, engine: EngineId) {
        let mut broken = Vec::new();
        for (id, client) in &self.clients {
            let attempts = client.attempts.iter().enumerate();
            let in_flight = attempts.filter(|(_, attempt)| attempt.engine == engine && !attempt.ended);
            broken.extend(in_flight.map(|(at, _)| (id.clone(), AttemptNo(at))));
        }
        for (id, attempt) in broken {
            self.schedule(0.5, Scheduled::AttemptEnd(id, attempt, Outcome::Reset));
        }
    }

    fn probe(&mut self) {
        self.schedule(self.profile.traffic.probe_interval, Scheduled::Probe);
        let engine = self.random_engine();
        let outcome = match self.fault(engine) {
            Some(Fault::RefusesConnections) => Outcome::ConnectFailed,
            Some(Fault::Hangs) => Outcome::TimedOut,
            _ => Outcome::Served,
        };
        let load = self.load_report(engine).filter(|_| outcome == Outcome::Served);
        self.handle_event(Event::ProbeResult(engine, outcome, load));
    }

    // Settings and positions.

    fn change_settings(&mut self) {
        self.schedule(SETTINGS_CHANGE_INTERVAL, Scheduled::SettingsChange);
        self.settings = changed_settings(&self.profile.settings, &self.settings, self.settings_changes);
        self.settings_changes += 1;
        self.handle_event(Event::SettingsUpdated(Box::new(self.settings.clone())));
    }

    fn assign_position(&mut self) {
        self.schedule(ROSTER_INTERVAL, Scheduled::PositionAssignment);
        self.positions_assigned += 1;
        let dispatchers = self.profile.settings.dispatchers as u32;
        let ordinal = self.below(dispatchers as usize) as u32;
        let name = FleetPosition::NameKey(self.positions_assigned);
        let position = if self.chance(0.8) {
            FleetPosition::ordinal(ordinal, dispatchers).unwrap_or(name)
        } else {
            name
        };
        self.handle_event(Event::PositionAssigned(position, self.now + POSITION_LIFETIME));
    }

    // Unusual but legal events.

    fn random_client(&mut self) -> Option<RequestId> {
        let at = self.below(self.clients.len().max(1));
        self.clients.keys().nth(at).cloned()
    }

    fn handle_unusual_event(&mut self) {
        let unknown = RequestId(format!("unknown{}", self.arrivals).into());
        let existing = self.random_client().unwrap_or_else(|| unknown.clone());
        let no_attempt = AttemptNo(99);
        let engine = self.random_engine();
        let load = Some(LoadReport { in_flight: Some(3.0), ..LoadReport::default() });
        let end = AttemptEnd {
            id: unknown.clone(),
            attempt: AttemptNo(0),
            engine,
            outcome: Outcome::Served,
            finished: true,
            elapsed: 10.0,
            cost: None,
            load,
        };
        match self.below(13) {
            0 => self.handle_event(Event::AttemptEnded(end)),
            1 => self.handle_event(Event::AttemptEnded(AttemptEnd {
                id: existing,
                attempt: no_attempt,
                ..end
            })),
            2 => self.handle_event(Event::StreamingStarted(unknown, AttemptNo(0))),
            3 => self.handle_event(Event::Progress(existing, no_attempt, ProgressReport::Done(0.5))),
            4 => self.handle_event(Event::Progress(existing, AttemptNo(0), ProgressReport::Done(-0.5))),
            5 => self.handle_event(Event::Progress(unknown, AttemptNo(0), ProgressReport::Spills(1.0))),
            6 => self.handle_event(Event::ClientGone(unknown)),
            7 => self.handle_event(Event::Timer(TimerId(7))),
            8 => self.handle_event(Event::ProbeResult(EngineId(9_999), Outcome::Served, load)),
            9 => self.handle_event_at(
                (self.now - 5.0).max(0.0),
                Event::ProbeResult(engine, Outcome::Served, load),
            ),
            10 => self.handle_event(Event::EngineChanges(vec![])),
            11 => self.handle_unusable_requests(existing),
            _ => {
                let until = self.dispatcher.sendable_until(&unknown);
                self.recorder.sendable_until(until);
                self.handle_event(Event::PositionAssigned(FleetPosition::NameKey(5), self.now - 1.0));
            }
        }
    }

    /// Sends a request whose id is already in use, and one of a class that does not exist.
    fn handle_unusable_requests(&mut self, existing: RequestId) {
        let Some(client) = self.clients.get(&existing) else { return };
        let duplicate = client.new.clone();
        let id = RequestId(format!("no-class{}", self.arrivals).into());
        let no_class = NewRequest { id, class: ClassId(self.settings.classes.len()), ..duplicate.clone() };
        self.handle_event(Event::Request(duplicate));
        self.handle_event(Event::Request(no_class));
    }
}
