//! Messages that wait for the stream to each member.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

use gaugestep_config::schema::Peer;
use gaugestep_config::schema::peer::Said;
use gaugestep_coroutine_io::lock;
use gaugestep_coroutine_io::stream::Waker;
use prost::Message as _;

/// The most messages that wait for one member, and their bytes. The oldest are dropped, as messages may be lost anyway.
const MAX_QUEUED: usize = 512;
const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;

/// What waits for one member.
#[derive(Default)]
struct Link {
    queue: VecDeque<Peer>,
    queued_bytes: usize,
    /// Wakes the coroutine of the stream, once there is one.
    waker: Option<Waker>,
    /// The member has accepted the stream.
    accepted: bool,
}

impl Link {
    fn pop(&mut self) -> Option<Peer> {
        let message = self.queue.pop_front()?;
        self.queued_bytes -= message.encoded_len();
        Some(message)
    }

    fn push(&mut self, message: Peer) {
        self.queued_bytes += message.encoded_len();
        self.queue.push_back(message);
        while self.queue.len() > MAX_QUEUED || self.queue.len() > 1 && self.queued_bytes > MAX_QUEUED_BYTES {
            self.pop();
        }
    }
}

/// The links to all other members. The lock is held for moments only, and no other is taken meanwhile.
#[derive(Default)]
pub struct PeerLinks(Mutex<BTreeMap<u64, Link>>);

impl PeerLinks {
    /// Queues a message for a member; false if there is no stream to it that it has accepted.
    pub fn send(&self, member: u64, message: Said) -> bool {
        let mut links = lock(&self.0);
        let Some(link) = links.get_mut(&member).filter(|link| link.accepted) else { return false };
        link.push(Peer { said: Some(message) });
        if let Some(waker) = &link.waker {
            waker.wakeup();
        }
        true
    }

    /// Wakes the coroutines of all streams, so that they look at their deadlines.
    pub fn wake_all(&self) {
        lock(&self.0).values().filter_map(|link| link.waker.as_ref()).for_each(Waker::wakeup);
    }

    /// Sets which members there are to be links to; returns those that had none.
    pub(crate) fn set_members(&self, members: &[u64]) -> Vec<u64> {
        let mut links = lock(&self.0);
        links.retain(|member, _| members.contains(member));
        let missing: Vec<u64> =
            members.iter().copied().filter(|member| !links.contains_key(member)).collect();
        links.extend(missing.iter().map(|member| (*member, Link::default())));
        missing
    }

    /// Whether there is to be a link to a member.
    pub(crate) fn contains(&self, member: u64) -> bool {
        lock(&self.0).contains_key(&member)
    }

    /// A stream to a member is being opened.
    pub(crate) fn on_opened(&self, member: u64, waker: Waker) {
        self.update(member, |link| link.waker = Some(waker));
    }

    /// The member has accepted the stream.
    pub(crate) fn on_accepted(&self, member: u64) {
        self.update(member, |link| link.accepted = true);
    }

    /// The stream to a member has ended; what waited for it is dropped.
    pub(crate) fn on_closed(&self, member: u64) {
        self.update(member, |link| *link = Link::default());
    }

    /// The next message for a member.
    pub(crate) fn pop(&self, member: u64) -> Option<Peer> {
        lock(&self.0).get_mut(&member).and_then(Link::pop)
    }

    fn update(&self, member: u64, update: impl FnOnce(&mut Link)) {
        if let Some(link) = lock(&self.0).get_mut(&member) {
            update(link);
        }
    }
}
