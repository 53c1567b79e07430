#![forbid(unsafe_code)]
//! Decodes the settings that the platform gives a dispatcher, as JSON, for the decision module.

use gaugestep_dispatch::Settings;
use gaugestep_dispatch::interface::*;
use serde_json::Value;

type Result<T> = std::result::Result<T, String>;

/// The entries of a list; none where there is no list.
pub fn list<'a>(json: &'a Value, key: &str) -> &'a [Value] {
    json[key].as_array().map_or(&[], Vec::as_slice)
}

/// A truth value; false where there is none.
pub fn flag(json: &Value, key: &str) -> bool {
    json[key].as_bool().unwrap_or(false)
}

fn real(json: &Value, key: &str, absent: f64) -> Result<f64> {
    match &json[key] {
        Value::Null => Ok(absent),
        value => value.as_f64().ok_or_else(|| format!("setting '{key}' is {value}, not a number")),
    }
}

fn places(json: &Value, key: &str) -> Option<Vec<usize>> {
    json[key].as_array().map(|all| all.iter().filter_map(Value::as_u64).map(|place| place as usize).collect())
}

/// Reads the settings object; keys that are absent take the meaning that the wire's page gives them.
pub fn settings(json: &Value) -> Result<Settings> {
    let (limits, rules, family) = (&json["limits"], &json["rules"], &json["family_info"]);
    let mut classes = Vec::new();
    for (index, class) in list(json, "services").iter().enumerate() {
        let of_class = |key: &str| family[key].get(index);
        let effect = match class["effect"].as_str() {
            Some("safe") => Effect::Safe,
            Some("keyed") => {
                let group = match class["group"].as_str() {
                    Some("zone") => DedupGroup::Zone,
                    Some("cell") => DedupGroup::Cell,
                    _ => DedupGroup::All,
                };
                Effect::Keyed(group, real(class, "window_ms", 0.0)?)
            }
            _ => Effect::Unsafe,
        };
        classes.push(ClassSettings {
            effect,
            priority_weight: real(class, "importance", 1.0)?,
            late_fraction: real(class, "late_share", 0.0)?,
            target_latency: real(class, "aim_ms", 0.0)?,
            target_stretch: real(class, "aim_stretch", 0.0)?,
            threads: of_class("class_threads").and_then(Value::as_f64).unwrap_or(1.0),
            ordered: flag(class, "keep_order"),
            locks_tables: of_class("writes_tables").and_then(Value::as_bool).unwrap_or(false),
            waits_for_loads: of_class("waits_for_loads").and_then(Value::as_bool).unwrap_or(false),
            zones: places(class, "areas_open").map(|all| all.into_iter().map(ZoneId).collect()),
            machines: places(class, "served_on").map(|all| all.into_iter().map(MachineId).collect()),
        });
    }
    let machines = (0..list(json, "kinds").len())
        .map(|kind| MachineSettings {
            cores: family["size_cores"].get(kind).and_then(Value::as_f64).unwrap_or(1.0),
            memory_mb: family["ram_of_kind_mb"].get(kind).and_then(Value::as_f64).unwrap_or(0.0),
        })
        .collect();
    let mut tenants = Vec::new();
    for tenant in list(json, "orgs") {
        tenants.push(TenantSettings { quota_per_s: real(tenant, "quota_per_s", 0.0)? });
    }
    let budget = match rules.get("ratio_span_ms") {
        None | Some(Value::Null) => None,
        Some(_) => Some(RetryBudgetSettings {
            min_retries: real(rules, "budget_free", 0.0)?,
            ratio: real(rules, "further_ratio", 0.0)?,
            window: real(rules, "ratio_span_ms", 0.0)?,
        }),
    };
    Ok(Settings {
        classes,
        machines,
        tenants,
        dispatchers: real(json, "balancers", 1.0)? as usize,
        fleet_position: place(json)?,
        zone: ZoneId(real(json, "zone", 0.0)? as usize),
        max_open: real(limits, "max_open", f64::MAX)? as usize,
        max_attempts: real(limits, "max_attempts", 1.0)? as usize,
        concurrent_attempts: flag(limits, "second_copies"),
        cancellation: flag(limits, "cancelling"),
        memory_queueing: family["out_of_memory"].as_str() == Some("queue"),
        memory_grants: flag(family, "takes_grants"),
        priorities: flag(family, "lanes_count"),
        over_quota_weight: real(json, "over_share_worth", 1.0)?,
        cross_zone_price: real(&json["prices"], "cross_zone", 0.0)?,
        answer_slack: real(rules, "answer_slack_ms", 0.0)?,
        slow_start: SlowStartSettings {
            initial_share: real(rules, "cold_share", 1.0)?,
            warm_up: real(rules, "warm_within_ms", 0.0)?,
            capacity_multiple: real(rules, "tip_multiple", 0.0)?,
            window: real(rules, "overload_for_ms", 0.0)?,
        },
        order_pause: real(rules, "order_pause_ms", 0.0)?,
        retry_budget: budget,
        max_retry_after: match flag(limits, "retry_after") {
            true => real(limits, "max_retry_after_ms", 0.0)?,
            false => 0.0,
        },
        routes: Vec::new(),
    })
}

/// Where a dispatcher stands: its number among all, where the settings tell it.
fn place(json: &Value) -> Result<FleetPosition> {
    let (own, all) = (real(json, "me", -1.0)?, real(json, "balancers", 1.0)?);
    let seat = (own >= 0.0 && own < all).then(|| FleetPosition::ordinal(own as u32, all as u32));
    Ok(seat.flatten().unwrap_or(FleetPosition::NameKey(0)))
}
