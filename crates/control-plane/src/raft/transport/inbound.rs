//! Receives messages from the members that have connected to this one.

use std::sync::Arc;

use gaugestep_config::schema::peer::Said;
use gaugestep_config::schema::{Member, Peer, PeerHello, PeerWelcome, Piece, RaftMessage};
use gaugestep_leadership::peer_directory::PeerRejected;
use prost::Message as _;
use thiserror::Error;

use super::MAX_MESSAGE_BYTES;
use super::outbound::connect_missing;
use crate::raft::codec;
use crate::raft::replica::Replica;

/// The reason why the stream of a peer is closed.
#[derive(Debug, Error)]
pub enum InboundError {
    /// A message in pieces exceeds the maximum size.
    #[error("a message in pieces exceeds the maximum size")]
    MessageTooLong,
    /// A message in pieces cannot be decoded.
    #[error("a message in pieces cannot be read: {0}")]
    Undecodable(#[from] prost::DecodeError),
    /// A Raft message has a different sender than the peer, or a different receiver than this member.
    #[error("a Raft message names another sender or receiver")]
    WrongMember,
    /// A Raft message has a kind that this build does not support or that a peer must not send.
    #[error("an unsupported Raft message")]
    UnknownMessage,
}

/// A peer that has opened a stream and was accepted.
pub struct InboundPeer {
    member: u64,
    /// The bytes received so far of a message in pieces.
    pieces: Vec<u8>,
}

impl InboundPeer {
    /// Accepts or rejects a peer. Returns the response, and the peer if it was accepted.
    pub fn accept(replica: &Arc<Replica>, hello: &PeerHello) -> (PeerWelcome, Option<Self>) {
        let from: Member = hello.from.clone().unwrap_or_default();
        let (member, boot) = (from.number, from.boot);
        if let Err(rejected) = replica.check_hello(hello) {
            tracing::warn!(member, boot, "peer rejected: {rejected}");
            return (rejection(replica.welcome(), &rejected), None);
        }
        tracing::info!(member, boot, "peer connected");
        let welcome = replica.welcome();
        replica.record_members(std::slice::from_ref(&from));
        connect_missing(replica);
        (welcome, Some(InboundPeer { member, pieces: Vec::new() }))
    }

    /// Handles a message of the peer. Returns the response, if the message requires one.
    ///
    /// # Errors
    ///
    /// If the message is invalid; the stream must be closed then.
    pub fn handle(
        &mut self,
        replica: &Arc<Replica>,
        message: Peer,
    ) -> Result<Option<PeerWelcome>, InboundError> {
        replica.mark_alive(self.member);
        match message.said {
            Some(Said::Ping(_)) => return Ok(Some(self.respond_to_ping(replica))),
            Some(Said::Piece(piece)) => self.on_piece(replica, &piece)?,
            Some(Said::Raft(message)) => self.step(replica, message)?,
            Some(Said::Renew(request)) if request.member == self.member => {
                replica.on_lease_request(request.member, request.number);
            }
            Some(Said::Renewed(granted)) if granted.member == replica.member_number() => {
                replica.on_lease_granted(&granted);
            }
            Some(Said::Yield(request)) => replica.on_hand_over_requested(request),
            Some(Said::Present(report)) => replica.report_presence(report),
            Some(Said::Renew(_) | Said::Renewed(_)) | None => {}
        }
        Ok(None)
    }

    fn respond_to_ping(&self, replica: &Replica) -> PeerWelcome {
        let welcome = replica.welcome();
        match replica.check_membership(self.member) {
            Ok(()) => welcome,
            Err(rejected) => rejection(welcome, &rejected),
        }
    }

    fn on_piece(&mut self, replica: &Replica, piece: &Piece) -> Result<(), InboundError> {
        if self.pieces.len() + piece.part.len() > MAX_MESSAGE_BYTES {
            return Err(InboundError::MessageTooLong);
        }
        self.pieces.extend_from_slice(&piece.part);
        if !piece.last {
            return Ok(());
        }
        let message = Peer::decode(std::mem::take(&mut self.pieces).as_slice())?;
        match message.said {
            Some(Said::Raft(message)) => self.step(replica, message),
            _ => Ok(()),
        }
    }

    fn step(&self, replica: &Replica, message: RaftMessage) -> Result<(), InboundError> {
        if message.from != self.member || message.to != replica.member_number() {
            return Err(InboundError::WrongMember);
        }
        let message = codec::decode_message(message).ok_or(InboundError::UnknownMessage)?;
        replica.step(message);
        Ok(())
    }
}

fn rejection(welcome: PeerWelcome, rejected: &PeerRejected) -> PeerWelcome {
    PeerWelcome {
        refused: rejected.to_string(),
        fatal: rejected.is_fatal(),
        stale_store: rejected.is_stale_store(),
        members: Vec::new(),
        ..welcome
    }
}
