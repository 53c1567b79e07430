//! Test helpers: settings and events with defaults, and a dispatcher with a simulated clock.
#![allow(dead_code, reason = "each test program uses some of the helpers")]

use gaugestep_dispatch::interface::*;
use gaugestep_dispatch::{Action, Dispatcher, Event, Settings};

pub fn class(idempotency: Idempotency, threads: f64) -> ClassSettings {
    ClassSettings {
        idempotency,
        priority_weight: 1.0,
        late_fraction: 0.5,
        target_latency: 4_000.0,
        target_stretch: 2.0,
        threads,
        ordered: false,
        locks_tables: false,
        waits_for_loads: false,
        zones: None,
        machine_types: None,
    }
}

pub fn settings(classes: Vec<ClassSettings>) -> Settings {
    Settings {
        classes,
        machine_types: vec![MachineTypeSettings { cores: 8.0, memory_mb: 16_384.0 }],
        tenants: vec![],
        dispatchers: 1,
        fleet_position: FleetPosition::NameKey(1),
        zone: ZoneId(0),
        max_open: 20_000,
        max_attempts: 4,
        concurrent_attempts: false,
        cancellation: true,
        memory_queueing: false,
        memory_grants: true,
        priorities: true,
        over_quota_weight_factor: 0.1,
        cross_zone_penalty: 0.0,
        response_slack: 20.0,
        slow_start: SlowStartSettings {
            initial_fraction: 0.3,
            warm_up_ms: 14_000.0,
            capacity_multiple: 3.0,
            window_ms: 1_500.0,
        },
        order_pause: 500.0,
        retry_budget: None,
        max_retry_after: 500.0,
        routes: vec![],
    }
}

pub fn entry(engine: u32) -> EngineEntry {
    EngineEntry {
        engine: EngineId(engine),
        zone: ZoneId(0),
        machine_type: MachineTypeId(0),
        cell: CellId(0),
        readiness: Readiness::Up,
        started_at: None,
        name_key: gaugestep_subsetting::key(&engine.to_string()),
    }
}

pub fn id(number: u32) -> RequestId {
    RequestId(format!("request-{number:08}").into())
}

pub fn request(number: u32, class: usize, deadline: Millis) -> NewRequest {
    NewRequest {
        id: id(number),
        class: ClassId(class),
        tenant: TenantId(0),
        deadline,
        estimate: 1_000.0,
        memory_mb: 100.0,
        tables: TableSetId(0),
        order_key: None,
    }
}

/// A dispatcher with a simulated clock, to which tests pass one event after the other.
pub struct Harness {
    pub dispatcher: Dispatcher,
    pub now: Millis,
}

impl Harness {
    pub fn new(settings: Settings, engines: u32) -> Harness {
        let mut harness =
            Harness { dispatcher: Dispatcher::new(settings, 7).expect("the settings are valid"), now: 0.0 };
        harness.handle(Event::EngineList((0..engines).map(entry).collect()));
        harness
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        actions
    }

    /// Advances the clock in steps of 10 ms with a timer event after each, and returns all actions.
    pub fn advance(&mut self, duration: Millis) -> Vec<Action> {
        let end = self.now + duration;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + 10.0).min(end);
            actions.extend(self.handle(Event::Timer(TimerId(0))));
        }
        actions
    }

    pub fn arrive(&mut self, new: NewRequest) -> Vec<Action> {
        self.handle(Event::Request(new))
    }

    /// Reports the end of an attempt that lasted `elapsed` ms, without its cost or a load report. Does not
    /// advance the clock.
    pub fn end(
        &mut self,
        number: u32,
        attempt: usize,
        engine: EngineId,
        outcome: Outcome,
        elapsed: f64,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptEnd {
            id: id(number),
            attempt: AttemptNo(attempt),
            engine,
            outcome,
            finished: outcome == Outcome::Served,
            elapsed,
            cost: None,
            load: None,
        }))
    }

    /// Sends one request of `class`, which an engine serves after `run_time`.
    pub fn serve(&mut self, number: u32, class: usize, run_time: Millis) {
        let sent = sends(&self.arrive(request(number, class, self.now + 60_000.0)));
        let engine = *sent.first().expect("an idle fleet gets the request at once");
        self.now += run_time;
        self.end(number, 0, engine, Outcome::Served, run_time);
    }
}

pub fn sends(actions: &[Action]) -> Vec<EngineId> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Send { engine, .. } => Some(*engine),
            _ => None,
        })
        .collect()
}

pub fn cancels(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Cancel { .. })).count()
}

pub fn rejections(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Reject { .. })).count()
}

pub fn failures(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Fail { .. })).count()
}
