//! One member of a group, as coroutines see it: they read the replicated state, and send requests to the replica's thread.

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

/// The most reports of other members that wait. One that is dropped is made up for by the next of the same member.
const MAX_PRESENCE_REPORTS: usize = 64;

/// Keys with which this member connects to others.
pub(crate) struct PeerTls {
    pub(crate) keys: ClientTls,
    /// The name that the other members' certificates carry.
    pub(crate) service_name: String,
}

/// One member of a group.
///
/// Each lock here is held for moments, and none while another is taken.
pub struct Replica {
    pub(crate) own_member: Member,
    pub(crate) settings: ReplicaSettings,
    state: Mutex<ReplicaState>,
    requests: Mutex<Sender<Request>>,
    /// Messages for the other members.
    pub links: PeerLinks,
    tls: Option<PeerTls>,
    /// Which proxies other members hear, until the holder of the ordinals role takes it.
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

    /// Ends the process, as it must not continue, and logs the reason.
    pub(crate) fn abort_process(&self, reason: &str) {
        tracing::error!(member = self.own_member.number, "the process ends: {reason}");
        eprintln!("gaugestep-control: {reason}");
        std::process::exit(1);
    }

    pub(crate) fn lock_state(&self) -> MutexGuard<'_, ReplicaState> {
        lock(&self.state)
    }

    pub(crate) fn submit(&self, request: Request) {
        // The thread lives as long as the process.
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

    /// Whether this member is the only one that votes.
    pub fn is_single_voter(&self) -> bool {
        self.lock_state().voters.len() == 1
    }

    /// The Raft leader; [`NO_MEMBER`] if none is known.
    pub fn leader(&self) -> u64 {
        self.lock_state().leader
    }

    /// A member as of its latest known start.
    pub fn member(&self, number: u64) -> Option<Member> {
        let state = self.lock_state();
        state.peers.member(&state.group, number)
    }

    /// What the command `members` shows.
    pub fn members(&self) -> schema::Members {
        self.lock_state().member_report(self.own_member.number, clock::now())
    }

    /// What the command `duties` shows.
    pub fn roles(&self) -> schema::Duties {
        self.lock_state().role_report(clock::now())
    }

    /// The name that other members' certificates carry, where there are keys.
    pub fn peer_name(&self) -> Option<&str> {
        self.tls.as_ref().map(|tls| tls.service_name.as_str())
    }

    // Leases.

    /// The term under which this member may act for a role at this very moment.
    pub fn acting_term(&self, role: &str) -> Option<u64> {
        let state = self.lock_state();
        let RoleHolder { member, term } = state.group.holder(role);
        let has_lease = state.may_act(clock::now(), role, term) || failpoints::is_check_disabled("owner");
        (member == self.own_member.number && has_lease).then_some(term)
    }

    /// Whether this member has its lease, and so knows the replicated state but for the last moments.
    pub fn has_lease(&self) -> bool {
        self.lock_state().has_lease(clock::now())
    }

    /// Hands a role over: this member does not act for it any more, before another member can learn of it.
    pub fn hand_over(&self, role: &str, term: u64, to: u64, responder: Responder) {
        self.lock_state().lease.resign(clock::now(), role, term);
        let what = Some(schema::act::What::HandOver(to));
        self.propose(Command { duty: role.into(), term, what, ..Command::default() }, responder);
    }

    /// Why no member acts for a role at present.
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

    /// Proposes a command in the name of this member. `responder` is called within some seconds.
    pub fn propose(&self, command: Command, responder: Responder) {
        let command = Box::new(Command { by: self.own_member.number, ..command });
        self.submit(Request::Propose { command, responder });
    }

    /// Proposes that a member joins.
    pub fn add_member(&self, member: Member, responder: Responder) {
        self.submit(Request::AddMember { member, responder });
    }

    /// Proposes that a member is removed for good.
    pub fn remove_member(&self, member: u64, responder: Responder) {
        self.submit(Request::RemoveMember { member, responder });
    }

    // Which proxies the members hear.

    /// Takes the report of a member: which proxies it hears.
    pub fn report_presence(&self, report: Present) {
        let mut reports = lock(&self.presence_reports);
        if reports.len() < MAX_PRESENCE_REPORTS {
            reports.push(report);
        }
    }

    /// The reports since this was called last.
    pub fn take_presence_reports(&self) -> Vec<Present> {
        std::mem::take(&mut *lock(&self.presence_reports))
    }

    // For the streams between members.

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

    /// The answer to a peer that is accepted.
    pub(crate) fn welcome(&self) -> PeerWelcome {
        let state = self.lock_state();
        let members = state.peers.all_members(&state.group);
        PeerWelcome { member: self.own_member.number, members, refused: String::new(), fatal: false }
    }

    pub(crate) fn check_hello(&self, hello: &PeerHello) -> Result<(), PeerRejected> {
        let state = self.lock_state();
        state.peers.check_hello(&state.group, hello)
    }

    pub(crate) fn check_membership(&self, member: u64) -> Result<(), PeerRejected> {
        let state = self.lock_state();
        state.peers.check_membership(&state.group, member)
    }

    /// Records members as a peer reports them. The caller connects to those that are new.
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
