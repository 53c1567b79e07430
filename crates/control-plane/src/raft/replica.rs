//! The handle through which coroutines use the replica: they read the replicated state and send requests to
//! the replica's thread.

use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::sync::{Mutex, MutexGuard};

use gaugestep_config::schema::{self, Member, PeerHello, PeerWelcome, Present, Renewed, Yield};
use gaugestep_coroutine_io::lock;
use gaugestep_leadership::group_state::{Command, GroupState};
use gaugestep_leadership::peer_directory::PeerRejected;
use gaugestep_leadership::{NO_MEMBER, RoleHolder};
use raft::eraftpb::Message;

use crate::raft::peer_links::PeerLinks;
use crate::raft::request::{Request, Responder, Unavailable};
use crate::raft::settings::ReplicaSettings;
use crate::raft::state::ReplicaState;
use crate::transport::tls::ClientTls;
use crate::{clock, failpoints};

/// The maximum number of queued presence reports. Further ones are discarded; the next report of the same
/// member replaces them.
const MAX_PRESENCE_REPORTS: usize = 64;

/// The TLS configuration with which this member connects to the other members.
pub(crate) struct PeerTls {
    pub(crate) config: ClientTls,
    /// The name that the other members' certificates must contain.
    pub(crate) server_name: String,
}

/// The replica of the group's state on this member.
///
/// Each lock is held only briefly, and no other lock is acquired while it is held.
pub struct Replica {
    pub(crate) own_member: Member,
    pub(crate) settings: ReplicaSettings,
    state: Mutex<ReplicaState>,
    requests: Mutex<Sender<Request>>,
    /// The queues of messages to the other members.
    pub links: PeerLinks,
    tls: Option<PeerTls>,
    /// Reports of the proxies that are connected to the members, until the holder of the ordinals role
    /// processes them.
    presence_reports: Mutex<Vec<Present>>,
}

impl Replica {
    pub(crate) fn new(
        settings: ReplicaSettings,
        own_member: Member,
        state: ReplicaState,
        requests: Sender<Request>,
        tls: Option<PeerTls>,
    ) -> Self {
        Replica {
            own_member,
            settings,
            state: Mutex::new(state),
            requests: Mutex::new(requests),
            links: PeerLinks::default(),
            tls,
            presence_reports: Mutex::default(),
        }
    }

    /// Logs the reason and ends the process, because it must not continue.
    pub(crate) fn abort_process(&self, reason: &str) {
        tracing::error!(member = self.own_member.number, "the process ends: {reason}");
        eprintln!("gaugestep-control: {reason}");
        std::process::exit(1);
    }

    pub(crate) fn lock_state(&self) -> MutexGuard<'_, ReplicaState> {
        lock(&self.state)
    }

    pub(crate) fn submit(&self, request: Request) {
        // Sending cannot fail: the thread runs until the process ends.
        let _ = lock(&self.requests).send(request);
    }

    /// The number of this member.
    pub fn member_number(&self) -> u64 {
        self.own_member.number
    }

    /// The lineage of the group; 0: this member has not joined one yet.
    pub fn lineage(&self) -> u64 {
        self.lock_state().group.lineage
    }

    /// Calls a function with the replicated state.
    pub fn with_state<T>(&self, read: impl FnOnce(&GroupState) -> T) -> T {
        read(&self.lock_state().group)
    }

    /// Whether this member is the only voter.
    pub fn is_single_voter(&self) -> bool {
        self.lock_state().voters.len() == 1
    }

    /// The number of the Raft leader; [`NO_MEMBER`] if this member knows of none.
    pub fn leader(&self) -> u64 {
        self.lock_state().leader
    }

    /// A member with the addresses of its latest recorded start; `None` if no member has this number.
    pub fn member(&self, number: u64) -> Option<Member> {
        let state = self.lock_state();
        state.peers.member(&state.group, number)
    }

    /// The report for the command `members`.
    pub fn members(&self) -> schema::Members {
        self.lock_state().member_report(self.own_member.number, clock::now())
    }

    /// The report for the command `duties`.
    pub fn roles(&self) -> schema::Duties {
        self.lock_state().role_report(clock::now())
    }

    /// The name that the certificates of the other members must contain; `None` without TLS.
    pub fn peer_name(&self) -> Option<&str> {
        self.tls.as_ref().map(|tls| tls.server_name.as_str())
    }

    // Leases.

    /// The term under which this member may act for a role at this moment; `None` if it may not.
    pub fn acting_term(&self, role: &str) -> Option<u64> {
        let state = self.lock_state();
        let RoleHolder { member, term } = state.group.holder(role);
        let has_lease = state.may_act(clock::now(), role, term) || failpoints::is_check_disabled("owner");
        (member == self.own_member.number && has_lease).then_some(term)
    }

    /// Whether this member has its lease, which means that its replicated state is at most one lease duration
    /// behind.
    pub fn has_lease(&self) -> bool {
        self.lock_state().has_lease(clock::now())
    }

    /// Hands a role over. This member stops acting for the role before the hand-over is proposed.
    pub fn hand_over(&self, role: &str, term: u64, to: u64, responder: Responder) {
        self.lock_state().lease.resign(clock::now(), role, term);
        let what = Some(schema::act::What::HandOver(to));
        self.propose(Command { duty: role.into(), term, what, ..Command::default() }, responder);
    }

    /// The reason why no member acts for a role at present.
    pub fn unavailable_reason(&self) -> Unavailable {
        let (state, member) = (self.lock_state(), self.own_member.number);
        if let Some(reason) = &state.store_failure {
            return Unavailable::StoreUnusable { member, reason: reason.clone() };
        }
        if state.group.lineage == 0 {
            return Unavailable::NotJoined(member);
        }
        match state.leader {
            NO_MEMBER => Unavailable::NoMajority,
            _ => Unavailable::NoHolder,
        }
    }

    // Commands.

    /// Proposes a command on behalf of this member. `responder` is called with the result or, after a few
    /// seconds, with a timeout.
    pub fn propose(&self, command: Command, responder: Responder) {
        let command = Box::new(Command { by: self.own_member.number, ..command });
        self.submit(Request::Propose { command, responder });
    }

    /// Proposes to add a member.
    pub fn add_member(&self, member: Member, responder: Responder) {
        self.submit(Request::AddMember { member, responder });
    }

    /// Proposes to remove a member. A removed member's number is never used again.
    pub fn remove_member(&self, member: u64, responder: Responder) {
        self.submit(Request::RemoveMember { member, responder });
    }

    // Presence of proxies.

    /// Queues a member's report of the proxies that are connected to it.
    pub fn report_presence(&self, report: Present) {
        let mut reports = lock(&self.presence_reports);
        if reports.len() < MAX_PRESENCE_REPORTS {
            reports.push(report);
        }
    }

    /// Removes and returns the queued reports.
    pub fn take_presence_reports(&self) -> Vec<Present> {
        std::mem::take(&mut *lock(&self.presence_reports))
    }

    // Streams between members.

    pub(crate) fn tls(&self) -> Option<&PeerTls> {
        self.tls.as_ref()
    }

    pub(crate) fn other_members(&self) -> Vec<u64> {
        let state = self.lock_state();
        state.peers.other_members(&state.group)
    }

    pub(crate) fn address(&self, member: u64) -> Option<SocketAddr> {
        self.member(member)?.listen.parse().ok()
    }

    /// The response to a peer that is accepted.
    pub(crate) fn welcome(&self) -> PeerWelcome {
        let state = self.lock_state();
        let members = state.peers.all_members(&state.group);
        PeerWelcome { member: self.own_member.number, members, ..PeerWelcome::default() }
    }

    pub(crate) fn check_hello(&self, hello: &PeerHello) -> Result<(), PeerRejected> {
        let state = self.lock_state();
        state.peers.check_hello(&state.group, hello)
    }

    pub(crate) fn check_membership(&self, member: u64) -> Result<(), PeerRejected> {
        let state = self.lock_state();
        state.peers.check_membership(&state.group, member)
    }

    /// Records the members that a peer has reported. The caller must connect to new ones.
    pub(crate) fn record_members(&self, members: &[Member]) {
        let mut state = self.lock_state();
        let ReplicaState { peers, group, .. } = &mut *state;
        peers.record(group, members);
    }

    pub(crate) fn mark_alive(&self, member: u64) {
        self.lock_state().peers.mark_alive(member, clock::now());
    }

    pub(crate) fn step(&self, message: Message) {
        self.submit(Request::Step(Box::new(message)));
    }

    pub(crate) fn on_lease_request(&self, member: u64, number: u64) {
        self.submit(Request::GrantLease { member, number });
    }

    pub(crate) fn on_lease_granted(&self, granted: &Renewed) {
        self.lock_state().lease.on_granted(granted.number, granted.applied);
    }

    pub(crate) fn on_hand_over_requested(&self, request: Yield) {
        self.submit(Request::HandOver(request));
    }

    pub(crate) fn report_unreachable(&self, member: u64) {
        self.submit(Request::ReportUnreachable { member });
    }
}
