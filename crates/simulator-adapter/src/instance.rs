//! One dispatcher and what is needed to read its messages.

use std::collections::BTreeMap;

use gaugestep_dispatch::interface::{EngineEntry, FleetPosition};
use gaugestep_dispatch::{Dispatcher, Event};
use gaugestep_settings::lenient::{Lenient, List, Section};
use serde::Deserialize;
use serde_json::Value;

use crate::error::LineError;
use crate::fields::Fields;
use crate::message::{self, MessageFormat, MessageKind};

/// The lists of engines by their number.
pub(crate) type EngineLists = BTreeMap<u64, Vec<EngineEntry>>;

/// What the settings document says about the messages that follow.
#[derive(Default, Deserialize)]
#[serde(default)]
struct Profile {
    stats: Section<LoadFigures>,
    family_info: Section<FamilyInfo>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct LoadFigures {
    fields: List<Lenient<String>>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct FamilyInfo {
    tells_cost: Lenient<bool>,
}

/// A running dispatcher.
pub(crate) struct Instance {
    pub(crate) dispatcher: Dispatcher,
    format: MessageFormat,
}

impl Instance {
    /// Starts the dispatcher of a `provision` message.
    pub(crate) fn start(fields: &Fields) -> Result<Self, LineError> {
        let seed = fields.integer("salt")?;
        let profile: Value =
            serde_json::from_str(fields.text("profile_data")?).map_err(LineError::ProfileNotJson)?;
        let mut settings = gaugestep_settings::decode(&profile)?;
        let format = message_format(&profile, settings.classes.len());
        if settings.fleet_position == FleetPosition::NameKey(0) {
            settings.fleet_position = FleetPosition::NameKey(seed);
        }
        Ok(Instance { dispatcher: Dispatcher::new(settings, seed)?, format })
    }

    /// Decodes a message to this dispatcher; `None` if it is of no concern to the decision module.
    pub(crate) fn event(
        &self,
        kind: MessageKind,
        fields: &Fields,
        lists: &EngineLists,
    ) -> Result<Option<Event>, LineError> {
        match kind {
            MessageKind::Discovery => discovery(fields, lists),
            MessageKind::NewRequest => self.format.new_request(fields).map(Some),
            MessageKind::Sampled => self.format.probe_result(fields).map(Some),
            MessageKind::Reply => self.format.attempt_end(fields).map(Some),
            MessageKind::Timer => message::timer(fields).map(Some),
            MessageKind::Streaming => message::streaming(fields).map(Some),
            MessageKind::Progress => message::progress(fields),
            MessageKind::ClientGone => message::client_gone(fields).map(Some),
            // Dispatchers here send each other nothing; the host itself starts and ends them.
            MessageKind::Whisper | MessageKind::Provision | MessageKind::Shutdown => Ok(None),
        }
    }
}

fn message_format(profile: &Value, classes: usize) -> MessageFormat {
    // Every part of the profile takes any value.
    let Section(profile) = Section::<Profile>::deserialize(profile).unwrap_or_default();
    let names = profile.stats.0.fields.0.into_iter();
    MessageFormat {
        classes,
        load_fields: names.filter_map(|name| name.0).collect(),
        tells_cost: profile.family_info.0.tells_cost.0.unwrap_or(false),
    }
}

/// Decodes `discovery`; `None` for a discovery that failed.
fn discovery(fields: &Fields, lists: &EngineLists) -> Result<Option<Event>, LineError> {
    let kind = fields.text("kind")?;
    if kind == "failed" {
        return Ok(None);
    }
    let number = fields.integer("bank")?;
    let list = lists.get(&number).ok_or(LineError::UndefinedList(number))?;
    match kind {
        "delta" => Ok(Some(Event::EngineChanges(list.clone()))),
        "full" | "cached" => Ok(Some(Event::EngineList(list.clone()))),
        other => Err(LineError::UnknownKind(other.to_owned())),
    }
}
