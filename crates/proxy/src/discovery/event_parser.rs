//! Parses the text of a stream into server-sent events.

/// Maximum length of an event, in bytes, however much memory the proxy has.
pub const MAX_EVENT_LENGTH: usize = 4 * 1024 * 1024;

/// A complete server-sent event.
#[derive(Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Value of the field `id`; `None` if it is missing or not a number.
    pub id: Option<u64>,
    /// Values of the `data` fields, joined with line feeds.
    pub data: String,
}

/// An event exceeds the maximum length, which is given in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event is longer than {0} bytes")]
pub struct EventTooLong(pub usize);

/// Parses a stream of events incrementally.
#[derive(Default)]
pub struct EventParser {
    /// Received text. After [`EventParser::next_event`] has returned `None`, it holds only an incomplete
    /// line.
    text: Vec<u8>,
    /// Number of bytes at the start of `text` that have been parsed.
    parsed_bytes: usize,
    /// Number of bytes at the start of `text` that contain no unparsed line end.
    searched_bytes: usize,
    incomplete: IncompleteEvent,
}

/// The fields of an event whose end has not been received.
#[derive(Default)]
struct IncompleteEvent {
    id: Option<u64>,
    data: String,
}

impl EventParser {
    /// Returns the buffer to which received text is appended.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.text
    }

    /// Returns the next complete event, or `None` if more text is required.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        loop {
            let start = self.parsed_bytes.max(self.searched_bytes);
            let Some(offset) = self.text[start..].iter().position(|byte| *byte == b'\n') else {
                self.discard_parsed();
                return None;
            };
            let line_end = start + offset;
            let line = &self.text[self.parsed_bytes..line_end];
            let line = String::from_utf8_lossy(line.strip_suffix(b"\r").unwrap_or(line));
            let event = self.incomplete.on_line(&line);
            self.parsed_bytes = line_end + 1;
            if event.is_some() {
                return event;
            }
        }
    }

    /// Checks the length of the incomplete event.
    ///
    /// # Errors
    ///
    /// Returns an error if it exceeds `max_length` bytes.
    pub fn check_length(&self, max_length: usize) -> Result<(), EventTooLong> {
        let length = self.text.len() + self.incomplete.data.len();
        if length > max_length { Err(EventTooLong(max_length)) } else { Ok(()) }
    }

    fn discard_parsed(&mut self) {
        self.text.drain(..self.parsed_bytes);
        self.parsed_bytes = 0;
        self.searched_bytes = self.text.len();
    }
}

impl IncompleteEvent {
    /// Handles a line, which is given without its line end. An empty line completes the event; an event
    /// without data is discarded.
    fn on_line(&mut self, line: &str) -> Option<StreamEvent> {
        if line.is_empty() {
            let IncompleteEvent { id, data } = std::mem::take(self);
            return (!data.is_empty()).then_some(StreamEvent { id, data });
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => self.id = value.trim().parse().ok(),
            "data" => {
                if !self.data.is_empty() {
                    self.data.push('\n');
                }
                self.data.push_str(value);
            }
            // Comments and unused fields.
            _ => {}
        }
        None
    }
}

#[cfg(test)]
#[path = "../../tests/unit/event_parser.rs"]
mod tests;
