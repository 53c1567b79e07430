//! Conversion of the Raft library's messages to and from the project's own schema, in which they are sent and
//! stored.
//!
//! Bytes from a peer or a file never reach the library's own decoder.

use gaugestep_config::schema::{RaftEntry, RaftHard, RaftMembers, RaftMessage, RaftSnapshot};
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Message, MessageType, Snapshot};

fn decode_message_kind(kind: i32) -> Option<MessageType> {
    use MessageType::*;
    // Only the kinds that a peer may send; kinds that a member sends to itself are rejected.
    const KINDS: [MessageType; 12] = [
        MsgAppend,
        MsgAppendResponse,
        MsgRequestVote,
        MsgRequestVoteResponse,
        MsgSnapshot,
        MsgHeartbeat,
        MsgHeartbeatResponse,
        MsgTimeoutNow,
        MsgReadIndexResp,
        MsgRequestPreVote,
        MsgRequestPreVoteResponse,
        MsgPropose,
    ];
    KINDS.into_iter().find(|allowed_kind| *allowed_kind as i32 == kind)
}

fn decode_entry_kind(kind: i32) -> Option<EntryType> {
    let supported = [EntryType::EntryNormal, EntryType::EntryConfChange];
    supported.into_iter().find(|supported_kind| *supported_kind as i32 == kind)
}

/// Encodes a log entry for sending and storing.
pub(crate) fn encode_entry(entry: &Entry) -> RaftEntry {
    RaftEntry {
        kind: entry.get_entry_type() as i32,
        term: entry.term,
        index: entry.index,
        data: entry.data.to_vec(),
        context: entry.context.to_vec(),
    }
}

/// Decodes a received or stored log entry; `None` if this build does not support its kind.
pub(crate) fn decode_entry(encoded: RaftEntry) -> Option<Entry> {
    let mut entry = Entry::default();
    entry.set_entry_type(decode_entry_kind(encoded.kind)?);
    (entry.term, entry.index) = (encoded.term, encoded.index);
    entry.data = encoded.data.into();
    entry.context = encoded.context.into();
    Some(entry)
}

/// Encodes the membership for sending and storing.
pub(crate) fn encode_membership(state: &ConfState) -> RaftMembers {
    RaftMembers {
        voters: state.voters.to_vec(),
        learners: state.learners.to_vec(),
        voters_outgoing: state.voters_outgoing.to_vec(),
        learners_next: state.learners_next.to_vec(),
        auto_leave: state.auto_leave,
    }
}

/// Decodes a received or stored membership.
pub(crate) fn decode_membership(encoded: RaftMembers) -> ConfState {
    ConfState {
        voters: encoded.voters,
        learners: encoded.learners,
        voters_outgoing: encoded.voters_outgoing,
        learners_next: encoded.learners_next,
        auto_leave: encoded.auto_leave,
        ..ConfState::default()
    }
}

/// Encodes term, vote and commit index for storing.
pub(crate) fn encode_hard_state(state: &HardState) -> RaftHard {
    RaftHard { term: state.term, vote: state.vote, commit: state.commit }
}

/// Decodes stored term, vote and commit index.
pub(crate) fn decode_hard_state(stored: &RaftHard) -> HardState {
    let mut state = HardState::default();
    (state.term, state.vote, state.commit) = (stored.term, stored.vote, stored.commit);
    state
}

/// Encodes a message for sending.
pub(crate) fn encode_message(message: &Message) -> RaftMessage {
    let snapshot = message.has_snapshot().then(|| {
        let (snapshot, meta) = (message.get_snapshot(), message.get_snapshot().get_metadata());
        RaftSnapshot {
            data: snapshot.data.to_vec(),
            index: meta.index,
            term: meta.term,
            members: Some(encode_membership(meta.get_conf_state())),
        }
    });
    RaftMessage {
        kind: message.get_msg_type() as i32,
        to: message.to,
        from: message.from,
        term: message.term,
        log_term: message.log_term,
        index: message.index,
        entries: message.entries.iter().map(encode_entry).collect(),
        commit: message.commit,
        commit_term: message.commit_term,
        snapshot: snapshot.filter(|snapshot| snapshot.index > 0),
        request_snapshot: message.request_snapshot,
        reject: message.reject,
        reject_hint: message.reject_hint,
        context: message.context.to_vec(),
        priority: message.priority,
    }
}

/// Decodes a received message; `None` if this build does not support it or a peer must not send it.
pub(crate) fn decode_message(encoded: RaftMessage) -> Option<Message> {
    let mut message = Message::default();
    let kind = decode_message_kind(encoded.kind)?;
    message.set_msg_type(kind);
    (message.to, message.from, message.term) = (encoded.to, encoded.from, encoded.term);
    (message.log_term, message.index) = (encoded.log_term, encoded.index);
    (message.commit, message.commit_term) = (encoded.commit, encoded.commit_term);
    (message.request_snapshot, message.reject) = (encoded.request_snapshot, encoded.reject);
    (message.reject_hint, message.priority) = (encoded.reject_hint, encoded.priority);
    message.context = encoded.context.into();
    // Changes of membership are proposed only by the member that received the operator's call: the library
    // would read a proposed one with its own decoder.
    let is_command =
        |entry: &RaftEntry| kind != MessageType::MsgPropose || entry.kind == EntryType::EntryNormal as i32;
    if !encoded.entries.iter().all(is_command) {
        return None;
    }
    message.entries = encoded.entries.into_iter().map(decode_entry).collect::<Option<Vec<_>>>()?.into();
    if let Some(encoded) = encoded.snapshot {
        let mut snapshot = Snapshot { data: encoded.data.into(), ..Snapshot::default() };
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (encoded.index, encoded.term);
        meta.set_conf_state(decode_membership(encoded.members?));
        message.set_snapshot(snapshot);
    }
    Some(message)
}
