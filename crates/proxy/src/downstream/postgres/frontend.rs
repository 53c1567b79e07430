//! Messages that clients send, in version 3.0 of the PostgreSQL protocol.

use super::error::FatalError;

/// The longest startup message, as PostgreSQL has it.
const MAX_STARTUP_LENGTH: usize = 10_000;
/// The shortest startup message: its length and a version or code.
const MIN_STARTUP_LENGTH: usize = 8;

/// Codes in place of a version in the first message of a connection.
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const SSL_REQUEST_CODE: u32 = 80_877_103;
const GSS_ENCRYPTION_REQUEST_CODE: u32 = 80_877_104;

/// The major version of the protocol.
const PROTOCOL_MAJOR: u32 = 3;

/// Bytes of a length.
const LENGTH_BYTES: usize = 4;

/// What a client must name to cancel the query of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelKey {
    /// The session's number, which takes the place of a process id.
    pub process: u32,
    /// The session's secret.
    pub secret: u32,
}

/// The first message on a connection.
#[derive(Debug, PartialEq)]
pub enum StartupMessage {
    /// Starts a session.
    Session,
    /// Requests encryption.
    Encryption,
    /// Cancels the query of another session.
    Cancel(CancelKey),
}

/// A message of an open session, in the buffer that it was read into.
#[derive(Debug, PartialEq)]
pub struct Message<'a> {
    /// The byte that tells its kind.
    pub kind: u8,
    /// Its content.
    pub body: &'a [u8],
    /// Its length in bytes, with kind and length.
    pub length: usize,
}

/// The kinds of messages of an open session that the proxy tells apart.
pub mod kind {
    /// Ends the session.
    pub const TERMINATE: u8 = b'X';
    /// Ends a series of messages of the extended query protocol.
    pub const SYNC: u8 = b'S';
    /// A simple query.
    pub const QUERY: u8 = b'Q';
    /// A call of a function.
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

/// Parses the startup message at the front of `input`, and returns it with its length; `None` if it is incomplete.
///
/// # Errors
///
/// If it is malformed, or of another version of the protocol.
pub fn parse_startup(input: &[u8]) -> Result<Option<(StartupMessage, usize)>, FatalError> {
    let Some(length) = read_u32(input) else { return Ok(None) };
    let length = length as usize;
    if !(MIN_STARTUP_LENGTH..=MAX_STARTUP_LENGTH).contains(&length) {
        return Err(FatalError::StartupLength);
    }
    let Some(body) = input.get(LENGTH_BYTES..length) else { return Ok(None) };
    let word = |at: usize| read_u32(body.get(at..).unwrap_or_default());
    let message = match word(0) {
        Some(SSL_REQUEST_CODE | GSS_ENCRYPTION_REQUEST_CODE) => StartupMessage::Encryption,
        Some(CANCEL_REQUEST_CODE) => match (word(4), word(8)) {
            (Some(process), Some(secret)) => StartupMessage::Cancel(CancelKey { process, secret }),
            _ => return Err(FatalError::CancelRequestLayout),
        },
        Some(version) if version >> 16 == PROTOCOL_MAJOR => {
            if body.last() != Some(&0) {
                return Err(FatalError::StartupLayout);
            }
            StartupMessage::Session
        }
        _ => return Err(FatalError::UnsupportedProtocol),
    };
    Ok(Some((message, length)))
}

/// Parses the message of an open session at the front of `input`; `None` if it is incomplete.
///
/// # Errors
///
/// If its length is invalid or more than `max_length`, as soon as the length itself has been read: nothing of such a
/// message needs to be buffered.
pub fn parse(input: &[u8], max_length: usize) -> Result<Option<Message<'_>>, FatalError> {
    let (Some(kind), Some(length)) = (input.first(), read_u32(input.get(1..).unwrap_or_default())) else {
        return Ok(None);
    };
    let length = length as usize;
    if length < LENGTH_BYTES {
        return Err(FatalError::MessageLength);
    }
    if length > max_length {
        return Err(FatalError::MessageTooLong);
    }
    let body = input.get(1 + LENGTH_BYTES..1 + length);
    Ok(body.map(|body| Message { kind: *kind, body, length: 1 + length }))
}

fn read_u32(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?))
}

#[cfg(test)]
#[path = "../../../tests/unit/frontend.rs"]
mod tests;
