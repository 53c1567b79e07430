//! TCP connections that are owned by coroutines. Reads and writes never block; a coroutine waits with
//! [`WaitIo::wait_io`] until its connection is ready or another coroutine wakes it with a [`Waker`].

use std::io::{self, Read};
use std::net::TcpStream;
use std::os::fd::AsFd;

use may::io::{CoIo, WaitIo, WaitIoWaker};
use rustix::event::{PollFd, PollFlags, Timespec};

pub use crate::write_buffer::WriteBuffer;

/// Wakes the coroutine that owns a connection.
pub type Waker = WaitIoWaker;

/// The largest number of bytes that one read returns.
const READ_SIZE_BYTES: usize = 8 * 1024;
/// Reads after which [`discard_input`] stops, so that a peer that keeps sending cannot occupy it for ever.
const MAX_DISCARD_READS: usize = 32;
/// The timeout of a poll that returns at once.
const ZERO_TIMEOUT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

/// A connection that a coroutine can wait on.
pub trait Stream: WaitIo {
    /// The underlying non-blocking socket.
    fn socket(&self) -> &TcpStream;
}

impl Stream for CoIo<TcpStream> {
    fn socket(&self) -> &TcpStream {
        self.inner()
    }
}

impl Stream for may::net::TcpStream {
    fn socket(&self) -> &TcpStream {
        self.inner()
    }
}

/// The outcome of one read from a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// At least one byte was read, and more may be available.
    Data,
    /// No bytes are available yet.
    WouldBlock,
    /// The peer has closed its side of the connection.
    Closed,
}

/// Reads once and appends the bytes to `buffer`.
///
/// # Errors
/// Returns the error of the socket. An interrupted read is repeated instead.
pub fn read_into(mut socket: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<ReadOutcome> {
    let previous_length = buffer.len();
    buffer.resize(previous_length + READ_SIZE_BYTES, 0);
    let result = loop {
        match socket.read(&mut buffer[previous_length..]) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            other => break other,
        }
    };
    let read_bytes = *result.as_ref().unwrap_or(&0);
    buffer.truncate(previous_length + read_bytes);
    match result {
        Ok(0) => Ok(ReadOutcome::Closed),
        Ok(_) => Ok(ReadOutcome::Data),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(ReadOutcome::WouldBlock),
        Err(error) => Err(error),
    }
}

/// Whether the peer has closed its side or the connection is broken, even if bytes that arrived earlier are
/// still unread. Leaves those bytes unread.
pub fn peer_closed(socket: &TcpStream) -> bool {
    let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR | PollFlags::NVAL;
    let mut polled = [PollFd::new(socket, PollFlags::IN | PollFlags::RDHUP)];
    // If the poll fails, the connection counts as open: the next read returns the error.
    if !rustix::event::poll(&mut polled, Some(&ZERO_TIMEOUT)).is_ok_and(|ready| ready > 0) {
        return false;
    }
    let events = polled[0].revents();
    if events.intersects(closed) {
        return true;
    }
    // A system without RDHUP reports a half-closed connection as readable, with no bytes to read.
    events.contains(PollFlags::IN) && matches!(socket.peek(&mut [0]), Ok(0))
}

/// Whether a read would return at once, with bytes or with the end of the stream.
pub fn readable(socket: &impl AsFd) -> bool {
    let mut polled = [PollFd::new(socket, PollFlags::IN)];
    rustix::event::poll(&mut polled, Some(&ZERO_TIMEOUT)).is_ok_and(|ready| ready > 0)
}

/// Reads and discards the input that has arrived. To be called before a connection is closed: closing a
/// socket with unread input resets the connection, and the peer may lose the last bytes that were sent to it.
pub fn discard_input(socket: &TcpStream) {
    let mut bytes = Vec::new();
    for _ in 0..MAX_DISCARD_READS {
        if !matches!(read_into(socket, &mut bytes), Ok(ReadOutcome::Data)) {
            return;
        }
        bytes.clear();
    }
}
