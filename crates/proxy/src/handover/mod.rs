//! Coordinates the two processes of an upgrade, which share the listening socket: a request that must not run
//! twice runs at one of them only, and a cancel request reaches the process that has the session.
//!
//! The processes find each other by an abstract Unix socket, whose name contains the inode of the listening socket:
//! the first one listens, the second one connects, and listens in turn once the first one has ended. Without a
//! shared listening socket there is no link, and nothing is claimed.

mod claims;
mod link;
mod message;

use std::io;
use std::os::fd::AsFd;
use std::os::linux::net::SocketAddrExt as _;
use std::os::unix::net::{SocketAddr, UnixListener, UnixStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gaugestep_dispatch::interface::RequestId;
use may::io::{CoIo, WaitIo as _};

use self::link::Link;
pub use self::message::ClaimAnswer;
use self::message::Message;
use crate::downstream::postgres::CancelKey;
use crate::{lock, task};

/// Pause before the process listens or connects again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Interval at which overdue claims are answered.
const CLAIM_SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// What the other process asks of this one.
pub trait HandoverPeer: Send + Sync {
    /// Denies a request with this id to this process from now on, unless it is open or may have run here.
    /// Returns whether the other process may run it.
    fn give_up(&self, id: &RequestId) -> bool;

    /// Cancels the query of a session of this process.
    fn cancel(&self, key: CancelKey);
}

/// The link to the other process of an upgrade, while there is one.
#[derive(Default)]
pub struct Handover {
    link: Mutex<Option<Arc<Link>>>,
}

impl Handover {
    /// Claims a request for this process. Blocks the coroutine for the answer of the other process; granted at
    /// once if there is none.
    pub fn claim(&self, id: &RequestId) -> ClaimAnswer {
        let link = lock(&self.link).clone();
        link.map_or(ClaimAnswer::Granted, |link| link.claim(&id.0))
    }

    /// Passes a cancel request for a session that this process does not have to the other process.
    pub fn forward_cancel(&self, key: CancelKey) {
        if let Some(link) = &*lock(&self.link) {
            link.send(&Message::Cancel(key));
        }
    }

    /// Links this process to the other ones with the same address; blocks its coroutine and returns only if the
    /// system has no such sockets.
    pub fn run(&self, address: &HandoverAddress, peer: &dyn HandoverPeer) {
        loop {
            if let Err(error) = self.link_once(&address.0, peer) {
                return tracing::warn!("the processes of an upgrade are not linked: {error}");
            }
            task::sleep(RETRY_PAUSE);
        }
    }

    /// Answers overdue claims; blocks its coroutine and never returns.
    pub fn sweep_claims(&self) {
        loop {
            task::sleep(CLAIM_SWEEP_INTERVAL);
            let link = lock(&self.link).clone();
            if let Some(link) = link {
                link.expire_claims();
            }
        }
    }

    /// Connects to the process that listens, or else listens for other processes.
    fn link_once(&self, address: &SocketAddr, peer: &dyn HandoverPeer) -> io::Result<()> {
        match UnixStream::connect_addr(address) {
            Ok(stream) => self.run_link(stream, peer),
            Err(_) => match UnixListener::bind_addr(address) {
                Ok(listener) => return self.accept_links(listener, peer),
                // Another process has just begun to listen.
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
                Err(error) => return Err(error),
            },
        }
        Ok(())
    }

    /// Runs the links of one successor after the other.
    fn accept_links(&self, listener: UnixListener, peer: &dyn HandoverPeer) -> io::Result<()> {
        let listener = CoIo::new(listener).map_err(io::Error::from)?;
        loop {
            match listener.inner().accept() {
                Ok((stream, _)) => self.run_link(stream, peer),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    listener.wait_io();
                }
                Err(error) => {
                    tracing::debug!("cannot accept a link: {error}");
                    task::sleep(RETRY_PAUSE);
                }
            }
        }
    }

    /// Runs a link until it ends.
    fn run_link(&self, stream: UnixStream, peer: &dyn HandoverPeer) {
        let stream = match CoIo::new(stream) {
            Ok(stream) => Arc::new(stream),
            Err(error) => return tracing::warn!("cannot register a link: {error}"),
        };
        let link = Arc::new(Link::new(&stream));
        *lock(&self.link) = Some(link.clone());
        tracing::info!("linked to the other process of an upgrade");
        let ended = link.run(&stream, |link, message| match message {
            Message::Claim { sequence, id } => {
                let is_granted = !link.is_claiming(&id) && peer.give_up(&RequestId(id.as_str().into()));
                link.send(&Message::Answer { sequence, is_granted });
            }
            Message::Cancel(key) => peer.cancel(key),
            Message::Answer { .. } => {}
        });
        *lock(&self.link) = None;
        match ended {
            Ok(()) => tracing::info!("the other process of an upgrade has ended"),
            Err(error) => tracing::warn!("the link to the other process of an upgrade failed: {error}"),
        }
    }
}

/// The address at which the processes that share a listening socket find each other.
pub struct HandoverAddress(SocketAddr);

impl HandoverAddress {
    /// Returns the address for the processes with this listening socket.
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not describe the socket.
    pub fn of_listener(listener: &impl AsFd) -> io::Result<Self> {
        let inode = rustix::fs::fstat(listener)?.st_ino;
        SocketAddr::from_abstract_name(format!("gaugestep-{inode}")).map(HandoverAddress)
    }
}
