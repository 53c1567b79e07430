//! The control service: a shell round the [`Rollout`], which decides who is offered what.
//!
//! Each stream is one coroutine. A thread of its own keeps versions, one change behind the other: nothing is offered
//! before it is stored. The documents are held in memory too, once each, whatever the number of proxies.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use gaugestep_coio::stream::Waker;
use gaugestep_coio::task;
use gaugestep_config::rollout::{Action, Event, Rollout};
use gaugestep_config::schema::entry::State;
use gaugestep_config::schema::offer::Content;
use gaugestep_config::schema::{
    Call, Entry, Fleet, FromClient, FromService, Hello, Offer, Plan, Proxy, Published, Reply, Shown,
    Versions, Welcome, call, from_client, from_service, reply,
};
use gaugestep_config::{Document, PROTOCOL, check, delta, schema, short, version};
use gaugestep_store::versions::{Stored, Versions as Store};
use may::net::{TcpListener, TcpStream};
use prost::Message as _;

use crate::channel::{Channel, STACK_WORDS};
use crate::keys::{self, Files, ServerKeys};
use crate::lock;

/// A peer that has not said who it is within this time, or has been silent for so long, is closed.
const HELLO_WITHIN: Duration = Duration::from_secs(5);
const SILENCE: Duration = Duration::from_secs(10);
/// How often clocks are looked at, and keys.
const LOOK: Duration = Duration::from_millis(100);
const KEYS_EVERY: Duration = Duration::from_secs(1);
/// Operators' calls open together.
const CALLS: usize = 64;
/// Between tries to accept after an error.
const PAUSE: Duration = Duration::from_millis(50);
/// Bytes of a proxy's name and build, and of what an operator writes about a version.
const NAME: usize = 128;
const WORDS: usize = 4_096;

/// How a service runs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where proxies connect, and operators.
    pub listen: SocketAddr,
    /// See `listen`.
    pub operators: SocketAddr,
    /// The file in which versions are kept.
    pub store: PathBuf,
    /// Keys for proxies and for operators.
    pub keys: Option<(Files, Files)>,
    /// Versions kept at least.
    pub keep: usize,
    /// Streams open together.
    pub streams: usize,
}

impl Settings {
    /// As the service's file has them; the error is one plain line.
    pub fn of(told: &schema::Service) -> Result<Self, String> {
        let address = |field: &str, text: &str| -> Result<SocketAddr, String> {
            text.parse().map_err(|_| format!("'{field}' is '{text}', no address"))
        };
        let keys = match &told.keys {
            None => None,
            Some(_) if told.operators_authority.is_empty() => {
                return Err("'operators_authority' is missing".into());
            }
            Some(files) => {
                let proxies = Files::of(files)?;
                let authority = PathBuf::from(&told.operators_authority);
                Some((proxies.clone(), Files { authority, ..proxies }))
            }
        };
        if told.store.is_empty() {
            return Err("'store' is missing".into());
        }
        let (listen, operators) = (address("listen", &told.listen)?, address("operators", &told.operators)?);
        for address in [listen, operators] {
            keys::allowed(address, keys.is_some())?;
        }
        Ok(Settings {
            listen,
            operators,
            store: PathBuf::from(&told.store),
            keys,
            keep: told.keep.unwrap_or(100).max(1) as usize,
            streams: told.streams.unwrap_or(4_096).max(1) as usize,
        })
    }
}

/// A version as it is held.
struct Held {
    entry: Entry,
    document: Arc<Document>,
}

/// What a stream's coroutine is to send.
struct Line {
    out: VecDeque<FromService>,
    waker: Waker,
}

struct Inner {
    rollout: Rollout,
    held: BTreeMap<u64, Held>,
    lines: BTreeMap<u64, Line>,
    next_stream: u64,
    calls: usize,
}

/// Work for the thread that keeps versions.
enum Job {
    /// Publishes a document; who asked is told.
    Publish(Box<Publishing>),
    /// A version's state has changed.
    Entry(Box<Entry>),
}

struct Publishing {
    document: Arc<Document>,
    author: String,
    note: String,
    plan: Plan,
    rolls_back_to: u64,
    expected_newest: u64,
    tell: Option<may::sync::mpsc::Sender<Reply>>,
}

/// A service that runs.
pub struct Service {
    inner: Mutex<Inner>,
    jobs: Mutex<Sender<Job>>,
    lineage: u64,
    streams: usize,
    keys: Option<(ServerKeys, ServerKeys)>,
    started: Instant,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn error(why: impl Into<String>) -> Reply {
    Reply { what: Some(reply::What::Error(why.into())) }
}

impl Service {
    /// Opens the store and the listeners and begins to serve. An error is one plain line.
    pub fn start(settings: Settings, seed: u64) -> Result<Arc<Self>, String> {
        let store = Store::open(&settings.store, settings.keep)?;
        let lineage = store.lineage(seed.max(1))?;
        let mut held = BTreeMap::new();
        let mut known = Vec::new();
        for stored in store.all()? {
            let spoilt = |error: &dyn std::fmt::Display| format!("version {}: {error}", stored.number);
            let entry = Entry::decode(stored.entry.as_slice()).map_err(|error| spoilt(&error))?;
            let document = Document::decode(stored.document.as_slice()).map_err(|error| spoilt(&error))?;
            let state = State::try_from(entry.state).map_err(|error| spoilt(&error))?;
            known.push((stored.number, entry.plan.unwrap_or_default(), state, entry.rolls_back_to));
            held.insert(stored.number, Held { entry, document: Arc::new(document) });
        }
        let keys = match settings.keys {
            None => None,
            Some((proxies, operators)) => Some((ServerKeys::serve(proxies)?, ServerKeys::serve(operators)?)),
        };
        let (jobs, work) = channel();
        let service = Arc::new(Service {
            inner: Mutex::new(Inner {
                rollout: Rollout::recover(known),
                held,
                lines: BTreeMap::new(),
                next_stream: 0,
                calls: 0,
            }),
            jobs: Mutex::new(jobs),
            lineage,
            streams: settings.streams,
            keys,
            started: Instant::now(),
        });
        let keeping = service.clone();
        std::thread::Builder::new()
            .name("versions".into())
            .spawn(move || keeping.keep(&store, &work))
            .map_err(|error| format!("cannot start a thread: {error}"))?;
        for (address, proxies) in [(settings.listen, true), (settings.operators, false)] {
            let cannot = |error: io::Error| format!("cannot listen on {address}: {error}");
            let listener = TcpListener::bind(address).map_err(cannot)?;
            let serving = service.clone();
            task::spawn("listener", move || serving.accept(&listener, proxies)).map_err(cannot)?;
        }
        let ticking = service.clone();
        task::spawn("clocks", move || ticking.tick())
            .map_err(|error| format!("cannot start a coroutine: {error}"))?;
        Ok(service)
    }

    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    fn tick(&self) {
        loop {
            task::sleep(LOOK);
            self.tell(Event::Tick);
            for line in lock(&self.inner).lines.values() {
                line.waker.wakeup();
            }
        }
    }

    /// Tells the rollout of something, and carries out what it wants done.
    fn tell(&self, event: Event) {
        let mut inner = lock(&self.inner);
        let actions = inner.rollout.handle(self.now(), event);
        self.carry_out(&mut inner, actions);
    }

    fn carry_out(&self, inner: &mut Inner, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Offer { proxy, stream, nonce, number, base } => {
                    let Some(held) = inner.held.get(&number) else { continue };
                    let offer = offer(held, inner.held.get(&base), nonce);
                    let Some(line) = inner.lines.get_mut(&stream) else { continue };
                    tracing::info!(proxy, version = number, nonce, base, "offered");
                    line.out.push_back(FromService { said: Some(from_service::Said::Offer(offer)) });
                    line.waker.wakeup();
                }
                Action::State { number, state, why } => {
                    let Some(held) = inner.held.get_mut(&number) else { continue };
                    tracing::info!(version = number, state = state.as_str_name(), why, "rollout");
                    held.entry.state = state as i32;
                    held.entry.halted_for = why;
                    self.work(Job::Entry(Box::new(held.entry.clone())));
                }
                Action::RollBack { of, to, why } => {
                    tracing::error!(version = of, to, why, "rolled back");
                    let document = inner.held.get(&to).map(|held| held.document.clone()).unwrap_or_default();
                    self.work(Job::Publish(Box::new(Publishing {
                        document,
                        author: "gaugestep-control".into(),
                        note: format!("brings back version {to}, as version {of} was halted: {why}"),
                        plan: Plan::default(),
                        rolls_back_to: to,
                        expected_newest: 0,
                        tell: None,
                    })));
                }
            }
        }
    }

    fn work(&self, job: Job) {
        // The thread that keeps versions lives as long as the process.
        let _ = lock(&self.jobs).send(job);
    }

    /// The thread that keeps versions.
    fn keep(&self, store: &Store, work: &Receiver<Job>) {
        loop {
            match work.recv_timeout(KEYS_EVERY) {
                Ok(Job::Publish(publishing)) => {
                    let told = publishing.tell.clone();
                    let reply = self.publish(store, *publishing).unwrap_or_else(error);
                    if let Some(told) = told {
                        let _ = told.send(reply);
                    }
                }
                Ok(Job::Entry(entry)) => {
                    let number = entry.version.as_ref().map_or(0, |version| version.number);
                    if let Err(error) = store.set_entry(number, &entry.encode_to_vec()) {
                        // The state is decided anew from the first step after a restart.
                        tracing::error!(version = number, "its state could not be stored: {error}");
                    }
                }
                Err(std::sync::mpsc::RecvTimeoutError::Timeout) => {}
                Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return,
            }
            if let Some((proxies, operators)) = &self.keys {
                proxies.look();
                operators.look();
            }
        }
    }

    /// Stores a version, then has it rolled out.
    fn publish(&self, store: &Store, publishing: Publishing) -> Result<Reply, String> {
        let Publishing { document, author, note, plan, rolls_back_to, expected_newest, .. } = publishing;
        if let Some(refusal) = check::check(&document).into_iter().next() {
            return Err(refusal.to_string());
        }
        let (number, needed) = {
            let inner = lock(&self.inner);
            let newest = inner.rollout.newest();
            if expected_newest > 0 && newest != expected_newest {
                return Err(format!("version {newest} is the newest, not version {expected_newest}"));
            }
            let number = inner.rollout.next_number();
            // What a rollback would bring back, and what proxies have in force, is kept however old.
            let mut needed: Vec<u64> = inner.rollout.proxies().values().map(|proxy| proxy.in_force).collect();
            needed.push(inner.rollout.complete_before(number));
            (number, needed)
        };
        let version = version(number, &document);
        let entry = Entry {
            version: Some(version.clone()),
            published_ms: unix_ms(),
            author,
            note,
            rolls_back_to,
            plan: Some(plan),
            state: State::Rolling as i32,
            halted_for: String::new(),
        };
        let stored = Stored { number, entry: entry.encode_to_vec(), document: document.encode_to_vec() };
        let kept = store.publish(&stored, &needed)?;
        tracing::info!(version = number, digest = short(&version.digest), rolls_back_to, "published");
        let mut inner = lock(&self.inner);
        inner.held.retain(|number, _| kept.contains(number));
        inner.rollout.forget_below(kept.first().copied().unwrap_or(0));
        inner.held.insert(number, Held { entry, document });
        let actions = inner.rollout.handle(self.now(), Event::Published { number, plan, rolls_back_to });
        self.carry_out(&mut inner, actions);
        Ok(Reply { what: Some(reply::What::Published(Published { version: Some(version) })) })
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, proxies: bool) {
        loop {
            let (stream, peer) = match listener.accept() {
                Ok(accepted) => accepted,
                Err(error) => {
                    tracing::warn!("cannot accept: {error}");
                    task::sleep(PAUSE);
                    continue;
                }
            };
            let service = self.clone();
            let spawned = task::spawn_deep("stream", STACK_WORDS, move || {
                let ended = match proxies {
                    true => service.stream(stream),
                    false => service.operator(stream),
                };
                if let Err(error) = ended {
                    tracing::info!(%peer, "a stream ended: {error}");
                }
            });
            if let Err(error) = spawned {
                tracing::error!("no coroutine for a stream: {error}");
            }
        }
    }

    /// A proxy's stream, until it ends.
    fn stream(&self, stream: TcpStream) -> io::Result<()> {
        let keys = self.keys.as_ref().map(|(proxies, _)| proxies.now());
        let mut channel = Channel::accepted(stream, keys)?;
        let number = {
            let mut inner = lock(&self.inner);
            if inner.lines.len() >= self.streams {
                return Err(io::Error::other("too many streams are open"));
            }
            inner.next_stream += 1;
            let number = inner.next_stream;
            inner.lines.insert(number, Line { out: VecDeque::new(), waker: channel.waker() });
            number
        };
        let mut proxy = None;
        let ended = self.talk(&mut channel, number, &mut proxy);
        lock(&self.inner).lines.remove(&number);
        if let Some(proxy) = proxy {
            self.tell(Event::Left { proxy, stream: number });
        }
        ended
    }

    fn talk(&self, channel: &mut Channel, stream: u64, proxy: &mut Option<String>) -> io::Result<()> {
        let (began, mut heard) = (Instant::now(), Instant::now());
        loop {
            let closed = channel.pump()?;
            while let Some(message) = channel.take::<FromClient>()? {
                heard = Instant::now();
                let welcome = match (message.said, proxy.as_ref()) {
                    (Some(from_client::Said::Hello(hello)), None) => {
                        *proxy = Some(self.hello(channel, stream, hello)?);
                        true
                    }
                    (Some(from_client::Said::Answer(answer)), Some(proxy)) => {
                        let (proxy, nonce, refusal) = (proxy.clone(), answer.nonce, answer.refusal);
                        match &refusal {
                            None => tracing::info!(proxy, version = answer.number, nonce, "in force"),
                            Some(refusal) => {
                                let (code, path) = (&refusal.code, &refusal.path);
                                tracing::warn!(
                                    proxy,
                                    version = answer.number,
                                    nonce,
                                    code,
                                    path,
                                    "refused: {}",
                                    refusal.reason
                                );
                            }
                        }
                        self.tell(Event::Answered { proxy, stream, nonce, refusal });
                        false
                    }
                    (Some(from_client::Said::Figures(told)), Some(proxy)) => {
                        let unserved = told.declined.saturating_add(told.aborted);
                        let (proxy, served, number) = (proxy.clone(), told.succeeded, told.number);
                        self.tell(Event::Figures { proxy, stream, served, unserved, number });
                        true
                    }
                    (None, Some(_)) => false,
                    _ => return Err(io::Error::other("a message that is not due")),
                };
                if welcome {
                    let welcome = Welcome { protocol: PROTOCOL, lineage: self.lineage };
                    channel.send(&FromService { said: Some(from_service::Said::Welcome(welcome)) })?;
                }
            }
            if closed {
                return Ok(());
            }
            let late = match proxy {
                None => began.elapsed() >= HELLO_WITHIN,
                Some(_) => heard.elapsed() >= SILENCE,
            };
            if late {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "the peer is silent"));
            }
            let due = match lock(&self.inner).lines.get_mut(&stream) {
                Some(line) => std::mem::take(&mut line.out),
                None => VecDeque::new(),
            };
            for message in due {
                channel.send(&message)?;
            }
            channel.pump()?;
            channel.wait();
        }
    }

    fn hello(&self, channel: &Channel, stream: u64, hello: Hello) -> io::Result<String> {
        let named = !hello.proxy.is_empty() && hello.proxy.len() <= NAME && hello.build.len() <= NAME;
        if hello.protocol != PROTOCOL || !named {
            return Err(io::Error::other("a hello that this build does not understand"));
        }
        // Guards each proxy's place against whoever holds another proxy's key.
        if channel.peer().is_some_and(|certificate| !keys::carries(certificate, &hello.proxy)) {
            return Err(io::Error::other(format!(
                "its certificate does not carry the name '{}'",
                hello.proxy
            )));
        }
        let number = hello.in_force.as_ref().map_or(0, |version| version.number);
        let known =
            lock(&self.inner).held.get(&number).is_some_and(|held| held.entry.version == hello.in_force);
        tracing::info!(proxy = hello.proxy, version = number, known, build = hello.build, "a proxy is here");
        let (proxy, in_force, build) = (hello.proxy.clone(), hello.in_force, hello.build);
        self.tell(Event::Hello { proxy, stream, in_force, known, build });
        Ok(hello.proxy)
    }

    /// An operator's connection: one call, one reply.
    fn operator(&self, stream: TcpStream) -> io::Result<()> {
        let keys = self.keys.as_ref().map(|(_, operators)| operators.now());
        let mut channel = Channel::accepted(stream, keys)?;
        let line = {
            let mut inner = lock(&self.inner);
            if inner.calls >= CALLS {
                return Err(io::Error::other("too many calls are open"));
            }
            inner.calls += 1;
            inner.next_stream += 1;
            let number = inner.next_stream;
            // So that its clock is looked at.
            inner.lines.insert(number, Line { out: VecDeque::new(), waker: channel.waker() });
            number
        };
        let ended = self.answer(&mut channel);
        let mut inner = lock(&self.inner);
        inner.calls -= 1;
        inner.lines.remove(&line);
        ended
    }

    fn answer(&self, channel: &mut Channel) -> io::Result<()> {
        let began = Instant::now();
        let mut answered = false;
        loop {
            let closed = channel.pump()?;
            if !answered {
                if let Some(message) = channel.take::<FromClient>()? {
                    let Some(from_client::Said::Call(call)) = message.said else {
                        return Err(io::Error::other("no call"));
                    };
                    let reply = self.call(call);
                    channel.send(&FromService { said: Some(from_service::Said::Reply(reply)) })?;
                    channel.pump()?;
                    answered = true;
                }
            }
            if closed {
                return Ok(());
            }
            if began.elapsed() >= SILENCE {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "the call took too long"));
            }
            channel.wait();
        }
    }

    /// Carries out a call; the coroutine waits while the thread that keeps versions stores.
    fn call(&self, call: Call) -> Reply {
        let publishing = match call.what {
            Some(call::What::Publish(publish)) => Publishing {
                document: Arc::new(publish.document.unwrap_or_default()),
                author: publish.author,
                note: publish.note,
                plan: publish.plan.unwrap_or_default(),
                rolls_back_to: 0,
                expected_newest: publish.expected_newest,
                tell: None,
            },
            Some(call::What::Rollback(back)) => {
                let document = lock(&self.inner).held.get(&back.to).map(|held| held.document.clone());
                let Some(document) = document else {
                    return error(format!("there is no version {}", back.to));
                };
                Publishing {
                    document,
                    author: back.author,
                    note: back.note,
                    plan: Plan::default(),
                    rolls_back_to: back.to,
                    expected_newest: 0,
                    tell: None,
                }
            }
            Some(call::What::List(list)) => return self.list(list.most as usize),
            Some(call::What::Show(show)) => {
                let number = if show.number == 0 { lock(&self.inner).rollout.newest() } else { show.number };
                return self.show(number);
            }
            Some(call::What::Status(_)) => return self.status(),
            None => return error("a call that this build does not know"),
        };
        if publishing.author.len() > NAME || publishing.note.len() > WORDS {
            return error("author or note is too long");
        }
        if let Some(why) = bad_plan(&publishing.plan) {
            return error(why);
        }
        let (tell, told) = may::sync::mpsc::channel();
        self.work(Job::Publish(Box::new(Publishing { tell: Some(tell), ..publishing })));
        told.recv().unwrap_or_else(|_| error("the service is ending"))
    }

    fn list(&self, most: usize) -> Reply {
        let inner = lock(&self.inner);
        let most = if most == 0 { usize::MAX } else { most };
        let entries = inner.held.values().rev().take(most).map(|held| held.entry.clone()).collect();
        Reply { what: Some(reply::What::Versions(Versions { entries })) }
    }

    fn show(&self, number: u64) -> Reply {
        let inner = lock(&self.inner);
        let Some(held) = inner.held.get(&number) else {
            return error(format!("there is no version {number}"));
        };
        let (entry, document) = (Some(held.entry.clone()), Some((*held.document).clone()));
        Reply { what: Some(reply::What::Shown(Shown { entry, document })) }
    }

    fn status(&self) -> Reply {
        let inner = lock(&self.inner);
        let now = self.now();
        let proxy = |(name, proxy): (&String, &gaugestep_config::rollout::Proxy)| Proxy {
            name: name.clone(),
            connected: proxy.stream.is_some(),
            build: proxy.build.clone(),
            in_force: proxy.in_force,
            offered: proxy.offered.map_or(0, |(_, number, _)| number),
            refusal: proxy.refused.as_ref().map(|(_, refusal)| refusal.clone()),
            refused: proxy.refused.as_ref().map_or(0, |(number, _)| *number),
            heard_ms: (now - proxy.heard).max(0.0) as u64,
            ahead: proxy.ahead,
        };
        let proxies = inner.rollout.proxies().iter().map(proxy).collect();
        Reply { what: Some(reply::What::Fleet(Fleet { newest: inner.rollout.newest(), proxies })) }
    }
}

/// What is wrong with a plan.
fn bad_plan(plan: &Plan) -> Option<&'static str> {
    if !(0.0..=1.0).contains(&plan.share) {
        return Some("the plan's share must lie between 0 and 1");
    }
    if !(0.0..=1.0).contains(&plan.worse_by) {
        return Some("the plan's worsening must lie between 0 and 1");
    }
    (plan.refusals == Some(0)).then_some("the plan must allow for one refusal at least before it halts")
}

/// An offer of a version: as changes to what the proxy has in force, where that is shorter.
fn offer(held: &Held, base: Option<&Held>, nonce: u64) -> Offer {
    let number = |held: &Held| held.entry.version.as_ref().map_or(0, |version| version.number);
    let changes = base.map(|base| delta::between(number(base), &base.document, &held.document));
    let changes = changes.filter(|changes| changes.encoded_len() < held.document.encoded_len());
    let content = match changes {
        Some(changes) => Content::Delta(changes),
        None => Content::Snapshot((*held.document).clone()),
    };
    Offer {
        version: held.entry.version.clone(),
        nonce,
        content: Some(content),
        rolls_back_to: held.entry.rolls_back_to,
    }
}
