//! The control server: serves proxies, operators and the other members of its group.
//!
//! What the group agrees on lies in the [`Replica`](crate::raft::replica::Replica). Here are, from the bottom up:
//!
//! - [`settings`], and `state` with what all parts share and the order of locks;
//! - `lease_holder` (which member proxies and operators are sent to), `publication` (numbers and offers of versions);
//! - `rollout_driver` and `roster_service`, which act while this server holds the lease of their roles;
//! - `proxy_session` (what proxies say), `hand_over` (of roles), `admin` (operators' calls);
//! - `session` and `listener` (connections), `maintenance` (clocks, and changes of the replicated state).
//!
//! Each connection is one coroutine, which alone reads and writes it. Others queue messages for it and wake it.

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

/// A control server that runs. Its threads and coroutines end with the process.
pub struct ControlServer {
    context: Arc<ServerContext>,
}

impl ControlServer {
    /// Opens the store and the listeners, and begins to serve. `seed` must differ between processes.
    ///
    /// # Errors
    ///
    /// If the store or the keys cannot be used, if an address cannot be listened on, or if a thread cannot be started.
    pub fn start(settings: Settings, seed: u64) -> Result<Self, StartError> {
        let (replica, replica_thread) = replica_thread::open(replica_settings(&settings, seed))?;
        let context = ServerContext::new(replica, &settings);
        let tls = ListenerTls::load(settings.keys)?;
        listener::spawn(&context, settings.listen, Audience::ProxiesAndMembers, &tls)?;
        listener::spawn(&context, settings.operators, Audience::Operators, &tls)?;
        let notified = Arc::clone(&context);
        replica_thread.start(Box::new(move |changes| notified.on_state_change(changes)))?;
        maintenance::spawn(&context)?;
        tls.spawn_reload_thread()?;
        Ok(ControlServer { context })
    }

    /// Hands all roles of this server over to other members, as before the process ends, and waits for that, but for no
    /// longer than the timeout. Blocks its thread.
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
        keys: keys.map(|keys| TlsIdentity {
            files: keys.proxies.clone(),
            server_name: settings.service_name.clone(),
        }),
        seed,
    }
}
