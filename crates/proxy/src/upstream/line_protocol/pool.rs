//! Pools of connections to engines.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use gaugestep_dispatch::interface::{EngineId, Readiness};

use super::attempt::{ActiveAttempt, QueuedAttempt};
use super::connection::Connection;
use super::handle::UpstreamHandle;
use crate::config::ConnectionSettings;
use crate::facade::AttemptOrder;
use crate::pacer::Pacer;
use crate::query::{EventSender, Query};
use crate::termination::Termination;
use crate::{lock, task};

/// Interval at which one of the connections is read whose engines send without a pause.
const PACER_INTERVAL: Duration = Duration::from_millis(1);

/// The connections to all engines.
pub struct UpstreamPool {
    settings: Mutex<ConnectionSettings>,
    /// Paces the connections whose engines send without a pause.
    pub(super) pacer: Pacer,
    /// All open connections, including those to removed engines.
    pub(super) connections: Mutex<Vec<Weak<Connection>>>,
    /// Maximum number of open connections to all engines, one file descriptor each.
    max_connections: usize,
    engine_pools: Mutex<HashMap<EngineId, EnginePool>>,
    /// Number of attempts sent to engines so far.
    attempts_sent: Arc<AtomicU64>,
}

/// The connections to one engine.
struct EnginePool {
    address: SocketAddr,
    /// False while the engine drains and is sent no attempts.
    is_accepting: bool,
    connections: Vec<Arc<Connection>>,
}

impl UpstreamPool {
    /// A pool without connections that opens at most `max_connections`, each of which uses one file
    /// descriptor.
    pub fn new(settings: ConnectionSettings, max_connections: usize) -> Self {
        UpstreamPool {
            settings: Mutex::new(settings),
            pacer: Pacer::new(PACER_INTERVAL),
            max_connections,
            attempts_sent: Arc::default(),
            engine_pools: Mutex::default(),
            connections: Mutex::default(),
        }
    }

    /// Returns the current settings of the connections.
    pub(super) fn settings(&self) -> ConnectionSettings {
        *lock(&self.settings)
    }

    /// Changes the settings of the connections. A connection that is being established keeps its timeout.
    pub fn update_settings(&self, settings: ConnectionSettings) {
        *lock(&self.settings) = settings;
    }

    /// Updates the address and readiness of an engine. Attempts are sent to an engine only while it is up:
    /// once it is not, its queued attempts end, and its attempts in flight continue. The connections of an
    /// engine that has another address or `has_restarted` get no further attempts.
    pub fn update_endpoint(
        &self,
        engine: EngineId,
        address: Option<SocketAddr>,
        readiness: Readiness,
        has_restarted: bool,
    ) {
        let mut engine_pools = lock(&self.engine_pools);
        if readiness == Readiness::Gone {
            // A pool that stayed would use memory, and its connections might be used for a later engine at
            // the same address.
            if let Some(pool) = engine_pools.remove(&engine) {
                pool.retire();
            }
            return;
        }
        let Some(address) = address else { return };
        let new_pool = || EnginePool { address, is_accepting: true, connections: Vec::new() };
        let pool = engine_pools.entry(engine).or_insert_with(new_pool);
        if pool.address != address || has_restarted {
            // Another engine may serve the old address, and connections to a process that has ended may stay
            // silent.
            std::mem::replace(pool, new_pool()).retire();
        }
        pool.is_accepting = readiness == Readiness::Up;
        if !pool.is_accepting {
            for connection in &pool.connections {
                lock(&connection.state).reject_queued();
            }
        }
    }

    /// Removes all engines except these.
    pub fn retain_only(&self, engines: &[EngineId]) {
        lock(&self.engine_pools).retain(|engine, pool| {
            let is_listed = engines.contains(engine);
            if !is_listed {
                pool.retire();
            }
            is_listed
        });
    }

    /// Number of attempts sent to engines so far.
    pub fn attempts_sent(&self) -> u64 {
        self.attempts_sent.load(Ordering::Relaxed)
    }

    /// Starts an attempt, whose events are sent to `events`. `remaining_time` is how long the client still
    /// waits.
    pub fn send(
        self: &Arc<Self>,
        order: AttemptOrder,
        query: &Arc<Query>,
        remaining_time: Duration,
        events: EventSender,
    ) -> UpstreamHandle {
        let now = Instant::now();
        let queued = QueuedAttempt {
            query: query.clone(),
            priority: order.priority,
            deadline: now + remaining_time,
            write_by: order.sendable_for.map(|time_to_write| now + time_to_write),
        };
        let id = query.request.id.clone();
        let attempt = ActiveAttempt::new(order.attempt, queued, events);
        let slot = attempt.slot.clone();
        self.enqueue(order.engine, id.0.to_string(), attempt);
        UpstreamHandle::new(slot, id)
    }

    /// Queues an attempt on a connection to the engine. Ends the attempt if no connection is available.
    pub(super) fn enqueue(self: &Arc<Self>, engine: EngineId, id: String, attempt: ActiveAttempt) {
        let Some(connection) = self.acquire(engine) else {
            return attempt.end(Termination::NeverWritten);
        };
        let mut state = lock(&connection.state);
        if state.attempt_count().is_none() {
            return attempt.end(Termination::NeverWritten);
        }
        *lock(&attempt.slot) = Some(connection.clone());
        state.enqueue(id, attempt);
        drop(state);
        connection.wake();
    }

    /// Returns a connection for another attempt, and opens one if necessary. Returns `None` if the engine
    /// accepts no attempts, or if its connections are full and no new one can be opened.
    ///
    /// Each attempt has its own connection while there are enough file descriptors, because an invalid
    /// message ends the connection for all attempts on it.
    fn acquire(self: &Arc<Self>, engine: EngineId) -> Option<Arc<Connection>> {
        let mut engine_pools = lock(&self.engine_pools);
        let accepting_engines = engine_pools.values().filter(|pool| pool.is_accepting).count().max(1);
        let max_per_engine = (self.max_connections / accepting_engines).max(1);
        let open_connections =
            lock(&self.connections).iter().filter(|connection| connection.strong_count() > 0).count();
        let pool = engine_pools.get_mut(&engine).filter(|pool| pool.is_accepting)?;
        let is_full = pool.connections.len() >= max_per_engine || open_connections >= self.max_connections;
        match pool.least_loaded() {
            Some((connection, 0)) => return Some(connection.clone()),
            Some((connection, attempt_count))
                if is_full && attempt_count < self.settings().max_attempts_per_connection =>
            {
                return Some(connection.clone());
            }
            _ if is_full => return None,
            _ => {}
        }
        let connection = Arc::new(Connection::new(self.attempts_sent.clone()));
        pool.connections.push(connection.clone());
        lock(&self.connections).push(Arc::downgrade(&connection));
        let address = pool.address;
        drop(engine_pools);
        self.start_connection(&connection, engine, address).then_some(connection)
    }

    /// Starts the coroutine of a connection. Returns false if the coroutine cannot be started.
    fn start_connection(
        self: &Arc<Self>,
        connection: &Arc<Connection>,
        engine: EngineId,
        address: SocketAddr,
    ) -> bool {
        let (pool, owned_connection) = (self.clone(), connection.clone());
        let spawned = task::spawn("database", move || owned_connection.run(&pool, engine, address));
        if let Err(error) = &spawned {
            tracing::error!("cannot start a coroutine for a connection: {error}");
            self.remove_connection(engine, connection);
        }
        spawned.is_ok()
    }

    /// Removes a connection that is about to close from the pool of its engine.
    pub(super) fn remove_connection(&self, engine: EngineId, connection: &Arc<Connection>) {
        let mut engine_pools = lock(&self.engine_pools);
        if let Some(pool) = engine_pools.get_mut(&engine) {
            pool.connections.retain(|other| !Arc::ptr_eq(other, connection));
        }
    }
}

impl EnginePool {
    /// The connection with the fewest attempts among those that accept more, and its number of attempts.
    fn least_loaded(&self) -> Option<(&Arc<Connection>, usize)> {
        let attempt_count = |connection: &Arc<Connection>| lock(&connection.state).attempt_count();
        let available =
            self.connections.iter().filter_map(|connection| Some((connection, attempt_count(connection)?)));
        let idle = available.clone().find(|(_, count)| *count == 0);
        idle.or_else(|| available.min_by_key(|(_, count)| *count))
    }

    /// Ends the queued attempts of all connections, and closes each connection once its attempts in flight
    /// have ended.
    fn retire(&self) {
        for connection in &self.connections {
            connection.retire();
        }
    }
}
