//! The settings document in the platform's JSON format. Field names are the document's keys.

use serde::Deserialize;
use serde::de::IgnoredAny;

use crate::lenient::{Lenient, List, Number, Section};

/// The settings document of one dispatcher.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Document {
    /// The classes of requests.
    pub services: List<Section<Class>>,
    /// The machine types, of which only the number is used here.
    pub kinds: List<IgnoredAny>,
    /// The tenants.
    pub orgs: List<Section<Tenant>>,
    pub family_info: Section<EngineFamily>,
    pub limits: Section<Limits>,
    pub rules: Section<Rules>,
    pub prices: Section<Prices>,
    /// The number of dispatchers in the fleet.
    pub balancers: Number,
    /// The ordinal of this dispatcher, from 0.
    pub me: Number,
    /// The zone of this dispatcher.
    pub zone: Number,
    /// The factor on the priority weight of requests beyond their tenant's quota.
    pub over_share_worth: Number,
}

/// An entry of `services`: one class of requests.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Class {
    /// The idempotency: `safe` or `keyed`. With any other value requests must not run more than once.
    pub effect: Lenient<String>,
    /// The engines that deduplicate a keyed request among themselves: `zone`, `cell` or, by default, all.
    pub group: Lenient<String>,
    /// The deduplication window of a keyed request.
    pub window_ms: Number,
    /// The priority weight of a response within the target latency.
    pub importance: Number,
    /// The fraction of the priority weight that a response after the target latency keeps.
    pub late_share: Number,
    /// The time from a request's arrival within which a response has the full priority weight.
    pub aim_ms: Number,
    /// The factor of the estimated run time by which the target latency is extended.
    pub aim_stretch: Number,
    /// Whether requests with the same order key run one at a time.
    pub keep_order: Lenient<bool>,
    /// The zones of the engines that the class may be sent to. Absent if all zones are allowed.
    pub areas_open: Lenient<Vec<Lenient<u64>>>,
    /// The machine types of the engines that the class may be sent to. Absent if all types are allowed.
    pub served_on: Lenient<Vec<Lenient<u64>>>,
}

/// An entry of `orgs`: one tenant.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Tenant {
    /// The quota in requests per second, over all dispatchers.
    pub quota_per_s: Number,
}

/// The properties of the engines. Lists that start with `class_`, `writes_` and `waits_` have one entry for
/// each class in `services`, the other lists one for each machine type in `kinds`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct EngineFamily {
    /// The number of threads that a query of the class runs on.
    pub class_threads: List<Lenient<f64>>,
    /// Whether a query of the class locks its tables while it runs.
    pub writes_tables: List<Lenient<bool>>,
    /// Whether a query of the class is blocked while a load locks its tables.
    pub waits_for_loads: List<Lenient<bool>>,
    /// The number of cores of an engine of the machine type.
    pub size_cores: List<Lenient<f64>>,
    /// The memory of an engine of the machine type.
    pub ram_of_kind_mb: List<Lenient<f64>>,
    /// `queue` if queries queue on an engine whose memory is used up.
    pub out_of_memory: Lenient<String>,
    /// Whether engines apply a memory grant.
    pub takes_grants: Lenient<bool>,
    /// Whether engines apply a priority.
    pub lanes_count: Lenient<bool>,
}

/// The limits of a dispatcher, and which features it may use.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Limits {
    /// The maximum number of open requests.
    pub max_open: Number,
    /// The maximum number of attempts of one request, the first one included.
    pub max_attempts: Number,
    /// Whether a relaunch may be sent before the cancelled attempt has ended.
    pub second_copies: Lenient<bool>,
    /// Whether attempts in flight may be cancelled.
    pub cancelling: Lenient<bool>,
    /// Whether clients honour a retry delay.
    pub retry_after: Lenient<bool>,
    /// The longest retry delay that clients honour.
    pub max_retry_after_ms: Number,
}

/// The rules for responses, engine start, order keys and retries.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Rules {
    /// The time after the deadline during which a final response still counts as timely.
    pub answer_slack_ms: Number,
    /// The fraction of its capacity that an engine has at its start.
    pub cold_share: Number,
    /// The age at which an engine has warmed up.
    pub warm_within_ms: Number,
    /// The multiple of its capacity that overloads a warming engine if it receives it for `overload_for_ms`.
    pub tip_multiple: Number,
    /// The window over which the work sent to a warming engine is summed up.
    pub overload_for_ms: Number,
    /// The time for which an order key is paused after an attempt that may still be running.
    pub order_pause_ms: Number,
    /// The number of retries allowed in any window of the retry budget.
    pub budget_free: Number,
    /// The number of additional retries allowed for each request in the window.
    pub further_ratio: Number,
    /// The window of the retry budget. Absent if there is no budget.
    pub ratio_span_ms: Number,
}

/// The penalties for attempts.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Prices {
    /// The penalty for an attempt on an engine in another zone.
    pub cross_zone: Number,
}
