//! What becomes of an operator's call, and how it is waited for.

use gaugestep_config::schema::{Done, Owner, Published, reply};
use gaugestep_leadership::RoleHolder;
use gaugestep_leadership::group_state::Outcome;

use crate::raft::request::Responder;
use crate::server::state::ServerContext;

/// Why a call is not carried out, as the reply says.
#[derive(Debug)]
pub(super) enum CallFailure {
    /// It cannot be, and the same call again would not be either.
    Rejected(String),
    /// Not now: there is no lease holder, or no majority. The caller tries again.
    Unavailable(String),
    /// Not here: this member holds the lease.
    LeaseElsewhere(Owner),
}

impl CallFailure {
    pub(super) fn rejected(reason: impl Into<String>) -> Self {
        CallFailure::Rejected(reason.into())
    }
}

impl From<CallFailure> for reply::What {
    fn from(failure: CallFailure) -> Self {
        match failure {
            CallFailure::Rejected(reason) => reply::What::Error(reason),
            CallFailure::Unavailable(reason) => reply::What::Later(reason),
            CallFailure::LeaseElsewhere(holder) => reply::What::Owner(holder),
        }
    }
}

pub(super) type CallResult = Result<reply::What, CallFailure>;

impl ServerContext {
    /// The term under which this server holds the lease of a role; otherwise where to ask.
    pub(super) fn require_lease(&self, role: &str) -> Result<u64, CallFailure> {
        if let Some(term) = self.replica.acting_term(role) {
            return Ok(term);
        }
        let RoleHolder { member: holder, term } = self.replica.with_state(|group| group.holder(role));
        let is_held_by_other_member =
            holder > 0 && holder != self.replica.member_number() && self.replica.leader() > 0;
        match self.holder_address(holder, term).filter(|_| is_held_by_other_member) {
            Some(holder) => Err(CallFailure::LeaseElsewhere(holder)),
            None => Err(CallFailure::Unavailable(self.replica.unavailable_reason().to_string())),
        }
    }
}

/// Proposes something by way of `propose`, and waits until it is decided.
pub(super) fn await_outcome(propose: impl FnOnce(Responder)) -> CallResult {
    let (sender, decided) = may::sync::mpsc::channel();
    propose(Box::new(move |outcome| drop(sender.send(outcome))));
    match decided.recv() {
        Ok(Ok(Outcome::Applied)) => Ok(reply::What::Done(Done {})),
        Ok(Ok(Outcome::Published(version))) => {
            Ok(reply::What::Published(Published { version: Some(version) }))
        }
        Ok(Ok(Outcome::Rejected(reason))) => Err(CallFailure::Rejected(reason.to_string())),
        // Another member took the lease while the command was under way.
        Ok(Ok(Outcome::StaleTerm { .. })) => {
            Err(CallFailure::Unavailable("the duty has another owner by now".into()))
        }
        Ok(Err(unavailable)) => Err(CallFailure::Unavailable(unavailable.to_string())),
        Err(_) => Err(CallFailure::Unavailable("the service is ending".into())),
    }
}
