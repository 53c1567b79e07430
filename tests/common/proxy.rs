//! The proxy as a process, with the test as its client, its databases and its coordinator.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Far more than anything here takes.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until a condition holds; panics with its description if it does not in time.
pub fn wait_within(patience: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + patience;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

const SETTINGS: &str = r#"{"areas": ["dc"], "kinds": ["k"], "balancers": 1, "orgs": [{"name": "acme", "quota_per_s": 100}],
 "family_info": {"class_threads": [1, 2], "size_cores": [8], "ram_of_kind_mb": [16384], "tells_cost": true,
 "lanes_count": true}, "limits": {"cancelling": true, "max_attempts": 4, "multiplex": 100, "dial_timeout_ms": 250,
 "conn_idle_ms": 30000, "max_open": 1000, "retry_after": true, "max_retry_after_ms": 700},
 "rules": {"answer_slack_ms": 20, "ratio_span_ms": 5000, "budget_free": 5, "further_ratio": 0.2},
 "stats": {"fields": ["q", "rif", "x0"]}, "services": [
 {"name": "lookup", "effect": "safe", "aim_ms": 500, "deadline_ms": 4000, "importance": 1},
 {"name": "load", "effect": "unsafe", "aim_ms": 500, "deadline_ms": 4000, "importance": 8}]}"#;

/// A proxy that runs; killed when dropped.
pub struct Proxy {
    child: Option<Child>,
    pub address: SocketAddr,
    admin_address: SocketAddr,
    config: PathBuf,
    operator: Option<PathBuf>,
    log: Option<PathBuf>,
    log_filter: Option<String>,
    disabled_check: &'static str,
}

/// How to start a proxy.
pub struct Launch<'a> {
    pub address: SocketAddr,
    pub databases: &'a [&'a Database],
    pub coordinator: Option<&'a Coordinator>,
    /// A listening socket that the test holds, as a platform does.
    pub listener: Option<&'a TcpListener>,
    /// What an operator sets beside the configuration.
    pub operator: Option<PathBuf>,
    /// Where its log goes, as JSON lines.
    pub log: Option<PathBuf>,
    /// The log filter of its environment (`GAUGESTEP_LOG`), in place of the test's own.
    pub log_filter: Option<String>,
    /// Checks that are disabled in it.
    pub disabled_check: &'static str,
    /// A last change to the configuration's text.
    pub change: &'a dyn Fn(String) -> String,
}

impl<'a> Launch<'a> {
    /// One that knows these databases.
    pub fn new(databases: &'a [&'a Database]) -> Self {
        let change = &|text| text;
        let address = free_address();
        Launch {
            address,
            databases,
            coordinator: None,
            listener: None,
            operator: None,
            log: None,
            log_filter: None,
            disabled_check: "",
            change,
        }
    }

    /// Starts it and waits until it answers an empty query.
    pub fn start(self) -> Proxy {
        let admin_address = free_address();
        let name =
            format!("gaugestep-{}-{}-{}.json", std::process::id(), admin_address.ip(), admin_address.port());
        let config = std::env::temp_dir().join(name);
        write_config(&config, self.address, admin_address, self.databases, self.coordinator);
        std::fs::write(&config, (self.change)(std::fs::read_to_string(&config).unwrap())).unwrap();
        let mut proxy = Proxy {
            child: None,
            address: self.address,
            admin_address,
            config,
            operator: self.operator,
            log: self.log,
            log_filter: self.log_filter,
            disabled_check: self.disabled_check,
        };
        proxy.spawn(self.listener);
        proxy.wait_until_ready();
        proxy
    }
}

impl Proxy {
    fn spawn(&mut self, listener: Option<&TcpListener>) {
        let mut command = Command::new("sh");
        command.arg("-c").stderr(Stdio::null()).env("EDGE_CONFIG", &self.config);
        command.env("GAUGESTEP_TEST_OUT", self.disabled_check);
        if let Some(operator) = &self.operator {
            command.env("GAUGESTEP_OPERATOR", operator);
        }
        if let Some(log) = &self.log {
            let log = std::fs::OpenOptions::new().append(true).create(true).open(log).unwrap();
            command.stderr(log).env("GAUGESTEP_TEST_MORE", "--log-json");
        }
        if let Some(filter) = &self.log_filter {
            command.env("GAUGESTEP_LOG", filter);
        }
        match listener {
            None => command.arg(r#"exec "$0" serve $GAUGESTEP_TEST_MORE"#),
            Some(listener) => {
                let socket = OwnedFd::from(listener.try_clone().unwrap());
                command.stdin(socket).env("EDGE_SOCKET_FD", "5").arg(r#"exec "$0" serve 5<&0 </dev/null"#)
            }
        };
        self.child = Some(command.arg(env!("CARGO_BIN_EXE_gaugestep")).spawn().unwrap());
    }

    fn child(&mut self) -> &mut Child {
        self.child.as_mut().unwrap()
    }

    fn id(&self) -> u32 {
        self.child.as_ref().unwrap().id()
    }
}

impl Proxy {
    /// Starts one that knows these databases and waits until it answers an empty query.
    pub fn start(databases: &[&Database]) -> Self {
        Launch::new(databases).start()
    }

    /// The same, with a coordinator that it follows.
    pub fn follow(databases: &[&Database], coordinator: Option<&Coordinator>) -> Self {
        Launch { coordinator, ..Launch::new(databases) }.start()
    }

    /// Starts one that may hold this many descriptors.
    pub fn with_descriptors(descriptors: usize) -> Self {
        let text = format!(r#""sockets":{descriptors}"#);
        Launch { change: &|it| it.replace(r#""sockets":256"#, &text), ..Launch::new(&[]) }.start()
    }

    /// Starts one on a configuration of its own, but for the addresses that it listens on.
    pub fn configured(text: &str) -> Self {
        let own = |answer: String| {
            let answer: serde_json::Value = serde_json::from_str(&answer).unwrap();
            let mut config: serde_json::Value = serde_json::from_str(text).unwrap();
            for key in ["listen", "management"] {
                config[key] = answer[key].clone();
            }
            config.to_string()
        };
        Launch { change: &own, ..Launch::new(&[]) }.start()
    }

    /// Starts one on a listening socket that the test holds, as a platform does.
    pub fn inherit(listener: &TcpListener, databases: &[&Database]) -> Self {
        let address = listener.local_addr().unwrap();
        Launch { address, listener: Some(listener), ..Launch::new(databases) }.start()
    }

    /// Kills it (SIGKILL).
    pub fn kill(&mut self) {
        self.child().kill().unwrap();
        self.child().wait().unwrap();
    }

    /// Starts it again after its end, with the same files.
    pub fn restart(&mut self) {
        self.spawn(None);
        self.wait_until_ready();
    }

    fn wait_until_ready(&self) {
        let until = Instant::now() + TIMEOUT;
        while self.call("GET", "/ops/readiness").0 != 200 {
            assert!(Instant::now() < until, "the proxy does not start");
            std::thread::sleep(Duration::from_millis(20));
        }
        assert_eq!(self.client().ask(""), "I");
    }

    /// All statistics of the admin API.
    pub fn statistics(&self) -> serde_json::Value {
        let (status, body) = self.call("GET", "/ops/stats");
        assert_eq!(status, 200);
        serde_json::from_str(&body).unwrap()
    }

    /// A call of the admin API: its status, 0 if nobody answers, and the body.
    pub fn call(&self, method: &str, path: &str) -> (u16, String) {
        let Ok(mut socket) = TcpStream::connect(self.admin_address) else { return (0, String::new()) };
        write!(socket, "{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
        let response = read_to_close(&socket);
        let (head, body) = response.split_once("\r\n\r\n").expect("a complete answer");
        (head[9..12].parse().unwrap(), body.into())
    }

    /// One statistic of the admin API, by its JSON pointer.
    pub fn statistic(&self, pointer: &str) -> Option<u64> {
        self.statistics().pointer(pointer)?.as_u64()
    }

    /// A connection to the admin API.
    pub fn admin_connection(&self) -> TcpStream {
        TcpStream::connect(self.admin_address).unwrap()
    }

    pub fn client(&self) -> Client {
        Client::open(self.address)
    }

    /// Sends SIGTERM and waits for the end.
    pub fn terminate(&mut self) -> ExitStatus {
        self.signal("-TERM");
        self.wait()
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        self.child().wait().unwrap()
    }

    /// Has it reload a configuration with another coordinator.
    pub fn reconfigure(&self, databases: &[&Database], coordinator: &Coordinator) {
        write_config(&self.config, self.address, self.admin_address, databases, Some(coordinator));
        self.signal("-HUP");
    }

    /// Puts one text in place of another in its configuration, for its next start.
    pub fn rewrite(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.config).unwrap();
        assert!(text.contains(from));
        std::fs::write(&self.config, text.replace(from, to)).unwrap();
    }

    /// Has it reload its configuration with one text in place of another, and waits until it has counted that in a statistic.
    pub fn reload_with(&self, from: &str, to: &str, figure: &str) {
        let text = std::fs::read_to_string(&self.config).unwrap();
        assert!(text.contains(from));
        std::fs::write(&self.config, text.replace(from, to)).unwrap();
        let before = self.statistic(figure);
        self.signal("-HUP");
        let until = Instant::now() + TIMEOUT;
        while self.statistic(figure) == before {
            assert!(Instant::now() < until, "{figure} does not change");
            std::thread::sleep(Duration::from_millis(10));
        }
        std::fs::write(&self.config, text).unwrap();
    }

    /// Has it load a configuration that is invalid.
    pub fn load_invalid_configuration(&self) {
        std::fs::write(&self.config, "{").unwrap();
        self.signal("-HUP");
    }

    /// A field of the process in /proc.
    pub fn status(&self, name: &str) -> String {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap();
        status.lines().find_map(|line| line.strip_prefix(name)).unwrap().trim().to_owned()
    }

    /// Its threads by name, and how often each has waited.
    pub fn threads(&self) -> Vec<(String, u64)> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.id())).unwrap();
        let thread = |task: std::fs::DirEntry| {
            let status = std::fs::read_to_string(task.path().join("status")).unwrap();
            let field = |name| status.lines().find_map(|line| line.strip_prefix(name)).unwrap().trim();
            (field("Name:").to_owned(), field("voluntary_ctxt_switches:").parse().unwrap())
        };
        tasks.map(|task| thread(task.unwrap())).collect()
    }

    /// Suspends it (SIGSTOP): its connections stay open and silent. It is suspended when this returns.
    pub fn suspend(&self) {
        self.signal("-STOP");
        wait_within(TIMEOUT, "it does not stop", || self.status("State:").starts_with('T'));
    }

    /// The descriptors that it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.id())).unwrap().count()
    }

    /// Waits until no request is open in it; the attempts that it has sent by then.
    pub fn attempts_once_idle(&self) -> u64 {
        wait_within(TIMEOUT, "something stays open", || self.statistic("/outstanding") == Some(0));
        self.statistic("/forwards").unwrap()
    }

    /// Resumes it (SIGCONT).
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    pub fn signal(&self, name: &str) {
        Command::new("kill").arg(name).arg(self.id().to_string()).status().unwrap();
    }
}

/// An address to listen on that nobody else takes meanwhile: each caller gets a loopback address of its own, as ports
/// of 127.0.0.1 also go to other tests and to outgoing connections.
pub fn free_address() -> SocketAddr {
    free_listener().local_addr().unwrap()
}

/// A listener on such an address.
pub fn free_listener() -> TcpListener {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let number = TAKEN.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let [_, _, high, low] = process.to_be_bytes();
    let own = Ipv4Addr::new(127, 1 + low % 254, high, (number % 250 + 1) as u8);
    TcpListener::bind((own, 0)).unwrap()
}

fn write_config(
    path: &Path,
    listen: SocketAddr,
    admin_address: SocketAddr,
    databases: &[&Database],
    coordinator: Option<&Coordinator>,
) {
    let members = databases.iter().enumerate().map(|(index, it)| it.member(&format!("s-{index}"), "SERVING"));
    let members: Vec<String> = members.collect();
    let coordinator = coordinator
        .map(|it| format!(r#""coordinator":"{}","#, it.0.local_addr().unwrap()))
        .unwrap_or_default();
    let text = format!(
        r#"{{"name":"n0","listen":"{listen}","management":"{admin_address}","seed":"8c1f","limits":{{"sockets":256}},"settings":{SETTINGS},{coordinator}
        "known":{{"index":1,"updates":[{{"index":1,"endpoints":{{"complete":true,"members":[{}]}}}}]}}}}"#,
        members.join(",")
    );
    std::fs::write(path, text).unwrap();
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child().kill();
        let _ = self.child().wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// A client with an open session.
pub struct Client {
    pub socket: TcpStream,
    /// The hint of the last error.
    pub hint: Option<String>,
    /// The key that cancels the session's query.
    key: Vec<u8>,
}

impl Client {
    pub fn open(address: SocketAddr) -> Self {
        Client::try_open(address).unwrap()
    }

    /// The same, before a proxy that may not be there.
    pub fn try_open(address: SocketAddr) -> std::io::Result<Self> {
        let mut client = Client { socket: TcpStream::connect(address)?, hint: None, key: Vec::new() };
        client.socket.set_read_timeout(Some(TIMEOUT))?;
        let body = b"\0\x03\0\0user\0app\0database\0dw\0\0";
        client.socket.write_all(&(body.len() as u32 + 4).to_be_bytes())?;
        client.socket.write_all(body)?;
        client.try_answer()?;
        Ok(client)
    }

    pub fn send(&mut self, text: &str) {
        self.try_send(text).unwrap();
    }

    pub fn try_send(&mut self, text: &str) -> std::io::Result<()> {
        let mut message = vec![b'Q'];
        message.extend((text.len() as u32 + 5).to_be_bytes());
        message.extend(text.as_bytes());
        message.push(0);
        self.socket.write_all(&message)
    }

    /// The kinds of all messages up to ReadyForQuery; an error also shows its code and text.
    pub fn answer(&mut self) -> String {
        self.try_answer().expect("the session stays open")
    }

    fn try_answer(&mut self) -> std::io::Result<String> {
        let mut seen = String::new();
        loop {
            let mut head = [0; 5];
            self.socket.read_exact(&mut head)?;
            let length = u32::from_be_bytes(head[1..].try_into().unwrap()) as usize - 4;
            let mut body = vec![0; length];
            self.socket.read_exact(&mut body)?;
            match head[0] {
                b'Z' => return Ok(seen),
                b'K' => {
                    self.key = body;
                    seen.push('K');
                }
                b'E' => {
                    let fields: Vec<&str> =
                        body.split(|byte| *byte == 0).map(|f| std::str::from_utf8(f).unwrap()).collect();
                    seen += &format!("E {} {}", &fields[2][1..], &fields[3][1..]);
                    self.hint = fields.iter().find_map(|field| field.strip_prefix('H')).map(String::from);
                }
                kind => seen.push(kind.into()),
            }
        }
    }

    /// Cancels the session's query on a connection of its own.
    pub fn cancel(&self) -> TcpStream {
        let mut socket = TcpStream::connect(self.socket.peer_addr().unwrap()).unwrap();
        let message = [&16u32.to_be_bytes(), &80_877_102u32.to_be_bytes(), &self.key[..]].concat();
        socket.write_all(&message).unwrap();
        socket
    }

    pub fn ask(&mut self, text: &str) -> String {
        self.try_ask(text).expect("the session stays open")
    }

    /// The same, before a proxy that may end.
    pub fn try_ask(&mut self, text: &str) -> std::io::Result<String> {
        self.try_send(text)?;
        self.try_answer()
    }
}

/// Reads a connection up to its orderly close.
pub fn read_to_close(mut socket: &TcpStream) -> String {
    let mut rest = Vec::new();
    socket.set_read_timeout(Some(TIMEOUT)).unwrap();
    socket.read_to_end(&mut rest).expect("the connection is closed and not reset");
    String::from_utf8_lossy(&rest).into_owned()
}

/// A query of a class with the fields that it needs.
pub fn query(class: &str, id: u64, budget: u32) -> String {
    format!("/* method={class},rid={id:016x},budget={budget},est=20 */ SELECT a FROM sales_17.orders")
}

/// A database that listens; the test writes its answers.
pub struct Database(pub TcpListener);

impl Database {
    pub fn new() -> Self {
        Database(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// Its entry in the coordinator's list.
    pub fn member(&self, id: &str, phase: &str) -> String {
        let at = self.0.local_addr().unwrap();
        format!(r#"{{"id":"{id}","host_port":"{at}","locality":"dc","flavor":"k","phase":"{phase}"}}"#)
    }

    /// One to which nobody connects any more until the connection that is returned beside it has been accepted: the
    /// system drops what comes meanwhile, and a dial hangs until it is tried again.
    pub fn with_full_backlog() -> (Self, TcpStream) {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let database = Database(socket.into());
        let first = TcpStream::connect(database.0.local_addr().unwrap()).unwrap();
        (database, first)
    }

    /// The next connection of the proxy.
    pub fn accept(&self) -> DatabaseConnection {
        DatabaseConnection(BufReader::new(accept(&self.0)))
    }
}

/// A coordinator that listens; the test writes its events.
pub struct Coordinator(pub TcpListener);

impl Coordinator {
    pub fn new() -> Self {
        Coordinator(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    /// Answers the next call with an error.
    pub fn fail(&self) {
        accept(&self.0).write_all(b"HTTP/1.1 503 Service Unavailable\r\n\r\n").unwrap();
    }

    /// The next stream that the proxy opens, and the index of its last event. A busy proxy may take a dial for late and close
    /// the connection without a request; then it dials again.
    pub fn accept(&self) -> (TcpStream, u64) {
        loop {
            if let Some(asked) = self.asked() {
                return asked;
            }
        }
    }

    fn asked(&self) -> Option<(TcpStream, u64)> {
        let (mut reader, mut last) = (BufReader::new(accept(&self.0)), 0);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap() == 0 {
                return None;
            }
            if let Some(number) = line.strip_prefix("Last-Event-ID: ") {
                last = number.trim().parse().unwrap();
            }
            if line == "\r\n" {
                reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\n\r\n").unwrap();
                return Some((reader.into_inner(), last));
            }
        }
    }
}

/// The next connection to a listener, which a failing proxy may never make.
fn accept(listener: &TcpListener) -> TcpStream {
    let until = Instant::now() + TIMEOUT;
    listener.set_nonblocking(true).unwrap();
    loop {
        if let Ok((socket, _)) = listener.accept() {
            socket.set_nonblocking(false).unwrap();
            socket.set_read_timeout(Some(TIMEOUT)).unwrap();
            return socket;
        }
        assert!(Instant::now() < until, "the proxy does not connect");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// An event of the coordinator.
pub fn event(index: u64, members: &[String]) -> String {
    let members = members.join(",");
    format!("id: {index}\ndata: {{\"endpoints\":{{\"complete\":false,\"members\":[{members}]}}}}\n\n")
}

/// A connection at a database.
pub struct DatabaseConnection(pub BufReader<TcpStream>);

impl DatabaseConnection {
    /// The words of the next command; a statement is read and added as the last.
    pub fn command(&mut self) -> Vec<String> {
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        let mut words: Vec<String> = line.trim_end().split(' ').map(String::from).collect();
        if words[0] == "serve" {
            let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
            self.0.read_exact(&mut body).unwrap();
            words.push(String::from_utf8(body).unwrap().trim_end_matches("\r\n").into());
        }
        words
    }

    /// Whether nothing has arrived.
    pub fn is_silent(&mut self) -> bool {
        self.0.get_ref().set_nonblocking(true).unwrap();
        let silent = self.0.fill_buf().is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        self.0.get_ref().set_nonblocking(false).unwrap();
        silent
    }

    pub fn send(&mut self, id: &str, word: &str, fields: &str, body: &str) {
        let line = format!("{id} {word} {fields} {}\r\n{body}\r\n", body.len());
        self.0.get_mut().write_all(line.as_bytes()).unwrap();
    }
}
