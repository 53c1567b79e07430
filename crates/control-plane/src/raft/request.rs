//! The requests to the thread of a replica, and their results.

use gaugestep_config::schema::{Member, Yield};
use gaugestep_leadership::group_state::{Command, CommandRejected, Outcome};
use gaugestep_leadership::pending_proposals::TooManyProposals;
use raft::eraftpb::Message;
use thiserror::Error;

/// The reason why a command has no result. The command may be committed later nevertheless. The text is sent
/// to the operator.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Unavailable {
    /// The store failed before the command had a result.
    #[error("the store of this member has failed")]
    StoreFailed,
    /// The store cannot be used at present.
    #[error("the store of member {member} cannot be used: {reason}")]
    StoreUnusable {
        /// The number of this member.
        member: u64,
        /// The error of the store.
        reason: String,
    },
    /// This member is waiting to be added to a group.
    #[error("member {0} has not joined its group yet")]
    NotJoined(u64),
    /// There is no leader, or the leader cannot reach a majority.
    #[error("no majority of the control services answers")]
    NoMajority,
    /// There is a leader, but no member holds the role.
    #[error("nobody owns it at this moment")]
    NoHolder,
    /// This member is not the leader, or the previous membership change is not applied yet.
    #[error("members are changed at the leader, one at a time")]
    MembershipChangeRejected,
    /// This member leads and is to be removed: another one must lead first.
    #[error("the member to be removed leads the group; its leadership is being transferred")]
    TransferringLeadership,
    /// The limit of pending proposals is reached.
    #[error(transparent)]
    TooManyProposals(#[from] TooManyProposals),
}

/// The result of a command, or the reason why there is none. A command without a result may still be
/// committed.
pub type CommandResult = Result<Outcome, Unavailable>;
/// A callback that is called once with the result of a command.
pub type Responder = Box<dyn FnOnce(CommandResult) + Send>;

/// A responder for commands whose result is ignored.
pub(crate) fn ignore_result() -> Responder {
    Box::new(|_| {})
}

/// Calls a responder with a rejection.
pub(crate) fn reject(responder: Responder, rejected: CommandRejected) {
    responder(Ok(Outcome::Rejected(rejected)));
}

/// A request to the thread of a replica.
pub(crate) enum Request {
    /// Commit a command.
    Propose { command: Box<Command>, responder: Responder },
    /// Add a member to the group.
    AddMember { member: Member, responder: Responder },
    /// Remove a member from the group permanently.
    RemoveMember { member: u64, responder: Responder },
    /// Process a Raft message of another member.
    Step(Box<Message>),
    /// Grant another member the lease that it requests.
    GrantLease { member: u64, number: u64 },
    /// Hand a role over, as the leader requests.
    HandOver(Yield),
    /// Record that the stream to a member has closed.
    ReportUnreachable { member: u64 },
    /// Mark the store as rejected, so that no later start uses it, and end the process for this reason.
    RejectStore { reason: String },
    /// Record whether a snapshot was queued for the stream to a member.
    ReportSnapshot { member: u64, sent: bool },
}

impl Request {
    /// Returns the responder of requests that have one.
    pub(crate) fn into_responder(self) -> Option<Responder> {
        match self {
            Request::Propose { responder, .. }
            | Request::AddMember { responder, .. }
            | Request::RemoveMember { responder, .. } => Some(responder),
            Request::Step(_)
            | Request::GrantLease { .. }
            | Request::HandOver(_)
            | Request::ReportUnreachable { .. }
            | Request::RejectStore { .. }
            | Request::ReportSnapshot { .. } => None,
        }
    }
}
