//! The state of the protocol: batches, lists of engines, and the dispatchers that run.

use std::collections::{BTreeMap, BTreeSet};

use gaugestep_dispatch::interface::Millis;

use crate::error::{LineError, WireError};
use crate::fields::Fields;
use crate::instance::{EngineLists, Instance};
use crate::message::{self, MessageKind};
use crate::reply::{END_OF_REPLY, write_action};

/// A list of engines that is being read.
#[derive(Clone, Copy)]
struct OpenList {
    number: u64,
    /// Entries that are still to come; above 0.
    remaining: u64,
}

/// Reads the protocol and hosts the dispatchers.
#[derive(Default)]
pub struct Host {
    /// Lines read so far.
    line: usize,
    /// The time of the batch that is open.
    now: Option<Millis>,
    lists: EngineLists,
    open_list: Option<OpenList>,
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

    /// Takes one line; returns the reply when the line closes a batch.
    ///
    /// # Errors
    ///
    /// A [`WireError`] with the number of the line; the host must not be used after it.
    pub fn handle_line(&mut self, line: &str) -> Result<Option<String>, WireError> {
        self.line += 1;
        self.dispatch_line(line).map_err(|source| WireError { line: self.line, source })
    }

    /// Takes the end of the input.
    ///
    /// # Errors
    ///
    /// [`LineError::EndInsideBatch`] if a batch is open.
    pub fn finish(&self) -> Result<(), WireError> {
        match self.now {
            None => Ok(()),
            Some(_) => Err(WireError { line: self.line, source: LineError::EndInsideBatch }),
        }
    }

    fn dispatch_line(&mut self, line: &str) -> Result<Option<String>, LineError> {
        let line = line.trim_end_matches(['\r', '\n']);
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        if name.is_empty() {
            // The protocol's page shows batches followed by an empty line.
            return if rest.is_empty() { Ok(None) } else { Err(LineError::NoName) };
        }
        let text = (name == MessageKind::Provision.name()).then_some("profile_data");
        let fields = Fields::parse(rest, text)?;
        if name != "item" && self.open_list.is_some() {
            return Err(LineError::ItemExpected(name.to_owned()));
        }
        match (name, self.now) {
            ("tick", None) => self.now = Some(fields.number("wall_ms")?),
            (_, None) => return Err(LineError::OutsideBatch(name.to_owned())),
            ("tick", Some(_)) => return Err(LineError::TickInsideBatch),
            ("eob", Some(now)) => return Ok(Some(self.close_batch(now))),
            ("define_list", Some(_)) => self.define_list(&fields)?,
            ("item", Some(_)) => self.list_item(&fields)?,
            (_, Some(now)) => self.message(now, MessageKind::parse(name)?, &fields)?,
        }
        Ok(None)
    }

    /// Lets every dispatcher that took events decide what is still pending; returns the reply to the batch.
    fn close_batch(&mut self, now: Millis) -> String {
        self.now = None;
        let mut actions = Vec::new();
        for id in std::mem::take(&mut self.touched) {
            let Some(instance) = self.instances.get_mut(&id) else { continue };
            instance.dispatcher.run_pending(now, &mut actions);
            for action in actions.drain(..) {
                write_action(id, &action, &mut self.reply);
            }
        }
        let mut reply = std::mem::take(&mut self.reply);
        reply.push_str(END_OF_REPLY);
        reply
    }

    fn define_list(&mut self, fields: &Fields) -> Result<(), LineError> {
        let number = fields.integer("bank")?;
        let remaining = fields.integer("members_list")?;
        self.lists.insert(number, Vec::new());
        self.open_list = (remaining > 0).then_some(OpenList { number, remaining });
        Ok(())
    }

    fn list_item(&mut self, fields: &Fields) -> Result<(), LineError> {
        let Some(OpenList { number, remaining }) = self.open_list else {
            return Err(LineError::ItemOutsideList);
        };
        self.lists.entry(number).or_default().push(message::engine_entry(fields)?);
        self.open_list = (remaining > 1).then_some(OpenList { number, remaining: remaining - 1 });
        Ok(())
    }

    /// Starts or ends a dispatcher, or hands it an event.
    fn message(&mut self, now: Millis, kind: MessageKind, fields: &Fields) -> Result<(), LineError> {
        let id = fields.integer("dispatcher_id")?;
        if kind == MessageKind::Provision {
            self.instances.insert(id, Instance::start(fields)?);
            return Ok(());
        }
        let Some(instance) = self.instances.get_mut(&id) else {
            return Err(LineError::NotRunning { message: kind.name(), dispatcher: id });
        };
        if kind == MessageKind::Shutdown {
            self.instances.remove(&id);
            return Ok(());
        }
        let Some(event) = instance.event(kind, fields, &self.lists)? else { return Ok(()) };
        let mut actions = Vec::new();
        instance.dispatcher.handle(now, event, &mut actions);
        for action in &actions {
            write_action(id, action, &mut self.reply);
        }
        self.touched.insert(id);
        Ok(())
    }
}
