//! The operator call that reports the status of all proxies.

use gaugestep_clock::Timestamp;
use gaugestep_config::rollout::ProxyStatus;
use gaugestep_config::schema::{Fleet, Proxy, reply};
use gaugestep_leadership::CONFIGURATION_ROLE;
use gaugestep_leadership::group_state::GroupState;
use gaugestep_leadership::identity::NameHolder;

use crate::clock;
use crate::server::admin::outcome::CallResult;
use crate::server::state::{ConnectedProxy, ServerContext, ServerState, SessionId};

impl ServerContext {
    pub(super) fn fleet_status(&self) -> CallResult {
        self.require_lease(CONFIGURATION_ROLE)?;
        let state = self.lock_state();
        let now = clock::now();
        let managed = state.rollout_lease.rollout.proxies().iter();
        let managed = managed.map(|(name, status)| managed_proxy_status(&state, now, name, status));
        let unmanaged =
            state.sessions.proxies().filter_map(|(id, proxy)| unmanaged_proxy_status(&state, id, proxy));
        let mut proxies: Vec<Proxy> = managed.chain(unmanaged).collect();
        proxies.sort_by(|a, b| (&a.name, a.displaced).cmp(&(&b.name, b.displaced)));
        let newest = self.replica.with_state(GroupState::newest_version);
        let awaits_reconnects = state.rollout_lease.rollout.awaits_reconnects(now);
        Ok(reply::What::Fleet(Fleet { newest, proxies, awaits_reconnects }))
    }
}

/// The status of a proxy that the rollout manages, connected or not.
fn managed_proxy_status(state: &ServerState, now: Timestamp, name: &str, status: &ProxyStatus) -> Proxy {
    let NameHolder { incarnation, term: name_term } = state.identities.holder(name).unwrap_or_default();
    Proxy {
        name: name.to_owned(),
        connected: status.stream.is_some(),
        build: status.build.clone(),
        in_force: status.in_force,
        offered: status.pending_offer.map_or(0, |offer| offer.number),
        refusal: status.last_rejection.as_ref().map(|rejection| rejection.refusal.clone()),
        refused: status.last_rejection.as_ref().map_or(0, |rejection| rejection.number),
        heard_ms: now.duration_since(status.last_active_at).as_millis() as u64,
        ahead: status.is_ahead,
        incarnation,
        name_term,
        ..Proxy::default()
    }
}

/// The status of a connected proxy that the rollout does not manage, because another process holds its name
/// or it has received a higher term; `None` for any other proxy.
fn unmanaged_proxy_status(state: &ServerState, id: SessionId, proxy: &ConnectedProxy) -> Option<Proxy> {
    let hello = &proxy.hello;
    let displaced = !state.identities.is_holder(&hello.proxy, id);
    let term = state.rollout_lease.acting_term.unwrap_or(0);
    let higher_term = Some(proxy.highest_term()).filter(|highest| *highest > term);
    (displaced || higher_term.is_some()).then(|| Proxy {
        name: hello.proxy.clone(),
        connected: true,
        build: hello.build.clone(),
        in_force: hello.in_force.as_ref().map_or(0, |version| version.number),
        incarnation: hello.incarnation,
        name_term: hello.name_term,
        displaced,
        beyond: higher_term.unwrap_or(0),
        ..Proxy::default()
    })
}
