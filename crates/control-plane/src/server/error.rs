//! Why a server cannot be started, and why a session ends.

use std::io;
use std::net::SocketAddr;

use crate::raft::error::ReplicaError;
use crate::raft::transport::inbound::InboundError;
use crate::transport::connection::ConnectionError;
use crate::transport::tls::TlsError;

/// Why a server cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The replicated state cannot be used.
    #[error(transparent)]
    Replica(#[from] ReplicaError),
    /// The keys cannot be used.
    #[error(transparent)]
    Keys(TlsError),
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What failed.
        source: io::Error,
    },
    /// A thread or a coroutine cannot be started.
    #[error("cannot start {what}: {source}")]
    Spawn {
        /// Which.
        what: &'static str,
        /// What failed.
        source: io::Error,
    },
}

/// Why a session of a proxy, another member or an operator was ended from this side.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SessionError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    #[error(transparent)]
    Peer(#[from] InboundError),
    #[error("too many streams are open")]
    TooManySessions,
    #[error("too many calls are open")]
    TooManyCalls,
    #[error("the peer is silent")]
    Silent,
    #[error("the call took too long")]
    CallTimeout,
    #[error("a message that is not expected here")]
    UnexpectedMessage,
    #[error("a hello that this build does not understand")]
    InvalidHello,
    #[error("its certificate does not carry the name '{0}'")]
    WrongCertificate(String),
    #[error("this process was suspended")]
    Suspended,
}
