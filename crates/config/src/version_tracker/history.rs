//! The status of the versions that were offered last.

use std::collections::VecDeque;

use crate::{RejectReason, Timestamp, short_digest};

/// The number of versions whose status is recorded.
const MAX_RECORDS: usize = 32;

/// The status of an offered version.
#[derive(Clone, Debug, PartialEq)]
pub enum VersionStatus {
    /// It was offered and waits until the pending version is processed.
    Offered,
    /// It was valid when it was offered, and is being stored.
    Checked,
    /// It was stored, validated again and applied, and is being committed.
    Staged,
    /// It is in force.
    InForce,
    /// It was in force until a newer version replaced it.
    Replaced,
    /// It was in force until a rollback replaced it.
    RolledBack,
    /// It was rejected.
    Rejected(RejectReason),
}

/// The recorded status of one version.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionRecord {
    /// The number of the version.
    pub number: u64,
    /// The first bytes of its digest, in hexadecimal.
    pub digest: String,
    /// Its status.
    pub status: VersionStatus,
    /// When it got this status.
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

    /// Sets the status of a version. `digest` is used only for a version that has no record yet.
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
