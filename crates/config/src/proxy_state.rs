//! The present state of a proxy, against which documents are validated.

/// Whether an engine accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// The engine accepts work.
    Up,
    /// The engine accepts no new work and finishes the attempts in flight.
    Draining,
}

/// An engine of the discovery list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// The id of the engine in the discovery list.
    pub name: String,
    /// The kind of the machine that the engine runs on.
    pub kind: String,
    /// The zone of the engine.
    pub zone: String,
    /// The number of the cell of the engine.
    pub cell: u64,
    /// Whether the engine accepts work.
    pub state: EngineState,
}

/// A request class of the proxy's own settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// The name of the class.
    pub name: String,
    /// The number of open requests of the class.
    pub open: u64,
}

/// A tenant of the proxy's own settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The name of the tenant.
    pub name: String,
    /// The quota of the tenant in requests per second; `None` if the settings give it none.
    pub quota_per_s: Option<f64>,
}

/// The retries allowed within the window that the proxy's settings name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition to these, however few requests there are.
    pub free: f64,
}

/// The limits of the proxy's own settings. A document may tighten them, but not exceed them.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformLimits {
    /// The tenants, in the order of the settings.
    pub tenants: Vec<Tenant>,
    /// The largest number of requests open at the same time.
    pub max_open: u64,
    /// The largest number of attempts per request.
    pub max_attempts: u64,
    /// The retry budget; `None` if retries are not limited.
    pub retries: Option<RetryBudget>,
}

/// The present state of a proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyState {
    /// The engines of the discovery list; `None` before the first list has arrived.
    pub engines: Option<Vec<Engine>>,
    /// The request classes of the settings.
    pub classes: Vec<Class>,
    /// The number of open requests of all classes.
    pub open: u64,
    /// The limits of the proxy's own settings.
    pub platform: PlatformLimits,
}

impl ProxyState {
    pub(crate) fn has_class(&self, name: &str) -> bool {
        self.classes.iter().any(|class| class.name == name)
    }

    pub(crate) fn has_tenant(&self, name: &str) -> bool {
        self.platform.tenants.iter().any(|tenant| tenant.name == name)
    }
}
