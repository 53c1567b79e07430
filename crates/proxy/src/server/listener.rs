//! The listening socket and the coroutine that accepts clients from it.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{FromRawFd as _, OwnedFd, RawFd};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use may::io::{CoIo, WaitIo as _, WaitIoWaker};

use crate::downstream::postgres::SessionManager;
use crate::log_limit::LogLimit;
use crate::stream::peer_closed;
use crate::task;

/// Connections that the kernel queues until they are accepted.
const BACKLOG: i32 = 4096;
/// Sessions that may be open above the limit while evicted sessions close.
const MAX_EXCESS_SESSIONS: usize = 8;
/// How long connections are accepted before the acceptor pauses, so that their sessions run.
const ACCEPT_TURN: Duration = Duration::from_millis(1);
/// How long the acceptor pauses then.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);
/// Delay between a failed accept and the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Opens the listening socket: the descriptor `inherited` from the platform, or else a new socket on
/// `address`.
///
/// # Errors
///
/// Returns an error if the descriptor is not a listening socket, or the address cannot be bound.
pub fn open(address: SocketAddr, inherited: Option<RawFd>) -> io::Result<TcpListener> {
    match inherited {
        Some(descriptor) => inherit(descriptor),
        None => bind(address),
    }
}

/// Takes over the listening socket that the platform passes as a descriptor.
fn inherit(descriptor: RawFd) -> io::Result<TcpListener> {
    // SAFETY: the platform passes this descriptor for the sole use of this process, and ownership is taken
    // only once, at the start. If the descriptor is not open, the calls below fail.
    #[expect(unsafe_code, reason = "a descriptor that the platform passes is only a number")]
    let owned = unsafe { OwnedFd::from_raw_fd(descriptor) };
    let listener = TcpListener::from(owned);
    listener.local_addr()?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Binds a new socket. `SO_REUSEADDR` allows a restarted proxy to bind the address at once, but not two
/// proxies at the same time.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Accepts clients and starts their sessions until it is stopped.
pub struct Acceptor {
    listener: Arc<CoIo<TcpListener>>,
    session_manager: Arc<SessionManager>,
    max_sessions: usize,
    is_stopped: Arc<AtomicBool>,
    error_log: LogLimit,
}

/// Stops an [`Acceptor`].
pub struct AcceptorHandle {
    is_stopped: Arc<AtomicBool>,
    waker: WaitIoWaker,
}

impl AcceptorHandle {
    /// Makes the acceptor accept the connections that are already queued, and then close the listening
    /// socket.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.waker.wakeup();
    }
}

impl Acceptor {
    /// Creates an acceptor that admits at most `max_sessions` clients to `session_manager`.
    pub fn new(
        listener: Arc<CoIo<TcpListener>>,
        session_manager: Arc<SessionManager>,
        max_sessions: usize,
    ) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        Acceptor { listener, session_manager, max_sessions, is_stopped, error_log: LogLimit::default() }
    }

    /// Returns a handle that stops this acceptor.
    pub fn handle(&self) -> AcceptorHandle {
        AcceptorHandle { is_stopped: self.is_stopped.clone(), waker: self.listener.waker() }
    }

    /// Accepts clients until the acceptor is stopped. Blocks its coroutine.
    pub fn run(self) {
        let mut turn_started_at = Instant::now();
        loop {
            match self.listener.inner().accept() {
                Ok((socket, _)) => {
                    if !is_abandoned(&socket) {
                        self.admit(socket);
                    }
                    if turn_started_at.elapsed() >= ACCEPT_TURN {
                        task::sleep(ACCEPT_PAUSE);
                        turn_started_at = Instant::now();
                    }
                }
                // The queue is emptied before a stop takes effect: clients in it get an error response from a
                // session, whereas closing the socket would reset their connections.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if self.is_stopped() {
                        return;
                    }
                    self.listener.wait_io();
                    turn_started_at = Instant::now();
                }
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(_) if self.is_stopped() => return,
                Err(error) => {
                    self.log_error(&error);
                    task::sleep(ACCEPT_RETRY_DELAY);
                }
            }
        }
    }

    /// Starts a session on a connection. If the limit is reached, an idle session is evicted first; if none
    /// can be evicted, the connection is rejected.
    ///
    /// An evicted session closes with a delay, during which a few sessions above the limit are open.
    /// Descriptors are reserved for these, so that a flood of clients cannot use up the descriptors for the
    /// coordinator and the engines.
    fn admit(&self, socket: TcpStream) {
        let session_count = self.session_manager.session_count();
        let is_full = session_count >= self.max_sessions && !self.session_manager.evict_idle_session()
            || session_count >= self.max_sessions + MAX_EXCESS_SESSIONS;
        if is_full {
            self.session_manager.reject(&socket);
        } else if let Err(error) = self.session_manager.admit(socket) {
            tracing::debug!("cannot start a session: {error}");
        }
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    /// Logs a failed accept, unless one was logged just before.
    fn log_error(&self, error: &io::Error) {
        if let Some(unlogged) = self.error_log.next_line(Instant::now()) {
            tracing::warn!(unlogged, "cannot accept a client connection: {error}");
        }
    }
}

/// Whether the client has closed a new connection without having sent anything.
fn is_abandoned(socket: &TcpStream) -> bool {
    peer_closed(socket) && !matches!(socket.peek(&mut [0]), Ok(length) if length > 0)
}
