//! Streams between the members of a group.
//!
//! Each member connects to every other member. It sends on the streams that it opened ([`outbound`]) and
//! receives on the streams that other members opened ([`InboundPeer`]). Messages may be lost; senders repeat
//! those that are still needed.

pub mod inbound;
pub mod outbound;

pub use inbound::InboundPeer;

/// The maximum size of a message that is sent in one piece. Longer messages are split into pieces of this
/// size.
const MAX_PIECE_BYTES: usize = 512 * 1024;
/// The maximum size of a message that is received in pieces.
const MAX_MESSAGE_BYTES: usize = 256 * 1024 * 1024;
