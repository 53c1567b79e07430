//! A control service as a process, a scripted control service, and engines that answer on their own.
#![allow(dead_code, reason = "each test uses a part of it")]

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

/// Waits until something holds.
pub fn wait_until(what: &str, holds: impl FnMut() -> bool) {
    wait_within(TIMEOUT, what, holds);
}

/// Runs a command to its end: its exit code, standard output and standard error.
pub fn run_command(command: &mut Command) -> (i32, String, String) {
    let done = command.output().unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (done.status.code().unwrap_or(-1), text(&done.stdout), text(&done.stderr))
}

/// A control service as a process, with its files in a folder of its own.
pub struct ControlServer {
    child: Child,
    pub listen: SocketAddr,
    pub operators: SocketAddr,
    pub folder: tempfile::TempDir,
    extra_settings: String,
    client_arguments: Vec<String>,
}

impl ControlServer {
    /// Starts one without keys.
    pub fn start() -> Self {
        Self::with_settings(tempfile::tempdir().unwrap(), String::new(), Vec::new())
    }

    /// Starts one with more settings in its file, and with more arguments for commands that call it.
    pub fn with_settings(folder: tempfile::TempDir, extra: String, client: Vec<String>) -> Self {
        let (listen, operators) = (free_address(), free_address());
        let child = Self::command(folder.path(), listen, operators, &extra).spawn().unwrap();
        let control = ControlServer {
            child,
            listen,
            operators,
            folder,
            extra_settings: extra,
            client_arguments: client,
        };
        control.wait_until_ready();
        control
    }

    fn command(folder: &Path, listen: SocketAddr, operators: SocketAddr, extra: &str) -> Command {
        let config = folder.join("control.textproto");
        let store = folder.join("versions.redb");
        let settings = format!(
            "listen: \"{listen}\" operators: \"{operators}\" store: {:?} {extra}",
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
        wait_until("the control service starts", || self.run(&["list"]).0 == 0);
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

    /// Kills it (SIGKILL).
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Starts it again after its end.
    pub fn restart(&mut self) {
        self.restart_with(&[]);
    }

    /// The same, with further arguments.
    pub fn restart_with(&mut self, arguments: &[&str]) {
        let mut command =
            Self::command(self.folder.path(), self.listen, self.operators, &self.extra_settings);
        self.child = command.args(arguments).spawn().unwrap();
        self.wait_until_ready();
    }

    /// Starts it where it cannot start: its exit code, standard output and standard error.
    pub fn run_to_end(&self) -> (i32, String, String) {
        let mut command =
            Self::command(self.folder.path(), self.listen, self.operators, &self.extra_settings);
        run_command(command.stderr(Stdio::piped()).stdout(Stdio::piped()))
    }

    /// Runs a command that calls it: its exit code, standard output and standard error.
    pub fn run(&self, arguments: &[&str]) -> (i32, String, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gaugestep-control"));
        command.env("GAUGESTEP_CONTROL", self.operators.to_string()).env("USER", "tester");
        run_command(command.args(arguments).args(self.client_arguments.iter()))
    }

    /// The same, with its result as JSON.
    pub fn run_json(&self, arguments: &[&str]) -> Value {
        let (_, output, error) = self.run(&[&["--json"], arguments].concat());
        serde_json::from_str(&output).unwrap_or_else(|_| panic!("{arguments:?}: {output}{error}"))
    }

    /// Writes a document to a file.
    pub fn write_file(&self, name: &str, document: &str) -> String {
        let path = self.folder.path().join(name);
        std::fs::write(&path, document).unwrap();
        path.display().to_string()
    }

    /// Publishes a document; the version's number.
    pub fn publish(&self, document: &str, arguments: &[&str]) -> u64 {
        let file = self.write_file("document.textproto", document);
        self.run_json(&[&["publish", &file], arguments].concat())["version"].as_u64().unwrap()
    }

    /// What the service knows of a proxy.
    pub fn proxy_status(&self, name: &str) -> Value {
        self.run_json(&["status", "--proxy", name])["proxies"][0].clone()
    }

    /// What an operator writes for a proxy that follows this service.
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

/// Writes an operator's file.
pub fn write_operator_file(folder: &Path, service: SocketAddr, state: &Path, extra: &str) -> PathBuf {
    let name = state.file_name().unwrap().to_string_lossy();
    let path = folder.join(format!("operator-{name}.textproto"));
    let answer =
        format!("control {{ services: \"{service}\" state: {:?} {extra} }}", state.display().to_string());
    std::fs::write(&path, answer).unwrap();
    path
}

/// A control service that sends what the test has it send.
pub struct ScriptedControlServer(pub TcpListener);

impl ScriptedControlServer {
    pub fn new() -> Self {
        ScriptedControlServer(free_listener())
    }

    /// The next stream of a proxy, after its hello was answered by the lease holder of the first term.
    pub fn accept(&self) -> ControlStream {
        self.accept_with_term(1)
    }

    /// The same, by the lease holder of this term.
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

/// A proxy's stream at a scripted service.
pub struct ControlStream {
    pub socket: TcpStream,
    pub hello: Hello,
}

impl ControlStream {
    pub fn send(&mut self, message: &FromService) {
        self.socket.write_all(&encode_frame(message)).unwrap();
    }

    /// The next message of the proxy.
    pub fn next(&mut self) -> FromClient {
        let mut head = [0; 4];
        self.socket.read_exact(&mut head).expect("the stream stays open");
        let mut body = vec![0; u32::from_be_bytes(head) as usize];
        self.socket.read_exact(&mut body).unwrap();
        FromClient::decode(body.as_slice()).unwrap()
    }

    /// The next answer: its nonce, and the code of the rejection.
    pub fn next_acknowledgement(&mut self) -> (u64, Option<String>) {
        loop {
            if let Some(from_client::Said::Answer(answer)) = self.next().said {
                return (answer.nonce, answer.refusal.map(|refusal| refusal.code));
            }
        }
    }
}

pub fn encode_frame(message: &FromService) -> Vec<u8> {
    let body = message.encode_to_vec();
    [&(body.len() as u32).to_be_bytes(), body.as_slice()].concat()
}

/// An offer of a document.
pub fn offer(number: u64, nonce: u64, document: &str) -> Offer {
    let document: Document = text::parse(document).unwrap();
    let content = Some(Content::Snapshot(document.clone()));
    Offer { version: Some(version(number, &document)), nonce, content, rolls_back_to: 0, term: 1 }
}

pub fn offer_message(offer: Offer) -> FromService {
    FromService { said: Some(from_service::Said::Offer(offer)) }
}

/// An engine that serves whatever it is sent, and records it.
pub struct RespondingEngine {
    pub listener: Engine,
    pub served: Arc<Mutex<Vec<String>>>,
    /// While set, requests wait.
    pub paused: Arc<AtomicBool>,
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
        let answer = match words[0] {
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
        if answer.is_some_and(|answer| reader.get_mut().write_all(answer.as_bytes()).is_err()) {
            return;
        }
        line.clear();
    }
}
