//! The Raft log as the library reads it: an in-memory copy of the log in the store.
//!
//! The library requires shared access, so the log is behind a lock. Only the thread of the replica uses it.

use std::sync::{Arc, Mutex};

use gaugestep_coroutine_io::lock;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, StorageError};

/// The position of a log entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LogPosition {
    pub(crate) index: u64,
    pub(crate) term: u64,
}

/// The contents of a log with Raft's persistent state.
#[derive(Clone, Debug, Default)]
pub(crate) struct LogContents {
    /// Term, vote and commit index.
    pub(crate) hard_state: HardState,
    /// The members as of the last applied entry.
    pub(crate) membership: ConfState,
    /// The position of the last entry that was compacted.
    pub(crate) compacted: LogPosition,
    /// The entries after `compacted`, without a gap.
    pub(crate) entries: Vec<Entry>,
    /// The index of the last entry that was applied.
    pub(crate) applied_index: u64,
}

/// Encodes the replicated state as of the last applied entry.
type EncodeSnapshot = Box<dyn Fn() -> Vec<u8> + Send>;

/// The log behind its lock; clones share it.
#[derive(Clone)]
pub(crate) struct RaftStorage(Arc<Mutex<Inner>>);

struct Inner {
    log: LogContents,
    encode_snapshot: EncodeSnapshot,
}

impl LogContents {
    /// The index of the last entry.
    pub(crate) fn last_index(&self) -> u64 {
        self.compacted.index + self.entries.len() as u64
    }

    fn term(&self, index: u64) -> Result<u64> {
        if index == self.compacted.index {
            return Ok(self.compacted.term);
        }
        if index < self.compacted.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get(self.offset(index));
        entry.map(|entry| entry.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    /// The offset in `entries` of an entry after `compacted`.
    fn offset(&self, index: u64) -> usize {
        index.saturating_sub(self.compacted.index + 1) as usize
    }
}

impl RaftStorage {
    /// Creates a log from its contents and the function that encodes snapshots.
    pub(crate) fn new(log: LogContents, encode_snapshot: EncodeSnapshot) -> Self {
        RaftStorage(Arc::new(Mutex::new(Inner { log, encode_snapshot })))
    }

    /// Appends entries. Existing entries from the index of the first new one on are replaced.
    pub(crate) fn append(&self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let log = &mut lock(&self.0).log;
        let retained = log.offset(first.index);
        log.entries.truncate(retained);
        log.entries.extend_from_slice(entries);
    }

    /// Sets term, vote and commit index.
    pub(crate) fn set_hard_state(&self, hard_state: HardState) {
        lock(&self.0).log.hard_state = hard_state;
    }

    /// Sets the commit index and returns the resulting hard state.
    pub(crate) fn set_commit(&self, commit: u64) -> HardState {
        let log = &mut lock(&self.0).log;
        log.hard_state.commit = commit;
        log.hard_state.clone()
    }

    pub(crate) fn set_membership(&self, membership: ConfState) {
        lock(&self.0).log.membership = membership;
    }

    /// Sets the index of the last entry that was applied.
    pub(crate) fn set_applied(&self, index: u64) {
        lock(&self.0).log.applied_index = index;
    }

    /// Discards all entries after a snapshot up to this position was installed.
    pub(crate) fn reset_to_snapshot(&self, position: LogPosition, membership: ConfState) {
        let log = &mut lock(&self.0).log;
        log.entries.clear();
        log.compacted = position;
        log.membership = membership;
        log.applied_index = position.index;
        log.hard_state.commit = log.hard_state.commit.max(position.index);
    }

    /// Discards all entries except the last `retained` applied ones and those after them, if that discards at
    /// least `min_discarded` entries. Returns the position of the last discarded entry.
    pub(crate) fn compact(&self, retained: u64, min_discarded: u64) -> Option<LogPosition> {
        let log = &mut lock(&self.0).log;
        let index = log.applied_index.saturating_sub(retained);
        let discarded = index.saturating_sub(log.compacted.index);
        if discarded < min_discarded {
            return None;
        }
        let term = log.term(index).ok()?;
        log.entries.drain(..discarded as usize);
        log.compacted = LogPosition { index, term };
        Some(log.compacted)
    }
}

impl raft::Storage for RaftStorage {
    fn initial_state(&self) -> Result<RaftState> {
        let log = &lock(&self.0).log;
        Ok(RaftState::new(log.hard_state.clone(), log.membership.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        let log = &lock(&self.0).log;
        if low <= log.compacted.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        let Some(range) = log.entries.get(log.offset(low)..log.offset(high)) else {
            return Err(Error::Store(StorageError::Unavailable));
        };
        let mut entries = range.to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        lock(&self.0).log.term(index)
    }

    fn first_index(&self) -> Result<u64> {
        Ok(lock(&self.0).log.compacted.index + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(lock(&self.0).log.last_index())
    }

    fn snapshot(&self, _request: u64, _to: u64) -> Result<Snapshot> {
        let inner = lock(&self.0);
        let mut snapshot = Snapshot { data: (inner.encode_snapshot)().into(), ..Snapshot::default() };
        let log = &inner.log;
        let metadata = snapshot.mut_metadata();
        metadata.index = log.applied_index;
        metadata.term = log.term(log.applied_index)?;
        metadata.set_conf_state(log.membership.clone());
        Ok(snapshot)
    }
}
