#![forbid(unsafe_code)]
//! Versions of the operators' configuration: what they hold, whether they are valid and who gets which.
//!
//! - [`schema`] and [`text`]: a document as protobuf and as operators write it; [`delta`]: the difference of two.
//! - [`check`]: whether a document is valid by itself; [`proxy_check`]: whether it may be in force at a proxy as it runs, which
//!   [`proxy_state`] describes. Each fault is a [`RejectReason`].
//! - [`routing`] and [`effective_config`]: what a document means for a proxy.
//! - [`version_tracker`]: what a proxy does with the versions that it is offered.
//! - [`rollout`]: which proxy a server offers which version.
//!
//! Nothing here does I/O, reads a clock or starts a thread: the embedder passes in events with a [`Timestamp`] and carries
//! out the actions that are returned.

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

/// The messages of `proto/gaugestep/config/v1`, as protobuf.
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

/// The longest document, in bytes of protobuf.
pub const MAX_DOCUMENT_LENGTH: usize = 1024 * 1024;

/// The version of the stream's protocol that this build speaks.
pub const PROTOCOL_VERSION: u32 = 1;

/// Bytes of a digest that are shown.
const SHORT_DIGEST_LENGTH: usize = 6;

/// The SHA-256 digest of the document as protobuf, which identifies its content. Equal documents have equal digests: no
/// message of it holds a map, and fields are encoded in the order of their numbers.
pub fn digest(document: &Document) -> Vec<u8> {
    Sha256::digest(document.encode_to_vec()).to_vec()
}

/// The version of this number that holds the document.
pub fn version(number: u64, document: &Document) -> Version {
    Version { number, digest: digest(document) }
}

/// The start of a digest in hexadecimal, as it is shown and logged.
pub fn short_digest(digest: &[u8]) -> String {
    digest.iter().take(SHORT_DIGEST_LENGTH).map(|byte| format!("{byte:02x}")).collect()
}
