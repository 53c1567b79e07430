//! The holder of the configuration role's lease, as proxies and operators learn it.

use gaugestep_config::PROTOCOL_VERSION;
use gaugestep_config::schema::{Owner, Welcome, from_service};
use gaugestep_leadership::{CONFIGURATION_ROLE, RoleHolder};

use crate::server::state::{ServerContext, ServerState, SessionId};

impl ServerContext {
    /// The answer to a proxy's hello and to its figures.
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

    /// The lease holder of the configuration role, as far as this server knows.
    fn configuration_holder(&self, state: &ServerState) -> Option<Owner> {
        let own = self.replica.member_number();
        if let Some(term) = state.rollout_lease.acting_term {
            return self.address_of(own, term);
        }
        let RoleHolder { member: holder, term } =
            self.replica.with_state(|group| group.holder(CONFIGURATION_ROLE));
        // This server itself, if it is the one on record, does not hold the lease any more.
        if holder == own { None } else { self.address_of(holder, term) }
    }

    /// Where a member is reached as the holder of the configuration role under a term; none if it is not known.
    pub(crate) fn address_of(&self, member: u64, term: u64) -> Option<Owner> {
        let known = self.replica.member(member)?;
        let (listen, operators) = (known.listen, known.operators);
        Some(Owner { duty: CONFIGURATION_ROLE.into(), member, term, listen, operators })
    }

    /// Sends all proxies the present lease holder.
    pub(crate) fn welcome_all(&self, state: &mut ServerState) {
        for id in state.sessions.proxy_ids() {
            let welcome = self.welcome(state, id);
            state.sessions.send(id, from_service::Said::Welcome(welcome));
        }
    }
}
