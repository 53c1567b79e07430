//! A proxy's side of the stream of versions: a shell round the [`VersionTracker`], which decides.
//!
//! One coroutine holds the stream to a service; a thread of its own stores, as that blocks. Both tell the tracker what
//! happens and carry out what it wants done, one at a time. Whatever goes wrong here, the proxy goes on under the
//! version in force. What is said for the fleet goes through the [`Receiver`], which refuses old owners; which service is
//! the owner's is found by [`LeaderDiscovery`].

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gaugestep_clock::Timestamp;
use gaugestep_config::proxy_state::ProxyState;
use gaugestep_config::schema::{
    Answer, Charter, Duty, Figures, FromClient, FromService, Hello, Offer, Seated, Seen, Welcome,
    from_client, from_service,
};
use gaugestep_config::version_tracker::{
    Action, Event, OfferId, Recovery, StorageFailure, UnusableVersion, VersionStatus, VersionTracker,
};
use gaugestep_config::{Document, MAX_DOCUMENT_LENGTH, PROTOCOL, RejectReason, schema, short_digest};
use gaugestep_coroutine_io::stream::Waker;
use gaugestep_coroutine_io::task;
use gaugestep_leadership::fencing::{FencingAction, FencingGuard, FencingRejected, PersistError};
use gaugestep_leadership::leader_discovery::{LeaderDiscovery, Reconnect, StreamDecision};
use gaugestep_leadership::{CONFIGURATION_ROLE, ORDINALS_ROLE, RoleHolder};
use gaugestep_storage::StorageError;
use gaugestep_storage::snapshot_slots::{SnapshotSlots, read_unlocked};
use gaugestep_subsetting::ordinal_lease::{LeasedPosition, OrdinalGrant, OrdinalLease};
use gaugestep_subsetting::position::{FleetPosition, OrdinalAssignment};
use may::net::TcpStream;

use crate::transport::backoff::Backoff;
use crate::transport::connection::{FramedConnection, STACK_WORDS};
use crate::transport::tls::{self, ClientTls, TlsFiles};
use crate::{clock, failpoints, lock};
use prost::Message as _;

/// A service that cannot be reached within this time is given up for now.
const CONNECT_WITHIN: Duration = Duration::from_secs(2);
/// A service that has not said who it is within this time, or has been silent for so long, is given up.
const WELCOME_WITHIN: Duration = Duration::from_secs(5);
const SILENCE: Duration = Duration::from_secs(6);
/// How often the proxy tells its figures, which also shows that it lives.
const FIGURES_EVERY: Duration = Duration::from_secs(2);
/// How often clocks, keys and a store that another process holds are looked at.
const LOOK: Duration = Duration::from_millis(250);
/// What a value in the store takes beside the document, and what all terms take.
const AROUND: usize = 1024;
const TERMS: usize = 1024 * 1024;
/// Where terms are kept within the proxy's folder.
const TERMS_FOLDER: &str = "terms";

/// What the proxy does for a version.
pub trait ProxyHandle: Send + Sync + 'static {
    /// Calls `then` with the proxy as it runs, which does not change until that has returned: no list of engines, no
    /// new settings come in between. Requests may come and go.
    fn with_state(&self, then: &mut dyn FnMut(&ProxyState));
    /// The document is in force from now on; called from within [`ProxyHandle::with_state`].
    fn apply(&self, document: &Document);
    /// Requests since the start: served, refused, failed.
    fn request_counts(&self) -> (u64, u64, u64);
    /// The proxy has this seat for so many milliseconds from now on; none: it goes by what else it knows.
    fn assign_ordinal(&self, seat: Option<(FleetPosition, f64)>);
}

/// How to follow a service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The proxy's name.
    pub proxy: String,
    /// Its build.
    pub build: String,
    /// The services' addresses, tried in turn.
    pub services: Vec<SocketAddr>,
    /// The folder of the last good version.
    pub state: PathBuf,
    /// Keys, and the name that the service's certificate carries.
    pub keys: Option<(TlsFiles, String)>,
    /// For the waits between tries.
    pub seed: u64,
}

impl Settings {
    /// As an operator's file has them; the error is one plain line.
    pub fn from_config(told: &schema::Control, proxy: &str, build: &str, seed: u64) -> Result<Self, String> {
        let address = |text: &String| -> Result<SocketAddr, String> {
            text.parse().map_err(|_| format!("'control.services' names '{text}', no address"))
        };
        let services = told.services.iter().map(address).collect::<Result<Vec<_>, _>>()?;
        if services.is_empty() {
            return Err("'control.services' is missing".into());
        }
        if told.state.is_empty() {
            return Err("'control.state' is missing".into());
        }
        let keys = match &told.keys {
            None => None,
            Some(_) if told.service_name.is_empty() => return Err("'control.service_name' is missing".into()),
            Some(files) => Some((TlsFiles::from_config(files)?, told.service_name.clone())),
        };
        for address in &services {
            tls::check_address_allowed(*address, keys.is_some())?;
        }
        let (proxy, build, state) = (proxy.to_owned(), build.to_owned(), PathBuf::from(&told.state));
        Ok(Settings { proxy, build, services, state, keys, seed })
    }
}

/// Work for the thread that stores.
enum Job {
    Stage(u64, Vec<u8>),
    Commit(u64),
    /// The highest terms seen.
    Keep(BTreeMap<String, u64>),
}

/// What is said for the fleet, and so of an owner.
enum Said {
    /// On which stream the service named itself as the owner, and as which member.
    Owns(u64),
    /// A version, on a stream.
    Offer(u64, Box<Offer>),
    /// The proxy's seat, confirmed for what it asked at that time.
    Seat(Timestamp, OrdinalGrant),
}

/// What the stream's coroutine shares with the thread that stores.
struct Desk {
    tracker: VersionTracker,
    /// The stream that is open, and what is to be said on it.
    stream: u64,
    out: VecDeque<Answer>,
    waker: Option<Waker>,
    /// The highest terms seen.
    fencing: FencingGuard<Said>,
    discovery: LeaderDiscovery,
    holder: OrdinalLease,
    /// The place that the host was told last.
    place: Option<FleetPosition>,
    /// The term under which this process has the proxy's name; 0: it never had it.
    name_term: u64,
    /// The process that has the name now, and its term.
    displaced: Option<(u64, u64)>,
}

/// A proxy that follows a service.
pub struct ConfigSubscriber {
    settings: Settings,
    keys: Option<ClientTls>,
    host: Arc<dyn ProxyHandle>,
    desk: Mutex<Desk>,
    jobs: Mutex<Sender<Job>>,
    started: Instant,
    connected: AtomicBool,
    refused: AtomicU64,
    /// Names this process.
    incarnation: u64,
}

/// The terms that were kept in this folder.
fn kept(folder: &Path) -> BTreeMap<String, u64> {
    for found in read_unlocked(&folder.join(TERMS_FOLDER), TERMS) {
        let found = found.map_err(|error| error.to_string());
        match found.and_then(|bytes| Charter::decode(bytes.as_slice()).map_err(|error| error.to_string())) {
            Ok(told) => return told.duties.into_iter().map(|it| (it.name, it.term)).collect(),
            Err(error) => tracing::error!("the terms seen cannot be read: {error}"),
        }
    }
    BTreeMap::new()
}

impl ConfigSubscriber {
    /// Takes the last good version, if there is one, and begins to follow. An error is one plain line.
    pub fn start(settings: Settings, host: Arc<dyn ProxyHandle>) -> Result<Arc<Self>, String> {
        let keys = settings.keys.as_ref().map(|(files, _)| ClientTls::load(files.clone())).transpose()?;
        let (jobs, work) = channel();
        let slots = SnapshotSlots::open(&settings.state, MAX_DOCUMENT_LENGTH + AROUND);
        let slots = match slots {
            Ok(slots) => Some(slots),
            Err(StorageError::Locked { .. }) => None,
            Err(error) => return Err(error.to_string()),
        };
        let fencing = FencingGuard::new(kept(&settings.state));
        let discovery = LeaderDiscovery::new(settings.services.len());
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let drawn = settings.seed ^ since.as_nanos() as u64 ^ (u64::from(std::process::id()) << 40);
        // Also where a predecessor still holds it.
        let stored: Vec<Result<Vec<u8>, String>> =
            read_unlocked(&settings.state, MAX_DOCUMENT_LENGTH + AROUND)
                .into_iter()
                .map(|found| found.map_err(|error| error.to_string()))
                .collect();
        let mut tracker = VersionTracker::new();
        host.with_state(&mut |proxy| {
            let stored = stored.iter().cloned().map(|found| found.map_err(StorageFailure::new));
            let Recovery { tracker: recovered, unusable } =
                VersionTracker::recover(Timestamp::default(), stored, proxy);
            for UnusableVersion { position: place, reason: refusal } in unusable {
                let which = if place == 0 { "the last good version" } else { "the one before it" };
                tracing::error!(path = refusal.path(), "{which} cannot be used: {refusal}");
            }
            if let Some(taken) = recovered.in_force() {
                let (version, digest) = (taken.version.number, short_digest(&taken.version.digest));
                tracing::info!(version, digest, "starts on the last good version");
                host.apply(&taken.document);
            }
            tracker = recovered;
        });
        let follower = Arc::new(ConfigSubscriber {
            keys,
            host,
            desk: Mutex::new(Desk {
                tracker,
                stream: 0,
                out: VecDeque::new(),
                waker: None,
                fencing,
                discovery,
                holder: OrdinalLease::default(),
                place: None,
                name_term: 0,
                displaced: None,
            }),
            incarnation: drawn.max(1),
            jobs: Mutex::new(jobs),
            started: Instant::now(),
            connected: AtomicBool::new(false),
            refused: AtomicU64::new(0),
            settings,
        });
        let storing = follower.clone();
        std::thread::Builder::new()
            .name("store".into())
            .spawn(move || storing.store(slots, &work))
            .map_err(|error| format!("cannot start a thread: {error}"))?;
        let following = follower.clone();
        task::spawn_with_large_stack("versions", STACK_WORDS, move || following.run())
            .map_err(|error| format!("cannot start a coroutine: {error}"))?;
        let waking = follower.clone();
        task::spawn("version clocks", move || {
            loop {
                task::sleep(LOOK);
                waking.look_at_seat(false);
                if let Some(waker) = &lock(&waking.desk).waker {
                    waker.wakeup();
                }
            }
        })
        .map_err(|error| format!("cannot start a coroutine: {error}"))?;
        Ok(follower)
    }

    fn now(&self) -> Timestamp {
        Timestamp::default() + self.started.elapsed()
    }

    /// What operators are told.
    pub fn status_json(&self) -> serde_json::Value {
        let mut weak = Vec::new();
        self.host.with_state(&mut |proxy| weak = lock(&self.desk).tracker.routes_without_engines(proxy));
        let desk = lock(&self.desk);
        let in_force = desk.tracker.in_force();
        let last_refusal = desk.tracker.records().filter_map(|entry| match &entry.status {
            VersionStatus::Rejected(refusal) => Some(serde_json::json!({
                "version": entry.number, "code": refusal.code(), "path": refusal.path(),
                "reason": refusal.to_string(),
            })),
            _ => None,
        });
        let now = clock::now();
        serde_json::json!({
            "version": in_force.map_or(0, |taken| taken.version.number),
            "digest": in_force.map_or_else(String::new, |taken| short_digest(&taken.version.digest)),
            "age_s": in_force.map(|_| self.now().duration_since(desk.tracker.in_force_since()).as_secs_f64().round()),
            "connected": self.connected.load(Ordering::Relaxed),
            "refused": self.refused.load(Ordering::Relaxed),
            "term": desk.fencing.term(CONFIGURATION_ROLE),
            "stale_refused": desk.fencing.stale_count(),
            "process": format!("{:016x}", self.incarnation),
            "name_term": desk.name_term,
            "displaced": desk.displaced.is_some(),
            "seat": desk.holder.position(now).map(|leased| match leased.position {
                FleetPosition::Ordinal { ordinal: seat, fleet_size: seats } => serde_json::json!({
                    "seat": seat, "seats": seats, "epoch": desk.holder.last_grant().map(|grant| grant.epoch),
                    "term": desk.fencing.term(ORDINALS_ROLE), "left_ms": (leased.expires_at.duration_since(now).as_secs_f64() * 1e3).round(),
                }),
                FleetPosition::NameKey(_) => serde_json::Value::Null,
            }),
            "last_refusal": last_refusal.last(),
            "weak_routes": weak,
        })
    }

    /// The version in force, its age, and whether a service is there, in a few words.
    pub fn status_line(&self) -> String {
        let desk = lock(&self.desk);
        let service = if self.connected.load(Ordering::Relaxed) { "following" } else { "no service" };
        match desk.tracker.in_force() {
            None => format!("no version, {service}"),
            Some(taken) => {
                let age = self.now().duration_since(desk.tracker.in_force_since()).as_secs_f64();
                format!("version {}, in force for {age:.0} s, {service}", taken.version.number)
            }
        }
    }

    /// Whether another process has the proxy's name.
    pub fn name_is_superseded(&self) -> bool {
        lock(&self.desk).displaced.is_some()
    }

    /// Something was said for the fleet under a term of a duty.
    fn said(&self, duty: &str, term: u64, said: Said) {
        let mut desk = lock(&self.desk);
        let actions = desk.fencing.check(duty, term, said);
        drop(desk);
        self.take(actions);
    }

    fn take(&self, actions: Vec<FencingAction<Said>>) {
        for action in actions {
            let action = match action {
                FencingAction::Reject(said, FencingRejected::StaleTerm { .. })
                    if failpoints::is_check_disabled("receiver") =>
                {
                    FencingAction::Accept(said)
                }
                action => action,
            };
            match action {
                FencingAction::Persist(terms) => self.work(Job::Keep(terms)),
                FencingAction::Accept(Said::Offer(stream, offer)) => {
                    let (version, nonce) = (offer.version.as_ref().map_or(0, |it| it.number), offer.nonce);
                    tracing::info!(
                        version,
                        nonce,
                        duty = CONFIGURATION_ROLE,
                        term = offer.term,
                        "version offered"
                    );
                    self.tell(Event::Offered { stream, offer });
                }
                FencingAction::Accept(Said::Owns(stream)) => {
                    if lock(&self.desk).stream == stream {
                        self.connected.store(true, Ordering::Relaxed);
                    }
                }
                FencingAction::Reject(Said::Offer(stream, offer), refused) => {
                    let number = offer.version.as_ref().map_or(0, |it| it.number);
                    let refusal = match refused {
                        FencingRejected::StaleTerm { term, highest } => {
                            RejectReason::StaleTerm { term, seen: highest }
                        }
                        FencingRejected::MissingTerm => RejectReason::StaleTerm { term: 0, seen: 0 },
                        FencingRejected::NotPersisted(error) => RejectReason::NotStored(error.to_string()),
                        FencingRejected::QueueFull => RejectReason::NotStored(refused.to_string()),
                    };
                    let id = OfferId { stream, nonce: offer.nonce };
                    self.answer(&mut lock(&self.desk), id, number, Some(refusal));
                }
                FencingAction::Accept(Said::Seat(asked, told)) => {
                    let asked = if failpoints::is_check_disabled("seat") {
                        Timestamp::from_millis_f64(f64::MAX)
                    } else {
                        asked
                    };
                    if lock(&self.desk).holder.confirm(asked, told) {
                        self.look_at_seat(true);
                    }
                }
                FencingAction::Reject(Said::Seat(_, told), refused) => {
                    tracing::warn!(
                        duty = ORDINALS_ROLE,
                        term = told.term,
                        epoch = told.epoch,
                        "stale act refused: {refused}"
                    );
                }
                FencingAction::Reject(Said::Owns(_), refused) => {
                    tracing::warn!(duty = CONFIGURATION_ROLE, "an owner is not believed: {refused}");
                }
            }
        }
    }

    /// Looks at the seat: it is told on where it has changed, was confirmed, or holds no more.
    fn look_at_seat(&self, confirmed: bool) {
        let now = clock::now();
        let mut desk = lock(&self.desk);
        let (held, term) = (desk.holder.position(now), desk.fencing.term(ORDINALS_ROLE));
        let place = held.map(|leased| leased.position);
        let changed = std::mem::replace(&mut desk.place, place) != place;
        if !(changed || confirmed && held.is_some()) {
            return;
        }
        let epoch = desk.holder.last_grant().map_or(0, |told| told.epoch);
        drop(desk);
        if let Some(LeasedPosition {
            position: FleetPosition::Ordinal { ordinal: seat, fleet_size: seats },
            expires_at,
        }) = held
        {
            if changed {
                tracing::info!(duty = ORDINALS_ROLE, term, epoch, seat, seats, "seat");
            }
            tracing::debug!(
                duty = ORDINALS_ROLE,
                term,
                epoch,
                seat,
                seats,
                at = now.as_millis_f64(),
                until = expires_at.as_millis_f64(),
                "seat confirmed"
            );
        } else {
            tracing::warn!(duty = ORDINALS_ROLE, term, epoch, "no seat any more");
        }
        let remaining = |leased: LeasedPosition| leased.expires_at.as_millis_f64() - now.as_millis_f64();
        self.host.assign_ordinal(held.map(|leased| (leased.position, remaining(leased))));
    }

    /// Tells the tracker of something, and carries out what it wants done.
    fn tell(&self, event: Event) {
        let mut event = Some(event);
        self.host.with_state(&mut |proxy| {
            let Some(event) = event.take() else { return };
            let mut desk = lock(&self.desk);
            for action in desk.tracker.handle(self.now(), event, proxy) {
                match action {
                    Action::Apply(document) => self.host.apply(&document),
                    Action::Stage { number: version, bytes } => self.work(Job::Stage(version, bytes)),
                    Action::Commit { number: version } => self.work(Job::Commit(version)),
                    Action::Answer { offer, number, outcome } => {
                        self.answer(&mut desk, offer, number, outcome.err());
                    }
                }
            }
        });
    }

    fn answer(
        &self,
        desk: &mut Desk,
        id: OfferId,
        version: u64,
        refusal: Option<gaugestep_config::RejectReason>,
    ) {
        match &refusal {
            None => {
                let digest = desk.tracker.in_force().map(|taken| short_digest(&taken.version.digest));
                tracing::info!(version, digest, nonce = id.nonce, "version in force");
            }
            Some(refusal) => {
                self.refused.fetch_add(1, Ordering::Relaxed);
                let (code, path) = (refusal.code(), refusal.path());
                tracing::warn!(version, nonce = id.nonce, code, path, "version refused: {refusal}");
            }
        }
        // What came on a stream that has ended is answered by the next hello.
        if id.stream == desk.stream {
            let refusal = refusal.map(|refusal| refusal.to_message());
            desk.out.push_back(Answer { nonce: id.nonce, number: version, refusal });
            if let Some(waker) = &desk.waker {
                waker.wakeup();
            }
        }
    }

    fn work(&self, job: Job) {
        // The thread that stores lives as long as the process.
        let _ = lock(&self.jobs).send(job);
    }

    /// The thread that stores.
    fn store(&self, mut slots: Option<SnapshotSlots>, work: &Receiver<Job>) {
        let mut terms: Option<SnapshotSlots> = None;
        loop {
            let job = match work.recv_timeout(LOOK) {
                Ok(job) => Some(job),
                Err(std::sync::mpsc::RecvTimeoutError::Timeout) => None,
                Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return,
            };
            if let Some(keys) = &self.keys {
                keys.reload_if_changed();
            }
            if slots.is_none() {
                slots = SnapshotSlots::open(&self.settings.state, MAX_DOCUMENT_LENGTH + AROUND).ok();
            }
            let held = slots.as_ref().ok_or_else(|| "another process holds the store".to_owned());
            match job {
                None => {}
                Some(Job::Stage(version, bytes)) => {
                    let end = held.and_then(|slots| slots.stage(&bytes).map_err(|error| error.to_string()));
                    self.tell(Event::Staged { number: version, result: end.map_err(StorageFailure::new) });
                }
                Some(Job::Keep(seen)) => {
                    if terms.is_none() && held.is_ok() {
                        terms = SnapshotSlots::open(&self.settings.state.join(TERMS_FOLDER), TERMS).ok();
                    }
                    let duty = |(name, term): (&String, &u64)| Duty {
                        name: name.clone(),
                        term: *term,
                        ..Duty::default()
                    };
                    let all = Charter { duties: seen.iter().map(duty).collect(), ..Charter::default() };
                    let keep = |slots: &SnapshotSlots| {
                        slots.stage(&all.encode_to_vec()).and_then(|()| slots.commit())
                    };
                    let end = match (&terms, held) {
                        (Some(terms), Ok(_)) => keep(terms).map_err(|error| error.to_string()),
                        (_, Err(why)) => Err(why),
                        (None, Ok(_)) => Err("the folder for terms cannot be used".into()),
                    };
                    if end.is_ok() {
                        for (duty, term) in &seen {
                            tracing::info!(duty, term, "term kept");
                        }
                    }
                    let actions = lock(&self.desk).fencing.on_persisted(end.map_err(PersistError::new));
                    self.take(actions);
                }
                Some(Job::Commit(version)) => {
                    let end = held.and_then(|slots| slots.commit().map_err(|error| error.to_string()));
                    self.tell(Event::Committed { number: version, result: end.map_err(StorageFailure::new) });
                }
            }
        }
    }

    /// Follows for good, whichever service answers.
    fn run(&self) {
        let mut backoff = Backoff::new(self.settings.seed ^ self.incarnation);
        loop {
            let place = lock(&self.desk).discovery.endpoint();
            let service = self.settings.services[place % self.settings.services.len()];
            let began = Instant::now();
            let stream = {
                let mut desk = lock(&self.desk);
                desk.stream += 1;
                desk.out.clear();
                desk.stream
            };
            let ended = self.stream(service, stream);
            let was = self.connected.swap(false, Ordering::Relaxed);
            lock(&self.desk).waker = None;
            self.tell(Event::StreamEnded { stream });
            let error =
                ended.err().map_or_else(|| "the service has closed".into(), |error| error.to_string());
            let reconnect = lock(&self.desk).discovery.on_disconnect();
            // To an owner that was named and not tried yet there is nothing to wait for but the others' lots.
            let held = if was { began.elapsed() } else { Duration::ZERO };
            let wait =
                backoff.next_delay(if reconnect == Reconnect::Promptly { Duration::MAX } else { held });
            tracing::info!(%service, wait_ms = wait.as_millis() as u64, "the stream of versions ended: {error}");
            task::sleep(wait);
        }
    }

    /// A service says who it is, and who owns the versions; an error: another one is to be turned to.
    fn welcomed(&self, stream: u64, told: &Welcome) -> io::Result<()> {
        let mut desk = lock(&self.desk);
        if told.name_term > 0 {
            if desk.displaced.take().is_some() {
                tracing::info!(name_term = told.name_term, "this process has the proxy's name again");
            }
            desk.name_term = told.name_term;
        }
        let owner = told.owner.as_ref().filter(|owner| owner.duty == CONFIGURATION_ROLE);
        let named = owner.map(|owner| RoleHolder { member: owner.member, term: owner.term });
        let seen =
            if failpoints::is_check_disabled("receiver") { 0 } else { desk.fencing.term(CONFIGURATION_ROLE) };
        let now = self.now();
        if desk.discovery.on_welcome(now, told.member, named, seen) == StreamDecision::Close {
            return Err(io::Error::other(match named {
                Some(RoleHolder { member, term }) => {
                    format!("member {member} owns the versions, under term {term}")
                }
                None => "it names no owner of the versions".into(),
            }));
        }
        drop(desk);
        match named {
            Some(holder) if holder.member == told.member => {
                self.said(CONFIGURATION_ROLE, holder.term, Said::Owns(stream))
            }
            _ => self.connected.store(false, Ordering::Relaxed),
        }
        Ok(())
    }

    /// One stream to a service.
    fn stream(&self, service: SocketAddr, stream: u64) -> io::Result<()> {
        let socket = TcpStream::connect_timeout(&service, CONNECT_WITHIN)?;
        let name = self.settings.keys.as_ref().map(|(_, name)| name.as_str());
        let keys = self.keys.as_ref().map(ClientTls::current).zip(name);
        let mut channel = FramedConnection::from_connected(socket, keys)?;
        {
            let mut desk = lock(&self.desk);
            desk.waker = Some(channel.waker());
            let in_force = desk.tracker.in_force().map(|taken| taken.version.clone());
            let age_ms = self.now().duration_since(desk.tracker.in_force_since()).as_millis() as u64;
            let (proxy, build) = (self.settings.proxy.clone(), self.settings.build.clone());
            let seen = desk.fencing.terms().iter();
            let hello = Hello {
                protocol: PROTOCOL,
                proxy,
                in_force,
                build,
                age_ms,
                incarnation: self.incarnation,
                name_term: desk.name_term,
                seen: seen.map(|(duty, term)| Seen { duty: duty.clone(), term: *term }).collect(),
            };
            channel.send(&FromClient { said: Some(from_client::Said::Hello(hello)) })?;
        }
        let began = Instant::now();
        let (mut heard, mut told) = (began, began);
        let mut welcome = false;
        loop {
            let closed = channel.pump()?;
            while let Some(message) = channel.next_message::<FromService>()? {
                heard = Instant::now();
                match message.said {
                    Some(from_service::Said::Welcome(told)) => {
                        if told.protocol != PROTOCOL {
                            return Err(io::Error::other(format!("it speaks form {}", told.protocol)));
                        }
                        if !welcome {
                            let (lineage, member) = (told.lineage, told.member);
                            tracing::info!(%service, lineage, member, "a service is here");
                        }
                        welcome = true;
                        self.welcomed(stream, &told)?;
                    }
                    Some(from_service::Said::Displaced(told)) => {
                        let (name_term, by) = (told.name_term, format!("{:016x}", told.by));
                        tracing::error!(
                            name_term,
                            by,
                            "another process has this proxy's name: nothing is offered here"
                        );
                        lock(&self.desk).displaced = Some((told.by, told.name_term));
                    }
                    Some(from_service::Said::Offer(offer)) if welcome => {
                        self.said(CONFIGURATION_ROLE, offer.term, Said::Offer(stream, Box::new(offer)));
                    }
                    Some(from_service::Said::Seated(Seated { term, epoch, asked_ms, seat, seats })) => {
                        let assignment = seat.map(|ordinal| OrdinalAssignment { ordinal, fleet_size: seats });
                        let told = OrdinalGrant { term, epoch, assignment };
                        // Nothing was asked for yet: it holds once the first figures are answered.
                        if welcome && asked_ms > 0 {
                            self.said(
                                ORDINALS_ROLE,
                                term,
                                Said::Seat(Timestamp::from_millis(asked_ms), told),
                            );
                        }
                    }
                    // What a later build says is not for this one; what comes before the welcome is no service's.
                    Some(from_service::Said::Offer(_)) => return Err(io::Error::other("it offers unasked")),
                    Some(from_service::Said::Reply(_) | from_service::Said::PeerWelcome(_)) | None => {}
                }
            }
            if closed {
                return Ok(());
            }
            if !welcome && began.elapsed() >= WELCOME_WITHIN || heard.elapsed() >= SILENCE {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "it is silent"));
            }
            let answers = std::mem::take(&mut lock(&self.desk).out);
            let mut fresh = !answers.is_empty();
            for answer in answers {
                channel.send(&FromClient { said: Some(from_client::Said::Answer(answer)) })?;
            }
            if welcome && told.elapsed() >= FIGURES_EVERY {
                (told, fresh) = (Instant::now(), true);
                let (succeeded, declined, aborted) = self.host.request_counts();
                let number = lock(&self.desk).tracker.in_force().map_or(0, |taken| taken.version.number);
                let asked_ms = clock::now().as_millis_f64() as u64;
                let figures = Figures { succeeded, declined, aborted, number, asked_ms };
                channel.send(&FromClient { said: Some(from_client::Said::Figures(figures)) })?;
            }
            if fresh {
                channel.pump()?;
            }
            channel.wait();
        }
    }
}
