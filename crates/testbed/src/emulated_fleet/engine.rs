//! An engine that listens on loopback and responds to each request after the work that its statement names.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::{Arrival, ArrivalLog};

/// The read timeout of a connection, after which it looks for requests that have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The current load of an engine.
#[derive(Default)]
struct Activity {
    /// The number of requests in flight.
    in_flight: AtomicU64,
    /// The number of open connections.
    connections: AtomicU64,
    /// The highest number of connections that were open at the same time.
    peak_connections: AtomicU64,
    stopped: AtomicBool,
}

/// The state that all connections of an engine share.
#[derive(Clone)]
struct Shared {
    name: Arc<str>,
    /// Milliseconds that a millisecond of work takes.
    slowdown: f64,
    log: ArrivalLog,
    activity: Arc<Activity>,
}

/// An engine that listens until it is dropped.
pub struct EmulatedEngine {
    /// The name of the engine in the engine list.
    pub name: String,
    /// The address on which the engine listens.
    pub address: SocketAddr,
    activity: Arc<Activity>,
}

impl EmulatedEngine {
    /// Starts an engine. Requests run concurrently and independently of each other, each for `slowdown` times
    /// the milliseconds that its statement names as `work_N`.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be bound.
    pub fn start(name: &str, slowdown: f64, log: &ArrivalLog) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let activity: Arc<Activity> = Arc::default();
        let shared = Shared { name: name.into(), slowdown, log: log.clone(), activity: activity.clone() };
        thread::spawn(move || accept(&listener, &shared));
        Ok(EmulatedEngine { name: name.into(), address, activity })
    }

    /// Returns the highest number of connections that were open at the same time.
    pub fn peak_connections(&self) -> u64 {
        self.activity.peak_connections.load(Ordering::SeqCst)
    }

    /// Returns the entry of this engine in the engine list, as JSON.
    pub fn list_entry(&self, phase: &str, up_since_ms: u64) -> String {
        let (name, address) = (&self.name, self.address);
        format!(
            r#"{{"id":"{name}","host_port":"{address}","locality":"dc","flavor":"k","phase":"{phase}","up_since_ms":{up_since_ms}}}"#
        )
    }
}

impl Drop for EmulatedEngine {
    fn drop(&mut self) {
        self.activity.stopped.store(true, Ordering::SeqCst);
        // Connects once to wake the accepting thread, which otherwise waits for the next connection.
        let _ = TcpStream::connect(self.address);
    }
}

fn accept(listener: &TcpListener, shared: &Shared) {
    for socket in listener.incoming().flatten() {
        let activity = &shared.activity;
        if activity.stopped.load(Ordering::SeqCst) {
            return;
        }
        let shared = shared.clone();
        thread::spawn(move || {
            let activity = shared.activity.clone();
            let open = activity.connections.fetch_add(1, Ordering::SeqCst) + 1;
            activity.peak_connections.fetch_max(open, Ordering::SeqCst);
            // Errors are ignored: the proxy under test must handle a broken connection.
            let _ = Connection::open(socket, shared).and_then(Connection::serve);
            activity.connections.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

/// A request in flight.
struct Running {
    ends_at: Instant,
    /// The work that the statement names, in milliseconds.
    work: f64,
}

struct Connection {
    shared: Shared,
    reader: BufReader<TcpStream>,
    writer: TcpStream,
    running: BTreeMap<String, Running>,
}

impl Connection {
    fn open(socket: TcpStream, shared: Shared) -> io::Result<Self> {
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(POLL_INTERVAL))?;
        let writer = socket.try_clone()?;
        Ok(Connection { shared, reader: BufReader::new(socket), writer, running: BTreeMap::new() })
    }

    /// Reads commands and responds to requests that have ended, until the connection is closed.
    fn serve(mut self) -> io::Result<()> {
        let mut line = Vec::new();
        loop {
            match self.reader.read_until(b'\n', &mut line) {
                Ok(0) => return Ok(()),
                Ok(_) if line.ends_with(b"\n") => {
                    let command = String::from_utf8_lossy(&line).trim_end().to_owned();
                    line.clear();
                    self.on_command(&command)?;
                }
                Ok(_) => {}
                Err(error) if timed_out(&error) => {}
                Err(error) => return Err(error),
            }
            self.respond_to_ended()?;
        }
    }

    /// Handles a line of the engines' protocol: a query, a cancel or a health check. Other lines
    /// are ignored.
    fn on_command(&mut self, command: &str) -> io::Result<()> {
        let words: Vec<&str> = command.split(' ').collect();
        match words[..] {
            ["serve", id, _, length] => self.start_request(id, length.parse().map_err(io::Error::other)?)?,
            ["cancel", id] if self.running.remove(id).is_some() => {
                self.shared.activity.in_flight.fetch_sub(1, Ordering::SeqCst);
            }
            ["health", tag] => write!(self.writer, "{tag} PONG - 0\r\n\r\n")?,
            _ => {}
        }
        Ok(())
    }

    fn start_request(&mut self, id: &str, length: usize) -> io::Result<()> {
        const LINE_END: usize = "\r\n".len();
        let body = read_body(&mut self.reader, length + LINE_END)?;
        let work = named_work(&String::from_utf8_lossy(&body));
        let Shared { name, slowdown, log, activity } = &self.shared;
        log.push(Arrival { engine: name.to_string(), id: id.into(), work, at: log.now() });
        activity.in_flight.fetch_add(1, Ordering::SeqCst);
        let ends_at = Instant::now() + Duration::from_secs_f64(work * slowdown / 1e3);
        self.running.insert(id.into(), Running { ends_at, work });
        Ok(())
    }

    fn respond_to_ended(&mut self) -> io::Result<()> {
        let now = Instant::now();
        let has_ended = |(_, running): &(&String, &Running)| running.ends_at <= now;
        let ended: Vec<String> = self.running.iter().filter(has_ended).map(|(id, _)| id.clone()).collect();
        for id in ended {
            let Some(Running { work, .. }) = self.running.remove(&id) else { continue };
            let in_flight = self.shared.activity.in_flight.fetch_sub(1, Ordering::SeqCst) - 1;
            let fields = format!("total=1,elapsed={work},rss=10,use=q:0;rif:{in_flight};x0:0.1");
            write!(self.writer, "{id} HIT {fields} 6\r\na\tb\tc\n\r\n")?;
        }
        Ok(())
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.shared.activity.in_flight.fetch_sub(self.running.len() as u64, Ordering::SeqCst);
    }
}

/// Reads `length` bytes, over any number of read timeouts.
fn read_body(reader: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
    let (mut body, mut filled) = (vec![0; length], 0);
    while filled < length {
        match reader.read(&mut body[filled..]) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(read) => filled += read,
            Err(error) if timed_out(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(body)
}

fn timed_out(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

/// Returns the milliseconds of work that a statement names, as in `work_250`; 0 if it names none.
pub fn named_work(statement: &str) -> f64 {
    let digits = statement.split("work_").nth(1).unwrap_or_default();
    digits.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0.0)
}
