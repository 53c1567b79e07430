//! Roles: declaration, change of the holder, and the state that is stored for the next holder.

use gaugestep_config::schema::{Duty as Role, Keep};

use super::{
    CommandRejected, GroupState, MAX_NAME_BYTES, MAX_ROLE_STATE_BYTES, MAX_ROLES, MAX_TERM_RAISE, StateChange,
};
use crate::{NO_MEMBER, RoleHolder};

impl GroupState {
    /// The holder and the term of a role; no holder and term 0 if the role was not declared.
    pub fn holder(&self, role: &str) -> RoleHolder {
        let to_holder = |role: &Role| RoleHolder { member: role.owner, term: role.term };
        self.roles.get(role).map(to_holder).unwrap_or_default()
    }

    /// The roles that a member holds.
    pub fn roles_of(&self, member: u64) -> impl Iterator<Item = &Role> {
        self.roles.values().filter(move |role| role.owner == member)
    }

    pub(super) fn declare_role(
        &mut self,
        name: &str,
        changes: &mut Vec<StateChange>,
    ) -> Result<(), CommandRejected> {
        let is_printable = name.bytes().all(|byte| byte.is_ascii_graphic());
        if !(1..=MAX_NAME_BYTES).contains(&name.len()) || !is_printable {
            return Err(CommandRejected::InvalidRoleName(name.into()));
        }
        if self.roles.contains_key(name) {
            return Ok(());
        }
        if self.roles.len() >= MAX_ROLES {
            return Err(CommandRejected::TooManyRoles);
        }
        self.roles.insert(name.into(), Role { name: name.into(), ..Role::default() });
        changes.push(StateChange::RoleChanged(name.into()));
        Ok(())
    }

    /// Assigns a role to a member, or to none with [`NO_MEMBER`]. The new term is `previous` plus 1.
    pub(super) fn assign_role(
        &mut self,
        name: &str,
        to: u64,
        previous: u64,
        changes: &mut Vec<StateChange>,
    ) -> Result<(), CommandRejected> {
        let is_assignable = to == NO_MEMBER || self.members.contains_key(&to);
        let Some(role) = self.roles.get_mut(name) else {
            return Err(CommandRejected::UnknownRole(name.into()));
        };
        if !is_assignable {
            return Err(CommandRejected::UnknownMember(to));
        }
        // The highest term is never used, because a holder under it could not be replaced.
        let Some(term) = previous.checked_add(1).filter(|term| *term < u64::MAX) else {
            return Err(CommandRejected::TermsExhausted(name.into()));
        };
        (role.owner, role.term, role.order) = (to, term, 0);
        role.changes = role.changes.saturating_add(1);
        changes.push(StateChange::HolderChanged(name.into()));
        Ok(())
    }

    /// Raises the term of a role above `above`, the highest term that a receiver reported. The holder stays
    /// the same.
    pub(super) fn raise_term(
        &mut self,
        name: &str,
        above: u64,
        changes: &mut Vec<StateChange>,
    ) -> Result<(), CommandRejected> {
        let RoleHolder { member, term } = self.holder(name);
        if above.saturating_sub(term) > MAX_TERM_RAISE {
            return Err(CommandRejected::TermOutOfReach);
        }
        self.assign_role(name, member, term.max(above), changes)
    }

    /// Stores the state of a role for its next holder. `keep.order` is a sequence number within the term; a
    /// command whose number is not above the stored one has no effect, so that a command that is committed
    /// twice does not undo a later one.
    pub(super) fn store_role_state(
        &mut self,
        name: &str,
        keep: &Keep,
        changes: &mut Vec<StateChange>,
    ) -> Result<(), CommandRejected> {
        if keep.state.len() > MAX_ROLE_STATE_BYTES {
            return Err(CommandRejected::RoleStateTooLong { bytes: keep.state.len() });
        }
        if let Some(role) = self.roles.get_mut(name).filter(|role| keep.order > role.order) {
            (role.state, role.order) = (keep.state.clone(), keep.order);
            changes.push(StateChange::RoleChanged(name.into()));
        }
        Ok(())
    }
}
