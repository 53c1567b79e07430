//! The control server: serves proxies, operators and the other members of its group.
//!
//! The state that the group agrees on is in the [`Replica`](crate::raft::replica::Replica). The modules, from
//! the bottom up:
//!
//! - [`settings`], and `state` with the shared state and the order in which its locks are acquired;
//! - `lease_holder` (the member that proxies and operators are redirected to), `publication` (numbering and
//!   offers of versions);
//! - `rollout_driver` and `roster_service`, which are active while this server holds the lease of their role;
//! - `proxy_session` (messages of proxies), `hand_over` (of roles), `admin` (operator calls);
//! - `session` and `listener` (connections), `maintenance` (periodic work, and changes of the replicated
//!   state).
//!
//! Each connection has one coroutine, and only that coroutine reads and writes it. Other coroutines queue
//! messages for it and wake it.

mod admin;
mod error;
mod hand_over;
mod lease_holder;
mod listener;
mod maintenance;
mod proxy_session;
mod publication;
mod rollout_driver;
mod roster_service;
mod session;
pub mod settings;
mod state;

use std::sync::Arc;
use std::time::Duration;

use crate::raft::replica_thread;
use crate::raft::settings::ReplicaSettings;
use crate::server::listener::{Audience, ListenerTls};
use crate::server::state::ServerContext;
use crate::transport::tls::TlsIdentity;

pub use crate::server::error::StartError;
pub use crate::server::settings::Settings;

/// A running control server. Its threads and coroutines run until the process ends.
pub struct ControlServer {
    context: Arc<ServerContext>,
}

impl ControlServer {
    /// Opens the store and the listeners and starts serving. `seed` must differ between processes.
    ///
    /// # Errors
    ///
    /// If the store or the TLS keys cannot be used, if a listener cannot be bound, or if a thread cannot be
    /// started.
    pub fn start(settings: Settings, seed: u64) -> Result<Self, StartError> {
        let (replica, replica_thread) = replica_thread::open(replica_settings(&settings, seed))?;
        let context = ServerContext::new(replica, &settings);
        let tls = ListenerTls::load(settings.keys)?;
        listener::spawn(&context, settings.listen, Audience::ProxiesAndMembers, &tls)?;
        listener::spawn(&context, settings.operators, Audience::Operators, &tls)?;
        let callback_context = Arc::clone(&context);
        replica_thread.start(Box::new(move |changes| callback_context.on_state_change(changes)))?;
        maintenance::spawn(&context)?;
        tls.spawn_reload_thread()?;
        Ok(ControlServer { context })
    }

    /// Hands all roles of this server over to other members, for a shutdown, and waits until the hand-overs
    /// are committed or the timeout expires. Blocks the calling thread.
    pub fn hand_over_all(&self, timeout: Duration) {
        self.context.hand_over_all(timeout);
    }
}

fn replica_settings(settings: &Settings, seed: u64) -> ReplicaSettings {
    let keys = settings.keys.as_ref();
    ReplicaSettings {
        member: settings.member.clone(),
        joins: settings.joins,
        store: settings.store.clone(),
        restored: settings.restored,
        tls: keys.map(|keys| TlsIdentity {
            files: keys.proxies.clone(),
            server_name: settings.service_name.clone(),
        }),
        seed,
    }
}
