//! Stand-ins on loopback for what a fleet of proxies talks to, and records of what reached them: engines that answer after the
//! work that a request names, and the list of engines, which can reach some proxies late.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A request that reached an engine whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The engine.
    pub engine: String,
    /// The request's id as its client named it.
    pub id: String,
    /// The work that its statement names, in milliseconds.
    pub work: f64,
    /// Milliseconds on the clock of the records.
    pub at: f64,
}

/// What reached all engines, in the order of arrival, on one clock.
#[derive(Clone)]
pub struct Records {
    began: Instant,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Default for Records {
    fn default() -> Self {
        Records { began: Instant::now(), arrivals: Arc::default() }
    }
}

impl Records {
    /// Milliseconds on the clock of the records.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    /// All that arrived so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }
}

/// How an engine does.
#[derive(Default)]
struct Doing {
    /// Requests that run.
    running: AtomicU64,
    /// Connections that are open now, and the most that ever were.
    open: AtomicU64,
    most: AtomicU64,
    ended: AtomicBool,
}

/// An engine that listens.
pub struct Engine {
    /// Its name in the list.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    doing: Arc<Doing>,
}

/// How long a read waits before the clock is looked at.
const LOOK: Duration = Duration::from_millis(2);

impl Engine {
    /// Starts one. Requests run side by side, each for the work that its statement names as `work_N`, times `slow`.
    pub fn start(name: &str, slow: f64, records: &Records) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let doing: Arc<Doing> = Arc::default();
        let (named, records, here) = (name.to_owned(), records.clone(), doing.clone());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                if here.ended.load(Ordering::SeqCst) {
                    return;
                }
                let (name, records, doing) = (named.clone(), records.clone(), here.clone());
                thread::spawn(move || {
                    let open = doing.open.fetch_add(1, Ordering::SeqCst) + 1;
                    doing.most.fetch_max(open, Ordering::SeqCst);
                    // A connection that breaks is the proxy's matter.
                    let _ = serve(socket, &name, slow, &records, &doing);
                    doing.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Ok(Engine { name: name.into(), address, doing })
    }

    /// The most connections that were open together.
    pub fn most_open(&self) -> u64 {
        self.doing.most.load(Ordering::SeqCst)
    }

    /// Its entry in the list.
    pub fn entry(&self, phase: &str, up_since_ms: u64) -> String {
        let (name, address) = (&self.name, self.address);
        format!(
            r#"{{"id":"{name}","host_port":"{address}","locality":"dc","flavor":"k","phase":"{phase}","up_since_ms":{up_since_ms}}}"#
        )
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.doing.ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }
}

fn serve(socket: TcpStream, name: &str, slow: f64, records: &Records, doing: &Doing) -> io::Result<()> {
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(LOOK))?;
    let mut out = socket.try_clone()?;
    let mut reader = BufReader::new(socket);
    let mut line = Vec::new();
    let mut running: BTreeMap<String, (Instant, f64)> = BTreeMap::new();
    let ended = loop {
        match reader.read_until(b'\n', &mut line) {
            Ok(0) => break Ok(()),
            Ok(_) if line.ends_with(b"\n") => {
                let text = String::from_utf8_lossy(&line).trim_end().to_owned();
                line.clear();
                let words: Vec<&str> = text.split(' ').collect();
                match words[..] {
                    ["serve", id, _, length] => {
                        let length: usize = length.parse().map_err(io::Error::other)?;
                        let body = read_whole(&mut reader, length + 2)?;
                        let work = named_work(&String::from_utf8_lossy(&body));
                        let at = records.now();
                        let arrival = Arrival { engine: name.into(), id: id.into(), work, at };
                        lock(&records.arrivals).push(arrival);
                        doing.running.fetch_add(1, Ordering::SeqCst);
                        let ends = Instant::now() + Duration::from_secs_f64(work * slow / 1e3);
                        running.insert(id.into(), (ends, work));
                    }
                    ["cancel", id] if running.remove(id).is_some() => {
                        doing.running.fetch_sub(1, Ordering::SeqCst);
                    }
                    ["health", tag] => write!(out, "{tag} PONG - 0\r\n\r\n")?,
                    _ => {}
                }
            }
            Ok(_) => {}
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(error) => break Err(error),
        }
        let now = Instant::now();
        let done: Vec<String> =
            running.iter().filter(|(_, run)| run.0 <= now).map(|(id, _)| id.clone()).collect();
        for id in done {
            let Some((_, work)) = running.remove(&id) else { continue };
            let held = doing.running.fetch_sub(1, Ordering::SeqCst) - 1;
            let fields = format!("total=1,elapsed={work},rss=10,use=q:0;rif:{held};x0:0.1");
            write!(out, "{id} HIT {fields} 6\r\na\tb\tc\n\r\n")?;
        }
    };
    doing.running.fetch_sub(running.len() as u64, Ordering::SeqCst);
    ended
}

fn read_whole(reader: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
    let (mut body, mut at) = (vec![0; length], 0);
    while at < length {
        match reader.read(&mut body[at..]) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(read) => at += read,
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(body)
}

/// The work that a statement names, as in `work_250`; 0 if it names none.
pub fn named_work(statement: &str) -> f64 {
    let digits = statement.split("work_").nth(1).unwrap_or_default();
    digits.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0.0)
}

/// The list of engines, as a server that any number of proxies follow.
#[derive(Clone)]
pub struct List {
    /// Where it listens.
    pub address: SocketAddr,
    told: Arc<(Mutex<Vec<String>>, Condvar)>,
}

impl List {
    /// Starts one whose first event is already known to all.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let list = List { address: listener.local_addr()?, told: Arc::default() };
        let serving = list.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let list = serving.clone();
                thread::spawn(move || list.follow(socket));
            }
        });
        Ok(list)
    }

    /// Tells of changes to the list: entries as [`Engine::entry`] makes them.
    pub fn tell(&self, entries: &[String]) {
        let mut told = lock(&self.told.0);
        let (index, members) = (told.len() + 2, entries.join(","));
        told.push(format!(
            "id: {index}\ndata: {{\"index\":{index},\"endpoints\":{{\"complete\":false,\"members\":[{members}]}}}}\n\n"
        ));
        self.told.1.notify_all();
    }

    fn follow(&self, socket: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(socket.try_clone()?);
        let (mut out, mut last) = (socket, 0);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if let Some(number) = line.strip_prefix("Last-Event-ID: ") {
                last = number.trim().parse().unwrap_or(0);
            }
            if line == "\r\n" {
                break;
            }
        }
        out.write_all(b"HTTP/1.1 200 OK\r\n\r\n")?;
        let mut next = usize::max(last, 1) - 1;
        loop {
            let due: Vec<String> = {
                let told = lock(&self.told.0);
                let waited =
                    self.told.1.wait_timeout_while(told, Duration::from_millis(500), |it| it.len() <= next);
                let (told, _) = waited.unwrap_or_else(PoisonError::into_inner);
                told.get(next..).map(<[String]>::to_vec).unwrap_or_default()
            };
            next += due.len();
            match due.is_empty() {
                // Once a second is what the protocol promises; more often does no harm.
                true => out.write_all(b": here\n\n")?,
                false => out.write_all(due.concat().as_bytes())?,
            }
        }
    }
}
