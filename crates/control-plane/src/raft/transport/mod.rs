//! Streams between the members of a group.
//!
//! Each member connects to each other one and sends on the stream that it opened ([`outbound`]); it receives on the
//! streams that others opened ([`InboundPeer`]). Messages may be lost: what matters is sent again.

pub mod inbound;
pub mod outbound;

pub use inbound::InboundPeer;

/// The most bytes of a message that is sent in one piece.
const MAX_PIECE_BYTES: usize = 512 * 1024;
/// The most bytes of all pieces of a message.
const MAX_MESSAGE_BYTES: usize = 256 * 1024 * 1024;
