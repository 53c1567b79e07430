//! The control service: listeners, and the streams of proxies and of the group's other members. What is agreed on lies in
//! the [`Replica`]; who is offered what is in `driving`, what operators ask for in `calls`.
//!
//! Each stream is one coroutine.

mod admin;
mod rollout_driver;
pub(crate) mod roster_service;

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use gaugestep_config::rollout::{Action, Event, Rollout};
use gaugestep_config::schema::{
    Displaced, FromClient, FromService, Hello, Member, Welcome, from_client, from_service,
};
use gaugestep_config::{PROTOCOL, schema};
use gaugestep_coroutine_io::stream::Waker;
use gaugestep_coroutine_io::task;
use gaugestep_leadership::CONFIGURATION_ROLE;
use gaugestep_leadership::checkpoint::CheckpointBarrier;
use gaugestep_leadership::identity::{Claim, IdentityRegistry};
use gaugestep_leadership::pause_detector::PauseDetector;
use may::net::{TcpListener, TcpStream};

use crate::raft::replica::{self, Replica};
use crate::raft::transport::InboundPeer;
use crate::server::roster_service::RosterState;
use crate::transport::connection::{FramedConnection, STACK_WORDS};
use crate::transport::tls::{self, ServerTls, TlsFiles};
use crate::{clock, lock};

/// A peer that has not said who it is within this time, or has been silent for so long, is closed.
const HELLO_WITHIN: Duration = Duration::from_secs(5);
pub(crate) const SILENCE: Duration = Duration::from_secs(10);
/// How often clocks are looked at, and keys.
const LOOK: Duration = Duration::from_millis(100);
const KEYS_EVERY: Duration = Duration::from_secs(1);
/// A service that stood still for so many milliseconds has proxies come anew.
const STOOD_STILL: f64 = 2_000.0;
/// Between tries to accept after an error.
const PAUSE: Duration = Duration::from_millis(50);
/// Bytes of a proxy's name and build.
pub(crate) const NAME: usize = 128;

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
    pub keys: Option<(TlsFiles, TlsFiles)>,
    /// Versions kept at least.
    pub keep: usize,
    /// Streams open together.
    pub streams: usize,
    /// This service as a member of its group.
    pub member: Member,
    /// It has an empty store and waits to be added.
    pub joins: bool,
    /// The name that the other members' certificates carry.
    pub service_name: String,
    /// The store is used although it is a copy or older than its seal.
    pub restored: bool,
}

impl Settings {
    /// As the service's file has them; the error is one plain line.
    pub fn from_schema(config: &schema::Service) -> Result<Self, String> {
        let address = |field: &str, text: &str| -> Result<SocketAddr, String> {
            text.parse().map_err(|_| format!("'{field}' is '{text}', no address"))
        };
        let keys = match &config.keys {
            None => None,
            Some(_) if config.operators_authority.is_empty() => {
                return Err("'operators_authority' is missing".into());
            }
            Some(files) => {
                let proxies = TlsFiles::from_config(files)?;
                let authority = PathBuf::from(&config.operators_authority);
                Some((proxies.clone(), TlsFiles { authority, ..proxies }))
            }
        };
        if config.store.is_empty() {
            return Err("'store' is missing".into());
        }
        let (listen, operators) =
            (address("listen", &config.listen)?, address("operators", &config.operators)?);
        for address in [listen, operators] {
            tls::check_address_allowed(address, keys.is_some())?;
        }
        let group = config.group.clone().unwrap_or_default();
        if keys.is_some() && config.group.is_some() && group.service_name.is_empty() {
            return Err("'group.service_name' is missing".into());
        }
        let shown = |field: &str, own: SocketAddr, text: &str| -> Result<String, String> {
            if text.is_empty() {
                return Ok(own.to_string());
            }
            address(field, text).map(|address| address.to_string())
        };
        let member = Member {
            number: if group.member == 0 { 1 } else { group.member },
            listen: shown("group.listen_as", listen, &group.listen_as)?,
            operators: shown("group.operators_as", operators, &group.operators_as)?,
            ..Member::default()
        };
        Ok(Settings {
            listen,
            operators,
            store: PathBuf::from(&config.store),
            member,
            joins: group.joins,
            service_name: group.service_name,
            restored: false,
            keys,
            keep: config.keep.unwrap_or(100).max(1) as usize,
            streams: config.streams.unwrap_or(4_096).max(1) as usize,
        })
    }
}

/// What a stream's coroutine is to send, and who speaks on it.
pub(crate) struct Session {
    pub(crate) out: VecDeque<FromService>,
    pub(crate) waker: Waker,
    /// The proxy's hello, kept up with what it answered since, and when it came.
    pub(crate) hello: Option<(Hello, f64)>,
    /// `asked_ms` of the figures that the proxy told last.
    pub(crate) asked: u64,
    /// The coroutine is to end: why.
    pub(crate) end: Option<&'static str>,
}

impl Session {
    pub(crate) fn new(waker: Waker) -> Self {
        Session { out: VecDeque::new(), waker, hello: None, asked: 0, end: None }
    }

    pub(crate) fn send(&mut self, said: from_service::Said) {
        self.out.push_back(FromService { said: Some(said) });
        self.waker.wakeup();
    }

    /// The highest term of the versions that the proxy has seen.
    pub(crate) fn seen(&self) -> u64 {
        self.hello.as_ref().map_or(0, |(hello, _)| seen(hello))
    }
}

/// The highest term of the versions that a proxy has seen.
pub(crate) fn seen(hello: &Hello) -> u64 {
    hello.seen.iter().filter(|it| it.duty == CONFIGURATION_ROLE).map(|it| it.term).max().unwrap_or(0)
}

#[derive(Default)]
pub(crate) struct ServerState {
    /// Decides who is offered what, while this service owns the versions.
    pub(crate) rollout: Rollout,
    /// The term under which it does.
    pub(crate) acting: Option<u64>,
    /// Holds offers of a step back until the next owner would know of it.
    pub(crate) gate: CheckpointBarrier<Action>,
    pub(crate) names: IdentityRegistry,
    pub(crate) lines: BTreeMap<u64, Session>,
    pub(crate) next_stream: u64,
    pub(crate) calls: usize,
    pub(crate) seating: RosterState,
}

/// A service that runs.
pub struct ControlServer {
    pub(crate) inner: Mutex<ServerState>,
    pub(crate) group: Arc<Replica>,
    pub(crate) doubt: Mutex<PauseDetector>,
    pub(crate) keep: usize,
    pub(crate) restored: bool,
    streams: usize,
    keys: Option<(ServerTls, ServerTls)>,
    this: Weak<ControlServer>,
}

impl ControlServer {
    /// Opens the store and the listeners and begins to serve. An error is one plain line.
    pub fn start(settings: Settings, seed: u64) -> Result<Arc<Self>, String> {
        let (group, go) = Replica::open(replica::ReplicaSettings {
            member: settings.member.clone(),
            joins: settings.joins,
            store: settings.store.clone(),
            restored: settings.restored,
            keys: settings.keys.as_ref().map(|(files, _)| (files.clone(), settings.service_name.clone())),
            seed,
        })?;
        let keys = match settings.keys {
            None => None,
            Some((proxies, operators)) => Some((ServerTls::load(proxies)?, ServerTls::load(operators)?)),
        };
        let service = Arc::new_cyclic(|this| ControlServer {
            this: this.clone(),
            inner: Mutex::default(),
            group,
            doubt: Mutex::new(PauseDetector::new(clock::now())),
            keep: settings.keep,
            restored: settings.restored,
            streams: settings.streams,
            keys,
        });
        let cannot = |what: &'static str| move |error: io::Error| format!("cannot start {what}: {error}");
        for (address, proxies) in [(settings.listen, true), (settings.operators, false)] {
            let cannot = |error: io::Error| format!("cannot listen on {address}: {error}");
            let listener = TcpListener::bind(address).map_err(cannot)?;
            let serving = service.clone();
            task::spawn("listener", move || serving.accept(&listener, proxies)).map_err(cannot)?;
        }
        let changing = service.clone();
        go(Box::new(move |changes| changing.changed(changes)))?;
        let ticking = service.clone();
        task::spawn("clocks", move || ticking.tick()).map_err(cannot("a coroutine"))?;
        if service.keys.is_some() {
            let looking = service.clone();
            let look = move || {
                loop {
                    std::thread::sleep(KEYS_EVERY);
                    if let Some((proxies, operators)) = &looking.keys {
                        proxies.reload_if_changed();
                        operators.reload_if_changed();
                    }
                }
            };
            std::thread::Builder::new().name("keys".into()).spawn(look).map_err(cannot("a thread"))?;
        }
        Ok(service)
    }

    /// This service, for what ends later.
    pub(crate) fn itself(&self) -> Weak<ControlServer> {
        self.this.clone()
    }

    /// Keys for operators' connections.
    pub(crate) fn operators_keys(&self) -> Option<Arc<rustls::ServerConfig>> {
        self.keys.as_ref().map(|(_, operators)| operators.current())
    }

    /// Looks whether this service stood still, whatever it does first when it goes on.
    pub(crate) fn check_suspension(&self, inner: &mut ServerState, now: f64) {
        if lock(&self.doubt).observe(now, STOOD_STILL, !inner.names.is_empty()) {
            // Whoever was connected may follow another by now: what it has seen is told by a hello.
            tracing::warn!("the process was suspended for longer than a lease: closing proxy sessions");
            for line in inner.lines.values_mut().filter(|line| line.hello.is_some()) {
                line.end = Some("this service stood still");
            }
        }
    }

    fn tick(&self) {
        loop {
            task::sleep(LOOK);
            let now = clock::now();
            let mut inner = lock(&self.inner);
            self.check_suspension(&mut inner, now);
            self.look(&mut inner);
            self.drive(&mut inner, Event::Tick);
            self.promote(&mut inner, now);
            self.keep_seats(&mut inner, now);
            for line in inner.lines.values() {
                line.waker.wakeup();
            }
        }
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, proxies: bool) {
        loop {
            let (stream, peer) = match listener.accept() {
                Ok(accepted) => accepted,
                Err(error) => {
                    tracing::warn!("cannot accept a connection: {error}");
                    task::sleep(PAUSE);
                    continue;
                }
            };
            let service = self.clone();
            let spawned = task::spawn_with_large_stack("stream", STACK_WORDS, move || {
                let ended = match proxies {
                    true => service.stream(stream),
                    false => service.operator(stream),
                };
                if let Err(error) = ended {
                    tracing::info!(%peer, "connection closed: {error}");
                }
            });
            if let Err(error) = spawned {
                tracing::error!("cannot start a coroutine for a connection: {error}");
            }
        }
    }

    /// A stream of a proxy or of another member, until it ends.
    fn stream(&self, stream: TcpStream) -> io::Result<()> {
        let keys = self.keys.as_ref().map(|(proxies, _)| proxies.current());
        let mut channel = FramedConnection::from_accepted(stream, keys)?;
        let number = {
            let mut inner = lock(&self.inner);
            if inner.lines.len() >= self.streams {
                return Err(io::Error::other("too many streams are open"));
            }
            inner.next_stream += 1;
            let number = inner.next_stream;
            inner.lines.insert(number, Session::new(channel.waker()));
            number
        };
        let ended = self.talk(&mut channel, number);
        let mut inner = lock(&self.inner);
        let line = inner.lines.remove(&number);
        if let Some((hello, _)) = line.and_then(|line| line.hello) {
            let held = inner.names.is_holder(&hello.proxy, number);
            inner.names.disconnected(clock::now(), number);
            if held {
                self.drive(&mut inner, Event::Disconnected { proxy: hello.proxy, stream: number });
            }
        }
        ended
    }

    fn talk(&self, channel: &mut FramedConnection, stream: u64) -> io::Result<()> {
        let (began, mut heard) = (Instant::now(), Instant::now());
        let mut proxy: Option<String> = None;
        let mut peer: Option<InboundPeer> = None;
        loop {
            let closed = channel.pump()?;
            while let Some(message) = channel.next_message::<FromClient>()? {
                heard = Instant::now();
                match (message.said, &proxy, &mut peer) {
                    (Some(from_client::Said::Hello(hello)), None, None) => {
                        proxy = Some(hello.proxy.clone());
                        self.hello(channel, stream, hello)?;
                    }
                    (Some(from_client::Said::PeerHello(hello)), None, None) => {
                        self.certified(channel, self.group.peer_name())?;
                        let (welcome, incoming) = InboundPeer::accept(&self.group, &hello);
                        channel
                            .send(&FromService { said: Some(from_service::Said::PeerWelcome(welcome)) })?;
                        peer = incoming;
                        if peer.is_none() {
                            channel.pump()?;
                            return Ok(());
                        }
                    }
                    (Some(from_client::Said::Peer(said)), None, Some(peer)) => {
                        if let Some(welcome) = peer.handle(&self.group, said)? {
                            channel.send(&FromService {
                                said: Some(from_service::Said::PeerWelcome(welcome)),
                            })?;
                        }
                    }
                    (Some(from_client::Said::Answer(answer)), Some(proxy), None) => {
                        self.answered(proxy, stream, answer);
                    }
                    (Some(from_client::Said::Figures(told)), Some(proxy), None) => {
                        let unserved = told.declined.saturating_add(told.aborted);
                        let (proxy, served, number) = (proxy.clone(), told.succeeded, told.number);
                        let mut inner = lock(&self.inner);
                        if let Some(line) = inner.lines.get_mut(&stream) {
                            line.asked = told.asked_ms;
                        }
                        if inner.names.is_holder(&proxy, stream) {
                            self.drive(
                                &mut inner,
                                Event::RequestCounts { proxy, stream, served, unserved, number },
                            );
                        }
                        self.vouched(&inner, stream);
                        let welcome = self.welcome(&inner, stream);
                        let seated = self.seated(&inner, stream);
                        drop(inner);
                        channel.send(&FromService { said: Some(from_service::Said::Welcome(welcome)) })?;
                        if let Some(seated) = seated {
                            channel.send(&FromService { said: Some(from_service::Said::Seated(seated)) })?;
                        }
                    }
                    (None, Some(_), None) => {}
                    _ => return Err(io::Error::other("a message that is not due")),
                }
            }
            if closed {
                return Ok(());
            }
            let late = match (&proxy, &peer) {
                (None, None) => began.elapsed() >= HELLO_WITHIN,
                _ => heard.elapsed() >= SILENCE,
            };
            if late {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "the peer is silent"));
            }
            let (due, end) = match lock(&self.inner).lines.get_mut(&stream) {
                Some(line) => (std::mem::take(&mut line.out), line.end),
                None => (VecDeque::new(), None),
            };
            for message in due {
                channel.send(&message)?;
            }
            channel.pump()?;
            if let Some(why) = end {
                return Err(io::Error::other(why));
            }
            channel.wait();
        }
    }

    /// A proxy tells its figures, and so has heard this service's welcome: it follows no later owner. A hello proves less, as
    /// one may have waited while this service stood still.
    fn vouched(&self, inner: &ServerState, stream: u64) {
        let term = self.group.with_state(|charter| charter.holder(CONFIGURATION_ROLE).1);
        if inner.lines.get(&stream).is_some_and(|line| line.end.is_none() && line.seen() <= term) {
            lock(&self.doubt).clear();
        }
    }

    /// Guards each place against whoever holds another's key.
    fn certified(&self, channel: &FramedConnection, name: Option<&str>) -> io::Result<()> {
        let Some(certificate) = channel.peer_certificate() else { return Ok(()) };
        match name.is_some_and(|name| tls::certificate_is_valid_for(certificate, name)) {
            true => Ok(()),
            false => {
                let name = name.unwrap_or_default();
                Err(io::Error::other(format!("its certificate does not carry the name '{name}'")))
            }
        }
    }

    fn hello(&self, channel: &mut FramedConnection, stream: u64, mut hello: Hello) -> io::Result<()> {
        let named = !hello.proxy.is_empty() && hello.proxy.len() <= NAME && hello.build.len() <= NAME;
        if hello.protocol != PROTOCOL
            || !named
            || hello.seen.len() > gaugestep_leadership::group_state::MAX_ROLES
        {
            return Err(io::Error::other("a hello that this build does not understand"));
        }
        self.certified(channel, Some(&hello.proxy))?;
        if hello.incarnation == 0 {
            // A build that does not name its processes: each of its streams is one of its own.
            hello.incarnation = stream;
        }
        let now = clock::now();
        let mut inner = lock(&self.inner);
        let given = inner.names.claim(now, &hello.proxy, hello.incarnation, hello.name_term, stream);
        let version = hello.in_force.as_ref().map_or(0, |version| version.number);
        let (proxy, incarnation) = (hello.proxy.clone(), hello.incarnation);
        tracing::info!(
            proxy,
            version,
            incarnation,
            seen = seen(&hello),
            build = hello.build,
            "proxy connected"
        );
        if let Some(line) = inner.lines.get_mut(&stream) {
            line.hello = Some((hello, now));
        }
        let welcome = self.welcome(&inner, stream);
        channel.send(&FromService { said: Some(from_service::Said::Welcome(welcome)) })?;
        match given {
            Claim::Granted { term, superseded } => {
                if let Some(line) = superseded.and_then(|old| inner.lines.get_mut(&old)) {
                    tracing::warn!(proxy, name_term = term, by = incarnation, "proxy identity superseded");
                    line.send(from_service::Said::Displaced(Displaced { name_term: term, by: incarnation }));
                }
                self.present(&mut inner, stream);
            }
            Claim::Superseded { term, by } => {
                tracing::warn!(
                    proxy,
                    name_term = term,
                    by,
                    incarnation,
                    "proxy identity is held by another process"
                );
                let displaced = Displaced { name_term: term, by };
                channel.send(&FromService { said: Some(from_service::Said::Displaced(displaced)) })?;
            }
        }
        Ok(())
    }

    /// What a proxy is told of who it speaks to.
    pub(crate) fn welcome(&self, inner: &ServerState, stream: u64) -> Welcome {
        let own = self.group.member_number();
        let (owner, term) = self.group.with_state(|charter| charter.holder(CONFIGURATION_ROLE));
        let owner = match inner.acting {
            Some(term) => Some((own, term)),
            // Its lease has lapsed, as far as it knows.
            None if owner == own => None,
            None => Some((owner, term)),
        };
        let owner = owner.and_then(|(owner, term)| self.owner(owner, term));
        let proxy = inner.lines.get(&stream).and_then(|line| line.hello.as_ref());
        let name_term = proxy.filter(|(hello, _)| inner.names.is_holder(&hello.proxy, stream));
        let name_term = name_term.and_then(|(hello, _)| inner.names.holder(&hello.proxy));
        Welcome {
            protocol: PROTOCOL,
            lineage: self.group.lineage(),
            owner,
            name_term: name_term.map_or(0, |(_, term)| term),
            member: own,
        }
    }

    /// Where the owner of the versions is reached.
    pub(crate) fn owner(&self, member: u64, term: u64) -> Option<schema::Owner> {
        let known = self.group.member(member)?;
        let (listen, operators) = (known.listen, known.operators);
        Some(schema::Owner { duty: CONFIGURATION_ROLE.into(), member, term, listen, operators })
    }
}
