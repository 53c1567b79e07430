//! Fault injection into loopback connections between processes. Each process is reached through a relay of
//! its own, which identifies the process that has connected and applies the faults of the link between the
//! two: it closes connections, stalls them (open but silent), delays bytes, cuts a connection in the middle
//! of a message, or resets it.

use std::collections::BTreeMap;
use std::io::{self, Read as _, Write as _};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use socket2::SockRef;

/// The fault of one direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum LinkFault {
    /// All bytes are relayed.
    #[default]
    None,
    /// No bytes are read or relayed; the connection stays open.
    Stalled,
    /// Bytes are relayed after this delay.
    Delayed(Duration),
    /// The connection is closed after this many further bytes, even in the middle of a message.
    CutAfter(u64),
}

/// The state of a link: the connections that one process opens to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct Link {
    /// The fault from the process that connected to the one that accepted.
    pub forward: LinkFault,
    /// The fault of the opposite direction.
    pub backward: LinkFault,
    /// Whether connections are closed, new ones at once.
    pub down: bool,
    /// Whether open connections are closed by a TCP reset.
    pub reset: bool,
}

/// How a partition between two processes appears to them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    /// Connections stay open, but no bytes arrive.
    Silent,
    /// Connections are closed, and new ones fail.
    Closed,
}

/// The traffic relayed over all links, in both directions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct Traffic {
    /// Number of bytes.
    pub bytes: u64,
    /// Number of chunks in which the bytes were read; most chunks are one message.
    pub chunks: u64,
}

/// Returns the name of the process that opened a connection, from the first bytes that it sent; `None` if
/// more bytes are needed.
pub type Identify = fn(&[u8]) -> Option<String>;

#[derive(Default)]
struct State {
    links: BTreeMap<(String, String), Link>,
    /// The address of the process behind each relay.
    targets: BTreeMap<String, SocketAddr>,
    traffic: Traffic,
}

/// The links between the processes of a fleet. A link has no fault until it is set.
#[derive(Clone)]
pub struct Network {
    state: Arc<Mutex<State>>,
    identify: Identify,
}

/// The interval at which each connection reads the state of its link.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A process that is not identified within this time is treated as [`UNIDENTIFIED`].
const IDENTIFY_TIMEOUT: Duration = Duration::from_secs(5);
/// The name of a process that could not be identified.
const UNIDENTIFIED: &str = "stranger";

impl Network {
    /// Creates a network without processes.
    pub fn new(identify: Identify) -> Self {
        Network { state: Arc::default(), identify }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a relay for the process `name`, which listens at `target`. Returns the address of the relay, at
    /// which all other processes connect.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be bound.
    pub fn relay(&self, name: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        self.lock().targets.insert(name.to_owned(), target);
        let (network, name) = (self.clone(), name.to_owned());
        std::thread::spawn(move || {
            for accepted in listener.incoming().flatten() {
                let (network, name) = (network.clone(), name.clone());
                std::thread::spawn(move || network.serve_connection(&name, accepted));
            }
        });
        Ok(address)
    }

    /// Sets the state of the link for connections that one process opens to another.
    pub fn set(&self, from: &str, to: &str, link: Link) {
        self.lock().links.insert((from.to_owned(), to.to_owned()), link);
    }

    /// Partitions two processes from each other.
    pub fn partition(&self, one: &str, other: &str, partition: Partition) {
        let (forward, backward) = (LinkFault::Stalled, LinkFault::Stalled);
        let link = match partition {
            Partition::Silent => Link { forward, backward, ..Link::default() },
            Partition::Closed => Link { down: true, ..Link::default() },
        };
        self.set(one, other, link);
        self.set(other, one, link);
    }

    /// Removes the faults of both links between two processes.
    pub fn heal(&self, one: &str, other: &str) {
        self.set(one, other, Link::default());
        self.set(other, one, Link::default());
    }

    /// Resets the open connections from one process to another, then removes the fault of that link.
    pub fn reset(&self, from: &str, to: &str) {
        self.set(from, to, Link { reset: true, ..Link::default() });
        std::thread::sleep(5 * POLL_INTERVAL);
        self.set(from, to, Link::default());
    }

    /// Removes the faults of all links.
    pub fn heal_all(&self) {
        self.lock().links.clear();
    }

    /// Returns the traffic relayed over all links so far.
    pub fn traffic(&self) -> Traffic {
        self.lock().traffic
    }

    fn link(&self, from: &str, to: &str) -> Link {
        self.lock().links.get(&(from.to_owned(), to.to_owned())).copied().unwrap_or_default()
    }

    /// Connects to the process behind the relay `to`, and relays bytes until the connection ends.
    fn serve_connection(&self, to: &str, mut client: TcpStream) {
        // If an option cannot be set, the relay is slower but still correct.
        let _ = client.set_nodelay(true);
        let _ = client.set_read_timeout(Some(POLL_INTERVAL));
        let mut first_bytes = Vec::new();
        let Some(from) = self.identify_client(&mut client, &mut first_bytes) else { return };
        if self.link(&from, to).down {
            return;
        }
        let Some(target) = self.lock().targets.get(to).copied() else { return };
        let Ok(server) = TcpStream::connect(target) else { return };
        let _ = server.set_nodelay(true);
        let (Ok(server_reader), Ok(client_writer)) = (server.try_clone(), client.try_clone()) else { return };
        let direction = |source, sink, pending, fault| RelayDirection {
            network: self.clone(),
            from: from.clone(),
            to: to.to_owned(),
            source,
            sink,
            pending,
            fault,
            relay_at: None,
            relayed_since_cut: None,
        };
        let backward = direction(server_reader, client_writer, Vec::new(), |link| link.backward);
        let forward = direction(client, server, first_bytes, |link| link.forward);
        let backward = std::thread::spawn(move || backward.run());
        forward.run();
        // If the thread of the other direction has panicked, it has printed the panic itself.
        let _ = backward.join();
    }

    /// Reads until the connecting process is identified or the timeout has passed; `None` if the connection
    /// ends first.
    fn identify_client(&self, client: &mut TcpStream, first_bytes: &mut Vec<u8>) -> Option<String> {
        let began = Instant::now();
        loop {
            if let Some(from) = (self.identify)(first_bytes) {
                return Some(from);
            }
            if began.elapsed() >= IDENTIFY_TIMEOUT {
                return Some(UNIDENTIFIED.to_owned());
            }
            let is_open = read_available(client, first_bytes).unwrap_or(false);
            if !is_open {
                return None;
            }
        }
    }
}

/// Whether a direction of a connection continues after a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Run the next step.
    Continue,
    /// Close the connection.
    Close,
}

/// Relays one direction of a connection.
struct RelayDirection {
    network: Network,
    from: String,
    to: String,
    source: TcpStream,
    sink: TcpStream,
    /// Bytes that were read and not yet relayed.
    pending: Vec<u8>,
    /// Selects the fault of this direction from the state of the link.
    fault: fn(Link) -> LinkFault,
    /// When the delayed bytes are relayed; `None` if none are delayed.
    relay_at: Option<Instant>,
    /// Number of bytes relayed since the fault was set to [`LinkFault::CutAfter`]; `None` under any other
    /// fault.
    relayed_since_cut: Option<u64>,
}

impl RelayDirection {
    /// Relays bytes until the connection ends.
    fn run(mut self) {
        let _ = self.source.set_read_timeout(Some(POLL_INTERVAL));
        while self.step() == Step::Continue {}
        // Either call fails if its peer has already closed the socket.
        let _ = self.source.shutdown(Shutdown::Both);
        let _ = self.sink.shutdown(Shutdown::Both);
    }

    /// Reads the state of the link, then reads or relays bytes once.
    fn step(&mut self) -> Step {
        let link = self.network.link(&self.from, &self.to);
        if link.reset {
            // With this option, closing a socket sends a reset.
            let _ = SockRef::from(&self.source).set_linger(Some(Duration::ZERO));
            let _ = SockRef::from(&self.sink).set_linger(Some(Duration::ZERO));
        }
        if link.down || link.reset {
            return Step::Close;
        }
        let fault = (self.fault)(link);
        if fault == LinkFault::Stalled {
            std::thread::sleep(POLL_INTERVAL);
            return Step::Continue;
        }
        if !matches!(fault, LinkFault::CutAfter(_)) {
            self.relayed_since_cut = None;
        }
        if self.pending.is_empty() {
            self.relay_at = None;
            let is_open = read_available(&mut self.source, &mut self.pending).unwrap_or(false);
            if !is_open {
                return Step::Close;
            }
            if self.pending.is_empty() {
                return Step::Continue;
            }
        }
        match fault {
            LinkFault::Delayed(delay) if !self.is_due(delay) => {
                std::thread::sleep(POLL_INTERVAL);
                Step::Continue
            }
            LinkFault::CutAfter(bytes) => self.relay_or_cut(bytes),
            LinkFault::None | LinkFault::Stalled | LinkFault::Delayed(_) => self.relay(),
        }
    }

    /// Whether the delay of the pending bytes has passed; it begins with the first call for them.
    fn is_due(&mut self, delay: Duration) -> bool {
        Instant::now() >= *self.relay_at.get_or_insert_with(|| Instant::now() + delay)
    }

    /// Relays the pending bytes, or only those up to `limit` and then closes the connection.
    fn relay_or_cut(&mut self, limit: u64) -> Step {
        let relayed = self.relayed_since_cut.get_or_insert(0);
        let remaining = limit.saturating_sub(*relayed);
        if self.pending.len() as u64 >= remaining {
            // An error does not matter, as the connection is closed next.
            let _ = self.sink.write_all(&self.pending[..remaining as usize]);
            return Step::Close;
        }
        *relayed += self.pending.len() as u64;
        self.relay()
    }

    /// Relays the pending bytes and counts them.
    fn relay(&mut self) -> Step {
        {
            let traffic = &mut self.network.lock().traffic;
            traffic.bytes += self.pending.len() as u64;
            traffic.chunks += 1;
        }
        if self.sink.write_all(&self.pending).is_err() {
            return Step::Close;
        }
        self.pending.clear();
        Step::Continue
    }
}

/// Appends the bytes that are available; returns false once the peer has closed the connection.
fn read_available(socket: &mut TcpStream, into: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; 16 * 1024];
    match socket.read(&mut chunk) {
        Ok(0) => Ok(false),
        Ok(read) => {
            into.extend_from_slice(&chunk[..read]);
            Ok(true)
        }
        Err(error) if is_retryable(error.kind()) => Ok(true),
        Err(error) => Err(error),
    }
}

fn is_retryable(kind: io::ErrorKind) -> bool {
    matches!(kind, io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted)
}
