//! Stored records as protobuf text, for golden files.
//!
//! Each record is decoded twice: by the message definitions in `proto/`, which gives the text, and by the
//! program's own types, which must encode to the same bytes and parse the same message from the text.

use std::fmt::Write as _;
use std::path::Path;

use gaugestep_config::schema;
use gaugestep_config::text;
use gaugestep_storage::control_store::ControlStore;
use prost::Message;
use prost_reflect::text_format::FormatOptions;
use prost_reflect::{DescriptorPool, DynamicMessage};

use crate::slot_file;

/// Files with the definitions of the messages that are stored.
const DEFINITIONS: [&str; 2] = ["gaugestep/config/v1/group.proto", "gaugestep/config/v1/stream.proto"];
/// Kind of a log entry that changes the members; entries of other kinds are commands.
const MEMBERS_CHANGE: i32 = 1;

/// Records as text, with a section for each.
pub struct Records {
    definitions: DescriptorPool,
    text: String,
}

impl Records {
    fn new() -> Self {
        let proto = Path::new(env!("CARGO_MANIFEST_DIR")).join("proto");
        let definitions = protox::compile(DEFINITIONS, [proto]).unwrap();
        Records {
            definitions: DescriptorPool::from_file_descriptor_set(definitions).unwrap(),
            text: String::new(),
        }
    }

    /// All records of a control server's store. Opening a store changes it, so it must be a copy. A lineage
    /// of 0 means that the store has none, as that of a member that joined a group.
    pub fn of_store(store: &Path) -> String {
        let mut records = Records::new();
        let store = ControlStore::open(store).unwrap();
        records.numbers("lineage", &store.lineage(0).unwrap().to_be_bytes());
        for name in ["boots", "base", "applied"] {
            records.numbers(name, &store.value(name).unwrap().unwrap());
        }
        let value = |name| store.value(name).unwrap().unwrap();
        records.message::<schema::RaftHard>("hard", "RaftHard", &value("hard"));
        records.message::<schema::RaftMembers>("members", "RaftMembers", &value("members"));
        records.group_state(&value("charter"));
        for version in store.versions().unwrap() {
            let number = version.number;
            records.message::<schema::Entry>(&format!("entry {number}"), "Entry", &version.entry);
            records.message::<schema::Document>(&format!("document {number}"), "Document", &version.document);
        }
        for (index, entry) in store.log().unwrap() {
            records.log_entry(index, &entry);
        }
        records.text
    }

    /// All records of a proxy's state directory.
    pub fn of_proxy_state(state: &Path) -> String {
        let mut records = Records::new();
        for slot in ["current", "previous"] {
            let terms = format!("terms/{slot}");
            records.message::<schema::Offer>(slot, "Offer", &slot_file::read(&state.join(slot)));
            records.message::<schema::Charter>(&terms, "Charter", &slot_file::read(&state.join(&terms)));
        }
        records.text
    }

    fn section(&mut self, title: &str, content: &str) {
        writeln!(self.text, "# {title}\n{}\n", content.trim_end()).unwrap();
    }

    /// Adds a record of numbers, each a big-endian `u64`.
    fn numbers(&mut self, title: &str, bytes: &[u8]) {
        let numbers =
            bytes.chunks(8).map(|chunk| u64::from_be_bytes(chunk.try_into().expect("eight bytes a number")));
        let numbers: Vec<String> = numbers.map(|number| number.to_string()).collect();
        self.section(title, &numbers.join(" "));
    }

    fn message<M: Message + Default + PartialEq + std::fmt::Debug>(
        &mut self,
        title: &str,
        name: &str,
        bytes: &[u8],
    ) -> M {
        let definition =
            self.definitions.get_message_by_name(&format!("gaugestep.config.v1.{name}")).unwrap();
        let dynamic = DynamicMessage::decode(definition, bytes).unwrap();
        let printed = dynamic.to_text_format_with_options(&FormatOptions::new().pretty(true));
        let message = M::decode(bytes).unwrap();
        assert_eq!(message.encode_to_vec(), bytes, "{title}: the program encodes the same bytes");
        assert_eq!(
            text::read::<M>(name, &printed).unwrap(),
            message,
            "{title}: text and bytes are the same message"
        );
        self.section(&format!("{title}: {name}"), &printed);
        message
    }

    /// Adds the replicated state, and the state that it contains for the next lease holder of each role.
    fn group_state(&mut self, bytes: &[u8]) {
        let state = self.message::<schema::Charter>("charter", "Charter", bytes);
        for role in state.duties {
            let title = format!("state of '{}'", role.name);
            match role.name.as_str() {
                gaugestep_leadership::ORDINALS_ROLE => {
                    drop(self.message::<schema::Roster>(&title, "Roster", &role.state))
                }
                _ => drop(self.message::<schema::Progress>(&title, "Progress", &role.state)),
            }
        }
    }

    fn log_entry(&mut self, index: u64, bytes: &[u8]) {
        let title = format!("log {index}");
        let entry = self.message::<schema::RaftEntry>(&title, "RaftEntry", bytes);
        let title = format!("data of log {index}");
        match entry.kind {
            MEMBERS_CHANGE => {
                let change = self.message::<schema::RaftChange>(&title, "RaftChange", &entry.data);
                if !change.context.is_empty() {
                    self.message::<schema::Member>(
                        &format!("member of log {index}"),
                        "Member",
                        &change.context,
                    );
                }
            }
            // The Raft library adds an empty entry after each election.
            _ if entry.data.is_empty() => {}
            _ => drop(self.message::<schema::Act>(&title, "Act", &entry.data)),
        }
    }
}
