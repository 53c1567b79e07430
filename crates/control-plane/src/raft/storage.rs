//! The log of a group as the raft library reads it: in memory what the store holds on disk.

use std::sync::{Arc, Mutex};

use gaugestep_coroutine_io::lock;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, StorageError};

/// The log.
#[derive(Clone)]
pub struct RaftStorage(Arc<Mutex<Inner>>);

struct Inner {
    hard: HardState,
    members: ConfState,
    /// Index and term of the last entry that is not held any more.
    base: (u64, u64),
    entries: Vec<Entry>,
    /// The last entry that is applied, and all that is agreed by then, as it is sent.
    applied: u64,
    charter: Box<dyn Fn() -> Vec<u8> + Send>,
}

impl Inner {
    fn last(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    fn term(&self, index: u64) -> Result<u64> {
        if index == self.base.0 {
            return Ok(self.base.1);
        }
        if index < self.base.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get((index - self.base.0 - 1) as usize);
        entry.map(|entry| entry.term).ok_or(Error::Store(StorageError::Unavailable))
    }
}

impl RaftStorage {
    /// A log as it was found; `charter` gives all that is agreed up to the entry that was applied last.
    pub fn new(
        hard: HardState,
        members: ConfState,
        base: (u64, u64),
        entries: Vec<Entry>,
        applied: u64,
        charter: Box<dyn Fn() -> Vec<u8> + Send>,
    ) -> Self {
        RaftStorage(Arc::new(Mutex::new(Inner { hard, members, base, entries, applied, charter })))
    }

    /// Adds entries, instead of those that stood there.
    pub fn append(&self, entries: &[Entry]) {
        let mut inner = lock(&self.0);
        if let Some(first) = entries.first() {
            let keep = first.index.saturating_sub(inner.base.0 + 1) as usize;
            inner.entries.truncate(keep);
            inner.entries.extend_from_slice(entries);
        }
    }

    /// Sets what was voted for and committed.
    pub fn set_hard(&self, hard: HardState) {
        lock(&self.0).hard = hard;
    }

    /// Sets how far entries are committed.
    pub fn set_commit(&self, commit: u64) -> HardState {
        let mut inner = lock(&self.0);
        inner.hard.commit = commit;
        inner.hard.clone()
    }

    /// Sets the members.
    pub fn set_members(&self, members: ConfState) {
        lock(&self.0).members = members;
    }

    /// Entries up to this one are applied.
    pub fn set_applied(&self, applied: u64) {
        lock(&self.0).applied = applied;
    }

    /// The log begins anew behind a snapshot.
    pub fn restart(&self, base: (u64, u64), members: ConfState) {
        let mut inner = lock(&self.0);
        inner.entries.clear();
        (inner.base, inner.members, inner.applied) = (base, members, base.0);
        inner.hard.commit = inner.hard.commit.max(base.0);
    }

    /// Lets go of what lies `keep` and more entries behind the applied one, if that is much; the new base.
    pub fn compact(&self, keep: u64, much: u64) -> Option<(u64, u64)> {
        let mut inner = lock(&self.0);
        let index = inner.applied.saturating_sub(keep);
        if index.saturating_sub(inner.base.0) < much {
            return None;
        }
        let term = inner.term(index).ok()?;
        let gone = (index - inner.base.0) as usize;
        inner.entries.drain(..gone);
        inner.base = (index, term);
        Some(inner.base)
    }
}

impl raft::Storage for RaftStorage {
    fn initial_state(&self) -> Result<RaftState> {
        let inner = lock(&self.0);
        Ok(RaftState::new(inner.hard.clone(), inner.members.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        let inner = lock(&self.0);
        if low <= inner.base.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        let at = |index: u64| (index - inner.base.0 - 1) as usize;
        let Some(found) = inner.entries.get(at(low)..at(high)) else {
            return Err(Error::Store(StorageError::Unavailable));
        };
        let mut found = found.to_vec();
        raft::util::limit_size(&mut found, most.into());
        Ok(found)
    }

    fn term(&self, index: u64) -> Result<u64> {
        lock(&self.0).term(index)
    }

    fn first_index(&self) -> Result<u64> {
        Ok(lock(&self.0).base.0 + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(lock(&self.0).last())
    }

    fn snapshot(&self, _request: u64, _to: u64) -> Result<Snapshot> {
        let inner = lock(&self.0);
        let mut snapshot = Snapshot { data: (inner.charter)().into(), ..Snapshot::default() };
        let term = inner.term(inner.applied)?;
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (inner.applied, term);
        meta.set_conf_state(inner.members.clone());
        Ok(snapshot)
    }
}
