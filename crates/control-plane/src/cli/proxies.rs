//! Commands that show where proxies are in a rollout: `status` and `watch`.

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use gaugestep_config::schema::entry::State;
use gaugestep_config::schema::{Entry, Fleet, Proxy, Refusal};
use serde::Serialize;

use crate::cli::connection::ConnectionArgs;
use crate::cli::exit::{CommandResult, ExitStatus};
use crate::cli::output::Output;
use crate::cli::versions::state_name;

/// The time between two looks of `watch` at a rollout.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Serialize)]
struct RejectionReport {
    code: String,
    path: String,
    reason: String,
}

impl From<Refusal> for RejectionReport {
    fn from(Refusal { code, path, reason }: Refusal) -> Self {
        RejectionReport { code, path, reason }
    }
}

#[derive(Serialize)]
struct ProxyReport {
    proxy: String,
    connected: bool,
    build: String,
    in_force: u64,
    offered: u64,
    #[serde(rename = "refused")]
    rejected: u64,
    ahead: bool,
    heard_ms: u64,
    #[serde(rename = "refusal")]
    rejection: Option<RejectionReport>,
    process: String,
    name_term: u64,
    displaced: bool,
    #[serde(rename = "beyond")]
    newer_term_seen: u64,
}

impl From<Proxy> for ProxyReport {
    fn from(proxy: Proxy) -> Self {
        ProxyReport {
            proxy: proxy.name,
            connected: proxy.connected,
            build: proxy.build,
            in_force: proxy.in_force,
            offered: proxy.offered,
            rejected: proxy.refused,
            ahead: proxy.ahead,
            heard_ms: proxy.heard_ms,
            rejection: proxy.refusal.map(RejectionReport::from),
            process: format!("{:016x}", proxy.incarnation),
            name_term: proxy.name_term,
            displaced: proxy.displaced,
            newer_term_seen: proxy.beyond,
        }
    }
}

impl ProxyReport {
    fn line(&self) -> String {
        let presence = if self.connected { "here" } else { "away" };
        let mut line = format!("{:<24}  {presence}  in force {:>6}", self.proxy, self.in_force);
        for remark in self.remarks() {
            // Writing to a string cannot fail.
            let _ = write!(line, "  {remark}");
        }
        line.push('\n');
        line
    }

    fn remarks(&self) -> Vec<String> {
        let mut remarks = Vec::new();
        if self.offered > 0 {
            remarks.push(format!("offered {}", self.offered));
        }
        if self.ahead {
            remarks.push("ahead of this service".into());
        }
        if self.displaced {
            remarks.push(format!("its name is another's (process {})", self.process));
        }
        if self.newer_term_seen > 0 {
            remarks.push(format!("has seen a later owner, of term {}", self.newer_term_seen));
        }
        if self.rejected > 0 {
            let reason = self.rejection.as_ref().map_or("", |rejection| &rejection.reason);
            remarks.push(format!("refused {}: {reason}", self.rejected));
        }
        remarks
    }
}

#[derive(Serialize)]
struct FleetReport {
    newest: u64,
    proxies: Vec<ProxyReport>,
}

/// Shows all proxies, or the one of this name.
pub(crate) fn status(output: Output, connection: &ConnectionArgs, name: Option<&str>) -> CommandResult {
    let fleet = connection.fleet()?;
    let wanted = fleet.proxies.into_iter().filter(|proxy| name.is_none_or(|name| proxy.name == name));
    let report = FleetReport { newest: fleet.newest, proxies: wanted.map(ProxyReport::from).collect() };
    output.print(&report, || {
        let lines: String = report.proxies.iter().map(ProxyReport::line).collect();
        format!("newest version: {}\n{lines}", report.newest)
    });
    Ok(ExitStatus::negative_if(name.is_some() && report.proxies.is_empty()))
}

#[derive(PartialEq, Serialize)]
struct WatchReport {
    version: u64,
    state: &'static str,
    in_force: usize,
    #[serde(rename = "here")]
    connected: usize,
    #[serde(rename = "refused")]
    rejected: usize,
    halted_for: String,
}

impl WatchReport {
    fn new(number: u64, entry: &Entry, fleet: &Fleet) -> Self {
        let connected = || fleet.proxies.iter().filter(|proxy| proxy.connected && !proxy.displaced);
        WatchReport {
            version: number,
            state: state_name(entry.state()),
            in_force: connected().filter(|proxy| proxy.in_force >= number).count(),
            connected: connected().count(),
            rejected: fleet.proxies.iter().filter(|proxy| proxy.refused == number).count(),
            halted_for: entry.halted_for.clone(),
        }
    }

    fn line(&self) -> String {
        let WatchReport { version, state, in_force, connected, rejected, halted_for } = self;
        let cause = if halted_for.is_empty() { String::new() } else { format!(": {halted_for}") };
        format!(
            "version {version} {state}{cause}; in force at {in_force} of {connected} proxies, \
             refused by {rejected}\n"
        )
    }

    /// How the rollout has ended; nothing while it goes on.
    fn exit_status(&self, state: State) -> Option<ExitStatus> {
        match state {
            State::Halted | State::Overtaken => Some(ExitStatus::RolloutStopped),
            State::Complete if self.in_force + self.rejected >= self.connected => {
                Some(ExitStatus::negative_if(self.rejected > 0))
            }
            State::Complete | State::Rolling => None,
        }
    }
}

/// Follows the rollout of a version (0: the newest) until it has ended or the time is over, and prints each change.
pub(crate) fn watch(
    output: Output,
    connection: &ConnectionArgs,
    version: u64,
    timeout: Duration,
) -> CommandResult {
    let started = Instant::now();
    let entry = connection.version(version)?.entry;
    let number = entry.and_then(|entry| entry.version).map_or(0, |version| version.number);
    let mut printed = None;
    loop {
        let entry = connection.version(number)?.entry.unwrap_or_default();
        let report = WatchReport::new(number, &entry, &connection.fleet()?);
        let ended = report.exit_status(entry.state());
        if printed.as_ref() != Some(&report) {
            output.print(&report, || report.line());
            printed = Some(report);
        }
        if let Some(status) = ended {
            return Ok(status);
        }
        if started.elapsed() >= timeout {
            return Ok(ExitStatus::TimedOut);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
