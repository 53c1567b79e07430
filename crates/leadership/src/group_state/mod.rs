//! The replicated state machine of the control services: their members, the roles with holders and terms, and the
//! configuration versions that the holder of [`CONFIGURATION_ROLE`] published.
//!
//! Every member applies the same commands in the same order and comes to the same state. A command under a stale term is
//! rejected here by all members alike, whatever its proposer believed about its lease.

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

/// The most roles of a group.
pub const MAX_ROLES: usize = 4_096;
/// The most bytes that a role keeps for its next holder.
pub const MAX_ROLE_STATE_BYTES: usize = 256 * 1024;
/// The most members of a group.
pub const MAX_MEMBERS: usize = 7;
/// The most bytes of a role's name and of a publication's key.
const MAX_NAME_BYTES: usize = 128;
/// How far a term may be raised at once. A receiver that reports a higher one is corrupt, and must not use terms up.
pub const MAX_TERM_RAISE: u64 = 1 << 32;

/// The result of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The command has taken effect.
    Applied,
    /// The version is published, by this command or by an earlier one under the same key.
    Published(Version),
    /// The proposer does not hold the role under the command's term.
    StaleTerm {
        /// The command's term.
        term: u64,
        /// The role's term.
        current: u64,
    },
    /// The command cannot take effect.
    Rejected(CommandRejected),
}

/// What a command has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateChange {
    /// A version was published.
    VersionPublished(u64),
    /// The record of a version has changed.
    VersionUpdated(u64),
    /// A version was dropped, as newer ones are kept in its place.
    VersionDropped(u64),
    /// A role has a new holder or term.
    HolderChanged(String),
    /// A role was declared, or its state has changed.
    RoleChanged(String),
    /// A member joined, left, or has a new address.
    MembersChanged,
}

/// A version with its content.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredVersion {
    /// Its record: number, digest, author and state of the rollout.
    pub entry: Entry,
    /// Its content.
    pub document: Arc<Document>,
}

impl StoredVersion {
    /// Its number.
    pub fn number(&self) -> u64 {
        version_number(&self.entry)
    }
}

/// The number in a version's record; 0 if the record names no version.
pub fn version_number(entry: &Entry) -> u64 {
    entry.version.as_ref().map_or(0, |version| version.number)
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupState {
    /// Identifies the group: one that is set up from nothing has another lineage, as version numbers begin again.
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
    /// The state of a group of one member, with the versions that a build without groups left.
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

    /// Applies a command; returns its result and what it has changed. A command that is rejected changes nothing.
    pub fn apply(&mut self, command: &Command) -> (Outcome, Vec<StateChange>) {
        let mut changes = Vec::new();
        let outcome = self.try_apply(command, &mut changes).unwrap_or_else(|rejected| {
            debug_assert!(changes.is_empty(), "a command that is rejected changes nothing");
            Outcome::Rejected(rejected)
        });
        (outcome, changes)
    }

    fn try_apply(
        &mut self,
        command: &Command,
        changes: &mut Vec<StateChange>,
    ) -> Result<Outcome, CommandRejected> {
        let Some(what) = &command.what else { return Err(CommandRejected::UnknownCommand) };
        let RoleHolder { member: holder, term: current } = self.holder(&command.duty);
        let is_current = match what {
            What::Declare(_) | What::Member(_) => true,
            // The command names the term that it replaces: two leaders, or one that repeats it, replace it once.
            What::Assign(_) => command.term == current,
            _ => command.term == current && command.by == holder && holder != NO_MEMBER,
        };
        if !is_current {
            return Ok(Outcome::StaleTerm { term: command.term, current });
        }
        match what {
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
