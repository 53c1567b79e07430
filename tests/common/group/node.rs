//! One control server of a group, as a process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};

use gaugestep_config::schema::{DutyState, List, ListDuties, ListSeats, call, reply};
use gaugestep_config::short_digest;
use gaugestep_control_plane::cli::admin_client::AdminClient;
use gaugestep_testbed::process::Process;

use super::call_control_server;

/// A control server that is a member of a group.
pub struct MemberProcess {
    pub number: u64,
    pub folder: PathBuf,
    /// The address on which the member listens for other members and proxies.
    pub listen: SocketAddr,
    /// The address under which other members and proxies reach the member: a relay in front of `listen`.
    pub relay: SocketAddr,
    /// The address on which the member listens for operator commands.
    pub operators: SocketAddr,
    /// The process; `None` while it does not run.
    pub process: Option<Process>,
    /// The check that is disabled in the process; empty for none.
    pub disabled_check: &'static str,
    /// Shell commands that run before the program, for example to set a limit.
    pub shell_prefix: String,
}

impl MemberProcess {
    pub fn name(&self) -> String {
        self.number.to_string()
    }

    pub fn store(&self) -> PathBuf {
        self.folder.join("versions.redb")
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Writes the settings file and starts the process.
    pub fn start(&mut self) {
        let (config, joins) = (self.folder.join("control.textproto"), self.number > 1);
        let settings = format!(
            "listen: \"{}\" operators: \"{}\" store: {:?} keep: 2000 group {{ member: {} joins: {joins} listen_as: \"{}\" }}",
            self.listen,
            self.operators,
            self.store().display().to_string(),
            self.number,
            self.relay
        );
        std::fs::write(&config, settings).unwrap();
        let log =
            std::fs::OpenOptions::new().append(true).create(true).open(self.folder.join("log")).unwrap();
        let mut command = Command::new("sh");
        command.args(["-c", &format!("{} exec \"$0\" --json serve --config \"$1\"", self.shell_prefix)]);
        command.arg(env!("CARGO_BIN_EXE_gaugestep-control")).arg(&config);
        command
            .env("GAUGESTEP_TEST_OUT", self.disabled_check)
            .env("GAUGESTEP_TEST_STOP", self.folder.join("stop"));
        self.process = Some(Process::start(command.stdout(Stdio::null()).stderr(log)).unwrap());
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().unwrap();
        }
    }

    pub fn suspend(&mut self) {
        self.process.as_mut().unwrap().suspend().unwrap();
    }

    pub fn resume(&mut self) {
        self.process.as_mut().unwrap().resume().unwrap();
    }

    /// Whether the process has been started and is not suspended.
    pub fn is_running(&self) -> bool {
        self.process.as_ref().is_some_and(|process| !process.is_suspended())
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_some_and(|process| process.exit_status().unwrap().is_some())
    }

    /// Sends a call to this member, and to the member that it names.
    pub fn call(&self, what: call::What) -> Result<reply::What, String> {
        call_control_server(&AdminClient { addresses: vec![self.operators], tls: None }, &what)
    }

    /// Names of the proxies by ordinal, as this member knows them; empty while no roster is managed.
    pub fn ordinals(&self) -> Vec<String> {
        match self.call(call::What::Seats(ListSeats {})) {
            Ok(reply::What::Seats(response)) => response.proxies,
            _ => Vec::new(),
        }
    }

    /// All roles as this member knows them; empty if it does not respond.
    pub fn roles(&self) -> Vec<DutyState> {
        match self.call(call::What::Duties(ListDuties {})) {
            Ok(reply::What::Duties(response)) => response.duties,
            _ => Vec::new(),
        }
    }

    /// Versions that this member stores, newest first: number, short digest and key.
    pub fn versions(&self) -> Vec<(u64, String, String)> {
        let Ok(reply::What::Versions(response)) = self.call(call::What::List(List { most: 0 })) else {
            return Vec::new();
        };
        let row = |entry: gaugestep_config::schema::Entry| {
            let version = entry.version.unwrap_or_default();
            (version.number, short_digest(&version.digest), entry.key)
        };
        response.entries.into_iter().map(row).collect()
    }
}
