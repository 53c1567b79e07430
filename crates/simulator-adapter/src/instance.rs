//! A running dispatcher and the format of its messages, both as its settings define them.

use std::collections::BTreeMap;

use gaugestep_dispatch::interface::{EngineEntry, FleetPosition};
use gaugestep_dispatch::{Dispatcher, Event};
use gaugestep_settings::lenient::{Lenient, List, Section};
use serde::Deserialize;
use serde_json::Value;

use crate::error::LineError;
use crate::fields::Fields;
use crate::message::{self, MessageFormat, MessageKind};

/// Lists of engines by list number.
pub(crate) type EngineLists = BTreeMap<u64, Vec<EngineEntry>>;

/// The parts of the settings document that define the format of the dispatcher's messages.
#[derive(Default, Deserialize)]
#[serde(default)]
struct FormatSettings {
    stats: Section<LoadReportSettings>,
    family_info: Section<EngineFeatures>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct LoadReportSettings {
    fields: List<Lenient<String>>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct EngineFeatures {
    tells_cost: Lenient<bool>,
}

/// A running dispatcher with the format of its messages.
pub(crate) struct Instance {
    pub(crate) dispatcher: Dispatcher,
    format: MessageFormat,
}

impl Instance {
    /// Starts a dispatcher with the settings and the seed of a `provision` message. Unless the settings
    /// define the dispatcher's position in the fleet, the seed is its key there.
    pub(crate) fn start(fields: &Fields) -> Result<Self, LineError> {
        let seed = fields.integer("salt")?;
        let document: Value =
            serde_json::from_str(fields.text("profile_data")?).map_err(LineError::ProfileNotJson)?;
        let mut settings = gaugestep_settings::decode(&document)?;
        let format = message_format(&document, settings.classes.len());
        if settings.fleet_position == FleetPosition::NameKey(0) {
            settings.fleet_position = FleetPosition::NameKey(seed);
        }
        let dispatcher = Dispatcher::new(settings, seed)?;
        Ok(Instance { dispatcher, format })
    }

    /// Decodes a message for this dispatcher; `None` if the decision module has no event for it.
    pub(crate) fn decode_event(
        &self,
        kind: MessageKind,
        fields: &Fields,
        engine_lists: &EngineLists,
    ) -> Result<Option<Event>, LineError> {
        match kind {
            MessageKind::Discovery => discovery(fields, engine_lists),
            MessageKind::NewRequest => self.format.new_request(fields).map(Some),
            MessageKind::Sampled => self.format.probe_result(fields).map(Some),
            MessageKind::Reply => self.format.attempt_end(fields).map(Some),
            MessageKind::Timer => message::timer(fields).map(Some),
            MessageKind::Streaming => message::streaming(fields).map(Some),
            MessageKind::Progress => message::progress(fields),
            MessageKind::ClientGone => message::client_gone(fields).map(Some),
            // Dispatchers exchange no messages with each other; the host handles start and shutdown.
            MessageKind::Whisper | MessageKind::Provision | MessageKind::Shutdown => Ok(None),
        }
    }
}

fn message_format(document: &Value, class_count: usize) -> MessageFormat {
    // Parts of an unexpected type count as absent.
    let Section(settings) = Section::<FormatSettings>::deserialize(document).unwrap_or_default();
    let names = settings.stats.0.fields.0.into_iter();
    MessageFormat {
        class_count,
        load_fields: names.filter_map(|name| name.0).collect(),
        reports_cost: settings.family_info.0.tells_cost.0.unwrap_or(false),
    }
}

/// Decodes `discovery`; `None` for a discovery that failed.
fn discovery(fields: &Fields, engine_lists: &EngineLists) -> Result<Option<Event>, LineError> {
    let kind = fields.text("kind")?;
    if kind == "failed" {
        return Ok(None);
    }
    let number = fields.integer("bank")?;
    let list = engine_lists.get(&number).ok_or(LineError::UndefinedList(number))?;
    match kind {
        "delta" => Ok(Some(Event::EngineChanges(list.clone()))),
        "full" | "cached" => Ok(Some(Event::EngineList(list.clone()))),
        other => Err(LineError::UnknownKind(other.to_owned())),
    }
}
