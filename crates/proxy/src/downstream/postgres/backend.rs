//! Messages that clients are sent, in version 3.0 of the PostgreSQL protocol. Each function appends to a buffer.

use std::fmt::Display;
use std::io::Write as _;

use super::error::{FatalError, QueryError, SqlState};
use super::frontend::CancelKey;
use crate::query::Pages;

/// Parameters of the session that clients are informed of as it starts.
const SESSION_PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "15.0 (gaugestep)"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// The columns of every result.
const COLUMN_NAMES: [&str; 3] = ["column1", "column2", "column3"];
/// The type `text` in the catalog of PostgreSQL.
const TEXT_TYPE_OID: u32 = 25;
/// The size of a type of variable length.
const VARIABLE_LENGTH: i16 = -1;
/// No modifier of a type.
const NO_TYPE_MODIFIER: i32 = -1;

/// What an error ends.
#[derive(Clone, Copy)]
enum Severity {
    Fatal,
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

/// Appends all that starts a session: authentication, parameters, the key to cancel queries with, ready for a query.
pub fn session_start(out: &mut Vec<u8>, key: CancelKey) {
    put_message(out, b'R', |out| out.extend_from_slice(&[0; 4]));
    for (name, value) in SESSION_PARAMETERS {
        put_message(out, b'S', |out| {
            put_string(out, name);
            put_string(out, value);
        });
    }
    put_message(out, b'K', |out| {
        out.extend_from_slice(&key.process.to_be_bytes());
        out.extend_from_slice(&key.secret.to_be_bytes());
    });
    ready_for_query(out);
}

/// Appends the reply to a request for encryption: there is none.
pub fn encryption_declined(out: &mut Vec<u8>) {
    out.push(b'N');
}

/// Appends that the session is ready for a query, with no transaction open.
pub fn ready_for_query(out: &mut Vec<u8>) {
    put_message(out, b'Z', |out| out.push(b'I'));
}

/// Appends the reply to an empty query.
pub fn empty_query_response(out: &mut Vec<u8>) {
    put_message(out, b'I', |_| {});
}

/// Appends an error that ends the session.
pub fn fatal_error(out: &mut Vec<u8>, error: FatalError) {
    put_error(out, Severity::Fatal, error.sql_state(), &error, None);
}

/// Appends an error that leaves the session open.
pub fn query_error(out: &mut Vec<u8>, error: &QueryError) {
    put_error(out, Severity::Error, error.sql_state(), error, error.hint());
}

/// Appends a result: its columns, its rows and the tag that names the command.
pub fn result(out: &mut Vec<u8>, command: &str, pages: &Pages) {
    row_description(out);
    let mut rows = 0;
    for row in pages.iter().flat_map(|page| page.split_inclusive(|byte| *byte == b'\n')) {
        data_row(out, row.strip_suffix(b"\n").unwrap_or(row));
        rows += 1;
    }
    command_complete(out, command, rows);
}

fn row_description(out: &mut Vec<u8>) {
    put_message(out, b'T', |out| {
        out.extend_from_slice(&(COLUMN_NAMES.len() as u16).to_be_bytes());
        for name in COLUMN_NAMES {
            put_string(out, name);
            // No table and no number in it.
            out.extend_from_slice(&[0; 6]);
            out.extend_from_slice(&TEXT_TYPE_OID.to_be_bytes());
            out.extend_from_slice(&VARIABLE_LENGTH.to_be_bytes());
            out.extend_from_slice(&NO_TYPE_MODIFIER.to_be_bytes());
            // Text format.
            out.extend_from_slice(&[0; 2]);
        }
    });
}

fn data_row(out: &mut Vec<u8>, row: &[u8]) {
    put_message(out, b'D', |out| {
        let columns = row.split(|byte| *byte == b'\t');
        out.extend_from_slice(&(columns.clone().count() as u16).to_be_bytes());
        for column in columns {
            out.extend_from_slice(&(column.len() as u32).to_be_bytes());
            out.extend_from_slice(column);
        }
    });
}

fn command_complete(out: &mut Vec<u8>, command: &str, rows: usize) {
    let word = command.split(|c: char| !c.is_ascii_alphabetic()).next().unwrap_or("").to_ascii_uppercase();
    put_message(out, b'C', |out| {
        let tag = match word.as_str() {
            "INSERT" => format!("INSERT 0 {rows}"),
            "UPDATE" | "DELETE" | "COPY" | "MERGE" => format!("{word} {rows}"),
            _ => format!("SELECT {rows}"),
        };
        put_string(out, &tag);
    });
}

fn put_error(
    out: &mut Vec<u8>,
    severity: Severity,
    sql_state: SqlState,
    message: &dyn Display,
    hint: Option<&str>,
) {
    put_message(out, b'E', |out| {
        for (field, value) in [(b'S', severity.name()), (b'V', severity.name()), (b'C', sql_state.code())] {
            out.push(field);
            put_string(out, value);
        }
        out.push(b'M');
        write!(out, "{message}").expect("a write to a vector cannot fail");
        out.push(0);
        if let Some(hint) = hint {
            out.push(b'H');
            put_string(out, hint);
        }
        out.push(0);
    });
}

/// Appends a message of this kind, with the length of what `body` appends ahead of it.
fn put_message(out: &mut Vec<u8>, kind: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let length_at = out.len();
    out.extend_from_slice(&[0; 4]);
    body(out);
    let length = (out.len() - length_at) as u32;
    out[length_at..length_at + 4].copy_from_slice(&length.to_be_bytes());
}

/// Appends a zero-terminated string.
fn put_string(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}
