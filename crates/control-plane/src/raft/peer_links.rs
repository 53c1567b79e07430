//! The queues of messages to the other members.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

use gaugestep_config::schema::Peer;
use gaugestep_config::schema::peer::Said;
use gaugestep_coroutine_io::lock;
use gaugestep_coroutine_io::stream::Waker;
use prost::Message as _;

/// The maximum number of queued messages per member. The oldest are discarded: senders tolerate lost
/// messages.
const MAX_QUEUED_MESSAGES: usize = 512;
/// The maximum encoded size of the queued messages per member. A single longer message is queued
/// nevertheless.
const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;

/// The queue of messages to one member, and the state of the stream that sends them.
#[derive(Default)]
struct Link {
    queue: VecDeque<Peer>,
    queued_bytes: usize,
    /// Wakes the coroutine of the stream; `None` while no stream is open.
    waker: Option<Waker>,
    /// Whether the member has accepted the stream.
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
        while self.queue.len() > MAX_QUEUED_MESSAGES
            || self.queue.len() > 1 && self.queued_bytes > MAX_QUEUED_BYTES
        {
            self.pop();
        }
    }
}

/// The links to all other members. The lock is held only briefly, and no other lock is acquired while it is
/// held.
#[derive(Default)]
pub struct PeerLinks(Mutex<BTreeMap<u64, Link>>);

impl PeerLinks {
    /// Queues a message for a member. Returns false, without queueing it, if the member has accepted no
    /// stream.
    pub fn send(&self, member: u64, message: Said) -> bool {
        let mut links = lock(&self.0);
        let Some(link) = links.get_mut(&member).filter(|link| link.accepted) else { return false };
        link.push(Peer { said: Some(message) });
        if let Some(waker) = &link.waker {
            waker.wakeup();
        }
        true
    }

    /// Wakes the coroutines of all streams, so that they check their deadlines.
    pub fn wake_all(&self) {
        lock(&self.0).values().filter_map(|link| link.waker.as_ref()).for_each(Waker::wakeup);
    }

    /// Sets the members to keep links to, and returns those that had no link before.
    pub(crate) fn set_members(&self, members: &[u64]) -> Vec<u64> {
        let mut links = lock(&self.0);
        links.retain(|member, _| members.contains(member));
        let missing: Vec<u64> =
            members.iter().copied().filter(|member| !links.contains_key(member)).collect();
        links.extend(missing.iter().map(|member| (*member, Link::default())));
        missing
    }

    /// Whether there is a link to a member. A stream without a link must close.
    pub(crate) fn contains(&self, member: u64) -> bool {
        lock(&self.0).contains_key(&member)
    }

    /// Records that a stream to a member is open, and how to wake its coroutine.
    pub(crate) fn on_opened(&self, member: u64, waker: Waker) {
        self.update(member, |link| link.waker = Some(waker));
    }

    /// Records that the member has accepted the stream.
    pub(crate) fn on_accepted(&self, member: u64) {
        self.update(member, |link| link.accepted = true);
    }

    /// Records that the stream to a member has closed, and discards the queued messages.
    pub(crate) fn on_closed(&self, member: u64) {
        self.update(member, |link| *link = Link::default());
    }

    /// Removes and returns the next message for a member.
    pub(crate) fn pop(&self, member: u64) -> Option<Peer> {
        lock(&self.0).get_mut(&member).and_then(Link::pop)
    }

    fn update(&self, member: u64, update: impl FnOnce(&mut Link)) {
        if let Some(link) = lock(&self.0).get_mut(&member) {
            update(link);
        }
    }
}
