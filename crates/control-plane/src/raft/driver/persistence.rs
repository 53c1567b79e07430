//! Persists and sends what the library has ready. Messages that depend on persisted state are sent after it
//! is on disk.
//!
//! A committed change of members is on disk before any other member or an operator learns of it. Other
//! commands are recovered from the log, which the restarted members commit again. But a member that has lost
//! a removal counts the removed member as a voter, and may need the vote of a process that has ended.

use gaugestep_storage::control_store::WriteBatch;
use prost::Message as _;
use raft::eraftpb::{Entry, EntryType, Message, MessageType};
use raft::{LightReady, ReadState, Ready};

use super::RaftDriver;
use crate::failpoints;
use crate::raft::error::ReplicaError;
use crate::raft::member_starts::member_starts;
use crate::raft::request::Request;
use crate::raft::{codec, stored_values};
use gaugestep_config::schema::peer::Said;

/// The number of applied entries that are retained for members that are slightly behind.
const RETAINED_ENTRIES: u64 = 256;
/// The log is compacted when at least this many entries can be discarded.
const MIN_COMPACTED_ENTRIES: u64 = 1_024;

impl RaftDriver<'_> {
    /// Persists, sends and applies everything that the library has ready.
    pub(super) fn process_ready(&mut self) -> Result<(), ReplicaError> {
        while self.raw_node.has_ready() {
            let mut ready = self.raw_node.ready();
            self.persist(&mut ready)?;
            self.log.append(ready.entries());
            self.send(ready.take_persisted_messages());
            let reads = ready.take_read_states();
            let light = self.raw_node.advance(ready);
            self.process_light_ready(light)?;
            self.raw_node.advance_apply();
            self.compact_log()?;
            self.on_leadership_confirmed(reads);
        }
        Ok(())
    }

    /// Writes new entries, and applies committed ones, in one batch.
    fn persist(&mut self, ready: &mut Ready) -> Result<(), ReplicaError> {
        if !contains_membership_change(ready.committed_entries()) {
            self.send(ready.take_messages());
        }
        let mut batch = WriteBatch { sync: ready.must_sync(), ..WriteBatch::default() };
        if !ready.snapshot().is_empty() {
            self.install_snapshot(ready.snapshot(), &mut batch)?;
        }
        put_entries(&mut batch, ready.entries());
        if let Some(hard_state) = ready.hs() {
            stored_values::put_hard_state(&mut batch, hard_state);
            self.log.set_hard_state(hard_state.clone());
        }
        let committed = ready.take_committed_entries();
        self.apply(committed, &mut batch)?;
        self.store.write(&batch)?;
        self.send(ready.take_messages());
        self.record_member_starts(ready.entries());
        if !ready.entries().is_empty() {
            failpoints::suspend_at("stored");
        }
        Ok(())
    }

    /// Records the starts of members in entries that are on disk by now.
    fn record_member_starts(&self, entries: &[Entry]) {
        let starts = member_starts(entries);
        if !starts.is_empty() {
            self.replica.record_members(&starts);
        }
    }

    /// Handles what became ready because the entries were persisted.
    fn process_light_ready(&mut self, mut light: LightReady) -> Result<(), ReplicaError> {
        let mut batch = WriteBatch::default();
        if let Some(commit) = light.commit_index() {
            stored_values::put_hard_state(&mut batch, &self.log.set_commit(commit));
        }
        let committed = light.take_committed_entries();
        if !committed.is_empty() {
            self.apply(committed, &mut batch)?;
            self.store.write(&batch)?;
        }
        self.send(light.take_messages());
        Ok(())
    }

    fn compact_log(&mut self) -> Result<(), ReplicaError> {
        let Some(compacted) = self.log.compact(RETAINED_ENTRIES, MIN_COMPACTED_ENTRIES) else {
            return Ok(());
        };
        // Synced, because the effects of the entries must be on disk before the entries are discarded.
        let mut batch =
            WriteBatch { compact_log_below: Some(compacted.index + 1), sync: true, ..WriteBatch::default() };
        stored_values::put_compacted(&mut batch, compacted);
        self.store.write(&batch)?;
        Ok(())
    }

    /// Grants the leases that waited for a majority to confirm that this member is the leader.
    fn on_leadership_confirmed(&mut self, reads: Vec<ReadState>) {
        for read in reads {
            if let Ok(number) = <[u8; 8]>::try_from(read.request_ctx.as_slice()) {
                let granted = self.grantor.on_confirmed(u64::from_be_bytes(number));
                self.execute_lease_actions(granted);
            }
        }
    }

    fn send(&self, messages: Vec<Message>) {
        for message in messages {
            let member = message.to;
            let is_snapshot = message.get_msg_type() == MessageType::MsgSnapshot;
            let sent = self.replica.links.send(member, Said::Raft(codec::encode_message(&message)));
            if is_snapshot {
                // A snapshot that is lost later is sent again when the member reports the entries that it
                // lacks.
                self.replica.submit(Request::ReportSnapshot { member, sent });
            }
        }
    }
}

fn contains_membership_change(entries: &[Entry]) -> bool {
    entries.iter().any(|entry| entry.get_entry_type() == EntryType::EntryConfChange)
}

fn put_entries(batch: &mut WriteBatch, entries: &[Entry]) {
    let Some(first) = entries.first() else { return };
    batch.truncate_log_from = Some(first.index);
    let encode = |entry: &Entry| (entry.index, codec::encode_entry(entry).encode_to_vec());
    batch.log_entries = entries.iter().map(encode).collect();
}
