//! Parses the messages that clients send, in version 3.0 of the PostgreSQL protocol.

use super::error::FatalError;

/// Length of the longest startup message, the same limit as in PostgreSQL.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Length of the shortest startup message: the length field and a version or request code.
const MIN_STARTUP_BYTES: usize = 8;

/// Request codes, which take the place of the protocol version in the first message of a connection.
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const SSL_REQUEST_CODE: u32 = 80_877_103;
const GSS_ENCRYPTION_REQUEST_CODE: u32 = 80_877_104;

/// The supported major version of the protocol.
const PROTOCOL_MAJOR_VERSION: u32 = 3;

/// Size of the length field of a message.
const LENGTH_FIELD_BYTES: usize = 4;

/// The key that a client must send to cancel the query of a session (`BackendKeyData` in PostgreSQL).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelKey {
    /// The number of the session, sent in place of the process id of a PostgreSQL backend.
    pub process_id: u32,
    /// The pseudorandom secret of the session.
    pub secret_key: u32,
}

/// The first message on a connection.
#[derive(Debug, PartialEq)]
pub enum StartupMessage {
    /// Starts a session.
    Session,
    /// Requests TLS or GSSAPI encryption.
    Encryption,
    /// Cancels the query of the session with this key.
    Cancel(CancelKey),
}

/// A message of an open session. Its body is a slice of the buffer that it was read into.
#[derive(Debug, PartialEq)]
pub struct Message<'a> {
    /// The message kind, one of the bytes in [`kind`].
    pub kind: u8,
    /// The message body.
    pub body: &'a [u8],
    /// The length of the complete message in bytes, including the kind byte and the length field.
    pub length: usize,
}

/// The message kinds of an open session that the proxy distinguishes.
pub mod kind {
    /// Ends the session.
    pub const TERMINATE: u8 = b'X';
    /// Ends a series of messages of the extended query protocol.
    pub const SYNC: u8 = b'S';
    /// A simple query.
    pub const QUERY: u8 = b'Q';
    /// A function call.
    pub const FUNCTION_CALL: u8 = b'F';
    /// Messages of the extended query protocol, other than Sync.
    pub const PARSE: u8 = b'P';
    /// See [`PARSE`].
    pub const BIND: u8 = b'B';
    /// See [`PARSE`].
    pub const DESCRIBE: u8 = b'D';
    /// See [`PARSE`].
    pub const EXECUTE: u8 = b'E';
    /// See [`PARSE`].
    pub const CLOSE: u8 = b'C';
    /// See [`PARSE`].
    pub const FLUSH: u8 = b'H';
}

/// Parses the startup message at the front of `input`. Returns the message with its length in bytes, or
/// `None` if it is incomplete.
///
/// # Errors
///
/// Returns an error if the message is malformed or requests an unsupported protocol version.
pub fn parse_startup(input: &[u8]) -> Result<Option<(StartupMessage, usize)>, FatalError> {
    let Some(length) = read_u32(input) else { return Ok(None) };
    let length = length as usize;
    if !(MIN_STARTUP_BYTES..=MAX_STARTUP_BYTES).contains(&length) {
        return Err(FatalError::InvalidStartupLength);
    }
    let Some(body) = input.get(LENGTH_FIELD_BYTES..length) else { return Ok(None) };
    let word_at = |at: usize| read_u32(body.get(at..).unwrap_or_default());
    let message = match word_at(0) {
        Some(SSL_REQUEST_CODE | GSS_ENCRYPTION_REQUEST_CODE) => StartupMessage::Encryption,
        Some(CANCEL_REQUEST_CODE) => match (word_at(4), word_at(8)) {
            (Some(process_id), Some(secret_key)) => {
                StartupMessage::Cancel(CancelKey { process_id, secret_key })
            }
            _ => return Err(FatalError::MalformedCancelRequest),
        },
        Some(version) if version >> 16 == PROTOCOL_MAJOR_VERSION => {
            if body.last() != Some(&0) {
                return Err(FatalError::MalformedStartup);
            }
            StartupMessage::Session
        }
        _ => return Err(FatalError::UnsupportedProtocol),
    };
    Ok(Some((message, length)))
}

/// Parses the message of an open session at the front of `input`. Returns `None` if it is incomplete.
///
/// # Errors
///
/// Returns an error if the length is invalid or more than `max_length`. The length is checked before the
/// body has arrived, so that no oversized message is buffered.
pub fn parse(input: &[u8], max_length: usize) -> Result<Option<Message<'_>>, FatalError> {
    let (Some(kind), Some(length)) = (input.first(), read_u32(input.get(1..).unwrap_or_default())) else {
        return Ok(None);
    };
    let length = length as usize;
    if length < LENGTH_FIELD_BYTES {
        return Err(FatalError::InvalidMessageLength);
    }
    if length > max_length {
        return Err(FatalError::MessageTooLong);
    }
    let body = input.get(1 + LENGTH_FIELD_BYTES..1 + length);
    Ok(body.map(|body| Message { kind: *kind, body, length: 1 + length }))
}

/// Reads the big-endian integer at the front of `bytes`, or returns `None` if there are fewer than four.
fn read_u32(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?))
}

#[cfg(test)]
#[path = "../../../tests/unit/frontend.rs"]
mod tests;
