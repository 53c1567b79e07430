//! What the thread of a replica is asked for, and how it answers.

use gaugestep_config::schema::{Member, Yield};
use gaugestep_leadership::group_state::{Command, CommandRejected, Outcome};
use gaugestep_leadership::pending_proposals::TooManyProposals;
use raft::eraftpb::Message;
use thiserror::Error;

/// Why a command was not committed, as far as this member knows. The text is the reply to the operator.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Unavailable {
    /// The store failed while the command waited.
    #[error("the store of this member has failed")]
    StoreFailed,
    /// The store cannot be used at present.
    #[error("the store of member {member} cannot be used: {reason}")]
    StoreUnusable {
        /// This member.
        member: u64,
        /// Why.
        reason: String,
    },
    /// This member waits to be added to a group.
    #[error("member {0} has not joined its group yet")]
    NotJoined(u64),
    /// There is no leader, or it reaches no majority.
    #[error("no majority of the control services answers")]
    NoMajority,
    /// There is a leader, and no member holds the role.
    #[error("nobody owns it at this moment")]
    NoHolder,
    /// Membership is changed at the leader, and the change before must be applied.
    #[error("members are changed at the leader, one at a time")]
    MembershipChangeRejected,
    /// Too many proposals wait.
    #[error(transparent)]
    TooManyProposals(#[from] TooManyProposals),
}

/// The result of a command, or why there is none. A command without result may be committed yet.
pub type CommandResult = Result<Outcome, Unavailable>;
/// Is called once with the result of a command.
pub type Responder = Box<dyn FnOnce(CommandResult) + Send>;

/// A responder for commands whose result nobody waits for.
pub(crate) fn ignore_result() -> Responder {
    Box::new(|_| {})
}

/// Answers with a rejection.
pub(crate) fn reject(responder: Responder, rejected: CommandRejected) {
    responder(Ok(Outcome::Rejected(rejected)));
}

/// A request to the thread of a replica.
pub(crate) enum Request {
    /// Commit a command.
    Propose { command: Box<Command>, responder: Responder },
    /// Add a member to the group.
    AddMember { member: Member, responder: Responder },
    /// Remove a member from the group for good.
    RemoveMember { member: u64, responder: Responder },
    /// Process a Raft message of another member.
    Step(Box<Message>),
    /// Another member requests its lease.
    GrantLease { member: u64, number: u64 },
    /// The leader asks this member to hand a role over.
    HandOver(Yield),
    /// The stream to a member has ended.
    ReportUnreachable { member: u64 },
    /// A snapshot was handed to the stream of a member, or could not be.
    ReportSnapshot { member: u64, sent: bool },
}

impl Request {
    /// The responder, if somebody waits for the result.
    pub(crate) fn into_responder(self) -> Option<Responder> {
        match self {
            Request::Propose { responder, .. }
            | Request::AddMember { responder, .. }
            | Request::RemoveMember { responder, .. } => Some(responder),
            Request::Step(_)
            | Request::GrantLease { .. }
            | Request::HandOver(_)
            | Request::ReportUnreachable { .. }
            | Request::ReportSnapshot { .. } => None,
        }
    }
}
