#![forbid(unsafe_code)]
//! Decodes the settings that the platform gives a dispatcher, as JSON, for the decision module.
//!
//! Keys that are absent, and values of an unexpected type, take the default that the protocol states. A number of
//! another type is an error if the setting is read at all. Values are not checked against each other here; see
//! [`Settings::validate`].

mod document;
pub mod lenient;

use gaugestep_dispatch::Settings;
use gaugestep_dispatch::interface::{
    ClassSettings, DedupGroup, Effect, FleetPosition, MachineId, MachineSettings, RetryBudgetSettings,
    SlowStartSettings, TenantSettings, ZoneId,
};
use serde::Deserialize as _;
use serde_json::Value;

use crate::document::{Document, FamilyInfo, Limits, Rules, Service};
use crate::lenient::{Lenient, Number, Section};

/// A setting that is to be a number has another type.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("setting '{key}' is {value}, not a number")]
pub struct SettingError {
    /// The key of the setting.
    pub key: &'static str,
    /// Its value.
    pub value: Value,
}

/// Decodes a settings document.
///
/// # Errors
///
/// The first setting, in the order of decoding, that is no number though one is needed.
pub fn decode(json: &Value) -> Result<Settings, SettingError> {
    // Every field of the document takes any value, so that decoding cannot fail before a number is read.
    let Section(document) = Section::<Document>::deserialize(json).unwrap_or_default();
    let (family, limits, rules) = (&document.family_info.0, &document.limits.0, &document.rules.0);
    let services = document.services.0.iter().enumerate();
    Ok(Settings {
        classes: services
            .map(|(index, service)| class(&service.0, family, index))
            .collect::<Result<_, _>>()?,
        machines: (0..document.kinds.0.len()).map(|kind| machine(family, kind)).collect(),
        tenants: document.orgs.0.iter().map(|tenant| tenant_settings(&tenant.0)).collect::<Result<_, _>>()?,
        retry_budget: retry_budget(rules)?,
        dispatchers: document.balancers.or("balancers", 1.0)? as usize,
        fleet_position: position(&document)?,
        zone: ZoneId(document.zone.or("zone", 0.0)? as usize),
        max_open: limits.max_open.or("max_open", f64::MAX)? as usize,
        max_attempts: limits.max_attempts.or("max_attempts", 1.0)? as usize,
        concurrent_attempts: flag(&limits.second_copies),
        cancellation: flag(&limits.cancelling),
        memory_queueing: text(&family.out_of_memory) == Some("queue"),
        memory_grants: flag(&family.takes_grants),
        priorities: flag(&family.lanes_count),
        over_quota_weight: document.over_share_worth.or("over_share_worth", 1.0)?,
        cross_zone_price: document.prices.0.cross_zone.or("cross_zone", 0.0)?,
        answer_slack: rules.answer_slack_ms.or("answer_slack_ms", 0.0)?,
        slow_start: slow_start(rules)?,
        order_pause: rules.order_pause_ms.or("order_pause_ms", 0.0)?,
        max_retry_after: max_retry_after(limits)?,
        routes: Vec::new(),
    })
}

fn flag(value: &Lenient<bool>) -> bool {
    value.0.unwrap_or(false)
}

fn text(value: &Lenient<String>) -> Option<&str> {
    value.0.as_deref()
}

/// The class of a service, which is the one at `index`.
fn class(service: &Service, family: &FamilyInfo, index: usize) -> Result<ClassSettings, SettingError> {
    Ok(ClassSettings {
        effect: effect(service)?,
        priority_weight: service.importance.or("importance", 1.0)?,
        late_fraction: service.late_share.or("late_share", 0.0)?,
        target_latency: service.aim_ms.or("aim_ms", 0.0)?,
        target_stretch: service.aim_stretch.or("aim_stretch", 0.0)?,
        threads: family.class_threads.get(index).unwrap_or(1.0),
        ordered: flag(&service.keep_order),
        locks_tables: family.writes_tables.get(index).unwrap_or(false),
        waits_for_loads: family.waits_for_loads.get(index).unwrap_or(false),
        zones: numbers(&service.areas_open, ZoneId),
        machines: numbers(&service.served_on, MachineId),
    })
}

/// What a repeat of a request does; a class that does not say so must never run twice.
fn effect(service: &Service) -> Result<Effect, SettingError> {
    Ok(match text(&service.effect) {
        Some("safe") => Effect::Safe,
        Some("keyed") => {
            let group = match text(&service.group) {
                Some("zone") => DedupGroup::Zone,
                Some("cell") => DedupGroup::Cell,
                _ => DedupGroup::All,
            };
            Effect::Keyed(group, service.window_ms.or("window_ms", 0.0)?)
        }
        _ => Effect::Unsafe,
    })
}

/// The entries of a list that are natural numbers; `None` where there is no list.
fn numbers<T>(list: &Lenient<Vec<Lenient<u64>>>, id: fn(usize) -> T) -> Option<Vec<T>> {
    let entries = list.0.as_ref()?;
    Some(entries.iter().filter_map(|entry| entry.0).map(|number| id(number as usize)).collect())
}

fn machine(family: &FamilyInfo, kind: usize) -> MachineSettings {
    MachineSettings {
        cores: family.size_cores.get(kind).unwrap_or(1.0),
        memory_mb: family.ram_of_kind_mb.get(kind).unwrap_or(0.0),
    }
}

fn tenant_settings(tenant: &document::Organisation) -> Result<TenantSettings, SettingError> {
    Ok(TenantSettings { quota_per_s: tenant.quota_per_s.or("quota_per_s", 0.0)? })
}

/// The budget for retries; none without a window. Its other numbers are not read then.
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

/// The longest wait that clients are asked for; 0 and not read where they take no such hint.
fn max_retry_after(limits: &Limits) -> Result<f64, SettingError> {
    match flag(&limits.retry_after) {
        true => limits.max_retry_after_ms.or("max_retry_after_ms", 0.0),
        false => Ok(0.0),
    }
}

/// The dispatcher's ordinal in the fleet, where the settings state one.
fn position(document: &Document) -> Result<FleetPosition, SettingError> {
    let (own, all) = (document.me.or("me", -1.0)?, document.balancers.or("balancers", 1.0)?);
    let ordinal = (own >= 0.0 && own < all).then(|| FleetPosition::ordinal(own as u32, all as u32));
    Ok(ordinal.flatten().unwrap_or(FleetPosition::NameKey(0)))
}
