#![forbid(unsafe_code)]
//! Versions of the operators' configuration: their documents, validation, storage form and rollout.
//!
//! - [`schema`] and [`text`]: a document as protobuf and in text form; [`delta`]: the difference between two
//!   documents.
//! - [`check`]: validates a document by itself; [`proxy_check`]: validates it against the present state of a
//!   proxy, which [`proxy_state`] describes. Each fault is a [`RejectReason`].
//! - [`routing`] and [`effective_config`]: the routes and limits that follow from a document at a proxy.
//! - [`version_tracker`]: how a proxy processes the versions that it is offered.
//! - [`rollout`]: which version a control server offers to which proxy.
//!
//! Nothing here does I/O, reads a clock or starts a thread: the embedder passes in events with a
//! [`Timestamp`] and executes the actions that are returned.

pub mod check;
pub mod delta;
pub mod effective_config;
pub mod proxy_check;
pub mod proxy_state;
pub mod reject_reason;
pub mod rollout;
pub mod routing;
pub mod text;
pub mod version_tracker;

/// The protobuf messages of `proto/gaugestep/config/v1`.
#[allow(missing_docs, reason = "generated; the proto files document the messages")]
#[allow(clippy::large_enum_variant, reason = "generated")]
pub mod schema {
    include!(concat!(env!("OUT_DIR"), "/gaugestep.config.v1.rs"));
}

pub use gaugestep_clock::Timestamp;
pub use reject_reason::RejectReason;
pub use schema::{Document, Version};

use prost::Message as _;
use sha2::{Digest as _, Sha256};

/// The largest encoded size of a document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;

/// The version of the stream protocol that this build speaks.
pub const PROTOCOL_VERSION: u32 = 1;

/// Length of a shortened digest, in bytes.
const SHORT_DIGEST_BYTES: usize = 6;

/// The SHA-256 digest of the encoded document, which identifies its content. Equal documents have equal
/// digests: none of its messages contains a map, and fields are encoded in the order of their numbers.
pub fn digest(document: &Document) -> Vec<u8> {
    Sha256::digest(document.encode_to_vec()).to_vec()
}

/// The version with this number and the digest of the document.
pub fn version(number: u64, document: &Document) -> Version {
    Version { number, digest: digest(document) }
}

/// The first bytes of a digest in hexadecimal, as shown to operators and logged.
pub fn short_digest(digest: &[u8]) -> String {
    digest.iter().take(SHORT_DIGEST_BYTES).map(|byte| format!("{byte:02x}")).collect()
}
