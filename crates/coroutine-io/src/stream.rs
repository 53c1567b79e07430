//! Connections of coroutines. Reads and writes never block; a coroutine waits with [`WaitIo::wait_io`] until its connection
//! is ready or another coroutine wakes it with a [`Waker`].

use std::io::{self, Read};
use std::net::TcpStream;
use std::os::fd::AsFd;

use may::io::{CoIo, WaitIo, WaitIoWaker};
use rustix::event::{PollFd, PollFlags, Timespec};

pub use crate::write_buffer::WriteBuffer;

/// Wakes the coroutine that owns a connection.
pub type Waker = WaitIoWaker;

/// Bytes that one read asks for.
const READ_SIZE: usize = 8 * 1024;
/// Reads after which [`discard_input`] gives up on a peer that keeps sending.
const MAX_DISCARDING_READS: usize = 32;
/// Timeout of a poll that does not wait.
const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };

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

/// What a read returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// At least one byte; there may be more.
    Data,
    /// Nothing for now.
    WouldBlock,
    /// The peer has closed its side.
    Closed,
}

/// Reads once and appends the bytes to `buffer`.
///
/// # Errors
/// The error of the socket, other than an interruption, which is retried.
pub fn read_into(mut socket: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<ReadOutcome> {
    let before = buffer.len();
    buffer.resize(before + READ_SIZE, 0);
    let read = loop {
        match socket.read(&mut buffer[before..]) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            other => break other,
        }
    };
    buffer.truncate(before + *read.as_ref().unwrap_or(&0));
    match read {
        Ok(0) => Ok(ReadOutcome::Closed),
        Ok(_) => Ok(ReadOutcome::Data),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(ReadOutcome::WouldBlock),
        Err(error) => Err(error),
    }
}

/// Whether the peer has closed its side or the connection is broken, even if earlier bytes are still unread. Reads nothing.
pub fn peer_closed(socket: &TcpStream) -> bool {
    let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR | PollFlags::NVAL;
    let mut polled = [PollFd::new(socket, PollFlags::IN | PollFlags::RDHUP)];
    // If the poll fails, the peer counts as present: the next read reports what is wrong.
    if !rustix::event::poll(&mut polled, Some(&NO_WAIT)).is_ok_and(|ready| ready > 0) {
        return false;
    }
    let events = polled[0].revents();
    // A system without RDHUP reports a half-closed connection as readable, with nothing to read.
    events.intersects(closed) || events.contains(PollFlags::IN) && matches!(socket.peek(&mut [0]), Ok(0))
}

/// Whether bytes or the end of the stream can be read now.
pub fn readable(socket: &impl AsFd) -> bool {
    let mut polled = [PollFd::new(socket, PollFlags::IN)];
    rustix::event::poll(&mut polled, Some(&NO_WAIT)).is_ok_and(|ready| ready > 0)
}

/// Reads and drops the input that has arrived, before the connection is closed: closing with unread input resets the
/// connection, and the peer may lose the last bytes that were sent to it.
pub fn discard_input(socket: &TcpStream) {
    let mut bytes = Vec::new();
    for _ in 0..MAX_DISCARDING_READS {
        if !matches!(read_into(socket, &mut bytes), Ok(ReadOutcome::Data)) {
            return;
        }
        bytes.clear();
    }
}
