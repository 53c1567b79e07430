//! The shell round what control services agree on: the raft library, the store, and who may act. A service that is alone
//! is a group of one.
//!
//! One thread owns the library and the store, as both block. It takes jobs from coroutines, ticks, stores what is to be
//! stored before it is told, applies what is agreed to the [`GroupState`], and tells the service of changes. A store that
//! fails ends the thread's turn, not the process: this member is then silent, and tries anew.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gaugestep_clock::Timestamp;
use gaugestep_config::schema::{self, Act, Member, PeerHello, PeerWelcome, Renewed, Yield};
use gaugestep_leadership::RoleHolder;
use gaugestep_leadership::group_state::{GroupState, Outcome, StateChange};
use gaugestep_leadership::lease::{LeaseSession, LeaseTiming};
use gaugestep_leadership::peer_directory::{PeerDirectory, PeerRejected};
use raft::eraftpb::Message;

use crate::raft::driver::RaftDriver;
use crate::raft::recovery::RecoveredState;
use crate::raft::transport::{self, PeerLinks};
use crate::transport::tls::{ClientTls, TlsFiles};
use crate::{clock, lock};

/// A store that failed is opened anew after this time.
const STORE_AGAIN: Duration = Duration::from_secs(1);
/// Messages of what other members heard of that wait at most: what is lost is told anew.
const PRESENT: usize = 64;

/// How a member runs.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Its number, and where others reach it.
    pub member: Member,
    /// It has an empty store and waits to be added.
    pub joins: bool,
    /// The file of the store.
    pub store: PathBuf,
    /// The store is used although it is a copy or older than its seal, and whoever used it is gone for good.
    pub restored: bool,
    /// Keys with which it dials others, and the name that theirs carry.
    pub keys: Option<(TlsFiles, String)>,
    /// For lots.
    pub seed: u64,
}

/// Is told what became of an act, or that no majority was to be had.
pub type Responder = Box<dyn FnOnce(Result<Outcome, String>) + Send>;

pub(crate) enum Request {
    Propose(Box<Act>, Responder),
    AddMember(Member, Responder),
    RemoveMember(u64, Responder),
    Step(Box<Message>),
    Lease(u64, u64),
    HandOver(Yield),
    Unreachable(u64),
    SnapshotSent(u64, bool),
}

/// What coroutines see.
pub(crate) struct ReplicaState {
    pub(crate) charter: GroupState,
    pub(crate) applied: u64,
    pub(crate) session: LeaseSession,
    pub(crate) leader: u64,
    /// Members that vote; the others are catching up.
    pub(crate) voters: BTreeSet<u64>,
    pub(crate) directory: PeerDirectory,
    /// Since when duties have their owners, as far as this member has seen; acts refused for an old term.
    pub(crate) since: BTreeMap<String, Timestamp>,
    pub(crate) stale: BTreeMap<String, u64>,
    /// Why the store cannot be used.
    pub(crate) broken: Option<String>,
}

/// A member of a group.
pub struct Replica {
    pub(crate) own: Member,
    settings: ReplicaSettings,
    pub(crate) view: Mutex<ReplicaState>,
    jobs: Mutex<Sender<Request>>,
    /// The streams to the others.
    pub links: PeerLinks,
    keys: Option<(ClientTls, String)>,
    /// What other members have heard of, until the keeper of seats takes it.
    present: Mutex<Vec<schema::Present>>,
}

/// Is told of what has changed, and now and then of nothing.
pub type OnChange = Box<dyn Fn(&[StateChange]) + Send>;
/// Starts the thread of a group that was opened.
pub type Start = Box<dyn FnOnce(OnChange) -> Result<(), String>>;

impl Replica {
    /// Opens the store and starts. An error is one plain line. The returned function starts the thread, once whoever is to
    /// be told of changes is there.
    pub fn open(settings: ReplicaSettings) -> Result<(Arc<Self>, Start), String> {
        let keys = settings.keys.as_ref();
        let keys = keys.map(|(files, name)| Ok::<_, String>((ClientTls::load(files.clone())?, name.clone())));
        let keys = keys.transpose()?;
        let opened = RecoveredState::open(&settings, None)?;
        let nonce = settings.seed | 1;
        let own = Member { boot: opened.boot, nonce, ..settings.member.clone() };
        let (jobs, work) = channel();
        let first = opened.boot << 32;
        let group = Arc::new(Replica {
            own: own.clone(),
            view: Mutex::new(ReplicaState {
                charter: opened.charter.clone(),
                applied: opened.applied,
                session: LeaseSession::new(LeaseTiming::default(), first),
                leader: 0,
                voters: opened.members.voters.iter().copied().collect(),
                directory: PeerDirectory::new(own.clone()),
                since: BTreeMap::new(),
                stale: BTreeMap::new(),
                broken: None,
            }),
            jobs: Mutex::new(jobs),
            links: PeerLinks::default(),
            present: Mutex::default(),
            keys,
            settings,
        });
        let started = group.clone();
        let start = move |on_change: OnChange| {
            transport::connect_missing(&started);
            let run = move || {
                let turns = std::panic::AssertUnwindSafe(|| started.run_turns(opened, &work, &on_change));
                if std::panic::catch_unwind(turns).is_err() {
                    started.abort_process("the thread that agrees with the other members has panicked");
                }
            };
            let thread = std::thread::Builder::new().name("group".into()).spawn(run);
            thread.map(drop).map_err(|error| format!("cannot start a thread: {error}"))
        };
        Ok((group, Box::new(start)))
    }

    /// Ends the process: it must not go on, and says why.
    pub fn abort_process(&self, why: &str) {
        tracing::error!(member = self.own.number, "ends: {why}");
        eprintln!("gaugestep-control: {why}");
        std::process::exit(1);
    }

    /// One turn after the other: each lasts until the store fails.
    fn run_turns(self: &Arc<Self>, first: RecoveredState, work: &Receiver<Request>, on_change: &OnChange) {
        let mut opened = Some(first);
        for turn_number in 0u64.. {
            let turn = match opened.take() {
                Some(opened) => Ok(opened),
                None => RecoveredState::open(&self.settings, Some(self.own.boot)),
            };
            let ended =
                turn.and_then(|opened| RaftDriver::start(self, opened, turn_number, on_change)?.run(work));
            let Err(why) = ended else { return };
            tracing::error!(member = self.own.number, "the store cannot be used: {why}");
            {
                let mut view = lock(&self.view);
                (view.broken, view.leader) = (Some(why), 0);
                view.session.store_failed(clock::now());
            }
            on_change(&[]);
            let until = Instant::now() + STORE_AGAIN;
            while let Ok(job) = work.recv_timeout(until.saturating_duration_since(Instant::now())) {
                if let Request::Propose(_, tell)
                | Request::AddMember(_, tell)
                | Request::RemoveMember(_, tell) = job
                {
                    tell(Err(self.unavailable_reason()));
                }
            }
        }
    }

    pub(crate) fn submit(&self, job: Request) {
        // The thread lives as long as the process.
        let _ = lock(&self.jobs).send(job);
    }

    /// This member.
    pub fn own_member(&self) -> Member {
        self.own.clone()
    }

    /// Its number.
    pub fn member_number(&self) -> u64 {
        self.own.number
    }

    /// Where the numbers of versions come from; 0: it has not joined yet.
    pub fn lineage(&self) -> u64 {
        lock(&self.view).charter.lineage
    }

    /// Calls `look` with all that is agreed.
    pub fn with_state<T>(&self, look: impl FnOnce(&GroupState) -> T) -> T {
        look(&lock(&self.view).charter)
    }

    /// Whether this member is alone.
    pub fn is_single_voter(&self) -> bool {
        lock(&self.view).voters.len() == 1
    }

    /// The term under which this member may act for a duty at this very moment.
    pub fn acting_term(&self, duty: &str) -> Option<u64> {
        let view = lock(&self.view);
        let RoleHolder { member: owner, term } = view.charter.holder(duty);
        let lease = view.session.may_act(clock::now(), view.applied, duty, term)
            || crate::failpoints::is_check_disabled("owner");
        (owner == self.own.number && lease).then_some(term)
    }

    /// Whether this member knows what is agreed on but for the last moments: it has its lease, as owners must.
    pub fn has_lease(&self) -> bool {
        let view = lock(&self.view);
        view.session.is_valid(clock::now(), view.applied)
    }

    /// Hands a duty over: this member acts for it no more, before anybody else hears of it.
    pub fn hand_over(&self, duty: &str, term: u64, to: u64, tell: Responder) {
        lock(&self.view).session.resign(clock::now(), duty, term);
        let what = Some(schema::act::What::HandOver(to));
        self.propose(Act { duty: duty.into(), term, what, ..Act::default() }, tell);
    }

    /// Why nobody acts, in words.
    pub fn unavailable_reason(&self) -> String {
        let view = lock(&self.view);
        match (&view.broken, view.charter.lineage, view.leader) {
            (Some(why), ..) => format!("the store of member {} cannot be used: {why}", self.own.number),
            (_, 0, _) => format!("member {} has not joined its group yet", self.own.number),
            (_, _, 0) => "no majority of the control services answers".into(),
            _ => "nobody owns it at this moment".into(),
        }
    }

    /// The leader; 0: none is known.
    pub fn leader(&self) -> u64 {
        lock(&self.view).leader
    }

    /// Has something agreed on; `tell` hears of it within some seconds. Acts carry who proposes them.
    pub fn propose(&self, act: Act, tell: Responder) {
        self.submit(Request::Propose(Box::new(Act { by: self.own.number, ..act }), tell));
    }

    /// Has a member join.
    pub fn add_member(&self, member: Member, tell: Responder) {
        self.submit(Request::AddMember(member, tell));
    }

    /// Has a member leave for good.
    pub fn remove_member(&self, member: u64, tell: Responder) {
        self.submit(Request::RemoveMember(member, tell));
    }

    /// What a command `members` shows.
    pub fn members(&self) -> schema::Members {
        let view = lock(&self.view);
        let of_group = |member: &Member| view.charter.members.contains_key(&member.number);
        schema::Members {
            own: self.own.number,
            leader: view.leader,
            members: view.directory.all_members(&view.charter).into_iter().filter(of_group).collect(),
            heard: view.directory.alive_members(clock::now()),
            voters: view.voters.iter().copied().collect(),
        }
    }

    /// What a command `duties` shows.
    pub fn roles(&self) -> schema::Duties {
        let (view, now) = (lock(&self.view), clock::now());
        let told = |duty: &schema::Duty| schema::DutyState {
            name: duty.name.clone(),
            owner: duty.owner,
            term: duty.term,
            changes: duty.changes,
            held_ms: view
                .since
                .get(&duty.name)
                .map_or(0, |since| now.duration_since(*since).as_millis() as u64),
            stale: view.stale.get(&duty.name).copied().unwrap_or(0),
        };
        schema::Duties { duties: view.charter.roles.values().map(told).collect() }
    }

    /// A member as it was heard of last.
    pub fn member(&self, number: u64) -> Option<Member> {
        let view = lock(&self.view);
        view.directory.member(&view.charter, number)
    }

    // What the streams between members need.

    pub(crate) fn client_keys(&self) -> Option<(&ClientTls, &str)> {
        self.keys.as_ref().map(|(keys, name)| (keys, name.as_str()))
    }

    /// The name that other members' certificates carry, where there are keys.
    pub fn peer_name(&self) -> Option<&str> {
        self.keys.as_ref().map(|(_, name)| name.as_str())
    }

    pub(crate) fn other_members(&self) -> Vec<u64> {
        let view = lock(&self.view);
        view.directory.other_members(&view.charter)
    }

    pub(crate) fn address(&self, member: u64) -> Option<SocketAddr> {
        self.member(member)?.listen.parse().ok()
    }

    pub(crate) fn welcome(&self) -> PeerWelcome {
        let view = lock(&self.view);
        let members = view.directory.all_members(&view.charter);
        PeerWelcome { member: self.own.number, members, refused: String::new(), fatal: false }
    }

    pub(crate) fn check_hello(&self, hello: &PeerHello) -> Result<(), PeerRejected> {
        let view = lock(&self.view);
        view.directory.check_hello(&view.charter, hello)
    }

    pub(crate) fn check_membership(&self, member: u64) -> Result<(), PeerRejected> {
        let view = lock(&self.view);
        view.directory.check_membership(&view.charter, member)
    }

    /// Takes what is said of members, and speaks to those that are new.
    pub(crate) fn record_members(self: &Arc<Self>, members: &[Member]) {
        {
            let mut view = lock(&self.view);
            let ReplicaState { directory, charter, .. } = &mut *view;
            directory.record(charter, members);
        }
        transport::connect_missing(self);
    }

    pub(crate) fn mark_alive(&self, member: u64, now: Timestamp) {
        lock(&self.view).directory.mark_alive(member, now);
    }

    pub(crate) fn step(&self, message: Message) {
        self.submit(Request::Step(Box::new(message)));
    }

    pub(crate) fn request_lease(&self, member: u64, number: u64) {
        self.submit(Request::Lease(member, number));
    }

    pub(crate) fn on_lease_granted(&self, told: &Renewed) {
        lock(&self.view).session.on_granted(told.number, told.applied);
    }

    pub(crate) fn on_hand_over_requested(&self, wish: Yield) {
        self.submit(Request::HandOver(wish));
    }

    /// Another member has heard of proxies.
    pub(crate) fn report_presence(&self, told: schema::Present) {
        let mut present = lock(&self.present);
        if present.len() < PRESENT {
            present.push(told);
        }
    }

    /// What other members have heard of since this was asked last.
    pub(crate) fn take_presence_reports(&self) -> Vec<schema::Present> {
        std::mem::take(&mut *lock(&self.present))
    }

    pub(crate) fn report_unreachable(&self, member: u64) {
        self.submit(Request::Unreachable(member));
    }
}
