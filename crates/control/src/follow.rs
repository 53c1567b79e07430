//! A proxy's side of the stream of versions: a shell round the [`Ledger`], which decides.
//!
//! One coroutine holds the stream to a service; a thread of its own stores, as that blocks. Both tell the ledger what
//! happens and carry out what it wants done, one at a time. Whatever goes wrong here, the proxy goes on under the
//! version in force.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gaugestep_coio::stream::Waker;
use gaugestep_coio::task;
use gaugestep_config::ledger::{Action, Event, Fate, Ledger, OfferId};
use gaugestep_config::live::Live;
use gaugestep_config::schema::{Answer, Figures, FromClient, FromService, Hello, from_client, from_service};
use gaugestep_config::{Document, LONGEST_DOCUMENT, PROTOCOL, schema, short};
use gaugestep_store::slots::{Slots, peek};
use may::net::TcpStream;

use crate::backoff::Backoff;
use crate::channel::{Channel, STACK_WORDS};
use crate::keys::{self, ClientKeys, Files};
use crate::lock;

/// A service that cannot be reached within this time is given up for now.
const CONNECT_WITHIN: Duration = Duration::from_secs(2);
/// A service that has not said who it is within this time, or has been silent for so long, is given up.
const WELCOME_WITHIN: Duration = Duration::from_secs(5);
const SILENCE: Duration = Duration::from_secs(10);
/// How often the proxy tells its figures, which also shows that it lives.
const FIGURES_EVERY: Duration = Duration::from_secs(2);
/// How often clocks, keys and a store that another process holds are looked at.
const LOOK: Duration = Duration::from_millis(250);
/// What a value in the store takes beside the document.
const AROUND: usize = 1024;

/// What the proxy does for a version.
pub trait Host: Send + Sync + 'static {
    /// Calls `then` with the proxy as it runs, which does not change until that has returned: no list of engines, no
    /// new settings come in between. Requests may come and go.
    fn held(&self, then: &mut dyn FnMut(&Live));
    /// The document is in force from now on; called from within [`Host::held`].
    fn apply(&self, document: &Document);
    /// Requests since the start: served, refused, failed.
    fn counted(&self) -> (u64, u64, u64);
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
    pub keys: Option<(Files, String)>,
    /// For the waits between tries.
    pub seed: u64,
}

impl Settings {
    /// As an operator's file has them; the error is one plain line.
    pub fn of(told: &schema::Control, proxy: &str, build: &str, seed: u64) -> Result<Self, String> {
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
            Some(files) => Some((Files::of(files)?, told.service_name.clone())),
        };
        for address in &services {
            keys::allowed(*address, keys.is_some())?;
        }
        let (proxy, build, state) = (proxy.to_owned(), build.to_owned(), PathBuf::from(&told.state));
        Ok(Settings { proxy, build, services, state, keys, seed })
    }
}

/// Work for the thread that stores.
enum Job {
    Stage(u64, Vec<u8>),
    Commit(u64),
}

/// What the stream's coroutine shares with the thread that stores.
struct Desk {
    ledger: Ledger,
    /// The stream that is open, and what is to be said on it.
    stream: u64,
    out: VecDeque<Answer>,
    waker: Option<Waker>,
}

/// A proxy that follows a service.
pub struct Follower {
    settings: Settings,
    keys: Option<ClientKeys>,
    host: Arc<dyn Host>,
    desk: Mutex<Desk>,
    jobs: Mutex<Sender<Job>>,
    started: Instant,
    connected: AtomicBool,
    refused: AtomicU64,
}

impl Follower {
    /// Takes the last good version, if there is one, and begins to follow. An error is one plain line.
    pub fn start(settings: Settings, host: Arc<dyn Host>) -> Result<Arc<Self>, String> {
        let keys = settings.keys.as_ref().map(|(files, _)| ClientKeys::connect(files.clone())).transpose()?;
        let (jobs, work) = channel();
        let slots = Slots::open(&settings.state, LONGEST_DOCUMENT + AROUND);
        let slots = match slots {
            Ok(slots) => Some(slots),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
            Err(error) => return Err(format!("{}: {error}", settings.state.display())),
        };
        // Also where a predecessor still holds it.
        let stored = peek(&settings.state, LONGEST_DOCUMENT + AROUND);
        let mut ledger = Ledger::new();
        host.held(&mut |live| {
            let (recovered, refused) = Ledger::recover(0.0, stored.iter().cloned(), live);
            for (place, refusal) in refused {
                let which = if place == 0 { "the last good version" } else { "the one before it" };
                tracing::error!(path = refusal.path(), "{which} cannot be used: {refusal}");
            }
            if let Some(taken) = recovered.in_force() {
                let (version, digest) = (taken.version.number, short(&taken.version.digest));
                tracing::info!(version, digest, "starts on the last good version");
                host.apply(&taken.document);
            }
            ledger = recovered;
        });
        let follower = Arc::new(Follower {
            keys,
            host,
            desk: Mutex::new(Desk { ledger, stream: 0, out: VecDeque::new(), waker: None }),
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
        task::spawn_deep("versions", STACK_WORDS, move || following.run())
            .map_err(|error| format!("cannot start a coroutine: {error}"))?;
        let waking = follower.clone();
        task::spawn("version clocks", move || {
            loop {
                task::sleep(LOOK);
                if let Some(waker) = &lock(&waking.desk).waker {
                    waker.wakeup();
                }
            }
        })
        .map_err(|error| format!("cannot start a coroutine: {error}"))?;
        Ok(follower)
    }

    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// What operators are told.
    pub fn figures(&self) -> serde_json::Value {
        let mut weak = Vec::new();
        self.host.held(&mut |live| weak = lock(&self.desk).ledger.weak(live));
        let desk = lock(&self.desk);
        let in_force = desk.ledger.in_force();
        let last_refusal = desk.ledger.entries().filter_map(|entry| match &entry.fate {
            Fate::Refused(refusal) => Some(serde_json::json!({
                "version": entry.number, "code": refusal.code(), "path": refusal.path(),
                "reason": refusal.to_string(),
            })),
            _ => None,
        });
        serde_json::json!({
            "version": in_force.map_or(0, |taken| taken.version.number),
            "digest": in_force.map_or_else(String::new, |taken| short(&taken.version.digest)),
            "age_s": in_force.map(|_| ((self.now() - desk.ledger.since()) / 1e3).round()),
            "connected": self.connected.load(Ordering::Relaxed),
            "refused": self.refused.load(Ordering::Relaxed),
            "last_refusal": last_refusal.last(),
            "weak_routes": weak,
        })
    }

    /// The version in force, its age, and whether a service is there, in a few words.
    pub fn standing(&self) -> String {
        let desk = lock(&self.desk);
        let service = if self.connected.load(Ordering::Relaxed) { "following" } else { "no service" };
        match desk.ledger.in_force() {
            None => format!("no version, {service}"),
            Some(taken) => {
                let age = (self.now() - desk.ledger.since()) / 1e3;
                format!("version {}, in force for {age:.0} s, {service}", taken.version.number)
            }
        }
    }

    /// Tells the ledger of something, and carries out what it wants done.
    fn tell(&self, event: Event) {
        let mut event = Some(event);
        self.host.held(&mut |live| {
            let Some(event) = event.take() else { return };
            let mut desk = lock(&self.desk);
            for action in desk.ledger.handle(self.now(), event, live) {
                match action {
                    Action::Apply(document) => self.host.apply(&document),
                    Action::Stage(version, bytes) => self.work(Job::Stage(version, bytes)),
                    Action::Commit(version) => self.work(Job::Commit(version)),
                    Action::Answer(id, version, refusal) => self.answer(&mut desk, id, version, refusal),
                }
            }
        });
    }

    fn answer(&self, desk: &mut Desk, id: OfferId, version: u64, refusal: Option<gaugestep_config::Refusal>) {
        match &refusal {
            None => tracing::info!(version, nonce = id.nonce, "version in force"),
            Some(refusal) => {
                self.refused.fetch_add(1, Ordering::Relaxed);
                let (code, path) = (refusal.code(), refusal.path());
                tracing::warn!(version, nonce = id.nonce, code, path, "version refused: {refusal}");
            }
        }
        // What came on a stream that has ended is answered by the next hello.
        if id.stream == desk.stream {
            let refusal = refusal.map(|refusal| refusal.told());
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
    fn store(&self, mut slots: Option<Slots>, work: &Receiver<Job>) {
        loop {
            let job = match work.recv_timeout(LOOK) {
                Ok(job) => Some(job),
                Err(std::sync::mpsc::RecvTimeoutError::Timeout) => None,
                Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return,
            };
            if let Some(keys) = &self.keys {
                keys.look();
            }
            if slots.is_none() {
                slots = Slots::open(&self.settings.state, LONGEST_DOCUMENT + AROUND).ok();
            }
            let held = slots.as_ref().ok_or_else(|| "another process holds the store".to_owned());
            match job {
                None => {}
                Some(Job::Stage(version, bytes)) => {
                    let end = held.and_then(|slots| slots.stage(&bytes).map_err(|error| error.to_string()));
                    self.tell(Event::Staged(version, end));
                }
                Some(Job::Commit(version)) => {
                    let end = held.and_then(|slots| slots.commit().map_err(|error| error.to_string()));
                    self.tell(Event::Committed(version, end));
                }
            }
        }
    }

    /// Follows for good, whichever service answers.
    fn run(&self) {
        let mut backoff = Backoff::new(self.settings.seed);
        let mut tries = 0;
        loop {
            let service = self.settings.services[tries % self.settings.services.len()];
            tries += 1;
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
            self.tell(Event::StreamEnded(stream));
            let error =
                ended.err().map_or_else(|| "the service has closed".into(), |error| error.to_string());
            let held = if was { began.elapsed().as_secs_f64() * 1e3 } else { 0.0 };
            let wait = backoff.ended(held);
            tracing::info!(%service, wait_ms = wait as u64, "the stream of versions ended: {error}");
            task::sleep(Duration::from_secs_f64(wait / 1e3));
        }
    }

    /// One stream to a service.
    fn stream(&self, service: SocketAddr, stream: u64) -> io::Result<()> {
        let socket = TcpStream::connect_timeout(&service, CONNECT_WITHIN)?;
        let name = self.settings.keys.as_ref().map(|(_, name)| name.as_str());
        let keys = self.keys.as_ref().map(ClientKeys::now).zip(name);
        let mut channel = Channel::connected(socket, keys)?;
        {
            let mut desk = lock(&self.desk);
            desk.waker = Some(channel.waker());
            let in_force = desk.ledger.in_force().map(|taken| taken.version.clone());
            let age_ms = (self.now() - desk.ledger.since()).max(0.0) as u64;
            let (proxy, build) = (self.settings.proxy.clone(), self.settings.build.clone());
            let hello = Hello { protocol: PROTOCOL, proxy, in_force, build, age_ms };
            channel.send(&FromClient { said: Some(from_client::Said::Hello(hello)) })?;
        }
        let began = Instant::now();
        let (mut heard, mut told) = (began, began);
        let mut welcome = false;
        loop {
            let closed = channel.pump()?;
            while let Some(message) = channel.take::<FromService>()? {
                heard = Instant::now();
                match message.said {
                    Some(from_service::Said::Welcome(told)) => {
                        if told.protocol != PROTOCOL {
                            return Err(io::Error::other(format!("it speaks form {}", told.protocol)));
                        }
                        if !welcome {
                            tracing::info!(%service, lineage = told.lineage, "follows the versions of a service");
                        }
                        welcome = true;
                        self.connected.store(true, Ordering::Relaxed);
                    }
                    Some(from_service::Said::Offer(offer)) if welcome => {
                        let version = offer.version.as_ref().map_or(0, |version| version.number);
                        tracing::info!(version, nonce = offer.nonce, "version offered");
                        self.tell(Event::Offered(stream, Box::new(offer)));
                    }
                    // What a later build says is not for this one; what comes before the welcome is no service's.
                    Some(from_service::Said::Offer(_)) => return Err(io::Error::other("it offers unasked")),
                    Some(from_service::Said::Reply(_)) | None => {}
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
                let (succeeded, declined, aborted) = self.host.counted();
                let number = lock(&self.desk).ledger.in_force().map_or(0, |taken| taken.version.number);
                let figures = Figures { succeeded, declined, aborted, number };
                channel.send(&FromClient { said: Some(from_client::Said::Figures(figures)) })?;
            }
            if fresh {
                channel.pump()?;
            }
            channel.wait();
        }
    }
}
