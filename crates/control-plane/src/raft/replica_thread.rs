//! The thread of a replica, which owns the Raft library and the store.
//!
//! A store failure ends a run of the driver, not the process: this member stops participating, then reopens
//! the store and starts the next run.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use gaugestep_leadership::NO_MEMBER;

pub use crate::raft::driver::OnChange;

use crate::clock;
use crate::raft::driver::RaftDriver;
use crate::raft::error::ReplicaError;
use crate::raft::member_starts::member_starts;
use crate::raft::recovery::{RecoveredState, process_member};
use crate::raft::replica::{PeerTls, Replica};
use crate::raft::request::Request;
use crate::raft::settings::ReplicaSettings;
use crate::raft::state::ReplicaState;
use crate::raft::transport::outbound;
use crate::transport::tls::{ClientTls, TlsError, TlsIdentity};

/// The delay before a failed store is reopened.
const REOPEN_DELAY: Duration = Duration::from_secs(1);

/// A replica whose thread has not been started yet.
pub struct ReplicaThread {
    replica: Arc<Replica>,
    recovered: RecoveredState,
    requests: Receiver<Request>,
}

/// Opens the store of a replica. The thread is started separately, because the receiver of its changes needs
/// the replica.
///
/// # Errors
///
/// If the TLS keys or the store cannot be used.
pub fn open(settings: ReplicaSettings) -> Result<(Arc<Replica>, ReplicaThread), ReplicaError> {
    let tls = settings.tls.as_ref().map(load_peer_tls).transpose()?;
    let recovered = RecoveredState::open(&settings)?;
    let own = process_member(&settings, recovered.boot);
    // Lease request numbers start from the number of this process start, so that none is reused after a
    // restart.
    let mut state = ReplicaState::new(own.clone(), recovered.group.clone(), recovered.boot << 32);
    state.applied_index = recovered.log.applied_index;
    state.voters = recovered.log.membership.voters.iter().copied().collect();
    state.peers.record(&recovered.group, &member_starts(&recovered.log.entries));
    let (sender, requests) = channel();
    let replica = Arc::new(Replica::new(settings, own, state, sender, tls));
    let thread = ReplicaThread { replica: Arc::clone(&replica), recovered, requests };
    Ok((replica, thread))
}

fn load_peer_tls(identity: &TlsIdentity) -> Result<PeerTls, TlsError> {
    Ok(PeerTls {
        config: ClientTls::load(identity.files.clone())?,
        server_name: identity.server_name.clone(),
    })
}

impl ReplicaThread {
    /// Starts the thread and connects to the other members. `on_change` is called on the thread.
    ///
    /// # Errors
    ///
    /// If the thread cannot be started.
    pub fn start(self, on_change: OnChange) -> Result<(), ReplicaError> {
        outbound::connect_missing(&self.replica);
        let run = move || {
            let replica = Arc::clone(&self.replica);
            if catch_unwind(AssertUnwindSafe(|| self.run(&on_change))).is_err() {
                replica.abort_process("the thread of the replica has panicked");
            }
        };
        let thread = std::thread::Builder::new().name("group".into()).spawn(run);
        thread.map(drop).map_err(ReplicaError::Thread)
    }

    /// Runs the driver again and again: each run lasts until the store fails.
    fn run(self, on_change: &OnChange) {
        let ReplicaThread { replica, recovered, requests } = self;
        let mut recovered = Some(recovered);
        for run_number in 0u64.. {
            let opened = match recovered.take() {
                Some(recovered) => Ok(recovered),
                None => RecoveredState::reopen(&replica.settings, replica.own_member.boot),
            };
            let result = opened.and_then(|opened| {
                RaftDriver::start(&replica, opened, run_number, on_change)?.run(&requests)
            });
            let Err(error) = result else { return };
            on_store_failure(&replica, &error);
            on_change(&[]);
            reject_requests(&replica, &requests, REOPEN_DELAY);
        }
    }
}

/// Records the failure. This member acts for no role until the store has worked again for some time.
fn on_store_failure(replica: &Replica, error: &ReplicaError) {
    tracing::error!(member = replica.own_member.number, "the store cannot be used: {error}");
    let mut state = replica.lock_state();
    state.store_failure = Some(error.to_string());
    state.leader = NO_MEMBER;
    state.lease.on_store_failure(clock::now());
}

/// Rejects all requests during the given time, because there is no usable store.
fn reject_requests(replica: &Replica, requests: &Receiver<Request>, duration: Duration) {
    let deadline = Instant::now() + duration;
    let remaining = || deadline.saturating_duration_since(Instant::now());
    while let Ok(request) = requests.recv_timeout(remaining()) {
        if let Some(responder) = request.into_responder() {
            responder(Err(replica.unavailable_reason()));
        }
    }
}
