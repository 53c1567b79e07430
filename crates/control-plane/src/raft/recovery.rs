//! What a member finds in its store at a start, and whether it may use it.

use std::collections::BTreeMap;
use std::sync::Arc;

use gaugestep_config::Document;
use gaugestep_config::schema::{self, Entry, Member};
use gaugestep_leadership::group_state::{GroupState, StoredVersion};
use gaugestep_leadership::rollback_guard::{self, FoundStore, RestorePolicy, next_boot};
use gaugestep_storage::StorageError;
use gaugestep_storage::control_store::{ControlStore, WriteBatch};
use gaugestep_storage::generation_file::{self, Generation};
use prost::Message as _;
use raft::eraftpb::{ConfState, HardState};

use crate::raft::codec;
use crate::raft::replica::ReplicaSettings;

/// A store as it was found.
pub(crate) struct RecoveredState {
    pub(crate) store: ControlStore,
    pub(crate) boot: u64,
    pub(crate) charter: GroupState,
    pub(crate) hard: HardState,
    pub(crate) members: ConfState,
    pub(crate) base: (u64, u64),
    pub(crate) applied: u64,
    pub(crate) entries: Vec<raft::eraftpb::Entry>,
}

pub(crate) fn corrupt(what: &str, error: impl std::fmt::Display) -> String {
    format!("{what} cannot be read: {error}")
}

fn decode_pair(bytes: &[u8]) -> Option<(u64, u64)> {
    let (first, second) = bytes.split_first_chunk::<8>()?;
    Some((u64::from_be_bytes(*first), u64::from_be_bytes(second.try_into().ok()?)))
}

pub(crate) fn encode_pair((first, second): (u64, u64)) -> Vec<u8> {
    [first.to_be_bytes(), second.to_be_bytes()].concat()
}

impl RecoveredState {
    /// Opens the store; `again`: the number of this boot, if the store was opened before.
    pub(crate) fn open(settings: &ReplicaSettings, again: Option<u64>) -> Result<Self, String> {
        let path = &settings.store;
        let failed = |error: StorageError| error.to_string();
        let store = ControlStore::open(path).map_err(failed)?;
        let kept = |name: &str| store.value(name).map_err(failed);
        let single = |bytes: Vec<u8>| bytes.try_into().map(u64::from_be_bytes).unwrap_or(0);
        let charter = kept("charter")?;
        let charter = charter.map(|bytes| schema::Charter::decode(bytes.as_slice())).transpose();
        let charter = charter.map_err(|error| corrupt("what is agreed", error))?;
        let boot = match again {
            Some(boot) => boot,
            None => {
                let boots = kept("boots")?.map_or(0, single);
                let file = generation_file::file_id(path).map_err(failed)?;
                let found = FoundStore {
                    boots,
                    file,
                    generation: generation_file::read(path)
                        .map_err(failed)?
                        .map(|it| rollback_guard::Generation { boots: it.starts, file: it.file_id }),
                };
                let several = charter.as_ref().is_some_and(|charter| charter.members.len() > 1);
                let policy =
                    if settings.restored && !several { RestorePolicy::Accept } else { RestorePolicy::Refuse };
                let boot = next_boot(found, policy).map_err(|refused| {
                    let way = match several {
                        true => {
                            "remove this member with `members remove`, and add a new one with an empty store"
                        }
                        false => "if whoever used it is gone for good, start with `serve --restored`",
                    };
                    format!("{}: {refused}; {way}", path.display())
                })?;
                // Store before seal: a kill in between leaves the store one ahead, never behind.
                let values = vec![("boots", boot.to_be_bytes().to_vec())];
                store.write(&WriteBatch { values, sync: true, ..WriteBatch::default() }).map_err(failed)?;
                let generation = Generation { starts: boot, file_id: file };
                generation_file::write(path, generation).map_err(failed)?;
                boot
            }
        };
        let mut versions = BTreeMap::new();
        for stored in store.versions().map_err(failed)? {
            let entry =
                Entry::decode(stored.entry.as_slice()).map_err(|error| corrupt("a version", error))?;
            let document = Document::decode(stored.document.as_slice());
            let document = Arc::new(document.map_err(|error| corrupt("a document", error))?);
            versions.insert(stored.number, StoredVersion { entry, document });
        }
        if let Some(told) = charter {
            let hard = kept("hard")?.unwrap_or_default();
            let hard =
                schema::RaftHard::decode(hard.as_slice()).map_err(|error| corrupt("the vote", error))?;
            let members = kept("members")?.unwrap_or_default();
            let members = schema::RaftMembers::decode(members.as_slice());
            let members = members.map_err(|error| corrupt("the members", error))?;
            let base =
                kept("base")?.and_then(|bytes| decode_pair(&bytes)).ok_or("the log has no beginning")?;
            let mut entries = Vec::new();
            for (index, bytes) in
                store.log().map_err(failed)?.into_iter().filter(|(index, _)| *index > base.0)
            {
                let told =
                    schema::RaftEntry::decode(bytes.as_slice()).map_err(|error| corrupt("the log", error))?;
                let entry = codec::of_entry(told).filter(|_| index == base.0 + 1 + entries.len() as u64);
                entries.push(entry.ok_or("the log has a gap")?);
            }
            let applied = kept("applied")?.map_or(0, single);
            let charter = GroupState { versions, ..GroupState::from_schema(told) };
            let (hard, members) = (codec::of_hard(hard), codec::of_members(members));
            return Ok(RecoveredState { store, boot, charter, hard, members, base, applied, entries });
        }
        let (mut hard, mut members) = (HardState::default(), ConfState::default());
        let (charter, base) = match settings.joins {
            true => (GroupState::default(), (0, 0)),
            false => {
                // Alone, with what an older build left: as if it had been agreed on by a first entry.
                members.voters = vec![settings.member.number];
                (hard.term, hard.vote, hard.commit) = (1, settings.member.number, 1);
                let member = Member { boot, nonce: settings.seed | 1, ..settings.member.clone() };
                (
                    GroupState::single_member(
                        store.lineage(settings.seed.max(1)).map_err(failed)?,
                        member,
                        versions,
                    ),
                    (1, 1),
                )
            }
        };
        let opened = RecoveredState {
            store,
            boot,
            charter,
            hard,
            members,
            base,
            applied: base.0,
            entries: Vec::new(),
        };
        let mut batch = WriteBatch { sync: true, ..WriteBatch::default() };
        opened.append_to(&mut batch);
        opened.store.write(&batch).map_err(failed)?;
        Ok(opened)
    }

    fn append_to(&self, batch: &mut WriteBatch) {
        batch.values.extend([
            ("charter", self.charter.to_stored().encode_to_vec()),
            ("hard", codec::hard(&self.hard).encode_to_vec()),
            ("members", codec::members(&self.members).encode_to_vec()),
            ("base", encode_pair(self.base)),
            ("applied", self.applied.to_be_bytes().to_vec()),
        ]);
    }
}
