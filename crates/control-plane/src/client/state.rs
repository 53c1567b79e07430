//! The state that the coroutine of the stream, the coroutine of the clocks and the storage thread share.

use std::collections::{BTreeMap, VecDeque};

use gaugestep_clock::Timestamp;
use gaugestep_config::schema::{Answer, Offer};
use gaugestep_config::version_tracker::VersionTracker;
use gaugestep_coroutine_io::stream::Waker;
use gaugestep_leadership::fencing::FencingGuard;
use gaugestep_leadership::leader_discovery::LeaderDiscovery;
use gaugestep_subsetting::ordinal_lease::{OrdinalGrant, OrdinalLease};
use gaugestep_subsetting::position::FleetPosition;

/// The state of a subscriber; see the [module](super) for who locks it when.
pub(super) struct SubscriberState {
    pub(super) tracker: VersionTracker,
    pub(super) stream: CurrentStream,
    pub(super) fencing: FencingGuard<FencedMessage>,
    pub(super) discovery: LeaderDiscovery,
    pub(super) ordinal: OrdinalState,
    pub(super) identity: IdentityState,
}

/// A message that was sent under a term.
pub(super) enum FencedMessage {
    /// The server on this stream holds the lease on the configuration.
    LeaseHolder { stream: u64 },
    /// A version is offered on a stream.
    Offer { stream: u64, offer: Box<Offer> },
    /// The proxy's ordinal, confirmed for a report of that time on the proxy's [`clock`](crate::clock).
    Ordinal { requested_at: Timestamp, grant: OrdinalGrant },
}

/// The stream that is open.
#[derive(Default)]
pub(super) struct CurrentStream {
    /// Its number; the numbers of streams rise.
    pub(super) id: u64,
    /// Answers that are to be sent on it.
    pub(super) answers: VecDeque<Answer>,
    /// Wakes the coroutine that owns it, while it is connected.
    pub(super) waker: Option<Waker>,
}

/// The ordinal that the proxy holds a lease on.
#[derive(Default)]
pub(super) struct OrdinalState {
    pub(super) lease: OrdinalLease,
    /// The position that the proxy was assigned last.
    pub(super) assigned: Option<FleetPosition>,
}

/// Whether this process has the proxy's name.
#[derive(Default)]
pub(super) struct IdentityState {
    /// The term under which it was granted the name; 0: it never was.
    pub(super) term: u64,
    /// Another process has the name now.
    pub(super) is_superseded: bool,
}

impl SubscriberState {
    /// The state at the start, with what was found on disk.
    pub(super) fn new(tracker: VersionTracker, terms: BTreeMap<String, u64>, servers: usize) -> Self {
        SubscriberState {
            tracker,
            stream: CurrentStream::default(),
            fencing: FencingGuard::new(terms),
            discovery: LeaderDiscovery::new(servers),
            ordinal: OrdinalState::default(),
            identity: IdentityState::default(),
        }
    }
}

impl IdentityState {
    /// A server granted this process the proxy's name under a term; 0: it did not.
    pub(super) fn on_name_granted(&mut self, term: u64) {
        if term == 0 {
            return;
        }
        if std::mem::take(&mut self.is_superseded) {
            tracing::info!(name_term = term, "this process has the proxy's name again");
        }
        self.term = term;
    }
}

impl CurrentStream {
    /// Wakes the coroutine that owns the stream, to send what waits or to look at its clocks.
    pub(super) fn wake(&self) {
        if let Some(waker) = &self.waker {
            waker.wakeup();
        }
    }
}
