//! Opens the store of a replica: checks that the store may be used, and loads its contents.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;

use gaugestep_config::Document;
use gaugestep_config::schema::{Charter, Entry, Member, RaftEntry, RaftHard, RaftMembers};
use gaugestep_leadership::group_state::{GroupState, StoredVersion};
use gaugestep_leadership::rollback_guard::{self, FoundStore, RestoredStorePolicy, StoreRejected};
use gaugestep_storage::control_store::{ControlStore, WriteBatch};
use gaugestep_storage::generation_file::{self, Generation};
use prost::Message;
use raft::eraftpb;

use crate::raft::error::ReplicaError;
use crate::raft::settings::ReplicaSettings;
use crate::raft::storage::{LogContents, LogPosition};
use crate::raft::{codec, stored_values};

/// The log of a new group begins after this position, which represents the state that an older build without
/// groups left in the store.
const FIRST_POSITION: LogPosition = LogPosition { index: 1, term: 1 };

/// An open store with its contents.
pub(crate) struct RecoveredState {
    pub(crate) store: ControlStore,
    /// The number of process starts with this store, including this one.
    pub(crate) boot: u64,
    pub(crate) group: GroupState,
    pub(crate) log: LogContents,
}

impl RecoveredState {
    /// Opens the store for the first time in this process and counts the process start.
    pub(crate) fn open(settings: &ReplicaSettings) -> Result<Self, ReplicaError> {
        let store = ControlStore::open(&settings.store)?;
        let boot = record_process_start(&store, settings)?;
        Self::load(store, boot, settings)
    }

    /// Reopens the store after a failure. `boot` is the number of this process start.
    pub(crate) fn reopen(settings: &ReplicaSettings, boot: u64) -> Result<Self, ReplicaError> {
        Self::load(ControlStore::open(&settings.store)?, boot, settings)
    }

    fn load(store: ControlStore, boot: u64, settings: &ReplicaSettings) -> Result<Self, ReplicaError> {
        let versions = load_versions(&store)?;
        let Some(group) = load_group_state(&store)? else {
            return Self::initialize(store, boot, versions, settings);
        };
        let log = load_log(&store)?;
        Ok(RecoveredState { store, boot, group: GroupState { versions, ..group }, log })
    }

    /// Writes the initial state into a store that has none: empty for a member that joins a group, otherwise
    /// that of a group of one.
    fn initialize(
        store: ControlStore,
        boot: u64,
        versions: BTreeMap<u64, StoredVersion>,
        settings: &ReplicaSettings,
    ) -> Result<Self, ReplicaError> {
        let (group, log) = match settings.joins {
            true => (GroupState::default(), LogContents::default()),
            false => {
                let lineage = store.lineage(settings.seed.max(1))?;
                let member = process_member(settings, boot);
                (GroupState::single_member(lineage, member, versions), single_member_log(settings))
            }
        };
        let recovered = RecoveredState { store, boot, group, log };
        recovered.store.write(&recovered.initial_batch())?;
        Ok(recovered)
    }

    fn initial_batch(&self) -> WriteBatch {
        let mut batch = WriteBatch { sync: true, ..WriteBatch::default() };
        stored_values::put_group_state(&mut batch, &self.group);
        stored_values::put_hard_state(&mut batch, &self.log.hard_state);
        stored_values::put_membership(&mut batch, &self.log.membership);
        stored_values::put_compacted(&mut batch, self.log.compacted);
        stored_values::put_applied(&mut batch, self.log.applied_index);
        batch
    }
}

/// The description of this process as a member of its group.
pub(crate) fn process_member(settings: &ReplicaSettings, boot: u64) -> Member {
    Member { boot, nonce: settings.seed | 1, ..settings.member.clone() }
}

/// The initial log of a group of one, in which this member has voted for itself and committed the first
/// entry.
fn single_member_log(settings: &ReplicaSettings) -> LogContents {
    let mut log = LogContents {
        compacted: FIRST_POSITION,
        applied_index: FIRST_POSITION.index,
        ..LogContents::default()
    };
    log.membership.voters = vec![settings.member.number];
    log.hard_state.term = FIRST_POSITION.term;
    log.hard_state.vote = settings.member.number;
    log.hard_state.commit = FIRST_POSITION.index;
    log
}

/// Checks that the store was neither rolled back nor copied, and counts this process start in it.
fn record_process_start(store: &ControlStore, settings: &ReplicaSettings) -> Result<u64, ReplicaError> {
    let path = &settings.store;
    let has_peers = load_group_state(store)?.is_some_and(|group| group.members.len() > 1);
    let file_id = generation_file::file_id(path)?;
    let generation = generation_file::read(path)?;
    let found = FoundStore {
        boots: load_number(store, stored_values::BOOTS)?,
        file: file_id,
        generation: generation.map(|generation| rollback_guard::Generation {
            boots: generation.starts,
            file: generation.file_id,
        }),
    };
    let policy = match settings.restored && !has_peers {
        true => RestoredStorePolicy::Accept,
        false => RestoredStorePolicy::Reject,
    };
    let boot = rollback_guard::next_boot(found, policy)
        .map_err(|rejected| store_rejected(path, rejected, has_peers))?;
    // The store is written before the generation file: a process that is killed between the two writes leaves
    // the store one start ahead of the file, never behind it.
    let mut batch = WriteBatch { sync: true, ..WriteBatch::default() };
    stored_values::put_boots(&mut batch, boot);
    store.write(&batch)?;
    generation_file::write(path, Generation { starts: boot, file_id })?;
    Ok(boot)
}

/// Marks a store that other members have rejected, so that no later start uses it: its generation file counts
/// one start more than the store, as if the store had been restored alone. Without the mark, the count of a
/// process that is started again and again would exceed the one that the other members have recorded.
///
/// # Errors
///
/// If the generation file cannot be written.
pub(crate) fn mark_rejected(settings: &ReplicaSettings, boot: u64) -> Result<(), ReplicaError> {
    let path = &settings.store;
    let file_id = generation_file::file_id(path)?;
    generation_file::write(path, Generation { starts: boot.saturating_add(1), file_id })?;
    Ok(())
}

fn store_rejected(path: &Path, source: StoreRejected, has_peers: bool) -> ReplicaError {
    let remedy = match has_peers {
        true => "remove this member with `members remove`, and add a new one with an empty store",
        false => "if the control server that used it before never runs again, start with `serve --restored`",
    };
    ReplicaError::StoreRejected { path: path.to_owned(), source, remedy }
}

fn load_number(store: &ControlStore, name: &str) -> Result<u64, ReplicaError> {
    Ok(store.value(name)?.map_or(0, stored_values::decode_number))
}

/// Loads a message from the store; the default if there is none.
fn load_message<M: Message + Default>(
    store: &ControlStore,
    name: &str,
    what: &'static str,
) -> Result<M, ReplicaError> {
    let bytes = store.value(name)?.unwrap_or_default();
    decode(&bytes, what)
}

fn decode<M: Message + Default>(bytes: &[u8], what: &'static str) -> Result<M, ReplicaError> {
    M::decode(bytes).map_err(ReplicaError::undecodable(what))
}

/// Loads the replicated state without the versions; `None` if the store is new or was written by a build
/// without groups.
fn load_group_state(store: &ControlStore) -> Result<Option<GroupState>, ReplicaError> {
    let Some(bytes) = store.value(stored_values::GROUP_STATE)? else { return Ok(None) };
    let stored: Charter = decode(&bytes, "what is agreed")?;
    Ok(Some(GroupState::from_schema(stored)))
}

fn load_versions(store: &ControlStore) -> Result<BTreeMap<u64, StoredVersion>, ReplicaError> {
    let mut versions = BTreeMap::new();
    for row in store.versions()? {
        let entry: Entry = decode(&row.entry, "a version")?;
        let document: Document = decode(&row.document, "a document")?;
        versions.insert(row.number, StoredVersion { entry, document: Arc::new(document) });
    }
    Ok(versions)
}

fn load_log(store: &ControlStore) -> Result<LogContents, ReplicaError> {
    let hard_state: RaftHard = load_message(store, stored_values::HARD_STATE, "the vote")?;
    let membership: RaftMembers = load_message(store, stored_values::MEMBERSHIP, "the members")?;
    let compacted = store.value(stored_values::COMPACTED)?;
    let compacted = compacted.and_then(|bytes| stored_values::decode_position(&bytes));
    let compacted = compacted.ok_or(ReplicaError::MissingLogStart)?;
    Ok(LogContents {
        hard_state: codec::decode_hard_state(&hard_state),
        membership: codec::decode_membership(membership),
        compacted,
        entries: load_entries(store, compacted)?,
        applied_index: load_number(store, stored_values::APPLIED)?,
    })
}

/// Loads the log entries after a position and checks that their indexes are consecutive.
fn load_entries(store: &ControlStore, compacted: LogPosition) -> Result<Vec<eraftpb::Entry>, ReplicaError> {
    let mut entries = Vec::new();
    let stored = store.log()?.into_iter().filter(|(index, _)| *index > compacted.index);
    for (expected, (index, bytes)) in (compacted.index + 1..).zip(stored) {
        let entry: RaftEntry = decode(&bytes, "the log")?;
        let entry = codec::decode_entry(entry).filter(|_| index == expected);
        entries.push(entry.ok_or(ReplicaError::LogGap)?);
    }
    Ok(entries)
}
