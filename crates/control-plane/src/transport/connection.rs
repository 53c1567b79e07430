//! A connection that carries messages both ways, over TLS where keys are configured.

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

/// Bytes that may wait for a peer that does not read: a message, and what else is due meanwhile.
const MAX_UNSENT: usize = 2 * framing::MAX_MESSAGE_LENGTH;
/// Words of the stack of a connection's coroutine (512 KB): the TLS handshake runs on it.
pub const STACK_WORDS: usize = 64 * 1024;

/// Why a connection cannot be used any more.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The peer broke the TLS protocol, or is not trusted.
    #[error(transparent)]
    Tls(#[from] rustls::Error),
    /// The name that the server's certificate should carry cannot be a server's name.
    #[error(transparent)]
    ServerName(#[from] InvalidDnsNameError),
    /// The peer sent something that is no message.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The peer does not read: as many bytes wait for it as may.
    #[error("the peer does not read")]
    PeerNotReading,
}

impl From<ConnectionError> for io::Error {
    fn from(error: ConnectionError) -> Self {
        match error {
            ConnectionError::Io(error) => error,
            ConnectionError::PeerNotReading => io::Error::new(io::ErrorKind::TimedOut, error),
            ConnectionError::Tls(_) | ConnectionError::ServerName(_) | ConnectionError::Frame(_) => {
                io::Error::new(io::ErrorKind::InvalidData, error)
            }
        }
    }
}

/// What lies between the messages and the socket.
enum Layer {
    /// Nothing; the bytes that are to be written.
    Plain(WriteBuffer),
    /// TLS, which keeps the bytes that are to be written itself.
    Tls(Box<Connection>),
}

/// A connection that carries messages both ways.
///
/// One coroutine owns it: that coroutine alone reads and writes, without blocking, and waits for either in [`wait`].
/// Others only wake it with its [`waker`]. The socket is closed when the connection is dropped, and nowhere else.
///
/// [`wait`]: FramedConnection::wait
/// [`waker`]: FramedConnection::waker
pub struct FramedConnection {
    stream: TcpStream,
    layer: Layer,
    input: FrameBuffer,
}

impl FramedConnection {
    /// A connection over a socket that was accepted.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] if the socket or the TLS configuration cannot be used.
    pub fn from_accepted(
        stream: TcpStream,
        config: Option<Arc<ServerConfig>>,
    ) -> Result<Self, ConnectionError> {
        let tls = config.map(ServerConnection::new).transpose()?;
        Self::over(stream, tls.map(Connection::from))
    }

    /// A connection over a socket that was connected to a server, whose certificate must carry the name beside the
    /// configuration.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] if the socket, the name or the TLS configuration cannot be used.
    pub fn from_connected(
        stream: TcpStream,
        config: Option<(Arc<ClientConfig>, &str)>,
    ) -> Result<Self, ConnectionError> {
        let Some((config, name)) = config else { return Self::over(stream, None) };
        let name = ServerName::try_from(name.to_owned())?;
        let tls = ClientConnection::new(config, name)?;
        Self::over(stream, Some(tls.into()))
    }

    fn over(stream: TcpStream, tls: Option<Connection>) -> Result<Self, ConnectionError> {
        stream.set_nodelay(true)?;
        let layer = match tls {
            None => Layer::Plain(WriteBuffer::default()),
            Some(mut tls) => {
                tls.set_buffer_limit(Some(MAX_UNSENT));
                Layer::Tls(Box::new(tls))
            }
        };
        Ok(FramedConnection { stream, layer, input: FrameBuffer::default() })
    }

    /// Wakes the coroutine that waits for the connection.
    pub fn waker(&self) -> Waker {
        self.stream.waker()
    }

    /// The certificate that the peer has shown, once the TLS handshake is over.
    pub fn peer_certificate(&self) -> Option<&CertificateDer<'static>> {
        match &self.layer {
            Layer::Plain(_) => None,
            Layer::Tls(tls) => tls.peer_certificates()?.first(),
        }
    }

    /// Adds a message to what is to be written.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::PeerNotReading`] if too much waits for the peer already.
    pub fn send(&mut self, message: &impl Message) -> Result<(), ConnectionError> {
        let bytes = framing::encode(message);
        match &mut self.layer {
            Layer::Plain(unsent) => {
                if unsent.pending() + bytes.len() > MAX_UNSENT {
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

    /// Whether everything that was sent has been written to the socket.
    pub fn is_flushed(&self) -> bool {
        match &self.layer {
            Layer::Plain(unsent) => unsent.pending() == 0,
            Layer::Tls(tls) => !tls.wants_write(),
        }
    }

    /// Reads and writes what is possible without blocking. Returns true if the peer has closed its side.
    ///
    /// # Errors
    ///
    /// [`ConnectionError`] if the connection is broken.
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

    /// Takes the next message, if one has been received completely.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::Frame`] if the peer sent something that is no message of this type.
    pub fn next_message<M: Message + Default>(&mut self) -> Result<Option<M>, ConnectionError> {
        Ok(self.input.next_message()?)
    }

    /// Waits until the socket can be read or written, or somebody wakes the coroutine.
    pub fn wait(&self) {
        self.stream.wait_io();
    }
}

/// Reads what has arrived; true if the peer has closed.
fn read_plain(socket: &net::TcpStream, input: &mut FrameBuffer) -> Result<bool, ConnectionError> {
    while input.has_capacity() {
        match read_into(socket, input.received())? {
            ReadOutcome::Data => {}
            ReadOutcome::WouldBlock => return Ok(false),
            ReadOutcome::Closed => return Ok(true),
        }
    }
    Ok(false)
}

/// Reads and decrypts what has arrived; true if the peer has closed.
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
                // The peer learns why from the alert, if it still reads.
                let _ = tls.write_tls(&mut socket);
                return Err(error.into());
            }
        };
        let received = input.received();
        let before = received.len();
        received.resize(before + state.plaintext_bytes_to_read(), 0);
        tls.reader().read_exact(&mut received[before..])?;
        if state.peer_has_closed() {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Writes what the socket takes.
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
