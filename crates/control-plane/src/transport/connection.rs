//! A bidirectional connection for framed messages, over TLS if keys are configured.

use std::io::{self, Read as _, Write as _};
use std::net;
use std::sync::Arc;

use gaugestep_coroutine_io::stream::{ReadOutcome, Stream, Waker, WriteBuffer, read_into};
use may::io::WaitIo as _;
use may::net::TcpStream;
use prost::Message;
use rustls::{ClientConfig, ClientConnection, Connection, ServerConfig, ServerConnection};
use rustls_pki_types::{CertificateDer, InvalidDnsNameError, ServerName};

use crate::transport::framing::{self, FrameBuffer, FrameError};

/// The limit of buffered output: one message of the largest size, and as much again for further messages.
const MAX_UNSENT_BYTES: usize = 2 * framing::MAX_MESSAGE_LENGTH;
/// The stack size of a connection's coroutine in words (512 KiB in total), as the TLS handshake runs on it.
pub const STACK_WORDS: usize = 64 * 1024;

/// Why a connection failed.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// An operation on the socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The peer violated the TLS protocol, or its certificate is not trusted.
    #[error(transparent)]
    Tls(#[from] rustls::Error),
    /// The name that the server's certificate must contain is not a valid DNS name.
    #[error(transparent)]
    ServerName(#[from] InvalidDnsNameError),
    /// The peer sent an invalid message.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The buffered output has reached its limit, as the peer does not read.
    #[error("the peer does not read")]
    PeerNotReading,
}

/// The layer between the framed messages and the socket.
enum Layer {
    /// No encryption; the buffer holds bytes that are still to be written.
    Plain(WriteBuffer),
    /// TLS, which buffers the bytes that are still to be written itself.
    Tls(Box<Connection>),
}

/// A bidirectional connection for framed messages.
///
/// One coroutine owns it: only that coroutine reads and writes, without blocking, and it waits for the socket
/// in [`wait`]. Other threads and coroutines can wake it with the [`waker`]. The socket is closed only when
/// the connection is dropped.
///
/// [`wait`]: FramedConnection::wait
/// [`waker`]: FramedConnection::waker
pub struct FramedConnection {
    stream: TcpStream,
    layer: Layer,
    input: FrameBuffer,
}

impl FramedConnection {
    /// Creates the server's end of a connection from an accepted socket.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] if the socket or the TLS configuration cannot be used.
    pub fn from_accepted(
        stream: TcpStream,
        config: Option<Arc<ServerConfig>>,
    ) -> Result<Self, ConnectionError> {
        let tls = config.map(ServerConnection::new).transpose()?;
        Self::new(stream, tls.map(Connection::from))
    }

    /// Creates the client's end of a connection from a socket connected to a server. The server's certificate
    /// must contain the name in `config`.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] if the socket, the name or the TLS configuration cannot be used.
    pub fn from_connected(
        stream: TcpStream,
        config: Option<(Arc<ClientConfig>, &str)>,
    ) -> Result<Self, ConnectionError> {
        let Some((config, name)) = config else { return Self::new(stream, None) };
        let name = ServerName::try_from(name.to_owned())?;
        let tls = ClientConnection::new(config, name)?;
        Self::new(stream, Some(tls.into()))
    }

    fn new(stream: TcpStream, tls: Option<Connection>) -> Result<Self, ConnectionError> {
        stream.set_nodelay(true)?;
        let layer = match tls {
            None => Layer::Plain(WriteBuffer::default()),
            Some(mut tls) => {
                tls.set_buffer_limit(Some(MAX_UNSENT_BYTES));
                Layer::Tls(Box::new(tls))
            }
        };
        Ok(FramedConnection { stream, layer, input: FrameBuffer::default() })
    }

    /// Returns a handle that wakes the coroutine which waits for the connection.
    pub fn waker(&self) -> Waker {
        self.stream.waker()
    }

    /// The certificate that the peer presented; `None` before the end of the TLS handshake, and without TLS.
    pub fn peer_certificate(&self) -> Option<&CertificateDer<'static>> {
        match &self.layer {
            Layer::Plain(_) => None,
            Layer::Tls(tls) => tls.peer_certificates()?.first(),
        }
    }

    /// Appends a message to the buffered output, which [`pump`](Self::pump) writes.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::PeerNotReading`] if the buffered output would exceed its limit.
    pub fn send(&mut self, message: &impl Message) -> Result<(), ConnectionError> {
        let bytes = framing::encode(message);
        match &mut self.layer {
            Layer::Plain(unsent) => {
                if unsent.pending() + bytes.len() > MAX_UNSENT_BYTES {
                    return Err(ConnectionError::PeerNotReading);
                }
                unsent.buffer().extend_from_slice(&bytes);
            }
            Layer::Tls(tls) => {
                if tls.writer().write(&bytes)? != bytes.len() {
                    return Err(ConnectionError::PeerNotReading);
                }
            }
        }
        Ok(())
    }

    /// Whether all buffered output has been written to the socket.
    pub fn is_flushed(&self) -> bool {
        match &self.layer {
            Layer::Plain(unsent) => unsent.pending() == 0,
            Layer::Tls(tls) => !tls.wants_write(),
        }
    }

    /// Reads and writes as much as possible without blocking. Returns true if the peer has closed its side.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] if the connection failed.
    pub fn pump(&mut self) -> Result<bool, ConnectionError> {
        let socket = self.stream.socket();
        match &mut self.layer {
            Layer::Plain(unsent) => {
                let closed = read_plain(socket, &mut self.input)?;
                unsent.flush(socket)?;
                Ok(closed)
            }
            Layer::Tls(tls) => {
                let closed = read_tls(socket, tls, &mut self.input)?;
                write_tls(socket, tls)?;
                Ok(closed)
            }
        }
    }

    /// Removes the next message from the input; `None` if none has been received completely.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::Frame`] if the peer sent an invalid message.
    pub fn next_message<M: Message + Default>(&mut self) -> Result<Option<M>, ConnectionError> {
        Ok(self.input.next_message()?)
    }

    /// Waits until the socket is readable or writable, or until the coroutine is woken by its waker.
    pub fn wait(&self) {
        self.stream.wait_io();
    }
}

/// Reads all available bytes, up to the capacity of `input`. Returns true if the peer has closed its side.
fn read_plain(socket: &net::TcpStream, input: &mut FrameBuffer) -> Result<bool, ConnectionError> {
    while input.has_capacity() {
        match read_into(socket, input.buffer_mut())? {
            ReadOutcome::Data => {}
            ReadOutcome::WouldBlock => return Ok(false),
            ReadOutcome::Closed => return Ok(true),
        }
    }
    Ok(false)
}

/// Reads and decrypts all available bytes, up to the capacity of `input`. Returns true if the peer has closed
/// its side.
fn read_tls(
    mut socket: &net::TcpStream,
    tls: &mut Connection,
    input: &mut FrameBuffer,
) -> Result<bool, ConnectionError> {
    while input.has_capacity() {
        match tls.read_tls(&mut socket) {
            Ok(0) => return Ok(true),
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(error) => return Err(error.into()),
        }
        let state = match tls.process_new_packets() {
            Ok(state) => state,
            Err(error) => {
                // Sends the TLS alert, which tells the peer the reason, if the peer still reads.
                let _ = tls.write_tls(&mut socket);
                return Err(error.into());
            }
        };
        let buffer = input.buffer_mut();
        let previous_len = buffer.len();
        buffer.resize(previous_len + state.plaintext_bytes_to_read(), 0);
        tls.reader().read_exact(&mut buffer[previous_len..])?;
        if state.peer_has_closed() {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Encrypts and writes buffered output, as much as the socket accepts without blocking.
fn write_tls(mut socket: &net::TcpStream, tls: &mut Connection) -> Result<(), ConnectionError> {
    while tls.wants_write() {
        match tls.write_tls(&mut socket) {
            Ok(0) => return Err(io::Error::from(io::ErrorKind::WriteZero).into()),
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(())
}
