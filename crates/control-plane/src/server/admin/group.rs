//! Operator calls that change the members of the group and the holders of roles.

use std::net::SocketAddr;

use gaugestep_config::schema::act::What;
use gaugestep_config::schema::{Declare, HandOver, Member};
use gaugestep_leadership::group_state::MAX_TERM_RAISE;

use crate::server::admin::outcome::{CallFailure, CallResult, await_outcome};
use crate::server::state::{ServerContext, Session};

impl ServerContext {
    pub(super) fn add_member(&self, member: Member) -> CallResult {
        self.require_leadership()?;
        if member.listen.parse::<SocketAddr>().is_err() {
            return Err(CallFailure::Rejected(format!("'{}' is no address", member.listen)));
        }
        await_outcome(|responder| self.replica.add_member(member, responder))
    }

    pub(super) fn remove_member(&self, member: u64) -> CallResult {
        self.require_leadership()?;
        await_outcome(|responder| self.replica.remove_member(member, responder))
    }

    /// Rejects the call unless this member is the Raft leader, which alone can change the members.
    fn require_leadership(&self) -> Result<(), CallFailure> {
        let leader = self.replica.leader();
        if leader == self.replica.member_number() {
            return Ok(());
        }
        let leader_address = if leader > 0 { self.holder_address(leader, 0) } else { None };
        Err(match leader_address {
            Some(leader) => CallFailure::Redirect(leader),
            None => CallFailure::Unavailable(self.replica.unavailable_reason().to_string()),
        })
    }

    pub(super) fn hand_over(&self, request: &HandOver) -> CallResult {
        let term = self.require_lease(&request.duty)?;
        let Some(successor) = self.choose_successor(request.to) else {
            return Err(CallFailure::rejected(
                "there is no such member that was heard of within the last seconds",
            ));
        };
        await_outcome(|responder| self.replica.hand_over(&request.duty, term, successor, responder))
    }

    pub(super) fn declare(&self, role: &str) -> CallResult {
        // A role that has not been declared has no term: 0.
        await_outcome(|responder| self.propose(role, 0, What::Declare(Declare {}), responder))
    }

    /// Raises the term of a role above the terms that proxies have received. With this call the operator
    /// confirms that the lease holders of those terms never run again.
    pub(super) fn take_over(&self, role: &str) -> CallResult {
        let term = self.require_lease(role)?;
        self.lock_suspension_detector().clear();
        let above = self.highest_credible_term(term);
        tracing::warn!(role, term, above, "an operator forces a takeover");
        await_outcome(|responder| self.propose(role, term, What::Raise(above), responder))
    }

    /// The highest term that a proxy has received, at least `term`. Terms more than [`MAX_TERM_RAISE`] above
    /// `term` are ignored as corrupt.
    fn highest_credible_term(&self, term: u64) -> u64 {
        let state = self.lock_state();
        let terms = state.sessions.values().map(Session::highest_term);
        let credible = terms.filter(|highest| highest.saturating_sub(term) <= MAX_TERM_RAISE);
        credible.max().unwrap_or(0).max(term)
    }
}
