//! Parses the messages that databases send. A message is a slice of the buffer that it was read into.

use gaugestep_dispatch::interface::{Cost, LoadReport, ProgressReport};

use crate::termination::Termination;

/// The longest line that a database may send, in bytes.
const MAX_LINE_LENGTH: usize = 4 * 1024;
/// The longest page, in bytes.
const MAX_PAGE_LENGTH: usize = 6_000;
/// The columns of each row of a page.
const COLUMNS_PER_ROW: usize = 3;
/// Reported figures above this one are ignored as noise.
const MAX_FIGURE: f64 = 1e9;
/// What ends a line, and the body of a message.
const LINE_END: &[u8] = b"\r\n";

/// Why bytes are no valid message. The connection cannot be used any more, as nobody knows where the next one begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The first line does not end within its maximum length.
    #[error("a line is longer than {MAX_LINE_LENGTH} bytes")]
    LineTooLong,
    /// The line or a page is not UTF-8.
    #[error("text is not UTF-8")]
    NotUtf8,
    /// The line does not consist of four words.
    #[error("a line does not have four words")]
    WordCount,
    /// The length of the body, or another whole number, is not one.
    #[error("a whole number is malformed")]
    MalformedNumber,
    /// The body is longer than a page may be.
    #[error("a body is longer than {MAX_PAGE_LENGTH} bytes")]
    BodyTooLong,
    /// The body does not end where its length says.
    #[error("a body has no line end behind it")]
    BodyEnd,
    /// A page does not consist of complete rows of printable text.
    #[error("a page is not made of complete rows")]
    MalformedPage,
    /// The message contradicts what was sent before, or is of no known kind.
    #[error("a message is not expected here")]
    Unexpected,
    /// The result has more pages, or more bytes, than a result may have.
    #[error("a result is too large")]
    ResultTooLarge,
}

impl From<MessageError> for Termination {
    fn from(_: MessageError) -> Self {
        Termination::Garbled
    }
}

/// What a message reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// The reply to a health check.
    Pong,
    /// Progress of a running query.
    Progress,
    /// The first page of a result, and the number of its pages.
    FirstPage,
    /// A further page.
    Page,
    /// The database has no capacity for the query.
    Shed,
    /// The query's time was over before it ran.
    Late,
    /// The query failed.
    Fault,
    /// None of these.
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

/// One message, in the buffer that it was read into.
pub struct Message<'a> {
    /// The request that it is about.
    pub id: &'a str,
    /// What it reports.
    pub kind: MessageKind,
    /// The length of the message in the buffer, in bytes.
    pub length: usize,
    fields: &'a str,
    body: &'a [u8],
}

impl<'a> Message<'a> {
    /// Parses the first message in `input`. Returns none while it is incomplete.
    ///
    /// # Errors
    ///
    /// If `input` does not begin with a valid message.
    pub fn parse(input: &'a [u8]) -> Result<Option<Self>, MessageError> {
        let line_end = input.windows(LINE_END.len()).take(MAX_LINE_LENGTH).position(|pair| pair == LINE_END);
        let Some(line_end) = line_end else {
            return if input.len() > MAX_LINE_LENGTH { Err(MessageError::LineTooLong) } else { Ok(None) };
        };
        let line = std::str::from_utf8(&input[..line_end]).map_err(|_| MessageError::NotUtf8)?;
        let mut words = line.split(' ');
        let (Some(id), Some(word), Some(fields), Some(length), None) =
            (words.next(), words.next(), words.next(), words.next(), words.next())
        else {
            tracing::warn!(line, "malformed message");
            return Err(MessageError::WordCount);
        };
        let body_length: usize = length.parse().map_err(|_| MessageError::MalformedNumber)?;
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
        let kind = MessageKind::parse(word);
        Ok(Some(Message { id, kind, length, fields, body: &input[body_start..body_end] }))
    }

    /// The number of pages of the result; none if the message does not say.
    ///
    /// # Errors
    ///
    /// If it is not a whole number.
    pub fn page_count(&self) -> Result<Option<usize>, MessageError> {
        self.whole_number("total")
    }

    /// The index of the page, counted from 0.
    ///
    /// # Errors
    ///
    /// If it is missing or not a whole number.
    pub fn page_index(&self) -> Result<usize, MessageError> {
        self.whole_number("index")?.ok_or(MessageError::MalformedNumber)
    }

    /// A copy of the page that the message carries.
    ///
    /// # Errors
    ///
    /// If it does not consist of complete rows of printable text: clients never get noise for a result.
    pub fn page(&self) -> Result<Vec<u8>, MessageError> {
        let text = std::str::from_utf8(self.body).map_err(|_| MessageError::NotUtf8)?;
        let is_printable = text.chars().all(|c| !c.is_control() || c == '\t' || c == '\n');
        if is_printable && text.split_inclusive('\n').all(is_complete_row) {
            Ok(self.body.to_vec())
        } else {
            Err(MessageError::MalformedPage)
        }
    }

    /// The database's load, if the message reports it.
    pub fn load(&self) -> Option<LoadReport> {
        let mut load = LoadReport::default();
        for (name, value) in self.field("use")?.split(';').filter_map(|pair| pair.split_once(':')) {
            let value = parse_figure(value);
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

    /// What the query used, if the message reports it.
    pub fn cost(&self) -> Option<Cost> {
        let work = self.figure("elapsed")?;
        Some(Cost { work, memory_mb: self.figure("rss").unwrap_or(0.0) })
    }

    /// The progress that the message reports; none if it is of no known kind.
    pub fn progress_report(&self) -> Option<ProgressReport> {
        /// The amount by which a waiting query says that it waits for a load of data, not for memory.
        const WAITS_FOR_LOAD: f64 = 2.0;
        let amount = self.figure("datum").unwrap_or(0.0);
        match self.field("detail")? {
            "done" => Some(ProgressReport::Done(amount)),
            "spills" => Some(ProgressReport::Spills(amount)),
            "waits" if amount == WAITS_FOR_LOAD => Some(ProgressReport::WaitsForLoad),
            "waits" => Some(ProgressReport::WaitsForMemory),
            _ => None,
        }
    }

    fn field(&self, name: &str) -> Option<&'a str> {
        let mut pairs = self.fields.split(',').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    fn figure(&self, name: &str) -> Option<f64> {
        parse_figure(self.field(name)?)
    }

    fn whole_number(&self, name: &str) -> Result<Option<usize>, MessageError> {
        self.field(name).map(|text| text.parse().map_err(|_| MessageError::MalformedNumber)).transpose()
    }
}

/// A reported figure; none if it is out of range or not a number.
fn parse_figure(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number| (0.0..=MAX_FIGURE).contains(number))
}

fn is_complete_row(row: &str) -> bool {
    let separators = row.bytes().filter(|byte| *byte == b'\t').count();
    row.ends_with('\n') && separators == COLUMNS_PER_ROW - 1
}

#[cfg(test)]
#[path = "../../../tests/unit/upstream_message.rs"]
mod tests;
