//! Decodes the protocol's messages, with one function for each message.

use gaugestep_dispatch::Event;
use gaugestep_dispatch::interface::{
    AttemptEnd, CellId, ClassId, Cost, EngineEntry, LoadReport, MachineTypeId, NewRequest, OrderKey, Outcome,
    ProgressReport, Readiness, TableSetId, TenantId, TimerId, ZoneId,
};

use crate::error::LineError;
use crate::fields::{Fields, number};

type Result<T> = std::result::Result<T, LineError>;

/// The kind of a message for a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Starts a dispatcher.
    Provision,
    /// Shuts a dispatcher down.
    Shutdown,
    /// Announces a list of engines, complete or of changed entries only.
    Discovery,
    /// A client has sent a request.
    NewRequest,
    /// A probe of an engine has ended.
    Sampled,
    /// A timer has expired.
    Timer,
    /// The response to a streamed request has started.
    Streaming,
    /// An attempt has ended.
    Reply,
    /// A message from another dispatcher.
    Whisper,
    /// An engine reports the progress of a running attempt.
    Progress,
    /// The client has left.
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

    /// The name of the message on the wire.
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
    /// [`LineError::UnknownMessage`] if no kind has this name.
    pub fn parse(name: &str) -> Result<Self> {
        let kind = Self::ALL.into_iter().find(|kind| kind.name() == name);
        kind.ok_or_else(|| LineError::UnknownMessage(name.to_owned()))
    }
}

/// Unit in which the `used_up` field counts memory.
const USED_UP_MEMORY_UNIT_MB: f64 = 4.0;
/// The `used_up` field is the work in milliseconds times this factor, plus the units of memory.
const USED_UP_WORK_FACTOR: u64 = 4096;

/// The format of a dispatcher's messages, as its settings define it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MessageFormat {
    /// Number of classes; the class index of a request must be below it.
    pub class_count: usize,
    /// Names of the values in a `load` field, in the order of the values.
    pub load_fields: Vec<String>,
    /// Whether engines report the cost of a query in the field `used_up`.
    pub reports_cost: bool,
}

impl MessageFormat {
    /// Decodes `new_request`.
    ///
    /// # Errors
    ///
    /// If a field is malformed, or the settings do not have the class.
    pub fn new_request(&self, fields: &Fields) -> Result<Event> {
        let class = fields.integer("category")? as usize;
        if class >= self.class_count {
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
        Ok(Event::ProbeResult(fields.engine()?, outcome, self.load_report(fields)?))
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
            load: self.load_report(fields)?,
        }))
    }

    /// The engine's load report; `None` if the field `load` is absent or empty.
    fn load_report(&self, fields: &Fields) -> Result<Option<LoadReport>> {
        let Some(values) = fields.optional("load").filter(|values| !values.is_empty()) else {
            return Ok(None);
        };
        let mut report = LoadReport::default();
        for (name, value) in self.load_fields.iter().zip(values.split(',')) {
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

    /// The cost of the query; `None` if engines do not report it, or if the field `used_up` is absent or 0.
    fn cost(&self, fields: &Fields) -> Result<Option<Cost>> {
        let used_up = fields.integer_or("used_up", 0)?;
        if !self.reports_cost || used_up == 0 {
            return Ok(None);
        }
        let work = (used_up / USED_UP_WORK_FACTOR) as f64;
        let memory_mb = (used_up % USED_UP_WORK_FACTOR) as f64 * USED_UP_MEMORY_UNIT_MB;
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

/// Decodes `progress`; `None` if the decision module does not use reports of this sort.
///
/// # Errors
///
/// If a field is malformed.
pub fn progress(fields: &Fields) -> Result<Option<Event>> {
    /// Amount in a report of sort 3 when the attempt waits for a load of data; otherwise it waits for memory.
    const WAITS_FOR_LOAD_AMOUNT: f64 = 2.0;
    let amount = fields.number_or("amount", 0.0)?;
    let report = match fields.integer("sort")? {
        1 => ProgressReport::Done(amount),
        2 => ProgressReport::Spills(amount),
        3 if amount == WAITS_FOR_LOAD_AMOUNT => ProgressReport::WaitsForLoad,
        3 => ProgressReport::WaitsForMemory,
        _ => return Ok(None),
    };
    Ok(Some(Event::Progress(fields.request()?, fields.attempt()?, report)))
}

/// Decodes `item`, an engine in a list.
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
