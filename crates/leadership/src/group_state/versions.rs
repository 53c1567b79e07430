//! Configuration versions: publication, rollout state and retention.

use std::sync::Arc;

use gaugestep_config::schema::entry::State;
use gaugestep_config::schema::{Entry, NewState, NewVersion};
use gaugestep_config::{Document, Version, check, digest, version};

use super::{CommandRejected, GroupState, MAX_NAME_BYTES, StateChange, StoredVersion};

impl GroupState {
    /// The number of the newest version; 0 if there are no versions.
    pub fn newest_version(&self) -> u64 {
        self.versions.keys().next_back().copied().unwrap_or(0)
    }

    /// Publishes a version. A publication under a key that was used before, with the same document, returns
    /// the version that was published first and changes nothing.
    pub(super) fn publish(
        &mut self,
        new: &NewVersion,
        changes: &mut Vec<StateChange>,
    ) -> Result<Version, CommandRejected> {
        let document = new.document.clone().unwrap_or_default();
        if new.key.len() > MAX_NAME_BYTES {
            return Err(CommandRejected::KeyTooLong);
        }
        if let Some(published) = self.published_under(&new.key) {
            return match published.digest == digest(&document) {
                true => Ok(published),
                false => Err(CommandRejected::KeyReused { number: published.number }),
            };
        }
        if let Some(reason) = check::check(&document).into_iter().next() {
            return Err(reason.into());
        }
        let number = self.next_number(new)?;
        self.supersede_rollouts(changes);
        let version = self.insert_version(number, new, document);
        changes.push(StateChange::VersionPublished(number));
        self.drop_old_versions(new, changes);
        Ok(version)
    }

    /// Sets the rollout state of a version. Has no effect if the rollout has ended.
    pub(super) fn set_version_state(
        &mut self,
        new: &NewState,
        changes: &mut Vec<StateChange>,
    ) -> Result<(), CommandRejected> {
        let Some(stored) = self.versions.get_mut(&new.number) else {
            return Err(CommandRejected::UnknownVersion(new.number));
        };
        if stored.entry.state() == State::Rolling {
            stored.entry.state = new.state;
            stored.entry.halted_for = new.halted_for.clone();
            changes.push(StateChange::VersionUpdated(new.number));
        }
        Ok(())
    }

    fn published_under(&self, key: &str) -> Option<Version> {
        let same_key = |stored: &&StoredVersion| !key.is_empty() && stored.entry.key == key;
        let stored = self.versions.values().find(same_key)?;
        Some(stored.entry.version.clone().unwrap_or_default())
    }

    fn next_number(&self, new: &NewVersion) -> Result<u64, CommandRejected> {
        let (newest, expected) = (self.newest_version(), new.expected_newest);
        if expected > 0 && newest != expected {
            return Err(CommandRejected::UnexpectedNewest { newest, expected });
        }
        let next = newest.checked_add(1).ok_or(CommandRejected::VersionNumbersExhausted)?;
        Ok(next.max(new.at_least))
    }

    /// Marks every rollout that is under way as superseded by a new version.
    fn supersede_rollouts(&mut self, changes: &mut Vec<StateChange>) {
        for (number, stored) in &mut self.versions {
            if stored.entry.state() == State::Rolling {
                stored.entry.state = State::Overtaken as i32;
                changes.push(StateChange::VersionUpdated(*number));
            }
        }
    }

    fn insert_version(&mut self, number: u64, new: &NewVersion, document: Document) -> Version {
        let version = version(number, &document);
        let entry = Entry {
            version: Some(version.clone()),
            published_ms: new.published_ms,
            author: new.author.clone(),
            note: new.note.clone(),
            rolls_back_to: new.rolls_back_to,
            plan: new.plan,
            state: State::Rolling as i32,
            halted_for: String::new(),
            key: new.key.clone(),
        };
        self.versions.insert(number, StoredVersion { entry, document: Arc::new(document) });
        version
    }

    /// Drops the oldest versions so that at most `new.keep` remain, except for those listed in `new.needed`.
    fn drop_old_versions(&mut self, new: &NewVersion, changes: &mut Vec<StateChange>) {
        let surplus = self.versions.len().saturating_sub(new.keep.max(1) as usize);
        let oldest: Vec<u64> = self.versions.keys().copied().take(surplus).collect();
        for number in oldest.into_iter().filter(|number| !new.needed.contains(number)) {
            self.versions.remove(&number);
            changes.push(StateChange::VersionDropped(number));
        }
    }
}
