//! Decoding of the protocol's messages, one function a message.

use gaugestep_dispatch::Event;
use gaugestep_dispatch::interface::{
    AttemptEnd, CellId, ClassId, Cost, EngineEntry, LoadReport, MachineTypeId, NewRequest, OrderKey, Outcome,
    ProgressReport, Readiness, TableSetId, TenantId, TimerId, ZoneId,
};

use crate::error::LineError;
use crate::fields::{Fields, number};

type Result<T> = std::result::Result<T, LineError>;

/// Messages for one dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Starts a dispatcher.
    Provision,
    /// Ends a dispatcher.
    Shutdown,
    /// The list of engines, or changes to it.
    Discovery,
    /// A request from a client.
    NewRequest,
    /// The result of a probe.
    Sampled,
    /// A timer came due.
    Timer,
    /// The answer of a streamed request has started.
    Streaming,
    /// An attempt ended.
    Reply,
    /// A message of another dispatcher.
    Whisper,
    /// A progress report of a running attempt.
    Progress,
    /// The client left.
    ClientGone,
}

impl MessageKind {
    const ALL: [MessageKind; 11] = [
        MessageKind::Provision,
        MessageKind::Shutdown,
        MessageKind::Discovery,
        MessageKind::NewRequest,
        MessageKind::Sampled,
        MessageKind::Timer,
        MessageKind::Streaming,
        MessageKind::Reply,
        MessageKind::Whisper,
        MessageKind::Progress,
        MessageKind::ClientGone,
    ];

    /// The name on the wire.
    pub fn name(self) -> &'static str {
        match self {
            MessageKind::Provision => "provision",
            MessageKind::Shutdown => "shutdown",
            MessageKind::Discovery => "discovery",
            MessageKind::NewRequest => "new_request",
            MessageKind::Sampled => "sampled",
            MessageKind::Timer => "timer",
            MessageKind::Streaming => "streaming",
            MessageKind::Reply => "reply",
            MessageKind::Whisper => "whisper",
            MessageKind::Progress => "progress",
            MessageKind::ClientGone => "client_gone",
        }
    }

    /// The kind of message with this name.
    ///
    /// # Errors
    ///
    /// [`LineError::UnknownMessage`] if there is none.
    pub fn parse(name: &str) -> Result<Self> {
        let known = Self::ALL.into_iter().find(|kind| kind.name() == name);
        known.ok_or_else(|| LineError::UnknownMessage(name.to_owned()))
    }
}

/// How many MB one step of the memory in the `used_up` field stands for.
const MEMORY_STEP_MB: f64 = 4.0;
/// The `used_up` field holds the work times this, plus the steps of memory.
const MEMORY_STEPS: u64 = 4096;

/// What the settings of a dispatcher say about the fields of its messages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MessageFormat {
    /// How many classes there are.
    pub classes: usize,
    /// The names of the figures in a `load` field, in their order.
    pub load_fields: Vec<String>,
    /// Whether replies say what a query cost.
    pub tells_cost: bool,
}

impl MessageFormat {
    /// Decodes `new_request`.
    ///
    /// # Errors
    ///
    /// If a field is malformed, or the class does not exist.
    pub fn new_request(&self, fields: &Fields) -> Result<Event> {
        let class = fields.integer("category")? as usize;
        if class >= self.classes {
            return Err(LineError::UnknownClass(class));
        }
        Ok(Event::Request(NewRequest {
            id: fields.request()?,
            class: ClassId(class),
            tenant: TenantId(fields.integer_or("owner", 0)? as usize),
            deadline: fields.number("due_ms")?,
            estimate: fields.number_or("estimate_ms", 0.0)?,
            memory_mb: fields.number_or("ram_mb", 0.0)?,
            tables: TableSetId(fields.number_or("source_set", 0.0)? as u64),
            order_key: fields.optional("relation").map(|key| OrderKey(key.into())),
        }))
    }

    /// Decodes `sampled`.
    ///
    /// # Errors
    ///
    /// If a field is malformed.
    pub fn probe_result(&self, fields: &Fields) -> Result<Event> {
        let outcome = outcome(fields)?;
        Ok(Event::ProbeResult(fields.engine()?, outcome, self.load(fields)?))
    }

    /// Decodes `reply`.
    ///
    /// # Errors
    ///
    /// If a field is malformed.
    pub fn attempt_end(&self, fields: &Fields) -> Result<Event> {
        Ok(Event::AttemptEnded(AttemptEnd {
            id: fields.request()?,
            attempt: fields.attempt()?,
            engine: fields.engine()?,
            outcome: outcome(fields)?,
            finished: fields.flag("no_more")?,
            elapsed: fields.number("time_taken_ms")?,
            cost: self.cost(fields)?,
            load: self.load(fields)?,
        }))
    }

    fn load(&self, fields: &Fields) -> Result<Option<LoadReport>> {
        let Some(figures) = fields.optional("load").filter(|figures| !figures.is_empty()) else {
            return Ok(None);
        };
        let mut report = LoadReport::default();
        for (name, value) in self.load_fields.iter().zip(figures.split(',')) {
            let value = Some(number("load", value)?);
            match name.as_str() {
                "rif" => report.in_flight = value,
                "q" => report.queued = value,
                "busy" => report.core_utilization = value,
                "x0" => report.memory_utilization = value,
                _ => {}
            }
        }
        Ok(Some(report))
    }

    fn cost(&self, fields: &Fields) -> Result<Option<Cost>> {
        let packed = fields.integer_or("used_up", 0)?;
        if !self.tells_cost || packed == 0 {
            return Ok(None);
        }
        let work = (packed / MEMORY_STEPS) as f64;
        let memory_mb = (packed % MEMORY_STEPS) as f64 * MEMORY_STEP_MB;
        Ok(Some(Cost { work, memory_mb }))
    }
}

/// Decodes `timer`.
///
/// # Errors
///
/// If a field is malformed.
pub fn timer(fields: &Fields) -> Result<Event> {
    Ok(Event::Timer(TimerId(fields.integer("handle")?)))
}

/// Decodes `streaming`.
///
/// # Errors
///
/// If a field is malformed.
pub fn streaming(fields: &Fields) -> Result<Event> {
    Ok(Event::StreamingStarted(fields.request()?, fields.attempt()?))
}

/// Decodes `client_gone`.
///
/// # Errors
///
/// If a field is malformed.
pub fn client_gone(fields: &Fields) -> Result<Event> {
    Ok(Event::ClientGone(fields.request()?))
}

/// Decodes `progress`; `None` for a sort of report that the decision module has no use for.
///
/// # Errors
///
/// If a field is malformed.
pub fn progress(fields: &Fields) -> Result<Option<Event>> {
    /// The amount of a report of sort 3 that says that the attempt waits for a load.
    const WAITS_FOR_LOAD: f64 = 2.0;
    let amount = fields.number_or("amount", 0.0)?;
    let report = match fields.integer("sort")? {
        1 => ProgressReport::Done(amount),
        2 => ProgressReport::Spills(amount),
        3 if amount == WAITS_FOR_LOAD => ProgressReport::WaitsForLoad,
        3 => ProgressReport::WaitsForMemory,
        _ => return Ok(None),
    };
    Ok(Some(Event::Progress(fields.request()?, fields.attempt()?, report)))
}

/// Decodes `item`, one engine of a list.
///
/// # Errors
///
/// If a field is malformed.
pub fn engine_entry(fields: &Fields) -> Result<EngineEntry> {
    let engine = fields.engine()?;
    Ok(EngineEntry {
        engine,
        name_key: gaugestep_subsetting::key(&engine.0.to_string()),
        zone: ZoneId(fields.integer_or("campus", 0)? as usize),
        machine_type: MachineTypeId(fields.integer_or("machine", 0)? as usize),
        cell: CellId(fields.integer_or("group", 0)?),
        readiness: readiness(fields.text("readiness")?)?,
        started_at: Some(fields.number_or("online_since_ms", 0.0)?).filter(|at| *at > 0.0),
    })
}

fn readiness(code: &str) -> Result<Readiness> {
    match code {
        "U" => Ok(Readiness::Up),
        "L" => Ok(Readiness::Draining),
        "D" => Ok(Readiness::Gone),
        other => Err(LineError::UnknownReadiness(other.to_owned())),
    }
}

fn outcome(fields: &Fields) -> Result<Outcome> {
    match fields.integer("verdict")? {
        200 => Ok(Outcome::Served),
        502 => Ok(Outcome::Failed),
        429 => Ok(Outcome::Rejected),
        408 => Ok(Outcome::TimedOut),
        521 => Ok(Outcome::ConnectFailed),
        520 => Ok(Outcome::Reset),
        444 => Ok(Outcome::Cancelled),
        409 => Ok(Outcome::NotSent),
        other => Err(LineError::UnknownVerdict(other)),
    }
}
