//! The settings of a dispatcher.

use std::collections::BTreeMap;

use thiserror::Error;

use super::*;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Safe,
    /// The engines of this group deduplicate repeats by the request's id within this window, in ms.
    Keyed(DedupGroup, Millis),
    /// The request must not run more than once.
    Unsafe,
}

/// The engines that deduplicate the repeats of a keyed request among themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All engines deduplicate together.
    All,
    /// The engines of one zone deduplicate together.
    Zone,
    /// The engines of one cell deduplicate together.
    Cell,
}

impl DedupGroup {
    /// Whether the group of one engine also contains the other.
    pub fn contains_both(self, one: &EngineEntry, other: &EngineEntry) -> bool {
        match self {
            DedupGroup::All => true,
            DedupGroup::Zone => one.zone == other.zone,
            DedupGroup::Cell => one.cell == other.cell,
        }
    }
}

/// The settings of one class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Whether requests of the class may run more than once.
    pub idempotency: Idempotency,
    /// The weight of a response within the target latency, relative to the other classes; 0 or more.
    pub priority_weight: f64,
    /// The fraction of the priority weight that a response after the target latency keeps; 0 or more.
    pub late_fraction: f64,
    /// The time from a request's arrival within which a response has the full priority weight, in ms, before
    /// `target_stretch` is added.
    pub target_latency: Millis,
    /// The target latency is extended by this factor times the estimated run time of the request alone.
    pub target_stretch: f64,
    /// The number of threads that a query runs on; above 0.
    pub threads: f64,
    /// True if requests with the same order key run one at a time, in the order of arrival.
    pub ordered: bool,
    /// True if a query locks its tables on its engine while it runs, as loads do.
    pub locks_tables: bool,
    /// True if a query is blocked on an engine while a load there locks its tables. No policy of the
    /// dispatcher reads it.
    pub waits_for_loads: bool,
    /// The zones of the engines that the class may be sent to. None allows all zones.
    pub zones: Option<Vec<ZoneId>>,
    /// The machine types of the engines that the class may be sent to. None allows all types.
    pub machine_types: Option<Vec<MachineTypeId>>,
}

impl ClassSettings {
    /// Whether the class may be sent to some zones or machine types only.
    pub fn has_placement_constraints(&self) -> bool {
        self.zones.is_some() || self.machine_types.is_some()
    }
}

/// The settings of one machine type.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineTypeSettings {
    /// The number of cores of an engine; above 0.
    pub cores: f64,
    /// The memory of an engine in MB; 0 if unknown, which disables the check of memory.
    pub memory_mb: f64,
}

impl MachineTypeSettings {
    /// The settings of a machine type that the settings of the dispatcher do not contain.
    pub const UNKNOWN: MachineTypeSettings = MachineTypeSettings { cores: 1.0, memory_mb: 0.0 };
}

/// The settings of one tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantSettings {
    /// The quota in requests per second, over all dispatchers; 0 if the tenant has none.
    pub quota_per_s: f64,
}

/// The retry budget, which limits the attempts beyond a request's first one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// The number of retries allowed in any window without regard to the number of requests.
    pub min_retries: f64,
    /// The number of additional retries allowed for each request that arrives in the window.
    pub ratio: f64,
    /// The length of the window, in ms.
    pub window: Millis,
}

/// A rule that sends requests of some classes and tenants to certain engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The classes that the route applies to. None matches all classes.
    pub classes: Option<Vec<ClassId>>,
    /// The tenants that the route applies to. None matches all tenants.
    pub tenants: Option<Vec<TenantId>>,
    /// The engines that may serve a matching request, with their relative weights. None allows all engines
    /// with equal weights.
    pub engines: Option<BTreeMap<EngineId, f64>>,
}

/// The settings of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes of requests, indexed by [`ClassId`]; at least one.
    pub classes: Vec<ClassSettings>,
    /// The machine types, indexed by [`MachineTypeId`].
    pub machine_types: Vec<MachineTypeSettings>,
    /// The tenants, indexed by [`TenantId`]; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// The number of dispatchers in the fleet; 1 or more.
    pub dispatchers: usize,
    /// The position of this dispatcher in the fleet while the roster assigns none.
    pub fleet_position: FleetPosition,
    /// The zone of this dispatcher.
    pub zone: ZoneId,
    /// The maximum number of open requests. Beyond it the waiting requests of the lowest rank are rejected.
    pub max_open: usize,
    /// The maximum number of attempts of one request, the first one included; 0 counts as 1.
    pub max_attempts: usize,
    /// True if a relaunch may be sent before the cancelled attempt has ended.
    pub concurrent_attempts: bool,
    /// True if attempts in flight may be cancelled.
    pub cancellation: bool,
    /// True if the engines apply the memory grant of [`Action::SetAttemptOptions`].
    pub memory_grants: bool,
    /// True if queries queue on an engine whose memory is used up; false if they run with a smaller grant.
    pub memory_queueing: bool,
    /// True if the engines apply the priority of [`Action::SetAttemptOptions`].
    pub priorities: bool,
    /// The factor on the priority weight of requests beyond their tenant's quota; with 1 quotas have
    /// no effect.
    pub over_quota_weight_factor: f64,
    /// The penalty for an attempt on an engine in another zone, as a fraction of the value of a first
    /// attempt; 0 for none. Placement raises the load of engines in other zones in proportion to it.
    pub cross_zone_penalty: f64,
    /// The time after the deadline during which a final response still counts as timely, in ms. No policy of
    /// the dispatcher reads it.
    pub response_slack: Millis,
    /// The warm-up of a freshly started engine, and the load that it tolerates meanwhile.
    pub slow_start: SlowStartSettings,
    /// The time for which an order key is paused after an attempt that may still be running, in ms.
    pub order_pause: Millis,
    /// The retry budget. None if retries are not limited by a budget.
    pub retry_budget: Option<RetryBudgetSettings>,
    /// The longest retry delay that clients honour, in ms. Every rejection carries it; 0 if no delay is sent.
    pub max_retry_after: Millis,
    /// The routes. The first one that matches a request applies; without a match all engines have the same
    /// weight.
    pub routes: Vec<Route>,
}

impl Settings {
    /// The weight of an engine in the route of a request, relative to other engines; 0 excludes the engine.
    pub fn route_weight(&self, new: &NewRequest, engine: EngineId) -> f64 {
        let applies = |route: &&Route| {
            route.classes.as_ref().is_none_or(|classes| classes.contains(&new.class))
                && route.tenants.as_ref().is_none_or(|tenants| tenants.contains(&new.tenant))
        };
        match self.routes.iter().find(applies).and_then(|route| route.engines.as_ref()) {
            Some(engines) => engines.get(&engine).copied().unwrap_or(0.0),
            None => 1.0,
        }
    }

    /// The machine type of an engine; for a type without settings, one core and unknown memory.
    pub fn machine_type(&self, entry: &EngineEntry) -> MachineTypeSettings {
        self.machine_types.get(entry.machine_type.0).copied().unwrap_or(MachineTypeSettings::UNKNOWN)
    }

    /// The order key of a request. None if it has none or its class is not ordered.
    ///
    /// # Panics
    ///
    /// If there is no such class.
    pub fn order_key<'a>(&self, new: &'a NewRequest) -> Option<&'a OrderKey> {
        new.order_key.as_ref().filter(|_| self.class(new).ordered)
    }

    /// The settings of a request's class.
    ///
    /// # Panics
    ///
    /// If there is no such class.
    pub fn class(&self, new: &NewRequest) -> &ClassSettings {
        &self.classes[new.class.0]
    }

    /// Checks that the values are in their ranges.
    ///
    /// # Errors
    ///
    /// A [`SettingsError`] that names the first invalid field.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let settings = self;
        let fail = |field, reason| Err(SettingsError { field, reason });
        let is_valid = |value: f64| value.is_finite() && value >= 0.0;
        if settings.classes.is_empty() {
            return fail("classes", "must not be empty");
        }
        let times = [
            ("answer_slack", settings.response_slack),
            ("cold.warm_within", settings.slow_start.warm_up_ms),
            ("cold.span", settings.slow_start.window_ms),
            ("order_pause", settings.order_pause),
            ("max_retry_after", settings.max_retry_after),
            ("budget.span", settings.retry_budget.map_or(0.0, |budget| budget.window)),
        ];
        for (field, value) in times {
            if !is_valid(value) {
                return fail(field, "must be a finite time of 0 or more");
            }
        }
        if settings.dispatchers == 0 {
            return fail("dispatchers", "must be 1 or more");
        }
        if !(0.0..=1.0).contains(&settings.slow_start.initial_fraction) {
            return fail("cold.share", "must lie between 0 and 1");
        }
        if !is_valid(settings.slow_start.capacity_multiple) {
            return fail("cold.multiple", "must be finite and 0 or more");
        }
        for class in &settings.classes {
            if !is_valid(class.target_latency)
                || !is_valid(class.target_stretch)
                || !is_valid(class.priority_weight)
                || !is_valid(class.late_fraction)
            {
                return fail("classes", "must have finite aims and worths of 0 or more");
            }
            if !class.threads.is_finite() || class.threads <= 0.0 {
                return fail("classes.threads", "must be above 0");
            }
        }
        for machine_type in &settings.machine_types {
            if !machine_type.cores.is_finite() || machine_type.cores <= 0.0 {
                return fail("machines.cores", "must be above 0");
            }
        }
        Ok(())
    }
}

/// Settings with a value out of its range.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("unusable settings: {field} {reason}")]
pub struct SettingsError {
    /// The name of the invalid field in error messages, which may differ from its name in [`Settings`].
    pub field: &'static str,
    /// The rule that the field breaks.
    pub reason: &'static str,
}
