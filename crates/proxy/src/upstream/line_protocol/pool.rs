//! The pools of connections to databases.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use gaugestep_dispatch::interface::{EngineId, Readiness};

use super::attempt::{ActiveAttempt, QueuedAttempt};
use super::connection::Connection;
use super::handle::UpstreamHandle;
use crate::config::Limits;
use crate::facade::AttemptOrder;
use crate::query::{EventSender, Query};
use crate::termination::Termination;
use crate::{lock, task};

/// The connections to all databases.
pub struct UpstreamPool {
    pub(super) limits: Limits,
    /// All that are open, also those to databases that were removed.
    pub(super) connections: Mutex<Vec<Weak<Connection>>>,
    /// Descriptors that connections may use.
    budget: usize,
    pools: Mutex<HashMap<EngineId, EnginePool>>,
    /// Attempts written to databases.
    attempts_sent: Arc<AtomicU64>,
}

/// The connections to one database.
struct EnginePool {
    address: SocketAddr,
    /// False while the database drains: no attempt goes to it.
    is_accepting: bool,
    connections: Vec<Arc<Connection>>,
}

impl UpstreamPool {
    /// A pool without connections, which may use `budget` descriptors.
    pub fn new(limits: Limits, budget: usize) -> Self {
        UpstreamPool {
            limits,
            budget,
            attempts_sent: Arc::default(),
            pools: Mutex::default(),
            connections: Mutex::default(),
        }
    }

    /// Updates the address and readiness of a database. Attempts go to it only while it is up: otherwise those that have
    /// not been written end, and all others go on.
    pub fn update_endpoint(&self, engine: EngineId, address: Option<SocketAddr>, readiness: Readiness) {
        let mut pools = lock(&self.pools);
        if readiness == Readiness::Gone {
            // A pool that stayed would take memory, and its connections might be used for a successor at the same address.
            if let Some(pool) = pools.remove(&engine) {
                pool.retire();
            }
            return;
        }
        let Some(address) = address else { return };
        let new = || EnginePool { address, is_accepting: true, connections: Vec::new() };
        let pool = pools.entry(engine).or_insert_with(new);
        if pool.address != address {
            // Whoever answers at the old address is another database.
            std::mem::replace(pool, new()).retire();
        }
        pool.is_accepting = readiness == Readiness::Up;
        if !pool.is_accepting {
            for connection in &pool.connections {
                lock(&connection.state).reject_queued();
            }
        }
    }

    /// Removes all databases but these.
    pub fn retain_only(&self, engines: &[EngineId]) {
        lock(&self.pools).retain(|engine, pool| {
            let is_listed = engines.contains(engine);
            if !is_listed {
                pool.retire();
            }
            is_listed
        });
    }

    /// Attempts written to databases so far.
    pub fn attempts_sent(&self) -> u64 {
        self.attempts_sent.load(Ordering::Relaxed)
    }

    /// Starts an attempt, whose events go to `events`. `left` is how long the client still waits.
    pub fn send(
        self: &Arc<Self>,
        order: AttemptOrder,
        query: &Arc<Query>,
        left: Duration,
        events: EventSender,
    ) -> UpstreamHandle {
        let now = Instant::now();
        let queued = QueuedAttempt {
            query: query.clone(),
            priority: order.priority,
            deadline: now + left,
            write_by: order.left.map(|left| now + left),
        };
        let id = query.request.id.clone();
        let attempt = ActiveAttempt::new(order.attempt, queued, events);
        let slot = attempt.slot.clone();
        self.enqueue(order.engine, id.0.to_string(), attempt);
        UpstreamHandle::new(slot, id)
    }

    /// Queues an attempt with a connection, or ends it if there is none.
    pub(super) fn enqueue(self: &Arc<Self>, engine: EngineId, id: String, attempt: ActiveAttempt) {
        let Some(connection) = self.acquire(engine) else {
            return attempt.end(Termination::NeverWritten);
        };
        let mut state = lock(&connection.state);
        if state.load().is_none() {
            return attempt.end(Termination::NeverWritten);
        }
        *lock(&attempt.slot) = Some(connection.clone());
        state.enqueue(id, attempt);
        drop(state);
        connection.wake();
    }

    /// The connection for one more attempt, a new one if need be. None if the database accepts no attempts, or all its
    /// connections are full.
    ///
    /// Each attempt has a connection of its own while descriptors last: an invalid message ends the connection for all
    /// attempts on it.
    fn acquire(self: &Arc<Self>, engine: EngineId) -> Option<Arc<Connection>> {
        let mut pools = lock(&self.pools);
        let accepting = pools.values().filter(|pool| pool.is_accepting).count().max(1);
        let max_per_engine = (self.budget / accepting).max(1);
        let open = lock(&self.connections).iter().filter(|connection| connection.strong_count() > 0).count();
        let pool = pools.get_mut(&engine).filter(|pool| pool.is_accepting)?;
        let is_full = pool.connections.len() >= max_per_engine || open >= self.budget;
        match pool.least_loaded() {
            Some((connection, 0)) => return Some(connection.clone()),
            Some((connection, load)) if is_full && load < self.limits.multiplex => {
                return Some(connection.clone());
            }
            _ if is_full => return None,
            _ => {}
        }
        let connection = Arc::new(Connection::new(self.attempts_sent.clone()));
        pool.connections.push(connection.clone());
        lock(&self.connections).push(Arc::downgrade(&connection));
        let address = pool.address;
        drop(pools);
        self.start_connection(&connection, engine, address).then_some(connection)
    }

    /// Starts the coroutine of a connection. Returns false if that fails.
    fn start_connection(
        self: &Arc<Self>,
        connection: &Arc<Connection>,
        engine: EngineId,
        address: SocketAddr,
    ) -> bool {
        let (pool, owned) = (self.clone(), connection.clone());
        let spawned = task::spawn("database", move || owned.run(&pool, engine, address));
        if let Err(error) = &spawned {
            tracing::error!("cannot start a coroutine for a connection: {error}");
            self.remove_connection(engine, connection);
        }
        spawned.is_ok()
    }

    /// Removes a connection that is about to close from the pool of its database.
    pub(super) fn remove_connection(&self, engine: EngineId, connection: &Arc<Connection>) {
        let mut pools = lock(&self.pools);
        if let Some(pool) = pools.get_mut(&engine) {
            pool.connections.retain(|other| !Arc::ptr_eq(other, connection));
        }
    }
}

impl EnginePool {
    /// The connection with the fewest attempts of those that accept one, and how many it has.
    fn least_loaded(&self) -> Option<(&Arc<Connection>, usize)> {
        let load = |connection: &Arc<Connection>| lock(&connection.state).load();
        let available =
            self.connections.iter().filter_map(|connection| Some((connection, load(connection)?)));
        let idle = available.clone().find(|(_, load)| *load == 0);
        idle.or_else(|| available.min_by_key(|(_, load)| *load))
    }

    /// The database has been removed: its connections close, those with open attempts once these have ended.
    fn retire(&self) {
        for connection in &self.connections {
            connection.retire();
        }
    }
}
