//! Parses the head of an HTTP response, and the chunks of its body.

/// The longest head of a response, in bytes.
const MAX_HEAD_LENGTH: usize = 16 * 1024;
/// The longest chunk, in bytes.
const MAX_CHUNK_LENGTH: u64 = 4 * 1024 * 1024;
/// The most headers of a response.
const MAX_HEADERS: usize = 32;
/// The length of the line end behind each chunk.
const LINE_END_LENGTH: usize = 2;
/// The status of a response that has the stream for its body.
const STATUS_OK: u16 = 200;

/// Why a response cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// Its head is malformed.
    #[error(transparent)]
    MalformedHead(#[from] httparse::Error),
    /// Its head is longer than [`MAX_HEAD_LENGTH`].
    #[error("the head of the response is longer than {MAX_HEAD_LENGTH} bytes")]
    HeadTooLong,
    /// It has another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// A chunk of its body is malformed or too long.
    #[error("a malformed chunk")]
    MalformedChunk,
}

/// The head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Its length in bytes.
    pub length: usize,
    /// Whether the body comes in chunks.
    pub is_chunked: bool,
}

impl ResponseHead {
    /// Parses the head at the front of `input`. Returns none while it is incomplete.
    ///
    /// # Errors
    ///
    /// If the head is malformed or too long, or has another status than 200.
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

/// Whether a body goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyState {
    /// More is to come.
    Open,
    /// Its end has come.
    Ended,
}

/// Decodes a body as it comes.
pub enum BodyDecoder {
    /// A body that goes on until the connection ends.
    Plain,
    /// A body in chunks.
    Chunked {
        /// Bytes of the current chunk and its line end that are still to come.
        left: usize,
    },
}

impl BodyDecoder {
    /// The decoder of the body behind this head.
    pub fn new(head: ResponseHead) -> Self {
        if head.is_chunked { BodyDecoder::Chunked { left: 0 } } else { BodyDecoder::Plain }
    }

    /// Moves what has come of the body from `input` to `text`.
    ///
    /// # Errors
    ///
    /// If a chunk is malformed or too long.
    pub fn decode(&mut self, input: &mut Vec<u8>, text: &mut Vec<u8>) -> Result<BodyState, ResponseError> {
        match self {
            BodyDecoder::Plain => {
                text.append(input);
                Ok(BodyState::Open)
            }
            BodyDecoder::Chunked { left } => decode_chunks(left, input, text),
        }
    }
}

fn decode_chunks(
    left: &mut usize,
    input: &mut Vec<u8>,
    text: &mut Vec<u8>,
) -> Result<BodyState, ResponseError> {
    loop {
        if *left > 0 {
            let available = input.len().min(*left);
            let data = available.min(left.saturating_sub(LINE_END_LENGTH));
            text.extend_from_slice(&input[..data]);
            input.drain(..available);
            *left -= available;
            if *left > 0 {
                return Ok(BodyState::Open);
            }
        }
        match httparse::parse_chunk_size(input) {
            Ok(httparse::Status::Complete((_, 0))) => return Ok(BodyState::Ended),
            Ok(httparse::Status::Complete((head, size))) if size <= MAX_CHUNK_LENGTH => {
                input.drain(..head);
                *left = size as usize + LINE_END_LENGTH;
            }
            Ok(httparse::Status::Partial) => return Ok(BodyState::Open),
            _ => return Err(ResponseError::MalformedChunk),
        }
    }
}
