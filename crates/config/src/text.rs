//! Messages as operators write them: protobuf text format.

use std::sync::OnceLock;

use prost::Message as _;
use prost_reflect::text_format::{FormatOptions, ParseError};
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor};

use crate::Document;

static SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/schema.bin"));
const PACKAGE: &str = "gaugestep.config.v1";

/// Why a message cannot be read from text or written as text.
#[derive(Debug, thiserror::Error)]
pub enum TextError {
    /// The schema that this build contains has no such message.
    #[error("cannot be read: this build's schema has no {0} that can be read")]
    UnknownMessage(String),
    /// The text is no message of the schema: a field that it does not have, or no text format.
    #[error("cannot be read: {0}")]
    Syntax(#[from] ParseError),
    /// The message does not have the form that this build was compiled for.
    #[error("cannot be read: {0}")]
    Decode(#[from] prost::DecodeError),
}

/// The schema's entry of a message. The schema is compiled in, and a test reads it.
fn descriptor(name: &str) -> Result<MessageDescriptor, TextError> {
    static POOL: OnceLock<Option<DescriptorPool>> = OnceLock::new();
    let pool = POOL.get_or_init(|| DescriptorPool::decode(SCHEMA).ok());
    pool.as_ref()
        .and_then(|pool| pool.get_message_by_name(&format!("{PACKAGE}.{name}")))
        .ok_or_else(|| TextError::UnknownMessage(name.to_owned()))
}

/// Reads a message of this name.
///
/// # Errors
///
/// [`TextError::Syntax`] names the place, also of a field that the schema does not have.
pub fn read<M: prost::Message + Default>(name: &str, text: &str) -> Result<M, TextError> {
    let message = DynamicMessage::parse_text_format(descriptor(name)?, text)?;
    Ok(M::decode(message.encode_to_vec().as_slice())?)
}

/// Reads a document.
///
/// # Errors
///
/// See [`read`].
pub fn parse(text: &str) -> Result<Document, TextError> {
    read("Document", text)
}

/// Writes a document so that [`parse`] reads the same.
///
/// # Errors
///
/// [`TextError::Decode`] if the schema that this build contains is not the one that it was compiled for.
pub fn print(document: &Document) -> Result<String, TextError> {
    let message = DynamicMessage::decode(descriptor("Document")?, document.encode_to_vec().as_slice())?;
    Ok(message.to_text_format_with_options(&FormatOptions::new().pretty(true)))
}
