//! Encodes the messages that clients receive, in version 3.0 of the PostgreSQL protocol. Each function
//! appends to a buffer.

use std::fmt::Display;
use std::io::Write as _;

use super::error::{FatalError, QueryError, SqlState};
use super::frontend::CancelKey;

/// Parameters that clients receive at the start of a session.
const SESSION_PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "15.0 (gaugestep)"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// The column names of every result.
const COLUMN_NAMES: [&str; 3] = ["column1", "column2", "column3"];
/// The object id of the type `text` in the PostgreSQL catalog.
const TEXT_TYPE_OID: u32 = 25;
/// The type size that marks a variable-length type.
const VARIABLE_TYPE_SIZE: i16 = -1;
/// The type modifier that marks a type without modifier.
const NO_TYPE_MODIFIER: i32 = -1;

/// The severity of an error message.
#[derive(Clone, Copy)]
enum Severity {
    /// The error ends the session.
    Fatal,
    /// The error ends the query; the session stays open.
    Error,
}

impl Severity {
    fn name(self) -> &'static str {
        match self {
            Severity::Fatal => "FATAL",
            Severity::Error => "ERROR",
        }
    }
}

/// Appends the messages that start a session: AuthenticationOk, ParameterStatus, BackendKeyData and
/// ReadyForQuery.
pub fn session_start(out: &mut Vec<u8>, key: CancelKey) {
    append_message(out, b'R', |out| out.extend_from_slice(&[0; 4]));
    for (name, value) in SESSION_PARAMETERS {
        append_message(out, b'S', |out| {
            append_string(out, name);
            append_string(out, value);
        });
    }
    append_message(out, b'K', |out| {
        out.extend_from_slice(&key.process_id.to_be_bytes());
        out.extend_from_slice(&key.secret_key.to_be_bytes());
    });
    ready_for_query(out);
}

/// Appends the response that rejects an encryption request.
pub fn encryption_rejected(out: &mut Vec<u8>) {
    out.push(b'N');
}

/// Appends ReadyForQuery, with the status that no transaction is open.
pub fn ready_for_query(out: &mut Vec<u8>) {
    append_message(out, b'Z', |out| out.push(b'I'));
}

/// Appends the response to an empty query.
pub fn empty_query_response(out: &mut Vec<u8>) {
    append_message(out, b'I', |_| {});
}

/// Appends an error that ends the session.
pub fn fatal_error(out: &mut Vec<u8>, error: FatalError) {
    append_error(out, Severity::Fatal, error.sql_state(), &error, None);
}

/// Appends an error that leaves the session open.
pub fn query_error(out: &mut Vec<u8>, error: &QueryError) {
    append_error(out, Severity::Error, error.sql_state(), error, error.hint());
}

/// Appends the description of the result's columns, all of which are of type `text`.
pub fn row_description(out: &mut Vec<u8>) {
    append_message(out, b'T', |out| {
        out.extend_from_slice(&(COLUMN_NAMES.len() as u16).to_be_bytes());
        for name in COLUMN_NAMES {
            append_string(out, name);
            // The column belongs to no table: table id and column number are 0.
            out.extend_from_slice(&[0; 6]);
            out.extend_from_slice(&TEXT_TYPE_OID.to_be_bytes());
            out.extend_from_slice(&VARIABLE_TYPE_SIZE.to_be_bytes());
            out.extend_from_slice(&NO_TYPE_MODIFIER.to_be_bytes());
            // Format code 0: text.
            out.extend_from_slice(&[0; 2]);
        }
    });
}

/// Appends a row, whose columns are separated by tabs.
pub fn data_row(out: &mut Vec<u8>, row: &[u8]) {
    append_message(out, b'D', |out| {
        let columns = row.split(|byte| *byte == b'\t');
        out.extend_from_slice(&(columns.clone().count() as u16).to_be_bytes());
        for column in columns {
            out.extend_from_slice(&(column.len() as u32).to_be_bytes());
            out.extend_from_slice(column);
        }
    });
}

/// Appends the command tag, such as `SELECT 3`. Commands other than those listed get the tag of `SELECT`.
pub fn command_complete(out: &mut Vec<u8>, command: &str, rows: usize) {
    let word = command.split(|c: char| !c.is_ascii_alphabetic()).next().unwrap_or("").to_ascii_uppercase();
    append_message(out, b'C', |out| {
        let tag = match word.as_str() {
            "INSERT" => format!("INSERT 0 {rows}"),
            "UPDATE" | "DELETE" | "COPY" | "MERGE" => format!("{word} {rows}"),
            _ => format!("SELECT {rows}"),
        };
        append_string(out, &tag);
    });
}

/// Appends an ErrorResponse message.
fn append_error(
    out: &mut Vec<u8>,
    severity: Severity,
    sql_state: SqlState,
    message: &dyn Display,
    hint: Option<&str>,
) {
    append_message(out, b'E', |out| {
        for (field, value) in [(b'S', severity.name()), (b'V', severity.name()), (b'C', sql_state.code())] {
            out.push(field);
            append_string(out, value);
        }
        out.push(b'M');
        write!(out, "{message}").expect("a write to a vector cannot fail");
        out.push(0);
        if let Some(hint) = hint {
            out.push(b'H');
            append_string(out, hint);
        }
        out.push(0);
    });
}

/// Appends a message: its kind, its length field, and the body that `append_body` appends.
fn append_message(out: &mut Vec<u8>, kind: u8, append_body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let length_start = out.len();
    out.extend_from_slice(&[0; 4]);
    append_body(out);
    let length = (out.len() - length_start) as u32;
    out[length_start..length_start + 4].copy_from_slice(&length.to_be_bytes());
}

/// Appends a zero-terminated string.
fn append_string(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}
