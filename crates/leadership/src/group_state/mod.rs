//! The replicated state machine of the control servers: the members of the group, the roles with their
//! holders and terms, and the configuration versions that the holder of [`CONFIGURATION_ROLE`] published.
//!
//! Every member applies the same commands in the same order and therefore reaches the same state. Every
//! member rejects a command with a stale term, whether or not its proposer still believed that it had a
//! lease.

mod members;
mod rejection;
mod roles;
mod snapshot;
mod versions;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub use gaugestep_config::schema::Act as Command;
use gaugestep_config::schema::act::What;
use gaugestep_config::schema::{Duty as Role, Entry, Member};
use gaugestep_config::{Document, Version};

pub use rejection::CommandRejected;

use crate::{CONFIGURATION_ROLE, NO_MEMBER, RoleHolder};

/// The maximum number of roles of a group.
pub const MAX_ROLES: usize = 4_096;
/// The maximum length of the state that a role stores for its next holder, in bytes.
pub const MAX_ROLE_STATE_BYTES: usize = 256 * 1024;
/// The maximum number of members of a group.
pub const MAX_MEMBERS: usize = 7;
/// The maximum length of the name of a role and of the key of a publication, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// The largest increase of a term by one command. A receiver that reports a term further ahead is taken to be
/// corrupt, and must not exhaust the terms of the role.
pub const MAX_TERM_RAISE: u64 = 1 << 32;

/// The result of applying a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The command took effect.
    Applied,
    /// The version is published, by this command or by an earlier one under the same key.
    Published(Version),
    /// The proposer does not hold the role under the command's term.
    StaleTerm {
        /// Term of the command.
        term: u64,
        /// Term of the role.
        current: u64,
    },
    /// The command cannot take effect.
    Rejected(CommandRejected),
}

/// A change of the state by a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// A version was published.
    VersionPublished(u64),
    /// The entry of a version changed.
    VersionUpdated(u64),
    /// A version was dropped because there are enough newer ones.
    VersionDropped(u64),
    /// The holder or the term of a role changed.
    HolderChanged(String),
    /// A role was declared, or the state for its next holder changed.
    RoleChanged(String),
    /// A member joined, was removed, or restarted, possibly with another address.
    MembersChanged,
}

/// A configuration version with its document.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredVersion {
    /// Number, digest, author and rollout state of the version.
    pub entry: Entry,
    /// Content of the version.
    pub document: Arc<Document>,
}

impl StoredVersion {
    /// Number of the version.
    pub fn number(&self) -> u64 {
        version_number(&self.entry)
    }
}

/// The number of the version that an entry describes; 0 if the entry contains no version.
pub fn version_number(entry: &Entry) -> u64 {
    entry.version.as_ref().map_or(0, |version| version.number)
}

/// The replicated state of a group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupState {
    /// Identifies the group; 0 while this member has not joined one. A group that is set up with an empty
    /// store gets a new lineage, because its version numbers start again.
    pub lineage: u64,
    /// The members, by number.
    pub members: BTreeMap<u64, Member>,
    /// Numbers of former members, which are never used again.
    pub removed: BTreeSet<u64>,
    /// The roles, by name.
    pub roles: BTreeMap<String, Role>,
    /// The versions, by number.
    pub versions: BTreeMap<u64, StoredVersion>,
}

impl GroupState {
    /// Creates the state of a group of one member. `versions` are those that a build without groups stored.
    pub fn single_member(lineage: u64, member: Member, versions: BTreeMap<u64, StoredVersion>) -> Self {
        let role = Role { name: CONFIGURATION_ROLE.into(), ..Role::default() };
        GroupState {
            lineage,
            members: BTreeMap::from([(member.number, member)]),
            removed: BTreeSet::new(),
            roles: BTreeMap::from([(role.name.clone(), role)]),
            versions,
        }
    }

    /// Applies a command, and returns its result and the changes. A rejected command changes nothing.
    pub fn apply(&mut self, command: &Command) -> (Outcome, Vec<StateChange>) {
        let mut changes = Vec::new();
        let outcome = self.try_apply(command, &mut changes).unwrap_or_else(|rejected| {
            debug_assert!(changes.is_empty(), "a rejected command changes nothing");
            Outcome::Rejected(rejected)
        });
        (outcome, changes)
    }

    fn try_apply(
        &mut self,
        command: &Command,
        changes: &mut Vec<StateChange>,
    ) -> Result<Outcome, CommandRejected> {
        let Some(operation) = &command.what else { return Err(CommandRejected::UnknownCommand) };
        let RoleHolder { member: holder, term: current } = self.holder(&command.duty);
        let is_current = match operation {
            What::Declare(_) | What::Member(_) => true,
            // The command contains the term that it replaces, so that it takes effect once even if two
            // leaders propose it or one leader repeats it.
            What::Assign(_) => command.term == current,
            _ => command.term == current && command.by == holder && holder != NO_MEMBER,
        };
        if !is_current {
            return Ok(Outcome::StaleTerm { term: command.term, current });
        }
        match operation {
            What::Declare(_) => self.declare_role(&command.duty, changes)?,
            What::Member(member) => self.update_member(member, changes)?,
            What::Assign(to) | What::HandOver(to) => {
                self.assign_role(&command.duty, *to, current, changes)?;
            }
            What::Raise(above) => self.raise_term(&command.duty, *above, changes)?,
            What::Keep(keep) => self.store_role_state(&command.duty, keep, changes)?,
            What::State(new) => self.set_version_state(new, changes)?,
            What::Version(new) => return self.publish(new, changes).map(Outcome::Published),
        }
        Ok(Outcome::Applied)
    }
}
