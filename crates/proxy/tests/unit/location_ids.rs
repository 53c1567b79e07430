//! Tests that names keep their ids when a configuration reorders them.

use gaugestep_dispatch::interface::{MachineTypeId, MachineTypeSettings, ZoneId};
use serde_json::json;

use super::LocationIds;
use crate::config::Names;

/// Settings of a class for the first zone and machine type, with the names in this order.
fn translate(ids: &LocationIds, zones: &[&str], cores: &[(&str, f64)]) -> gaugestep_dispatch::Settings {
    let kinds: Vec<&str> = cores.iter().map(|(name, _)| *name).collect();
    let sizes: Vec<f64> = cores.iter().map(|(_, cores)| *cores).collect();
    let json = json!({"areas": zones, "kinds": kinds, "zone": 0, "family_info": {"size_cores": sizes},
        "services": [{"name": "lookup", "areas_open": [0, 7], "served_on": [0]}]});
    let mut settings = gaugestep_settings::decode(&json).unwrap();
    let owned = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    let names = Names { zones: owned(zones), machine_types: owned(&kinds), ..Names::default() };
    ids.translate(&mut settings, &names);
    settings
}

#[test]
fn the_names_of_the_first_configuration_have_their_positions_as_ids() {
    let ids = LocationIds::default();
    let settings = translate(&ids, &["a", "b"], &[("small", 8.0), ("large", 16.0)]);
    assert_eq!((ids.zone(Some("b")), ids.zone(None), settings.zone), (ZoneId(1), ZoneId(0), ZoneId(0)));
    assert_eq!(settings.machine_types.iter().map(|one| one.cores).collect::<Vec<_>>(), [8.0, 16.0]);
    assert_eq!(settings.classes[0].zones, Some(vec![ZoneId(0), ZoneId(usize::MAX)]));
}

#[test]
fn a_reordered_configuration_changes_no_id() {
    let ids = LocationIds::default();
    translate(&ids, &["a", "b"], &[("small", 8.0), ("large", 16.0)]);
    let listed_early = ids.zone(Some("c"));
    let settings = translate(&ids, &["c", "b"], &[("huge", 64.0), ("large", 32.0)]);
    assert_eq!((listed_early, settings.zone), (ZoneId(2), ZoneId(2)));
    assert_eq!(ids.zone(Some("b")), ZoneId(1));
    let class = &settings.classes[0];
    assert_eq!(class.zones, Some(vec![ZoneId(2), ZoneId(usize::MAX)]));
    assert_eq!(class.machine_types, Some(vec![ids.machine_type(Some("huge"))]));
    let cores = |name| settings.machine_types[ids.machine_type(Some(name)).0].cores;
    assert_eq!(
        (cores("small"), cores("large"), cores("huge")),
        (MachineTypeSettings::UNKNOWN.cores, 32.0, 64.0)
    );
    assert_eq!(ids.machine_type(None), MachineTypeId(usize::MAX));
}
