//! Connects to the other members, and sends what waits for each.

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
use crate::transport::backoff::Backoff;
use crate::transport::connection::{ConnectionError, FramedConnection, STACK_WORDS};
use crate::transport::tls::ClientTls;

/// How long a connection may take to be opened.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a member may be silent.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// How often a ping shows that this member is alive.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// The longest wait before another connection to a member.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// Why a stream to a member has ended.
#[derive(Debug, Error)]
enum OutboundError {
    #[error("its address is not known")]
    UnknownAddress,
    #[error(transparent)]
    Connect(#[from] io::Error),
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    #[error("it has closed")]
    Closed,
    #[error("it is silent")]
    Silent,
    #[error("it is no member any more")]
    Removed,
    #[error("a message that is not due")]
    UnexpectedMessage,
    #[error("member {found} is there, not member {expected}")]
    WrongMember { found: u64, expected: u64 },
    #[error("{0}")]
    Rejected(String),
}

/// Connects to the members that there is no stream to; streams to former members end by themselves.
pub fn connect_missing(replica: &Arc<Replica>) {
    for member in replica.links.set_members(&replica.other_members()) {
        let replica = Arc::clone(replica);
        let stream = move || keep_connected(&replica, member);
        if let Err(error) = task::spawn_with_large_stack("member", STACK_WORDS, stream) {
            tracing::error!(member, "cannot start a coroutine for a member: {error}");
        }
    }
}

/// Connects to a member again and again, as long as it is one.
fn keep_connected(replica: &Arc<Replica>, member: u64) {
    let mut backoff = Backoff::new(replica.own.nonce ^ member);
    let mut last_reason = String::new();
    while replica.links.contains(member) {
        let started = Instant::now();
        let reason = PeerStream::run(replica, member).to_string();
        replica.links.on_closed(member);
        replica.report_unreachable(member);
        // The same reason after each attempt is logged once.
        if reason != last_reason {
            tracing::info!(member, "the stream to a member ended: {reason}");
            last_reason = reason;
        }
        task::sleep(backoff.next_delay(started.elapsed()).min(MAX_RECONNECT_DELAY));
    }
}

/// A stream to a member.
struct PeerStream<'a> {
    replica: &'a Arc<Replica>,
    member: u64,
    address: SocketAddr,
    connection: FramedConnection,
    /// The member has accepted this one.
    accepted: bool,
    last_message_at: Instant,
    last_ping_at: Instant,
    /// The rest of a long message.
    pieces: VecDeque<Piece>,
}

impl<'a> PeerStream<'a> {
    /// Opens a stream and serves it until it ends; why it has.
    fn run(replica: &'a Arc<Replica>, member: u64) -> OutboundError {
        match Self::open(replica, member).and_then(|mut stream| stream.serve()) {
            Ok(()) => OutboundError::Closed,
            Err(error) => error,
        }
    }

    fn open(replica: &'a Arc<Replica>, member: u64) -> Result<Self, OutboundError> {
        let address = replica.address(member).ok_or(OutboundError::UnknownAddress)?;
        let socket = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        let tls = replica.tls().map(|tls| (ClientTls::current(&tls.keys), tls.service_name.as_str()));
        let mut connection = FramedConnection::from_connected(socket, tls)?;
        replica.links.on_opened(member, connection.waker());
        let hello = PeerHello {
            protocol: PROTOCOL_VERSION,
            lineage: replica.lineage(),
            from: Some(replica.own.clone()),
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
            let (member, reason) = (self.member, &welcome.refused);
            self.replica.abort_process(&format!("member {member} does not let this one in: {reason}"));
        }
        if welcome.member != self.member {
            return Err(OutboundError::WrongMember { found: welcome.member, expected: self.member });
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

    /// Sends what waits, as long as the kernel takes it: for a member that does not read, messages wait in its link, where
    /// the oldest are dropped.
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

/// Splits the bytes of a long message.
fn split(bytes: &[u8]) -> VecDeque<Piece> {
    let count = bytes.len().div_ceil(MAX_PIECE_BYTES);
    let piece = |(index, part): (usize, &[u8])| Piece { part: part.to_vec(), last: index + 1 == count };
    bytes.chunks(MAX_PIECE_BYTES).enumerate().map(piece).collect()
}
