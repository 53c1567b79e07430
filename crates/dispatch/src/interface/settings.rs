//! The settings of a dispatcher.

use std::collections::BTreeMap;

use thiserror::Error;

use super::*;

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// It may be repeated freely.
    Safe,
    /// The engines of this group drop repeats within the window.
    Keyed(DedupGroup, Millis),
    /// It must never run twice.
    Unsafe,
}

/// Which engines drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// Every engine.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

impl DedupGroup {
    /// Whether two engines are in one group.
    pub fn has_both(self, one: &EngineEntry, other: &EngineEntry) -> bool {
        match self {
            DedupGroup::All => true,
            DedupGroup::Zone => one.zone == other.zone,
            DedupGroup::Cell => one.cell == other.cell,
        }
    }
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// What a repeat would do.
    pub effect: Effect,
    /// What an answer within the target latency counts for, against other requests.
    pub priority_weight: f64,
    /// The fraction of the priority weight that a later answer keeps.
    pub late_fraction: f64,
    /// An answer within this time has the full priority weight.
    pub target_latency: Millis,
    /// The target latency grows by this times the true work over the threads.
    pub target_stretch: f64,
    /// Threads that a query runs on.
    pub threads: f64,
    /// True if requests of one key must run in turn.
    pub ordered: bool,
    /// True if it locks its tables on its engine while it runs, as loads do.
    pub locks_tables: bool,
    /// True if it is blocked while a load locks its tables.
    pub waits_for_loads: bool,
    /// The only zones it may be sent to, if it is bound.
    pub zones: Option<Vec<ZoneId>>,
    /// The only kinds of machine it may be sent to, if it is bound.
    pub machines: Option<Vec<MachineId>>,
}

impl ClassSettings {
    /// Whether it may be sent to some zones or machines only.
    pub fn is_bound(&self) -> bool {
        self.zones.is_some() || self.machines.is_some()
    }
}

/// One kind of machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineSettings {
    /// Cores of one engine.
    pub cores: f64,
    /// Memory of one engine in MB; 0 if unknown.
    pub memory_mb: f64,
}

/// One tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantSettings {
    /// Its quota of requests a second, over all dispatchers; 0 if it has none.
    pub quota_per_s: f64,
}

/// The budget of retries: attempts beyond a request's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries allowed in any window, however light the traffic.
    pub min_retries: f64,
    /// Retries allowed for each request that arrives in the window.
    pub ratio: f64,
    /// The length of the window.
    pub window: Millis,
}

/// Where requests of some classes and tenants may go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The classes that it applies to; all, if none are named.
    pub classes: Option<Vec<ClassId>>,
    /// The tenants that it applies to; all, if none are named.
    pub tenants: Option<Vec<TenantId>>,
    /// The engines, with their weights against each other; any engine, if none are named.
    pub engines: Option<BTreeMap<EngineId, f64>>,
}

/// The settings of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes of requests.
    pub classes: Vec<ClassSettings>,
    /// The kinds of machine.
    pub machines: Vec<MachineSettings>,
    /// The tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// How many dispatchers there are.
    pub dispatchers: usize,
    /// The position of this one among them.
    pub fleet_position: FleetPosition,
    /// The zone of this one.
    pub zone: ZoneId,
    /// Requests that may be open together; of more, those of the lowest rank are rejected.
    pub max_open: usize,
    /// Attempts allowed for one request.
    pub max_attempts: usize,
    /// True if two attempts of one request may be in flight together.
    pub concurrent_attempts: bool,
    /// True if attempts may be cancelled.
    pub cancellation: bool,
    /// True if the engines heed a memory grant.
    pub memory_grants: bool,
    /// True if queries queue on an engine whose memory is granted, rather than run with less.
    pub memory_queueing: bool,
    /// True if the engines heed a priority.
    pub priorities: bool,
    /// The fraction of the priority weight that a request beyond its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// Points lost for attempts that cross zones, as a share of first tries.
    pub cross_zone_price: f64,
    /// A final answer this long after the deadline still counts.
    pub answer_slack: Millis,
    /// The warm-up of a freshly started engine, and the work that it can take meanwhile.
    pub slow_start: SlowStartSettings,
    /// How long an order key is paused after an attempt that might still be running.
    pub order_pause: Millis,
    /// The budget of retries, if there is one.
    pub retry_budget: Option<RetryBudgetSettings>,
    /// The longest wait before a retry that clients honour; 0 if they are given none.
    pub max_retry_after: Millis,
    /// Where requests may go: the first route that applies decides; without any, all engines are equal.
    pub routes: Vec<Route>,
}

impl Settings {
    /// An engine's weight in serving the request, against other engines; 0 if it may not serve it.
    pub fn weight(&self, new: &NewRequest, engine: EngineId) -> f64 {
        let applies = |route: &&Route| {
            route.classes.as_ref().is_none_or(|classes| classes.contains(&new.class))
                && route.tenants.as_ref().is_none_or(|tenants| tenants.contains(&new.tenant))
        };
        match self.routes.iter().find(applies).and_then(|route| route.engines.as_ref()) {
            Some(engines) => engines.get(&engine).copied().unwrap_or(0.0),
            None => 1.0,
        }
    }

    /// An engine's machine; one of a kind that is not named is taken for the smallest.
    pub fn machine(&self, entry: &EngineEntry) -> MachineSettings {
        let smallest = MachineSettings { cores: 1.0, memory_mb: 0.0 };
        self.machines.get(entry.machine.0).copied().unwrap_or(smallest)
    }

    /// The key under which a request takes turns, if its class is ordered.
    ///
    /// # Panics
    ///
    /// If there is no such class.
    pub fn order_key<'a>(&self, new: &'a NewRequest) -> Option<&'a OrderKey> {
        new.key.as_ref().filter(|_| self.class(new).ordered)
    }

    /// The settings of a request's class.
    ///
    /// # Panics
    ///
    /// If there is no such class.
    pub fn class(&self, new: &NewRequest) -> &ClassSettings {
        &self.classes[new.class.0]
    }

    /// Checks that they can be used.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the first field at fault.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let settings = self;
        let fail = |field, reason| Err(SettingsError { field, reason });
        let time = |value: f64| value.is_finite() && value >= 0.0;
        if settings.classes.is_empty() {
            return fail("classes", "must not be empty");
        }
        let times = [
            ("answer_slack", settings.answer_slack),
            ("cold.warm_within", settings.slow_start.warm_up_ms),
            ("cold.span", settings.slow_start.window_ms),
            ("order_pause", settings.order_pause),
            ("max_retry_after", settings.max_retry_after),
            ("budget.span", settings.retry_budget.map_or(0.0, |budget| budget.window)),
        ];
        for (field, value) in times {
            if !time(value) {
                return fail(field, "must be a finite time of 0 or more");
            }
        }
        if settings.dispatchers == 0 {
            return fail("dispatchers", "must be 1 or more");
        }
        if !(0.0..=1.0).contains(&settings.slow_start.initial_fraction) {
            return fail("cold.share", "must lie between 0 and 1");
        }
        if !time(settings.slow_start.capacity_multiple) {
            return fail("cold.multiple", "must be finite and 0 or more");
        }
        for class in &settings.classes {
            if !time(class.target_latency)
                || !time(class.target_stretch)
                || !time(class.priority_weight)
                || !time(class.late_fraction)
            {
                return fail("classes", "must have finite aims and worths of 0 or more");
            }
            if !class.threads.is_finite() || class.threads <= 0.0 {
                return fail("classes.threads", "must be above 0");
            }
        }
        for machine in &settings.machines {
            if !machine.cores.is_finite() || machine.cores <= 0.0 {
                return fail("machines.cores", "must be above 0");
            }
        }
        Ok(())
    }
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("unusable settings: {field} {reason}")]
pub struct SettingsError {
    /// The field at fault.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
}
