//! A connection that carries messages both ways, over TLS where there are keys. One coroutine owns it, reads and writes
//! without blocking and waits for both; others only wake it.

use std::io::{self, Read as _, Write as _};
use std::sync::Arc;

use gaugestep_coroutine_io::stream::{ReadOutcome, Stream, Waker, WriteBuffer, read_into};
use may::io::WaitIo as _;
use may::net::TcpStream;
use prost::Message;
use rustls::{ClientConfig, ClientConnection, Connection, ServerConfig, ServerConnection};
use rustls_pki_types::{CertificateDer, ServerName};

use crate::transport::framing;

/// Bytes that may wait for a peer that does not read: a message, and what else is due meanwhile.
const MAX_UNSENT: usize = 2 * framing::MAX_MESSAGE_LENGTH;
/// Words of a channel's coroutine's stack (512 KB): the handshake of TLS runs on it.
pub const STACK_WORDS: usize = 64 * 1024;

/// The connection.
pub struct FramedConnection {
    stream: TcpStream,
    tls: Option<Box<Connection>>,
    /// Bytes to be written, where there is no TLS; with it, they wait within.
    out: WriteBuffer,
    /// Bytes read and not yet taken.
    input: Vec<u8>,
    /// Bytes of `input` that are done with.
    at: usize,
}

fn wrong(error: impl std::fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error.to_string())
}

impl FramedConnection {
    /// A channel over a connection that was accepted.
    pub fn from_accepted(stream: TcpStream, keys: Option<Arc<ServerConfig>>) -> io::Result<Self> {
        let tls = keys.map(ServerConnection::new).transpose().map_err(wrong)?;
        Self::over(stream, tls.map(Connection::from))
    }

    /// A channel over a connection to a service whose certificate must carry this name.
    pub fn from_connected(stream: TcpStream, keys: Option<(Arc<ClientConfig>, &str)>) -> io::Result<Self> {
        let tls = match keys {
            None => None,
            Some((config, name)) => {
                let name = ServerName::try_from(name.to_owned()).map_err(wrong)?;
                Some(ClientConnection::new(config, name).map_err(wrong)?)
            }
        };
        Self::over(stream, tls.map(Connection::from))
    }

    fn over(stream: TcpStream, tls: Option<Connection>) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let mut tls = tls.map(Box::new);
        if let Some(tls) = &mut tls {
            tls.set_buffer_limit(Some(MAX_UNSENT));
        }
        Ok(FramedConnection { stream, tls, out: WriteBuffer::default(), input: Vec::new(), at: 0 })
    }

    /// Wakes the coroutine that waits for the channel.
    pub fn waker(&self) -> Waker {
        self.stream.waker()
    }

    /// The certificate that the peer has shown, once the handshake is over.
    pub fn peer_certificate(&self) -> Option<&CertificateDer<'static>> {
        self.tls.as_ref()?.peer_certificates()?.first()
    }

    /// Whether a handshake is still under way.
    pub fn is_handshaking(&self) -> bool {
        self.tls.as_ref().is_some_and(|tls| tls.is_handshaking())
    }

    /// Adds a message to what is to be written; an error if the peer has let too much wait.
    pub fn send(&mut self, message: &impl Message) -> io::Result<()> {
        let bytes = framing::encode(message);
        let late = || io::Error::new(io::ErrorKind::TimedOut, "the peer does not read");
        let room = match &mut self.tls {
            None if self.out.pending() + bytes.len() > MAX_UNSENT => false,
            None => {
                self.out.buffer().extend_from_slice(&bytes);
                true
            }
            Some(tls) => tls.writer().write(&bytes)? == bytes.len(),
        };
        if room { Ok(()) } else { Err(late()) }
    }

    /// Whether all that was sent has left.
    pub fn is_flushed(&self) -> bool {
        match &self.tls {
            None => self.out.pending() == 0,
            Some(tls) => !tls.wants_write(),
        }
    }

    /// Reads and writes what can be; true if the peer has closed.
    pub fn pump(&mut self) -> io::Result<bool> {
        let closed = match self.tls {
            None => self.read_plain()?,
            Some(_) => self.read_tls()?,
        };
        match &mut self.tls {
            None => {
                self.out.flush(self.stream.socket())?;
            }
            Some(tls) => {
                while tls.wants_write() {
                    match tls.write_tls(&mut self.stream.socket()) {
                        Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                        Ok(_) => {}
                        Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                        Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                        Err(error) => return Err(error),
                    }
                }
            }
        }
        Ok(closed)
    }

    /// What has come may be this long before it must have been taken.
    fn room(&self) -> bool {
        self.input.len() - self.at <= framing::MAX_MESSAGE_LENGTH
    }

    fn read_plain(&mut self) -> io::Result<bool> {
        while self.room() {
            match read_into(self.stream.socket(), &mut self.input)? {
                ReadOutcome::Data => {}
                ReadOutcome::WouldBlock => return Ok(false),
                ReadOutcome::Closed => return Ok(true),
            }
        }
        Ok(false)
    }

    fn read_tls(&mut self) -> io::Result<bool> {
        while self.room() {
            let Some(tls) = &mut self.tls else { return Ok(false) };
            match tls.read_tls(&mut self.stream.socket()) {
                Ok(0) => return Ok(true),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            }
            let state = match tls.process_new_packets() {
                Ok(state) => state,
                Err(error) => {
                    // The peer is told why, if it still listens.
                    let _ = tls.write_tls(&mut self.stream.socket());
                    return Err(wrong(error));
                }
            };
            let before = self.input.len();
            self.input.resize(before + state.plaintext_bytes_to_read(), 0);
            tls.reader().read_exact(&mut self.input[before..])?;
            if state.peer_has_closed() {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// The next whole message that has come.
    pub fn next_message<M: Message + Default>(&mut self) -> io::Result<Option<M>> {
        let Some((body, taken)) = framing::split_first(&self.input[self.at..]).map_err(wrong)? else {
            self.input.drain(..self.at);
            self.at = 0;
            if self.input.is_empty() {
                // Guards the memory: hundreds of streams are idle most of the time.
                self.input = Vec::new();
            }
            return Ok(None);
        };
        let message = M::decode(body).map_err(wrong)?;
        self.at += taken;
        Ok(Some(message))
    }

    /// Waits until the connection has news, or somebody wakes the coroutine.
    pub fn wait(&self) {
        self.stream.wait_io();
    }
}
