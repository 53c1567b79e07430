//! Applies the configuration to the running proxy: the platform's file combined with the operators' document.
//!
//! `gaugestep-config` validates documents against the state of the proxy, which [`ProxyHandle::with_state`]
//! provides. This module applies documents that are valid.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

use gaugestep_config::Document;
use gaugestep_config::effective_config::effective_config;
use gaugestep_config::proxy_state::{
    self, Engine, EngineState, PlatformLimits, ProxyState, RetryBudget, Tenant,
};
use gaugestep_config::routing::{self, ResolvedRoute};
use gaugestep_control_plane::client::{PositionLease, ProxyHandle, RequestTotals};
use gaugestep_dispatch::Settings;
use gaugestep_dispatch::interface::{
    EngineId, FleetPosition, Readiness, RetryBudgetSettings, Route, TenantId,
};

use crate::class_registry::Class;
use crate::config::{Config, Limits, Names};
use crate::discovery::{Endpoint, EndpointList};
use crate::location_ids::LocationIds;
use crate::lock;
use crate::logging::{self, SetLogDirectives};
use crate::request_lifecycle::RequestHandler;
use crate::server::max_open_requests;

/// The window of the retry budget in milliseconds, if the platform's file has no retry budget.
const DEFAULT_RETRY_WINDOW_MS: f64 = 5_000.0;

/// The parts of the platform's file that a document is combined with.
pub struct PlatformConfig {
    /// The proxy's name, by which a document may list it.
    pub proxy_name: String,
    /// The names of classes and tenants in the settings.
    pub names: Names,
    /// The dispatcher's settings, in which zones and machine types are those of [`LocationIds`].
    pub settings: Settings,
    /// Maximum number of open requests of all clients, as configured; the dispatcher's own limit in
    /// `settings` may be lower.
    pub max_open: usize,
    /// The longest deadline of all classes, in milliseconds; infinite if no class has a deadline.
    pub longest_deadline_ms: f64,
}

impl PlatformConfig {
    /// Extracts the parts from a configuration. The dispatcher's limit of open requests is lowered to what
    /// the descriptors of the process allow, whose limits are those of its start.
    pub fn new(config: &Config, limits: &Limits, location_ids: &LocationIds) -> Self {
        let mut settings = config.settings.clone();
        location_ids.translate(&mut settings, &config.names);
        settings.max_open = max_open_requests(settings.max_open, limits);
        PlatformConfig {
            proxy_name: config.name.clone(),
            names: config.names.clone(),
            settings,
            max_open: config.max_open,
            longest_deadline_ms: config.longest_deadline_ms,
        }
    }

    /// Returns the factor by which pauses of this proxy are multiplied, so that the proxies of a fleet do not
    /// act at the same time.
    pub fn stagger_factor(&self) -> f64 {
        self.settings.fleet_position.rotation_slot().stagger_factor()
    }
}

/// Applies the platform's file and the operators' document to the proxy whenever one of them changes.
pub struct ConfigApplier {
    handler: Arc<RequestHandler>,
    endpoint_list: Arc<EndpointList>,
    platform_config: Mutex<PlatformConfig>,
    document: Mutex<Document>,
    set_log_directives: SetLogDirectives,
}

impl ConfigApplier {
    /// Creates an applier for a proxy to which only the platform's file applies so far. From now on, the
    /// routes of the document are resolved again whenever the endpoint list changes.
    pub fn start(
        handler: Arc<RequestHandler>,
        endpoint_list: Arc<EndpointList>,
        platform_config: PlatformConfig,
        set_log_directives: SetLogDirectives,
    ) -> Arc<Self> {
        let document = Mutex::default();
        let applier = Arc::new(ConfigApplier {
            handler,
            endpoint_list,
            platform_config: Mutex::new(platform_config),
            document,
            set_log_directives,
        });
        let weak_applier = Arc::downgrade(&applier);
        applier.endpoint_list.set_change_listener(Box::new(move || {
            if let Some(applier) = weak_applier.upgrade()
                && applier.has_routes()
            {
                applier.apply_effective();
            }
        }));
        applier
    }

    fn has_routes(&self) -> bool {
        !lock(&self.document).routes.is_empty()
    }

    /// Returns the longest deadline of all classes in the platform's file, in milliseconds; infinite if no
    /// class has a deadline.
    pub fn longest_deadline_ms(&self) -> f64 {
        lock(&self.platform_config).longest_deadline_ms
    }

    /// Applies a reloaded file of the platform. The caller must hold [`RequestHandler::update_lock`].
    pub fn update_platform(&self, platform_config: PlatformConfig) {
        *lock(&self.platform_config) = platform_config;
        self.apply_effective();
    }

    /// Applies the platform's file combined with the document. The caller must hold
    /// [`RequestHandler::update_lock`].
    fn apply_effective(&self) {
        let platform_config = lock(&self.platform_config);
        let document = lock(&self.document).clone();
        let EffectiveSettings { settings, names, max_open } = effective_settings(&platform_config, &document);
        drop(platform_config);
        self.handler.max_open_requests.store(max_open, Ordering::Relaxed);
        let tenants = names.tenants.clone();
        self.handler.classes.update(&names, settings, |mut settings, classes| {
            settings.routes = self.routes(&document, classes, &tenants);
            self.handler.facade.update_settings(settings);
        });
    }

    /// Resolves the document's routes against the endpoints that are listed.
    fn routes(&self, document: &Document, classes: &[Arc<Class>], tenants: &[String]) -> Vec<Route> {
        if document.routes.is_empty() {
            return Vec::new();
        }
        let endpoints = self.endpoint_list.endpoints().unwrap_or_default();
        let engine_ids: BTreeMap<&String, EngineId> =
            endpoints.iter().map(|(name, endpoint)| (name, endpoint.engine)).collect();
        let engines: Vec<Engine> = endpoints.iter().map(|(name, endpoint)| engine(name, endpoint)).collect();
        let class = |name: &String| classes.iter().find(|class| class.name == *name).map(|class| class.id);
        let tenant = |name: &String| tenants.iter().position(|tenant| tenant == name).map(TenantId);
        let route = |route: &ResolvedRoute| Route {
            classes: (!route.classes.is_empty()).then(|| route.classes.iter().filter_map(class).collect()),
            tenants: (!route.tenants.is_empty()).then(|| route.tenants.iter().filter_map(tenant).collect()),
            engines: route.engines.as_ref().map(|engines| {
                engines
                    .iter()
                    .filter_map(|engine| Some((*engine_ids.get(&engine.name)?, engine.weight)))
                    .collect()
            }),
        };
        routing::resolve(document, &engines).iter().map(route).collect()
    }
}

/// The platform's file combined with a document.
struct EffectiveSettings {
    /// The dispatcher's settings, without routes.
    settings: Settings,
    /// The names in the settings, without classes that the document does not serve.
    names: Names,
    /// Maximum number of open requests of all clients.
    max_open: usize,
}

/// Combines the platform's file with a document.
fn effective_settings(platform: &PlatformConfig, document: &Document) -> EffectiveSettings {
    let effective = effective_config(document, &platform_limits(platform));
    let (mut settings, mut names) = (platform.settings.clone(), platform.names.clone());
    let classes = names.classes.iter().zip(std::mem::take(&mut settings.classes));
    let served_classes = classes.filter(|(name, _)| routing::serves(document, name));
    (names.classes, settings.classes) = served_classes.map(|(name, class)| (name.clone(), class)).unzip();
    for (tenant, quota) in settings.tenants.iter_mut().zip(&effective.quotas) {
        tenant.quota_per_s = *quota;
    }
    let fleet_size = document.proxies.len();
    if let Some(ordinal) = document.proxies.iter().position(|name| *name == platform.proxy_name) {
        let position = FleetPosition::ordinal(ordinal as u32, fleet_size as u32);
        settings.fleet_position = position.unwrap_or(settings.fleet_position);
        settings.dispatchers = fleet_size;
    }
    settings.max_open = settings.max_open.min(effective.max_open as usize);
    settings.max_attempts = effective.max_attempts as usize;
    let window_ms = settings.retry_budget.map_or(DEFAULT_RETRY_WINDOW_MS, |budget| budget.window);
    settings.retry_budget = effective.retries.map(|budget| RetryBudgetSettings {
        min_retries: budget.free,
        ratio: budget.ratio,
        window: window_ms,
    });
    EffectiveSettings { settings, names, max_open: platform.max_open.min(effective.max_open as usize) }
}

/// Returns the limits of the platform's file, which a document can only tighten.
fn platform_limits(platform_config: &PlatformConfig) -> PlatformLimits {
    let quota = |quota_per_s: f64| (quota_per_s > 0.0).then_some(quota_per_s);
    let tenants = platform_config.names.tenants.iter().zip(&platform_config.settings.tenants);
    PlatformLimits {
        tenants: tenants
            .map(|(name, tenant)| Tenant { name: name.clone(), quota_per_s: quota(tenant.quota_per_s) })
            .collect(),
        max_open: platform_config.max_open as u64,
        max_attempts: platform_config.settings.max_attempts as u64,
        retries: platform_config
            .settings
            .retry_budget
            .map(|budget| RetryBudget { ratio: budget.ratio, free: budget.min_retries }),
    }
}

/// Converts an endpoint to the form that documents are validated against.
fn engine(name: &str, endpoint: &Endpoint) -> Engine {
    let is_up = endpoint.readiness == Readiness::Up;
    Engine {
        name: name.into(),
        kind: endpoint.machine_type.clone(),
        zone: endpoint.zone.clone(),
        cell: endpoint.cell,
        state: if is_up { EngineState::Up } else { EngineState::Draining },
    }
}

impl ProxyHandle for ConfigApplier {
    fn with_state(&self, then: &mut dyn FnMut(&ProxyState)) {
        let _update = lock(&self.handler.update_lock);
        let platform_config = lock(&self.platform_config);
        let open_by_class = self.handler.classes.open_requests();
        let open_requests = |name: &String| {
            open_by_class.iter().find(|(class, _)| class == name).map_or(0, |(_, open)| *open)
        };
        let classes = platform_config
            .names
            .classes
            .iter()
            .map(|name| proxy_state::Class { name: name.clone(), open: open_requests(name) });
        let endpoints = self.endpoint_list.endpoints();
        let state = ProxyState {
            engines: endpoints
                .map(|endpoints| endpoints.iter().map(|(name, endpoint)| engine(name, endpoint)).collect()),
            classes: classes.collect(),
            open: self.handler.open_requests.load(Ordering::Relaxed) as u64,
            platform: platform_limits(&platform_config),
        };
        drop(platform_config);
        then(&state);
    }

    fn apply(&self, document: &Document) {
        *lock(&self.document) = document.clone();
        self.apply_effective();
        (self.set_log_directives)(logging::directives(document));
    }

    fn assign_position(&self, lease: Option<PositionLease>) {
        let _update = lock(&self.handler.update_lock);
        // Without a lease the position expires at once, so that the position of the settings applies.
        let (position, valid_for_ms) = lease.map_or((FleetPosition::NameKey(0), 0.0), |lease| {
            (lease.position, lease.valid_for.as_secs_f64() * 1e3)
        });
        self.handler.facade.set_fleet_position(position, valid_for_ms);
    }

    fn request_totals(&self) -> RequestTotals {
        let totals = self.handler.classes.totals();
        RequestTotals { succeeded: totals.succeeded, rejected: totals.rejected, failed: totals.failed }
    }
}
