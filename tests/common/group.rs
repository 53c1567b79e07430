//! A group of control servers as processes, with links between them and to their proxies that fail on demand.
#![allow(dead_code, unused_imports, reason = "each test uses a part of this module")]

#[path = "group/node.rs"]
mod node;
#[path = "group/publisher.rs"]
mod publisher;
#[path = "group/records.rs"]
mod records;

use std::path::PathBuf;
use std::time::Duration;

use gaugestep_config::schema::{
    Fleet, FromClient, HandOver, List, ListMembers, Member, Plan, Publish, Status, call, from_client, reply,
};
use gaugestep_config::{short_digest, text};
use gaugestep_control_plane::cli::admin_client::{AdminClient, Delivery};
use gaugestep_testbed::faults::{Fault, Schedule, ScheduledFault};
use gaugestep_testbed::leadership_audit::Record;
use gaugestep_testbed::network::{Link, LinkFault, Network, Partition};
use prost::Message as _;
use serde_json::Value;

pub use self::node::MemberProcess;
pub use self::publisher::Publisher;
pub use self::records::{read_log, records_of_proxy};
use crate::proxy::{Launch, Proxy, free_address, wait_within};

/// Far longer than any step of these tests takes, also on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until a condition holds; panics with its description after [`TIMEOUT`].
pub fn wait_until(description: &str, condition: impl FnMut() -> bool) {
    wait_within(TIMEOUT, description, condition);
}

/// Identifies the process at the other end of a connection by its first message: a proxy by its name, a
/// member by its number. `None` while the message is incomplete or cannot be decoded.
fn identify(bytes: &[u8]) -> Option<String> {
    let (head, rest) = bytes.split_first_chunk::<4>()?;
    let body = rest.get(..u32::from_be_bytes(*head) as usize)?;
    match FromClient::decode(body).ok()?.said? {
        from_client::Said::Hello(hello) => Some(hello.proxy),
        from_client::Said::PeerHello(hello) => Some(hello.from?.number.to_string()),
        _ => Some("stranger".into()),
    }
}

/// Sends an operator's call, and sends it again if the outcome is unknown. An error is the line that a
/// command would print.
fn call_control_server(client: &AdminClient, request: &call::What) -> Result<reply::What, String> {
    client.call(request, Delivery::AtLeastOnce).map_err(|error| error.to_string())
}

/// A group of control servers, and the folder with the files of its members and proxies.
pub struct Group {
    pub network: Network,
    pub members: Vec<MemberProcess>,
    pub folder: tempfile::TempDir,
}

impl Group {
    /// Starts a group of this many members.
    pub fn start(members: u64) -> Self {
        let mut group = Group {
            network: Network::new(identify),
            members: Vec::new(),
            folder: tempfile::tempdir().unwrap(),
        };
        for number in 1..=members {
            group.start_member(number);
        }
        group
    }

    /// Starts a control server and adds it to the group.
    pub fn start_member(&mut self, number: u64) {
        let folder = self.folder.path().join(format!("service-{number}"));
        std::fs::create_dir(&folder).unwrap();
        let (listen, operators) = (free_address(), free_address());
        let relay = self.network.relay(&number.to_string(), listen).unwrap();
        let (process, disabled_check, shell_prefix) = (None, "", String::new());
        self.add_member(MemberProcess {
            number,
            folder,
            listen,
            relay,
            operators,
            process,
            disabled_check,
            shell_prefix,
        });
    }

    /// Starts this member and adds it to the group: the first one on its own, a further one until it votes.
    pub fn add_member(&mut self, mut member: MemberProcess) {
        let number = member.number;
        let (listen, operators) = (member.relay.to_string(), member.operators.to_string());
        member.start();
        self.members.push(member);
        if self.members.len() > 1 {
            let member = Member { number, listen, operators, ..Member::default() };
            self.call_until_accepted(call::What::AddMember(member));
            wait_until("the new member votes", || {
                match self.member(number).call(call::What::Members(ListMembers {})) {
                    Ok(reply::What::Members(response)) => response.voters.contains(&number),
                    _ => false,
                }
            });
        }
        self.lease_holder();
    }

    pub fn member(&self, number: u64) -> &MemberProcess {
        self.members.iter().find(|member| member.number == number).unwrap()
    }

    pub fn member_mut(&mut self, number: u64) -> &mut MemberProcess {
        self.members.iter_mut().find(|member| member.number == number).unwrap()
    }

    /// A client for operator commands that calls these members.
    pub fn admin_client(&self, numbers: &[u64]) -> AdminClient {
        AdminClient {
            addresses: numbers.iter().map(|number| self.member(*number).operators).collect(),
            tls: None,
        }
    }

    /// Sends a call to the members that run, and to the member that they name.
    pub fn call(&self, what: call::What) -> Result<reply::What, String> {
        let running: Vec<u64> =
            self.members.iter().filter(|member| member.is_running()).map(|member| member.number).collect();
        call_control_server(&self.admin_client(&running), &what)
    }

    /// Sends a call until it succeeds.
    pub fn call_until_accepted(&self, what: call::What) {
        let mut last = String::new();
        wait_until("a command is carried out", || match self.call(what.clone()) {
            Ok(_) => true,
            // An earlier call succeeded and its response was lost.
            Err(error) if error.contains("is there already") || error.contains("there is no member") => true,
            Err(error) => {
                if error != last {
                    eprintln!("not yet: {error}");
                    last = error;
                }
                false
            }
        });
    }

    /// Waits until the role `versions` has a lease holder, and returns the holder and its term.
    pub fn lease_holder(&self) -> (u64, u64) {
        let mut holder = (0, 0);
        wait_until("a member holds the lease", || {
            if self.call(call::What::Status(Status {})).is_err() {
                return false;
            }
            holder = self.lease_holder_known_to_others(0);
            holder.0 > 0
        });
        holder
    }

    /// Waits until another member than this one holds the lease, and returns the holder and its term.
    pub fn lease_holder_other_than(&self, old: u64) -> (u64, u64) {
        let mut holder = (0, 0);
        wait_until("another member holds the lease", || {
            holder = self.lease_holder();
            holder.0 != old
        });
        holder
    }

    /// Partitions a proxy from these members and heals all its other links.
    pub fn partition_proxy_only_from(&self, proxy: &str, from: &[u64]) {
        for member in &self.members {
            match from.contains(&member.number) {
                true => self.network.partition(proxy, &member.name(), Partition::Closed),
                false => self.network.heal(proxy, &member.name()),
            }
        }
    }

    /// Partitions a member from all other members; messages between them are lost without an error.
    pub fn isolate(&self, number: u64) {
        for other in self.members.iter().filter(|member| member.number != number) {
            self.network.partition(&number.to_string(), &other.name(), Partition::Silent);
        }
    }

    /// The numbers of all members but this one.
    pub fn numbers_except(&self, excluded: u64) -> Vec<u64> {
        self.members.iter().map(|member| member.number).filter(|number| *number != excluded).collect()
    }

    /// The lease holder and its term of the latest term that any running member but this one reports; zeros
    /// if there is none.
    fn lease_holder_known_to_others(&self, excluded: u64) -> (u64, u64) {
        let others = self.members.iter().filter(|member| member.number != excluded && member.is_running());
        let roles = others.flat_map(|member| member.roles()).filter(|role| role.name == "versions");
        roles.max_by_key(|role| role.term).map_or((0, 0), |role| (role.owner, role.term))
    }

    /// Waits until the other members report another lease holder than this one, and returns the holder and
    /// its term.
    pub fn successor_of(&self, old: u64) -> (u64, u64) {
        let mut holder = (0, 0);
        wait_until("the other members report another lease holder", || {
            holder = self.lease_holder_known_to_others(old);
            holder.0 > 0 && holder.0 != old
        });
        holder
    }

    /// Whether the other members report no other lease holder than this one.
    pub fn has_no_successor(&self, old: u64) -> bool {
        let (holder, term) = self.lease_holder_known_to_others(old);
        holder == old || term == 0
    }

    /// Publishes a document under a key and returns the version number and the start of the digest.
    pub fn publish(&self, document: &str, key: &str, plan: Plan) -> Result<(u64, String), String> {
        let publish = Publish {
            document: Some(text::parse(document).unwrap()),
            author: "tester".into(),
            plan: Some(plan),
            key: key.into(),
            ..Publish::default()
        };
        match self.call(call::What::Publish(publish))? {
            reply::What::Published(response) => {
                let version = response.version.unwrap_or_default();
                Ok((version.number, short_digest(&version.digest)))
            }
            other => Err(format!("{other:?}")),
        }
    }

    /// Publishes a document until a call succeeds, and returns the version number.
    pub fn publish_until_acknowledged(&self, document: &str, key: &str, plan: Plan) -> u64 {
        let mut number = 0;
        wait_until("the document is published", || {
            let result = self.publish(document, key, plan);
            number = result.as_ref().map_or(0, |(number, _)| *number);
            result.is_ok()
        });
        number
    }

    pub fn status(&self) -> Option<Fleet> {
        match self.call(call::What::Status(Status {})) {
            Ok(reply::What::Fleet(fleet)) => Some(fleet),
            _ => None,
        }
    }

    /// Members from which this member has received messages.
    pub fn known_members(&self, number: u64) -> Vec<u64> {
        match self.member(number).call(call::What::Members(ListMembers {})) {
            Ok(reply::What::Members(response)) => response.heard,
            _ => Vec::new(),
        }
    }

    pub fn transfer_role(&self, to: u64) -> Result<(), String> {
        let what = call::What::HandOver(HandOver { duty: "versions".into(), to });
        self.call(what).map(drop)
    }

    /// The state of a version as the members that run report it; empty if there is no such version.
    pub fn version_state(&self, number: u64) -> String {
        let Ok(reply::What::Versions(response)) = self.call(call::What::List(List { most: 0 })) else {
            return String::new();
        };
        let named = |entry: &&gaugestep_config::schema::Entry| {
            entry.version.as_ref().is_some_and(|version| version.number == number)
        };
        response.entries.iter().find(named).map_or("", |entry| entry.state().as_str_name()).into()
    }

    /// Carries out a schedule of faults on the members and these proxies. The last fault of a schedule heals
    /// all others.
    pub fn run_schedule(&mut self, schedule: &Schedule, proxies: &[String]) {
        let name = |index: usize| (index + 1).to_string();
        for ScheduledFault { pause, fault } in &schedule.faults {
            std::thread::sleep(Duration::from_millis(250 * pause));
            match fault {
                Fault::Kill(index) => self.members[*index].kill(),
                Fault::Restart(index) if self.members[*index].process.is_none() => {
                    self.members[*index].start();
                }
                Fault::Restart(_) => {}
                Fault::Suspend(index) if self.members[*index].process.is_some() => {
                    self.members[*index].suspend();
                }
                Fault::Suspend(_) => {}
                Fault::Resume(index) if self.members[*index].process.is_some() => {
                    self.members[*index].resume();
                }
                Fault::Resume(_) => {}
                Fault::Partition(one, other, kind) => {
                    self.network.partition(&name(*one), &name(*other), *kind)
                }
                Fault::OneWay(one, other) => {
                    let stalled = Link { forward: LinkFault::Stalled, ..Link::default() };
                    self.network.set(&name(*other), &name(*one), stalled);
                }
                Fault::Delay(one, other, delay) => {
                    let delayed = Link { forward: LinkFault::Delayed(*delay), ..Link::default() };
                    self.network.set(&name(*one), &name(*other), delayed);
                }
                Fault::Cut(one, other, bytes) => {
                    let cut = Link { forward: LinkFault::CutAfter(*bytes), ..Link::default() };
                    self.network.set(&name(*one), &name(*other), cut);
                }
                Fault::Reset(one, other) => self.network.reset(&name(*one), &name(*other)),
                Fault::ProxyCutOff(proxy, member) => {
                    self.network.partition(&proxies[*proxy], &name(*member), Partition::Silent);
                }
                Fault::TransferRole => drop(self.transfer_role(0)),
                Fault::Heal => {
                    self.network.heal_all();
                    for member in &mut self.members {
                        match &member.process {
                            None => member.start(),
                            Some(process) if process.is_suspended() => member.resume(),
                            Some(_) => {}
                        }
                    }
                }
            }
        }
    }

    /// Starts a proxy that follows the group and first dials the member with this index.
    pub fn start_proxy(&self, name: &str, first: usize) -> Proxy {
        self.start_proxy_in(name, name, first)
    }

    /// Starts a proxy whose state and log lie in files named after `folder` in place of its name.
    pub fn start_proxy_in(&self, name: &str, folder: &str, first: usize) -> Proxy {
        self.start_proxy_without_check("", name, folder, first)
    }

    /// Starts a proxy with one of its checks disabled.
    pub fn start_proxy_without_check(
        &self,
        disabled_check: &'static str,
        name: &str,
        folder: &str,
        first: usize,
    ) -> Proxy {
        self.start_proxy_with_edit(disabled_check, name, folder, first, ("", ""))
    }

    /// Starts a proxy whose configuration has `to` in place of the text `from`; an empty `from` changes
    /// nothing.
    pub fn start_proxy_with_edit(
        &self,
        disabled_check: &'static str,
        name: &str,
        folder: &str,
        first: usize,
        (from, to): (&str, &str),
    ) -> Proxy {
        let edit_config = |text: String| if from.is_empty() { text } else { text.replace(from, to) };
        self.start_edited_proxy(disabled_check, name, folder, first, &edit_config)
    }

    /// Starts a proxy whose configuration is changed by `edit_config`.
    pub fn start_edited_proxy(
        &self,
        disabled_check: &'static str,
        name: &str,
        folder: &str,
        first: usize,
        edit_config: &dyn Fn(String) -> String,
    ) -> Proxy {
        let state = self.folder.path().join(format!("proxy-{folder}"));
        let relays = self.members.iter().cycle().skip(first).take(self.members.len());
        let services: Vec<String> = relays.map(|member| format!("services: \"{}\"", member.relay)).collect();
        let operator = self.folder.path().join(format!("operator-{folder}.textproto"));
        let state = state.display().to_string();
        std::fs::write(&operator, format!("control {{ {} state: {state:?} }}", services.join(" "))).unwrap();
        let named =
            |text: String| edit_config(text.replace(r#""name":"n0""#, &format!(r#""name":"{name}""#)));
        let log = Some(self.folder.path().join(format!("log-{folder}")));
        Launch { operator: Some(operator), log, disabled_check, edit_config: &named, ..Launch::new(&[]) }
            .start()
    }

    /// Waits until each of these proxies has an ordinal of its own and knows this fleet size.
    pub fn wait_for_ordinals(&self, proxies: &[&Proxy], fleet_size: usize) {
        wait_until("every proxy has an ordinal of its own, and none is unused", || {
            let ordinals: std::collections::BTreeSet<u64> =
                proxies.iter().filter_map(|proxy| proxy.statistic("/configuration/seat/seat")).collect();
            let size_known = proxies
                .iter()
                .all(|proxy| proxy.statistic("/configuration/seat/seats") == Some(fleet_size as u64));
            ordinals.len() == proxies.len() && size_known
        });
    }

    /// The last line of a member's log with this message.
    pub fn last_log_line(&self, number: u64, message: &str) -> Option<Value> {
        read_log(&self.member(number).log()).into_iter().rfind(|line| line["message"] == message)
    }

    /// The lines of the log of a proxy that was started with this folder, as JSON.
    pub fn log_lines(&self, folder: &str) -> Vec<Value> {
        read_log(
            &std::fs::read_to_string(self.folder.path().join(format!("log-{folder}"))).unwrap_or_default(),
        )
    }

    /// Records for the audit: from the logs of these proxies and of all members, and the versions that the
    /// members store.
    pub fn records(&self, proxies: &[&str]) -> Vec<Record> {
        let mut records = Vec::new();
        for proxy in proxies {
            records.extend(records_of_proxy(proxy, &self.log_lines(proxy)));
        }
        for member in &self.members {
            let service = member.name();
            for line in read_log(&member.log()) {
                let term = line["term"].as_u64().unwrap_or(0);
                match line["message"].as_str() {
                    Some("lease acquired") => {
                        let role = line["role"].as_str().unwrap_or_default().to_owned();
                        records.push(Record::LeaseAcquired { server: service.clone(), role, term });
                    }
                    Some("stale command rejected") => {
                        records.push(Record::StaleRejected { process: service.clone(), term })
                    }
                    _ => {}
                }
            }
            let stored = if member.is_running() { member.versions() } else { Vec::new() };
            records.extend(stored.into_iter().map(|(number, digest, key)| Record::Stored {
                server: service.clone(),
                number,
                digest,
                key,
            }));
        }
        records
    }

    /// Waits until all members that run store the same versions.
    pub fn wait_for_equal_versions(&self) {
        wait_until("all members store the same versions", || {
            let all: Vec<_> = self
                .members
                .iter()
                .filter(|member| member.is_running())
                .map(MemberProcess::versions)
                .collect();
            !all[0].is_empty() && all.windows(2).all(|pair| pair[0] == pair[1])
        });
    }

    /// Waits until these proxies have this version in force.
    pub fn wait_until_in_force(&self, proxies: &[Proxy], number: u64) {
        for proxy in proxies {
            wait_until("the version is in force", || {
                proxy.statistic("/configuration/version") == Some(number)
            });
        }
    }
}

impl Drop for Group {
    /// Prints the last lines of every log if the test has failed.
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        let mut files: Vec<PathBuf> = self.members.iter().map(|member| member.folder.join("log")).collect();
        let all = std::fs::read_dir(self.folder.path()).into_iter().flatten().flatten();
        files.extend(
            all.map(|file| file.path())
                .filter(|path| path.is_file() && path.to_string_lossy().contains("log-")),
        );
        for file in files {
            let log = std::fs::read_to_string(&file).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            eprintln!("--- the end of {}", file.display());
            lines[lines.len().saturating_sub(40)..].iter().for_each(|line| eprintln!("{line}"));
        }
    }
}
