//! Connects to the other members and sends the messages that are queued for them.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gaugestep_config::PROTOCOL_VERSION;
use gaugestep_config::schema::peer::Said;
use gaugestep_config::schema::{
    FromClient, FromService, Peer, PeerHello, PeerWelcome, Piece, Ping, from_client, from_service,
};
use gaugestep_coroutine_io::task;
use may::net::TcpStream;
use prost::Message as _;
use thiserror::Error;

use super::MAX_PIECE_BYTES;
use crate::raft::replica::Replica;
use crate::raft::request::Request;
use crate::transport::backoff::Backoff;
use crate::transport::connection::{ConnectionError, FramedConnection, STACK_WORDS};
use crate::transport::tls::ClientTls;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest time without a message from a member before the stream is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// The interval of pings, which show that this member is alive and request a response.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// The longest delay before reconnecting to a member.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// The reason why a stream to a member has ended.
#[derive(Debug, Error)]
enum OutboundError {
    #[error("the member's address is unknown or invalid")]
    UnknownAddress,
    #[error(transparent)]
    Connect(#[from] io::Error),
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    #[error("the member has closed the connection")]
    Closed,
    #[error("the member has sent no message within the deadline")]
    Silent,
    #[error("the member was removed from the group")]
    Removed,
    #[error("unexpected message")]
    UnexpectedMessage,
    #[error("the address belongs to member {actual}, not to member {expected}")]
    WrongMember { actual: u64, expected: u64 },
    #[error("{0}")]
    Rejected(String),
}

/// Starts a stream to each member that has none. Streams to former members end by themselves.
pub fn connect_missing(replica: &Arc<Replica>) {
    for member in replica.links.set_members(&replica.other_members()) {
        let replica = Arc::clone(replica);
        let stream = move || keep_connected(&replica, member);
        if let Err(error) = task::spawn_with_large_stack("member", STACK_WORDS, stream) {
            tracing::error!(member, "cannot start a coroutine for a member: {error}");
        }
    }
}

/// Keeps a stream to a member open, reconnecting after failures, until the member is removed from the group.
fn keep_connected(replica: &Arc<Replica>, member: u64) {
    let mut backoff = Backoff::new(replica.own_member.nonce ^ member);
    let mut last_reason = String::new();
    while replica.links.contains(member) {
        let started = Instant::now();
        let reason = PeerStream::run(replica, member).to_string();
        replica.links.on_closed(member);
        replica.report_unreachable(member);
        // A reason that repeats after each connection attempt is logged only once.
        if reason != last_reason {
            tracing::info!(member, "the stream to a member ended: {reason}");
            last_reason = reason;
        }
        task::sleep(backoff.next_delay(started.elapsed()).min(MAX_RECONNECT_DELAY));
    }
}

/// An open stream to a member.
struct PeerStream<'a> {
    replica: &'a Arc<Replica>,
    member: u64,
    address: SocketAddr,
    connection: FramedConnection,
    /// Whether the remote member has accepted this member.
    accepted: bool,
    last_message_at: Instant,
    last_ping_at: Instant,
    /// The remaining pieces of a long message that is being sent.
    pieces: VecDeque<Piece>,
}

impl<'a> PeerStream<'a> {
    /// Opens a stream, serves it until it ends, and returns the reason.
    fn run(replica: &'a Arc<Replica>, member: u64) -> OutboundError {
        match Self::open(replica, member).and_then(|mut stream| stream.serve()) {
            Ok(()) => OutboundError::Closed,
            Err(error) => error,
        }
    }

    fn open(replica: &'a Arc<Replica>, member: u64) -> Result<Self, OutboundError> {
        let address = replica.address(member).ok_or(OutboundError::UnknownAddress)?;
        let socket = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        let tls = replica.tls().map(|tls| (ClientTls::current(&tls.config), tls.server_name.as_str()));
        let mut connection = FramedConnection::from_connected(socket, tls)?;
        replica.links.on_opened(member, connection.waker());
        let hello = PeerHello {
            protocol: PROTOCOL_VERSION,
            lineage: replica.lineage(),
            from: Some(replica.own_member.clone()),
            to: member,
        };
        connection.send(&FromClient { said: Some(from_client::Said::PeerHello(hello)) })?;
        let now = Instant::now();
        Ok(PeerStream {
            replica,
            member,
            address,
            connection,
            accepted: false,
            last_message_at: now,
            last_ping_at: now,
            pieces: VecDeque::new(),
        })
    }

    fn serve(&mut self) -> Result<(), OutboundError> {
        loop {
            let closed = self.connection.pump()?;
            while let Some(message) = self.connection.next_message::<FromService>()? {
                self.on_message(message)?;
            }
            if closed {
                return Ok(());
            }
            if self.last_message_at.elapsed() >= SILENCE_TIMEOUT {
                return Err(OutboundError::Silent);
            }
            if !self.replica.links.contains(self.member) {
                return Err(OutboundError::Removed);
            }
            self.ping_if_due()?;
            self.send_queued()?;
            self.connection.pump()?;
            self.connection.wait();
        }
    }

    fn on_message(&mut self, message: FromService) -> Result<(), OutboundError> {
        let Some(from_service::Said::PeerWelcome(welcome)) = message.said else {
            return Err(OutboundError::UnexpectedMessage);
        };
        self.last_message_at = Instant::now();
        self.on_welcome(&welcome)?;
        if !self.accepted {
            self.accepted = true;
            self.replica.links.on_accepted(self.member);
            tracing::info!(member = self.member, address = %self.address, "connected to a member");
        }
        Ok(())
    }

    fn on_welcome(&self, welcome: &PeerWelcome) -> Result<(), OutboundError> {
        if welcome.fatal && welcome.member == self.member {
            let reason = format!("member {} has rejected this member: {}", self.member, welcome.refused);
            if !welcome.stale_store {
                self.replica.abort_process(&reason);
            }
            self.replica.submit(Request::RejectStore { reason });
        }
        if welcome.member != self.member {
            return Err(OutboundError::WrongMember { actual: welcome.member, expected: self.member });
        }
        if !welcome.refused.is_empty() {
            return Err(OutboundError::Rejected(welcome.refused.clone()));
        }
        self.replica.record_members(&welcome.members);
        connect_missing(self.replica);
        Ok(())
    }

    fn ping_if_due(&mut self) -> Result<(), OutboundError> {
        if self.accepted && self.last_ping_at.elapsed() >= PING_INTERVAL {
            self.last_ping_at = Instant::now();
            self.send(Peer { said: Some(Said::Ping(Ping {})) })?;
        }
        Ok(())
    }

    /// Sends queued messages while the kernel accepts all their bytes. For a member that does not read,
    /// messages stay in the queue of its link, which discards the oldest.
    fn send_queued(&mut self) -> Result<(), OutboundError> {
        while self.connection.is_flushed() {
            if let Some(piece) = self.pieces.pop_front() {
                self.send(Peer { said: Some(Said::Piece(piece)) })?;
            } else {
                let Some(message) = self.replica.links.pop(self.member) else { break };
                match message.encoded_len() <= MAX_PIECE_BYTES {
                    true => self.send(message)?,
                    false => self.pieces = split(&message.encode_to_vec()),
                }
            }
            self.connection.pump()?;
        }
        Ok(())
    }

    fn send(&mut self, message: Peer) -> Result<(), ConnectionError> {
        self.connection.send(&FromClient { said: Some(from_client::Said::Peer(message)) })
    }
}

/// Splits the encoded bytes of a long message into pieces.
fn split(bytes: &[u8]) -> VecDeque<Piece> {
    let count = bytes.len().div_ceil(MAX_PIECE_BYTES);
    let piece = |(index, part): (usize, &[u8])| Piece { part: part.to_vec(), last: index + 1 == count };
    bytes.chunks(MAX_PIECE_BYTES).enumerate().map(piece).collect()
}
