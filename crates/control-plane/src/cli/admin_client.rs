//! The client for operator calls to the control servers. Each attempt uses one connection for one call and
//! its response. Blocks the thread.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gaugestep_config::schema::{
    Call, FromClient, FromService, Reply, call, from_client, from_service, reply,
};
use prost::Message as _;
use rustls::{ClientConnection, StreamOwned};
use rustls_pki_types::ServerName;

use crate::transport::framing;
use crate::transport::tls::{self, ClientTls, TlsError, TlsIdentity};

/// The time after which a call fails if no member could carry it out.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The timeout of one attempt if there are several members, so that after a member that does not respond
/// there is time to try another one.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay between attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The size of a read from the socket.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Whether a call is sent again after its connection was lost before the response, which leaves its outcome
/// unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It is sent again: the call is idempotent.
    AtLeastOnce,
    /// It is not sent again: carrying it out twice would have another effect.
    AtMostOnce,
}

/// Why a call failed, or why its outcome is unknown.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The list of addresses is empty.
    #[error("no address of a control server is given")]
    NoAddress,
    /// TLS is required for one of the addresses and is not configured.
    #[error(transparent)]
    InsecureAddress(TlsError),
    /// The connection to a member failed; the call was not sent.
    #[error("{address}: {source}")]
    Connect {
        /// The member's address for operators.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The connection was lost before the response. The call may be sent again.
    #[error("{address}: {source}")]
    ConnectionLost {
        /// The member's address for operators.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The connection was lost before the response, and the call must not be sent twice.
    #[error("{address}: {source}; it may have been carried out all the same")]
    OutcomeUnknown {
        /// The member's address for operators.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A member named another one as lease holder, and that one could not be reached in time.
    #[error("the lease holder, member {member} at {address}, cannot be reached")]
    HolderUnreachable {
        /// The lease holder's number.
        member: u64,
        /// The lease holder's address for operators, as the other member sent it.
        address: String,
    },
    /// The address of the lease holder is invalid, or requires TLS that is not configured.
    #[error("the address of the lease holder is invalid, or not allowed without keys")]
    InvalidHolderAddress,
    /// No member can carry out the call now, as there is no lease holder or no majority. Contains the message
    /// of the control server.
    #[error("{0}")]
    Unavailable(String),
    /// The control server rejected the call. Contains its message.
    #[error("{0}")]
    Rejected(String),
    /// The response is of a kind that this build does not know.
    #[error("the response of the control server is of an unknown kind")]
    UnknownResponse,
    /// The response belongs to another kind of call.
    #[error("the response of the control server belongs to another kind of call")]
    UnexpectedResponse,
}

impl CallError {
    /// Whether the call must not be attempted again, as another attempt would not help or would not be safe.
    fn is_final(&self) -> bool {
        matches!(self, Self::Rejected(_) | Self::UnknownResponse | Self::OutcomeUnknown { .. })
    }

    /// The address of the lease holder, if a member named one.
    fn holder_address(&self) -> Option<SocketAddr> {
        match self {
            Self::HolderUnreachable { address, .. } => address.parse().ok(),
            _ => None,
        }
    }
}

/// A client of the group of control servers, as commands use it.
#[derive(Clone, Debug)]
pub struct AdminClient {
    /// The members' addresses for operators, tried in turn.
    pub addresses: Vec<SocketAddr>,
    /// The operator's TLS files, and the name that the members' certificates must contain; `None` without
    /// TLS.
    pub tls: Option<TlsIdentity>,
}

/// A connection with or without TLS.
trait Connection: Read + Write {}
impl<T: Read + Write> Connection for T {}

impl AdminClient {
    /// Sends a call to the member that can carry it out, and returns the response. Tries the members in turn
    /// for a few seconds, and prefers the lease holder once a member has named it.
    ///
    /// # Errors
    ///
    /// [`CallError`] if a control server rejects the call, if no member can carry it out in time, or if its
    /// outcome is unknown and `delivery` does not allow another attempt.
    pub fn call(&self, request: &call::What, delivery: Delivery) -> Result<reply::What, CallError> {
        for address in &self.addresses {
            tls::check_address_allowed(*address, self.tls.is_some()).map_err(CallError::InsecureAddress)?;
        }
        let started = Instant::now();
        let mut rotation = self.addresses.iter().cycle().copied();
        let mut next = rotation.next();
        let mut last_error = CallError::NoAddress;
        let mut attempts = 0;
        while let Some(address) = next {
            let remaining = CALL_TIMEOUT.saturating_sub(started.elapsed());
            if remaining.is_zero() {
                break;
            }
            attempts += 1;
            let timeout = self.attempt_timeout(remaining);
            let error = match self.attempt(request, address, timeout, delivery) {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            if error.is_final() || self.is_only_member(address, &error) {
                return Err(error);
            }
            // At most every other attempt goes to a named lease holder, as a member may still name one that
            // has failed.
            next = error.holder_address().filter(|_| attempts % 2 == 1);
            last_error = error;
            if next.is_none() {
                std::thread::sleep(RETRY_INTERVAL);
                next = rotation.next();
            }
        }
        Err(last_error)
    }

    /// The timeout of the next attempt, if the call has this much time left.
    fn attempt_timeout(&self, remaining: Duration) -> Duration {
        if self.addresses.len() > 1 { remaining.min(ATTEMPT_TIMEOUT) } else { remaining }
    }

    /// Whether the attempt failed to connect to the only address there is, so that no other member can be
    /// tried.
    fn is_only_member(&self, address: SocketAddr, error: &CallError) -> bool {
        matches!(error, CallError::Connect { .. }) && self.addresses == [address]
    }

    /// Sends the call to one member once.
    fn attempt(
        &self,
        request: &call::What,
        address: SocketAddr,
        timeout: Duration,
        delivery: Delivery,
    ) -> Result<reply::What, CallError> {
        let mut connection =
            self.connect(address, timeout).map_err(|source| CallError::Connect { address, source })?;
        let response = exchange(&mut *connection, request).map_err(|source| match delivery {
            Delivery::AtLeastOnce => CallError::ConnectionLost { address, source },
            Delivery::AtMostOnce => CallError::OutcomeUnknown { address, source },
        })?;
        match response.what {
            Some(reply::What::Error(reason)) => Err(CallError::Rejected(reason)),
            Some(reply::What::Later(reason)) => Err(CallError::Unavailable(reason)),
            Some(reply::What::Owner(holder))
                if tls::is_address_allowed(&holder.operators, self.tls.is_some()) =>
            {
                Err(CallError::HolderUnreachable { member: holder.member, address: holder.operators })
            }
            Some(reply::What::Owner(_)) => Err(CallError::InvalidHolderAddress),
            Some(result) => Ok(result),
            None => Err(CallError::UnknownResponse),
        }
    }

    fn connect(&self, address: SocketAddr, timeout: Duration) -> io::Result<Box<dyn Connection>> {
        let socket = TcpStream::connect_timeout(&address, timeout)?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(timeout))?;
        socket.set_write_timeout(Some(timeout))?;
        let Some(identity) = &self.tls else { return Ok(Box::new(socket)) };
        let config = ClientTls::load(identity.files.clone()).map_err(io::Error::other)?.current();
        let name = ServerName::try_from(identity.server_name.clone()).map_err(invalid_data)?;
        let tls = ClientConnection::new(Arc::clone(&config), name).map_err(invalid_data)?;
        Ok(Box::new(StreamOwned::new(tls, socket)))
    }
}

fn invalid_data(error: impl std::fmt::Display) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error.to_string())
}

/// Sends the call and waits for the response.
fn exchange(connection: &mut dyn Connection, request: &call::What) -> io::Result<Reply> {
    let call = Call { what: Some(request.clone()) };
    let frame = framing::encode(&FromClient { said: Some(from_client::Said::Call(call)) });
    connection.write_all(&frame)?;
    connection.flush()?;
    read_response(connection)
}

fn read_response(connection: &mut dyn Connection) -> io::Result<Reply> {
    let mut input = Vec::new();
    let mut chunk = [0; READ_CHUNK_BYTES];
    loop {
        if let Some(frame) = framing::split_first(&input).map_err(invalid_data)? {
            let message = FromService::decode(frame.body).map_err(invalid_data)?;
            return match message.said {
                Some(from_service::Said::Reply(response)) => Ok(response),
                _ => Err(invalid_data("the message of the control server is not a response to the call")),
            };
        }
        match connection.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => input.extend_from_slice(&chunk[..count]),
        }
    }
}
