//! Handling of the messages of proxies, and the responses to them.

use gaugestep_clock::Timestamp;
use gaugestep_config::PROTOCOL_VERSION;
use gaugestep_config::rollout::{Event, RequestCounts};
use gaugestep_config::schema::{Displaced, Figures, Hello, from_service};
use gaugestep_leadership::CONFIGURATION_ROLE;
use gaugestep_leadership::group_state::MAX_ROLES;
use gaugestep_leadership::identity::{Claim, ClaimRequest};

use crate::clock;
use crate::server::error::SessionError;
use crate::server::state::{ConnectedProxy, ServerContext, ServerState, SessionId, highest_term};

/// The maximum length of a proxy's name, of its build, and of an operator's name.
pub(crate) const MAX_NAME_BYTES: usize = 128;

/// Rejects a hello with another protocol version, without a name, or with fields above their size limits,
/// which bound the memory per proxy.
pub(crate) fn check_hello(hello: &Hello) -> Result<(), SessionError> {
    let is_named = (1..=MAX_NAME_BYTES).contains(&hello.proxy.len()) && hello.build.len() <= MAX_NAME_BYTES;
    if hello.protocol == PROTOCOL_VERSION && is_named && hello.seen.len() <= MAX_ROLES {
        Ok(())
    } else {
        Err(SessionError::InvalidHello)
    }
}

fn log_hello(hello: &Hello) {
    let version = hello.in_force.as_ref().map_or(0, |version| version.number);
    let (proxy, incarnation, build) = (&hello.proxy, hello.incarnation, &hello.build);
    tracing::info!(proxy, version, incarnation, seen = highest_term(hello), build, "proxy connected");
}

fn claim_request(hello: &Hello, term: u64, stream: SessionId) -> ClaimRequest<'_> {
    ClaimRequest { name: &hello.proxy, incarnation: hello.incarnation, term, stream }
}

impl ServerContext {
    /// Registers the proxy of a session and claims its name. Returns the responses to send.
    pub(crate) fn on_hello(&self, id: SessionId, mut hello: Hello) -> Vec<from_service::Said> {
        if hello.incarnation == 0 {
            // The proxy's build sends no incarnation: each of its sessions counts as a separate process.
            hello.incarnation = id;
        }
        log_hello(&hello);
        let now = clock::now();
        let mut state = self.lock_state();
        let claim = state.identities.claim(now, claim_request(&hello, hello.name_term, id));
        let (proxy, incarnation) = (hello.proxy.clone(), hello.incarnation);
        if let Some(session) = state.sessions.get_mut(id) {
            session.proxy = Some(ConnectedProxy { hello, updated_at: now });
        }
        let mut responses = vec![from_service::Said::Welcome(self.welcome(&state, id))];
        match claim {
            Claim::Granted { term, superseded } => {
                if let Some(session) = superseded.and_then(|old| state.sessions.get_mut(old)) {
                    tracing::warn!(proxy, name_term = term, by = incarnation, "proxy identity superseded");
                    session
                        .send(from_service::Said::Displaced(Displaced { name_term: term, by: incarnation }));
                }
                self.register_proxy(&mut state, id);
            }
            Claim::Superseded { term, by } => {
                tracing::warn!(
                    proxy,
                    name_term = term,
                    by,
                    incarnation,
                    "proxy identity is held by another process"
                );
                responses.push(from_service::Said::Displaced(Displaced { name_term: term, by }));
            }
        }
        responses
    }

    /// Handles a proxy's report of its request counts (`Figures`). Returns the responses to send.
    pub(crate) fn on_figures(
        &self,
        proxy: &str,
        id: SessionId,
        figures: &Figures,
    ) -> Vec<from_service::Said> {
        let mut state = self.lock_state();
        if let Some(session) = state.sessions.get_mut(id) {
            session.figures_sent_ms = figures.asked_ms;
        }
        if state.identities.is_holder(proxy, id) {
            let unserved = figures.declined.saturating_add(figures.aborted);
            let (proxy, served, number) = (proxy.to_owned(), figures.succeeded, figures.number);
            let counts = RequestCounts { served, unserved };
            self.handle_rollout_event(
                &mut state,
                Event::RequestsCounted { proxy, stream: id, counts, number },
            );
        }
        self.clear_suspension_if_followed(&state, id);
        let welcome = from_service::Said::Welcome(self.welcome(&state, id));
        let grant = self.ordinal_grant(&state, id).map(from_service::Said::Seated);
        std::iter::once(welcome).chain(grant).collect()
    }

    /// Clears the suspension if the proxy of this session follows this server.
    ///
    /// A proxy that sends figures has read this server's welcome. If it has received no higher term, no other
    /// server has superseded this one during the suspension. A hello does not prove that, as it may have been
    /// queued while the process was suspended.
    fn clear_suspension_if_followed(&self, state: &ServerState, id: SessionId) {
        let term = self.replica.with_state(|group| group.holder(CONFIGURATION_ROLE)).term;
        let follows = state
            .sessions
            .get(id)
            .is_some_and(|session| !session.close_requested && session.highest_term() <= term);
        if follows {
            self.lock_suspension_detector().clear();
        }
    }

    /// Removes a closed session of any kind. If its proxy held its name, the rollout is informed that it
    /// disconnected.
    pub(crate) fn on_session_closed(&self, id: SessionId) {
        let mut state = self.lock_state();
        let Some(ConnectedProxy { hello, .. }) = state.sessions.close(id) else { return };
        let was_holder = state.identities.is_holder(&hello.proxy, id);
        state.identities.on_disconnected(clock::now(), id);
        if was_holder {
            self.handle_rollout_event(&mut state, Event::Disconnected { proxy: hello.proxy, stream: id });
        }
    }

    /// Claims names again for superseded processes that are still connected. A claim is granted once the
    /// process that superseded them has been disconnected for long enough.
    pub(crate) fn reclaim_identities(&self, state: &mut ServerState, now: Timestamp) {
        let superseded: Vec<SessionId> =
            state.identities.superseded().map(|process| process.stream).collect();
        for id in superseded {
            let Some(proxy) = state.sessions.get(id).and_then(|session| session.proxy.as_ref()) else {
                continue;
            };
            let hello = &proxy.hello;
            // A claim with term 0 is that of a process that never held the name and would count as the newer
            // process.
            let term = hello.name_term.max(1);
            let claim = state.identities.claim(now, claim_request(hello, term, id));
            if matches!(claim, Claim::Granted { .. }) {
                let welcome = self.welcome(state, id);
                state.sessions.send(id, from_service::Said::Welcome(welcome));
                self.register_proxy(state, id);
            }
        }
    }
}
