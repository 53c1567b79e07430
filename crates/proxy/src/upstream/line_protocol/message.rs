//! Parses the messages that engines send. A parsed message borrows from the buffer that it was read into.

use gaugestep_dispatch::interface::{Cost, LoadReport, ProgressReport};

use crate::termination::Termination;

/// Maximum length of the first line of a message, in bytes.
const MAX_LINE_LENGTH: usize = 4 * 1024;
/// The part of a malformed line that is logged.
const MAX_LOGGED_CHARACTERS: usize = 100;
/// Maximum length of a page, in bytes.
const MAX_PAGE_LENGTH: usize = 6_000;
/// Number of columns in each row of a page.
const COLUMNS_PER_ROW: usize = 3;
/// Reported numbers above this value are ignored as implausible.
const MAX_REPORTED_NUMBER: f64 = 1e9;
/// Byte sequence after the first line and after the body of a message.
const LINE_END: &[u8] = b"\r\n";

/// Why received bytes are not a valid message. The connection must be closed after such an error, because the
/// start of the next message is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The first line exceeds its maximum length.
    #[error("message line is longer than {MAX_LINE_LENGTH} bytes")]
    LineTooLong,
    /// The line or a page is not UTF-8.
    #[error("message is not UTF-8")]
    NotUtf8,
    /// The line does not consist of four words.
    #[error("message line does not consist of four words")]
    WordCount,
    /// The length of the body or another field is missing or not a whole number.
    #[error("field of a message is not a whole number")]
    MalformedNumber,
    /// The body exceeds the maximum length of a page.
    #[error("message body is longer than {MAX_PAGE_LENGTH} bytes")]
    BodyTooLong,
    /// No line end follows the body.
    #[error("message body is not followed by a line end")]
    BodyEnd,
    /// A page has an incomplete row, a row with a wrong number of columns, a control character, or no row
    /// where one is required.
    #[error("result page does not consist of complete rows of printable text")]
    MalformedPage,
    /// The message contradicts earlier messages, or its kind is unknown.
    #[error("unexpected message")]
    Unexpected,
    /// The result exceeds the maximum number of pages or bytes.
    #[error("result is too large")]
    ResultTooLarge,
}

impl From<MessageError> for Termination {
    fn from(_: MessageError) -> Self {
        Termination::Garbled
    }
}

/// The kind of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// The response to a health check.
    Pong,
    /// Progress of a running query.
    Progress,
    /// The first page of a result, with the number of pages.
    FirstPage,
    /// A page of a result after the first one.
    Page,
    /// The engine has no capacity for the query and has not run it.
    Shed,
    /// The query's time had passed before it ran.
    Late,
    /// The query failed.
    Fault,
    /// Any other kind.
    Unknown,
}

impl MessageKind {
    fn parse(word: &str) -> Self {
        match word {
            "PONG" => MessageKind::Pong,
            "INFO" => MessageKind::Progress,
            "HIT" => MessageKind::FirstPage,
            "PART" => MessageKind::Page,
            "SHED" => MessageKind::Shed,
            "LATE" => MessageKind::Late,
            "FAULT" => MessageKind::Fault,
            _ => MessageKind::Unknown,
        }
    }
}

/// A message, which borrows from the buffer that it was read into.
pub struct Message<'a> {
    /// Id of the request that the message concerns.
    pub id: &'a str,
    /// The kind of the message.
    pub kind: MessageKind,
    /// Length of the complete message in the buffer, in bytes.
    pub length: usize,
    /// Comma-separated `name=value` pairs.
    fields: &'a str,
    body: &'a [u8],
}

impl<'a> Message<'a> {
    /// Parses the message at the start of `input`. Returns `None` while the message is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if `input` does not begin with a valid message.
    pub fn parse(input: &'a [u8]) -> Result<Option<Self>, MessageError> {
        let line_end = input.windows(LINE_END.len()).take(MAX_LINE_LENGTH).position(|pair| pair == LINE_END);
        let Some(line_end) = line_end else {
            return if input.len() > MAX_LINE_LENGTH { Err(MessageError::LineTooLong) } else { Ok(None) };
        };
        let line = std::str::from_utf8(&input[..line_end]).map_err(|_| MessageError::NotUtf8)?;
        let mut words = line.split(' ');
        let (Some(id), Some(kind), Some(fields), Some(body_length), None) =
            (words.next(), words.next(), words.next(), words.next(), words.next())
        else {
            let line: String = line.chars().take(MAX_LOGGED_CHARACTERS).collect();
            tracing::warn!(line, "malformed message");
            return Err(MessageError::WordCount);
        };
        let body_length: usize = body_length.parse().map_err(|_| MessageError::MalformedNumber)?;
        if body_length > MAX_PAGE_LENGTH {
            return Err(MessageError::BodyTooLong);
        }
        let body_start = line_end + LINE_END.len();
        let body_end = body_start + body_length;
        let length = body_end + LINE_END.len();
        if input.len() < length {
            return Ok(None);
        }
        if &input[body_end..length] != LINE_END {
            return Err(MessageError::BodyEnd);
        }
        let kind = MessageKind::parse(kind);
        let body = &input[body_start..body_end];
        Ok(Some(Message { id, kind, length, fields, body }))
    }

    /// Number of pages of the result; `None` if the message does not contain it.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not a whole number.
    pub fn page_count(&self) -> Result<Option<usize>, MessageError> {
        self.whole_number("total")
    }

    /// Index of the page, counted from 0.
    ///
    /// # Errors
    ///
    /// Returns an error if it is missing or not a whole number.
    pub fn page_index(&self) -> Result<usize, MessageError> {
        self.whole_number("index")?.ok_or(MessageError::MalformedNumber)
    }

    /// A copy of the page in the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the page does not consist of complete rows of printable text. Invalid data must
    /// not reach a client as a result.
    pub fn page(&self) -> Result<Vec<u8>, MessageError> {
        let text = std::str::from_utf8(self.body).map_err(|_| MessageError::NotUtf8)?;
        let is_printable = text.chars().all(|c| !c.is_control() || c == '\t' || c == '\n');
        if is_printable && text.split_inclusive('\n').all(is_complete_row) {
            Ok(self.body.to_vec())
        } else {
            Err(MessageError::MalformedPage)
        }
    }

    /// The engine's load report; `None` if the message has none. Values that are not plausible numbers are
    /// omitted.
    pub fn load_report(&self) -> Option<LoadReport> {
        let mut load = LoadReport::default();
        let values = self.field("use")?.split(';').filter_map(|pair| pair.split_once(':'));
        for (name, value) in values {
            let value = parse_reported_number(value);
            match name {
                "rif" | "inflight" => load.in_flight = value,
                "q" | "queue" => load.queued = value,
                "busy" | "util" => load.core_utilization = value,
                "x0" => load.memory_utilization = value,
                _ => {}
            }
        }
        Some(load)
    }

    /// Resources that the query used; `None` if the message does not report the work.
    pub fn cost(&self) -> Option<Cost> {
        let work = self.number("elapsed")?;
        Some(Cost { work, memory_mb: self.number("rss").unwrap_or(0.0) })
    }

    /// The progress that the message reports; `None` if its kind is unknown.
    pub fn progress_report(&self) -> Option<ProgressReport> {
        /// Amount reported by a query that waits for a load of data; other amounts mean that it waits for
        /// memory.
        const WAITS_FOR_LOAD_AMOUNT: f64 = 2.0;
        let amount = self.number("datum").unwrap_or(0.0);
        match self.field("detail")? {
            "done" => Some(ProgressReport::Done(amount)),
            "spills" => Some(ProgressReport::Spills(amount)),
            "waits" if amount == WAITS_FOR_LOAD_AMOUNT => Some(ProgressReport::WaitsForLoad),
            "waits" => Some(ProgressReport::WaitsForMemory),
            _ => None,
        }
    }

    fn field(&self, name: &str) -> Option<&'a str> {
        let mut pairs = self.fields.split(',').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    fn number(&self, name: &str) -> Option<f64> {
        parse_reported_number(self.field(name)?)
    }

    fn whole_number(&self, name: &str) -> Result<Option<usize>, MessageError> {
        self.field(name).map(|text| text.parse().map_err(|_| MessageError::MalformedNumber)).transpose()
    }
}

/// Parses a reported number; `None` if it is not a number or not between 0 and [`MAX_REPORTED_NUMBER`].
fn parse_reported_number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number| (0.0..=MAX_REPORTED_NUMBER).contains(number))
}

fn is_complete_row(row: &str) -> bool {
    let separators = row.bytes().filter(|byte| *byte == b'\t').count();
    row.ends_with('\n') && separators == COLUMNS_PER_ROW - 1
}

#[cfg(test)]
#[path = "../../../tests/unit/upstream_message.rs"]
mod tests;
