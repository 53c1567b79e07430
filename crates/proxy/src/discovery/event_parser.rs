//! Parses server-sent events from the text of a stream.

/// The longest event, in bytes.
const MAX_EVENT_LENGTH: usize = 4 * 1024 * 1024;

/// An event that has come in full.
#[derive(Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its id, if it has one that is a number.
    pub id: Option<u64>,
    /// Its data; lines are separated by line feeds.
    pub data: String,
}

/// An event is longer than [`MAX_EVENT_LENGTH`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_LENGTH} bytes")]
pub struct EventTooLong;

/// Parses a stream of events as it comes.
#[derive(Default)]
pub struct EventParser {
    /// Text that has not been parsed: an incomplete line, once [`EventParser::next_event`] has returned none.
    text: Vec<u8>,
    /// Bytes at the front of `text` that have been parsed.
    parsed: usize,
    /// Bytes of `text` in which no further line end has to be looked for.
    searched: usize,
    incomplete: IncompleteEvent,
}

/// The fields of an event that have come so far.
#[derive(Default)]
struct IncompleteEvent {
    id: Option<u64>,
    data: String,
}

impl EventParser {
    /// The buffer that further text is appended to.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.text
    }

    /// The next complete event; none until more text has come.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        loop {
            let start = self.parsed.max(self.searched);
            let Some(length) = self.text[start..].iter().position(|byte| *byte == b'\n') else {
                self.discard_parsed();
                return None;
            };
            let line = &self.text[self.parsed..start + length];
            let line = String::from_utf8_lossy(line.strip_suffix(b"\r").unwrap_or(line));
            let event = self.incomplete.on_line(&line);
            self.parsed = start + length + 1;
            if event.is_some() {
                return event;
            }
        }
    }

    /// Checks that the incomplete event has not become too long.
    ///
    /// # Errors
    ///
    /// If it has.
    pub fn check_length(&self) -> Result<(), EventTooLong> {
        let length = self.text.len() + self.incomplete.data.len();
        if length > MAX_EVENT_LENGTH { Err(EventTooLong) } else { Ok(()) }
    }

    fn discard_parsed(&mut self) {
        self.text.drain(..self.parsed);
        self.parsed = 0;
        self.searched = self.text.len();
    }
}

impl IncompleteEvent {
    /// Handles a line without its end. An empty one completes an event.
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
            // Comments, and fields that are not used.
            _ => {}
        }
        None
    }
}
