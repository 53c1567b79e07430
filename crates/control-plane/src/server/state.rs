//! The state that the modules of a control server share.
//!
//! Locks are acquired in this order: the server's state, the suspension detector, the locks of the replica.
//! No lock is held while a coroutine waits for a connection.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, Weak};

use gaugestep_clock::Timestamp;
use gaugestep_config::rollout::{Action, Rollout};
use gaugestep_config::schema::act::What;
use gaugestep_config::schema::{Act, FromService, Hello, from_service};
use gaugestep_coroutine_io::stream::Waker;
use gaugestep_leadership::CONFIGURATION_ROLE;
use gaugestep_leadership::checkpoint::CheckpointBarrier;
use gaugestep_leadership::identity::IdentityRegistry;
use gaugestep_leadership::pause_detector::SuspensionDetector;
use gaugestep_subsetting::roster::RosterManager;

use crate::raft::replica::Replica;
use crate::raft::request::Responder;
use crate::server::settings::Settings;
use crate::{clock, lock};

/// The identifier of a session. Identifiers ascend and are not reused within a process.
pub(crate) type SessionId = u64;

/// A connected proxy, as described by its hello.
pub(crate) struct ConnectedProxy {
    /// The proxy's hello, updated with its acknowledgements.
    pub(crate) hello: Hello,
    /// The time of the last update of `hello`, on the lease clock.
    pub(crate) updated_at: Timestamp,
}

impl ConnectedProxy {
    /// The highest term of the configuration role that the proxy has received.
    pub(crate) fn highest_term(&self) -> u64 {
        highest_term(&self.hello)
    }
}

/// The highest term of the configuration role in a hello; 0 if there is none.
pub(crate) fn highest_term(hello: &Hello) -> u64 {
    let terms = hello.seen.iter().filter(|role| role.duty == CONFIGURATION_ROLE).map(|role| role.term);
    terms.max().unwrap_or(0)
}

/// The shared state of a connection. Only the connection's own coroutine reads and writes the socket.
pub(crate) struct Session {
    outbound: VecDeque<FromService>,
    waker: Waker,
    /// The proxy, once its hello has been received; `None` for members and operators.
    pub(crate) proxy: Option<ConnectedProxy>,
    /// `asked_ms` of the proxy's latest figures, echoed in the ordinal message so that the proxy can date the
    /// confirmation.
    pub(crate) figures_sent_ms: u64,
    /// Whether the session's coroutine is to close it, so that the proxy reconnects.
    pub(crate) close_requested: bool,
}

impl Session {
    fn new(waker: Waker) -> Self {
        Session { outbound: VecDeque::new(), waker, proxy: None, figures_sent_ms: 0, close_requested: false }
    }

    /// Queues a message and wakes the coroutine that sends it.
    pub(crate) fn send(&mut self, said: from_service::Said) {
        self.outbound.push_back(FromService { said: Some(said) });
        self.waker.wakeup();
    }

    /// Removes and returns the queued messages.
    pub(crate) fn take_outbound(&mut self) -> VecDeque<FromService> {
        std::mem::take(&mut self.outbound)
    }

    /// The highest term of the configuration role that the proxy has received; 0 before its hello.
    pub(crate) fn highest_term(&self) -> u64 {
        self.proxy.as_ref().map_or(0, ConnectedProxy::highest_term)
    }
}

/// The open sessions of a server, by identifier.
#[derive(Default)]
pub(crate) struct SessionTable {
    sessions: BTreeMap<SessionId, Session>,
    last_id: SessionId,
}

impl SessionTable {
    /// Adds a session and returns its identifier. `waker` wakes the session's coroutine.
    pub(crate) fn open(&mut self, waker: Waker) -> SessionId {
        self.last_id += 1;
        self.sessions.insert(self.last_id, Session::new(waker));
        self.last_id
    }

    /// Removes a session and returns its proxy, if it has one.
    pub(crate) fn close(&mut self, id: SessionId) -> Option<ConnectedProxy> {
        self.sessions.remove(&id)?.proxy
    }

    pub(crate) fn len(&self) -> usize {
        self.sessions.len()
    }

    pub(crate) fn get(&self, id: SessionId) -> Option<&Session> {
        self.sessions.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: SessionId) -> Option<&mut Session> {
        self.sessions.get_mut(&id)
    }

    /// Queues a message for a session. Does nothing if the session is closed.
    pub(crate) fn send(&mut self, id: SessionId, said: from_service::Said) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.send(said);
        }
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Session> {
        self.sessions.values()
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut Session> {
        self.sessions.values_mut()
    }

    /// The sessions of proxies, in the order in which they were opened.
    pub(crate) fn proxies(&self) -> impl Iterator<Item = (SessionId, &ConnectedProxy)> {
        self.sessions.iter().filter_map(|(id, session)| Some((*id, session.proxy.as_ref()?)))
    }

    /// The identifiers of the sessions of proxies.
    pub(crate) fn proxy_ids(&self) -> Vec<SessionId> {
        self.proxies().map(|(id, _)| id).collect()
    }

    /// Wakes the coroutines of all sessions, so that each checks its deadlines.
    pub(crate) fn wake_all(&self) {
        self.values().for_each(|session| session.waker.wakeup());
    }
}

/// The lease of the configuration role and the rollout that its holder runs; empty while this server has no
/// lease.
#[derive(Default)]
pub(crate) struct RolloutLease {
    /// The term under which this server runs the rollout; `None` while it has no lease.
    pub(crate) acting_term: Option<u64>,
    /// Decides which version is offered to which proxy.
    pub(crate) rollout: Rollout,
    /// Delays the offers of a stage until its progress is committed.
    pub(crate) checkpoint_barrier: CheckpointBarrier<Action>,
}

/// The roster that this server manages under the term of its lease.
pub(crate) struct ManagedRoster {
    pub(crate) term: u64,
    pub(crate) manager: RosterManager,
}

/// The state for assigning ordinals and reporting connected proxies.
#[derive(Default)]
pub(crate) struct RosterState {
    /// The managed roster; `None` while this server has no lease of the ordinals role.
    pub(crate) managed: Option<ManagedRoster>,
    /// The time of the last report of connected proxies, on the lease clock.
    pub(crate) reported_at: Option<Timestamp>,
}

/// The mutable state of a server, behind one lock.
#[derive(Default)]
pub(crate) struct ServerState {
    pub(crate) rollout_lease: RolloutLease,
    pub(crate) roster: RosterState,
    /// The process that holds each proxy name.
    pub(crate) identities: IdentityRegistry,
    pub(crate) sessions: SessionTable,
    /// The number of operator calls in progress.
    pub(crate) open_calls: usize,
}

impl ServerState {
    /// The proxy of a session, if its process holds the proxy's name.
    pub(crate) fn identified_proxy(&self, id: SessionId) -> Option<&ConnectedProxy> {
        let proxy = self.sessions.get(id)?.proxy.as_ref()?;
        self.identities.is_holder(&proxy.hello.proxy, id).then_some(proxy)
    }
}

/// The context that all coroutines of a server share.
pub(crate) struct ServerContext {
    state: Mutex<ServerState>,
    /// The replicated state of the group, and the leases.
    pub(crate) replica: Arc<Replica>,
    suspension_detector: Mutex<SuspensionDetector>,
    /// The number of newest versions to retain; older ones are retained only while they are needed.
    pub(crate) retained_versions: u32,
    /// The maximum number of concurrent sessions.
    pub(crate) max_sessions: usize,
    /// Whether the operator has confirmed, with `--restored`, that the process that used the store before
    /// never runs again.
    pub(crate) store_restored: bool,
    weak_self: Weak<ServerContext>,
}

impl ServerContext {
    pub(crate) fn new(replica: Arc<Replica>, settings: &Settings) -> Arc<Self> {
        Arc::new_cyclic(|weak_self| ServerContext {
            state: Mutex::default(),
            replica,
            suspension_detector: Mutex::new(SuspensionDetector::new(clock::now())),
            retained_versions: settings.retained_versions,
            max_sessions: settings.max_streams,
            store_restored: settings.restored,
            weak_self: weak_self.clone(),
        })
    }

    pub(crate) fn lock_state(&self) -> MutexGuard<'_, ServerState> {
        lock(&self.state)
    }

    pub(crate) fn lock_suspension_detector(&self) -> MutexGuard<'_, SuspensionDetector> {
        lock(&self.suspension_detector)
    }

    /// A weak reference to this context, for callbacks that may outlive the server.
    pub(crate) fn downgrade(&self) -> Weak<ServerContext> {
        self.weak_self.clone()
    }

    /// Proposes a command for a role under a term. `responder` is called with the result.
    pub(crate) fn propose(&self, role: &str, term: u64, command: What, responder: Responder) {
        let command = Act { duty: role.into(), term, what: Some(command), ..Act::default() };
        self.replica.propose(command, responder);
    }
}
