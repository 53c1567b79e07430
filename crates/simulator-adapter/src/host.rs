//! The state of the protocol: the open batch, the lists of engines and the running dispatchers.

use std::collections::{BTreeMap, BTreeSet};

use gaugestep_dispatch::interface::Millis;

use crate::error::{LineError, WireError};
use crate::fields::Fields;
use crate::instance::{EngineLists, Instance};
use crate::message::{self, MessageKind};
use crate::reply::{END_OF_RESPONSE, write_action};

/// A list of engines whose `item` lines are being read.
#[derive(Clone, Copy)]
struct OpenList {
    number: u64,
    /// Number of `item` lines still expected; above 0.
    remaining: u64,
}

/// Handles the lines of the protocol and runs the dispatchers.
#[derive(Default)]
pub struct Host {
    /// Number of lines handled so far.
    line_count: usize,
    /// Time of the open batch; `None` outside a batch.
    batch_time: Option<Millis>,
    engine_lists: EngineLists,
    open_list: Option<OpenList>,
    /// Running dispatchers by dispatcher id.
    instances: BTreeMap<u64, Instance>,
    /// Ids of the dispatchers that have handled an event in this batch.
    active_dispatchers: BTreeSet<u64>,
    /// Response to the open batch, without the line that ends it.
    response: String,
}

impl Host {
    /// A host without dispatchers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles one line. Returns the response to the batch if the line closes one.
    ///
    /// Errors carry the number of the line; after an error the host must not be used any more.
    ///
    /// # Errors
    ///
    /// If the line is malformed or is not allowed at this place.
    pub fn handle_line(&mut self, line: &str) -> Result<Option<String>, WireError> {
        self.line_count += 1;
        self.process_line(line).map_err(|source| WireError { line: self.line_count, source })
    }

    /// Handles the end of the input.
    ///
    /// # Errors
    ///
    /// [`LineError::EndInsideBatch`] if a batch is open.
    pub fn finish(&self) -> Result<(), WireError> {
        match self.batch_time {
            None => Ok(()),
            Some(_) => Err(WireError { line: self.line_count, source: LineError::EndInsideBatch }),
        }
    }

    fn process_line(&mut self, line: &str) -> Result<Option<String>, LineError> {
        let line = line.trim_end_matches(['\r', '\n']);
        let (name, rest) = line.split_once(' ').unwrap_or((line, ""));
        if name.is_empty() {
            // An empty line is valid: the specification of the protocol shows one after each batch.
            return if rest.is_empty() { Ok(None) } else { Err(LineError::NoName) };
        }
        let text_field = (name == MessageKind::Provision.name()).then_some("profile_data");
        let fields = Fields::parse(rest, text_field)?;
        if name != "item" && self.open_list.is_some() {
            return Err(LineError::ItemExpected(name.to_owned()));
        }
        match (name, self.batch_time) {
            ("tick", None) => self.batch_time = Some(fields.number("wall_ms")?),
            (_, None) => return Err(LineError::OutsideBatch(name.to_owned())),
            ("tick", Some(_)) => return Err(LineError::TickInsideBatch),
            ("eob", Some(now)) => return Ok(Some(self.close_batch(now))),
            ("define_list", Some(_)) => self.define_list(&fields)?,
            ("item", Some(_)) => self.add_list_item(&fields)?,
            (_, Some(now)) => self.handle_message(now, MessageKind::parse(name)?, &fields)?,
        }
        Ok(None)
    }

    /// Closes the batch: makes the pending decisions of each dispatcher that has handled an event in it.
    /// Returns the response to the batch.
    fn close_batch(&mut self, now: Millis) -> String {
        self.batch_time = None;
        let mut actions = Vec::new();
        for id in std::mem::take(&mut self.active_dispatchers) {
            let Some(instance) = self.instances.get_mut(&id) else { continue };
            instance.dispatcher.run_pending(now, &mut actions);
            for action in actions.drain(..) {
                write_action(id, &action, &mut self.response);
            }
        }
        let mut response = std::mem::take(&mut self.response);
        response.push_str(END_OF_RESPONSE);
        response
    }

    fn define_list(&mut self, fields: &Fields) -> Result<(), LineError> {
        let number = fields.integer("bank")?;
        let remaining = fields.integer("members_list")?;
        self.engine_lists.insert(number, Vec::new());
        self.open_list = (remaining > 0).then_some(OpenList { number, remaining });
        Ok(())
    }

    fn add_list_item(&mut self, fields: &Fields) -> Result<(), LineError> {
        let Some(OpenList { number, remaining }) = self.open_list else {
            return Err(LineError::ItemOutsideList);
        };
        self.engine_lists.entry(number).or_default().push(message::engine_entry(fields)?);
        self.open_list = (remaining > 1).then_some(OpenList { number, remaining: remaining - 1 });
        Ok(())
    }

    /// Starts a dispatcher, shuts it down, or passes an event to it.
    fn handle_message(&mut self, now: Millis, kind: MessageKind, fields: &Fields) -> Result<(), LineError> {
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
        let Some(event) = instance.decode_event(kind, fields, &self.engine_lists)? else { return Ok(()) };
        let mut actions = Vec::new();
        instance.dispatcher.handle(now, event, &mut actions);
        for action in &actions {
            write_action(id, action, &mut self.response);
        }
        self.active_dispatchers.insert(id);
        Ok(())
    }
}
