//! What a version of the operators' configuration does to the proxy that runs, and how the proxy looks to the version tracker that
//! checks versions. What may be taken is decided in `gaugestep-config`; here it is carried out.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

use gaugestep_config::Document;
use gaugestep_config::effective_config::effective_config;
use gaugestep_config::proxy_state::{
    self, Engine, EngineState, PlatformLimits, ProxyState, RetryBudget, Tenant,
};
use gaugestep_config::routing::{self, ResolvedRoute};
use gaugestep_config::schema::logging::Level;
use gaugestep_control_plane::client::{PositionLease, ProxyHandle, RequestTotals};
use gaugestep_dispatch::Settings;
use gaugestep_dispatch::interface::{
    EngineId, FleetPosition, Readiness, RetryBudgetSettings, Route, TenantId,
};

use crate::class_registry::Class;
use crate::config::Names;
use crate::discovery::{Listed, Roster};
use crate::lock;
use crate::request_lifecycle::RequestHandler;

/// The span of a ration of further attempts, in milliseconds, where the platform names none.
const SPAN: f64 = 5_000.0;

/// What the platform's own file says.
pub struct Told {
    /// The proxy's name.
    pub proxy: String,
    /// The names of classes and tenants.
    pub names: Names,
    /// The module's settings.
    pub settings: Settings,
    /// Requests that may be open together, as the front counts them.
    pub max_open: usize,
}

/// Sets what is logged: the directives, or those of the start if there are none.
pub type SetLog = Box<dyn Fn(Option<String>) + Send + Sync>;

/// The proxy as versions see it.
pub struct Versioned {
    handler: Arc<RequestHandler>,
    roster: Arc<Roster>,
    told: Mutex<Told>,
    document: Mutex<Document>,
    set_log: SetLog,
}

impl Versioned {
    /// The proxy under the platform's own file alone. It looks at its routes anew whenever the list changes.
    pub fn start(
        handler: Arc<RequestHandler>,
        roster: Arc<Roster>,
        told: Told,
        set_log: SetLog,
    ) -> Arc<Self> {
        let document = Mutex::default();
        let this = Arc::new(Versioned { handler, roster, told: Mutex::new(told), document, set_log });
        let looking = Arc::downgrade(&this);
        this.roster.on_change(Box::new(move || {
            if let Some(this) = looking.upgrade() {
                if !lock(&this.document).routes.is_empty() {
                    this.settle();
                }
            }
        }));
        this
    }

    /// The platform's own file has changed. Called with [`RequestHandler::update_lock`] held.
    pub fn retell(&self, told: Told) {
        *lock(&self.told) = told;
        self.settle();
    }

    /// Puts the platform's file and the document in force together. Called with [`RequestHandler::update_lock`] held.
    fn settle(&self) {
        let (told, document) = (lock(&self.told), lock(&self.document).clone());
        let counts = effective_config(&document, &platform(&told));
        let mut settings = told.settings.clone();
        let mut names = told.names.clone();
        let served = |name: &String| routing::serves(&document, name);
        let kept =
            names.classes.iter().zip(std::mem::take(&mut settings.classes)).filter(|(name, _)| served(name));
        (names.classes, settings.classes) = kept.map(|(name, class)| (name.clone(), class)).unzip();
        for (tenant, quota) in settings.tenants.iter_mut().zip(&counts.quotas) {
            tenant.quota_per_s = *quota;
        }
        if let Some(seat) = document.proxies.iter().position(|name| *name == told.proxy) {
            let place = FleetPosition::ordinal(seat as u32, document.proxies.len() as u32);
            (settings.place, settings.dispatchers) =
                (place.unwrap_or(settings.place), document.proxies.len());
        }
        settings.max_open = settings.max_open.min(counts.max_open as usize);
        settings.max_attempts = counts.max_attempts as usize;
        let span = settings.retry_budget.map_or(SPAN, |budget| budget.window);
        settings.retry_budget = counts.retries.map(|budget| RetryBudgetSettings {
            min_retries: budget.free,
            ratio: budget.ratio,
            window: span,
        });
        let max_open = told.max_open.min(counts.max_open as usize);
        drop(told);
        self.handler.max_open.store(max_open, Ordering::Relaxed);
        let tenants = names.tenants.clone();
        self.handler.classes.update(&names, settings, |mut settings, classes| {
            settings.routes = self.routes(&document, classes, &tenants);
            self.handler.facade.update_settings(settings);
        });
    }

    /// The document's routes as the module takes them.
    fn routes(&self, document: &Document, classes: &[Arc<Class>], tenants: &[String]) -> Vec<Route> {
        if document.routes.is_empty() {
            return Vec::new();
        }
        let listed = self.roster.databases().unwrap_or_default();
        let numbers: BTreeMap<&String, EngineId> =
            listed.iter().map(|(name, it)| (name, it.engine)).collect();
        let engines: Vec<Engine> = listed.iter().map(|(name, listed)| engine(name, listed)).collect();
        let class = |name: &String| classes.iter().find(|class| class.name == *name).map(|class| class.id);
        let tenant = |name: &String| tenants.iter().position(|other| other == name).map(TenantId);
        let route = |route: &ResolvedRoute| Route {
            classes: (!route.classes.is_empty()).then(|| route.classes.iter().filter_map(class).collect()),
            tenants: (!route.tenants.is_empty()).then(|| route.tenants.iter().filter_map(tenant).collect()),
            engines: route.engines.as_ref().map(|engines| {
                engines
                    .iter()
                    .filter_map(|engine| Some((*numbers.get(&engine.name)?, engine.weight)))
                    .collect()
            }),
        };
        routing::resolve(document, &engines).iter().map(route).collect()
    }
}

/// What the platform's file and the rule allow.
fn platform(told: &Told) -> PlatformLimits {
    let quota = |quota: f64| (quota > 0.0).then_some(quota);
    let tenants = told.names.tenants.iter().zip(&told.settings.tenants);
    PlatformLimits {
        tenants: tenants
            .map(|(name, tenant)| Tenant { name: name.clone(), quota_per_s: quota(tenant.quota_per_s) })
            .collect(),
        max_open: told.max_open as u64,
        max_attempts: told.settings.max_attempts as u64,
        retries: told
            .settings
            .retry_budget
            .map(|budget| RetryBudget { ratio: budget.ratio, free: budget.min_retries }),
    }
}

fn engine(name: &str, listed: &Listed) -> Engine {
    let state = if listed.readiness == Readiness::Up { EngineState::Up } else { EngineState::Draining };
    Engine {
        name: name.into(),
        kind: listed.kind.clone(),
        zone: listed.zone.clone(),
        cell: listed.cell,
        state,
    }
}

/// Logging as the log's filter takes it; none where the document says nothing.
fn directives(document: &Document) -> Option<String> {
    let logging = document.logging.as_ref()?;
    let level = |level: Level| match level {
        Level::Unset => None,
        Level::Error => Some("error"),
        Level::Warn => Some("warn"),
        Level::Info => Some("info"),
        Level::Debug => Some("debug"),
        Level::Trace => Some("trace"),
    };
    let base = level(logging.level()).map(|level| format!("gaugestep={level}"));
    let parts =
        logging.parts.iter().filter_map(|part| Some(format!("{}={}", part.name, level(part.level())?)));
    let all: Vec<String> = base.into_iter().chain(parts).collect();
    (!all.is_empty()).then(|| all.join(","))
}

impl ProxyHandle for Versioned {
    fn with_state(&self, then: &mut dyn FnMut(&ProxyState)) {
        let _changes = lock(&self.handler.update_lock);
        let told = lock(&self.told);
        let open = self.handler.classes.open_requests();
        let count = |name: &String| open.iter().find(|(other, _)| other == name).map_or(0, |(_, open)| *open);
        let classes = told
            .names
            .classes
            .iter()
            .map(|name| proxy_state::Class { name: name.clone(), open: count(name) });
        let listed = self.roster.databases();
        let state = ProxyState {
            engines: listed.map(|all| all.iter().map(|(name, listed)| engine(name, listed)).collect()),
            classes: classes.collect(),
            open: self.handler.open.load(Ordering::Relaxed) as u64,
            platform: platform(&told),
        };
        drop(told);
        then(&state);
    }

    fn apply(&self, document: &Document) {
        *lock(&self.document) = document.clone();
        self.settle();
        (self.set_log)(directives(document));
    }

    fn assign_position(&self, lease: Option<PositionLease>) {
        let _changes = lock(&self.handler.update_lock);
        let (position, valid_for_ms) = lease
            .map_or((FleetPosition::NameKey(0), 0.0), |it| (it.position, it.valid_for.as_secs_f64() * 1e3));
        self.handler.facade.set_fleet_position(position, valid_for_ms);
    }

    fn request_totals(&self) -> RequestTotals {
        let (succeeded, rejected, failed) = self.handler.classes.totals();
        RequestTotals { succeeded, rejected, failed }
    }
}
