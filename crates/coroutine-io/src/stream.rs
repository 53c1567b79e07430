//! Sockets as the coroutines use them: reading and writing never block, [`WaitIo::wait_io`] does. One coroutine
//! owns each connection, both ways; others wake it with a [`Waker`].

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::os::fd::AsFd;

use may::io::{CoIo, WaitIo, WaitIoWaker};
use rustix::event::{PollFd, PollFlags, Timespec};

/// Wakes the coroutine that owns a connection.
pub type Waker = WaitIoWaker;

/// A connection that a coroutine can wait on.
pub trait Stream: WaitIo {
    /// The socket itself, which does not block.
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

/// What a read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Bytes; there may be more.
    Data,
    /// Nothing for now.
    WouldBlock,
    /// The other side has closed.
    Closed,
}

/// Bytes read at once.
const CHUNK: usize = 8 * 1024;
/// Reads with which what nobody reads any more is passed over at most.
const PASSES: usize = 32;

/// Reads once into the end of `buffer`.
pub fn read_into(mut socket: &TcpStream, buffer: &mut Vec<u8>) -> io::Result<ReadOutcome> {
    let before = buffer.len();
    buffer.resize(before + CHUNK, 0);
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

/// Whether the other side has closed its part of the connection, or the connection is broken: also where bytes that came
/// before are still to be read. Asks the system and takes nothing off the socket.
pub fn peer_closed(socket: &TcpStream) -> bool {
    let gone = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR | PollFlags::NVAL;
    let mut ask = [PollFd::new(socket, PollFlags::IN | PollFlags::RDHUP)];
    let now = Timespec { tv_sec: 0, tv_nsec: 0 };
    // Who cannot be asked after is taken to be there: the session hears of it in its own time.
    if !rustix::event::poll(&mut ask, Some(&now)).is_ok_and(|told| told > 0) {
        return false;
    }
    let told = ask[0].revents();
    // A system that tells of no half-closed connection tells of it as of something to read, of which nothing comes.
    told.intersects(gone) || told.contains(PollFlags::IN) && matches!(socket.peek(&mut [0]), Ok(0))
}

/// Whether something has come that is still to be read, or the other side has closed.
pub fn readable(socket: &impl AsFd) -> bool {
    let mut ask = [PollFd::new(socket, PollFlags::IN)];
    rustix::event::poll(&mut ask, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })).is_ok_and(|told| told > 0)
}

/// Passes over what has come and nobody reads any more: a connection that is closed with bytes unread is reset, and what
/// was sent last is lost.
pub fn discard_input(socket: &TcpStream) {
    let mut bytes = Vec::new();
    for _ in 0..PASSES {
        if !matches!(read_into(socket, &mut bytes), Ok(ReadOutcome::Data)) {
            return;
        }
        bytes.clear();
    }
}

/// Bytes that are written and still kept at most, where no fewer wait.
const WRITTEN: usize = 64 * 1024;

/// Bytes on their way out.
#[derive(Debug, Default)]
pub struct WriteBuffer {
    bytes: Vec<u8>,
    /// Bytes of `bytes` that are written.
    at: usize,
    /// Bytes written before `bytes`.
    earlier: u64,
}

impl WriteBuffer {
    /// Where the next byte added will stand in all that was ever written.
    pub fn end_offset(&self) -> u64 {
        self.earlier + self.bytes.len() as u64
    }

    /// Bytes written so far.
    pub fn written_offset(&self) -> u64 {
        self.earlier + self.at as u64
    }

    /// Bytes that wait.
    pub fn pending(&self) -> usize {
        self.bytes.len() - self.at
    }

    /// The bytes to add to.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Writes what the socket takes now; true if that was something.
    pub fn flush(&mut self, mut socket: &TcpStream) -> io::Result<bool> {
        let before = self.at;
        while self.at < self.bytes.len() {
            match socket.write(&self.bytes[self.at..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => self.at += written,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        let moved = self.at > before;
        if self.at == self.bytes.len() {
            self.earlier += self.at as u64;
            self.at = 0;
            // Guards the memory: hundreds of connections are idle most of the time.
            self.bytes = Vec::new();
        } else if self.at >= WRITTEN && self.at >= self.pending() {
            // So it does where the other side reads so slowly that something waits at all times.
            self.bytes.drain(..self.at);
            self.earlier += self.at as u64;
            self.at = 0;
        }
        Ok(moved)
    }
}
