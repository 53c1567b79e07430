//! Output of a connection that is not yet written to its socket.

use std::io::{self, Write};
use std::net::TcpStream;

/// Number of written bytes from which the buffer is compacted, provided that no more bytes than were written
/// are pending.
const COMPACT_THRESHOLD_BYTES: usize = 64 * 1024;

/// Bytes to be written to a socket.
///
/// Offsets count all bytes ever added, so that a user of the buffer can tell whether the bytes that it added
/// were written.
#[derive(Debug, Default)]
pub struct WriteBuffer {
    bytes: Vec<u8>,
    /// Number of bytes at the start of `bytes` that were written.
    written: usize,
    /// Number of bytes that were written and then removed from `bytes`.
    removed: u64,
}

impl WriteBuffer {
    /// Returns the offset that the next added byte will have.
    pub fn end_offset(&self) -> u64 {
        self.removed + self.bytes.len() as u64
    }

    /// Returns the offset up to which all bytes were written.
    pub fn written_offset(&self) -> u64 {
        self.removed + self.written as u64
    }

    /// Returns the number of bytes that are not written yet.
    pub fn pending(&self) -> usize {
        self.bytes.len() - self.written
    }

    /// Returns the underlying vector, to append to; bytes already in it must not be changed or removed.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Writes as many bytes as the socket accepts without blocking. Returns whether it accepted any.
    ///
    /// # Errors
    /// Returns the error of the socket. An interrupted write is repeated instead.
    pub fn flush(&mut self, mut socket: &TcpStream) -> io::Result<bool> {
        let previously_written = self.written;
        while self.written < self.bytes.len() {
            match socket.write(&self.bytes[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.written += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        let made_progress = self.written > previously_written;
        self.release_written();
        Ok(made_progress)
    }

    /// Releases the memory of written bytes. This covers idle connections as well as those whose peer reads
    /// so slowly that some bytes are always pending.
    fn release_written(&mut self) {
        if self.pending() == 0 {
            self.bytes = Vec::new();
        } else if self.written >= COMPACT_THRESHOLD_BYTES && self.written >= self.pending() {
            self.bytes.drain(..self.written);
        } else {
            return;
        }
        self.removed += self.written as u64;
        self.written = 0;
    }
}
