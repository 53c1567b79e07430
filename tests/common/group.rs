//! A group of control services as processes, with links between them and their proxies that fail on demand.
#![allow(dead_code, unused_imports, reason = "each test uses a part of it")]

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

pub use self::node::Node;
pub use self::publisher::Publisher;
pub use self::records::{read_log, records_of_proxy};
use crate::proxy::{Launch, Proxy, free_address, wait_within};

/// Far more than anything here takes, also on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until something holds.
pub fn wait_until(what: &str, holds: impl FnMut() -> bool) {
    wait_within(TIMEOUT, what, holds);
}

/// Identifies the process that has connected: a proxy by its name, a member by its number.
fn identify(bytes: &[u8]) -> Option<String> {
    let (head, rest) = bytes.split_first_chunk::<4>()?;
    let body = rest.get(..u32::from_be_bytes(*head) as usize)?;
    match FromClient::decode(body).ok()?.said? {
        from_client::Said::Hello(hello) => Some(hello.proxy),
        from_client::Said::PeerHello(hello) => Some(hello.from?.number.to_string()),
        _ => Some("stranger".into()),
    }
}

/// Calls a service, again where the outcome is unknown; an error is the line that a command would print.
fn call_service(client: &AdminClient, request: &call::What) -> Result<reply::What, String> {
    client.call(request, Delivery::AtLeastOnce).map_err(|error| error.to_string())
}

/// A fleet of processes.
pub struct Group {
    pub net: Network,
    pub nodes: Vec<Node>,
    pub folder: tempfile::TempDir,
}

impl Group {
    /// Starts this many services as one group.
    pub fn start(services: u64) -> Self {
        let mut group =
            Group { net: Network::new(identify), nodes: Vec::new(), folder: tempfile::tempdir().unwrap() };
        for number in 1..=services {
            group.add(number);
        }
        group
    }

    /// Starts a service and has it join.
    pub fn add(&mut self, number: u64) {
        let folder = self.folder.path().join(format!("service-{number}"));
        std::fs::create_dir(&folder).unwrap();
        let (listen, operators) = (free_address(), free_address());
        let relay = self.net.relay(&number.to_string(), listen).unwrap();
        let (process, disabled_check, shell) = (None, "", String::new());
        self.add_node(Node { number, folder, listen, relay, operators, process, disabled_check, shell });
    }

    /// Starts this service and has it join.
    pub fn add_node(&mut self, mut node: Node) {
        let number = node.number;
        let (listen, operators) = (node.relay.to_string(), node.operators.to_string());
        node.start();
        self.nodes.push(node);
        if self.nodes.len() > 1 {
            let member = Member { number, listen, operators, ..Member::default() };
            self.until_done(call::What::AddMember(member));
            wait_until("the new member votes", || {
                match self.node(number).call(call::What::Members(ListMembers {})) {
                    Ok(reply::What::Members(answer)) => answer.voters.contains(&number),
                    _ => false,
                }
            });
        }
        self.lease_holder();
    }

    pub fn node(&self, number: u64) -> &Node {
        self.nodes.iter().find(|node| node.number == number).unwrap()
    }

    pub fn node_mut(&mut self, number: u64) -> &mut Node {
        self.nodes.iter_mut().find(|node| node.number == number).unwrap()
    }

    /// These services, as a command reaches them.
    pub fn service(&self, numbers: &[u64]) -> AdminClient {
        AdminClient {
            addresses: numbers.iter().map(|number| self.node(*number).operators).collect(),
            tls: None,
        }
    }

    /// Calls any service that runs, and whomever it names.
    pub fn call(&self, what: call::What) -> Result<reply::What, String> {
        let running: Vec<u64> = self.nodes.iter().filter(|it| it.runs()).map(|it| it.number).collect();
        call_service(&self.service(&running), &what)
    }

    /// Calls until it is done.
    pub fn until_done(&self, what: call::What) {
        let mut last = String::new();
        wait_until("a command is carried out", || match self.call(what.clone()) {
            Ok(_) => true,
            // It was, and the answer was lost.
            Err(why) if why.contains("is there already") || why.contains("there is no member") => true,
            Err(why) => {
                if why != last {
                    eprintln!("not yet: {why}");
                    last = why;
                }
                false
            }
        });
    }

    /// The lease holder of the role `versions` and its term, once there is one.
    pub fn lease_holder(&self) -> (u64, u64) {
        let mut owner = (0, 0);
        wait_until("a service holds the lease", || {
            if self.call(call::What::Status(Status {})).is_err() {
                return false;
            }
            owner = self.lease_holder_known_beside(0);
            owner.0 > 0
        });
        owner
    }

    /// Waits until another service than this one holds the lease.
    pub fn lease_holder_other_than(&self, old: u64) -> (u64, u64) {
        let mut owner = (0, 0);
        wait_until("another service holds the lease", || {
            owner = self.lease_holder();
            owner.0 != old
        });
        owner
    }

    /// Cuts a proxy off from these services; all its other links are open.
    pub fn partition_proxy_only_from(&self, proxy: &str, from: &[u64]) {
        for node in &self.nodes {
            match from.contains(&node.number) {
                true => self.net.partition(proxy, &node.name(), Partition::Closed),
                false => self.net.heal(proxy, &node.name()),
            }
        }
    }

    /// Cuts a service off from all other services, silently.
    pub fn isolate(&self, number: u64) {
        for other in self.nodes.iter().filter(|node| node.number != number) {
            self.net.partition(&number.to_string(), &other.name(), Partition::Silent);
        }
    }

    /// The numbers of all services but this one.
    pub fn all_except(&self, number: u64) -> Vec<u64> {
        self.nodes.iter().map(|node| node.number).filter(|it| *it != number).collect()
    }

    /// The lease holder and its term as all running services but this one know it; 0 if there is none.
    fn lease_holder_known_beside(&self, but: u64) -> (u64, u64) {
        let asked = self.nodes.iter().filter(|node| node.number != but && node.runs());
        let states = asked.flat_map(|node| node.roles()).filter(|it| it.name == "versions");
        states.max_by_key(|it| it.term).map_or((0, 0), |it| (it.owner, it.term))
    }

    /// The lease holder and its term as the others see it, once it is another than this one.
    pub fn successor_of(&self, old: u64) -> (u64, u64) {
        let mut owner = (0, 0);
        wait_until("the others know another lease holder", || {
            owner = self.lease_holder_known_beside(old);
            owner.0 > 0 && owner.0 != old
        });
        owner
    }

    /// Whether the others know of no other lease holder.
    pub fn has_no_successor(&self, old: u64) -> bool {
        let (owner, term) = self.lease_holder_known_beside(old);
        owner == old || term == 0
    }

    /// Publishes under a key; the number, and the start of the digest.
    pub fn publish(&self, document: &str, key: &str, plan: Plan) -> Result<(u64, String), String> {
        let publish = Publish {
            document: Some(text::parse(document).unwrap()),
            author: "tester".into(),
            plan: Some(plan),
            key: key.into(),
            ..Publish::default()
        };
        match self.call(call::What::Publish(publish))? {
            reply::What::Published(answer) => {
                let version = answer.version.unwrap_or_default();
                Ok((version.number, short_digest(&version.digest)))
            }
            other => Err(format!("{other:?}")),
        }
    }

    /// The same, until it is published.
    pub fn publish_until_acknowledged(&self, document: &str, key: &str, plan: Plan) -> u64 {
        let mut number = 0;
        wait_until("it is published", || {
            let answer = self.publish(document, key, plan);
            number = answer.as_ref().map_or(0, |answer| answer.0);
            answer.is_ok()
        });
        number
    }

    pub fn status(&self) -> Option<Fleet> {
        match self.call(call::What::Status(Status {})) {
            Ok(reply::What::Fleet(fleet)) => Some(fleet),
            _ => None,
        }
    }

    /// Members from which a service has received messages.
    pub fn known_members(&self, number: u64) -> Vec<u64> {
        match self.node(number).call(call::What::Members(ListMembers {})) {
            Ok(reply::What::Members(answer)) => answer.heard,
            _ => Vec::new(),
        }
    }

    pub fn transfer_role(&self, to: u64) -> Result<(), String> {
        let what = call::What::HandOver(HandOver { duty: "versions".into(), to });
        self.call(what).map(drop)
    }

    /// The state of a version, as any service that runs knows it.
    pub fn state(&self, number: u64) -> String {
        let Ok(reply::What::Versions(answer)) = self.call(call::What::List(List { most: 0 })) else {
            return String::new();
        };
        let named = |entry: &&gaugestep_config::schema::Entry| {
            entry.version.as_ref().is_some_and(|version| version.number == number)
        };
        answer.entries.iter().find(named).map_or("", |entry| entry.state().as_str_name()).into()
    }

    /// Plays a schedule of faults among the services and these proxies, and leaves all healed.
    pub fn play(&mut self, schedule: &Schedule, proxies: &[String]) {
        let name = |it: usize| (it + 1).to_string();
        for ScheduledFault { pause, fault } in &schedule.faults {
            std::thread::sleep(Duration::from_millis(250 * pause));
            match fault {
                Fault::Kill(it) => self.nodes[*it].kill(),
                Fault::Restart(it) if self.nodes[*it].process.is_none() => self.nodes[*it].start(),
                Fault::Restart(_) => {}
                Fault::Suspend(it) if self.nodes[*it].process.is_some() => self.nodes[*it].suspend(),
                Fault::Suspend(_) => {}
                Fault::Resume(it) if self.nodes[*it].process.is_some() => self.nodes[*it].resume(),
                Fault::Resume(_) => {}
                Fault::Partition(one, other, kind) => self.net.partition(&name(*one), &name(*other), *kind),
                Fault::OneWay(one, other) => {
                    let stalled = Link { forward: LinkFault::Stalled, ..Link::default() };
                    self.net.set(&name(*other), &name(*one), stalled);
                }
                Fault::Delay(one, other, delay) => {
                    let delayed = Link { forward: LinkFault::Delayed(*delay), ..Link::default() };
                    self.net.set(&name(*one), &name(*other), delayed);
                }
                Fault::Cut(one, other, bytes) => {
                    let cut = Link { forward: LinkFault::CutAfter(*bytes), ..Link::default() };
                    self.net.set(&name(*one), &name(*other), cut);
                }
                Fault::Reset(one, other) => self.net.reset(&name(*one), &name(*other)),
                Fault::ProxyCutOff(proxy, service) => {
                    self.net.partition(&proxies[*proxy], &name(*service), Partition::Silent);
                }
                Fault::TransferRole => drop(self.transfer_role(0)),
                Fault::Heal => {
                    self.net.heal_all();
                    for node in &mut self.nodes {
                        match &node.process {
                            None => node.start(),
                            Some(process) if process.is_suspended() => node.resume(),
                            Some(_) => {}
                        }
                    }
                }
            }
        }
    }

    /// Starts a proxy that follows the group, beginning with the given service.
    pub fn proxy(&self, name: &str, first: usize) -> Proxy {
        self.proxy_in(name, name, first)
    }

    /// The same, with a folder of its own.
    pub fn proxy_in(&self, name: &str, folder: &str, first: usize) -> Proxy {
        self.proxy_without("", name, folder, first)
    }

    /// The same, with a check disabled in it.
    pub fn proxy_without(
        &self,
        disabled_check: &'static str,
        name: &str,
        folder: &str,
        first: usize,
    ) -> Proxy {
        self.proxy_changed(disabled_check, name, folder, first, ("", ""))
    }

    /// The same, with one text of its configuration in place of another.
    pub fn proxy_changed(
        &self,
        disabled_check: &'static str,
        name: &str,
        folder: &str,
        first: usize,
        (from, to): (&str, &str),
    ) -> Proxy {
        let change = |text: String| if from.is_empty() { text } else { text.replace(from, to) };
        self.proxy_with(disabled_check, name, folder, first, &change)
    }

    /// The same, with any change of its configuration.
    pub fn proxy_with(
        &self,
        disabled_check: &'static str,
        name: &str,
        folder: &str,
        first: usize,
        change: &dyn Fn(String) -> String,
    ) -> Proxy {
        let state = self.folder.path().join(format!("proxy-{folder}"));
        let relays = self.nodes.iter().cycle().skip(first).take(self.nodes.len());
        let services: Vec<String> = relays.map(|node| format!("services: \"{}\"", node.relay)).collect();
        let operator = self.folder.path().join(format!("operator-{folder}.textproto"));
        let state = state.display().to_string();
        std::fs::write(&operator, format!("control {{ {} state: {state:?} }}", services.join(" "))).unwrap();
        let named = |text: String| change(text.replace(r#""name":"n0""#, &format!(r#""name":"{name}""#)));
        let log = Some(self.folder.path().join(format!("log-{folder}")));
        Launch { operator: Some(operator), log, disabled_check, change: &named, ..Launch::new(&[]) }.start()
    }

    /// Waits until these proxies have ordinals, no two the same, in a fleet of this size.
    pub fn wait_for_ordinals(&self, proxies: &[&Proxy], fleet_size: usize) {
        wait_until("every proxy has an ordinal of its own, and none is unused", || {
            let figure = |proxy: &&&Proxy| proxy.statistic("/configuration/seat/seat");
            let taken: std::collections::BTreeSet<u64> =
                proxies.iter().filter_map(|it| figure(&it)).collect();
            let answer =
                proxies.iter().all(|it| it.statistic("/configuration/seat/seats") == Some(fleet_size as u64));
            taken.len() == proxies.len() && answer
        });
    }

    /// The last line of a service's log with this message.
    pub fn last_log_line(&self, number: u64, message: &str) -> Option<Value> {
        read_log(&self.node(number).log()).into_iter().rfind(|line| line["message"] == message)
    }

    /// Lines of a proxy's log, as JSON.
    pub fn log_lines(&self, folder: &str) -> Vec<Value> {
        read_log(
            &std::fs::read_to_string(self.folder.path().join(format!("log-{folder}"))).unwrap_or_default(),
        )
    }

    /// What all processes recorded, as their logs say, and what the services hold.
    pub fn records(&self, proxies: &[&str]) -> Vec<Record> {
        let mut records = Vec::new();
        for proxy in proxies {
            records.extend(records_of_proxy(proxy, &self.log_lines(proxy)));
        }
        for node in &self.nodes {
            let service = node.name();
            for line in read_log(&node.log()) {
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
            let held = if node.runs() { node.versions() } else { Vec::new() };
            records.extend(held.into_iter().map(|(number, digest, key)| Record::Stored {
                server: service.clone(),
                number,
                digest,
                key,
            }));
        }
        records
    }

    /// Waits until all services hold the same versions.
    pub fn wait_for_equal_versions(&self) {
        wait_until("all services hold the same versions", || {
            let all: Vec<_> = self.nodes.iter().filter(|node| node.runs()).map(Node::versions).collect();
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
    /// Prints the end of every log if a test fails.
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        let mut files: Vec<PathBuf> = self.nodes.iter().map(|node| node.folder.join("log")).collect();
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
