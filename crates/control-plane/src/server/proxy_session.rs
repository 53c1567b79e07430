//! What proxies say to the server, and what it answers.

use gaugestep_clock::Timestamp;
use gaugestep_config::PROTOCOL_VERSION;
use gaugestep_config::rollout::{Event, RequestCounts};
use gaugestep_config::schema::{Displaced, Figures, Hello, from_service};
use gaugestep_leadership::CONFIGURATION_ROLE;
use gaugestep_leadership::group_state::MAX_ROLES;
use gaugestep_leadership::identity::{Claim, ClaimRequest};

use crate::clock;
use crate::server::error::SessionError;
use crate::server::state::{ConnectedProxy, ServerContext, ServerState, SessionId, highest_term_seen};

/// Bytes of a proxy's name, of its build, and of an operator's name.
pub(crate) const MAX_NAME_BYTES: usize = 128;

/// Refuses a hello of another protocol, or one that would take more memory than a proxy may.
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
    tracing::info!(proxy, version, incarnation, seen = highest_term_seen(hello), build, "proxy connected");
}

fn claim_request(hello: &Hello, term: u64, stream: SessionId) -> ClaimRequest<'_> {
    ClaimRequest { name: &hello.proxy, incarnation: hello.incarnation, term, stream }
}

impl ServerContext {
    /// A proxy has opened a session. Returns the answers to send.
    pub(crate) fn on_hello(&self, id: SessionId, mut hello: Hello) -> Vec<from_service::Said> {
        if hello.incarnation == 0 {
            // A build that does not name its processes: each of its sessions counts as one.
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
        let mut answers = vec![from_service::Said::Welcome(self.welcome(&state, id))];
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
                answers.push(from_service::Said::Displaced(Displaced { name_term: term, by }));
            }
        }
        answers
    }

    /// A proxy reports what became of its requests. Returns the answers to send.
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
            self.drive(&mut state, Event::RequestsCounted { proxy, stream: id, counts, number });
        }
        self.confirm_followed(&state, id);
        let welcome = from_service::Said::Welcome(self.welcome(&state, id));
        let grant = self.ordinal_grant(&state, id).map(from_service::Said::Seated);
        std::iter::once(welcome).chain(grant).collect()
    }

    /// A proxy that sends figures has read this server's welcome, and so follows no later term: that settles what
    /// a suspension left open. A hello proves less, as it may have waited while the process was suspended.
    fn confirm_followed(&self, state: &ServerState, id: SessionId) {
        let term = self.replica.with_state(|group| group.holder(CONFIGURATION_ROLE)).term;
        let follows = state
            .sessions
            .get(id)
            .is_some_and(|session| !session.close_requested && session.highest_term_seen() <= term);
        if follows {
            self.lock_pause_detector().clear();
        }
    }

    /// A session has ended, of a proxy or of anybody else.
    pub(crate) fn on_session_closed(&self, id: SessionId) {
        let mut state = self.lock_state();
        let Some(ConnectedProxy { hello, .. }) = state.sessions.close(id) else { return };
        let was_holder = state.identities.is_holder(&hello.proxy, id);
        state.identities.disconnected(clock::now(), id);
        if was_holder {
            self.drive(&mut state, Event::Disconnected { proxy: hello.proxy, stream: id });
        }
    }

    /// Gives a name back to a process whose successor has been gone for long.
    pub(crate) fn reclaim_identities(&self, state: &mut ServerState, now: Timestamp) {
        let superseded: Vec<SessionId> =
            state.identities.superseded().map(|process| process.stream).collect();
        for id in superseded {
            let Some(proxy) = state.sessions.get(id).and_then(|session| session.proxy.as_ref()) else {
                continue;
            };
            let hello = &proxy.hello;
            // Under a term of 0 it would claim the name as a process that never had it, and so as the newer one.
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
