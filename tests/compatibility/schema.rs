//! The protobuf schema: numbers and types of all fields, and names where a text form shows them.
//!
//! Messages that operators write as text (documents and the settings files of proxies and control servers)
//! keep their field names. Messages that are only sent or stored as bytes may be renamed, but their structure
//! stays: they are compared without names.

use std::collections::BTreeMap;

use protox::prost_reflect::{
    Cardinality, DescriptorPool, EnumDescriptor, FieldDescriptor, Kind, MessageDescriptor,
};

use crate::golden;

/// Files whose messages have a text form.
const TEXT_FORM: [&str; 2] = ["gaugestep/config/v1/document.proto", "gaugestep/config/v1/operator.proto"];

/// Files whose messages are sent or stored as bytes only.
const BYTES_ONLY: [&str; 3] =
    ["gaugestep/config/v1/base.proto", "gaugestep/config/v1/group.proto", "gaugestep/config/v1/stream.proto"];

fn pool() -> DescriptorPool {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/proto");
    let mut compiler = protox::Compiler::new([root]).unwrap();
    compiler.open_files(TEXT_FORM.iter().chain(&BYTES_ONLY)).unwrap();
    compiler.descriptor_pool()
}

/// The messages of a file, including nested ones.
fn messages(pool: &DescriptorPool, file: &str) -> Vec<MessageDescriptor> {
    pool.all_messages().filter(|message| message.parent_file().name() == file).collect()
}

/// The label of a field: repeated, required, optional, or a member of a `oneof`; empty for a plain field.
fn label(field: &FieldDescriptor) -> &'static str {
    match (field.cardinality(), field.containing_oneof()) {
        (Cardinality::Repeated, _) => "repeated ",
        (Cardinality::Required, _) => "required ",
        (Cardinality::Optional, Some(choice)) if choice.is_synthetic() => "optional ",
        (Cardinality::Optional, Some(_)) => "oneof ",
        (Cardinality::Optional, None) => "",
    }
}

fn enum_values(values: &EnumDescriptor) -> String {
    let values: Vec<String> =
        values.values().map(|value| format!("{}={}", value.name(), value.number())).collect();
    format!("enum({})", values.join(" "))
}

/// A description of a message with the numbers, names and types of its fields.
fn describe_with_names(message: &MessageDescriptor) -> String {
    let mut text = format!("message {}\n", message.name());
    for field in message.fields() {
        let kind = match field.kind() {
            Kind::Message(inner) => format!("message {}", inner.name()),
            Kind::Enum(values) => enum_values(&values),
            scalar => format!("{scalar:?}").to_lowercase(),
        };
        text += &format!("  {} {}: {}{kind}\n", field.number(), field.name(), label(&field));
    }
    text
}

/// The structures of messages, without the names of messages and fields, each with its own number. Messages
/// with the same structure share a number.
#[derive(Default)]
struct Structures {
    numbers: BTreeMap<String, usize>,
    /// Messages whose structure is being described, to detect recursive ones.
    ancestors: Vec<MessageDescriptor>,
}

impl Structures {
    /// The number of a message's structure. Messages in its fields are numbered first.
    fn number(&mut self, message: &MessageDescriptor) -> usize {
        assert!(!self.ancestors.contains(message), "{} contains itself", message.name());
        self.ancestors.push(message.clone());
        let mut fields: Vec<FieldDescriptor> = message.fields().collect();
        fields.sort_by_key(FieldDescriptor::number);
        let fields: Vec<String> = fields.iter().map(|field| self.field(field)).collect();
        self.ancestors.pop();
        let next = self.numbers.len() + 1;
        *self.numbers.entry(fields.join(", ")).or_insert(next)
    }

    fn field(&mut self, field: &FieldDescriptor) -> String {
        let kind = match field.kind() {
            Kind::Message(inner) => format!("structure {}", self.number(&inner)),
            Kind::Enum(values) => enum_values(&values),
            scalar => format!("{scalar:?}").to_lowercase(),
        };
        format!("{}: {}{kind}", field.number(), label(field))
    }

    /// All structures in the order of their numbers.
    fn text(&self) -> String {
        let mut lines: Vec<(usize, &String)> =
            self.numbers.iter().map(|(fields, number)| (*number, fields)).collect();
        lines.sort_unstable();
        lines.iter().map(|(number, fields)| format!("structure {number} {{ {fields} }}\n")).collect()
    }
}

#[test]
fn messages_with_a_text_form_keep_names_numbers_and_types() {
    let pool = pool();
    let messages = TEXT_FORM.iter().flat_map(|file| messages(&pool, file));
    let text: String = messages.map(|message| describe_with_names(&message)).collect();
    golden::assert_matches("schema_text_form.txt", &text);
}

#[test]
fn messages_sent_as_bytes_keep_numbers_and_types() {
    let pool = pool();
    let mut structures = Structures::default();
    let messages: Vec<usize> = BYTES_ONLY
        .iter()
        .flat_map(|file| messages(&pool, file))
        .map(|message| structures.number(&message))
        .collect();
    golden::assert_matches("schema_bytes.txt", &format!("{}messages {messages:?}", structures.text()));
}
