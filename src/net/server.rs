//! The listener, the budget of descriptors, and the way out.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use may::io::{CoIo, WaitIo as _, WaitIoWaker};

use super::back::lines::Lines;
use super::coordinator::Roster;
use super::front::pg::Front;
use super::relay::Gateway;
use super::task;
use crate::config::Config;
use crate::facade::Facade;

/// Descriptors for everything but clients and databases.
const RESERVE: usize = 32;
/// Time after SIGTERM in which new connections and requests may still come, by the protocol and a little more.
const STILL_COMING: Duration = Duration::from_millis(850);
/// Between looks at what is still open.
const LOOK: Duration = Duration::from_millis(10);
/// Connections taken in before their sessions get a turn.
const ACCEPTS: usize = 16;
/// That turn.
const TURN: Duration = Duration::from_millis(1);
/// Time for the last bytes to leave.
const LAST_BYTES: Duration = Duration::from_millis(50);
/// How often sessions look at their clocks.
const SESSION_SWEEP: Duration = Duration::from_millis(250);
/// The part of the memory that the messages of all sessions may take; each may be so many bytes long at the least.
const MEMORY_PART: usize = 8;
const LEAST_MESSAGE: usize = 64 * 1024;
/// All that is taken is answered this long after SIGTERM: SIGKILL may come 3.7 s after it.
const LAST_ANSWERS: f64 = 3_400.0;

/// A proxy that serves.
pub struct Server {
    gateway: Arc<Gateway>,
    front: Arc<Front>,
    roster: Arc<Roster>,
    stop: Arc<AtomicBool>,
    listener: WaitIoWaker,
}

impl Server {
    /// Binds the address and starts all coroutines.
    pub fn start(config: Config) -> Result<Self, String> {
        let listener =
            bind(config.listen).map_err(|error| format!("cannot listen on {}: {error}", config.listen))?;
        // Clients hold a third of the descriptors at most; a few connections more only call queries off.
        let sessions = config.limits.descriptors * 2 / 5;
        let budget = config.limits.descriptors - sessions - RESERVE.min(config.limits.descriptors / 4);
        // A tenth of the clients' connections stays free for those who come next.
        let longest = (config.limits.memory_bytes / MEMORY_PART / sessions).max(LEAST_MESSAGE);
        let mut settings = config.settings;
        settings.max_open = settings.max_open.min(config.limits.descriptors / 3 * 9 / 10).max(1);
        let facade = Facade::new(settings, config.seed).map_err(|error| error.to_string())?;
        let gateway = Arc::new(Gateway {
            facade,
            lines: Arc::new(Lines::new(config.limits, config.names.clone(), budget)),
            names: config.names,
            open: AtomicUsize::new(0),
            max_open: config.limits.max_open,
        });
        let roster = Arc::new(Roster::new(gateway.clone(), config.coordinator));
        roster.know(config.known_index, &config.known);
        let front = Arc::new(Front::new(gateway.clone(), config.seed, longest));
        let listener = CoIo::new(listener).map_err(|error| io::Error::from(error).to_string())?;
        let server = Server {
            gateway: gateway.clone(),
            front: front.clone(),
            roster: roster.clone(),
            stop: Arc::new(AtomicBool::new(false)),
            listener: listener.waker(),
        };
        let start = |name, task: Box<dyn FnOnce() + Send>| {
            task::spawn(name, task).map_err(|error| format!("cannot start a coroutine: {error}"))
        };
        let ticking = gateway.clone();
        start("ticker", Box::new(move || ticking.facade.run_ticker()))?;
        start("sweeper", Box::new(move || gateway.lines.run_sweeper()))?;
        start("coordinator", Box::new(move || roster.follow()))?;
        let watched = front.clone();
        let sweep = move || {
            loop {
                may::coroutine::sleep(SESSION_SWEEP);
                watched.look_over();
            }
        };
        start("session clocks", Box::new(sweep))?;
        let stop = server.stop.clone();
        start("listener", Box::new(move || accept(&listener, &front, &stop, sessions)))?;
        Ok(server)
    }

    /// Takes a new configuration: where the coordinator is and what it has told. All else is fixed at the start, and
    /// sessions and attempts go on.
    pub fn reconfigure(&self, config: &Config) {
        self.roster.know(config.known_index, &config.known);
        self.roster.move_to(config.coordinator);
    }

    /// Goes on accepting while clients may still come, finishes what is open, and returns. Blocks a thread.
    pub fn drain(&self) {
        self.gateway.facade.close_by(self.gateway.facade.now() + LAST_ANSWERS);
        std::thread::sleep(STILL_COMING);
        self.stop.store(true, Ordering::Relaxed);
        self.listener.wakeup();
        self.front.close();
        while self.gateway.open.load(Ordering::Relaxed) > 0 {
            std::thread::sleep(LOOK);
        }
        std::thread::sleep(LAST_BYTES);
    }
}

/// The address can be bound again at once after a restart, but not by two proxies together.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(1024)?;
    Ok(socket.into())
}

fn accept(listener: &CoIo<TcpListener>, front: &Arc<Front>, stop: &AtomicBool, most: usize) {
    let mut accepted = 0;
    while !stop.load(Ordering::Relaxed) {
        match listener.inner().accept() {
            Ok((socket, _)) => {
                // A session that makes room has gone before the next few are taken in, which the reserve bears.
                if front.sessions() >= most && !front.make_room() {
                    front.turn_away(&socket);
                } else if let Err(error) = front.take_in(socket) {
                    tracing::debug!("a connection could not be taken in: {error}");
                }
                accepted += 1;
                if accepted % ACCEPTS == 0 {
                    may::coroutine::sleep(TURN);
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                listener.wait_io();
            }
            Err(error) => {
                tracing::warn!("cannot accept: {error}");
                may::coroutine::sleep(LOOK);
            }
        }
    }
}
