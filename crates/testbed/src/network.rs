//! Links on loopback between processes. Each process is reached through a relay of its own, which finds out who has
//! connected and treats the bytes as the link between the two demands: it drops, stalls (the connection stays open and
//! silent), delays, cuts one direction or in the middle of a message, or resets.

use std::collections::BTreeMap;
use std::io::{self, Read as _, Write as _};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use socket2::SockRef;

/// How a link treats one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum LinkFault {
    /// All bytes are passed on.
    #[default]
    None,
    /// Nothing is passed on, and nothing is read: the connection is silent.
    Stalled,
    /// Bytes are passed on after this time.
    Delayed(Duration),
    /// After this many further bytes the connection ends, wherever in a message that is.
    CutAfter(u64),
}

/// The state of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct Link {
    /// From the process that connected to the one that accepted.
    pub forward: LinkFault,
    /// The other direction.
    pub backward: LinkFault,
    /// Connections are ended, and new ones closed at once.
    pub down: bool,
    /// Connections are ended by a reset, once.
    pub reset: bool,
}

/// What two processes see that are cut off from each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    /// Connections stay open, and nothing arrives.
    Silent,
    /// Connections end, and new ones fail.
    Closed,
}

/// What all links have passed on, in both directions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct Traffic {
    /// Bytes.
    pub bytes: u64,
    /// Pieces in which the bytes came: mostly a message each.
    pub pieces: u64,
}

/// Finds out from the first bytes of a connection who has connected; `None` while they do not tell.
pub type Identify = fn(&[u8]) -> Option<String>;

#[derive(Default)]
struct State {
    links: BTreeMap<(String, String), Link>,
    /// Where each relay passes connections on to.
    targets: BTreeMap<String, SocketAddr>,
    traffic: Traffic,
}

/// All links of a fleet. A link that was not set is open.
#[derive(Clone)]
pub struct Network {
    state: Arc<Mutex<State>>,
    identify: Identify,
}

/// How often the state of a link is read.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A process that has not identified itself within this time is a stranger.
const IDENTIFY_TIMEOUT: Duration = Duration::from_secs(5);
/// The name of a process that has not identified itself.
const STRANGER: &str = "stranger";

impl Network {
    /// A network without processes.
    pub fn new(identify: Identify) -> Self {
        Network { state: Arc::default(), identify }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a relay before a process; the address at which others reach the process.
    ///
    /// # Errors
    ///
    /// If no socket can be bound.
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

    /// Sets the link of the connections that one process opens to another.
    pub fn set(&self, from: &str, to: &str, link: Link) {
        self.lock().links.insert((from.to_owned(), to.to_owned()), link);
    }

    /// Cuts two processes off from each other.
    pub fn partition(&self, one: &str, other: &str, partition: Partition) {
        let (forward, backward) = (LinkFault::Stalled, LinkFault::Stalled);
        let link = match partition {
            Partition::Silent => Link { forward, backward, ..Link::default() },
            Partition::Closed => Link { down: true, ..Link::default() },
        };
        self.set(one, other, link);
        self.set(other, one, link);
    }

    /// Opens the links between two processes.
    pub fn heal(&self, one: &str, other: &str) {
        self.set(one, other, Link::default());
        self.set(other, one, Link::default());
    }

    /// Resets the connections that one process has opened to another, once.
    pub fn reset(&self, from: &str, to: &str) {
        self.set(from, to, Link { reset: true, ..Link::default() });
        std::thread::sleep(5 * POLL_INTERVAL);
        self.set(from, to, Link::default());
    }

    /// Opens all links.
    pub fn heal_all(&self) {
        self.lock().links.clear();
    }

    /// What all links have passed on so far.
    pub fn traffic(&self) -> Traffic {
        self.lock().traffic
    }

    fn link(&self, from: &str, to: &str) -> Link {
        self.lock().links.get(&(from.to_owned(), to.to_owned())).copied().unwrap_or_default()
    }

    /// Connects through to the process behind a relay and passes bytes on until the connection ends.
    fn serve_connection(&self, to: &str, mut client: TcpStream) {
        // Without these options the relay is slower, but right.
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
        let pump = |source, sink, pending, fault| Pump {
            network: self.clone(),
            from: from.clone(),
            to: to.to_owned(),
            source,
            sink,
            pending,
            fault,
            delivery_due: None,
            passed_since_cut: None,
        };
        let backward = pump(server_reader, client_writer, Vec::new(), |link| link.backward);
        let forward = pump(client, server, first_bytes, |link| link.forward);
        let backward = std::thread::spawn(move || backward.run());
        forward.run();
        // A panic of the other direction has been printed by its thread.
        let _ = backward.join();
    }

    /// Reads until it is known who has connected; `None` if the connection ends before that.
    fn identify_client(&self, client: &mut TcpStream, first_bytes: &mut Vec<u8>) -> Option<String> {
        let began = Instant::now();
        loop {
            if let Some(from) = (self.identify)(first_bytes) {
                return Some(from);
            }
            if began.elapsed() >= IDENTIFY_TIMEOUT {
                return Some(STRANGER.to_owned());
            }
            if !read_available(client, first_bytes).is_ok_and(|open| open) {
                return None;
            }
        }
    }
}

/// What a pump does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Look at the link again.
    Continue,
    /// End the connection.
    Close,
}

/// One direction of a connection.
struct Pump {
    network: Network,
    from: String,
    to: String,
    source: TcpStream,
    sink: TcpStream,
    /// Bytes that were read and not yet passed on.
    pending: Vec<u8>,
    /// Reads this direction's fault from the link.
    fault: fn(Link) -> LinkFault,
    /// When delayed bytes are passed on.
    delivery_due: Option<Instant>,
    /// Bytes passed on since the link was set to be cut.
    passed_since_cut: Option<u64>,
}

impl Pump {
    /// Passes bytes on until the connection ends.
    fn run(mut self) {
        let _ = self.source.set_read_timeout(Some(POLL_INTERVAL));
        while self.step() == Step::Continue {}
        // Either may have been closed by the other side already.
        let _ = self.source.shutdown(Shutdown::Both);
        let _ = self.sink.shutdown(Shutdown::Both);
    }

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
            self.passed_since_cut = None;
        }
        if self.pending.is_empty() {
            self.delivery_due = None;
            if !read_available(&mut self.source, &mut self.pending).is_ok_and(|open| open) {
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
            LinkFault::CutAfter(bytes) => self.pass_on_or_cut(bytes),
            LinkFault::None | LinkFault::Stalled | LinkFault::Delayed(_) => self.pass_on(),
        }
    }

    /// Whether delayed bytes are due; the delay begins with the first call for them.
    fn is_due(&mut self, delay: Duration) -> bool {
        Instant::now() >= *self.delivery_due.get_or_insert_with(|| Instant::now() + delay)
    }

    /// Passes bytes on up to the cut.
    fn pass_on_or_cut(&mut self, limit: u64) -> Step {
        let passed = self.passed_since_cut.get_or_insert(0);
        let left = limit.saturating_sub(*passed);
        if self.pending.len() as u64 >= left {
            // The connection ends here in any case.
            let _ = self.sink.write_all(&self.pending[..left as usize]);
            return Step::Close;
        }
        *passed += self.pending.len() as u64;
        self.pass_on()
    }

    fn pass_on(&mut self) -> Step {
        {
            let traffic = &mut self.network.lock().traffic;
            traffic.bytes += self.pending.len() as u64;
            traffic.pieces += 1;
        }
        if self.sink.write_all(&self.pending).is_err() {
            return Step::Close;
        }
        self.pending.clear();
        Step::Continue
    }
}

/// Reads what there is; false once the other side has closed.
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
