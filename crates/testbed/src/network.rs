//! Links on loopback between processes. Each process is reached through a relay of its own, which finds out who has
//! connected and treats its bytes as the link between the two says: it drops, stalls (the connection stays open and
//! silent), cuts one way, delays, cuts in the middle of a message, or resets.

use std::collections::BTreeMap;
use std::io::{self, Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use socket2::SockRef;

/// How a link treats one way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Way {
    /// What comes is passed on.
    #[default]
    Open,
    /// Nothing is passed on, and nothing is read: the connection is silent.
    Stalled,
    /// What comes is passed on after so many milliseconds.
    Delayed(u64),
    /// After so many further bytes the connection ends, wherever in a message that is.
    CutAfter(u64),
}

/// How a link is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct Link {
    /// From whoever connected to whom it connected to.
    pub there: Way,
    /// The way back.
    pub back: Way,
    /// Connections are ended, and new ones closed at once.
    pub down: bool,
    /// Connections are ended by a reset, once.
    pub reset: bool,
}

/// Finds out from the first bytes who has connected: none while they do not say.
pub type Identify = fn(&[u8]) -> Option<String>;

#[derive(Default)]
struct Inner {
    links: BTreeMap<(String, String), Link>,
    /// Where each relay passes connections on to.
    targets: BTreeMap<String, SocketAddr>,
    passed: (u64, u64),
}

/// All links of a fleet. Whatever is not said otherwise is open.
#[derive(Clone)]
pub struct Network {
    inner: Arc<Mutex<Inner>>,
    identify: Identify,
}

/// How often links are looked at.
const LOOK: Duration = Duration::from_millis(10);
/// Whoever has not said who it is within this time is taken for a stranger.
const SAYS_WITHIN: Duration = Duration::from_secs(5);

impl Network {
    /// A network without processes.
    pub fn new(identify: Identify) -> Self {
        Network { inner: Arc::default(), identify }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A relay before a process; where it is reached.
    pub fn relay(&self, name: &str, target: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        self.lock().targets.insert(name.to_owned(), target);
        let (network, name) = (self.clone(), name.to_owned());
        std::thread::spawn(move || {
            for accepted in listener.incoming().flatten() {
                let (network, name) = (network.clone(), name.clone());
                std::thread::spawn(move || network.connection(&name, accepted));
            }
        });
        Ok(address)
    }

    /// Sets the link from one to another.
    pub fn set(&self, from: &str, to: &str, link: Link) {
        self.lock().links.insert((from.to_owned(), to.to_owned()), link);
    }

    /// Cuts two off from each other: connections stay open and silent, or end.
    pub fn part(&self, one: &str, other: &str, silently: bool) {
        let stalled = Link { there: Way::Stalled, back: Way::Stalled, ..Link::default() };
        let link = if silently { stalled } else { Link { down: true, ..Link::default() } };
        self.set(one, other, link);
        self.set(other, one, link);
    }

    /// Opens the links between two.
    pub fn join(&self, one: &str, other: &str) {
        self.set(one, other, Link::default());
        self.set(other, one, Link::default());
    }

    /// Resets the connections between two, once.
    pub fn reset(&self, from: &str, to: &str) {
        self.set(from, to, Link { reset: true, ..Link::default() });
        std::thread::sleep(5 * LOOK);
        self.set(from, to, Link::default());
    }

    /// Opens all links.
    pub fn heal(&self) {
        self.lock().links.clear();
    }

    /// Bytes passed on so far, both ways, over all links, and in how many pieces: mostly a message each.
    pub fn passed(&self) -> (u64, u64) {
        self.lock().passed
    }

    fn link(&self, from: &str, to: &str) -> Link {
        self.lock().links.get(&(from.to_owned(), to.to_owned())).copied().unwrap_or_default()
    }

    fn connection(&self, to: &str, mut here: TcpStream) {
        let _ = here.set_nodelay(true);
        let _ = here.set_read_timeout(Some(LOOK));
        let (began, mut first) = (Instant::now(), Vec::new());
        let from = loop {
            if let Some(from) = (self.identify)(&first) {
                break from;
            }
            if began.elapsed() >= SAYS_WITHIN {
                break "stranger".to_owned();
            }
            match read(&mut here, &mut first) {
                Ok(true) => {}
                Ok(false) => return,
                Err(_) => return,
            }
        };
        if self.link(&from, to).down {
            return;
        }
        let Some(target) = self.lock().targets.get(to).copied() else { return };
        let Ok(there) = TcpStream::connect(target) else { return };
        let _ = there.set_nodelay(true);
        let (Ok(from_there), Ok(to_here)) = (there.try_clone(), here.try_clone()) else { return };
        let (network, names) = (self.clone(), (from.clone(), to.to_owned()));
        let back = std::thread::spawn(move || {
            network.pump(&names.0, &names.1, from_there, to_here, Vec::new(), |link| link.back);
        });
        self.pump(&from, to, here, there, first, |link| link.there);
        let _ = back.join();
    }

    /// Passes bytes on one way, until the connection ends.
    fn pump(
        &self,
        from: &str,
        to: &str,
        mut source: TcpStream,
        mut sink: TcpStream,
        mut waiting: Vec<u8>,
        way: fn(Link) -> Way,
    ) {
        let _ = source.set_read_timeout(Some(LOOK));
        let mut due: Option<Instant> = None;
        let mut passed_since_cut: Option<u64> = None;
        loop {
            let link = self.link(from, to);
            if link.reset {
                let _ = SockRef::from(&source).set_linger(Some(Duration::ZERO));
                let _ = SockRef::from(&sink).set_linger(Some(Duration::ZERO));
            }
            if link.down || link.reset {
                break;
            }
            let way = way(link);
            if way == Way::Stalled {
                std::thread::sleep(LOOK);
                continue;
            }
            if !matches!(way, Way::CutAfter(_)) {
                passed_since_cut = None;
            }
            if waiting.is_empty() {
                due = None;
                match read(&mut source, &mut waiting) {
                    Ok(true) => {}
                    Ok(false) | Err(_) => break,
                }
                if waiting.is_empty() {
                    continue;
                }
            }
            match way {
                Way::Delayed(wait) => {
                    let due = *due.get_or_insert_with(|| Instant::now() + Duration::from_millis(wait));
                    if Instant::now() < due {
                        std::thread::sleep(LOOK);
                        continue;
                    }
                }
                Way::CutAfter(bytes) => {
                    let passed = passed_since_cut.get_or_insert(0);
                    let left = bytes.saturating_sub(*passed);
                    if waiting.len() as u64 >= left {
                        let _ = sink.write_all(&waiting[..left as usize]);
                        break;
                    }
                    *passed += waiting.len() as u64;
                }
                Way::Open | Way::Stalled => {}
            }
            {
                let (bytes, pieces) = &mut self.lock().passed;
                (*bytes, *pieces) = (*bytes + waiting.len() as u64, *pieces + 1);
            }
            if sink.write_all(&waiting).is_err() {
                break;
            }
            waiting.clear();
        }
        let _ = source.shutdown(std::net::Shutdown::Both);
        let _ = sink.shutdown(std::net::Shutdown::Both);
    }
}

/// Reads what there is; false once the other side has closed.
fn read(socket: &mut TcpStream, into: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; 16 * 1024];
    match socket.read(&mut chunk) {
        Ok(0) => Ok(false),
        Ok(read) => {
            into.extend_from_slice(&chunk[..read]);
            Ok(true)
        }
        Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => Ok(true),
        Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(true),
        Err(error) => Err(error),
    }
}
