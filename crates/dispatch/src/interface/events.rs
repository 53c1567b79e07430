//! The events that the embedder reports to the dispatcher.

use super::*;

/// The state of an engine in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// The engine accepts new attempts.
    Up,
    /// The engine finishes its attempts in flight and gets no new ones.
    Draining,
    /// The engine was removed from the list.
    #[default]
    Gone,
}

/// One entry of the endpoint list, which discovery provides.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineEntry {
    /// The engine that the entry describes.
    pub engine: EngineId,
    /// The zone that the engine runs in.
    pub zone: ZoneId,
    /// The type of machine that the engine runs on.
    pub machine_type: MachineTypeId,
    /// The cell that the engine belongs to.
    pub cell: CellId,
    /// Whether the engine accepts new attempts.
    pub readiness: Readiness,
    /// When the engine's process started. None if unknown: an engine that first appears in
    /// [`Event::EngineChanges`] then counts as started at that moment, one that first appears in
    /// [`Event::EngineList`] as warmed up.
    pub started_at: Option<Millis>,
    /// The key that `gaugestep_subsetting::key` derives from the engine's name; the same at every dispatcher.
    pub name_key: u64,
}

impl EngineEntry {
    /// The engine as a member for drawing subsets. `size` is its capacity relative to the other engines.
    pub fn candidate_engine(&self, size: f64) -> CandidateEngine {
        CandidateEngine { id: self.engine.0, key: self.name_key, size, zone: self.zone.0 as u64 }
    }
}

/// A request from a client.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The class of the request.
    pub class: ClassId,
    /// The tenant that sent the request. An id without an entry in [`Settings::tenants`] has no quota.
    pub tenant: TenantId,
    /// The time at which the client stops waiting for a response.
    pub deadline: Millis,
    /// The client's estimate of the work, as run time on one thread in ms; 0 if the client gives none.
    pub estimate: Millis,
    /// The client's estimate of the memory that the query needs, in MB; 0 if the client gives none.
    pub memory_mb: f64,
    /// The set of tables that the query reads, or loads into if its class locks tables.
    pub tables: TableSetId,
    /// The key whose requests run one at a time if the class is ordered. None if the request has no such key.
    pub order_key: Option<OrderKey>,
}

/// The way in which an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine sent the complete response.
    Served,
    /// The engine sent an error; the query may have run.
    Failed,
    /// The engine rejected the attempt without running it.
    Rejected,
    /// No response arrived by the request's deadline; the query may still be running.
    TimedOut,
    /// No connection to the engine could be opened; the query never ran.
    ConnectFailed,
    /// The connection broke; the query may have run.
    Reset,
    /// The attempt was cancelled; the query may have run.
    Cancelled,
    /// The attempt was not sent to the engine.
    NotSent,
}

impl Outcome {
    /// True if the query certainly did not run.
    pub fn never_ran(self) -> bool {
        match self {
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => true,
            Outcome::Served | Outcome::Failed | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                false
            }
        }
    }
}

/// The resources that a query used, as the engine reports them with the response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// The work, as run time on one thread in ms.
    pub work: Millis,
    /// The memory in MB.
    pub memory_mb: f64,
}

/// An engine's report of its load. A figure that the engine does not report is None.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Queries in flight on the engine, from all dispatchers, including those that wait for memory.
    pub in_flight: Option<f64>,
    /// Queries that wait for memory on the engine.
    pub queued: Option<f64>,
    /// The utilization of the engine's cores, from 0 to 1.
    pub core_utilization: Option<f64>,
    /// The fraction of the engine's memory that is granted, from 0 to 1.
    pub memory_utilization: Option<f64>,
}

/// The end of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request that the attempt belongs to.
    pub id: RequestId,
    /// The number of the attempt.
    pub attempt: AttemptNo,
    /// The engine that the attempt was sent to.
    pub engine: EngineId,
    /// The way in which the attempt ended.
    pub outcome: Outcome,
    /// True if the request needs no further attempt, because of this outcome or since an earlier event.
    pub finished: bool,
    /// The time since the attempt was sent, in ms.
    pub elapsed: Millis,
    /// The resources that the query used. None if the engine does not report them.
    pub cost: Option<Cost>,
    /// The engine's load report. None if none came with the outcome.
    pub load: Option<LoadReport>,
}

/// A progress report of an engine on a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressReport {
    /// The approximate fraction of the work that is completed, from 0 to 1.
    Done(f64),
    /// The query spills to disk because its memory grant is this many MB too small.
    Spills(f64),
    /// The query waits for memory.
    WaitsForMemory,
    /// The query waits for a load to release the lock on its tables.
    WaitsForLoad,
}

/// An event that the embedder reports to the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The complete endpoint list; engines that are not in it are removed.
    EngineList(Vec<EngineEntry>),
    /// The entries of the endpoint list that changed.
    EngineChanges(Vec<EngineEntry>),
    /// A client sent a request.
    Request(NewRequest),
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The response of this attempt has started to stream to the client: the request gets no further attempt.
    StreamingStarted(RequestId, AttemptNo),
    /// An engine sent a progress report on a running attempt.
    Progress(RequestId, AttemptNo, ProgressReport),
    /// The client left, or the embedder stopped waiting for an overdue response.
    ClientGone(RequestId),
    /// The dispatcher shuts down: open requests whose deadline is later get this time as their deadline.
    ShutdownBy(Millis),
    /// The roster assigns this position in the fleet until the given time. Afterwards the position of the
    /// settings applies.
    PositionAssigned(FleetPosition, Millis),
    /// The settings changed. A class must keep its number while a request of it is open; a class with other
    /// rules gets a new number.
    SettingsUpdated(Box<Settings>),
    /// A probe of an engine ended, with a load report if the engine sent one.
    ProbeResult(EngineId, Outcome, Option<LoadReport>),
    /// A timer is due.
    Timer(TimerId),
}
