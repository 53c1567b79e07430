//! Conversion of the Raft library's messages to and from the project's own schema, in which they are sent and stored.
//!
//! No byte of a peer or of a file reaches the decoder of the library.

use gaugestep_config::schema::{RaftEntry, RaftHard, RaftMembers, RaftMessage, RaftSnapshot};
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Message, MessageType, Snapshot};

fn decode_message_kind(kind: i32) -> Option<MessageType> {
    use MessageType::*;
    // The kinds that a peer may send: none that a member only sends to itself.
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
    KINDS.into_iter().find(|known| *known as i32 == kind)
}

fn decode_entry_kind(kind: i32) -> Option<EntryType> {
    [EntryType::EntryNormal, EntryType::EntryConfChange].into_iter().find(|known| *known as i32 == kind)
}

/// An entry as it is sent and stored.
pub(crate) fn encode_entry(entry: &Entry) -> RaftEntry {
    RaftEntry {
        kind: entry.get_entry_type() as i32,
        term: entry.term,
        index: entry.index,
        data: entry.data.to_vec(),
        context: entry.context.to_vec(),
    }
}

/// The entry that was sent or stored; `None` if this build does not know its kind.
pub(crate) fn decode_entry(sent: RaftEntry) -> Option<Entry> {
    let mut entry = Entry::default();
    entry.set_entry_type(decode_entry_kind(sent.kind)?);
    (entry.term, entry.index) = (sent.term, sent.index);
    entry.data = sent.data.into();
    entry.context = sent.context.into();
    Some(entry)
}

/// The members as they are sent and stored.
pub(crate) fn encode_membership(state: &ConfState) -> RaftMembers {
    RaftMembers {
        voters: state.voters.to_vec(),
        learners: state.learners.to_vec(),
        voters_outgoing: state.voters_outgoing.to_vec(),
        learners_next: state.learners_next.to_vec(),
        auto_leave: state.auto_leave,
    }
}

/// The members that were sent or stored.
pub(crate) fn decode_membership(sent: RaftMembers) -> ConfState {
    ConfState {
        voters: sent.voters,
        learners: sent.learners,
        voters_outgoing: sent.voters_outgoing,
        learners_next: sent.learners_next,
        auto_leave: sent.auto_leave,
        ..ConfState::default()
    }
}

/// Term, vote and commit index as they are stored.
pub(crate) fn encode_hard_state(state: &HardState) -> RaftHard {
    RaftHard { term: state.term, vote: state.vote, commit: state.commit }
}

/// Term, vote and commit index that were stored.
pub(crate) fn decode_hard_state(stored: &RaftHard) -> HardState {
    let mut state = HardState::default();
    (state.term, state.vote, state.commit) = (stored.term, stored.vote, stored.commit);
    state
}

/// A message as it is sent.
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

/// The message that was sent; `None` if this build does not know it, or a peer must not send it.
pub(crate) fn decode_message(sent: RaftMessage) -> Option<Message> {
    let mut message = Message::default();
    let kind = decode_message_kind(sent.kind)?;
    message.set_msg_type(kind);
    (message.to, message.from, message.term) = (sent.to, sent.from, sent.term);
    (message.log_term, message.index) = (sent.log_term, sent.index);
    (message.commit, message.commit_term) = (sent.commit, sent.commit_term);
    (message.request_snapshot, message.reject) = (sent.request_snapshot, sent.reject);
    (message.reject_hint, message.priority) = (sent.reject_hint, sent.priority);
    message.context = sent.context.into();
    // Changes of membership are proposed only by the member that received the operator's call: the library would read a
    // proposed one with its own decoder.
    let is_command =
        |entry: &RaftEntry| kind != MessageType::MsgPropose || entry.kind == EntryType::EntryNormal as i32;
    if !sent.entries.iter().all(is_command) {
        return None;
    }
    message.entries = sent.entries.into_iter().map(decode_entry).collect::<Option<Vec<_>>>()?.into();
    if let Some(sent) = sent.snapshot {
        let mut snapshot = Snapshot { data: sent.data.into(), ..Snapshot::default() };
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (sent.index, sent.term);
        meta.set_conf_state(decode_membership(sent.members?));
        message.set_snapshot(snapshot);
    }
    Some(message)
}
