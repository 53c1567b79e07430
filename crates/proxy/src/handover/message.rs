//! The messages between the two processes of an upgrade, one line each.

use crate::downstream::postgres::CancelKey;

/// Length of the longest line, in bytes.
pub const MAX_LINE_LENGTH: usize = 128;

/// Whether a request may run at the process that claims it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The other process has not run the request, and will not.
    Granted,
    /// The request is open at the other process, or may have run there.
    Denied,
    /// The other process did not answer in time.
    Unknown,
}

/// A message between the two processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// The sender is about to run a request with this id, which must not run twice.
    Claim {
        /// Repeated in the answer.
        sequence: u64,
        /// The id of the request.
        id: String,
    },
    /// The answer to a claim.
    Answer {
        /// The sequence number of the claim.
        sequence: u64,
        /// Whether the claim is granted.
        is_granted: bool,
    },
    /// A cancel request for a session that the sender does not have.
    Cancel(CancelKey),
}

/// A line is not a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed message from the other process of an upgrade")]
pub struct MalformedMessage;

impl Message {
    /// Appends the message to `out`.
    pub fn encode(&self, out: &mut Vec<u8>) {
        let line = match self {
            Message::Claim { sequence, id } => format!("claim {sequence} {id}\n"),
            Message::Answer { sequence, is_granted: true } => format!("granted {sequence}\n"),
            Message::Answer { sequence, is_granted: false } => format!("denied {sequence}\n"),
            Message::Cancel(key) => format!("cancel {} {}\n", key.process_id, key.secret_key),
        };
        out.extend_from_slice(line.as_bytes());
    }

    /// Parses a line without its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the line is not a message.
    pub fn parse(line: &[u8]) -> Result<Self, MalformedMessage> {
        let line = std::str::from_utf8(line).map_err(|_| MalformedMessage)?;
        let words: Vec<&str> = line.split(' ').collect();
        let number = |word: &str| word.parse::<u64>().map_err(|_| MalformedMessage);
        let key_part = |word: &str| word.parse::<u32>().map_err(|_| MalformedMessage);
        match *words.as_slice() {
            ["claim", sequence, id] => Ok(Message::Claim { sequence: number(sequence)?, id: id.to_owned() }),
            ["granted", sequence] => Ok(Message::Answer { sequence: number(sequence)?, is_granted: true }),
            ["denied", sequence] => Ok(Message::Answer { sequence: number(sequence)?, is_granted: false }),
            ["cancel", process_id, secret_key] => Ok(Message::Cancel(CancelKey {
                process_id: key_part(process_id)?,
                secret_key: key_part(secret_key)?,
            })),
            _ => Err(MalformedMessage),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/handover_message.rs"]
mod tests;
