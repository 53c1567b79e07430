//! The profiles: settings, fleet and traffic that the generated streams are drawn from.

use std::collections::BTreeMap;

use gaugestep_dispatch::interface::*;

/// The parameters from which a stream is generated.
#[derive(Clone)]
pub struct Profile {
    /// The name of the profile in the golden file.
    pub name: &'static str,
    /// The initial settings.
    pub settings: Settings,
    /// The number of engines on the first list.
    pub engines: u32,
    /// The traffic and the faults.
    pub traffic: Traffic,
    /// Whether the settings change during the stream.
    pub changes_settings: bool,
    /// Whether a roster assigns the dispatcher's position in the fleet.
    pub has_roster: bool,
    /// The number of events in one stream.
    pub events: u64,
}

/// The traffic and the faults. Probabilities are from 0 to 1, times in ms.
#[derive(Clone)]
pub struct Traffic {
    /// The mean time between two arrivals.
    pub mean_arrival_interval: Millis,
    /// The time between two probes of an engine.
    pub probe_interval: Millis,
    /// The shortest and the longest work of a request.
    pub work: (Millis, Millis),
    /// The shortest and the longest time that a client waits for its response.
    pub time_budget: (Millis, Millis),
    /// The probability that a run takes many times its usual time.
    pub straggler: f64,
    /// The probability that an engine gets a fault, at each change of the fleet.
    pub fault: f64,
    /// The longest duration of a fault.
    pub max_fault_duration: Millis,
    /// The probability that an engine is drained, removed or restarted or that the list is sent again, at
    /// each change of the fleet.
    pub fleet_change: f64,
    /// The probability that the end of an attempt or a probe carries a load report.
    pub load_report: f64,
    /// The probability that a response carries the true cost.
    pub cost_report: f64,
    /// The probability that an attempt sends progress reports.
    pub progress: f64,
    /// The probability that a client disconnects before its response.
    pub client_disconnects: f64,
    /// The probability that a response is streamed.
    pub streamed: f64,
    /// The probability, for each arrival, that an unusual but legal event follows.
    pub unusual_event: f64,
}

const DEFAULT_TRAFFIC: Traffic = Traffic {
    mean_arrival_interval: 60.0,
    probe_interval: 150.0,
    work: (50.0, 1_500.0),
    time_budget: (4_000.0, 20_000.0),
    straggler: 0.05,
    fault: 0.1,
    max_fault_duration: 5_000.0,
    fleet_change: 0.05,
    load_report: 0.6,
    cost_report: 0.5,
    progress: 0.3,
    client_disconnects: 0.03,
    streamed: 0.05,
    unusual_event: 0.05,
};

/// The numbers by which an engine's zone, cell and machine type follow from its id.
const ZONES: u32 = 3;
const ENGINES_PER_CELL: u32 = 2;
const MACHINE_TYPES: u32 = 2;

/// An engine's entry of the list while it accepts attempts.
pub fn engine_entry(engine: u32) -> EngineEntry {
    EngineEntry {
        engine: EngineId(engine),
        zone: ZoneId((engine % ZONES) as usize),
        machine_type: MachineTypeId((engine / ZONES % MACHINE_TYPES) as usize),
        cell: CellId(u64::from(engine / ENGINES_PER_CELL)),
        readiness: Readiness::Up,
        started_at: None,
        name_key: gaugestep_subsetting::key(&format!("engine-{engine}")),
    }
}

fn class(idempotency: Idempotency, threads: f64) -> ClassSettings {
    ClassSettings {
        idempotency,
        priority_weight: 1.0,
        late_fraction: 0.5,
        target_latency: 2_000.0,
        target_stretch: 2.0,
        threads,
        ordered: false,
        locks_tables: false,
        waits_for_loads: false,
        zones: None,
        machine_types: None,
    }
}

fn settings(classes: Vec<ClassSettings>) -> Settings {
    Settings {
        classes,
        machine_types: vec![
            MachineTypeSettings { cores: 8.0, memory_mb: 16_384.0 },
            MachineTypeSettings { cores: 4.0, memory_mb: 8_192.0 },
        ],
        tenants: vec![],
        dispatchers: 2,
        fleet_position: FleetPosition::NameKey(11),
        zone: ZoneId(0),
        max_open: 20_000,
        max_attempts: 4,
        concurrent_attempts: false,
        cancellation: true,
        memory_grants: false,
        memory_queueing: false,
        priorities: false,
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

fn two_classes() -> Vec<ClassSettings> {
    vec![
        class(Idempotency::Safe, 1.0),
        ClassSettings {
            priority_weight: 3.0,
            target_latency: 500.0,
            late_fraction: 0.0,
            ..class(Idempotency::Safe, 2.0)
        },
    ]
}

/// Classes of each idempotency and with each placement constraint; two of them are ordered.
fn classes_of_all_kinds() -> Vec<ClassSettings> {
    let keyed = |group, window| class(Idempotency::Keyed(group, window), 1.0);
    vec![
        class(Idempotency::Safe, 1.0),
        keyed(DedupGroup::All, 3_000.0),
        keyed(DedupGroup::Zone, 1_500.0),
        keyed(DedupGroup::Cell, 2_500.0),
        class(Idempotency::Unsafe, 1.0),
        ClassSettings { ordered: true, ..class(Idempotency::Unsafe, 1.0) },
        ClassSettings { ordered: true, ..keyed(DedupGroup::All, 4_000.0) },
        ClassSettings { zones: Some(vec![ZoneId(1)]), ..class(Idempotency::Safe, 2.0) },
        ClassSettings { machine_types: Some(vec![MachineTypeId(1)]), ..class(Idempotency::Safe, 1.0) },
    ]
}

/// A class of loads that lock tables, one of queries that wait for loads, and one without either.
fn classes_with_loads() -> Vec<ClassSettings> {
    vec![
        class(Idempotency::Safe, 1.0),
        ClassSettings { locks_tables: true, ..class(Idempotency::Keyed(DedupGroup::All, 10_000.0), 2.0) },
        ClassSettings { waits_for_loads: true, priority_weight: 2.0, ..class(Idempotency::Safe, 4.0) },
    ]
}

/// All profiles in the order of the golden file.
pub fn profiles() -> Vec<Profile> {
    vec![
        few_dispatchers(),
        effects_and_order(),
        memory_and_loads(),
        tenants_budget_and_routes(),
        concurrent_attempts(),
        no_cancellation(),
        warming_fleet(),
        many_dispatchers(),
        many_dispatchers_without_reports(),
        outages(),
        low_open_limit(),
        sparse_traffic(),
        one_class(),
        overload(),
        overload_many_dispatchers(),
    ]
}

fn default_profile(name: &'static str, settings: Settings, engines: u32) -> Profile {
    let traffic = DEFAULT_TRAFFIC;
    Profile { name, settings, engines, traffic, changes_settings: true, has_roster: false, events: 5_000 }
}

fn few_dispatchers() -> Profile {
    let settings = Settings { priorities: true, cross_zone_penalty: 0.05, ..settings(two_classes()) };
    default_profile("few_dispatchers", settings, 8)
}

fn effects_and_order() -> Profile {
    let budget = RetryBudgetSettings { min_retries: 3.0, ratio: 0.2, window: 5_000.0 };
    let settings =
        Settings { retry_budget: Some(budget), max_attempts: 3, ..settings(classes_of_all_kinds()) };
    default_profile("effects_and_order", settings, 9)
}

fn memory_and_loads() -> Profile {
    let settings = Settings {
        memory_grants: true,
        memory_queueing: true,
        priorities: true,
        dispatchers: 1,
        ..settings(classes_with_loads())
    };
    default_profile("memory_and_loads", settings, 6)
}

fn tenants_budget_and_routes() -> Profile {
    let route = |classes: Vec<usize>, tenants: Option<Vec<usize>>, engines: Option<&[(u32, f64)]>| Route {
        classes: Some(classes.into_iter().map(ClassId).collect()),
        tenants: tenants.map(|tenants| tenants.into_iter().map(TenantId).collect()),
        engines: engines
            .map(|engines| BTreeMap::from_iter(engines.iter().map(|(id, weight)| (EngineId(*id), *weight)))),
    };
    let settings = Settings {
        memory_grants: true,
        tenants: [4.0, 1.0, 0.0].map(|quota_per_s| TenantSettings { quota_per_s }).to_vec(),
        retry_budget: Some(RetryBudgetSettings { min_retries: 1.0, ratio: 0.1, window: 10_000.0 }),
        routes: vec![
            route(vec![1], Some(vec![0]), Some(&[(0, 1.0), (1, 3.0), (4, 0.5)])),
            route(vec![1], None, Some(&[(2, 1.0), (3, 1.0), (5, 0.0)])),
            route(vec![0], Some(vec![2]), None),
        ],
        ..settings(two_classes())
    };
    default_profile("tenants_budget_and_routes", settings, 7)
}

fn concurrent_attempts() -> Profile {
    let settings = Settings {
        concurrent_attempts: true,
        priorities: true,
        dispatchers: 3,
        max_attempts: 3,
        ..settings(two_classes())
    };
    let profile = default_profile("second_copies", settings, 8);
    Profile { traffic: Traffic { straggler: 0.15, ..DEFAULT_TRAFFIC }, ..profile }
}

fn no_cancellation() -> Profile {
    let settings = Settings { cancellation: false, max_retry_after: 0.0, ..settings(classes_of_all_kinds()) };
    default_profile("no_cancelling", settings, 6)
}

fn warming_fleet() -> Profile {
    let slow_start = SlowStartSettings {
        initial_fraction: 0.1,
        warm_up_ms: 20_000.0,
        capacity_multiple: 2.5,
        window_ms: 2_000.0,
    };
    let settings = Settings { slow_start, dispatchers: 4, ..settings(two_classes()) };
    let traffic = Traffic { fleet_change: 0.3, mean_arrival_interval: 40.0, ..DEFAULT_TRAFFIC };
    Profile { traffic, has_roster: true, ..default_profile("cold_fleet", settings, 8) }
}

fn many_dispatchers() -> Profile {
    let settings = Settings {
        dispatchers: 60,
        cross_zone_penalty: 0.02,
        priorities: true,
        ..settings(classes_of_all_kinds())
    };
    Profile { has_roster: true, ..default_profile("many_dispatchers", settings, 24) }
}

fn many_dispatchers_without_reports() -> Profile {
    let settings = Settings { dispatchers: 12, ..settings(two_classes()) };
    let traffic = Traffic { load_report: 0.0, fleet_change: 0.15, ..DEFAULT_TRAFFIC };
    Profile { traffic, ..default_profile("many_dispatchers_without_reports", settings, 20) }
}

/// Two engines with frequent faults and clients with short waits, so that requests are queued until their
/// deadline.
fn outages() -> Profile {
    let settings = Settings { priorities: true, dispatchers: 1, ..settings(two_classes()) };
    let traffic = Traffic {
        work: (5.0, 40.0),
        time_budget: (100.0, 1_500.0),
        fault: 0.2,
        max_fault_duration: 40_000.0,
        fleet_change: 0.02,
        ..DEFAULT_TRAFFIC
    };
    Profile { traffic, ..default_profile("outages", settings, 2) }
}

/// The limit of open requests is below the capacity of the engines, so that the last part of the limit is
/// reached, in which only requests of the highest priority are sent.
fn low_open_limit() -> Profile {
    let settings = Settings { priorities: true, max_open: 20, ..settings(two_classes()) };
    let traffic = Traffic { mean_arrival_interval: 25.0, work: (100.0, 3_000.0), ..DEFAULT_TRAFFIC };
    Profile { traffic, ..default_profile("low_open_limit", settings, 8) }
}

/// So few requests that what is learned of a class expires between them.
fn sparse_traffic() -> Profile {
    let settings = Settings { priorities: true, ..settings(two_classes()) };
    let traffic = Traffic {
        mean_arrival_interval: 10_000.0,
        probe_interval: 3_000.0,
        work: (200.0, 3_000.0),
        time_budget: (300.0, 3_000.0),
        ..DEFAULT_TRAFFIC
    };
    Profile { traffic, changes_settings: false, ..default_profile("sparse_traffic", settings, 3) }
}

/// So many requests of one class, under the same settings, that its oldest runs are dropped from the history.
fn one_class() -> Profile {
    let settings = settings(vec![class(Idempotency::Safe, 1.0)]);
    let traffic = Traffic { progress: 0.1, probe_interval: 1_000.0, ..DEFAULT_TRAFFIC };
    Profile { traffic, changes_settings: false, events: 9_000, ..default_profile("one_class", settings, 6) }
}

/// Several times as much traffic as the fleet can serve, so that several hundred requests are open.
fn overload_traffic() -> Traffic {
    Traffic {
        mean_arrival_interval: 4.0,
        work: (500.0, 4_000.0),
        time_budget: (2_000.0, 9_000.0),
        ..DEFAULT_TRAFFIC
    }
}

fn overload() -> Profile {
    let settings = Settings {
        max_open: 330,
        priorities: true,
        memory_grants: true,
        tenants: [5.0, 50.0].map(|quota_per_s| TenantSettings { quota_per_s }).to_vec(),
        ..settings(two_classes())
    };
    let profile = default_profile("overload", settings, 6);
    Profile { traffic: overload_traffic(), changes_settings: false, events: 1_000, ..profile }
}

fn overload_many_dispatchers() -> Profile {
    let settings = Settings { max_open: 330, dispatchers: 30, ..settings(two_classes()) };
    let profile = default_profile("overload_many_dispatchers", settings, 10);
    Profile { traffic: overload_traffic(), has_roster: true, events: 1_000, ..profile }
}

/// The settings after the `number`th change. Each change concerns another part and starts from the initial
/// settings, except that changes of classes accumulate. Classes are never removed, because requests of them
/// may be open.
pub fn changed_settings(initial: &Settings, current: &Settings, number: u64) -> Settings {
    let mut next = Settings { classes: current.classes.clone(), ..initial.clone() };
    match number % 8 {
        0 => next.classes[0].target_latency += 250.0,
        1 => next.dispatchers = if initial.dispatchers > 4 { 2 } else { 9 },
        2 => next.classes.push(ClassSettings { priority_weight: 0.5, ..class(Idempotency::Safe, 1.0) }),
        3 => next.concurrent_attempts = !initial.concurrent_attempts,
        4 => next.max_attempts = 2,
        5 => next.tenants.push(TenantSettings { quota_per_s: 2.0 }),
        6 => next.retry_budget = Some(RetryBudgetSettings { min_retries: 0.0, ratio: 0.05, window: 3_000.0 }),
        _ => {
            next.cancellation = !initial.cancellation;
            next.priorities = !initial.priorities;
        }
    }
    next
}
