//! A small simulated embedder: clients, engines with faults, and a clock. It reacts to the module's actions as the proxy
//! does: sends become ends of attempts, progress reports and streams; cancels become outcomes a little later; timers come due.
//! All is drawn from one seed.

use std::collections::BTreeMap;
use std::path::Path;

use gaugestep_dispatch::Dispatcher;
use gaugestep_dispatch::interface::*;

use crate::encoding;
use crate::profiles::{Profile, changed_settings, engine_entry};
use crate::recorder::Recorder;

/// ms at least between two calls to serve pending requests, as the proxy makes them.
const RUN_PENDING_EVERY: Millis = 1.0;
/// ms between two looks at the fleet, which may begin a fault or change an engine.
const FLEET_LOOK_EVERY: Millis = 400.0;
/// ms between two changes of the settings.
const SETTINGS_CHANGE_EVERY: Millis = 6_000.0;
/// ms between two grants of a place by the roster, and for how long each holds: with a gap, so that places expire.
const ROSTER_EVERY: Millis = 5_000.0;
const ROSTER_HOLDS: Millis = 4_000.0;
/// ms after its deadline at which a client without an answer is given up by the embedder.
const OVERDUE_AFTER: Millis = 60.0;
/// Events between two queries for the number of engines avoided.
const AVOIDED_EVERY: u64 = 16;
/// The share of the stream after which the dispatcher learns that it closes, and ms from then to its end.
const CLOSING_AT: f64 = 0.7;
const CLOSING_WITHIN: Millis = 2_500.0;

/// The chance that an attempt turns out not to be sendable any more.
const UNSENDABLE: f64 = 0.005;

/// A trouble that an engine is in for a while.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    RefusesConnections,
    TurnsAway,
    BreaksConnections,
    Fails,
    Slow,
    Hangs,
}

const FAULTS: [Fault; 6] = [
    Fault::RefusesConnections,
    Fault::TurnsAway,
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
    /// The true work on one thread, and the true memory.
    cost: Cost,
    attempts: Vec<Attempt>,
    /// It has its answer, or left.
    over: bool,
}

/// What will happen at a time.
enum Planned {
    Arrival,
    AttemptEnd(RequestId, AttemptNo, Outcome),
    Progress(RequestId, AttemptNo, ProgressReport),
    StreamStart(RequestId, AttemptNo),
    ClientLeaves(RequestId),
    Timer(TimerId),
    RunPending,
    FleetLook,
    Probe,
    SettingsChange,
    RosterGrant,
}

/// One stream in the making.
pub struct Simulation {
    profile: Profile,
    settings: Settings,
    dispatcher: Dispatcher,
    random: oorandom::Rand64,
    now: Millis,
    /// What is planned, by the bits of its time (which order as the times do, being positive) and a running number.
    planned: BTreeMap<(u64, u64), Planned>,
    plans: u64,
    clients: BTreeMap<RequestId, Client>,
    engines: BTreeMap<EngineId, Engine>,
    arrivals: u64,
    settings_changes: u64,
    roster_grants: u64,
    pending_run_at: Millis,
    pending_run_planned: bool,
    closing_announced: bool,
    recorder: Recorder,
}

impl Simulation {
    /// Plays one stream of a profile to its end and returns what was recorded.
    pub fn play(profile: &Profile, seed: u64, trace: Option<&Path>) -> Recorder {
        let dispatcher =
            Dispatcher::new(profile.settings.clone(), seed).expect("the profile's settings are valid");
        let fleet = (0..profile.engines).map(engine_entry);
        let engine = |entry: EngineEntry| Engine { entry, fault: None, fault_until: 0.0 };
        let mut simulation = Simulation {
            settings: profile.settings.clone(),
            dispatcher,
            random: oorandom::Rand64::new(u128::from(seed) << 32 | 0x5eed),
            now: 0.0,
            planned: BTreeMap::new(),
            plans: 0,
            clients: BTreeMap::new(),
            engines: fleet.map(|entry| (entry.engine, engine(entry))).collect(),
            arrivals: 0,
            settings_changes: 0,
            roster_grants: 0,
            pending_run_at: 0.0,
            pending_run_planned: false,
            closing_announced: false,
            recorder: Recorder::new(trace),
            profile: profile.clone(),
        };
        simulation.start();
        simulation.run();
        simulation.recorder
    }

    fn start(&mut self) {
        self.send_engine_list();
        self.plan(1.0, Planned::Arrival);
        self.plan(FLEET_LOOK_EVERY, Planned::FleetLook);
        self.plan(self.profile.traffic.probe_gap, Planned::Probe);
        if self.profile.changes_settings {
            self.plan(SETTINGS_CHANGE_EVERY, Planned::SettingsChange);
        }
        if self.profile.has_roster {
            self.plan(1.0, Planned::RosterGrant);
        }
    }

    fn run(&mut self) {
        while self.recorder.events < self.profile.events {
            let Some(((time, _), planned)) = self.planned.pop_first() else { return };
            self.now = f64::from_bits(time);
            self.happen(planned);
            let closing = self.recorder.events as f64 >= CLOSING_AT * self.profile.events as f64;
            if closing && !self.closing_announced {
                self.closing_announced = true;
                self.handle_event(Event::ShutdownBy(self.now + CLOSING_WITHIN));
            }
        }
    }

    fn happen(&mut self, planned: Planned) {
        match planned {
            Planned::Arrival => self.arrival(),
            Planned::AttemptEnd(id, attempt, outcome) => self.attempt_ends(id, attempt, outcome),
            Planned::Progress(id, attempt, note) => self.progress(id, attempt, note),
            Planned::StreamStart(id, attempt) => self.stream_starts(id, attempt),
            Planned::ClientLeaves(id) => self.client_leaves(id),
            Planned::Timer(timer) => self.handle_event(Event::Timer(timer)),
            Planned::RunPending => {
                self.pending_run_planned = false;
                self.run_pending();
            }
            Planned::FleetLook => self.look_at_fleet(),
            Planned::Probe => self.probe(),
            Planned::SettingsChange => self.change_settings(),
            Planned::RosterGrant => self.grant_place(),
        }
    }

    // Random draws and plans.

    fn chance(&mut self, chance: f64) -> bool {
        self.random.rand_float() < chance
    }

    fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * self.random.rand_float()
    }

    fn below(&mut self, count: usize) -> usize {
        self.random.rand_range(0..count as u64) as usize
    }

    fn any_engine(&mut self) -> EngineId {
        EngineId(self.below(self.profile.engines as usize) as u32)
    }

    fn plan(&mut self, delay: Millis, planned: Planned) {
        self.plans += 1;
        self.planned.insert(((self.now + delay).to_bits(), self.plans), planned);
    }

    // Calls of the module.

    fn handle_event(&mut self, event: Event) {
        self.handle_event_at(self.now, event);
    }

    /// Hands an event to the module with a reading of the clock, and carries out what it wants done.
    fn handle_event_at(&mut self, now: Millis, event: Event) {
        let kind = encoding::event_kind(&event);
        self.recorder.count_content(&event);
        let mut actions = Vec::new();
        self.dispatcher.handle(now, event, &mut actions);
        self.recorder.event(now, kind, &actions);
        self.carry_out(actions);
        if self.recorder.events % AVOIDED_EVERY == 0 {
            self.recorder.avoided(self.dispatcher.ejected_count(self.now));
        }
        let open = self.clients.values().filter(|client| !client.over).count();
        self.recorder.coverage.most_open = self.recorder.coverage.most_open.max(open);
        self.run_pending_soon();
    }

    /// Serves pending requests now, or as soon as the last call is long enough ago.
    fn run_pending_soon(&mut self) {
        if self.now - self.pending_run_at >= RUN_PENDING_EVERY {
            self.run_pending();
        } else if !self.pending_run_planned {
            self.pending_run_planned = true;
            self.plan(self.pending_run_at + RUN_PENDING_EVERY - self.now, Planned::RunPending);
        }
    }

    fn run_pending(&mut self) {
        self.pending_run_at = self.now;
        let mut actions = Vec::new();
        self.dispatcher.run_pending(self.now, &mut actions);
        self.recorder.run_pending(self.now, &actions);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, engine } => self.send(id, engine),
                Action::Cancel { id, attempt } => self.cancel(id, attempt),
                Action::Reject { id, .. } | Action::Fail { id } => self.client_is_over(&id),
                Action::SetTimer { timer, delay } => self.plan(delay.max(0.0), Planned::Timer(timer)),
                Action::SetAttemptOptions { .. } | Action::Log(_) => {}
            }
        }
    }

    // Requests and attempts.

    fn arrival(&mut self) {
        let traffic = self.profile.traffic.clone();
        let gap = -traffic.arrival_gap * (1.0 - self.random.rand_float()).ln();
        self.plan(gap, Planned::Arrival);
        self.arrivals += 1;
        let id = RequestId(format!("r{}", self.arrivals).into());
        let class = self.below(self.settings.classes.len());
        let spread = self.random.rand_float();
        let work = traffic.work.0 * (traffic.work.1 / traffic.work.0).powf(spread);
        let memory_mb = self.between(10.0, 4_000.0);
        let patience = self.between(traffic.patience.0, traffic.patience.1);
        let hurried = self.chance(0.05);
        let due = self.now + if hurried { patience / 20.0 } else { patience };
        let estimate = if self.chance(0.2) { 0.0 } else { work * self.between(0.6, 1.6) };
        let tables = TableSetId(self.below(3) as u64);
        let key = self.chance(0.8).then(|| OrderKey(format!("k{}", self.below(4)).into()));
        let tenant = TenantId(self.below(self.settings.tenants.len() + 1));
        let stated_memory = if self.chance(0.2) { 0.0 } else { memory_mb * 0.8 };
        let new = NewRequest {
            id: id.clone(),
            class: ClassId(class),
            tenant,
            deadline: due,
            estimate,
            memory_mb: stated_memory,
            tables,
            order_key: key,
        };
        let cost = Cost { work, memory_mb };
        let client = Client { new: new.clone(), cost, attempts: Vec::new(), over: false };
        self.clients.insert(id.clone(), client);
        if self.chance(traffic.client_leaves) {
            let after = self.between(0.0, patience);
            self.plan(after, Planned::ClientLeaves(id.clone()));
        }
        self.plan(due - self.now + OVERDUE_AFTER, Planned::ClientLeaves(id));
        self.handle_event(Event::Request(new));
        if self.chance(traffic.odd_event) {
            self.handle_odd_event();
        }
    }

    fn send(&mut self, id: RequestId, engine: EngineId) {
        let until = self.dispatcher.sendable_until(&id);
        self.recorder.sendable_until(until);
        let unsendable = self.chance(UNSENDABLE);
        let dial = if self.chance(0.02) { self.between(50.0, 500.0) } else { self.between(0.1, 3.0) };
        let Some(client) = self.clients.get_mut(&id) else { return };
        let attempt = AttemptNo(client.attempts.len());
        client.attempts.push(Attempt { engine, sent: self.now, ended: false });
        if unsendable || client.over || self.now + dial > until {
            return self.plan(dial, Planned::AttemptEnd(id, attempt, Outcome::NotSent));
        }
        let due_in = (client.new.deadline - self.now).max(0.0);
        let work = client.cost.work / self.settings.classes[client.new.class.0].threads;
        let run = dial + self.run_time(work, engine);
        self.plan(due_in, Planned::AttemptEnd(id.clone(), attempt, Outcome::TimedOut));
        if let Some((outcome, after)) = self.fate(engine, run) {
            self.plan(after, Planned::AttemptEnd(id.clone(), attempt, outcome));
        }
        if self.chance(self.profile.traffic.progress) {
            self.plan_progress(&id, attempt, run);
        }
        if self.chance(self.profile.traffic.streamed) {
            self.plan(run * 0.9, Planned::StreamStart(id, attempt));
        }
    }

    /// How long a run of this work takes on the engine, at its present state.
    fn run_time(&mut self, work: Millis, engine: EngineId) -> Millis {
        let straggles = self.chance(self.profile.traffic.straggler);
        let scatter = self.between(0.7, 1.4);
        let factor = if straggles { self.between(8.0, 30.0) } else { 1.0 };
        let slow = if self.fault(engine) == Some(Fault::Slow) { 4.0 } else { 1.0 };
        work * scatter * factor * slow
    }

    /// How an attempt on the engine ends, and after how long; none if only the deadline ends it.
    fn fate(&mut self, engine: EngineId, run: Millis) -> Option<(Outcome, Millis)> {
        let soon = self.between(0.5, 20.0);
        let accident = self.random.rand_float();
        match self.fault(engine) {
            Some(Fault::RefusesConnections) => Some((Outcome::ConnectFailed, soon)),
            Some(Fault::TurnsAway) => Some((Outcome::Rejected, soon)),
            Some(Fault::BreaksConnections) => Some((Outcome::Reset, soon)),
            Some(Fault::Fails) => Some((Outcome::Failed, soon)),
            Some(Fault::Hangs) => None,
            Some(Fault::Slow) | None => match accident {
                it if it < 0.01 => Some((Outcome::Failed, run * 0.5)),
                it if it < 0.015 => Some((Outcome::Reset, run * 0.5)),
                it if it < 0.02 => Some((Outcome::ConnectFailed, soon)),
                it if it < 0.022 => Some((Outcome::Rejected, soon)),
                _ => Some((Outcome::Served, run)),
            },
        }
    }

    fn fault(&self, engine: EngineId) -> Option<Fault> {
        let engine = self.engines.get(&engine)?;
        engine.fault.filter(|_| self.now < engine.fault_until)
    }

    fn plan_progress(&mut self, id: &RequestId, attempt: AttemptNo, run: Millis) {
        for share in [0.05, 0.3, 0.6, 0.9] {
            let note = match self.below(8) {
                0 => ProgressReport::Spills(self.between(1.0, 500.0)),
                1 => ProgressReport::WaitsForMemory,
                2 => ProgressReport::WaitsForLoad,
                _ => ProgressReport::Done(share * self.between(0.7, 1.2)),
            };
            self.plan(run * share, Planned::Progress(id.clone(), attempt, note));
        }
    }

    fn cancel(&mut self, id: RequestId, attempt: AttemptNo) {
        // Some cancels are lost; then the run's own end or the deadline comes.
        if self.chance(0.95) {
            let after = if self.chance(0.1) { self.between(50.0, 800.0) } else { self.between(0.5, 15.0) };
            self.plan(after, Planned::AttemptEnd(id, attempt, Outcome::Cancelled));
        }
    }

    fn attempt_ends(&mut self, id: RequestId, number: AttemptNo, outcome: Outcome) {
        let repeated = self.chance(0.02);
        let Some(client) = self.clients.get_mut(&id) else { return };
        let attempt = &mut client.attempts[number.0];
        if attempt.ended && !repeated {
            return;
        }
        attempt.ended = true;
        let (engine, sent) = (attempt.engine, attempt.sent);
        client.over |= outcome == Outcome::Served;
        let (finished, cost) = (client.over, client.cost);
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
        self.forget_if_done(&id);
    }

    fn load_report(&mut self, engine: EngineId) -> Option<LoadReport> {
        if !self.chance(self.profile.traffic.load_report) {
            return None;
        }
        let attempts = self.clients.values().flat_map(|client| &client.attempts);
        let own = attempts.filter(|attempt| !attempt.ended && attempt.engine == engine).count();
        let others = if self.settings.dispatchers > 1 { self.below(6) } else { 0 };
        let held = (own + others) as f64;
        Some(LoadReport {
            in_flight: self.chance(0.9).then_some(held),
            queued: self.chance(0.5).then_some((held - 8.0).max(0.0)),
            core_utilization: self.chance(0.5).then_some((held / 8.0).min(1.0)),
            memory_utilization: self.chance(0.5).then_some((held / 16.0).min(1.0)),
        })
    }

    fn progress(&mut self, id: RequestId, attempt: AttemptNo, note: ProgressReport) {
        let Some(client) = self.clients.get(&id) else { return };
        if !client.attempts[attempt.0].ended {
            self.handle_event(Event::Progress(id, attempt, note));
        }
    }

    fn stream_starts(&mut self, id: RequestId, attempt: AttemptNo) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if !client.over && !client.attempts[attempt.0].ended {
            client.over = true;
            self.handle_event(Event::StreamingStarted(id, attempt));
        }
    }

    fn client_leaves(&mut self, id: RequestId) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if !client.over {
            client.over = true;
            self.handle_event(Event::ClientGone(id.clone()));
            self.forget_if_done(&id);
        }
    }

    fn client_is_over(&mut self, id: &RequestId) {
        if let Some(client) = self.clients.get_mut(id) {
            client.over = true;
        }
        self.forget_if_done(id);
    }

    /// Forgets a client that has its answer and no attempt out.
    fn forget_if_done(&mut self, id: &RequestId) {
        let done = |client: &Client| client.over && client.attempts.iter().all(|attempt| attempt.ended);
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

    fn look_at_fleet(&mut self) {
        self.plan(FLEET_LOOK_EVERY, Planned::FleetLook);
        if self.chance(self.profile.traffic.fault_spell) {
            let id = self.any_engine();
            let fault = FAULTS[self.below(FAULTS.len())];
            let until = self.now + self.between(300.0, self.profile.traffic.longest_spell);
            if let Some(engine) = self.engines.get_mut(&id) {
                (engine.fault, engine.fault_until) = (Some(fault), until);
            }
        }
        if self.chance(self.profile.traffic.fleet_change) {
            self.change_an_engine();
        }
        // Whatever happened, an engine comes back now and then, so that the fleet does not shrink for good.
        let away = self.engines.values().find(|engine| engine.entry.readiness != Readiness::Up);
        if let Some(id) = away.map(|engine| engine.entry.engine).filter(|_| self.random.rand_float() < 0.2) {
            self.restart_engine(id);
        }
    }

    fn change_an_engine(&mut self) {
        let id = self.any_engine();
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

    /// Puts a fresh process in the engine's place; its start is not always reported.
    fn restart_engine(&mut self, id: EngineId) {
        let started = self.chance(0.7).then_some(self.now);
        if let Some(engine) = self.engines.get_mut(&id) {
            (engine.entry.started_at, engine.fault) = (started, None);
        }
        self.set_readiness(id, Readiness::Up);
    }

    /// Breaks the connections of all attempts on an engine whose process is gone.
    fn break_attempts(&mut self, engine: EngineId) {
        let mut broken = Vec::new();
        for (id, client) in &self.clients {
            let attempts = client.attempts.iter().enumerate();
            let live = attempts.filter(|(_, attempt)| attempt.engine == engine && !attempt.ended);
            broken.extend(live.map(|(at, _)| (id.clone(), AttemptNo(at))));
        }
        for (id, attempt) in broken {
            self.plan(0.5, Planned::AttemptEnd(id, attempt, Outcome::Reset));
        }
    }

    fn probe(&mut self) {
        self.plan(self.profile.traffic.probe_gap, Planned::Probe);
        let engine = self.any_engine();
        let outcome = match self.fault(engine) {
            Some(Fault::RefusesConnections) => Outcome::ConnectFailed,
            Some(Fault::Hangs) => Outcome::TimedOut,
            _ => Outcome::Served,
        };
        let load = self.load_report(engine).filter(|_| outcome == Outcome::Served);
        self.handle_event(Event::ProbeResult(engine, outcome, load));
    }

    // Settings and places.

    fn change_settings(&mut self) {
        self.plan(SETTINGS_CHANGE_EVERY, Planned::SettingsChange);
        self.settings = changed_settings(&self.profile.settings, &self.settings, self.settings_changes);
        self.settings_changes += 1;
        self.handle_event(Event::SettingsUpdated(Box::new(self.settings.clone())));
    }

    fn grant_place(&mut self) {
        self.plan(ROSTER_EVERY, Planned::RosterGrant);
        self.roster_grants += 1;
        let dispatchers = self.profile.settings.dispatchers as u32;
        let ordinal = self.below(dispatchers as usize) as u32;
        let name = FleetPosition::NameKey(self.roster_grants);
        let place = if self.chance(0.8) {
            FleetPosition::ordinal(ordinal, dispatchers).unwrap_or(name)
        } else {
            name
        };
        self.handle_event(Event::PositionAssigned(place, self.now + ROSTER_HOLDS));
    }

    // Odd events that are legal all the same.

    fn any_client(&mut self) -> Option<RequestId> {
        let at = self.below(self.clients.len().max(1));
        self.clients.keys().nth(at).cloned()
    }

    fn handle_odd_event(&mut self) {
        let unknown = RequestId(format!("unknown{}", self.arrivals).into());
        let known = self.any_client().unwrap_or_else(|| unknown.clone());
        let no_attempt = AttemptNo(99);
        let engine = self.any_engine();
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
            1 => self.handle_event(Event::AttemptEnded(AttemptEnd { id: known, attempt: no_attempt, ..end })),
            2 => self.handle_event(Event::StreamingStarted(unknown, AttemptNo(0))),
            3 => self.handle_event(Event::Progress(known, no_attempt, ProgressReport::Done(0.5))),
            4 => self.handle_event(Event::Progress(known, AttemptNo(0), ProgressReport::Done(-0.5))),
            5 => self.handle_event(Event::Progress(unknown, AttemptNo(0), ProgressReport::Spills(1.0))),
            6 => self.handle_event(Event::ClientGone(unknown)),
            7 => self.handle_event(Event::Timer(TimerId(7))),
            8 => self.handle_event(Event::ProbeResult(EngineId(9_999), Outcome::Served, load)),
            9 => self.handle_event_at(
                (self.now - 5.0).max(0.0),
                Event::ProbeResult(engine, Outcome::Served, load),
            ),
            10 => self.handle_event(Event::EngineChanges(vec![])),
            11 => self.handle_unusable_requests(known),
            _ => {
                let until = self.dispatcher.sendable_until(&unknown);
                self.recorder.sendable_until(until);
                self.handle_event(Event::PositionAssigned(FleetPosition::NameKey(5), self.now - 1.0));
            }
        }
    }

    /// A request whose id is in use already, and one of a class that does not exist.
    fn handle_unusable_requests(&mut self, known: RequestId) {
        let Some(client) = self.clients.get(&known) else { return };
        let again = client.new.clone();
        let id = RequestId(format!("no-class{}", self.arrivals).into());
        let no_class = NewRequest { id, class: ClassId(self.settings.classes.len()), ..again.clone() };
        self.handle_event(Event::Request(again));
        self.handle_event(Event::Request(no_class));
    }
}
