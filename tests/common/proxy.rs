//! The proxy as a process, with the test as its client, its engines and its coordinator.
#![allow(dead_code, unused_imports, reason = "each test uses a part of it")]

#[path = "proxy/client.rs"]
mod client;
#[path = "proxy/database.rs"]
mod database;

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

pub use client::{Client, query, read_to_close};
pub use database::{Coordinator, Engine, EngineConnection, event};

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
    pub engines: &'a [&'a Engine],
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
    pub edit_config: &'a dyn Fn(String) -> String,
}

impl<'a> Launch<'a> {
    /// One that knows these engines.
    pub fn new(engines: &'a [&'a Engine]) -> Self {
        let edit_config = &|text| text;
        let address = free_address();
        Launch {
            address,
            engines,
            coordinator: None,
            listener: None,
            operator: None,
            log: None,
            log_filter: None,
            disabled_check: "",
            edit_config,
        }
    }

    /// Starts it and waits until it answers an empty query.
    pub fn start(self) -> Proxy {
        let admin_address = free_address();
        let name =
            format!("gaugestep-{}-{}-{}.json", std::process::id(), admin_address.ip(), admin_address.port());
        let config = std::env::temp_dir().join(name);
        write_config(&config, self.address, admin_address, self.engines, self.coordinator);
        std::fs::write(&config, (self.edit_config)(std::fs::read_to_string(&config).unwrap())).unwrap();
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
        self.child = Some(command.arg(program()).spawn().unwrap());
    }

    fn child(&mut self) -> &mut Child {
        self.child.as_mut().unwrap()
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().unwrap().id()
    }
}

impl Proxy {
    /// Starts one that knows these engines and waits until it answers an empty query.
    pub fn start(engines: &[&Engine]) -> Self {
        Launch::new(engines).start()
    }

    /// The same, with a coordinator that it follows.
    pub fn follow(engines: &[&Engine], coordinator: Option<&Coordinator>) -> Self {
        Launch { coordinator, ..Launch::new(engines) }.start()
    }

    /// Starts one that may hold this many descriptors.
    pub fn with_descriptors(descriptors: usize) -> Self {
        let text = format!(r#""sockets":{descriptors}"#);
        Launch { edit_config: &|it| it.replace(r#""sockets":256"#, &text), ..Launch::new(&[]) }.start()
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
        Launch { edit_config: &own, ..Launch::new(&[]) }.start()
    }

    /// Starts one on a listening socket that the test holds, as a platform does.
    pub fn inherit(listener: &TcpListener, engines: &[&Engine]) -> Self {
        let address = listener.local_addr().unwrap();
        Launch { address, listener: Some(listener), ..Launch::new(engines) }.start()
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
        assert_eq!(self.client().request(""), "I");
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
    pub fn reconfigure(&self, engines: &[&Engine], coordinator: &Coordinator) {
        write_config(&self.config, self.address, self.admin_address, engines, Some(coordinator));
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
    engines: &[&Engine],
    coordinator: Option<&Coordinator>,
) {
    let members =
        engines.iter().enumerate().map(|(index, it)| it.list_entry(&format!("s-{index}"), "SERVING"));
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

/// The program under test; `GAUGESTEP_PROGRAM` names one of another build, for paired benchmarks and groups of mixed builds.
fn program() -> String {
    std::env::var("GAUGESTEP_PROGRAM").unwrap_or_else(|_| env!("CARGO_BIN_EXE_gaugestep").to_owned())
}
