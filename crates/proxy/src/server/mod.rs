//! The server: starts all components of the proxy, and applies reloaded configurations to them.
//!
//! [`listener`] accepts clients, [`drain`] stops the proxy, [`status`] reports to operators, and
//! [`resource_limits`] divides the descriptors and the memory.

mod drain;
mod listener;
mod resource_limits;
mod status;

use std::io;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gaugestep_control_plane::client::{self, ConfigSubscriber, SubscriberSettings};
use gaugestep_dispatch::interface::SettingsError;
use may::io::CoIo;

use self::drain::DrainState;
use self::listener::{Acceptor, AcceptorHandle};
pub use self::resource_limits::{ResourceLimits, max_open_requests, preallocate_descriptor_table};
use self::status::ReloadCounts;
use crate::class_registry::ClassRegistry;
use crate::config::{Config, Limits};
use crate::config_applier::{ConfigApplier, PlatformConfig};
use crate::discovery::{CoordinatorStream, EndpointList};
use crate::downstream::postgres::SessionManager;
use crate::facade::Facade;
use crate::handover::{Handover, HandoverAddress};
use crate::location_ids::LocationIds;
use crate::logging::SetLogDirectives;
use crate::memory::plan::max_event_length;
use crate::memory::trim::TrimPolicy;
use crate::memory::{MemoryAccount, MemoryPlan, PlanError, allocator};
use crate::request_lifecycle::RequestHandler;
use crate::upstream::line_protocol::UpstreamPool;
use crate::{lock, task};

/// Interval at which sessions check their timeouts.
const SESSION_SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which the proxy checks whether to return memory to the system.
const MEMORY_SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Why the proxy cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The listening socket cannot be opened.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The dispatcher does not accept the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The memory is too small for the descriptors.
    #[error(transparent)]
    Memory(#[from] PlanError),
    /// The subscription to the control servers cannot be started.
    #[error(transparent)]
    Subscriber(#[from] client::StartError),
    /// The listening socket cannot be registered with the coroutine scheduler.
    #[error(transparent)]
    Register(io::Error),
    /// A coroutine cannot be started.
    #[error("cannot start a coroutine")]
    Coroutine(#[source] io::Error),
    /// A thread cannot be started.
    #[error("cannot start a thread")]
    Thread(#[source] io::Error),
}

/// A running proxy.
pub struct Server {
    /// Number of reloads of the configuration file, by result.
    pub reload_counts: ReloadCounts,
    handler: Arc<RequestHandler>,
    session_manager: Arc<SessionManager>,
    endpoint_list: Arc<EndpointList>,
    coordinator: Arc<CoordinatorStream>,
    config_applier: Arc<ConfigApplier>,
    /// Subscription to the control servers, if they are configured.
    subscriber: Option<Arc<ConfigSubscriber>>,
    acceptor: AcceptorHandle,
    drain: DrainState,
    /// Whether the listening socket belongs to the platform, so that a successor accepts from it too.
    has_successor: bool,
    /// Resource limits of the process.
    limits: Limits,
}

impl Server {
    /// Listens for clients, puts the last good version in force if control servers are configured, and then
    /// starts all background tasks and accepts clients. `inherited` is the descriptor of the platform's
    /// listening socket, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if the proxy cannot listen, the settings are invalid, the subscription cannot be
    /// started, or a coroutine or thread cannot be started.
    pub fn start(
        config: Config,
        inherited: Option<RawFd>,
        control: Option<SubscriberSettings>,
        set_log_directives: SetLogDirectives,
    ) -> Result<Self, StartError> {
        let has_successor = inherited.is_some();
        let listener = listener::open(config.listen_address, inherited)
            .map_err(|source| StartError::Listen { address: config.listen_address, source })?;
        let resources = ResourceLimits::new(&config.limits, has_successor);
        let memory_plan = resources.memory_plan(&config.limits)?;
        let location_ids = Arc::new(LocationIds::default());
        let platform = PlatformConfig::new(&config, &config.limits, &location_ids);
        let stagger_factor = platform.stagger_factor();
        let handler = request_handler(&config, &platform, location_ids, resources, memory_plan)?;
        let endpoint_list = Arc::new(EndpointList::new(handler.clone()));
        endpoint_list.apply_configured_events(config.initial_event_index, &config.initial_events);
        let coordinator = CoordinatorStream::new(
            endpoint_list.clone(),
            config.coordinator_address,
            stagger_factor,
            max_event_length(&config.limits),
        );
        let config_applier =
            ConfigApplier::start(handler.clone(), endpoint_list.clone(), platform, set_log_directives);
        // No request may be served before the last good version is in force, so this precedes the acceptor.
        let subscriber =
            control.map(|control| ConfigSubscriber::start(control, config_applier.clone())).transpose()?;
        let handover_address = has_successor.then(|| HandoverAddress::of_listener(&listener));
        let listener = CoIo::new(listener).map_err(|error| StartError::Register(error.into()))?;
        let listener = Arc::new(listener);
        let session_manager = SessionManager::new(
            handler.clone(),
            config.seed,
            resources.max_message_length,
            MemoryAccount::new(memory_plan.message_bytes, memory_plan.small_message_bytes),
            &listener,
        );
        let session_manager = Arc::new(session_manager);
        let acceptor = Acceptor::new(listener, session_manager.clone(), resources.max_sessions);
        let server = Server {
            reload_counts: ReloadCounts::default(),
            handler,
            session_manager,
            endpoint_list,
            coordinator: Arc::new(coordinator),
            config_applier,
            subscriber,
            acceptor: acceptor.handle(),
            drain: DrainState::default(),
            has_successor,
            limits: config.limits,
        };
        match handover_address {
            Some(Ok(address)) => server.start_handover(address)?,
            Some(Err(error)) => tracing::warn!("the processes of an upgrade are not linked: {error}"),
            None => {}
        }
        server.start_tasks(acceptor)?;
        Ok(server)
    }

    /// Links the process to the other one of an upgrade.
    fn start_handover(&self, address: HandoverAddress) -> Result<(), StartError> {
        let (handler, session_manager) = (self.handler.clone(), self.session_manager.clone());
        task::spawn("handover", move || handler.handover.run(&address, &*session_manager))
            .map_err(StartError::Coroutine)?;
        let handler = self.handler.clone();
        task::spawn("handover sweeper", move || handler.handover.sweep_claims())
            .map_err(StartError::Coroutine)
    }

    /// Starts the background thread and the background coroutines.
    fn start_tasks(&self, acceptor: Acceptor) -> Result<(), StartError> {
        let handler = self.handler.clone();
        // The ticker is a thread because coroutines must not use timed waits; see `task::sleep`.
        std::thread::Builder::new()
            .name("ticker".into())
            .spawn(move || handler.facade.run_ticker())
            .map_err(StartError::Thread)?;
        let upstream_pool = self.handler.upstream_pool.clone();
        task::spawn("sweeper", move || upstream_pool.run_sweeper()).map_err(StartError::Coroutine)?;
        let coordinator = self.coordinator.clone();
        task::spawn("coordinator", move || coordinator.run()).map_err(StartError::Coroutine)?;
        let session_manager = self.session_manager.clone();
        task::spawn("session sweeper", move || sweep_sessions(&session_manager))
            .map_err(StartError::Coroutine)?;
        let accounts = [self.handler.request_memory.clone(), self.session_manager.message_memory().clone()];
        task::spawn("memory sweeper", move || trim_memory(&accounts)).map_err(StartError::Coroutine)?;
        task::spawn("listener", move || acceptor.run()).map_err(StartError::Coroutine)
    }

    /// Applies a reloaded configuration: the settings, the coordinator's address and the initial events.
    /// Everything else is fixed at the start. Sessions continue, and open requests keep the settings of their
    /// class under which they were accepted.
    pub fn reconfigure(&self, config: Config) {
        let platform = PlatformConfig::new(&config, &self.limits, &self.handler.location_ids);
        let stagger_factor = platform.stagger_factor();
        self.handler.upstream_pool.update_settings(config.connections);
        {
            let _update = lock(&self.handler.update_lock);
            self.config_applier.update_platform(platform);
        }
        self.endpoint_list.apply_configured_events(config.initial_event_index, &config.initial_events);
        self.coordinator.reconfigure(config.coordinator_address, stagger_factor);
    }
}

/// Creates the request handler with the settings that apply at the start.
fn request_handler(
    config: &Config,
    platform: &PlatformConfig,
    location_ids: Arc<LocationIds>,
    resources: ResourceLimits,
    memory_plan: MemoryPlan,
) -> Result<Arc<RequestHandler>, SettingsError> {
    let facade = Facade::new(platform.settings.clone(), config.seed)?;
    let classes = ClassRegistry::default();
    classes.update(&config.names, platform.settings.clone(), |_, _| {});
    Ok(Arc::new(RequestHandler {
        facade,
        upstream_pool: Arc::new(UpstreamPool::new(config.connections, resources.upstream_descriptors)),
        location_ids,
        classes,
        handover: Handover::default(),
        open_requests: AtomicUsize::new(0),
        request_memory: MemoryAccount::new(memory_plan.request_bytes, 0),
        max_open_requests: AtomicUsize::new(config.max_open),
        update_lock: Mutex::new(()),
    }))
}

/// Makes sessions check their timeouts every [`SESSION_SWEEP_INTERVAL`]. Blocks its coroutine and never
/// returns.
fn sweep_sessions(session_manager: &SessionManager) {
    loop {
        task::sleep(SESSION_SWEEP_INTERVAL);
        session_manager.wake_due_sessions();
    }
}

/// Returns memory to the system after much of it was released. Blocks its coroutine and never returns.
fn trim_memory(accounts: &[Arc<MemoryAccount>]) {
    let mut policy = TrimPolicy::default();
    loop {
        task::sleep(MEMORY_SWEEP_INTERVAL);
        if policy.should_trim(accounts.iter().map(|account| account.usage().used).sum()) {
            allocator::trim();
        }
    }
}
