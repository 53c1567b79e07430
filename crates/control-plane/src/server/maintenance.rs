//! Periodic work of the server, and its reaction to changes of the replicated state.

use std::sync::Arc;
use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_config::rollout::Event;
use gaugestep_coroutine_io::task;
use gaugestep_leadership::group_state::StateChange;
use gaugestep_leadership::{CONFIGURATION_ROLE, ORDINALS_ROLE};

use crate::clock;
use crate::server::error::StartError;
use crate::server::state::{ServerContext, ServerState};

/// The interval of the periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// A suspension of at least this duration makes the server close the sessions of proxies. It equals the
/// duration of a lease, so another server may have acquired the lease in the meantime.
const MAX_SUSPENSION: Duration = Duration::from_secs(2);

/// Starts the coroutine that does the periodic work.
pub(crate) fn spawn(context: &Arc<ServerContext>) -> Result<(), StartError> {
    let context = Arc::clone(context);
    let tick = move || {
        loop {
            task::sleep(TICK_INTERVAL);
            context.on_tick();
        }
    };
    task::spawn("clocks", tick).map_err(|source| StartError::Spawn { what: "a coroutine", source })
}

impl ServerContext {
    fn on_tick(&self) {
        let now = clock::now();
        let mut state = self.lock_state();
        self.check_suspension(&mut state, now);
        self.refresh_rollout_lease(&mut state);
        self.handle_rollout_event(&mut state, Event::Tick);
        self.reclaim_identities(&mut state, now);
        self.maintain_roster(&mut state, now);
        state.sessions.wake_all();
    }

    /// Checks whether the process was suspended. Called at each tick and before a publication, as either may
    /// run first after a suspension.
    pub(crate) fn check_suspension(&self, state: &mut ServerState, now: Timestamp) {
        if !self.lock_suspension_detector().observe(now, MAX_SUSPENSION, !state.identities.is_empty()) {
            return;
        }
        tracing::warn!("the process was suspended for longer than a lease: closing proxy sessions");
        // The proxies may already follow another server. Their next hello contains the highest term that they
        // have received.
        for session in state.sessions.values_mut().filter(|session| session.proxy.is_some()) {
            session.close_requested = true;
        }
    }

    /// Handles changes of the replicated state; called with no changes when only a lease may have changed.
    pub(crate) fn on_state_change(&self, changes: &[StateChange]) {
        let mut state = self.lock_state();
        self.refresh_rollout_lease(&mut state);
        for change in changes {
            self.apply_state_change(&mut state, change);
        }
    }

    fn apply_state_change(&self, state: &mut ServerState, change: &StateChange) {
        match change {
            StateChange::VersionPublished(number) => self.on_version_published(state, *number),
            StateChange::VersionDropped(_) => self.on_versions_dropped(state),
            StateChange::HolderChanged(role) if role == CONFIGURATION_ROLE => self.send_welcome_to_all(state),
            StateChange::HolderChanged(role) | StateChange::RoleChanged(role) if role == ORDINALS_ROLE => {
                self.send_ordinals(state);
            }
            _ => {}
        }
    }
}
