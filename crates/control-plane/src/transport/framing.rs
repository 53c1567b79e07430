//! Framing of protobuf messages: each is preceded by its length, as four bytes in big-endian order. Longer
//! messages than allowed are rejected as soon as their length is received.

use prost::Message;

/// The largest message in bytes: a document, and up to 64 KiB for the fields around it.
pub const MAX_MESSAGE_LENGTH: usize = gaugestep_config::MAX_DOCUMENT_BYTES + 64 * 1024;
const LENGTH_PREFIX_BYTES: usize = 4;

/// Why received bytes are not a valid message.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// The length prefix is greater than [`MAX_MESSAGE_LENGTH`].
    #[error("a message of {0} bytes, {MAX_MESSAGE_LENGTH} are allowed")]
    TooLong(usize),
    /// The body of the message cannot be decoded.
    #[error(transparent)]
    Decode(#[from] prost::DecodeError),
}

/// A complete message at the start of the input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The encoded message, without the length prefix.
    pub body: &'a [u8],
    /// The size of the frame in bytes, with the length prefix.
    pub length: usize,
}

/// Returns the first message in `input`; `None` if it is incomplete.
///
/// # Errors
///
/// [`FrameError::TooLong`] as soon as `input` contains a length prefix that is too large, before the body
/// arrives.
pub fn split_first(input: &[u8]) -> Result<Option<Frame<'_>>, FrameError> {
    let Some((prefix, rest)) = input.split_first_chunk::<LENGTH_PREFIX_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > MAX_MESSAGE_LENGTH {
        return Err(FrameError::TooLong(length));
    }
    Ok(rest.get(..length).map(|body| Frame { body, length: LENGTH_PREFIX_BYTES + length }))
}

/// Encodes a message with its length prefix.
pub fn encode(message: &impl Message) -> Vec<u8> {
    let length = message.encoded_len();
    let mut bytes = Vec::with_capacity(LENGTH_PREFIX_BYTES + length);
    bytes.extend_from_slice(&(length as u32).to_be_bytes());
    message.encode_raw(&mut bytes);
    bytes
}

/// A buffer of received bytes, from which messages are decoded.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    bytes: Vec<u8>,
    /// The number of bytes at the start that belong to messages already decoded.
    consumed: usize,
}

impl FrameBuffer {
    /// Whether more bytes may be received before the next message must be decoded.
    pub fn has_capacity(&self) -> bool {
        self.bytes.len() - self.consumed <= MAX_MESSAGE_LENGTH
    }

    /// The buffer to which received bytes are appended. Its existing content must not be changed.
    pub fn buffer_mut(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Removes the next message from the buffer and decodes it; `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// [`FrameError`] if the message is too long or cannot be decoded.
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
            // Frees the memory: most of hundreds of streams are idle, and their empty buffers would add up.
            self.bytes = Vec::new();
        }
    }
}
