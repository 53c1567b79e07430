//! Ids of zones and machine types by their names.
//!
//! A name keeps its id while the process runs, whatever position it has in a reloaded configuration: engines
//! that are listed, attempts in flight and classes of earlier settings refer to zones and machine types by
//! these ids.

use std::collections::HashMap;
use std::sync::Mutex;

use gaugestep_dispatch::Settings;
use gaugestep_dispatch::interface::{MachineTypeId, MachineTypeSettings, ZoneId};

use crate::config::Names;
use crate::lock;

/// The id of a position that the configuration has no name for. No engine has it.
const NO_ID: usize = usize::MAX;

/// Ids by name, in the order in which the names were first used.
#[derive(Debug, Default)]
struct IdTable(Mutex<HashMap<String, usize>>);

impl IdTable {
    /// Returns the id of a name, which is a new one if the name has none.
    fn id(&self, name: &str) -> usize {
        let mut ids = lock(&self.0);
        if let Some(id) = ids.get(name) {
            return *id;
        }
        let id = ids.len();
        ids.insert(name.to_owned(), id);
        id
    }

    /// Returns the id of each name, in the order of the names.
    fn ids(&self, names: &[String]) -> Vec<usize> {
        names.iter().map(|name| self.id(name)).collect()
    }
}

/// The ids of all zones and machine types that a configuration or the endpoint list has named.
#[derive(Debug, Default)]
pub struct LocationIds {
    zones: IdTable,
    machine_types: IdTable,
}

impl LocationIds {
    /// Returns the id of a zone of the endpoint list. An engine without a zone counts as in the first zone of
    /// the configuration of the start.
    pub fn zone(&self, name: Option<&str>) -> ZoneId {
        ZoneId(name.map_or(0, |name| self.zones.id(name)))
    }

    /// Returns the id of a machine type of the endpoint list.
    pub fn machine_type(&self, name: Option<&str>) -> MachineTypeId {
        MachineTypeId(name.map_or(NO_ID, |name| self.machine_types.id(name)))
    }

    /// Converts settings whose zones and machine types are positions in `names` to ids.
    pub fn translate(&self, settings: &mut Settings, names: &Names) {
        let zones = self.zones.ids(&names.zones);
        let machine_types = self.machine_types.ids(&names.machine_types);
        let zone_id = |zone: &mut ZoneId| zone.0 = zones.get(zone.0).copied().unwrap_or(NO_ID);
        let machine_type_id =
            |id: &mut MachineTypeId| id.0 = machine_types.get(id.0).copied().unwrap_or(NO_ID);
        if !zones.is_empty() {
            zone_id(&mut settings.zone);
        }
        for class in &mut settings.classes {
            class.zones.iter_mut().flatten().for_each(zone_id);
            class.machine_types.iter_mut().flatten().for_each(machine_type_id);
        }
        settings.machine_types = reorder(&settings.machine_types, &machine_types);
    }
}

/// Returns the settings of machine types by id. Ids between them, of machine types that the configuration
/// does not name, get the settings of an unknown one. Of several settings with one id the first ones apply.
fn reorder(settings: &[MachineTypeSettings], ids: &[usize]) -> Vec<MachineTypeSettings> {
    let count = ids.iter().max().map_or(0, |id| id + 1);
    let mut by_id = vec![MachineTypeSettings::UNKNOWN; count];
    for (id, settings) in ids.iter().zip(settings).rev() {
        by_id[*id] = *settings;
    }
    by_id
}

#[cfg(test)]
#[path = "../tests/unit/location_ids.rs"]
mod tests;
