//! The values in the store of a replica other than versions and log entries: their names and encoding,
//! which are fixed.

use gaugestep_leadership::group_state::GroupState;
use gaugestep_storage::control_store::WriteBatch;
use prost::Message as _;
use raft::eraftpb::{ConfState, HardState};

use crate::raft::codec;
use crate::raft::storage::LogPosition;

/// The number of process starts with this store.
pub(crate) const BOOTS: &str = "boots";
/// The replicated state without the versions.
pub(crate) const GROUP_STATE: &str = "charter";
/// Raft's term, vote and commit index.
pub(crate) const HARD_STATE: &str = "hard";
/// Raft's membership: voters and learners.
pub(crate) const MEMBERSHIP: &str = "members";
/// The position of the last log entry that was compacted.
pub(crate) const COMPACTED: &str = "base";
/// The index of the last log entry that was applied.
pub(crate) const APPLIED: &str = "applied";

pub(crate) fn put_boots(batch: &mut WriteBatch, boots: u64) {
    batch.values.push((BOOTS, encode_number(boots)));
}

pub(crate) fn put_group_state(batch: &mut WriteBatch, group: &GroupState) {
    batch.values.push((GROUP_STATE, group.to_stored().encode_to_vec()));
}

pub(crate) fn put_hard_state(batch: &mut WriteBatch, hard_state: &HardState) {
    batch.values.push((HARD_STATE, codec::encode_hard_state(hard_state).encode_to_vec()));
}

pub(crate) fn put_membership(batch: &mut WriteBatch, membership: &ConfState) {
    batch.values.push((MEMBERSHIP, codec::encode_membership(membership).encode_to_vec()));
}

pub(crate) fn put_compacted(batch: &mut WriteBatch, position: LogPosition) {
    let bytes = [position.index.to_be_bytes(), position.term.to_be_bytes()].concat();
    batch.values.push((COMPACTED, bytes));
}

pub(crate) fn put_applied(batch: &mut WriteBatch, index: u64) {
    batch.values.push((APPLIED, encode_number(index)));
}

fn encode_number(number: u64) -> Vec<u8> {
    number.to_be_bytes().to_vec()
}

/// Decodes a number; 0 if the length is not 8 bytes.
pub(crate) fn decode_number(bytes: Vec<u8>) -> u64 {
    bytes.try_into().map(u64::from_be_bytes).unwrap_or(0)
}

/// Decodes a log position; `None` if the length is not 16 bytes.
pub(crate) fn decode_position(bytes: &[u8]) -> Option<LogPosition> {
    let (index, term) = bytes.split_first_chunk::<8>()?;
    Some(LogPosition { index: u64::from_be_bytes(*index), term: u64::from_be_bytes(term.try_into().ok()?) })
}
