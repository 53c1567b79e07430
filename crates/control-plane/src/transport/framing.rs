//! Messages behind their length: four bytes, big end first. Bounded, whatever the peer says.

/// The longest message: a document, and what stands around it.
pub const MAX_MESSAGE_LENGTH: usize = gaugestep_config::MAX_DOCUMENT_LENGTH + 64 * 1024;
const LENGTH_PREFIX: usize = 4;

/// Why a peer's bytes are no messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageTooLong(pub usize);

impl std::fmt::Display for MessageTooLong {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "a message of {} bytes, {MAX_MESSAGE_LENGTH} are allowed", self.0)
    }
}

/// The body of the first message in `input`, if it is whole, and the bytes that it takes up. One that is too long is an
/// error as soon as its length is read: nothing of it is kept.
pub fn split_first(input: &[u8]) -> Result<Option<(&[u8], usize)>, MessageTooLong> {
    let Some((head, rest)) = input.split_first_chunk::<LENGTH_PREFIX>() else { return Ok(None) };
    let length = u32::from_be_bytes(*head) as usize;
    if length > MAX_MESSAGE_LENGTH {
        return Err(MessageTooLong(length));
    }
    Ok(rest.get(..length).map(|body| (body, LENGTH_PREFIX + length)))
}

/// A message with its length before it.
pub fn encode(message: &impl prost::Message) -> Vec<u8> {
    let length = message.encoded_len();
    let mut bytes = Vec::with_capacity(LENGTH_PREFIX + length);
    bytes.extend_from_slice(&(length as u32).to_be_bytes());
    // A vector grows: this cannot fail.
    let _ = message.encode(&mut bytes);
    bytes
}

#[cfg(test)]
mod tests {
    use super::*;
    use gaugestep_config::schema::Hello;
    use prost::Message as _;

    #[test]
    fn a_message_is_found_only_once_it_is_whole() {
        let hello = Hello { proxy: "n0".into(), ..Hello::default() };
        let mut bytes = encode(&hello);
        for cut in 0..bytes.len() {
            assert_eq!(split_first(&bytes[..cut]), Ok(None));
        }
        let length = bytes.len();
        bytes.extend_from_slice(b"more");
        let (body, taken) = split_first(&bytes).unwrap().unwrap();
        assert_eq!((Hello::decode(body).unwrap(), taken), (hello, length));
    }

    #[test]
    fn a_length_that_claims_too_much_is_an_error_at_once() {
        assert_eq!(split_first(&u32::MAX.to_be_bytes()), Err(MessageTooLong(u32::MAX as usize)));
    }
}
