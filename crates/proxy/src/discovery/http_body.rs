//! Parses the head of an HTTP response and decodes its body.

/// Maximum length of the head of a response, in bytes.
const MAX_HEAD_LENGTH: usize = 16 * 1024;
/// Maximum length of a chunk, in bytes.
const MAX_CHUNK_LENGTH: u64 = 4 * 1024 * 1024;
/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 32;
/// Length of the line end after each chunk, in bytes.
const LINE_END_LENGTH: usize = 2;
/// Status of a response whose body is the stream of events.
const STATUS_OK: u16 = 200;

/// Why a response cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// The head is malformed.
    #[error(transparent)]
    MalformedHead(#[from] httparse::Error),
    /// The head exceeds [`MAX_HEAD_LENGTH`].
    #[error("head of the response is longer than {MAX_HEAD_LENGTH} bytes")]
    HeadTooLong,
    /// The status is not 200.
    #[error("response has status {0}")]
    Status(u16),
    /// A chunk of the body is malformed or too long.
    #[error("chunk of the response body is malformed or too long")]
    MalformedChunk,
}

/// The head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Length of the head in bytes.
    pub length: usize,
    /// Whether the body has chunked transfer encoding.
    pub is_chunked: bool,
}

impl ResponseHead {
    /// Parses the head at the start of `input`. Returns `None` while the head is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is malformed or too long, or if the status is not 200.
    pub fn parse(input: &[u8]) -> Result<Option<Self>, ResponseError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(input)? {
            httparse::Status::Complete(length) => length,
            httparse::Status::Partial if input.len() > MAX_HEAD_LENGTH => {
                return Err(ResponseError::HeadTooLong);
            }
            httparse::Status::Partial => return Ok(None),
        };
        match response.code {
            Some(STATUS_OK) => {}
            code => return Err(ResponseError::Status(code.unwrap_or(0))),
        }
        let is_chunked = response.headers.iter().any(|header| {
            header.name.eq_ignore_ascii_case("transfer-encoding")
                && header.value.to_ascii_lowercase().windows(b"chunked".len()).any(|part| part == b"chunked")
        });
        Ok(Some(ResponseHead { length, is_chunked }))
    }
}

/// Whether more of a body is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyState {
    /// More of the body is expected.
    Open,
    /// The end of the body has been received.
    Ended,
}

/// Decodes a body incrementally.
pub enum BodyDecoder {
    /// A body that extends to the end of the connection.
    Plain,
    /// A body with chunked transfer encoding.
    Chunked {
        /// Number of bytes of the current chunk and its line end that have not been decoded.
        remaining: usize,
    },
}

impl BodyDecoder {
    /// Creates the decoder for the body after this head.
    pub fn new(head: ResponseHead) -> Self {
        if head.is_chunked { BodyDecoder::Chunked { remaining: 0 } } else { BodyDecoder::Plain }
    }

    /// Moves the received part of the body from `input` to `text`, without its chunk framing.
    ///
    /// # Errors
    ///
    /// Returns an error if a chunk is malformed or too long.
    pub fn decode(&mut self, input: &mut Vec<u8>, text: &mut Vec<u8>) -> Result<BodyState, ResponseError> {
        match self {
            BodyDecoder::Plain => {
                text.append(input);
                Ok(BodyState::Open)
            }
            BodyDecoder::Chunked { remaining } => decode_chunks(remaining, input, text),
        }
    }
}

/// Decodes the chunks that have been received; `remaining` is as in [`BodyDecoder::Chunked`].
fn decode_chunks(
    remaining: &mut usize,
    input: &mut Vec<u8>,
    text: &mut Vec<u8>,
) -> Result<BodyState, ResponseError> {
    loop {
        if *remaining > 0 {
            let available = input.len().min(*remaining);
            let data_length = available.min(remaining.saturating_sub(LINE_END_LENGTH));
            text.extend_from_slice(&input[..data_length]);
            input.drain(..available);
            *remaining -= available;
            if *remaining > 0 {
                return Ok(BodyState::Open);
            }
        }
        match httparse::parse_chunk_size(input) {
            Ok(httparse::Status::Complete((_, 0))) => return Ok(BodyState::Ended),
            Ok(httparse::Status::Complete((head_length, size))) if size <= MAX_CHUNK_LENGTH => {
                input.drain(..head_length);
                *remaining = size as usize + LINE_END_LENGTH;
            }
            Ok(httparse::Status::Partial) => return Ok(BodyState::Open),
            _ => return Err(ResponseError::MalformedChunk),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/http_body.rs"]
mod tests;
