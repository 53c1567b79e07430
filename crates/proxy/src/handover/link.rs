//! The connection to the other process of an upgrade.

use std::io::{self, Read as _, Write as _};
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use may::io::{CoIo, WaitIo as _, WaitIoWaker};

use super::claims::PendingClaims;
use super::message::{ClaimAnswer, MAX_LINE_LENGTH, MalformedMessage, Message};
use crate::lock;

/// Number of bytes that one read returns.
const READ_LENGTH: usize = 4 * 1024;
/// Unwritten output above which the other process counts as ended, because it does not read.
const MAX_PENDING_BYTES: usize = 1024 * 1024;

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The other process sent something else than messages.
    #[error(transparent)]
    Malformed(#[from] MalformedMessage),
}

/// An open connection to the other process. Any coroutine sends messages; one coroutine owns the socket.
pub struct Link {
    out: Mutex<Vec<u8>>,
    claims: Mutex<PendingClaims>,
    waker: WaitIoWaker,
}

impl Link {
    /// Creates the link on a connection.
    pub fn new(stream: &CoIo<UnixStream>) -> Self {
        Link { out: Mutex::default(), claims: Mutex::default(), waker: stream.waker() }
    }

    /// Sends a message.
    pub fn send(&self, message: &Message) {
        message.encode(&mut lock(&self.out));
        self.waker.wakeup();
    }

    /// Claims a request for this process. Blocks the coroutine until the other process has answered, or the time
    /// for that is over.
    pub fn claim(&self, id: &str) -> ClaimAnswer {
        let (sender, answer) = may::sync::mpsc::channel();
        let sequence = lock(&self.claims).add(id, Instant::now(), sender);
        self.send(&Message::Claim { sequence, id: id.to_owned() });
        answer.recv().unwrap_or(ClaimAnswer::Unknown)
    }

    /// Whether this process claims a request with this id now.
    pub fn is_claiming(&self, id: &str) -> bool {
        lock(&self.claims).contains(id)
    }

    /// Answers the claims that are overdue.
    pub fn expire_claims(&self) {
        lock(&self.claims).expire(Instant::now());
    }

    /// Runs the link until it ends; blocks its coroutine. Calls `on_message` for each message but answers to
    /// claims.
    pub fn run(
        &self,
        stream: &Arc<CoIo<UnixStream>>,
        on_message: impl Fn(&Self, Message),
    ) -> Result<(), LinkError> {
        let result = self.run_connection(stream, on_message);
        lock(&self.claims).grant_all();
        result
    }

    fn run_connection(
        &self,
        stream: &Arc<CoIo<UnixStream>>,
        on_message: impl Fn(&Self, Message),
    ) -> Result<(), LinkError> {
        let (mut input, mut chunk) = (Vec::new(), vec![0; READ_LENGTH]);
        loop {
            match stream.inner().read(&mut chunk) {
                Ok(0) => return Ok(()),
                Ok(count) => {
                    input.extend_from_slice(&chunk[..count]);
                    self.on_input(&mut input, &on_message)?;
                    continue;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error.into()),
            }
            self.flush(stream)?;
            stream.wait_io();
        }
    }

    fn on_input(
        &self,
        input: &mut Vec<u8>,
        on_message: &impl Fn(&Self, Message),
    ) -> Result<(), MalformedMessage> {
        while let Some(line_end) = input.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = input.drain(..=line_end).collect();
            match Message::parse(&line[..line_end])? {
                Message::Answer { sequence, is_granted } => {
                    let answer = if is_granted { ClaimAnswer::Granted } else { ClaimAnswer::Denied };
                    lock(&self.claims).answer(sequence, answer);
                }
                message => on_message(self, message),
            }
        }
        if input.len() > MAX_LINE_LENGTH { Err(MalformedMessage) } else { Ok(()) }
    }

    fn flush(&self, stream: &Arc<CoIo<UnixStream>>) -> io::Result<()> {
        let mut out = lock(&self.out);
        while !out.is_empty() {
            match stream.inner().write(&out) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => drop(out.drain(..count)),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        if out.len() > MAX_PENDING_BYTES { Err(io::ErrorKind::TimedOut.into()) } else { Ok(()) }
    }
}
