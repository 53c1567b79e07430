//! The thread of a replica, which owns the Raft library and the store.
//!
//! A store that fails ends a turn of the thread, not the process: this member is silent then, and opens the store again.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use gaugestep_leadership::NO_MEMBER;

pub use crate::raft::driver::OnChange;

use crate::clock;
use crate::raft::driver::RaftDriver;
use crate::raft::error::ReplicaError;
use crate::raft::recovery::{RecoveredState, process_member};
use crate::raft::replica::{PeerTls, Replica};
use crate::raft::request::Request;
use crate::raft::settings::ReplicaSettings;
use crate::raft::state::ReplicaState;
use crate::raft::transport::outbound;
use crate::transport::tls::{ClientTls, TlsError, TlsIdentity};

/// A store that has failed is opened again after this time.
const REOPEN_DELAY: Duration = Duration::from_secs(1);

/// A replica whose thread was not started yet.
pub struct ReplicaThread {
    replica: Arc<Replica>,
    recovered: RecoveredState,
    requests: Receiver<Request>,
}

/// Opens the store of a replica. The thread is started apart, once the receiver of changes exists.
///
/// # Errors
///
/// If the keys or the store cannot be used.
pub fn open(settings: ReplicaSettings) -> Result<(Arc<Replica>, ReplicaThread), ReplicaError> {
    let tls = settings.keys.as_ref().map(load_keys).transpose()?;
    let recovered = RecoveredState::open(&settings)?;
    let own = process_member(&settings, recovered.boot);
    // The numbers of lease requests follow the start's, so that none is used again after a restart.
    let mut state = ReplicaState::new(own.clone(), recovered.group.clone(), recovered.boot << 32);
    state.applied_index = recovered.log.applied_index;
    state.voters = recovered.log.membership.voters.iter().copied().collect();
    let (sender, requests) = channel();
    let replica = Arc::new(Replica::new(settings, own, state, sender, tls));
    let thread = ReplicaThread { replica: Arc::clone(&replica), recovered, requests };
    Ok((replica, thread))
}

fn load_keys(keys: &TlsIdentity) -> Result<PeerTls, TlsError> {
    Ok(PeerTls { keys: ClientTls::load(keys.files.clone())?, service_name: keys.server_name.clone() })
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
                replica.abort_process("the thread that agrees with the other members has panicked");
            }
        };
        let thread = std::thread::Builder::new().name("group".into()).spawn(run);
        thread.map(drop).map_err(ReplicaError::Thread)
    }

    /// One turn after the other: each lasts until the store fails.
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

/// This member does not act for any role until the store has worked for a while.
fn on_store_failure(replica: &Replica, error: &ReplicaError) {
    tracing::error!(member = replica.own_member.number, "the store cannot be used: {error}");
    let mut state = replica.lock_state();
    state.store_failure = Some(error.to_string());
    state.leader = NO_MEMBER;
    state.lease.store_failed(clock::now());
}

/// Answers requests for some time that there is no store.
fn reject_requests(replica: &Replica, requests: &Receiver<Request>, duration: Duration) {
    let deadline = Instant::now() + duration;
    while let Ok(request) = requests.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
        if let Some(responder) = request.into_responder() {
            responder(Err(replica.unavailable_reason()));
        }
    }
}
