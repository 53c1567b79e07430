//! Members: who joins and leaves, and where each is reached.

use gaugestep_config::schema::Member;

use super::{CommandRejected, GroupState, MAX_MEMBERS, StateChange};
use crate::NO_MEMBER;

impl GroupState {
    /// Adds a member, once the change of membership is committed.
    pub fn add_member(&mut self, member: Member) -> Vec<StateChange> {
        self.members.insert(member.number, member);
        vec![StateChange::MembersChanged]
    }

    /// Removes a member for good, once the change of membership is committed. Nobody holds its roles then.
    pub fn remove_member(&mut self, member: u64) -> Vec<StateChange> {
        let mut changes = Vec::new();
        if self.members.remove(&member).is_some() {
            self.removed.insert(member);
            changes.push(StateChange::MembersChanged);
        }
        let held: Vec<(String, u64)> =
            self.roles_of(member).map(|role| (role.name.clone(), role.term)).collect();
        for (role, term) in held {
            // A role whose terms are exhausted keeps its holder, for which nobody acts any more.
            let _ = self.assign_role(&role, NO_MEMBER, term, &mut changes);
        }
        changes
    }

    /// Checks whether a member may join.
    ///
    /// # Errors
    ///
    /// Why it may not.
    pub fn check_join(&self, member: &Member) -> Result<(), CommandRejected> {
        if member.number == NO_MEMBER || self.members.contains_key(&member.number) {
            return Err(CommandRejected::MemberExists(member.number));
        }
        if self.removed.contains(&member.number) {
            return Err(CommandRejected::MemberNumberUsed(member.number));
        }
        if self.members.len() >= MAX_MEMBERS {
            return Err(CommandRejected::TooManyMembers);
        }
        Ok(())
    }

    /// Records where a member is reached. A later start replaces an earlier one; nothing replaces a later one.
    pub(super) fn update_member(
        &mut self,
        member: &Member,
        changes: &mut Vec<StateChange>,
    ) -> Result<(), CommandRejected> {
        let Some(known) = self.members.get_mut(&member.number) else {
            return Err(CommandRejected::UnknownMember(member.number));
        };
        if (known.boot, known.nonce) == (member.boot, member.nonce) {
            return Ok(());
        }
        if known.boot >= member.boot {
            return Err(CommandRejected::StaleMember(member.number));
        }
        *known = member.clone();
        changes.push(StateChange::MembersChanged);
        Ok(())
    }
}
