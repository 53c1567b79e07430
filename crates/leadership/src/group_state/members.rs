//! Members of the group: joining, removal and addresses.

use gaugestep_config::schema::Member;

use super::{CommandRejected, GroupState, MAX_MEMBERS, StateChange};
use crate::NO_MEMBER;

impl GroupState {
    /// Adds a member. Called when the change of membership is committed.
    pub fn add_member(&mut self, member: Member) -> Vec<StateChange> {
        self.members.insert(member.number, member);
        vec![StateChange::MembersChanged]
    }

    /// Removes a member permanently, and leaves its roles without a holder. Called when the change of
    /// membership is committed.
    pub fn remove_member(&mut self, member: u64) -> Vec<StateChange> {
        let mut changes = Vec::new();
        if self.members.remove(&member).is_some() {
            self.removed.insert(member);
            changes.push(StateChange::MembersChanged);
        }
        let roles_of_member: Vec<(String, u64)> =
            self.roles_of(member).map(|role| (role.name.clone(), role.term)).collect();
        for (role, term) in roles_of_member {
            // A role whose terms are exhausted keeps the removed member as its holder; no member acts for it
            // then.
            let _ = self.assign_role(&role, NO_MEMBER, term, &mut changes);
        }
        changes
    }

    /// Checks whether a member may join the group.
    ///
    /// # Errors
    ///
    /// [`CommandRejected`] if the number is in use or was used before, or if the group has [`MAX_MEMBERS`].
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

    /// Stores the addresses of a member as of one start of its process. A later start replaces an earlier
    /// one, and an earlier start is rejected.
    pub(super) fn update_member(
        &mut self,
        member: &Member,
        changes: &mut Vec<StateChange>,
    ) -> Result<(), CommandRejected> {
        let Some(stored) = self.members.get_mut(&member.number) else {
            return Err(CommandRejected::UnknownMember(member.number));
        };
        if (stored.boot, stored.nonce) == (member.boot, member.nonce) {
            return Ok(());
        }
        if stored.boot >= member.boot {
            return Err(CommandRejected::StaleMember(member.number));
        }
        *stored = member.clone();
        changes.push(StateChange::MembersChanged);
        Ok(())
    }
}
