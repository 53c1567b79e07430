//! The listening socket, and the coroutine that accepts clients from it.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{FromRawFd as _, OwnedFd, RawFd};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use may::io::{CoIo, WaitIo as _, WaitIoWaker};

use crate::downstream::postgres::SessionManager;
use crate::task;

/// Connections that the kernel holds until they are accepted.
const BACKLOG: i32 = 1024;
/// Sessions that may be open beyond their limit, until those that are evicted for them have closed.
const SESSIONS_BEYOND_LIMIT: usize = 8;
/// Connections accepted before their sessions run.
const ACCEPTS_PER_TURN: usize = 16;
/// How long the sessions run then.
const TURN_PAUSE: Duration = Duration::from_millis(1);
/// Between an error and the next attempt to accept.
const RETRY_PAUSE: Duration = Duration::from_millis(10);
/// Between two log lines about connections that cannot be accepted.
const ERROR_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Opens the listening socket: the one that the platform holds, or else a new one.
///
/// # Errors
///
/// If the descriptor is no listening socket, or the address cannot be bound.
pub fn open(address: SocketAddr, inherited: Option<RawFd>) -> io::Result<TcpListener> {
    match inherited {
        Some(descriptor) => inherit(descriptor),
        None => bind(address),
    }
}

fn inherit(descriptor: RawFd) -> io::Result<TcpListener> {
    // SAFETY: the platform passes this descriptor to the process for its own use, and it is taken over once, at the
    // start. One that is not open fails in the calls below.
    #[expect(unsafe_code, reason = "a descriptor that the platform passes is only a number")]
    let owned = unsafe { OwnedFd::from_raw_fd(descriptor) };
    let listener = TcpListener::from(owned);
    listener.local_addr()?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// The address can be bound again at once after a restart, but not by two proxies at a time.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Accepts clients until it is stopped.
pub struct Acceptor {
    listener: Arc<CoIo<TcpListener>>,
    session_manager: Arc<SessionManager>,
    max_sessions: usize,
    is_stopped: Arc<AtomicBool>,
    last_error_logged: Option<Instant>,
}

/// Stops an [`Acceptor`].
pub struct AcceptorHandle {
    is_stopped: Arc<AtomicBool>,
    waker: WaitIoWaker,
}

impl AcceptorHandle {
    /// Has the acceptor accept the connections that have come, and close the listening socket.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.waker.wakeup();
    }
}

impl Acceptor {
    /// An acceptor that admits at most `max_sessions` clients to `session_manager`.
    pub fn new(
        listener: Arc<CoIo<TcpListener>>,
        session_manager: Arc<SessionManager>,
        max_sessions: usize,
    ) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        Acceptor { listener, session_manager, max_sessions, is_stopped, last_error_logged: None }
    }

    /// The handle that stops this acceptor.
    pub fn handle(&self) -> AcceptorHandle {
        AcceptorHandle { is_stopped: self.is_stopped.clone(), waker: self.listener.waker() }
    }

    /// Accepts clients until the acceptor is stopped; blocks its coroutine.
    pub fn run(mut self) {
        let mut accepted = 0;
        loop {
            match self.listener.inner().accept() {
                Ok((socket, _)) => {
                    self.admit(socket);
                    accepted += 1;
                    if accepted % ACCEPTS_PER_TURN == 0 {
                        task::sleep(TURN_PAUSE);
                    }
                }
                // Those who connected before the stop get an error from a session, and are not reset.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if self.is_stopped() {
                        return;
                    }
                    self.listener.wait_io();
                }
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(_) if self.is_stopped() => return,
                Err(error) => {
                    self.log(&error);
                    task::sleep(RETRY_PAUSE);
                }
            }
        }
    }

    /// Starts a session on a connection, or rejects it if no session can be evicted for it.
    ///
    /// An evicted session closes a moment later, so a few sessions more than the limit are open meanwhile, for which there
    /// are reserved descriptors. No flood of clients takes those for the coordinator and the databases.
    fn admit(&self, socket: TcpStream) {
        let sessions = self.session_manager.session_count();
        let is_full = sessions >= self.max_sessions && !self.session_manager.evict_idle_session()
            || sessions >= self.max_sessions + SESSIONS_BEYOND_LIMIT;
        if is_full {
            self.session_manager.reject(&socket);
        } else if let Err(error) = self.session_manager.admit(socket) {
            tracing::debug!("cannot start a session: {error}");
        }
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    /// Logs an error, unless one was logged shortly before.
    fn log(&mut self, error: &io::Error) {
        if self.last_error_logged.is_none_or(|at| at.elapsed() >= ERROR_LOG_INTERVAL) {
            self.last_error_logged = Some(Instant::now());
            tracing::warn!("cannot accept: {error}");
        }
    }
}
