//! TCP connections that are owned by coroutines. Reads and writes never block; a coroutine waits with
//! [`WaitIo::wait_io`] until its connection is ready or another coroutine wakes it with a [`Waker`].

use std::cell::RefCell;
use std::io::{self, Read};
use std::net::TcpStream;
use std::os::fd::AsFd;

use may::io::{CoIo, WaitIo, WaitIoWaker};
use rustix::event::{PollFd, PollFlags, Timespec};

pub use crate::write_buffer::WriteBuffer;

/// Wakes the coroutine that owns a connection.
pub type Waker = WaitIoWaker;

/// The largest number of bytes that one read returns.
pub const MAX_READ_BYTES: usize = 8 * 1024;
/// The capacity of a buffer exceeds its length by at most one part in this many after a read.
const GROWTH_DIVISOR: usize = 4;
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

thread_local! {
    /// Receives the bytes of a read before they are appended to the buffer of a connection, which so has only
    /// as much capacity as bytes have arrived.
    static READ_BUFFER: RefCell<[u8; MAX_READ_BYTES]> = const { RefCell::new([0; MAX_READ_BYTES]) };
}

/// Returns the largest capacity that a buffer with `length` bytes has after a [`read_at_most`] of `max_bytes`, if its
/// capacity was not larger before.
pub const fn capacity_after_read(length: usize, max_bytes: usize) -> usize {
    length + length / GROWTH_DIVISOR + max_bytes
}

/// Reads once, at most [`MAX_READ_BYTES`], and appends the bytes to `buffer`.
///
/// # Errors
/// Returns the error of the socket. An interrupted read is repeated instead.
pub fn read_into(socket: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<ReadOutcome> {
    read_at_most(socket, buffer, MAX_READ_BYTES)
}

/// Reads once, at most `max_bytes` and [`MAX_READ_BYTES`], and appends the bytes to `buffer`.
///
/// # Errors
/// Returns the error of the socket. An interrupted read is repeated instead.
pub fn read_at_most(
    mut socket: &TcpStream,
    buffer: &mut Vec<u8>,
    max_bytes: usize,
) -> io::Result<ReadOutcome> {
    READ_BUFFER.with_borrow_mut(|bytes| {
        let result = loop {
            match socket.read(&mut bytes[..max_bytes.min(MAX_READ_BYTES)]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                other => break other,
            }
        };
        match result {
            Ok(0) => Ok(ReadOutcome::Closed),
            Ok(count) => {
                append(buffer, &bytes[..count]);
                Ok(ReadOutcome::Data)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(ReadOutcome::WouldBlock),
            Err(error) => Err(error),
        }
    })
}

/// Appends bytes to a buffer that grows by a fraction of its length, and not to twice its capacity.
fn append(buffer: &mut Vec<u8>, bytes: &[u8]) {
    if buffer.capacity() - buffer.len() < bytes.len() {
        buffer.reserve_exact(bytes.len().max(buffer.len() / GROWTH_DIVISOR));
    }
    buffer.extend_from_slice(bytes);
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
