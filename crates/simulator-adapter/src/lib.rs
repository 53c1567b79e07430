#![forbid(unsafe_code)]
//! Translation between the simulator's wire and the module's types; nothing is decided here.
//!
//! [`Host`] keeps one independent [`Dispatcher`] for each dispatcher id, takes the wire line by line and
//! returns a batch's reply when its closing line has come.

pub mod command;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;

use gaugestep_dispatch::interface::*;
use gaugestep_dispatch::{Action, Dispatcher, Event};
use gaugestep_settings::{flag, list, settings};
use serde_json::Value;

/// A malformed line, with its number on the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireError {
    /// The number of the line, counted from 1.
    pub line: usize,
    /// What is wrong with it.
    pub message: String,
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

impl std::error::Error for WireError {}

type Result<T> = std::result::Result<T, String>;

/// The parts of one line by name.
struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Splits `rest`; the field `text` takes up all that is left of the line.
    fn parse(rest: &'a str, text: Option<&str>) -> Result<Self> {
        let mut fields = Vec::new();
        let mut rest = rest;
        while !rest.is_empty() {
            let Some((name, after)) = rest.split_once('=') else {
                return Err(format!("'{rest}' is no name=value pair"));
            };
            if name.is_empty() || name.contains(' ') {
                return Err(format!("'{name}' is no field name"));
            }
            if text == Some(name) {
                fields.push((name, after));
                break;
            }
            let (value, next) = after.split_once(' ').unwrap_or((after, ""));
            fields.push((name, value));
            rest = next;
        }
        Ok(Fields(fields))
    }

    fn optional(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|(key, _)| *key == name).map(|(_, value)| *value)
    }

    fn text(&self, name: &str) -> Result<&'a str> {
        self.optional(name).filter(|v| !v.is_empty()).ok_or_else(|| format!("field '{name}' is missing"))
    }

    fn whole(&self, name: &str) -> Result<u64> {
        whole(name, self.text(name)?)
    }

    fn whole_or(&self, name: &str, absent: u64) -> Result<u64> {
        self.optional(name).map_or(Ok(absent), |v| whole(name, v))
    }

    fn number(&self, name: &str) -> Result<f64> {
        number(name, self.text(name)?)
    }

    fn number_or(&self, name: &str, absent: f64) -> Result<f64> {
        self.optional(name).map_or(Ok(absent), |v| number(name, v))
    }

    fn flag(&self, name: &str) -> Result<bool> {
        match self.optional(name) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(other) => Err(format!("field '{name}' is '{other}', not 0 or 1")),
        }
    }

    fn request(&self) -> Result<RequestId> {
        Ok(RequestId(self.text("req")?.into()))
    }

    fn attempt(&self) -> Result<AttemptNo> {
        Ok(AttemptNo(self.whole("send_no")? as usize))
    }

    fn engine(&self) -> Result<EngineId> {
        let node = self.whole("node")?;
        u32::try_from(node).map(EngineId).map_err(|_| format!("field 'node' is {node}, out of range"))
    }
}

fn whole(name: &str, value: &str) -> Result<u64> {
    value.parse().map_err(|_| format!("field '{name}' is '{value}', not a whole number"))
}

fn number(name: &str, value: &str) -> Result<f64> {
    match value.parse::<f64>() {
        Ok(parsed) if parsed.is_finite() => Ok(parsed),
        _ => Err(format!("field '{name}' is '{value}', not a number")),
    }
}

fn outcome(code: u64) -> Result<Outcome> {
    Ok(match code {
        200 => Outcome::Served,
        502 => Outcome::Failed,
        429 => Outcome::Rejected,
        408 => Outcome::TimedOut,
        521 => Outcome::ConnectFailed,
        520 => Outcome::Reset,
        444 => Outcome::Cancelled,
        409 => Outcome::NotSent,
        other => return Err(format!("unknown verdict {other}")),
    })
}

/// A live dispatcher and what is needed to read its lines.
struct Instance {
    dispatcher: Dispatcher,
    report: Vec<String>,
    tells_cost: bool,
    classes: usize,
}

impl Instance {
    fn load(&self, fields: &Fields) -> Result<Option<LoadReport>> {
        let Some(row) = fields.optional("load").filter(|row| !row.is_empty()) else { return Ok(None) };
        let mut report = LoadReport::default();
        for (name, value) in self.report.iter().zip(row.split(',')) {
            let value = Some(number("load", value)?);
            match name.as_str() {
                "rif" => report.in_flight = value,
                "q" => report.queued = value,
                "busy" => report.busy = value,
                "x0" => report.memory = value,
                _ => {}
            }
        }
        Ok(Some(report))
    }

    fn cost(&self, fields: &Fields) -> Result<Option<Cost>> {
        let note = fields.whole_or("used_up", 0)?;
        let told = self.tells_cost && note > 0;
        Ok(told.then_some(Cost { work: (note / 4096) as f64, memory_mb: (note % 4096) as f64 * 4.0 }))
    }
}

/// Reads the wire and hosts the dispatchers.
#[derive(Default)]
pub struct Host {
    line: usize,
    now: Option<Millis>,
    lists: BTreeMap<u64, Vec<EngineEntry>>,
    open_list: Option<(u64, u64)>,
    instances: BTreeMap<u64, Instance>,
    /// Dispatchers that have taken events in this batch.
    touched: BTreeSet<u64>,
    reply: String,
}

impl Host {
    /// A host without dispatchers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes one line; the reply is returned when the line closes a batch.
    pub fn line(&mut self, line: &str) -> std::result::Result<Option<String>, WireError> {
        self.line += 1;
        self.read(line).map_err(|message| WireError { line: self.line, message })
    }

    /// The end of the input: an error inside a batch.
    pub fn end(&self) -> std::result::Result<(), WireError> {
        match self.now {
            None => Ok(()),
            Some(_) => Err(WireError { line: self.line, message: "the input ends inside a batch".into() }),
        }
    }

    fn read(&mut self, line: &str) -> Result<Option<String>> {
        let line = line.trim_end_matches(['\r', '\n']);
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        if name.is_empty() {
            // The page of the wire shows its batches followed by an empty line.
            return if rest.is_empty() { Ok(None) } else { Err("the message has no name".into()) };
        }
        let text = (name == "provision").then_some("profile_data");
        let fields = Fields::parse(rest, text)?;
        if name != "item" && self.open_list.is_some() {
            return Err(format!("'{name}' where lines 'item' of a list are due"));
        }
        let Some(now) = self.now else {
            if name != "tick" {
                return Err(format!("'{name}' outside a batch"));
            }
            self.now = Some(fields.number("wall_ms")?);
            return Ok(None);
        };
        match name {
            "tick" => Err("'tick' inside a batch".into()),
            "eob" => {
                self.now = None;
                let mut actions = Vec::new();
                for id in std::mem::take(&mut self.touched) {
                    let Some(instance) = self.instances.get_mut(&id) else { continue };
                    instance.dispatcher.run_pending(now, &mut actions);
                    for action in actions.drain(..) {
                        print(id, &action, &mut self.reply);
                    }
                }
                let mut reply = std::mem::take(&mut self.reply);
                reply.push_str("done\n");
                Ok(Some(reply))
            }
            "define_list" => {
                let (bank, count) = (fields.whole("bank")?, fields.whole("members_list")?);
                self.lists.insert(bank, Vec::new());
                self.open_list = (count > 0).then_some((bank, count));
                Ok(None)
            }
            "item" => self.item(&fields).map(|()| None),
            _ => self.event(now, name, &fields).map(|()| None),
        }
    }

    fn item(&mut self, fields: &Fields) -> Result<()> {
        let Some((bank, left)) = self.open_list else { return Err("'item' outside a list".into()) };
        let engine = fields.engine()?;
        let entry = EngineEntry {
            engine,
            key: gaugestep_subsetting::key(&engine.0.to_string()),
            zone: ZoneId(fields.whole_or("campus", 0)? as usize),
            machine: MachineId(fields.whole_or("machine", 0)? as usize),
            cell: CellId(fields.whole_or("group", 0)?),
            readiness: match fields.text("readiness")? {
                "U" => Readiness::Up,
                "L" => Readiness::Draining,
                "D" => Readiness::Gone,
                other => return Err(format!("unknown readiness '{other}'")),
            },
            started_at: Some(fields.number_or("online_since_ms", 0.0)?).filter(|at| *at > 0.0),
        };
        self.lists.entry(bank).or_default().push(entry);
        self.open_list = (left > 1).then_some((bank, left - 1));
        Ok(())
    }

    fn event(&mut self, now: Millis, name: &str, fields: &Fields) -> Result<()> {
        let known = [
            "provision",
            "discovery",
            "new_request",
            "sampled",
            "timer",
            "shutdown",
            "streaming",
            "reply",
            "whisper",
            "progress",
            "client_gone",
        ];
        if !known.contains(&name) {
            return Err(format!("unknown message '{name}'"));
        }
        let id = fields.whole("dispatcher_id")?;
        if name == "provision" {
            let instance = provision(fields)?;
            self.instances.insert(id, instance);
            return Ok(());
        }
        let Some(instance) = self.instances.get_mut(&id) else {
            return Err(format!("'{name}' for dispatcher {id}, which is not running"));
        };
        let event = match name {
            "shutdown" => {
                self.instances.remove(&id);
                return Ok(());
            }
            "discovery" => match fields.text("kind")? {
                "failed" => return Ok(()),
                kind => {
                    let bank = fields.whole("bank")?;
                    let list = self.lists.get(&bank).ok_or_else(|| format!("list {bank} is not defined"))?;
                    match kind {
                        "delta" => Event::EngineChanges(list.clone()),
                        "full" | "cached" => Event::EngineList(list.clone()),
                        other => return Err(format!("unknown kind '{other}'")),
                    }
                }
            },
            "new_request" => {
                let class = fields.whole("category")? as usize;
                if class >= instance.classes {
                    return Err(format!("field 'category' is {class}, which is no class"));
                }
                Event::Request(NewRequest {
                    id: fields.request()?,
                    class: ClassId(class),
                    tenant: TenantId(fields.whole_or("owner", 0)? as usize),
                    deadline: fields.number("due_ms")?,
                    estimate: fields.number_or("estimate_ms", 0.0)?,
                    memory_mb: fields.number_or("ram_mb", 0.0)?,
                    tables: TablesId(fields.number_or("source_set", 0.0)? as u64),
                    key: fields.optional("relation").map(|key| OrderKey(key.into())),
                })
            }
            "sampled" => {
                let outcome = outcome(fields.whole("verdict")?)?;
                Event::ProbeResult(fields.engine()?, outcome, instance.load(fields)?)
            }
            "timer" => Event::Timer(TimerId(fields.whole("handle")?)),
            "streaming" => Event::Streaming(fields.request()?, fields.attempt()?),
            "reply" => Event::AttemptEnded(AttemptEnd {
                id: fields.request()?,
                attempt: fields.attempt()?,
                engine: fields.engine()?,
                outcome: outcome(fields.whole("verdict")?)?,
                finished: fields.flag("no_more")?,
                elapsed: fields.number("time_taken_ms")?,
                cost: instance.cost(fields)?,
                load: instance.load(fields)?,
            }),
            "progress" => {
                let amount = fields.number_or("amount", 0.0)?;
                let note = match fields.whole("sort")? {
                    1 => ProgressReport::Done(amount),
                    2 => ProgressReport::Spills(amount),
                    3 if amount == 2.0 => ProgressReport::WaitsForLoad,
                    3 => ProgressReport::WaitsForMemory,
                    _ => return Ok(()),
                };
                Event::Progress(fields.request()?, fields.attempt()?, note)
            }
            "client_gone" => Event::ClientGone(fields.request()?),
            // Dispatchers here send each other nothing.
            _ => return Ok(()),
        };
        let mut actions = Vec::new();
        instance.dispatcher.handle(now, event, &mut actions);
        for action in &actions {
            print(id, action, &mut self.reply);
        }
        self.touched.insert(id);
        Ok(())
    }
}

fn provision(fields: &Fields) -> Result<Instance> {
    let seed = fields.whole("salt")?;
    let json: Value = serde_json::from_str(fields.text("profile_data")?)
        .map_err(|error| format!("field 'profile_data' is not JSON: {error}"))?;
    let mut settings = settings(&json)?;
    let classes = settings.classes.len();
    if settings.fleet_position == FleetPosition::NameKey(0) {
        settings.fleet_position = FleetPosition::NameKey(seed);
    }
    let dispatcher = Dispatcher::new(settings, seed).map_err(|error| error.to_string())?;
    let report = list(&json["stats"], "fields").iter().filter_map(Value::as_str).map(String::from).collect();
    let tells_cost = flag(&json["family_info"], "tells_cost");
    Ok(Instance { dispatcher, report, tells_cost, classes })
}

/// Prints one action of dispatcher `id` as a line of the wire.
pub fn print(id: u64, action: &Action, reply: &mut String) {
    // Writing to a string cannot fail.
    let _ = match action {
        Action::Send { id: RequestId(req), engine } => {
            writeln!(reply, "forward dispatcher_id={id} req={req} node={}", engine.0)
        }
        Action::Cancel { id: RequestId(req), attempt } => {
            writeln!(reply, "cancel dispatcher_id={id} req={req} send_no={}", attempt.0)
        }
        Action::Reject { id: RequestId(req), retry_after, .. } => {
            writeln!(reply, "bounce dispatcher_id={id} req={req} wait_ms={retry_after:.3}")
        }
        Action::Fail { id: RequestId(req) } => {
            writeln!(reply, "respond_error dispatcher_id={id} req={req}")
        }
        Action::SetTerms { id: RequestId(req), memory_mb, priority } => writeln!(
            reply,
            "set_terms dispatcher_id={id} req={req} memory_grant={memory_mb:.0} importance={priority}"
        ),
        Action::SetTimer { timer, delay } => {
            writeln!(reply, "sleep dispatcher_id={id} handle={} offset_ms={delay:.3}", timer.0)
        }
        Action::Log(text) => writeln!(reply, "record dispatcher_id={id} text={}", text.replace('\n', " ")),
    };
}
