//! Reasons to reject a command.

use gaugestep_config::RejectReason;
use thiserror::Error;

use super::{MAX_MEMBERS, MAX_ROLES};

/// The reason why a command cannot take effect. Its text is the response to the operator.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum CommandRejected {
    /// A later build proposed a command that this build does not know.
    #[error("an act that this build does not know")]
    UnknownCommand,
    /// The command cannot be decoded.
    #[error(transparent)]
    Undecodable(#[from] prost::DecodeError),

    /// The name is empty, too long, or not printable ASCII without spaces.
    #[error("'{0}' is no name for a duty")]
    InvalidRoleName(String),
    /// There are [`MAX_ROLES`] roles already.
    #[error("there are {MAX_ROLES} duties already")]
    TooManyRoles,
    /// No role has this name.
    #[error("there is no duty '{0}'")]
    UnknownRole(String),
    /// The role has reached the highest possible term.
    #[error("the terms of '{0}' are used up")]
    TermsExhausted(String),
    /// The term to exceed is more than [`MAX_TERM_RAISE`](super::MAX_TERM_RAISE) above the current one.
    #[error("the term to go above is further off than any owner can have come")]
    TermOutOfReach,
    /// The state for the next holder is longer than [`MAX_ROLE_STATE_BYTES`](super::MAX_ROLE_STATE_BYTES).
    #[error("{bytes} bytes are too many to keep for the next owner")]
    RoleStateTooLong {
        /// Length of the state in bytes.
        bytes: usize,
    },

    /// No member has this number.
    #[error("there is no member {0}")]
    UnknownMember(u64),
    /// A later start of the process of the member is stored.
    #[error("a later start of member {0} is known")]
    StaleMember(u64),
    /// Another member of the group has this number, or the number is 0.
    #[error("member {0} is there already")]
    MemberExists(u64),
    /// The number belonged to a member that was removed, and cannot be used again.
    #[error("number {0} was a member's that is gone: take another")]
    MemberNumberUsed(u64),
    /// There are [`MAX_MEMBERS`] members already.
    #[error("there are {MAX_MEMBERS} members already")]
    TooManyMembers,
    /// The last member cannot be removed.
    #[error("the last member cannot be removed")]
    LastMember,

    /// The key of the publication is too long.
    #[error("the key is too long")]
    KeyTooLong,
    /// A version with a different document was published under the same key.
    #[error("version {number} was published under this key, with another content")]
    KeyReused {
        /// Number of the version published under the key.
        number: u64,
    },
    /// The document is invalid.
    #[error(transparent)]
    InvalidDocument(#[from] RejectReason),
    /// The newest version is not the one that the operator expected.
    #[error("version {newest} is the newest, not version {expected}")]
    UnexpectedNewest {
        /// Number of the newest version.
        newest: u64,
        /// Number of the version that the operator expected.
        expected: u64,
    },
    /// The newest version has the highest possible number.
    #[error("the numbers of versions are used up")]
    VersionNumbersExhausted,
    /// No version has this number.
    #[error("there is no version {0}")]
    UnknownVersion(u64),
}
