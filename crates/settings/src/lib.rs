#![forbid(unsafe_code)]
//! Decodes the JSON settings that the platform gives a dispatcher into the [`Settings`] of the decision
//! module.
//!
//! A key that is absent, or whose value has an unexpected type, gets the default of the protocol. For a
//! setting that must be a number, a value of another type is an error, but only if the setting is read. The
//! ranges of values are checked by [`Settings::validate`], not here.

mod document;
pub mod lenient;

use gaugestep_dispatch::Settings;
use gaugestep_dispatch::interface::{
    ClassSettings, DedupGroup, FleetPosition, Idempotency, MachineTypeId, MachineTypeSettings,
    RetryBudgetSettings, SlowStartSettings, TenantSettings, ZoneId,
};
use serde::Deserialize as _;
use serde_json::Value;

use crate::document::{Class, Document, EngineFamily, Limits, Rules, Tenant};
use crate::lenient::{Lenient, Number, Section};

/// A setting that must be a number has a value of another type.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("setting '{key}' is {value}, not a number")]
pub struct SettingError {
    /// The key of the setting.
    pub key: &'static str,
    /// The value of the setting.
    pub value: Value,
}

/// Decodes a settings document.
///
/// # Errors
///
/// A [`SettingError`] for the first setting, in the order of decoding, that is read as a number and is not
/// one.
pub fn decode(json: &Value) -> Result<Settings, SettingError> {
    // Every field of the document accepts any value, so that decoding cannot fail before a number is read.
    let Section(document) = Section::<Document>::deserialize(json).unwrap_or_default();
    let (family, limits, rules) = (&document.family_info.0, &document.limits.0, &document.rules.0);
    let classes = document.services.0.iter().enumerate();
    Ok(Settings {
        classes: classes
            .map(|(index, class)| class_settings(&class.0, family, index))
            .collect::<Result<_, _>>()?,
        machine_types: (0..document.kinds.0.len())
            .map(|index| machine_type_settings(family, index))
            .collect(),
        tenants: document.orgs.0.iter().map(|tenant| tenant_settings(&tenant.0)).collect::<Result<_, _>>()?,
        retry_budget: retry_budget(rules)?,
        dispatchers: document.balancers.or("balancers", 1.0)? as usize,
        fleet_position: fleet_position(&document)?,
        zone: ZoneId(document.zone.or("zone", 0.0)? as usize),
        max_open: limits.max_open.or("max_open", f64::MAX)? as usize,
        max_attempts: limits.max_attempts.or("max_attempts", 1.0)? as usize,
        concurrent_attempts: flag(&limits.second_copies),
        cancellation: flag(&limits.cancelling),
        memory_queueing: text(&family.out_of_memory) == Some("queue"),
        memory_grants: flag(&family.takes_grants),
        priorities: flag(&family.lanes_count),
        over_quota_weight_factor: document.over_share_worth.or("over_share_worth", 1.0)?,
        cross_zone_penalty: document.prices.0.cross_zone.or("cross_zone", 0.0)?,
        response_slack: rules.answer_slack_ms.or("answer_slack_ms", 0.0)?,
        slow_start: slow_start(rules)?,
        order_pause: rules.order_pause_ms.or("order_pause_ms", 0.0)?,
        max_retry_after: max_retry_after(limits)?,
        routes: Vec::new(),
    })
}

/// A switch, which is off if absent.
fn flag(value: &Lenient<bool>) -> bool {
    value.0.unwrap_or(false)
}

fn text(value: &Lenient<String>) -> Option<&str> {
    value.0.as_deref()
}

/// The settings of the class at `index` of the document.
fn class_settings(class: &Class, family: &EngineFamily, index: usize) -> Result<ClassSettings, SettingError> {
    Ok(ClassSettings {
        idempotency: idempotency(class)?,
        priority_weight: class.importance.or("importance", 1.0)?,
        late_fraction: class.late_share.or("late_share", 0.0)?,
        target_latency: class.aim_ms.or("aim_ms", 0.0)?,
        target_stretch: class.aim_stretch.or("aim_stretch", 0.0)?,
        threads: family.class_threads.get(index).unwrap_or(1.0),
        ordered: flag(&class.keep_order),
        locks_tables: family.writes_tables.get(index).unwrap_or(false),
        waits_for_loads: family.waits_for_loads.get(index).unwrap_or(false),
        zones: ids(&class.areas_open, ZoneId),
        machine_types: ids(&class.served_on, MachineTypeId),
    })
}

/// The idempotency of a class; without a known value its requests must not run more than once.
fn idempotency(class: &Class) -> Result<Idempotency, SettingError> {
    Ok(match text(&class.effect) {
        Some("safe") => Idempotency::Safe,
        Some("keyed") => {
            let group = match text(&class.group) {
                Some("zone") => DedupGroup::Zone,
                Some("cell") => DedupGroup::Cell,
                _ => DedupGroup::All,
            };
            Idempotency::Keyed(group, class.window_ms.or("window_ms", 0.0)?)
        }
        _ => Idempotency::Unsafe,
    })
}

/// The ids of a list, without the entries that are not non-negative integers; `None` if the value is not a
/// list.
fn ids<T>(list: &Lenient<Vec<Lenient<u64>>>, id: fn(usize) -> T) -> Option<Vec<T>> {
    let entries = list.0.as_ref()?;
    Some(entries.iter().filter_map(|entry| entry.0).map(|number| id(number as usize)).collect())
}

/// The settings of the machine type at `index` of the document.
fn machine_type_settings(family: &EngineFamily, index: usize) -> MachineTypeSettings {
    MachineTypeSettings {
        cores: family.size_cores.get(index).unwrap_or(1.0),
        memory_mb: family.ram_of_kind_mb.get(index).unwrap_or(0.0),
    }
}

fn tenant_settings(tenant: &Tenant) -> Result<TenantSettings, SettingError> {
    Ok(TenantSettings { quota_per_s: tenant.quota_per_s.or("quota_per_s", 0.0)? })
}

/// The retry budget. `None` without a window; the other numbers of the budget are not read in this case.
fn retry_budget(rules: &Rules) -> Result<Option<RetryBudgetSettings>, SettingError> {
    if rules.ratio_span_ms == Number::Absent {
        return Ok(None);
    }
    Ok(Some(RetryBudgetSettings {
        min_retries: rules.budget_free.or("budget_free", 0.0)?,
        ratio: rules.further_ratio.or("further_ratio", 0.0)?,
        window: rules.ratio_span_ms.or("ratio_span_ms", 0.0)?,
    }))
}

fn slow_start(rules: &Rules) -> Result<SlowStartSettings, SettingError> {
    Ok(SlowStartSettings {
        initial_fraction: rules.cold_share.or("cold_share", 1.0)?,
        warm_up_ms: rules.warm_within_ms.or("warm_within_ms", 0.0)?,
        capacity_multiple: rules.tip_multiple.or("tip_multiple", 0.0)?,
        window_ms: rules.overload_for_ms.or("overload_for_ms", 0.0)?,
    })
}

/// The longest retry delay that clients honour. 0, without reading the limit, if they honour none.
fn max_retry_after(limits: &Limits) -> Result<f64, SettingError> {
    match flag(&limits.retry_after) {
        true => limits.max_retry_after_ms.or("max_retry_after_ms", 0.0),
        false => Ok(0.0),
    }
}

/// The dispatcher's ordinal in the fleet if the document has a valid one; otherwise the name key 0.
fn fleet_position(document: &Document) -> Result<FleetPosition, SettingError> {
    let ordinal = document.me.or("me", -1.0)?;
    let fleet_size = document.balancers.or("balancers", 1.0)?;
    let is_valid = ordinal >= 0.0 && ordinal < fleet_size;
    let position = is_valid.then(|| FleetPosition::ordinal(ordinal as u32, fleet_size as u32));
    Ok(position.flatten().unwrap_or(FleetPosition::NameKey(0)))
}
