//! The proxy as it runs: the validation context of a version.

/// Whether an engine takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// It does.
    Up,
    /// It finishes what it has.
    Draining,
}

/// An engine that is listed; those that have left are not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Its id in the list.
    pub name: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u64,
    /// Whether it takes work.
    pub state: EngineState,
}

/// A request class of the proxy's own settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its open requests.
    pub open: u64,
}

/// A tenant of the proxy's own settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its requests per second, where the settings give it a quota.
    pub quota_per_s: Option<f64>,
}

/// How many retries are allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries on top of these.
    pub free: f64,
}

/// What the proxy's own settings allow. A document may tighten these limits, but not exceed them.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformLimits {
    /// The tenants, in the order of the settings.
    pub tenants: Vec<Tenant>,
    /// Requests that may be open together.
    pub max_open: u64,
    /// Attempts for one request.
    pub max_attempts: u64,
    /// The retries allowed; `None` if they are not limited.
    pub retries: Option<RetryBudget>,
}

/// The proxy as it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxyState {
    /// The engines that are listed; `None` before the first list has arrived.
    pub engines: Option<Vec<Engine>>,
    /// The request classes.
    pub classes: Vec<Class>,
    /// Open requests.
    pub open: u64,
    /// What the proxy's own settings allow.
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
