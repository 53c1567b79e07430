//! Raft's messages as they travel and are stored: in the project's own schema, so that no byte of a peer or of a file
//! reaches the decoder that the library brings.

use gaugestep_config::schema::{RaftEntry, RaftHard, RaftMembers, RaftMessage, RaftSnapshot};
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Message, MessageType, Snapshot};

fn kind(kind: i32) -> Option<MessageType> {
    use MessageType::*;
    // What comes from a peer: never what a member only tells itself. Proposals are not passed on.
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

fn entry_kind(kind: i32) -> Option<EntryType> {
    [EntryType::EntryNormal, EntryType::EntryConfChange].into_iter().find(|known| *known as i32 == kind)
}

/// An entry as it is told and stored.
pub fn entry(entry: &Entry) -> RaftEntry {
    RaftEntry {
        kind: entry.get_entry_type() as i32,
        term: entry.term,
        index: entry.index,
        data: entry.data.to_vec(),
        context: entry.context.to_vec(),
    }
}

/// The entry that was told; none if this build does not know its kind.
pub fn of_entry(told: RaftEntry) -> Option<Entry> {
    let mut entry = Entry::default();
    entry.set_entry_type(entry_kind(told.kind)?);
    (entry.term, entry.index) = (told.term, told.index);
    entry.data = told.data.into();
    entry.context = told.context.into();
    Some(entry)
}

/// Members as they are told and stored.
pub fn members(state: &ConfState) -> RaftMembers {
    RaftMembers {
        voters: state.voters.to_vec(),
        learners: state.learners.to_vec(),
        voters_outgoing: state.voters_outgoing.to_vec(),
        learners_next: state.learners_next.to_vec(),
        auto_leave: state.auto_leave,
    }
}

/// Members that were told.
pub fn of_members(told: RaftMembers) -> ConfState {
    ConfState {
        voters: told.voters,
        learners: told.learners,
        voters_outgoing: told.voters_outgoing,
        learners_next: told.learners_next,
        auto_leave: told.auto_leave,
        ..ConfState::default()
    }
}

/// What a member has voted for, as it is stored.
pub fn hard(state: &HardState) -> RaftHard {
    RaftHard { term: state.term, vote: state.vote, commit: state.commit }
}

/// What was stored.
pub fn of_hard(told: RaftHard) -> HardState {
    let mut state = HardState::default();
    (state.term, state.vote, state.commit) = (told.term, told.vote, told.commit);
    state
}

/// A message as it is told.
pub fn message(message: &Message) -> RaftMessage {
    let snapshot = message.has_snapshot().then(|| {
        let (snapshot, meta) = (message.get_snapshot(), message.get_snapshot().get_metadata());
        RaftSnapshot {
            data: snapshot.data.to_vec(),
            index: meta.index,
            term: meta.term,
            members: Some(members(meta.get_conf_state())),
        }
    });
    RaftMessage {
        kind: message.get_msg_type() as i32,
        to: message.to,
        from: message.from,
        term: message.term,
        log_term: message.log_term,
        index: message.index,
        entries: message.entries.iter().map(entry).collect(),
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

/// The message that was told; none if this build does not know it, or a peer must not say it.
pub fn of_message(told: RaftMessage) -> Option<Message> {
    let mut message = Message::default();
    let kind = kind(told.kind)?;
    message.set_msg_type(kind);
    (message.to, message.from, message.term) = (told.to, told.from, told.term);
    (message.log_term, message.index) = (told.log_term, told.index);
    (message.commit, message.commit_term) = (told.commit, told.commit_term);
    (message.request_snapshot, message.reject) = (told.request_snapshot, told.reject);
    (message.reject_hint, message.priority) = (told.reject_hint, told.priority);
    message.context = told.context.into();
    // Changes of the members are proposed where the command came in, and nowhere else: the library would read a proposed
    // one with its own decoder.
    let plain =
        |entry: &RaftEntry| kind != MessageType::MsgPropose || entry.kind == EntryType::EntryNormal as i32;
    if !told.entries.iter().all(plain) {
        return None;
    }
    message.entries = told.entries.into_iter().map(of_entry).collect::<Option<Vec<_>>>()?.into();
    if let Some(told) = told.snapshot {
        let mut snapshot = Snapshot { data: told.data.into(), ..Snapshot::default() };
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (told.index, told.term);
        meta.set_conf_state(of_members(told.members?));
        message.set_snapshot(snapshot);
    }
    Some(message)
}
