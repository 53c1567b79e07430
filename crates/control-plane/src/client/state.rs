//! The state that the coroutines of the stream and of the timer share with the storage thread.

use std::collections::{BTreeMap, VecDeque};

use gaugestep_clock::Timestamp;
use gaugestep_config::schema::{Answer, Offer};
use gaugestep_config::version_tracker::VersionTracker;
use gaugestep_coroutine_io::stream::Waker;
use gaugestep_leadership::fencing::FencingGuard;
use gaugestep_leadership::leader_discovery::LeaderDiscovery;
use gaugestep_subsetting::ordinal_lease::{OrdinalGrant, OrdinalLease};
use gaugestep_subsetting::position::FleetPosition;

/// The state of a subscriber. The documentation of the [module](super) gives the order in which its lock and
/// others are acquired.
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
    /// The server on this stream holds the configuration role.
    LeaseHolder { stream: u64 },
    /// An offer of a version, received on this stream.
    Offer { stream: u64, offer: Box<Offer> },
    /// The proxy's ordinal, confirmed in response to the report that was sent at `requested_at` on the
    /// proxy's [`clock`](crate::clock).
    Ordinal { requested_at: Timestamp, grant: OrdinalGrant },
}

/// The current stream to a control server.
#[derive(Default)]
pub(super) struct CurrentStream {
    /// The number of the stream, from 1; each new stream has the next one.
    pub(super) id: u64,
    /// Responses to offers that are still to be sent on it.
    pub(super) pending_responses: VecDeque<Answer>,
    /// Wakes the coroutine that owns the stream; `None` while not connected.
    pub(super) waker: Option<Waker>,
}

/// The lease on the proxy's ordinal, and the position in use.
#[derive(Default)]
pub(super) struct OrdinalState {
    pub(super) lease: OrdinalLease,
    /// The position that was last passed to the proxy; `None` if it has no lease.
    pub(super) assigned: Option<FleetPosition>,
}

/// Whether the control servers have granted this process the proxy's name.
#[derive(Default)]
pub(super) struct IdentityState {
    /// The term under which this process was granted the name; 0 if it never was.
    pub(super) term: u64,
    /// Whether another process was granted the name since.
    pub(super) is_superseded: bool,
}

impl SubscriberState {
    /// The initial state, with the recovered versions and terms.
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
    /// Handles a welcome that grants this process the proxy's name under `term`; 0 if it grants nothing.
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
    /// Wakes the coroutine that owns the stream, to send pending responses or to check its timeouts.
    pub(super) fn wake(&self) {
        if let Some(waker) = &self.waker {
            waker.wakeup();
        }
    }
}
