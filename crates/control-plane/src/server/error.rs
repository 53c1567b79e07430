//! Errors of starting a server, and errors that end a session.

use std::io;
use std::net::SocketAddr;

use crate::raft::error::ReplicaError;
use crate::raft::transport::inbound::InboundError;
use crate::transport::connection::ConnectionError;
use crate::transport::tls::TlsError;

/// The reason why a server cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The replica cannot be opened or started.
    #[error(transparent)]
    Replica(#[from] ReplicaError),
    /// The TLS keys cannot be loaded.
    #[error(transparent)]
    Keys(TlsError),
    /// A listener cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address of the listener.
        address: SocketAddr,
        /// The error of the system call.
        source: io::Error,
    },
    /// A thread or a coroutine cannot be started.
    #[error("cannot start {what}: {source}")]
    Spawn {
        /// `a thread` or `a coroutine`.
        what: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// The reason why this server ended the session of a proxy, of another member or of an operator.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SessionError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    #[error(transparent)]
    Peer(#[from] InboundError),
    #[error("too many open streams")]
    TooManySessions,
    #[error("too many operator calls in progress")]
    TooManyCalls,
    #[error("the peer has sent no message within its deadline")]
    Silent,
    #[error("the operator call has timed out")]
    CallTimeout,
    #[error("unexpected message in this state of the session")]
    UnexpectedMessage,
    #[error("unsupported protocol version or invalid hello")]
    InvalidHello,
    #[error("the peer's certificate does not carry the name '{0}'")]
    WrongCertificate(String),
    #[error("this process was suspended")]
    Suspended,
}
