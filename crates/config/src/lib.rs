#![forbid(unsafe_code)]
//! Versions of the operators' configuration.
//!
//! What a version holds ([`schema`], [`text`]), whether it may be taken ([`check`], [`proxy_state`], each reason a
//! [`RejectReason`]), what a proxy does with what it is offered ([`version_tracker`]), and what a service offers to whom
//! ([`rollout`]). Nothing here does I/O, reads a clock or starts a thread: everything is told in events and asked for in
//! actions. Times are milliseconds on the embedder's clock.

pub mod check;
pub mod delta;
pub mod proxy_state;
pub mod reject_reason;
pub mod rollout;
pub mod text;
pub mod version_tracker;

/// The messages of `proto/gaugestep/config/v1`, as protobuf.
#[allow(missing_docs, clippy::large_enum_variant)]
pub mod schema {
    include!(concat!(env!("OUT_DIR"), "/gaugestep.config.v1.rs"));
}

pub use reject_reason::RejectReason;
pub use schema::{Document, Version};

use prost::Message as _;
use sha2::{Digest as _, Sha256};

/// The longest document, in bytes of protobuf.
pub const MAX_DOCUMENT_LENGTH: usize = 1024 * 1024;

/// The form of the stream that this build speaks.
pub const PROTOCOL: u32 = 1;

/// SHA-256 of the document as protobuf, which names its content. Equal documents have equal digests: no message of it
/// holds a map, and fields are written in the order of their numbers.
pub fn digest(document: &Document) -> Vec<u8> {
    Sha256::digest(document.encode_to_vec()).to_vec()
}

/// A version of this number that holds the document.
pub fn version(number: u64, document: &Document) -> Version {
    Version { number, digest: digest(document) }
}

/// The start of a digest as people read it.
pub fn short_digest(digest: &[u8]) -> String {
    digest.iter().take(6).map(|byte| format!("{byte:02x}")).collect()
}
