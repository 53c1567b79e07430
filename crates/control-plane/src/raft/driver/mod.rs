//! The driver of the Raft library and the store, on the replica's thread. A run of it ends when the store
//! fails.
//!
//! Each iteration of [`RaftDriver::run`] handles requests, ticks the library's clock, persists and sends what
//! the library has ready ([`persistence`]), applies committed entries ([`apply`]), maintains leases and does
//! the leader's tasks ([`leadership`]), and responds to the proposals that were committed ([`proposals`]). A
//! member that was removed from its group ends ([`removal`]).

mod apply;
mod leadership;
mod log_bridge;
mod persistence;
mod proposals;
mod removal;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use gaugestep_leadership::group_state::{Outcome, StateChange};
use gaugestep_leadership::lease::{LeaseGrantor, LeaseTiming};
use gaugestep_leadership::pending_proposals::PendingProposals;
use gaugestep_storage::control_store::ControlStore;
use prost::Message as _;
use raft::{Config, RawNode};

use self::removal::ReportedCommits;
use crate::raft::error::ReplicaError;
use crate::raft::recovery::RecoveredState;
use crate::raft::replica::Replica;
use crate::raft::request::{Request, Responder, Unavailable};
use crate::raft::storage::{LogContents, RaftStorage};
use crate::raft::transport::outbound;

/// The interval of the library's clock.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// An election starts after one to two times this many ticks without a message from the leader.
const ELECTION_TICKS: usize = 10;
/// The number of ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// The maximum size of the entries in one message.
const MAX_BYTES_PER_MESSAGE: u64 = 256 * 1024;
/// The maximum number of unacknowledged messages with entries per member.
const MAX_MESSAGES_IN_FLIGHT: usize = 64;
/// The maximum number of queued requests that are handled, after the first one, before their effects are
/// persisted.
const MAX_REQUESTS_PER_BATCH: usize = 256;
/// The interval at which the TLS key files are checked for changes.
const KEY_RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// A callback for changes of the replicated state. It is called with an empty slice if only a lease may have
/// changed.
pub type OnChange = Box<dyn Fn(&[StateChange]) + Send>;

/// A proposal of this process that was committed.
struct CommittedProposal {
    number: u64,
    outcome: Outcome,
}

/// One run of the Raft library with the store.
pub(crate) struct RaftDriver<'a> {
    replica: &'a Arc<Replica>,
    on_change: &'a OnChange,
    raw_node: RawNode<RaftStorage>,
    log: RaftStorage,
    store: ControlStore,
    grantor: LeaseGrantor,
    proposals: PendingProposals,
    /// The responders of pending proposals, by proposal number.
    responders: BTreeMap<u64, Responder>,
    /// The changes of the replicated state in this iteration.
    changes: Vec<StateChange>,
    /// The proposals of this process that were committed in this iteration.
    committed: Vec<CommittedProposal>,
    /// The log index by which this member was removed; `None` while it belongs to the group.
    own_removal: Option<u64>,
    /// How far the logs of the other members are committed.
    reported_commits: ReportedCommits,
    next_tick: Instant,
    keys_checked_at: Instant,
}

impl<'a> RaftDriver<'a> {
    /// Starts a run from the contents of the store. `run_number` counts the runs of this process from 0.
    pub(crate) fn start(
        replica: &'a Arc<Replica>,
        recovered: RecoveredState,
        run_number: u64,
        on_change: &'a OnChange,
    ) -> Result<Self, ReplicaError> {
        let RecoveredState { store, group, log, .. } = recovered;
        let voters = &log.membership.voters;
        let own_removal = group.removed.contains(&replica.own_member.number).then_some(log.applied_index);
        let is_single_voter = *voters == [replica.own_member.number];
        tracing::info!(
            member = replica.own_member.number,
            applied = log.applied_index,
            committed = log.hard_state.commit,
            last = log.last_index(),
            ?voters,
            "replica recovered"
        );
        {
            let mut state = replica.lock_state();
            state.group = group;
            state.applied_index = log.applied_index;
            state.voters = voters.iter().copied().collect();
            state.store_failure = None;
        }
        let (raw_node, log) = open_raft(replica, log)?;
        let now = Instant::now();
        let mut driver = RaftDriver {
            replica,
            on_change,
            raw_node,
            log,
            store,
            grantor: LeaseGrantor::new(LeaseTiming::default()),
            // The run number is part of the proposal numbers: a proposal of an earlier run may still be
            // committed, and must not be mistaken for one of this run.
            proposals: PendingProposals::new(run_number << 32),
            responders: BTreeMap::new(),
            changes: Vec::new(),
            committed: Vec::new(),
            own_removal,
            reported_commits: ReportedCommits::default(),
            next_tick: now,
            keys_checked_at: now,
        };
        if is_single_voter {
            // No other member can lead, so there is no need to wait for an election timeout.
            driver.raw_node.campaign()?;
        }
        Ok(driver)
    }

    /// Serves requests until the store fails or every sender of requests was dropped.
    pub(crate) fn run(mut self, requests: &Receiver<Request>) -> Result<(), ReplicaError> {
        let result = self.serve(requests);
        for responder in std::mem::take(&mut self.responders).into_values() {
            responder(Err(Unavailable::StoreFailed));
        }
        result
    }

    fn serve(&mut self, requests: &Receiver<Request>) -> Result<(), ReplicaError> {
        loop {
            let timeout = self.next_tick.saturating_duration_since(Instant::now());
            match requests.recv_timeout(timeout) {
                Ok(request) => self.handle_batch(request, requests),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
            let ticked = self.tick_if_due();
            self.process_ready()?;
            self.maintain_leases(ticked || !self.changes.is_empty());
            self.process_ready()?;
            self.notify_changes();
            self.respond_to_committed();
            self.end_if_removed();
        }
    }

    /// Handles a request and those that are queued after it.
    fn handle_batch(&mut self, first: Request, requests: &Receiver<Request>) {
        self.handle(first);
        for request in requests.try_iter().take(MAX_REQUESTS_PER_BATCH) {
            self.handle(request);
        }
    }

    /// Ticks the library's clock if a tick is due. After a suspension it ticks only once, so that this member
    /// receives the messages of the other members before it starts an election.
    fn tick_if_due(&mut self) -> bool {
        let now = Instant::now();
        if now < self.next_tick {
            return false;
        }
        self.next_tick = now + TICK_INTERVAL;
        self.raw_node.tick();
        self.replica.links.wake_all();
        if self.keys_checked_at.elapsed() >= KEY_RELOAD_INTERVAL {
            self.keys_checked_at = Instant::now();
            if let Some(tls) = self.replica.tls() {
                tls.config.reload_if_changed();
            }
        }
        true
    }

    /// Passes the changes of this iteration to the server, and connects to new members.
    fn notify_changes(&mut self) {
        let changes = std::mem::take(&mut self.changes);
        if changes.contains(&StateChange::MembersChanged) {
            outbound::connect_missing(self.replica);
        }
        (self.on_change)(&changes);
    }
}

/// Creates the library's node from the contents of a log.
fn open_raft(
    replica: &Arc<Replica>,
    log: LogContents,
) -> Result<(RawNode<RaftStorage>, RaftStorage), ReplicaError> {
    let config = Config {
        id: replica.own_member.number,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied: log.applied_index,
        max_size_per_msg: MAX_BYTES_PER_MESSAGE,
        max_inflight_msgs: MAX_MESSAGES_IN_FLIGHT,
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    };
    // A strong reference from the log would keep the replica alive.
    let weak = Arc::downgrade(replica);
    let encode_snapshot = move || {
        let encode = |replica: Arc<Replica>| replica.with_state(|group| group.to_snapshot().encode_to_vec());
        weak.upgrade().map(encode).unwrap_or_default()
    };
    let storage = RaftStorage::new(log, Box::new(encode_snapshot));
    let raw_node = RawNode::new(&config, storage.clone(), &log_bridge::logger())?;
    Ok((raw_node, storage))
}
