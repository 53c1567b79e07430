//! Messages of the PostgreSQL protocol, version 3.0.

use crate::query::Pages;

/// The max_length start-up message.
const MAX_STARTUP_LENGTH: usize = 10_000;

/// Codes that stand in place of a version.
const CANCEL_REQUEST_CODE: u32 = 80_877_102;
const SSL_REQUEST_CODE: u32 = 80_877_103;
const GSS_ENCRYPTION_REQUEST_CODE: u32 = 80_877_104;

/// The first message on a connection.
#[derive(Debug, PartialEq)]
pub enum StartupMessage {
    /// A session begins.
    Session,
    /// The client asks for encryption.
    Encryption,
    /// Calls off what runs in another session.
    Cancel { process: u32, secret: u32 },
}

/// A message of an open session, in the buffer that it was read into.
#[derive(Debug, PartialEq)]
pub struct Message<'a> {
    /// Its kind.
    pub kind: u8,
    /// What it holds.
    pub body: &'a [u8],
    /// Bytes of the whole.
    pub length: usize,
}

/// Why a message cannot be read: code and text.
pub type Malformed = (&'static str, &'static str);

fn be32(bytes: &[u8]) -> Option<u32> {
    Some(u32::from_be_bytes(bytes.get(..4)?.try_into().ok()?))
}

/// The first message in `input`, if it is whole, and its length.
pub fn parse_startup(input: &[u8]) -> Result<Option<(StartupMessage, usize)>, Malformed> {
    let Some(length) = be32(input) else { return Ok(None) };
    let length = length as usize;
    if !(8..=MAX_STARTUP_LENGTH).contains(&length) {
        return Err(("08P01", "invalid length of startup packet"));
    }
    let Some(body) = input.get(4..length) else { return Ok(None) };
    let word = |at: usize| be32(body.get(at..).unwrap_or_default());
    let start = match word(0) {
        Some(SSL_REQUEST_CODE | GSS_ENCRYPTION_REQUEST_CODE) => StartupMessage::Encryption,
        Some(CANCEL_REQUEST_CODE) => match (word(4), word(8)) {
            (Some(process), Some(secret)) => StartupMessage::Cancel { process, secret },
            _ => return Err(("08P01", "invalid cancel request")),
        },
        Some(version) if version >> 16 == 3 => {
            if body.last() != Some(&0) {
                return Err(("08P01", "invalid startup packet layout: expected terminator as last byte"));
            }
            StartupMessage::Session
        }
        _ => return Err(("0A000", "unsupported frontend protocol: this server supports 3.0")),
    };
    Ok(Some((start, length)))
}

/// The first message of an open session in `input`, if it is whole. One longer than `max_length` is an error as soon as
/// its length is read: nothing of it is kept.
pub fn parse(input: &[u8], max_length: usize) -> Result<Option<Message<'_>>, Malformed> {
    let (Some(kind), Some(length)) = (input.first(), be32(input.get(1..).unwrap_or_default())) else {
        return Ok(None);
    };
    let length = length as usize;
    if length < 4 {
        return Err(("08P01", "invalid message length"));
    }
    if length > max_length {
        return Err(("54000", "message too long"));
    }
    let body = input.get(5..1 + length);
    Ok(body.map(|body| Message { kind: *kind, body, length: 1 + length }))
}

/// Adds a message to `out`.
fn put_message(out: &mut Vec<u8>, kind: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let at = out.len();
    out.extend_from_slice(&[0; 4]);
    body(out);
    let length = (out.len() - at) as u32;
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

fn put_string(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

/// What opens a session.
pub fn session_start(out: &mut Vec<u8>, process: u32, secret: u32) {
    put_message(out, b'R', |out| out.extend_from_slice(&[0; 4]));
    let parameters = [
        ("server_version", "15.0 (gaugestep)"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        put_message(out, b'S', |out| {
            put_string(out, name);
            put_string(out, value);
        });
    }
    put_message(out, b'K', |out| {
        out.extend_from_slice(&process.to_be_bytes());
        out.extend_from_slice(&secret.to_be_bytes());
    });
    ready_for_query(out);
}

/// The session waits for a query.
pub fn ready_for_query(out: &mut Vec<u8>) {
    put_message(out, b'Z', |out| out.push(b'I'));
}

/// The answer to an empty query.
pub fn empty_query_response(out: &mut Vec<u8>) {
    put_message(out, b'I', |_| {});
}

/// An error; a fatal one ends the session.
pub fn error(out: &mut Vec<u8>, fatal: bool, code: &str, message: &str) {
    error_with_hint(out, fatal, code, message, None);
}

/// The same, with a hint at what is behind it.
pub fn error_with_hint(out: &mut Vec<u8>, fatal: bool, code: &str, message: &str, hint: Option<&str>) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    put_message(out, b'E', |out| {
        for (field, value) in [(b'S', severity), (b'V', severity), (b'C', code), (b'M', message)] {
            out.push(field);
            put_string(out, value);
        }
        if let Some(hint) = hint {
            out.push(b'H');
            put_string(out, hint);
        }
        out.push(0);
    });
}

/// A whole result.
pub fn result(out: &mut Vec<u8>, statement: &str, pages: &Pages) {
    put_message(out, b'T', |out| {
        out.extend_from_slice(&3u16.to_be_bytes());
        for name in ["column1", "column2", "column3"] {
            put_string(out, name);
            out.extend_from_slice(&[0; 6]);
            // Type text, of any length, in text form.
            out.extend_from_slice(&25u32.to_be_bytes());
            out.extend_from_slice(&(-1i16).to_be_bytes());
            out.extend_from_slice(&(-1i32).to_be_bytes());
            out.extend_from_slice(&[0; 2]);
        }
    });
    let mut rows = 0;
    for row in pages.iter().flat_map(|page| page.split_inclusive(|byte| *byte == b'\n')) {
        let row = row.strip_suffix(b"\n").unwrap_or(row);
        rows += 1;
        put_message(out, b'D', |out| {
            let columns = row.split(|byte| *byte == b'\t');
            out.extend_from_slice(&(columns.clone().count() as u16).to_be_bytes());
            for column in columns {
                out.extend_from_slice(&(column.len() as u32).to_be_bytes());
                out.extend_from_slice(column);
            }
        });
    }
    let word = statement.split(|c: char| !c.is_ascii_alphabetic()).next().unwrap_or("").to_ascii_uppercase();
    put_message(out, b'C', |out| {
        let tag = match word.as_str() {
            "INSERT" => format!("INSERT 0 {rows}"),
            "UPDATE" | "DELETE" | "COPY" | "MERGE" => format!("{word} {rows}"),
            _ => format!("SELECT {rows}"),
        };
        put_string(out, &tag);
    });
}
