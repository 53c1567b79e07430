//! The result of an operator call, and waiting for the result of a proposed command.

use gaugestep_config::schema::{Done, Owner, Published, reply};
use gaugestep_leadership::RoleHolder;
use gaugestep_leadership::group_state::Outcome;

use crate::raft::request::Responder;
use crate::server::state::ServerContext;

/// The reason why a call was not executed, as it is sent in the response.
#[derive(Debug)]
pub(super) enum CallFailure {
    /// The call is invalid; a retry would be rejected as well.
    Rejected(String),
    /// There is no lease holder or no majority at present; the client may retry.
    Unavailable(String),
    /// Another member executes this call: the lease holder of the role or the Raft leader. The client retries
    /// there.
    Redirect(Owner),
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
            CallFailure::Redirect(holder) => reply::What::Owner(holder),
        }
    }
}

pub(super) type CallResult = Result<reply::What, CallFailure>;

impl ServerContext {
    /// Returns the term under which this server holds the lease of a role. Otherwise fails with the addresses
    /// of the lease holder, or as unavailable if this server knows of no lease holder.
    pub(super) fn require_lease(&self, role: &str) -> Result<u64, CallFailure> {
        if let Some(term) = self.replica.acting_term(role) {
            return Ok(term);
        }
        let RoleHolder { member: holder, term } = self.replica.with_state(|group| group.holder(role));
        let is_held_by_other_member =
            holder > 0 && holder != self.replica.member_number() && self.replica.leader() > 0;
        match self.holder_address(holder, term).filter(|_| is_held_by_other_member) {
            Some(holder) => Err(CallFailure::Redirect(holder)),
            None => Err(CallFailure::Unavailable(self.replica.unavailable_reason().to_string())),
        }
    }
}

/// Calls `propose` with a responder, and waits until the responder is called with the result.
pub(super) fn await_outcome(propose: impl FnOnce(Responder)) -> CallResult {
    let (sender, receiver) = may::sync::mpsc::channel();
    propose(Box::new(move |outcome| drop(sender.send(outcome))));
    match receiver.recv() {
        Ok(Ok(Outcome::Applied)) => Ok(reply::What::Done(Done {})),
        Ok(Ok(Outcome::Published(version))) => {
            Ok(reply::What::Published(Published { version: Some(version) }))
        }
        Ok(Ok(Outcome::Rejected(reason))) => Err(CallFailure::Rejected(reason.to_string())),
        // Another member acquired the lease before the command was committed.
        Ok(Ok(Outcome::StaleTerm { .. })) => {
            Err(CallFailure::Unavailable("the duty has another owner by now".into()))
        }
        Ok(Err(unavailable)) => Err(CallFailure::Unavailable(unavailable.to_string())),
        Err(_) => Err(CallFailure::Unavailable("the service is ending".into())),
    }
}
