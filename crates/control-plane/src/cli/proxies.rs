//! Commands that show the progress of rollouts: `status` for each proxy, `watch` for one version.

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use gaugestep_config::schema::entry::State;
use gaugestep_config::schema::{Entry, Fleet, Proxy, Refusal};
use serde::Serialize;

use crate::cli::connection::ConnectionArgs;
use crate::cli::exit::{CommandResult, ExitStatus};
use crate::cli::output::Output;
use crate::cli::versions::state_name;

/// The interval at which `watch` queries the rollout.
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
    #[serde(rename = "connected")]
    is_connected: bool,
    build: String,
    /// The version in force; 0 if there is none.
    in_force: u64,
    /// The offered version that the proxy has not responded to yet; 0 if there is none.
    offered: u64,
    /// The version that was rejected last; 0 if there is none.
    #[serde(rename = "refused")]
    rejected: u64,
    /// Whether the proxy has a version in force that the control server never published.
    #[serde(rename = "ahead")]
    is_ahead: bool,
    /// Milliseconds since the proxy sent its last message.
    #[serde(rename = "heard_ms")]
    last_message_age_ms: u64,
    #[serde(rename = "refusal")]
    rejection: Option<RejectionReport>,
    process: String,
    name_term: u64,
    /// Whether another process was granted the proxy's name.
    #[serde(rename = "displaced")]
    is_superseded: bool,
    /// The highest term of the configuration role that the proxy has received, if it is higher than the
    /// control server's; 0 otherwise.
    #[serde(rename = "beyond")]
    newer_term_seen: u64,
}

impl From<Proxy> for ProxyReport {
    fn from(proxy: Proxy) -> Self {
        ProxyReport {
            proxy: proxy.name,
            is_connected: proxy.connected,
            build: proxy.build,
            in_force: proxy.in_force,
            offered: proxy.offered,
            rejected: proxy.refused,
            is_ahead: proxy.ahead,
            last_message_age_ms: proxy.heard_ms,
            rejection: proxy.refusal.map(RejectionReport::from),
            process: format!("{:016x}", proxy.incarnation),
            name_term: proxy.name_term,
            is_superseded: proxy.displaced,
            newer_term_seen: proxy.beyond,
        }
    }
}

impl ProxyReport {
    fn line(&self) -> String {
        let presence = if self.is_connected { "here" } else { "away" };
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
        if self.is_ahead {
            remarks.push("ahead of this control server".into());
        }
        if self.is_superseded {
            remarks.push(format!("its name is another's (process {})", self.process));
        }
        if self.newer_term_seen > 0 {
            remarks.push(format!("has seen a later owner, of term {}", self.newer_term_seen));
        }
        if self.rejected > 0 {
            let reason = self.rejection.as_ref().map_or("", |rejection| &rejection.reason);
            remarks.push(format!("rejected {}: {reason}", self.rejected));
        }
        remarks
    }
}

#[derive(Serialize)]
struct FleetReport {
    #[serde(rename = "newest")]
    newest_version: u64,
    proxies: Vec<ProxyReport>,
}

/// Shows all proxies, or only the one with this name; the result is negative if there is no such proxy.
pub(crate) fn status(output: Output, connection: &ConnectionArgs, name: Option<&str>) -> CommandResult {
    let fleet = connection.fleet()?;
    let selected = fleet.proxies.into_iter().filter(|proxy| name.is_none_or(|name| proxy.name == name));
    let report =
        FleetReport { newest_version: fleet.newest, proxies: selected.map(ProxyReport::from).collect() };
    output.print(&report, || {
        let lines: String = report.proxies.iter().map(ProxyReport::line).collect();
        format!("newest version: {}\n{lines}", report.newest_version)
    });
    Ok(ExitStatus::negative_if(name.is_some() && report.proxies.is_empty()))
}

#[derive(PartialEq, Serialize)]
struct WatchReport {
    version: u64,
    state: &'static str,
    /// Connected proxies that have the version, or a newer one, in force.
    #[serde(rename = "in_force")]
    in_force_count: usize,
    #[serde(rename = "here")]
    connected_count: usize,
    /// Proxies that rejected the version.
    #[serde(rename = "refused")]
    rejected_count: usize,
    /// Why the rollout was halted; empty if it was not.
    halted_for: String,
    /// Whether the rollout waits for proxies that may still reconnect.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    awaits_reconnects: bool,
}

impl WatchReport {
    fn new(number: u64, entry: &Entry, fleet: &Fleet) -> Self {
        let connected = || fleet.proxies.iter().filter(|proxy| proxy.connected && !proxy.displaced);
        WatchReport {
            version: number,
            state: state_name(entry.state()),
            in_force_count: connected().filter(|proxy| proxy.in_force >= number).count(),
            connected_count: connected().count(),
            rejected_count: fleet.proxies.iter().filter(|proxy| proxy.refused == number).count(),
            halted_for: entry.halted_for.clone(),
            awaits_reconnects: entry.state() == State::Rolling && fleet.awaits_reconnects,
        }
    }

    fn line(&self) -> String {
        let WatchReport { version, state, in_force_count, connected_count, rejected_count, .. } = self;
        let halted_for = &self.halted_for;
        let remark = if self.awaits_reconnects { "; waits for proxies to reconnect" } else { "" };
        let cause = if halted_for.is_empty() { String::new() } else { format!(": {halted_for}") };
        format!(
            "version {version} {state}{cause}; in force at {in_force_count} of {connected_count} proxies, \
             rejected by {rejected_count}{remark}\n"
        )
    }

    /// The exit status for the end of the rollout; `None` while it is in progress.
    fn exit_status(&self, state: State) -> Option<ExitStatus> {
        match state {
            State::Halted | State::Overtaken => Some(ExitStatus::RolloutStopped),
            State::Complete if self.in_force_count + self.rejected_count >= self.connected_count => {
                Some(ExitStatus::negative_if(self.rejected_count > 0))
            }
            State::Complete | State::Rolling => None,
        }
    }
}

/// Follows the rollout of a version (0: the newest) until it ends or `timeout` has passed, and prints each
/// change.
pub(crate) fn watch(
    output: Output,
    connection: &ConnectionArgs,
    version: u64,
    timeout: Duration,
) -> CommandResult {
    let started = Instant::now();
    let entry = connection.version(version)?.entry;
    let number = entry.and_then(|entry| entry.version).map_or(0, |version| version.number);
    let mut last_printed = None;
    loop {
        let entry = connection.version(number)?.entry.unwrap_or_default();
        let report = WatchReport::new(number, &entry, &connection.fleet()?);
        let exit_status = report.exit_status(entry.state());
        if last_printed.as_ref() != Some(&report) {
            output.print(&report, || report.line());
            last_printed = Some(report);
        }
        if let Some(status) = exit_status {
            return Ok(status);
        }
        if started.elapsed() >= timeout {
            return Ok(ExitStatus::TimedOut);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
