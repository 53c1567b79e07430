//! The lease holder of the configuration role, as it is reported to proxies and operators.

use gaugestep_config::PROTOCOL_VERSION;
use gaugestep_config::schema::{Owner, Welcome, from_service};
use gaugestep_leadership::{CONFIGURATION_ROLE, RoleHolder};

use crate::server::state::{ServerContext, ServerState, SessionId};

impl ServerContext {
    /// The response to a proxy's hello and to its request counts (`Figures`).
    pub(crate) fn welcome(&self, state: &ServerState, id: SessionId) -> Welcome {
        let name_holder =
            state.identified_proxy(id).and_then(|proxy| state.identities.holder(&proxy.hello.proxy));
        Welcome {
            protocol: PROTOCOL_VERSION,
            lineage: self.replica.lineage(),
            owner: self.configuration_holder(state),
            name_term: name_holder.map_or(0, |holder| holder.term),
            member: self.replica.member_number(),
        }
    }

    /// The lease holder of the configuration role and its addresses; `None` if this server knows of none.
    fn configuration_holder(&self, state: &ServerState) -> Option<Owner> {
        let own = self.replica.member_number();
        if let Some(term) = state.rollout_lease.acting_term {
            return self.holder_address(own, term);
        }
        let RoleHolder { member: holder, term } =
            self.replica.with_state(|group| group.holder(CONFIGURATION_ROLE));
        // If the recorded holder is this server, its lease has expired: it has no acting term.
        if holder == own { None } else { self.holder_address(holder, term) }
    }

    /// The addresses of a member as the holder of the configuration role under a term; `None` for an unknown
    /// member.
    pub(crate) fn holder_address(&self, member: u64, term: u64) -> Option<Owner> {
        let member_info = self.replica.member(member)?;
        let (listen, operators) = (member_info.listen, member_info.operators);
        Some(Owner { duty: CONFIGURATION_ROLE.into(), member, term, listen, operators })
    }

    /// Sends every proxy the current lease holder.
    pub(crate) fn send_welcome_to_all(&self, state: &mut ServerState) {
        for id in state.sessions.proxy_ids() {
            let welcome = self.welcome(state, id);
            state.sessions.send(id, from_service::Said::Welcome(welcome));
        }
    }
}
