//! What became of the versions that were offered of late.

use std::collections::VecDeque;

use crate::{RejectReason, Timestamp, short_digest};

/// Versions that are remembered.
const MAX_RECORDS: usize = 32;

/// What became of a version.
#[derive(Clone, Debug, PartialEq)]
pub enum VersionStatus {
    /// It was offered, and waits for the one before it.
    Offered,
    /// It was checked and is being stored.
    Checked,
    /// It is stored, was checked again and applied, and is being committed.
    Staged,
    /// It is in force.
    InForce,
    /// It was in force until a newer one was.
    Replaced,
    /// It was in force until it was rolled back.
    RolledBack,
    /// It was rejected.
    Rejected(RejectReason),
}

/// What became of one version.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionRecord {
    /// The version's number.
    pub number: u64,
    /// The start of its digest.
    pub digest: String,
    /// What became of it.
    pub status: VersionStatus,
    /// Since when it has that status.
    pub since: Timestamp,
}

/// The records of the latest versions, oldest first.
#[derive(Debug, Default)]
pub(super) struct History {
    records: VecDeque<VersionRecord>,
}

impl History {
    pub(super) fn iter(&self) -> impl Iterator<Item = &VersionRecord> {
        self.records.iter()
    }

    /// Sets the status of a version. `digest` counts only if the version is not known yet.
    pub(super) fn set(&mut self, now: Timestamp, number: u64, digest: &[u8], status: VersionStatus) {
        match self.records.iter_mut().find(|record| record.number == number) {
            Some(record) => (record.status, record.since) = (status, now),
            None => {
                let digest = short_digest(digest);
                self.records.push_back(VersionRecord { number, digest, status, since: now });
            }
        }
        while self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }
}
