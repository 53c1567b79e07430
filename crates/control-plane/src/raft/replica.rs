//! The shell round what control services agree on: the raft library, the store, and who may act. A service that is alone
//! is a group of one.
//!
//! One thread owns the library and the store, as both block. It takes jobs from coroutines, ticks, stores what is to be
//! stored before it is told, applies what is agreed to the [`Charter`], and tells the service of changes. A store that
//! fails ends the thread's turn, not the process: this member is then silent, and tries anew.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gaugestep_config::schema::{self, Act, Member, PeerHello, PeerWelcome, Renewed, Yield};
use gaugestep_leadership::book::{Book, Refused};
use gaugestep_leadership::charter::{Change, Charter, Outcome};
use gaugestep_leadership::lease::{Session, Timing};
use raft::eraftpb::Message;

use crate::raft::driver::Node;
use crate::raft::recovery::Opened;
use crate::raft::transport::{self, Links};
use crate::transport::tls::{ClientTls, TlsFiles};
use crate::{clock, lock};

/// A store that failed is opened anew after this time.
const STORE_AGAIN: Duration = Duration::from_secs(1);
/// Messages of what other members heard of that wait at most: what is lost is told anew.
const PRESENT: usize = 64;

/// How a member runs.
#[derive(Clone, Debug)]
pub struct Settings {
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
pub type Tell = Box<dyn FnOnce(Result<Outcome, String>) + Send>;

pub(crate) enum Job {
    Propose(Box<Act>, Tell),
    Join(Member, Tell),
    Leave(u64, Tell),
    Step(Box<Message>),
    Renew(u64, u64),
    Yield(Yield),
    Unreachable(u64),
    Snapshot(u64, bool),
}

/// What coroutines see.
pub(crate) struct View {
    pub(crate) charter: Charter,
    pub(crate) applied: u64,
    pub(crate) session: Session,
    pub(crate) leader: u64,
    /// Members that vote; the others are catching up.
    pub(crate) voters: BTreeSet<u64>,
    pub(crate) book: Book,
    /// Since when duties have their owners, as far as this member has seen; acts refused for an old term.
    pub(crate) since: BTreeMap<String, f64>,
    pub(crate) stale: BTreeMap<String, u64>,
    /// Why the store cannot be used.
    pub(crate) broken: Option<String>,
}

/// A member of a group.
pub struct Group {
    pub(crate) own: Member,
    settings: Settings,
    pub(crate) view: Mutex<View>,
    jobs: Mutex<Sender<Job>>,
    /// The streams to the others.
    pub links: Links,
    keys: Option<(ClientTls, String)>,
    /// What other members have heard of, until the keeper of seats takes it.
    present: Mutex<Vec<schema::Present>>,
}

/// Is told of what has changed, and now and then of nothing.
pub type OnChange = Box<dyn Fn(&[Change]) + Send>;
/// Starts the thread of a group that was opened.
pub type Start = Box<dyn FnOnce(OnChange) -> Result<(), String>>;

impl Group {
    /// Opens the store and starts. An error is one plain line. The returned function starts the thread, once whoever is to
    /// be told of changes is there.
    pub fn open(settings: Settings) -> Result<(Arc<Self>, Start), String> {
        let keys = settings.keys.as_ref();
        let keys = keys.map(|(files, name)| Ok::<_, String>((ClientTls::load(files.clone())?, name.clone())));
        let keys = keys.transpose()?;
        let opened = Opened::open(&settings, None)?;
        let nonce = settings.seed | 1;
        let own = Member { boot: opened.boot, nonce, ..settings.member.clone() };
        let (jobs, work) = channel();
        let first = opened.boot << 32;
        let group = Arc::new(Group {
            own: own.clone(),
            view: Mutex::new(View {
                charter: opened.charter.clone(),
                applied: opened.applied,
                session: Session::new(Timing::default(), first),
                leader: 0,
                voters: opened.members.voters.iter().copied().collect(),
                book: Book::new(own.clone()),
                since: BTreeMap::new(),
                stale: BTreeMap::new(),
                broken: None,
            }),
            jobs: Mutex::new(jobs),
            links: Links::default(),
            present: Mutex::default(),
            keys,
            settings,
        });
        let started = group.clone();
        let start = move |on_change: OnChange| {
            transport::dial(&started);
            let run = move || {
                let turns = std::panic::AssertUnwindSafe(|| started.turns(opened, &work, &on_change));
                if std::panic::catch_unwind(turns).is_err() {
                    started.end("the thread that agrees with the other members has panicked");
                }
            };
            let thread = std::thread::Builder::new().name("group".into()).spawn(run);
            thread.map(drop).map_err(|error| format!("cannot start a thread: {error}"))
        };
        Ok((group, Box::new(start)))
    }

    /// Ends the process: it must not go on, and says why.
    pub fn end(&self, why: &str) {
        tracing::error!(member = self.own.number, "ends: {why}");
        eprintln!("gaugestep-control: {why}");
        std::process::exit(1);
    }

    /// One turn after the other: each lasts until the store fails.
    fn turns(self: &Arc<Self>, first: Opened, work: &Receiver<Job>, on_change: &OnChange) {
        let mut opened = Some(first);
        for turn_number in 0u64.. {
            let turn = match opened.take() {
                Some(opened) => Ok(opened),
                None => Opened::open(&self.settings, Some(self.own.boot)),
            };
            let ended = turn.and_then(|opened| Node::start(self, opened, turn_number, on_change)?.run(work));
            let Err(why) = ended else { return };
            tracing::error!(member = self.own.number, "the store cannot be used: {why}");
            {
                let mut view = lock(&self.view);
                (view.broken, view.leader) = (Some(why), 0);
                view.session.failed(clock::now());
            }
            on_change(&[]);
            let until = Instant::now() + STORE_AGAIN;
            while let Ok(job) = work.recv_timeout(until.saturating_duration_since(Instant::now())) {
                if let Job::Propose(_, tell) | Job::Join(_, tell) | Job::Leave(_, tell) = job {
                    tell(Err(self.why_not()));
                }
            }
        }
    }

    pub(crate) fn job(&self, job: Job) {
        // The thread lives as long as the process.
        let _ = lock(&self.jobs).send(job);
    }

    /// This member.
    pub fn own(&self) -> Member {
        self.own.clone()
    }

    /// Its number.
    pub fn number(&self) -> u64 {
        self.own.number
    }

    /// Where the numbers of versions come from; 0: it has not joined yet.
    pub fn lineage(&self) -> u64 {
        lock(&self.view).charter.lineage
    }

    /// Calls `look` with all that is agreed.
    pub fn charter<T>(&self, look: impl FnOnce(&Charter) -> T) -> T {
        look(&lock(&self.view).charter)
    }

    /// Whether this member is alone.
    pub fn alone(&self) -> bool {
        lock(&self.view).voters.len() == 1
    }

    /// The term under which this member may act for a duty at this very moment.
    pub fn acts(&self, duty: &str) -> Option<u64> {
        let view = lock(&self.view);
        let (owner, term) = view.charter.owner(duty);
        let lease =
            view.session.may_act(clock::now(), view.applied, duty, term) || crate::failpoints::out("owner");
        (owner == self.own.number && lease).then_some(term)
    }

    /// Whether this member knows what is agreed on but for the last moments: it has its lease, as owners must.
    pub fn leased(&self) -> bool {
        let view = lock(&self.view);
        view.session.may_act(clock::now(), view.applied, "", 0)
    }

    /// Hands a duty over: this member acts for it no more, before anybody else hears of it.
    pub fn hand_over(&self, duty: &str, term: u64, to: u64, tell: Tell) {
        lock(&self.view).session.resign(clock::now(), duty, term);
        let what = Some(schema::act::What::HandOver(to));
        self.propose(Act { duty: duty.into(), term, what, ..Act::default() }, tell);
    }

    /// Why nobody acts, in words.
    pub fn why_not(&self) -> String {
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
    pub fn propose(&self, act: Act, tell: Tell) {
        self.job(Job::Propose(Box::new(Act { by: self.own.number, ..act }), tell));
    }

    /// Has a member join.
    pub fn join(&self, member: Member, tell: Tell) {
        self.job(Job::Join(member, tell));
    }

    /// Has a member leave for good.
    pub fn leave(&self, member: u64, tell: Tell) {
        self.job(Job::Leave(member, tell));
    }

    /// What a command `members` shows.
    pub fn members(&self) -> schema::Members {
        let view = lock(&self.view);
        let of_group = |member: &Member| view.charter.members.contains_key(&member.number);
        schema::Members {
            own: self.own.number,
            leader: view.leader,
            members: view.book.all(&view.charter).into_iter().filter(of_group).collect(),
            heard: view.book.here(clock::now()),
            voters: view.voters.iter().copied().collect(),
        }
    }

    /// What a command `duties` shows.
    pub fn duties(&self) -> schema::Duties {
        let (view, now) = (lock(&self.view), clock::now());
        let told = |duty: &schema::Duty| schema::DutyState {
            name: duty.name.clone(),
            owner: duty.owner,
            term: duty.term,
            changes: duty.changes,
            held_ms: view.since.get(&duty.name).map_or(0, |since| (now - since).max(0.0) as u64),
            stale: view.stale.get(&duty.name).copied().unwrap_or(0),
        };
        schema::Duties { duties: view.charter.duties.values().map(told).collect() }
    }

    /// A member as it was heard of last.
    pub fn member(&self, number: u64) -> Option<Member> {
        let view = lock(&self.view);
        view.book.member(&view.charter, number)
    }

    // What the streams between members need.

    pub(crate) fn keys(&self) -> Option<(&ClientTls, &str)> {
        self.keys.as_ref().map(|(keys, name)| (keys, name.as_str()))
    }

    /// The name that other members' certificates carry, where there are keys.
    pub fn peer_name(&self) -> Option<&str> {
        self.keys.as_ref().map(|(_, name)| name.as_str())
    }

    pub(crate) fn others(&self) -> Vec<u64> {
        let view = lock(&self.view);
        view.book.others(&view.charter)
    }

    pub(crate) fn address(&self, member: u64) -> Option<SocketAddr> {
        self.member(member)?.listen.parse().ok()
    }

    pub(crate) fn welcome(&self) -> PeerWelcome {
        let view = lock(&self.view);
        let members = view.book.all(&view.charter);
        PeerWelcome { member: self.own.number, members, refused: String::new(), fatal: false }
    }

    pub(crate) fn admits(&self, hello: &PeerHello) -> Result<(), Refused> {
        let view = lock(&self.view);
        view.book.admits(&view.charter, hello)
    }

    pub(crate) fn keeps(&self, member: u64) -> Result<(), Refused> {
        let view = lock(&self.view);
        view.book.keeps(&view.charter, member)
    }

    /// Takes what is said of members, and speaks to those that are new.
    pub(crate) fn note(self: &Arc<Self>, members: &[Member]) {
        {
            let mut view = lock(&self.view);
            let View { book, charter, .. } = &mut *view;
            book.note(charter, members);
        }
        transport::dial(self);
    }

    pub(crate) fn heard(&self, member: u64, now: f64) {
        lock(&self.view).book.heard(member, now);
    }

    pub(crate) fn step(&self, message: Message) {
        self.job(Job::Step(Box::new(message)));
    }

    pub(crate) fn renew(&self, member: u64, number: u64) {
        self.job(Job::Renew(member, number));
    }

    pub(crate) fn renewed(&self, told: &Renewed) {
        lock(&self.view).session.granted(told.number, told.applied);
    }

    pub(crate) fn asked_to_yield(&self, wish: Yield) {
        self.job(Job::Yield(wish));
    }

    /// Another member has heard of proxies.
    pub(crate) fn present(&self, told: schema::Present) {
        let mut present = lock(&self.present);
        if present.len() < PRESENT {
            present.push(told);
        }
    }

    /// What other members have heard of since this was asked last.
    pub(crate) fn heard_of(&self) -> Vec<schema::Present> {
        std::mem::take(&mut *lock(&self.present))
    }

    pub(crate) fn unreachable(&self, member: u64) {
        self.job(Job::Unreachable(member));
    }
}
