//! Documents as people write them: protobuf text format.

use std::sync::OnceLock;

use prost::Message as _;
use prost_reflect::text_format::FormatOptions;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor};

use crate::{Document, RejectReason};

static SCHEMA: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/schema.bin"));

/// The schema's entry of a message. The schema is compiled in; that it can be read is tested.
fn descriptor(name: &str) -> Result<MessageDescriptor, RejectReason> {
    static POOL: OnceLock<Option<DescriptorPool>> = OnceLock::new();
    let pool = POOL.get_or_init(|| DescriptorPool::decode(SCHEMA).ok());
    pool.as_ref()
        .and_then(|pool| pool.get_message_by_name(&format!("gaugestep.config.v1.{name}")))
        .ok_or_else(|| {
            RejectReason::Unreadable(format!("this build's schema has no {name} that can be read"))
        })
}

/// Reads a message of this name from protobuf text format. Fields that the schema does not have are errors, with their
/// place.
pub fn read<M: prost::Message + Default>(name: &str, text: &str) -> Result<M, RejectReason> {
    let unreadable = |error: String| RejectReason::Unreadable(error);
    let dynamic = DynamicMessage::parse_text_format(descriptor(name)?, text)
        .map_err(|error| unreadable(error.to_string()))?;
    M::decode(dynamic.encode_to_vec().as_slice()).map_err(|error| unreadable(error.to_string()))
}

/// Reads a document.
pub fn parse(text: &str) -> Result<Document, RejectReason> {
    read("Document", text)
}

/// Writes a document so that [`parse`] reads the same.
pub fn print(document: &Document) -> Result<String, RejectReason> {
    let dynamic = DynamicMessage::decode(descriptor("Document")?, document.encode_to_vec().as_slice())
        .map_err(|error| RejectReason::Unreadable(error.to_string()))?;
    Ok(dynamic.to_text_format_with_options(&FormatOptions::new().pretty(true)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_unknown_field_is_refused_with_its_place() {
        let refusal = parse("routes { name: \"a\"\n  colour: 3 }").unwrap_err();
        assert_eq!(refusal.code(), "unreadable");
        assert!(refusal.to_string().contains("colour"), "{refusal}");
    }

    #[test]
    fn a_printed_document_reads_the_same() {
        let text = r#"routes { name: "n" classes: "report" targets { zone: "east" weight: 2.5 } otherwise: ANY }
            tenants { name: "acme" quota_per_s: 40 } limits { max_open: 300 } retries { ratio: 0.1 }
            logging { level: DEBUG parts { name: "gaugestep::net" level: WARN } } classes: "report""#;
        let document = parse(text).unwrap();
        assert_eq!(document.routes[0].targets[0].weight, Some(2.5));
        assert_eq!(parse(&print(&document).unwrap()).unwrap(), document);
    }
}
