//! The listener, the budget of descriptors, and the way out.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd as _, OwnedFd, RawFd};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use gaugestep_control_plane::client::{ConfigSubscriber, SubscriberSettings};
use gaugestep_dispatch::Settings;
use may::io::{CoIo, WaitIo as _, WaitIoWaker};

use crate::class_registry::ClassRegistry;
use crate::config::{Config, Limits};
use crate::config_applier::{SetLog, Told, Versioned};
use crate::discovery::Roster;
use crate::downstream::postgres::{SessionEnd, SessionManager};
use crate::facade::{Facade, to_duration};
use crate::request_lifecycle::RequestHandler;
use crate::upstream::line_protocol::Lines;
use crate::{lock, task};

/// Descriptors for everything but clients and databases.
const RESERVE: usize = 32;
/// Time after SIGTERM in which new connections and requests may still come, by the protocol and a little more.
const STILL_COMING: Duration = Duration::from_millis(850);
/// Between looks at what is still open.
const LOOK: Duration = Duration::from_millis(10);
/// Sessions beyond their number for the moment in which those that make room close.
const MAKING_ROOM: usize = 8;
/// Connections taken in before their sessions get a turn.
const ACCEPTS: usize = 16;
/// That turn.
const TURN: Duration = Duration::from_millis(1);
/// Time for the last bytes to leave.
const LAST_BYTES: Duration = Duration::from_millis(50);
/// Behind the last answers, for clients that read slowly or are slow to close: all ends before SIGKILL.
const LAST_CLOSES: Duration = Duration::from_millis(200);
/// Between two log lines about connections that cannot be accepted.
const COMPLAIN_EVERY: Duration = Duration::from_secs(5);
/// How often sessions look at their clocks.
const SESSION_SWEEP: Duration = Duration::from_millis(250);
/// The part of the memory that the messages of all sessions may take; each may be so many bytes long at the least.
const MEMORY_PART: usize = 8;
const LEAST_MESSAGE: usize = 64 * 1024;
/// SIGKILL comes 0.7 s after the longest deadline, or after this many milliseconds where that is longer: at a restart,
/// and where a successor takes over. All that is taken is answered so many milliseconds behind that.
const RESTART: f64 = 3_000.0;
const UPGRADE: f64 = 5_000.0;
const LAST_ANSWERS: f64 = 400.0;
/// Before SIGKILL at an upgrade: clients have closed their idle connections by then, which they do after 4 s.
const LAST_SESSIONS: Duration = Duration::from_millis(500);
/// After an operator's call to drain: the front sees that the proxy is not ready, then sessions close behind their next
/// answer, then all that are idle.
const FRONT_SEES: Duration = Duration::from_millis(400);
const SESSIONS_GO: Duration = Duration::from_millis(1_400);

/// A proxy that serves.
pub struct Server {
    handler: Arc<RequestHandler>,
    session_manager: Arc<SessionManager>,
    roster: Arc<Roster>,
    stop: Arc<AtomicBool>,
    listener: WaitIoWaker,
    /// The listening socket is the platform's: a successor accepts from it too.
    shared: bool,
    /// When all must be answered after SIGTERM, in milliseconds.
    last_answers: f64,
    /// Which of an operator's drains this is: odd while it lasts.
    drains: AtomicU64,
    stopping: AtomicBool,
    /// Configurations taken and turned down since the start.
    pub reloads: (AtomicU64, AtomicU64),
    versioned: Arc<Versioned>,
    /// What follows a control service, where an operator has named one.
    follower: OnceLock<Arc<ConfigSubscriber>>,
}

impl Server {
    /// Listens, on a socket that the platform holds if there is one, and starts all coroutines.
    pub fn start(config: Config, inherited: Option<RawFd>, set_log: SetLog) -> Result<Self, String> {
        let listener = match inherited {
            Some(descriptor) => inherit(descriptor),
            None => bind(config.listen),
        };
        let listener = listener.map_err(|error| format!("cannot listen on {}: {error}", config.listen))?;
        // Clients hold a third of the descriptors at most; a few connections more only call queries off.
        let sessions = config.limits.descriptors * 2 / 5;
        let reserve = RESERVE.min(config.limits.descriptors / 4);
        // While a successor takes over, the two hold the descriptors of one; the clients' are theirs together.
        let budget = match inherited {
            Some(_) => (config.limits.descriptors - sessions).saturating_sub(2 * reserve) / 2,
            None => config.limits.descriptors - sessions - reserve,
        };
        let longest = (config.limits.memory_bytes / MEMORY_PART / sessions).max(LEAST_MESSAGE);
        let settings = bounded(config.settings, &config.limits);
        let spread = settings.place.rotation_slot().stagger_factor();
        let told = Told {
            proxy: config.name.clone(),
            names: config.names.clone(),
            settings: settings.clone(),
            max_open: config.limits.max_open,
        };
        let facade = Facade::new(settings, config.seed).map_err(|error| error.to_string())?;
        let classes = ClassRegistry::default();
        classes.update(&config.names, told.settings.clone(), |_, _| {});
        let handler = Arc::new(RequestHandler {
            facade,
            upstream_pool: Arc::new(Lines::new(config.limits, budget)),
            names: config.names,
            classes,
            open: AtomicUsize::new(0),
            max_open: AtomicUsize::new(config.limits.max_open),
            update_lock: Mutex::new(()),
        });
        let roster = Arc::new(Roster::new(handler.clone(), config.coordinator, spread));
        roster.know(config.known_index, &config.known);
        let versioned = Versioned::start(handler.clone(), roster.clone(), told, set_log);
        let listener = CoIo::new(listener).map_err(|error| io::Error::from(error).to_string())?;
        let listener = Arc::new(listener);
        let session_manager = Arc::new(SessionManager::new(handler.clone(), config.seed, longest, &listener));
        let server = Server {
            handler: handler.clone(),
            session_manager: session_manager.clone(),
            roster: roster.clone(),
            stop: Arc::new(AtomicBool::new(false)),
            listener: listener.waker(),
            shared: inherited.is_some(),
            last_answers: config.limits.longest_deadline_ms.min(if inherited.is_some() {
                UPGRADE
            } else {
                RESTART
            }) + LAST_ANSWERS,
            drains: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            reloads: Default::default(),
            versioned,
            follower: OnceLock::new(),
        };
        let start = |name, task: Box<dyn FnOnce() + Send>| {
            task::spawn(name, task).map_err(|error| format!("cannot start a coroutine: {error}"))
        };
        let ticking = handler.clone();
        // A thread and no coroutine, for the reason that `task::sleep` gives.
        std::thread::Builder::new()
            .name("ticker".into())
            .spawn(move || ticking.facade.run_ticker())
            .map_err(|error| format!("cannot start a thread: {error}"))?;
        start("sweeper", Box::new(move || handler.upstream_pool.run_sweeper()))?;
        start("coordinator", Box::new(move || roster.follow()))?;
        let watched = session_manager.clone();
        let sweep = move || {
            loop {
                task::sleep(SESSION_SWEEP);
                watched.wake_expired();
            }
        };
        start("session clocks", Box::new(sweep))?;
        let stop = server.stop.clone();
        start("listener", Box::new(move || accept(&listener, &session_manager, &stop, sessions)))?;
        Ok(server)
    }

    /// Takes a new configuration: the settings, where the coordinator is and what it has told. All else is fixed at
    /// the start; sessions and attempts go on, these under the rules that they came under.
    pub fn reconfigure(&self, config: Config) {
        let settings = bounded(config.settings, &config.limits);
        let told =
            Told { proxy: config.name, names: config.names, settings, max_open: config.limits.max_open };
        {
            let _changes = lock(&self.handler.update_lock);
            self.versioned.retell(told);
        }
        self.roster.know(config.known_index, &config.known);
        self.roster.move_to(config.coordinator);
    }

    /// Follows a control service from now on; first of all the last good version is taken.
    pub fn follow(&self, settings: SubscriberSettings) -> Result<(), String> {
        let follower =
            ConfigSubscriber::start(settings, self.versioned.clone()).map_err(|error| error.to_string())?;
        let _ = self.follower.set(follower);
        Ok(())
    }

    /// What a ready proxy says of itself: also which version of the operators' configuration it serves under, and how
    /// old that is, as a proxy that cannot reach its service goes on under the last.
    pub fn standing(&self) -> String {
        match self.follower.get() {
            None => "ready\n".into(),
            Some(follower) => format!("ready; {}\n", follower.status_line()),
        }
    }

    /// Whether another process has taken the proxy's name: this one serves on, and gets no versions any more.
    pub fn displaced(&self) -> bool {
        self.follower.get().is_some_and(|follower| follower.name_is_superseded())
    }

    /// Whether new clients may come.
    pub fn ready(&self) -> bool {
        !self.displaced() && !self.draining() && !self.stopping.load(Ordering::Relaxed)
    }

    fn draining(&self) -> bool {
        self.drains.load(Ordering::Relaxed) % 2 == 1
    }

    /// What operators are told.
    pub fn figures(&self) -> serde_json::Value {
        let (applied, rejected) = &self.reloads;
        let mut figures = serde_json::json!({
            "results": self.handler.classes.counts_json(),
            "forwards": self.handler.upstream_pool.forwards(),
            "outstanding": self.handler.open.load(Ordering::Relaxed),
            "discovered": self.roster.listed(),
            "ejected": self.handler.facade.ejected_count(),
            "sighup_applied": applied.load(Ordering::Relaxed),
            "sighup_rejected": rejected.load(Ordering::Relaxed),
        });
        if let Some(follower) = self.follower.get() {
            figures["configuration"] = serde_json::json!(follower.status());
        }
        figures
    }

    /// An operator drains the proxy: it is not ready any more, and a little later closes its sessions, each once
    /// nothing is open in it. It goes on running.
    pub fn drain_start(self: &Arc<Self>) {
        let before = self.drains.load(Ordering::Relaxed);
        if before % 2 == 1 {
            return;
        }
        // Calls are served by one thread: nothing comes between these two.
        self.drains.store(before + 1, Ordering::Relaxed);
        tracing::info!("draining as told by an operator");
        let server = self.clone();
        let spawned = task::spawn("drain", move || {
            for (wait, leave) in [(FRONT_SEES, SessionEnd::AfterAnswer), (SESSIONS_GO, SessionEnd::WhenIdle)]
            {
                task::sleep(wait);
                if server.drains.load(Ordering::Relaxed) != before + 1
                    || server.stopping.load(Ordering::Relaxed)
                {
                    return;
                }
                server.session_manager.end_sessions(leave);
            }
        });
        if spawned.is_err() {
            self.session_manager.end_sessions(SessionEnd::WhenIdle);
        }
    }

    /// The operator's drain is over.
    pub fn drain_stop(&self) {
        if self.draining() && !self.stopping.load(Ordering::Relaxed) {
            tracing::info!("the drain is over as told by an operator");
            self.drains.fetch_add(1, Ordering::Relaxed);
            self.session_manager.end_sessions(SessionEnd::Never);
        }
    }

    /// Finishes what is open, and returns; until then goes on accepting while clients may still come, or leaves
    /// those to the successor that has the same listening socket. Blocks a thread.
    pub fn drain(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        let began = Instant::now();
        self.handler.facade.close_by(self.handler.facade.now() + self.last_answers);
        if self.shared {
            self.stop_accepting();
            self.session_manager.end_sessions(SessionEnd::AfterAnswer);
            let last = to_duration(self.last_answers + 300.0).saturating_sub(LAST_SESSIONS);
            while self.session_manager.session_count() > 0 && began.elapsed() < last {
                std::thread::sleep(LOOK);
            }
        } else {
            std::thread::sleep(STILL_COMING);
            self.stop_accepting();
        }
        self.session_manager.end_sessions(SessionEnd::WhenIdle);
        // A session counts until its client has closed, too, or is given up: a close under what is still to be read or to
        // be written would reset the connection.
        let last = to_duration(self.last_answers) + LAST_CLOSES;
        while self.handler.open.load(Ordering::Relaxed) + self.session_manager.session_count() > 0
            && began.elapsed() < last
        {
            std::thread::sleep(LOOK);
        }
        std::thread::sleep(LAST_BYTES);
    }

    fn stop_accepting(&self) {
        self.stop.store(true, Ordering::Relaxed);
        self.listener.wakeup();
    }
}

/// The settings with what may be open bounded: a tenth of the clients' connections stays free for those who come next.
fn bounded(mut settings: Settings, limits: &Limits) -> Settings {
    settings.max_open = settings.max_open.min(limits.descriptors / 3 * 9 / 10).max(1);
    settings
}

/// Takes over the listening socket that the platform holds.
fn inherit(descriptor: RawFd) -> io::Result<TcpListener> {
    // SAFETY: the platform passes this descriptor to the process for its own use, and it is taken over once, at the
    // start. One that is not open fails in the calls below.
    #[allow(unsafe_code)]
    let owned = unsafe { OwnedFd::from_raw_fd(descriptor) };
    let listener = TcpListener::from(owned);
    listener.local_addr()?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// The address can be bound again at once after a restart, but not by two proxies together.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(1024)?;
    Ok(socket.into())
}

fn accept(
    listener: &CoIo<TcpListener>,
    session_manager: &Arc<SessionManager>,
    stop: &AtomicBool,
    most: usize,
) {
    let mut accepted = 0;
    let mut complained: Option<Instant> = None;
    loop {
        match listener.inner().accept() {
            Ok((socket, _)) => {
                // A session that makes room has gone before the next few are taken in, which the reserve bears. Guards the
                // way to the coordinator and to databases: no flood of connections takes a descriptor beyond that.
                let sessions = session_manager.session_count();
                let full = sessions >= most && !session_manager.evict_idle_session()
                    || sessions >= most + MAKING_ROOM;
                if full {
                    session_manager.reject(&socket);
                } else if let Err(error) = session_manager.admit(socket) {
                    tracing::debug!("a connection could not be taken in: {error}");
                }
                accepted += 1;
                if accepted % ACCEPTS == 0 {
                    task::sleep(TURN);
                }
            }
            // Whoever has connected by then is told by a session that the proxy shuts down, and not reset.
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                listener.wait_io();
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(_) if stop.load(Ordering::Relaxed) => return,
            Err(error) => {
                if complained.is_none_or(|at| at.elapsed() >= COMPLAIN_EVERY) {
                    complained = Some(Instant::now());
                    tracing::warn!("cannot accept: {error}");
                }
                task::sleep(LOOK);
            }
        }
    }
}
