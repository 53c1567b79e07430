//! What the embedder reports to the module.

use super::*;

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
    pub fn member(&self, size: f64) -> CandidateEngine {
        CandidateEngine { id: self.engine.0, key: self.key, size, zone: self.zone.0 as u64 }
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
    /// The key under which it takes turns.
    pub key: Option<OrderKey>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served.
    Served,
    /// The engine sent an error; it may have run.
    Failed,
    /// The engine rejected it without running it.
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

/// An engine's own report of its load; what it does not report is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Queries in flight there.
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
    /// What it needed, where answers carry that.
    pub cost: Option<Cost>,
    /// The engine's load, if it came along.
    pub load: Option<LoadReport>,
}

/// What an engine reports of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressReport {
    /// The share of its work that is done, roughly.
    Done(f64),
    /// It spills, for lack of this many MB.
    Spills(f64),
    /// It waits for memory.
    WaitsForMemory,
    /// It waits for a load.
    WaitsForLoad,
}

/// What the embedder reports to the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The complete list of engines; whatever is missing is gone.
    EngineList(Vec<EngineEntry>),
    /// Changed lines of the list.
    EngineChanges(Vec<EngineEntry>),
    /// A request from a client.
    Request(NewRequest),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The answer of a streamed request has started: attempt and client are on their own.
    Streaming(RequestId, AttemptNo),
    /// A progress report on a running attempt.
    Progress(RequestId, AttemptNo, ProgressReport),
    /// The client left, or the answer is overdue.
    ClientGone(RequestId),
    /// The dispatcher will end: this is the latest deadline of its requests.
    ClosingBy(Millis),
    /// The dispatcher has this position by a roster until then, and that of its settings from then on.
    PositionAssigned(FleetPosition, Millis),
    /// New settings. A class keeps its number while a request of it is open; a class with other rules gets a new number.
    SettingsUpdated(Box<Settings>),
    /// A probe came back.
    ProbeResult(EngineId, Outcome, Option<LoadReport>),
    /// A timer came due.
    Timer(TimerId),
}
