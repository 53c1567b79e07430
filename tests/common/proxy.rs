//! The proxy as a process, with the test as its client, its engines and its coordinator.
#![allow(dead_code, unused_imports, reason = "each test uses a part of this module")]

#[path = "proxy/client.rs"]
mod client;
#[path = "proxy/database.rs"]
mod database;

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

pub use client::{Client, query, read_to_close};
pub use database::{Coordinator, Engine, EngineConnection, event};

/// Far longer than any step of these tests takes.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until a condition holds; panics with its description if it does not hold within the timeout.
pub fn wait_within(timeout: Duration, description: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + timeout;
    while !condition() {
        assert!(Instant::now() < end, "{description}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Sets a flag when it is dropped, also by a panic, so that a thread which waits for the flag ends in any case.
pub struct SetOnDrop<'a>(pub &'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
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

/// A running proxy; killed when dropped.
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

/// The options with which a proxy is started.
pub struct Launch<'a> {
    /// The address on which the proxy listens for clients.
    pub address: SocketAddr,
    /// Engines of the configuration, listed as `s-0`, `s-1` and so on.
    pub engines: &'a [&'a Engine],
    pub coordinator: Option<&'a Coordinator>,
    /// A listening socket that the proxy inherits; `None` if the proxy opens its own.
    pub listener: Option<&'a TcpListener>,
    /// The operator's file.
    pub operator: Option<PathBuf>,
    /// The file for the log, as JSON lines; `None` discards the log.
    pub log: Option<PathBuf>,
    /// The log filter (`GAUGESTEP_LOG`); `None` for the one in the environment of the test.
    pub log_filter: Option<String>,
    /// The check that is disabled in the proxy; empty for none.
    pub disabled_check: &'static str,
    /// Changes the text of the configuration before the start.
    pub edit_config: &'a dyn Fn(String) -> String,
}

impl<'a> Launch<'a> {
    /// The default options, with a configuration that lists these engines.
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

    /// Starts the proxy and waits until it responds to an empty query.
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
    /// Starts a proxy with a configuration that lists these engines, and waits until it responds to an empty
    /// query.
    pub fn start(engines: &[&Engine]) -> Self {
        Launch::new(engines).start()
    }

    /// Like [`start`](Self::start), with a coordinator that the proxy follows.
    pub fn follow(engines: &[&Engine], coordinator: Option<&Coordinator>) -> Self {
        Launch { coordinator, ..Launch::new(engines) }.start()
    }

    /// Starts a proxy that may open this many file descriptors.
    pub fn with_descriptors(descriptors: usize) -> Self {
        let text = format!(r#""sockets":{descriptors}"#);
        let edit_config = |config: String| config.replace(r#""sockets":256"#, &text);
        Launch { edit_config: &edit_config, ..Launch::new(&[]) }.start()
    }

    /// Starts a proxy with this configuration, except for the addresses on which it listens.
    pub fn configured(text: &str) -> Self {
        let edit_config = |default: String| {
            let default: serde_json::Value = serde_json::from_str(&default).unwrap();
            let mut config: serde_json::Value = serde_json::from_str(text).unwrap();
            for key in ["listen", "management"] {
                config[key] = default[key].clone();
            }
            config.to_string()
        };
        Launch { edit_config: &edit_config, ..Launch::new(&[]) }.start()
    }

    /// Starts a proxy that inherits a listening socket, as under a platform with socket activation.
    pub fn inherit(listener: &TcpListener, engines: &[&Engine]) -> Self {
        let address = listener.local_addr().unwrap();
        Launch { address, listener: Some(listener), ..Launch::new(engines) }.start()
    }

    /// Kills the proxy (SIGKILL).
    pub fn kill(&mut self) {
        self.child().kill().unwrap();
        self.child().wait().unwrap();
    }

    /// Starts the proxy again after it was killed, with the same files.
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

    /// Sends a request to the admin API and returns the status, 0 if the connection fails, and the body.
    pub fn call(&self, method: &str, path: &str) -> (u16, String) {
        let Ok(mut socket) = TcpStream::connect(self.admin_address) else { return (0, String::new()) };
        write!(socket, "{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
        let response = read_to_close(&socket);
        let (head, body) = response.split_once("\r\n\r\n").expect("a complete response");
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

    /// Sends SIGTERM and waits until the process ends.
    pub fn terminate(&mut self) -> ExitStatus {
        self.signal("-TERM");
        self.wait()
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child().try_wait().unwrap().is_none()
    }

    /// Waits until the process ends.
    pub fn wait(&mut self) -> ExitStatus {
        self.child().wait().unwrap()
    }

    /// Writes a configuration with these engines and this coordinator and has the proxy reload it.
    pub fn reconfigure(&self, engines: &[&Engine], coordinator: &Coordinator) {
        write_config(&self.config, self.address, self.admin_address, engines, Some(coordinator));
        self.signal("-HUP");
    }

    /// Replaces a text in the configuration file, for the next start.
    pub fn rewrite(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.config).unwrap();
        assert!(text.contains(from));
        std::fs::write(&self.config, text.replace(from, to)).unwrap();
    }

    /// Has the proxy reload its configuration with a text replaced, waits until this statistic changes, and
    /// restores the file.
    pub fn reload_with(&self, from: &str, to: &str, statistic: &str) {
        let replace = |text: String| {
            assert!(text.contains(from));
            text.replace(from, to)
        };
        self.reload_edited(&replace, statistic);
    }

    /// Has the proxy reload its configuration as changed by `edit`, waits until this statistic changes, and
    /// restores the file.
    pub fn reload_edited(&self, edit: &dyn Fn(String) -> String, statistic: &str) {
        let text = std::fs::read_to_string(&self.config).unwrap();
        std::fs::write(&self.config, edit(text.clone())).unwrap();
        let before = self.statistic(statistic);
        self.signal("-HUP");
        let until = Instant::now() + TIMEOUT;
        while self.statistic(statistic) == before {
            assert!(Instant::now() < until, "{statistic} does not change");
            std::thread::sleep(Duration::from_millis(10));
        }
        std::fs::write(&self.config, text).unwrap();
    }

    /// Has the proxy load an invalid configuration.
    pub fn load_invalid_configuration(&self) {
        std::fs::write(&self.config, "{").unwrap();
        self.signal("-HUP");
    }

    /// A field of `/proc/PID/status`, named with its colon.
    pub fn status(&self, name: &str) -> String {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap();
        status.lines().find_map(|line| line.strip_prefix(name)).unwrap().trim().to_owned()
    }

    /// The threads of the proxy: name and number of voluntary context switches.
    pub fn threads(&self) -> Vec<(String, u64)> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.id())).unwrap();
        let thread = |task: std::fs::DirEntry| {
            let status = std::fs::read_to_string(task.path().join("status")).unwrap();
            let field = |name| status.lines().find_map(|line| line.strip_prefix(name)).unwrap().trim();
            (field("Name:").to_owned(), field("voluntary_ctxt_switches:").parse().unwrap())
        };
        tasks.map(|task| thread(task.unwrap())).collect()
    }

    /// Suspends the proxy (SIGSTOP) and waits until it is suspended. Its connections stay open and silent.
    pub fn suspend(&self) {
        self.signal("-STOP");
        wait_within(TIMEOUT, "the proxy does not stop", || self.status("State:").starts_with('T'));
    }

    /// Number of open file descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.id())).unwrap().count()
    }

    /// Waits until no request is open and returns the number of attempts sent so far.
    pub fn attempts_once_idle(&self) -> u64 {
        wait_within(TIMEOUT, "a request stays open", || self.statistic("/outstanding") == Some(0));
        self.statistic("/forwards").unwrap()
    }

    /// Resumes the proxy (SIGCONT).
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    pub fn signal(&self, name: &str) {
        Command::new("kill").arg(name).arg(self.id().to_string()).status().unwrap();
    }
}

/// An address to listen on that no other process takes before it is used: each call returns another loopback
/// address, as ports of 127.0.0.1 are also given to other tests and to outgoing connections.
pub fn free_address() -> SocketAddr {
    free_listener().local_addr().unwrap()
}

/// A listener on an address like that of [`free_address`].
pub fn free_listener() -> TcpListener {
    static USED_ADDRESSES: AtomicU32 = AtomicU32::new(0);
    let number = USED_ADDRESSES.fetch_add(1, Ordering::Relaxed);
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
    let members: Vec<String> = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| engine.list_entry(&format!("s-{index}"), "SERVING"))
        .collect();
    let coordinator = coordinator
        .map(|coordinator| format!(r#""coordinator":"{}","#, coordinator.0.local_addr().unwrap()))
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

/// Path of the program under test. `GAUGESTEP_PROGRAM` names the program of another build, for paired
/// benchmarks and groups of mixed builds.
fn program() -> String {
    std::env::var("GAUGESTEP_PROGRAM").unwrap_or_else(|_| env!("CARGO_BIN_EXE_gaugestep").to_owned())
}
