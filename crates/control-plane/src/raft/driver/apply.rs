//! Applies committed entries and snapshots to the replicated state, and adds the resulting writes to a batch.

use gaugestep_config::schema::act::What;
use gaugestep_config::schema::{Charter, Member, RaftChange};
use gaugestep_leadership::RoleHolder;
use gaugestep_leadership::group_state::{Command, GroupState, Outcome, StateChange, StoredVersion};
use gaugestep_storage::control_store::WriteBatch;
use prost::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, Entry, EntryType, Snapshot};

use super::{CommittedProposal, RaftDriver};
use crate::raft::error::ReplicaError;
use crate::raft::storage::LogPosition;
use crate::raft::stored_values;
use crate::{clock, failpoints};

/// The result of an applied entry, and the changes that it made.
type Applied = (Outcome, Vec<StateChange>);

impl RaftDriver<'_> {
    /// Applies committed entries, and records the results of those that this process proposed.
    pub(super) fn apply(&mut self, entries: Vec<Entry>, batch: &mut WriteBatch) -> Result<(), ReplicaError> {
        let Some(last_index) = entries.last().map(|entry| entry.index) else { return Ok(()) };
        let mut changes = Vec::new();
        for entry in entries {
            let Some((outcome, changed)) = self.apply_entry(&entry, batch)? else { continue };
            if let Outcome::Rejected(rejected) = &outcome {
                tracing::debug!(index = entry.index, "command rejected: {rejected}");
            }
            changes.extend(changed);
            if let Some(number) = self.own_proposal_number(&entry.context) {
                self.committed.push(CommittedProposal { number, outcome });
            }
        }
        self.log.set_applied(last_index);
        stored_values::put_applied(batch, last_index);
        let mut state = self.replica.lock_state();
        state.applied_index = last_index;
        put_changes(batch, &state.group, &changes);
        self.changes.extend(changes);
        Ok(())
    }

    /// Applies an entry. Returns `None` for the empty entry with which a leader begins its term.
    fn apply_entry(
        &mut self,
        entry: &Entry,
        batch: &mut WriteBatch,
    ) -> Result<Option<Applied>, ReplicaError> {
        if entry.get_entry_type() == EntryType::EntryConfChange {
            return self.apply_membership_change(entry, batch).map(Some);
        }
        if entry.data.is_empty() {
            return Ok(None);
        }
        Ok(Some(match Command::decode(entry.data.as_ref()) {
            Ok(command) => self.apply_command(&command),
            Err(error) => (Outcome::Rejected(error.into()), Vec::new()),
        }))
    }

    fn apply_command(&self, command: &Command) -> Applied {
        let mut state = self.replica.lock_state();
        let (outcome, changes) = state.group.apply(command);
        // Assignments may be proposed twice. The second one is stale, which is no error.
        let is_assignment = matches!(command.what, Some(What::Assign(_)));
        if let Outcome::StaleTerm { term, current } = outcome {
            if !is_assignment {
                let (role, by) = (&command.duty, command.by);
                *state.stale_commands.entry(role.clone()).or_default() += 1;
                tracing::warn!(role, term, current, by, "stale command rejected");
            }
        }
        for change in &changes {
            if let StateChange::HolderChanged(role) = change {
                let RoleHolder { member: holder, term } = state.group.holder(role);
                state.holder_since.insert(role.clone(), clock::now());
                tracing::info!(role, term, holder, "role holder changed");
            }
        }
        (outcome, changes)
    }

    fn apply_membership_change(
        &mut self,
        entry: &Entry,
        batch: &mut WriteBatch,
    ) -> Result<Applied, ReplicaError> {
        let stored = RaftChange::decode(entry.data.as_ref())
            .map_err(ReplicaError::undecodable("a change of members"))?;
        let kind = decode_change_kind(stored.kind).ok_or(ReplicaError::UnknownMembershipChange)?;
        let mut change = ConfChange { node_id: stored.member, ..ConfChange::default() };
        change.set_change_type(kind);
        let membership = self.raw_node.apply_conf_change(&change)?;
        stored_values::put_membership(batch, &membership);
        batch.sync = true;
        tracing::info!(voters = ?membership.voters, "membership changed");
        let voters = membership.voters.iter().copied().collect();
        self.log.set_membership(membership);
        let mut state = self.replica.lock_state();
        state.voters = voters;
        let changes = match kind {
            ConfChangeType::AddNode => Vec::new(),
            ConfChangeType::AddLearnerNode => {
                let member = Member::decode(stored.context.as_slice()).unwrap_or_default();
                state.group.add_member(member)
            }
            ConfChangeType::RemoveNode => {
                state.peers.forget(stored.member);
                if stored.member == self.replica.own_member.number {
                    self.own_removal = Some(entry.index);
                }
                state.group.remove_member(stored.member)
            }
        };
        drop(state);
        failpoints::suspend_at("membership applied");
        Ok((Outcome::Applied, changes))
    }

    /// Replaces the replicated state by a snapshot of a member that is ahead.
    pub(super) fn install_snapshot(
        &mut self,
        snapshot: &Snapshot,
        batch: &mut WriteBatch,
    ) -> Result<(), ReplicaError> {
        let message = Charter::decode(snapshot.data.as_ref())
            .map_err(ReplicaError::undecodable("what another member sent"))?;
        let group = GroupState::from_schema(message);
        let metadata = snapshot.get_metadata();
        let position = LogPosition { index: metadata.index, term: metadata.term };
        let membership = metadata.get_conf_state().clone();
        let (index, versions) = (position.index, group.versions.len());
        tracing::info!(index, versions, "installed a snapshot of another member");
        self.log.reset_to_snapshot(position, membership.clone());
        let mut state = self.replica.lock_state();
        put_snapshot(batch, &state.group, &group, position);
        stored_values::put_membership(batch, &membership);
        self.changes.extend(snapshot_changes(&state.group, &group));
        self.own_removal = group.removed.contains(&self.replica.own_member.number).then_some(index);
        state.group = group;
        state.applied_index = position.index;
        state.voters = membership.voters.iter().copied().collect();
        Ok(())
    }
}

fn decode_change_kind(kind: i32) -> Option<ConfChangeType> {
    let supported = [ConfChangeType::AddNode, ConfChangeType::RemoveNode, ConfChangeType::AddLearnerNode];
    supported.into_iter().find(|supported_kind| *supported_kind as i32 == kind)
}

/// Adds the writes for these changes to the batch.
fn put_changes(batch: &mut WriteBatch, group: &GroupState, changes: &[StateChange]) {
    if !changes.is_empty() {
        stored_values::put_group_state(batch, group);
    }
    for change in changes {
        match change {
            StateChange::VersionPublished(number) => {
                if let Some(stored) = group.versions.get(number) {
                    put_document(batch, *number, stored);
                    put_entry(batch, *number, stored);
                }
            }
            StateChange::VersionUpdated(number) => {
                if let Some(stored) = group.versions.get(number) {
                    put_entry(batch, *number, stored);
                }
            }
            StateChange::VersionDropped(number) => batch.removed_versions.push(*number),
            StateChange::HolderChanged(_) | StateChange::RoleChanged(_) | StateChange::MembersChanged => {}
        }
    }
}

fn put_document(batch: &mut WriteBatch, number: u64, stored: &StoredVersion) {
    batch.documents.push((number, stored.document.encode_to_vec()));
}

fn put_entry(batch: &mut WriteBatch, number: u64, stored: &StoredVersion) {
    batch.entries.push((number, stored.entry.encode_to_vec()));
}

/// Adds the writes that replace one replicated state by another to the batch. The log up to `position` is
/// discarded.
fn put_snapshot(batch: &mut WriteBatch, old: &GroupState, new: &GroupState, position: LogPosition) {
    batch.removed_versions = old.versions.keys().copied().collect();
    for (number, stored) in &new.versions {
        put_document(batch, *number, stored);
        put_entry(batch, *number, stored);
    }
    stored_values::put_group_state(batch, new);
    stored_values::put_compacted(batch, position);
    stored_values::put_applied(batch, position.index);
    batch.compact_log_below = Some(position.index + 1);
    batch.sync = true;
}

/// The changes to report when one replicated state replaces another.
fn snapshot_changes(old: &GroupState, new: &GroupState) -> Vec<StateChange> {
    let dropped = old.versions.keys().filter(|number| !new.versions.contains_key(number));
    let mut changes: Vec<StateChange> = dropped.map(|number| StateChange::VersionDropped(*number)).collect();
    changes.extend(new.versions.keys().map(|number| StateChange::VersionPublished(*number)));
    changes.extend(new.roles.keys().map(|role| StateChange::HolderChanged(role.clone())));
    changes.push(StateChange::MembersChanged);
    changes
}
