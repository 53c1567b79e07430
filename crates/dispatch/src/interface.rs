//! The types that go in and out of the decision module: settings, events and actions.
//!
//! Times are milliseconds on one clock of the embedder's choosing that never goes backwards.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

pub use gaugestep_subsetting::position::FleetPosition;
pub use gaugestep_subsetting::slow_start::SlowStartSettings;
pub use gaugestep_subsetting::subset::Member;

/// A point on the embedder's clock, or a span of it, in milliseconds.
pub type Millis = f64;

/// The name of one request; never used twice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

/// An engine, the same number at every dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub u32);

/// A class of requests: its position in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// A tenant: its position in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// A zone of the deployment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub usize);

/// A kind of machine: its position in [`Settings::machines`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineId(pub usize);

/// A group of engines that share which keyed requests they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u64);

/// A group of tables that a query reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TablesId(pub u64);

/// The key under which requests of an ordered class take turns.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey(pub Arc<str>);

/// The number of an attempt of one request, counted from 0 in the order of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNo(pub usize);

/// A timer that the module asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId(pub u64);

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// It may be repeated freely.
    Safe,
    /// The engines of this group drop repeats within the window.
    Keyed(DedupGroup, Millis),
    /// It must never run twice.
    Unsafe,
}

/// Which engines drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// Every engine.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

impl DedupGroup {
    /// Whether two engines are in one group.
    pub fn has_both(self, one: &EngineEntry, other: &EngineEntry) -> bool {
        match self {
            DedupGroup::All => true,
            DedupGroup::Zone => one.zone == other.zone,
            DedupGroup::Cell => one.cell == other.cell,
        }
    }
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// What a repeat would do.
    pub effect: Effect,
    /// The worth of an answer within the aim.
    pub priority_weight: f64,
    /// The share of the worth that an answer after the aim keeps.
    pub late_fraction: f64,
    /// An answer within this time is worth the full amount.
    pub target_latency: Millis,
    /// The aim grows by this times the true work over the threads.
    pub target_stretch: f64,
    /// Threads that a query runs on.
    pub threads: f64,
    /// True if requests of one key must run in turn.
    pub ordered: bool,
    /// True if it holds its tables on its engine while it runs.
    pub locks_tables: bool,
    /// True if it stands still while a load holds its tables.
    pub waits_for_loads: bool,
    /// The only zones it may be sent to, if it is bound.
    pub zones: Option<Vec<ZoneId>>,
    /// The only kinds of machine it may be sent to, if it is bound.
    pub machines: Option<Vec<MachineId>>,
}

impl ClassSettings {
    /// Whether it may be sent to some zones or machines only.
    pub fn is_bound(&self) -> bool {
        self.zones.is_some() || self.machines.is_some()
    }
}

/// One kind of machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineSettings {
    /// Cores of one engine.
    pub cores: f64,
    /// Memory of one engine in MB; 0 if not told.
    pub memory_mb: f64,
}

/// One tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantSettings {
    /// Requests a second within its share, over all dispatchers; 0 if not told.
    pub quota_per_s: f64,
}

/// The budget for attempts beyond a request's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Further attempts allowed in any span, however light the traffic.
    pub min_retries: f64,
    /// Further attempts allowed for each request accepted in the span.
    pub ratio: f64,
    /// The span.
    pub window: Millis,
}

/// Where requests of some classes and tenants may go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The classes that it holds for; all, if none are named.
    pub classes: Option<Vec<ClassId>>,
    /// The tenants that it holds for; all, if none are named.
    pub tenants: Option<Vec<TenantId>>,
    /// The engines, with their part against each other; any engine, if none are named.
    pub engines: Option<BTreeMap<EngineId, f64>>,
}

/// Everything a dispatcher is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes of requests.
    pub classes: Vec<ClassSettings>,
    /// The kinds of machine.
    pub machines: Vec<MachineSettings>,
    /// The tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// How many dispatchers there are.
    pub dispatchers: usize,
    /// Where this one stands among them.
    pub fleet_position: FleetPosition,
    /// The zone that this one stands in.
    pub zone: ZoneId,
    /// Requests that may be open together; of more, those worth least for their work are refused.
    pub max_open: usize,
    /// Attempts allowed for one request.
    pub max_attempts: usize,
    /// True if two attempts of one request may be out together.
    pub concurrent_attempts: bool,
    /// True if attempts may be cancelled.
    pub cancellation: bool,
    /// True if the engines heed a memory grant.
    pub memory_grants: bool,
    /// True if queries wait in line on an engine whose memory is granted, rather than run with less.
    pub memory_queueing: bool,
    /// True if the engines heed a priority.
    pub priorities: bool,
    /// What a request beyond its tenant's share is worth, as a fraction.
    pub over_quota_weight: f64,
    /// Points lost for attempts that cross zones, as a share of first tries.
    pub cross_zone_price: f64,
    /// A final answer this long after the deadline still counts.
    pub answer_slack: Millis,
    /// What a freshly started engine can bear.
    pub slow_start: SlowStartSettings,
    /// How long a key rests after an attempt that might still be running.
    pub order_pause: Millis,
    /// The budget of further attempts, if one is stated.
    pub retry_budget: Option<RetryBudgetSettings>,
    /// The longest wait before a retry that clients honour; 0 if they are not told.
    pub max_retry_after: Millis,
    /// Where requests may go: the first route that holds for one decides; without any, all engines are alike.
    pub routes: Vec<Route>,
}

impl Settings {
    /// An engine's part in serving the request, against other engines; 0 if it may not serve it.
    pub fn weight(&self, new: &NewRequest, engine: EngineId) -> f64 {
        let holds = |route: &&Route| {
            route.classes.as_ref().is_none_or(|classes| classes.contains(&new.class))
                && route.tenants.as_ref().is_none_or(|tenants| tenants.contains(&new.tenant))
        };
        match self.routes.iter().find(holds).and_then(|route| route.engines.as_ref()) {
            Some(engines) => engines.get(&engine).copied().unwrap_or(0.0),
            None => 1.0,
        }
    }

    /// An engine's machine; one of a kind that is not named is taken for the smallest.
    pub fn machine(&self, entry: &EngineEntry) -> MachineSettings {
        let smallest = MachineSettings { cores: 1.0, memory_mb: 0.0 };
        self.machines.get(entry.machine.0).copied().unwrap_or(smallest)
    }

    /// The key under which a request takes turns, if its class is ordered.
    pub fn order_key<'a>(&self, new: &'a NewRequest) -> Option<&'a OrderKey> {
        new.key.as_ref().filter(|_| self.class(new).ordered)
    }

    /// The settings of a request's class.
    pub fn class(&self, new: &NewRequest) -> &ClassSettings {
        &self.classes[new.class.0]
    }

    /// Whether they can be used; the error names the field at fault.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let settings = self;
        let fail = |field, reason| Err(SettingsError { field, reason });
        let time = |value: f64| value.is_finite() && value >= 0.0;
        if settings.classes.is_empty() {
            return fail("classes", "must not be empty");
        }
        let times = [
            ("answer_slack", settings.answer_slack),
            ("cold.warm_within", settings.slow_start.warm_up),
            ("cold.span", settings.slow_start.window),
            ("order_pause", settings.order_pause),
            ("max_retry_after", settings.max_retry_after),
            ("budget.span", settings.retry_budget.map_or(0.0, |budget| budget.window)),
        ];
        for (field, value) in times {
            if !time(value) {
                return fail(field, "must be a finite time of 0 or more");
            }
        }
        if settings.dispatchers == 0 {
            return fail("dispatchers", "must be 1 or more");
        }
        if !(0.0..=1.0).contains(&settings.slow_start.initial_share) {
            return fail("cold.share", "must lie between 0 and 1");
        }
        if !time(settings.slow_start.capacity_multiple) {
            return fail("cold.multiple", "must be finite and 0 or more");
        }
        for class in &settings.classes {
            if !time(class.target_latency)
                || !time(class.target_stretch)
                || !time(class.priority_weight)
                || !time(class.late_fraction)
            {
                return fail("classes", "must have finite aims and worths of 0 or more");
            }
            if !class.threads.is_finite() || class.threads <= 0.0 {
                return fail("classes.threads", "must be above 0");
            }
        }
        for machine in &settings.machines {
            if !machine.cores.is_finite() || machine.cores <= 0.0 {
                return fail("machines.cores", "must be above 0");
            }
        }
        Ok(())
    }
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field at fault.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unusable settings: {} {}", self.field, self.reason)
    }
}

impl std::error::Error for SettingsError {}

/// The state of an engine on the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// It takes work.
    Up,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    #[default]
    Gone,
}

/// One line of the list of engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineEntry {
    /// The engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub machine: MachineId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes work.
    pub readiness: Readiness,
    /// When it last started, if that was not long ago.
    pub started_at: Option<Millis>,
    /// Its key, the same at every dispatcher, as `gaugestep_subsetting::key` makes it of its name.
    pub key: u64,
}

impl EngineEntry {
    /// The engine as subsets are drawn from it; `size` against the others'.
    pub fn member(&self, size: f64) -> Member {
        Member { id: self.engine.0, key: self.key, size, zone: self.zone.0 as u64 }
    }
}

/// A request from a client.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, at sites that have any.
    pub tenant: TenantId,
    /// When the client gives up.
    pub deadline: Millis,
    /// A guess of its work on one thread; 0 if none is given.
    pub estimate: Millis,
    /// A guess of the memory that it needs; 0 if none is given.
    pub memory_mb: f64,
    /// The tables that it reads.
    pub tables: TablesId,
    /// The key it takes turns under.
    pub key: Option<OrderKey>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served.
    Served,
    /// The engine sent an error; it may have run.
    Failed,
    /// Turned away unseen.
    Rejected,
    /// No answer came in time; it may still be running.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// True if this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        match self {
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => true,
            Outcome::Served | Outcome::Failed | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                false
            }
        }
    }
}

/// What a query turned out to need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Work on one thread.
    pub work: Millis,
    /// Memory.
    pub memory_mb: f64,
}

/// An engine's own account of its load; what it does not tell is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Queries that it holds.
    pub in_flight: Option<f64>,
    /// Queries that wait for memory.
    pub queued: Option<f64>,
    /// How busy its cores are, 0 to 1.
    pub busy: Option<f64>,
    /// The share of its memory that is granted.
    pub memory: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// Which attempt.
    pub attempt: AttemptNo,
    /// Where it was sent.
    pub engine: EngineId,
    /// How it ended.
    pub outcome: Outcome,
    /// True if the request is finished, by this outcome or before.
    pub finished: bool,
    /// How long ago it was sent.
    pub elapsed: Millis,
    /// What it needed, where answers tell.
    pub cost: Option<Cost>,
    /// The engine's load, if it came along.
    pub load: Option<LoadReport>,
}

/// What a note says about a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressReport {
    /// The share done, roughly.
    Done(f64),
    /// It spills; so many MB are missing.
    Spills(f64),
    /// It waits for memory.
    WaitsForMemory,
    /// It waits for a load.
    WaitsForLoad,
}

/// What the embedder tells the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The whole list of engines; whatever is missing is gone.
    EngineList(Vec<EngineEntry>),
    /// Changed lines of the list.
    EngineChanges(Vec<EngineEntry>),
    /// A request from a client.
    Request(NewRequest),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The answer of a streamed request has started: attempt and client are on their own.
    Streaming(RequestId, AttemptNo),
    /// A note on a running attempt.
    Progress(RequestId, AttemptNo, ProgressReport),
    /// The client left, or the answer is overdue.
    ClientGone(RequestId),
    /// The dispatcher will end: its requests are due by then at the latest.
    ClosingBy(Millis),
    /// The dispatcher has a place by a roster until then, and by its settings from then on.
    PositionAssigned(FleetPosition, Millis),
    /// New settings. A class keeps its place as long as a request of it is open; other rules come under another place.
    SettingsUpdated(Box<Settings>),
    /// A probe came back.
    ProbeResult(EngineId, Outcome, Option<LoadReport>),
    /// A timer came due.
    Timer(TimerId),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Its attempts failed or were turned away, and no further one may be made.
    AttemptsFailed,
    /// Its time ran out while no engine had room for it.
    QueueTimeout,
    /// By what answers of its class tell, its run does not fit into the time that is left, or would earn nothing.
    TooLong,
    /// Too many requests are open, and it is worth least for its work.
    Overloaded,
}

impl RejectReason {
    /// The reason in words, for people who use clients.
    pub fn description(self) -> &'static str {
        match self {
            RejectReason::AttemptsFailed => "attempts on engines failed, and no further one is allowed",
            RejectReason::QueueTimeout => "no engine had room before the time ran out",
            RejectReason::TooLong => {
                "runs of this class take longer than the time that is left, or than is wanted"
            }
            RejectReason::Overloaded => {
                "too many requests are open, and others are worth more for their work"
            }
        }
    }
}

/// What the module wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt that runs until the client gives up.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        engine: EngineId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: AttemptNo,
    },
    /// Final answer: declined, a retry does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should stay away; 0 gives no advice.
        retry_after: Millis,
        /// Why it is refused.
        reason: RejectReason,
    },
    /// Final answer: failed, nothing promised about the effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Memory and priority for the request's further sends.
    SetTerms {
        /// The request.
        id: RequestId,
        /// Memory to grant in MB; 0 leaves it to the engine.
        memory_mb: f64,
        /// Priority from 0 to 3.
        priority: u8,
    },
    /// Ask for a timer.
    SetTimer {
        /// Which timer.
        timer: TimerId,
        /// How long from now.
        delay: Millis,
    },
    /// A line for the on-call reader.
    Log(String),
}
