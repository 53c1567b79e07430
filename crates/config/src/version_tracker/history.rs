//! The status of the versions that were offered last.

use std::collections::VecDeque;

use crate::{RejectReason, Timestamp, short_digest};

/// The number of versions whose status is recorded.
const MAX_RECORDS: usize = 32;

/// The status of an offered version.
#[derive(Clone, Debug, PartialEq)]
pub enum VersionStatus {
    /// The version was offered and waits until the pending version is processed.
    Offered,
    /// The version was valid when it was offered, and is being stored.
    Checked,
    /// The version was stored, validated again and applied, and is being committed.
    Staged,
    /// The version is in force.
    InForce,
    /// The version was in force until a newer version replaced it.
    Replaced,
    /// The version was in force until a rollback replaced it.
    RolledBack,
    /// The version was rejected, for this reason.
    Rejected(RejectReason),
}

/// The recorded status of one version.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionRecord {
    /// The number of the version.
    pub number: u64,
    /// The first bytes of the digest, in hexadecimal.
    pub digest: String,
    /// The status of the version.
    pub status: VersionStatus,
    /// The time at which the version got this status.
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
