//! Encodes the result of a query in parts.

use super::backend;
use crate::query::Pages;

/// The part of a result that is not encoded yet. Pages are freed as soon as they are encoded.
pub struct ResultEncoder {
    /// The first word of the statement, for the command tag.
    command: String,
    pages: std::vec::IntoIter<Vec<u8>>,
    /// The page that is being encoded.
    page: Vec<u8>,
    /// Number of bytes at the start of `page` that are encoded.
    encoded_bytes: usize,
    rows: usize,
    has_description: bool,
}

impl ResultEncoder {
    /// Creates the encoder of a complete result. `command` is the first word of the statement.
    pub fn new(command: &str, pages: Pages) -> Self {
        let pages = pages.into_iter();
        let command = command.to_owned();
        ResultEncoder { command, pages, page: Vec::new(), encoded_bytes: 0, rows: 0, has_description: false }
    }

    /// Appends messages to `out` until it has at least `length` bytes or the result ends: the row description,
    /// the rows, the command tag, and that the session is ready. Returns whether the result has ended.
    pub fn encode(&mut self, out: &mut Vec<u8>, length: usize) -> bool {
        if !self.has_description {
            backend::row_description(out);
            self.has_description = true;
        }
        while out.len() < length {
            if self.encode_row(out) {
                continue;
            }
            let Some(page) = self.pages.next() else {
                backend::command_complete(out, &self.command, self.rows);
                backend::ready_for_query(out);
                return true;
            };
            self.page = page;
            self.encoded_bytes = 0;
        }
        false
    }

    /// Appends the next row of the current page. Returns false if the page has no more rows.
    fn encode_row(&mut self, out: &mut Vec<u8>) -> bool {
        let rest = &self.page[self.encoded_bytes..];
        if rest.is_empty() {
            return false;
        }
        let row_end = rest.iter().position(|byte| *byte == b'\n').unwrap_or(rest.len());
        backend::data_row(out, &rest[..row_end]);
        self.encoded_bytes += (row_end + 1).min(rest.len());
        self.rows += 1;
        true
    }
}
