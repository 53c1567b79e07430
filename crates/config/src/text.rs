//! Messages in protobuf text format, as operators write them.

use std::sync::OnceLock;

use prost::Message as _;
use prost_reflect::text_format::{FormatOptions, ParseError};
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor};

use crate::Document;

static SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/schema.bin"));
const PACKAGE: &str = "gaugestep.config.v1";

/// The reason why a message cannot be parsed from text or written as text.
#[derive(Debug, thiserror::Error)]
pub enum TextError {
    /// The schema of this build has no message of this name.
    #[error("cannot be read: this build's schema has no {0} that can be read")]
    UnknownMessage(String),
    /// The text has a field that is not in the schema, or is not in text format.
    #[error("cannot be read: {0}")]
    Syntax(#[from] ParseError),
    /// The message of the schema differs from the type that this build was compiled with.
    #[error("cannot be read: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// The descriptor of a message in the schema, which is compiled into the program.
fn descriptor(name: &str) -> Result<MessageDescriptor, TextError> {
    static POOL: OnceLock<Option<DescriptorPool>> = OnceLock::new();
    let pool = POOL.get_or_init(|| DescriptorPool::decode(SCHEMA).ok());
    pool.as_ref()
        .and_then(|pool| pool.get_message_by_name(&format!("{PACKAGE}.{name}")))
        .ok_or_else(|| TextError::UnknownMessage(name.to_owned()))
}

/// Parses the text of a message. `name` is the name of the message in the schema.
///
/// # Errors
///
/// [`TextError::Syntax`] names the position of the fault, also of a field that is not in the schema; the
/// other errors mean that the schema has no message `name` or that it differs from `M`.
pub fn read<M: prost::Message + Default>(name: &str, text: &str) -> Result<M, TextError> {
    let message = DynamicMessage::parse_text_format(descriptor(name)?, text)?;
    Ok(M::decode(message.encode_to_vec().as_slice())?)
}

/// Parses the text of a document.
///
/// # Errors
///
/// See [`read`].
pub fn parse(text: &str) -> Result<Document, TextError> {
    read("Document", text)
}

/// Writes a document as text, from which [`parse`] returns an equal document.
///
/// # Errors
///
/// [`TextError::Decode`] if the schema in this build differs from the type that the build was compiled with.
pub fn print(document: &Document) -> Result<String, TextError> {
    let message = DynamicMessage::decode(descriptor("Document")?, document.encode_to_vec().as_slice())?;
    Ok(message.to_text_format_with_options(&FormatOptions::new().pretty(true)))
}
