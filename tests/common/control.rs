//! A control server as a process, a scripted control server, and engines that respond on their own.
#![allow(dead_code, reason = "each test uses a part of this module")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gaugestep_config::schema::offer::Content;
use gaugestep_config::schema::{
    FromClient, FromService, Hello, Offer, Owner, Welcome, from_client, from_service,
};
use gaugestep_config::{Document, text, version};
use prost::Message as _;
use serde_json::Value;

use crate::proxy::{Engine, TIMEOUT, free_address, free_listener, wait_within};

/// Waits until a condition holds; panics with its description after [`TIMEOUT`].
pub fn wait_until(description: &str, condition: impl FnMut() -> bool) {
    wait_within(TIMEOUT, description, condition);
}

/// Runs a command to its end and returns its exit code, standard output and standard error.
pub fn run_command(command: &mut Command) -> (i32, String, String) {
    let output = command.output().unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().unwrap_or(-1), text(&output.stdout), text(&output.stderr))
}

/// A control server as a process, with its files in a folder of its own.
pub struct ControlServer {
    child: Child,
    pub listen: SocketAddr,
    pub operators: SocketAddr,
    pub folder: tempfile::TempDir,
    extra_settings: String,
    client_arguments: Vec<String>,
}

impl ControlServer {
    /// Starts a control server without TLS keys.
    pub fn start() -> Self {
        Self::with_settings(tempfile::tempdir().unwrap(), String::new(), Vec::new())
    }

    /// Starts a control server with further settings in its file, and further arguments for the commands that
    /// call it.
    pub fn with_settings(
        folder: tempfile::TempDir,
        extra_settings: String,
        client_arguments: Vec<String>,
    ) -> Self {
        let (listen, operators) = (free_address(), free_address());
        let child = Self::command(folder.path(), listen, operators, &extra_settings).spawn().unwrap();
        let control = ControlServer { child, listen, operators, folder, extra_settings, client_arguments };
        control.wait_until_ready();
        control
    }

    fn command(folder: &Path, listen: SocketAddr, operators: SocketAddr, extra_settings: &str) -> Command {
        let config = folder.join("control.textproto");
        let store = folder.join("versions.redb");
        let settings = format!(
            "listen: \"{listen}\" operators: \"{operators}\" store: {:?} {extra_settings}",
            store.display().to_string()
        );
        std::fs::write(&config, settings).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_gaugestep-control"));
        command.args(["--json", "serve", "--config"]).arg(&config);
        let log = std::fs::OpenOptions::new().append(true).create(true).open(folder.join("log")).unwrap();
        command.stdout(Stdio::null()).stderr(log);
        command
    }

    fn wait_until_ready(&self) {
        wait_until("the control server starts", || self.run(&["list"]).0 == 0);
    }

    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    pub fn store(&self) -> PathBuf {
        self.folder.path().join("versions.redb")
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).unwrap()
    }

    /// Kills the control server (SIGKILL).
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Starts the control server again after it was killed.
    pub fn restart(&mut self) {
        self.restart_with(&[]);
    }

    /// Like [`restart`](Self::restart), with further arguments.
    pub fn restart_with(&mut self, arguments: &[&str]) {
        let mut command =
            Self::command(self.folder.path(), self.listen, self.operators, &self.extra_settings);
        self.child = command.args(arguments).spawn().unwrap();
        self.wait_until_ready();
    }

    /// Runs the control server in a state in which it must fail to start, and returns its exit code, standard
    /// output and standard error.
    pub fn run_to_end(&self) -> (i32, String, String) {
        let mut command =
            Self::command(self.folder.path(), self.listen, self.operators, &self.extra_settings);
        run_command(command.stderr(Stdio::piped()).stdout(Stdio::piped()))
    }

    /// Runs an operator command against the control server and returns its exit code, standard output and
    /// standard error.
    pub fn run(&self, arguments: &[&str]) -> (i32, String, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gaugestep-control"));
        command.env("GAUGESTEP_CONTROL", self.operators.to_string()).env("USER", "tester");
        run_command(command.args(arguments).args(self.client_arguments.iter()))
    }

    /// Runs an operator command with `--json` and returns its output.
    pub fn run_json(&self, arguments: &[&str]) -> Value {
        let (_, output, error) = self.run(&[&["--json"], arguments].concat());
        serde_json::from_str(&output).unwrap_or_else(|_| panic!("{arguments:?}: {output}{error}"))
    }

    /// Writes a document to a file in the folder and returns the file's path.
    pub fn write_file(&self, name: &str, document: &str) -> String {
        let path = self.folder.path().join(name);
        std::fs::write(&path, document).unwrap();
        path.display().to_string()
    }

    /// Publishes a document and returns the version number.
    pub fn publish(&self, document: &str, arguments: &[&str]) -> u64 {
        let file = self.write_file("document.textproto", document);
        self.run_json(&[&["publish", &file], arguments].concat())["version"].as_u64().unwrap()
    }

    /// The entry of a proxy in the output of `status`.
    pub fn proxy_status(&self, name: &str) -> Value {
        self.run_json(&["status", "--proxy", name])["proxies"][0].clone()
    }

    /// Writes the operator's file for a proxy that follows this control server.
    pub fn write_operator_file(&self, state: &Path) -> PathBuf {
        write_operator_file(self.folder.path(), self.listen, state, "")
    }
}

impl Drop for ControlServer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Writes the operator's file for a proxy that follows this control server and keeps its state in the folder
/// `state`, and returns the file's path. `extra_settings` is added to the `control` message.
pub fn write_operator_file(
    folder: &Path,
    control_server: SocketAddr,
    state: &Path,
    extra_settings: &str,
) -> PathBuf {
    let name = state.file_name().unwrap().to_string_lossy();
    let path = folder.join(format!("operator-{name}.textproto"));
    let text = format!(
        "control {{ services: \"{control_server}\" state: {:?} {extra_settings} }}",
        state.display().to_string()
    );
    std::fs::write(&path, text).unwrap();
    path
}

/// A control server whose messages the test writes.
pub struct ScriptedControlServer(pub TcpListener);

impl ScriptedControlServer {
    pub fn new() -> Self {
        ScriptedControlServer(free_listener())
    }

    /// Accepts the next stream of a proxy, reads its hello and sends the welcome of the lease holder of term
    /// 1.
    pub fn accept(&self) -> ControlStream {
        self.accept_with_term(1)
    }

    /// Like [`accept`](Self::accept), for the lease holder of this term.
    pub fn accept_with_term(&self, term: u64) -> ControlStream {
        let (socket, _) = self.0.accept().unwrap();
        socket.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut stream = ControlStream { socket, hello: Hello::default() };
        let Some(from_client::Said::Hello(hello)) = stream.next().said else { panic!("no hello") };
        stream.hello = hello;
        let owner = Owner { duty: "versions".into(), member: 1, term, ..Owner::default() };
        let welcome = Welcome { protocol: 1, lineage: 7, owner: Some(owner), member: 1, name_term: 1 };
        stream.send(&FromService { said: Some(from_service::Said::Welcome(welcome)) });
        stream
    }
}

/// A proxy's stream at a scripted control server.
pub struct ControlStream {
    pub socket: TcpStream,
    pub hello: Hello,
}

impl ControlStream {
    pub fn send(&mut self, message: &FromService) {
        self.socket.write_all(&encode_frame(message)).unwrap();
    }

    /// Reads the next message of the proxy.
    pub fn next(&mut self) -> FromClient {
        let mut head = [0; 4];
        self.socket.read_exact(&mut head).expect("the stream stays open");
        let mut body = vec![0; u32::from_be_bytes(head) as usize];
        self.socket.read_exact(&mut body).unwrap();
        FromClient::decode(body.as_slice()).unwrap()
    }

    /// Reads up to the next response to an offer and returns its nonce and, if the version was rejected, the
    /// code of the rejection.
    pub fn next_acknowledgement(&mut self) -> (u64, Option<String>) {
        loop {
            if let Some(from_client::Said::Answer(response)) = self.next().said {
                return (response.nonce, response.refusal.map(|rejection| rejection.code));
            }
        }
    }
}

pub fn encode_frame(message: &FromService) -> Vec<u8> {
    let body = message.encode_to_vec();
    [&(body.len() as u32).to_be_bytes(), body.as_slice()].concat()
}

/// The offer of a document as a version with this number, in term 1.
pub fn offer(number: u64, nonce: u64, document: &str) -> Offer {
    let document: Document = text::parse(document).unwrap();
    let content = Some(Content::Snapshot(document.clone()));
    Offer { version: Some(version(number, &document)), nonce, content, rolls_back_to: 0, term: 1 }
}

pub fn offer_message(offer: Offer) -> FromService {
    FromService { said: Some(from_service::Said::Offer(offer)) }
}

/// An engine that responds to every request and health check with a thread for each connection.
pub struct RespondingEngine {
    pub listener: Engine,
    /// Ids of the requests that it has served.
    pub served: Arc<Mutex<Vec<String>>>,
    /// While set, the engine receives requests but does not respond to them.
    pub paused: Arc<AtomicBool>,
    /// Number of requests received.
    pub received: Arc<AtomicUsize>,
}

impl RespondingEngine {
    pub fn new() -> Self {
        let engine = Engine::new();
        let engine = RespondingEngine {
            listener: engine,
            served: Arc::default(),
            paused: Arc::default(),
            received: Arc::default(),
        };
        let listener = engine.listener.0.try_clone().unwrap();
        let (served, paused, received) =
            (engine.served.clone(), engine.paused.clone(), engine.received.clone());
        std::thread::spawn(move || {
            while let Ok((socket, _)) = listener.accept() {
                let (served, paused, received) = (served.clone(), paused.clone(), received.clone());
                std::thread::spawn(move || serve(socket, &served, &paused, &received));
            }
        });
        engine
    }

    /// Number of requests served.
    pub fn served(&self) -> usize {
        self.served.lock().unwrap().len()
    }
}

fn serve(socket: TcpStream, served: &Mutex<Vec<String>>, paused: &AtomicBool, received: &AtomicUsize) {
    use std::io::{BufRead as _, BufReader};
    let mut reader = BufReader::new(socket);
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|read| read > 0) {
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let response = match words[0] {
            "serve" => {
                let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
                if reader.read_exact(&mut body).is_err() {
                    return;
                }
                received.fetch_add(1, Ordering::SeqCst);
                while paused.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(2));
                }
                served.lock().unwrap().push(words[1].to_owned());
                Some(format!("{} HIT total=1,elapsed=5,rss=1 6\r\na\tb\tc\n\r\n", words[1]))
            }
            "health" => Some(format!("{} PONG - 0\r\n\r\n", words[1])),
            _ => None,
        };
        if response.is_some_and(|response| reader.get_mut().write_all(response.as_bytes()).is_err()) {
            return;
        }
        line.clear();
    }
}
