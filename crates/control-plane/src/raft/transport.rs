//! What members of a group say to each other. Each member dials each other one and speaks on what it dialed; what it is
//! told comes on the streams that others dialed. Messages may be lost: what matters is told anew.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gaugestep_config::PROTOCOL;
use gaugestep_config::schema::peer::Said;
use gaugestep_config::schema::{
    FromClient, FromService, Member, Peer, PeerHello, PeerWelcome, Piece, Ping, RaftMessage, from_client,
    from_service,
};
use gaugestep_coroutine_io::stream::Waker;
use gaugestep_coroutine_io::task;
use gaugestep_leadership::peer_directory::PeerRejected;
use may::net::TcpStream;
use prost::Message as _;

use crate::clock;
use crate::lock;
use crate::raft::replica::Replica;
use crate::transport::backoff::Backoff;
use crate::transport::connection::{FramedConnection, STACK_WORDS};
use crate::transport::tls::ClientTls;

/// A member that cannot be reached within this time is given up for now; one that is silent for so long too.
const CONNECT_WITHIN: Duration = Duration::from_millis(1_000);
const SILENCE: Duration = Duration::from_secs(4);
/// How often a member shows that it lives.
const PING_EVERY: Duration = Duration::from_millis(1_000);
/// The longest wait before a member is dialed again.
const DIAL_AGAIN: Duration = Duration::from_secs(1);
/// Messages that may wait for one member, and their bytes; the oldest give way.
const WAITING: usize = 512;
const WAITING_BYTES: usize = 16 * 1024 * 1024;
/// Bytes of a message that is sent in one piece, and of all pieces of one.
const PIECE: usize = 512 * 1024;
const PIECES: usize = 256 * 1024 * 1024;

/// What waits for one member.
#[derive(Default)]
struct Link {
    queue: VecDeque<Peer>,
    bytes: usize,
    waker: Option<Waker>,
    welcome: bool,
}

impl Link {
    fn next(&mut self) -> Option<Peer> {
        let peer = self.queue.pop_front()?;
        self.bytes -= peer.encoded_len();
        Some(peer)
    }
}

/// The links to all others.
#[derive(Default)]
pub struct PeerLinks(Mutex<BTreeMap<u64, Link>>);

impl PeerLinks {
    /// Adds a message for a member; false if nobody can be told now.
    pub fn send(&self, member: u64, said: Said) -> bool {
        let mut links = lock(&self.0);
        let Some(link) = links.get_mut(&member).filter(|link| link.welcome) else { return false };
        let peer = Peer { said: Some(said) };
        link.bytes += peer.encoded_len();
        link.queue.push_back(peer);
        while link.queue.len() > WAITING || link.queue.len() > 1 && link.bytes > WAITING_BYTES {
            link.next();
        }
        if let Some(waker) = &link.waker {
            waker.wakeup();
        }
        true
    }

    /// Wakes all that wait, so that they look at their clocks.
    pub fn wake(&self) {
        lock(&self.0).values().filter_map(|link| link.waker.as_ref()).for_each(Waker::wakeup);
    }

    /// Members whose stream is open.
    pub fn connected(&self) -> Vec<u64> {
        lock(&self.0).iter().filter(|(_, link)| link.welcome).map(|(member, _)| *member).collect()
    }

    fn ended(&self, member: u64) {
        if let Some(link) = lock(&self.0).get_mut(&member) {
            *link = Link::default();
        }
    }
}

/// Dials those members that are not dialed yet, and leaves those alone that are members no more.
pub fn connect_missing(group: &Arc<Replica>) {
    let wanted: Vec<u64> = group.other_members();
    let mut links = lock(&group.links.0);
    links.retain(|member, _| wanted.contains(member));
    for member in wanted {
        if links.contains_key(&member) {
            continue;
        }
        links.insert(member, Link::default());
        let group = group.clone();
        let dialing =
            task::spawn_with_large_stack("member", STACK_WORDS, move || keep_connected(&group, member));
        if let Err(error) = dialing {
            tracing::error!(member, "no coroutine for a member: {error}");
        }
    }
}

fn keep_connected(group: &Arc<Replica>, member: u64) {
    let mut backoff = Backoff::new(group.own_member().nonce ^ member);
    let mut told = String::new();
    while lock(&group.links.0).contains_key(&member) {
        let began = Instant::now();
        let ended = match group.address(member) {
            Some(address) => exchange(group, member, address),
            None => Err(io::Error::other("its address is not known")),
        };
        group.links.ended(member);
        group.report_unreachable(member);
        let why = ended.err().map_or_else(|| "it has closed".into(), |error| error.to_string());
        // The same again and again says nothing new.
        if why != told {
            tracing::info!(member, "the stream to a member ended: {why}");
            told = why;
        }
        let wait = backoff.next_delay(began.elapsed()).min(DIAL_AGAIN);
        task::sleep(wait);
    }
}

fn exchange(group: &Arc<Replica>, member: u64, address: SocketAddr) -> io::Result<()> {
    let socket = TcpStream::connect_timeout(&address, CONNECT_WITHIN)?;
    let keys = group.client_keys().map(|(keys, name)| (ClientTls::current(keys), name));
    let mut channel = FramedConnection::from_connected(socket, keys)?;
    if let Some(link) = lock(&group.links.0).get_mut(&member) {
        link.waker = Some(channel.waker());
    }
    let hello = PeerHello {
        protocol: PROTOCOL,
        lineage: group.lineage(),
        from: Some(group.own_member()),
        to: member,
    };
    channel.send(&FromClient { said: Some(from_client::Said::PeerHello(hello)) })?;
    let (mut heard, mut pinged, mut welcome) = (Instant::now(), Instant::now(), false);
    let mut pieces: VecDeque<Piece> = VecDeque::new();
    loop {
        let closed = channel.pump()?;
        while let Some(message) = channel.next_message::<FromService>()? {
            let Some(from_service::Said::PeerWelcome(told)) = message.said else {
                return Err(io::Error::other("a message that is not due"));
            };
            heard = Instant::now();
            welcomed(group, member, &told)?;
            if !welcome {
                welcome = true;
                if let Some(link) = lock(&group.links.0).get_mut(&member) {
                    link.welcome = true;
                }
                tracing::info!(member, %address, "speaks to a member");
            }
        }
        if closed {
            return Ok(());
        }
        if heard.elapsed() >= SILENCE {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "it is silent"));
        }
        if !lock(&group.links.0).contains_key(&member) {
            return Err(io::Error::other("it is no member any more"));
        }
        if welcome && pinged.elapsed() >= PING_EVERY {
            pinged = Instant::now();
            send(&mut channel, Peer { said: Some(Said::Ping(Ping {})) })?;
        }
        // What has left is with the kernel: a peer that does not read lets only this much wait.
        while channel.is_flushed() {
            if let Some(piece) = pieces.pop_front() {
                send(&mut channel, Peer { said: Some(Said::Piece(piece)) })?;
            } else {
                let next = lock(&group.links.0).get_mut(&member).and_then(Link::next);
                let Some(peer) = next else { break };
                match peer.encoded_len() <= PIECE {
                    true => send(&mut channel, peer)?,
                    false => pieces = cut(&peer.encode_to_vec()),
                }
            }
            channel.pump()?;
        }
        channel.pump()?;
        channel.wait();
    }
}

fn send(channel: &mut FramedConnection, peer: Peer) -> io::Result<()> {
    Ok(channel.send(&FromClient { said: Some(from_client::Said::Peer(peer)) })?)
}

fn cut(bytes: &[u8]) -> VecDeque<Piece> {
    let parts = bytes.len().div_ceil(PIECE);
    let piece = |(at, part): (usize, &[u8])| Piece { part: part.to_vec(), last: at + 1 == parts };
    bytes.chunks(PIECE).enumerate().map(piece).collect()
}

fn welcomed(group: &Arc<Replica>, member: u64, told: &PeerWelcome) -> io::Result<()> {
    if told.fatal && told.member == member {
        group.abort_process(&format!("member {member} does not let this one in: {}", told.refused));
    }
    if told.member != member {
        return Err(io::Error::other(format!("member {} is there, not member {member}", told.member)));
    }
    if !told.refused.is_empty() {
        return Err(io::Error::other(told.refused.clone()));
    }
    group.record_members(&told.members);
    Ok(())
}

fn refusal(welcome: PeerWelcome, refused: &PeerRejected) -> PeerWelcome {
    PeerWelcome { refused: refused.to_string(), fatal: refused.is_fatal(), members: Vec::new(), ..welcome }
}

/// A peer's side of a stream that it dialed.
pub struct InboundPeer {
    /// Who speaks.
    pub member: u64,
    pieces: Vec<u8>,
}

impl InboundPeer {
    /// Lets a peer in, or says why not.
    pub fn accept(group: &Arc<Replica>, hello: &PeerHello) -> (PeerWelcome, Option<Self>) {
        let from: Member = hello.from.clone().unwrap_or_default();
        let welcome = group.welcome();
        if let Err(refused) = group.check_hello(hello) {
            tracing::warn!(member = from.number, boot = from.boot, "a member is not let in: {refused}");
            return (refusal(welcome, &refused), None);
        }
        tracing::info!(member = from.number, boot = from.boot, "a member is here");
        group.record_members(std::slice::from_ref(&from));
        (welcome, Some(InboundPeer { member: from.number, pieces: Vec::new() }))
    }

    /// Takes what the peer says; an answer, if one is due.
    pub fn handle(&mut self, group: &Arc<Replica>, peer: Peer) -> io::Result<Option<PeerWelcome>> {
        group.mark_alive(self.member, clock::now());
        match peer.said {
            Some(Said::Ping(_)) => {
                let welcome = group.welcome();
                return Ok(Some(match group.check_membership(self.member) {
                    Ok(()) => welcome,
                    Err(refused) => refusal(welcome, &refused),
                }));
            }
            Some(Said::Piece(piece)) => {
                if self.pieces.len() + piece.part.len() > PIECES {
                    return Err(io::Error::other("a message of too many pieces"));
                }
                self.pieces.extend_from_slice(&piece.part);
                if piece.last {
                    let whole = Peer::decode(std::mem::take(&mut self.pieces).as_slice())
                        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
                    if let Some(Said::Raft(raft)) = whole.said {
                        self.raft(group, raft)?;
                    }
                }
            }
            Some(Said::Raft(raft)) => self.raft(group, raft)?,
            Some(Said::Renew(renew)) if renew.member == self.member => {
                group.request_lease(renew.member, renew.number)
            }
            Some(Said::Renewed(renewed)) if renewed.member == group.member_number() => {
                group.on_lease_granted(&renewed)
            }
            Some(Said::Yield(wish)) => group.on_hand_over_requested(wish),
            Some(Said::Present(told)) => group.report_presence(told),
            Some(Said::Renew(_) | Said::Renewed(_)) | None => {}
        }
        Ok(None)
    }

    fn raft(&self, group: &Arc<Replica>, told: RaftMessage) -> io::Result<()> {
        if told.from != self.member || told.to != group.member_number() {
            return Err(io::Error::other("a message of another member, or for one"));
        }
        let message = crate::raft::codec::of_message(told);
        group.step(message.ok_or_else(|| io::Error::other("a message that this build does not know"))?);
        Ok(())
    }
}
