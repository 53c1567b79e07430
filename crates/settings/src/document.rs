//! The settings document as the platform writes it. Field names are the document's keys.

use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::lenient::{Lenient, List, Number, Section};

/// The document.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Document {
    pub services: List<Section<Service>>,
    pub kinds: List<IgnoredAny>,
    pub orgs: List<Section<Organisation>>,
    pub family_info: Section<FamilyInfo>,
    pub limits: Section<Limits>,
    pub rules: Section<Rules>,
    pub prices: Section<Prices>,
    /// How many dispatchers there are.
    pub balancers: Number,
    /// This dispatcher's number among them, from 0.
    pub me: Number,
    pub zone: Number,
    pub over_share_worth: Number,
}

/// One class of requests.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Service {
    pub effect: Lenient<String>,
    pub group: Lenient<String>,
    pub window_ms: Number,
    pub importance: Number,
    pub late_share: Number,
    pub aim_ms: Number,
    pub aim_stretch: Number,
    pub keep_order: Lenient<bool>,
    pub areas_open: Lenient<Vec<Lenient<u64>>>,
    pub served_on: Lenient<Vec<Lenient<u64>>>,
}

/// One tenant.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Organisation {
    pub quota_per_s: Number,
}

/// What the engines are like. Lists that start with `class_`, `writes_` and `waits_` run parallel to `services`, the
/// others to `kinds`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct FamilyInfo {
    pub class_threads: List<Lenient<f64>>,
    pub writes_tables: List<Lenient<bool>>,
    pub waits_for_loads: List<Lenient<bool>>,
    pub size_cores: List<Lenient<f64>>,
    pub ram_of_kind_mb: List<Lenient<f64>>,
    pub out_of_memory: Lenient<String>,
    pub takes_grants: Lenient<bool>,
    pub lanes_count: Lenient<bool>,
}

/// What a dispatcher may do.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Limits {
    pub max_open: Number,
    pub max_attempts: Number,
    pub second_copies: Lenient<bool>,
    pub cancelling: Lenient<bool>,
    pub retry_after: Lenient<bool>,
    pub max_retry_after_ms: Number,
}

/// The rules that requests and engines are held to.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Rules {
    pub answer_slack_ms: Number,
    pub cold_share: Number,
    pub warm_within_ms: Number,
    pub tip_multiple: Number,
    pub overload_for_ms: Number,
    pub order_pause_ms: Number,
    pub budget_free: Number,
    pub further_ratio: Number,
    pub ratio_span_ms: Number,
}

/// What attempts cost.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Prices {
    pub cross_zone: Number,
}
