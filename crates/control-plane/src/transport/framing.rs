//! Protobuf messages behind their length: four bytes, big end first. Bounded, whatever the peer sends.

use prost::Message;

/// The longest message in bytes: a document, and what is sent along with it.
pub const MAX_MESSAGE_LENGTH: usize = gaugestep_config::MAX_DOCUMENT_BYTES + 64 * 1024;
const LENGTH_PREFIX: usize = 4;

/// Why the bytes of a peer are no messages.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The length of a message is more than [`MAX_MESSAGE_LENGTH`].
    #[error("a message of {0} bytes, {MAX_MESSAGE_LENGTH} are allowed")]
    TooLong(usize),
    /// The body of a message is none of this type.
    #[error(transparent)]
    Decode(#[from] prost::DecodeError),
}

/// A message at the start of some input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The message without its length.
    pub body: &'a [u8],
    /// The bytes that it takes up, with its length.
    pub length: usize,
}

/// The first message in `input`, if it is complete.
///
/// # Errors
///
/// [`FrameError::TooLong`] as soon as the length of the message has been read: none of its body needs to be kept.
pub fn split_first(input: &[u8]) -> Result<Option<Frame<'_>>, FrameError> {
    let Some((prefix, rest)) = input.split_first_chunk::<LENGTH_PREFIX>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > MAX_MESSAGE_LENGTH {
        return Err(FrameError::TooLong(length));
    }
    Ok(rest.get(..length).map(|body| Frame { body, length: LENGTH_PREFIX + length }))
}

/// A message behind its length.
pub fn encode(message: &impl Message) -> Vec<u8> {
    let length = message.encoded_len();
    let mut bytes = Vec::with_capacity(LENGTH_PREFIX + length);
    bytes.extend_from_slice(&(length as u32).to_be_bytes());
    message.encode_raw(&mut bytes);
    bytes
}

/// Bytes that were received, and the messages in them.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    bytes: Vec<u8>,
    /// Bytes at the start that belong to messages which were taken.
    consumed: usize,
}

impl FrameBuffer {
    /// Whether more may be received before a message must be taken.
    pub fn has_capacity(&self) -> bool {
        self.bytes.len() - self.consumed <= MAX_MESSAGE_LENGTH
    }

    /// The bytes to append received ones to. What is there already must not be changed.
    pub fn received(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Takes the next message, if it is complete.
    ///
    /// # Errors
    ///
    /// [`FrameError`] if the next bytes are no message of this type.
    pub fn next_message<M: Message + Default>(&mut self) -> Result<Option<M>, FrameError> {
        let Some(frame) = split_first(&self.bytes[self.consumed..])? else {
            self.discard_consumed();
            return Ok(None);
        };
        let message = M::decode(frame.body)?;
        self.consumed += frame.length;
        Ok(Some(message))
    }

    fn discard_consumed(&mut self) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        if self.bytes.is_empty() {
            // Of hundreds of streams most are idle: an empty vector of some capacity for each would add up.
            self.bytes = Vec::new();
        }
    }
}
