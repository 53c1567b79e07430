//! The starts of members that log entries record.
//!
//! A start counts from the moment in which its entry is in the log on disk, not only once it is committed and
//! applied: the applied state is not synced after each entry, so a member that is killed may have lost it, and
//! would accept a restored store of the other member.

use gaugestep_config::schema::Member;
use gaugestep_config::schema::act::What;
use gaugestep_leadership::group_state::Command;
use prost::Message as _;
use raft::eraftpb::{Entry, EntryType};

/// The members as of the starts that these entries record, in the order of the log.
pub(crate) fn member_starts(entries: &[Entry]) -> Vec<Member> {
    let commands = entries.iter().filter(|entry| entry.get_entry_type() == EntryType::EntryNormal);
    commands.filter_map(recorded_start).collect()
}

/// The start that an entry records; `None` if it is another command, or none that this build can decode.
fn recorded_start(entry: &Entry) -> Option<Member> {
    match Command::decode(entry.data.as_ref()).ok()?.what {
        Some(What::Member(member)) => Some(member),
        _ => None,
    }
}
