//! Output of a connection that the socket has not taken yet.

use std::io::{self, Write};
use std::net::TcpStream;

/// Written bytes beyond which the buffer is compacted, provided that no more bytes than that are pending.
const COMPACT_ABOVE: usize = 64 * 1024;

/// Bytes on their way to a socket.
///
/// Offsets count all bytes that were ever added, so that a caller can tell whether something it added was written.
#[derive(Debug, Default)]
pub struct WriteBuffer {
    bytes: Vec<u8>,
    /// How many of `bytes` are written.
    written: usize,
    /// How many bytes were written and removed from `bytes`.
    removed: u64,
}

impl WriteBuffer {
    /// The offset of the next byte that is added.
    pub fn end_offset(&self) -> u64 {
        self.removed + self.bytes.len() as u64
    }

    /// The offset up to which bytes are written.
    pub fn written_offset(&self) -> u64 {
        self.removed + self.written as u64
    }

    /// How many bytes are not written yet.
    pub fn pending(&self) -> usize {
        self.bytes.len() - self.written
    }

    /// The bytes, to append to. Nothing else may be changed.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Writes what the socket takes now. Returns whether it took anything.
    ///
    /// # Errors
    /// The error of the socket, other than an interruption, which is retried.
    pub fn flush(&mut self, mut socket: &TcpStream) -> io::Result<bool> {
        let before = self.written;
        while self.written < self.bytes.len() {
            match socket.write(&self.bytes[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.written += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        let progress = self.written > before;
        self.release_written();
        Ok(progress)
    }

    /// Releases the memory of written bytes: of an idle connection, and of one whose peer reads so slowly that something is
    /// always pending.
    fn release_written(&mut self) {
        if self.pending() == 0 {
            self.bytes = Vec::new();
        } else if self.written >= COMPACT_ABOVE && self.written >= self.pending() {
            self.bytes.drain(..self.written);
        } else {
            return;
        }
        self.removed += self.written as u64;
        self.written = 0;
    }
}
