//! A group of control services as processes, with links between all of them and their proxies that fail when told to.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use gaugestep_config::schema::{
    DutyState, Fleet as Told, FromClient, HandOver, List, ListDuties, ListMembers, ListSeats, Member, Plan,
    Publish, Status, call, from_client, reply,
};
use gaugestep_config::{short_digest, text};
use gaugestep_control_plane::cli::admin_client::{AdminClient, Delivery};
use gaugestep_testbed::faults::{Fault, Schedule, ScheduledFault};
use gaugestep_testbed::leadership_audit::Record;
use gaugestep_testbed::network::{Link, LinkFault, Network, Partition};
use gaugestep_testbed::process::Process;
use prost::Message as _;
use serde_json::Value;

use crate::proxy::{Launch, Proxy, free_address, wait_within};

/// Far more than anything here takes, on a machine that does much else.
const PATIENCE: Duration = Duration::from_secs(60);

/// Waits until something holds.
pub fn wait(what: &str, holds: impl FnMut() -> bool) {
    wait_within(PATIENCE, what, holds);
}

/// Who has connected: a proxy by its name, a member by its number.
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
fn call(client: &AdminClient, request: &call::What) -> Result<reply::What, String> {
    client.call(request, Delivery::AtLeastOnce).map_err(|error| error.to_string())
}

/// A control service.
pub struct Node {
    pub number: u64,
    pub folder: PathBuf,
    /// Where it listens, and where all others reach it.
    pub listen: SocketAddr,
    pub relay: SocketAddr,
    pub operators: SocketAddr,
    pub process: Option<Process>,
    /// Checks that are taken out of it.
    pub out: &'static str,
    /// What stands before its command in the shell.
    pub shell: String,
}

impl Node {
    pub fn name(&self) -> String {
        self.number.to_string()
    }

    pub fn store(&self) -> PathBuf {
        self.folder.join("versions.redb")
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Writes its file and starts it.
    pub fn start(&mut self) {
        let (config, joins) = (self.folder.join("control.textproto"), self.number > 1);
        let told = format!(
            "listen: \"{}\" operators: \"{}\" store: {:?} keep: 2000 group {{ member: {} joins: {joins} listen_as: \"{}\" }}",
            self.listen,
            self.operators,
            self.store().display().to_string(),
            self.number,
            self.relay
        );
        std::fs::write(&config, told).unwrap();
        let log =
            std::fs::OpenOptions::new().append(true).create(true).open(self.folder.join("log")).unwrap();
        let mut command = Command::new("sh");
        command.args(["-c", &format!("{} exec \"$0\" --json serve --config \"$1\"", self.shell)]);
        command.arg(env!("CARGO_BIN_EXE_gaugestep-control")).arg(&config);
        command.env("GAUGESTEP_TEST_OUT", self.out).env("GAUGESTEP_TEST_STOP", self.folder.join("stop"));
        self.process = Some(Process::start(command.stdout(Stdio::null()).stderr(log)).unwrap());
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().unwrap();
        }
    }

    pub fn stop(&mut self) {
        self.process.as_mut().unwrap().suspend().unwrap();
    }

    pub fn go_on(&mut self) {
        self.process.as_mut().unwrap().resume().unwrap();
    }

    /// Whether it runs.
    pub fn runs(&self) -> bool {
        self.process.as_ref().is_some_and(|process| !process.is_suspended())
    }

    /// Whether its process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_some_and(|process| process.exit_status().unwrap().is_some())
    }

    /// Calls this one, and whomever it names.
    pub fn call(&self, what: call::What) -> Result<reply::What, String> {
        call(&AdminClient { addresses: vec![self.operators], keys: None }, &what)
    }

    /// Names by seat, as it knows them; none while no roster is kept.
    pub fn seats(&self) -> Vec<String> {
        match self.call(call::What::Seats(ListSeats {})) {
            Ok(reply::What::Seats(told)) => told.proxies,
            _ => Vec::new(),
        }
    }

    pub fn duties(&self) -> Vec<DutyState> {
        match self.call(call::What::Duties(ListDuties {})) {
            Ok(reply::What::Duties(told)) => told.duties,
            _ => Vec::new(),
        }
    }

    /// Versions that it holds: number, digest, key.
    pub fn versions(&self) -> Vec<(u64, String, String)> {
        let Ok(reply::What::Versions(told)) = self.call(call::What::List(List { most: 0 })) else {
            return Vec::new();
        };
        let one = |entry: gaugestep_config::schema::Entry| {
            let version = entry.version.unwrap_or_default();
            (version.number, short_digest(&version.digest), entry.key)
        };
        told.entries.into_iter().map(one).collect()
    }
}

/// A fleet of processes.
pub struct Group {
    pub net: Network,
    pub nodes: Vec<Node>,
    pub folder: tempfile::TempDir,
}

impl Group {
    /// Starts so many services as one group.
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
        let (process, out, shell) = (None, "", String::new());
        self.add_node(Node { number, folder, listen, relay, operators, process, out, shell });
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
            wait("the new member votes", || {
                match self.node(number).call(call::What::Members(ListMembers {})) {
                    Ok(reply::What::Members(told)) => told.voters.contains(&number),
                    _ => false,
                }
            });
        }
        self.owner();
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
            keys: None,
        }
    }

    /// Calls any service that runs, and whomever it names.
    pub fn call(&self, what: call::What) -> Result<reply::What, String> {
        let running: Vec<u64> = self.nodes.iter().filter(|it| it.runs()).map(|it| it.number).collect();
        call(&self.service(&running), &what)
    }

    /// Calls until it is done.
    pub fn until_done(&self, what: call::What) {
        let mut last = String::new();
        wait("a command is carried out", || match self.call(what.clone()) {
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

    /// The owner of the versions and its term, once somebody acts.
    pub fn owner(&self) -> (u64, u64) {
        let mut owner = (0, 0);
        wait("somebody owns the versions", || {
            if self.call(call::What::Status(Status {})).is_err() {
                return false;
            }
            owner = self.known_owner(0);
            owner.0 > 0
        });
        owner
    }

    /// Waits until another than this one owns the versions.
    pub fn owner_but(&self, old: u64) -> (u64, u64) {
        let mut owner = (0, 0);
        wait("another one owns the versions", || {
            owner = self.owner();
            owner.0 != old
        });
        owner
    }

    /// Cuts a proxy off from these services; all other links of it are open.
    pub fn only_away(&self, proxy: &str, from: &[u64]) {
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

    /// All services but this one.
    pub fn but(&self, number: u64) -> Vec<u64> {
        self.nodes.iter().map(|node| node.number).filter(|it| *it != number).collect()
    }

    /// The owner of the versions and its term, as all that run but this one know it; nobody: 0.
    fn known_owner(&self, but: u64) -> (u64, u64) {
        let asked = self.nodes.iter().filter(|node| node.number != but && node.runs());
        let states = asked.flat_map(|node| node.duties()).filter(|it| it.name == "versions");
        states.max_by_key(|it| it.term).map_or((0, 0), |it| (it.owner, it.term))
    }

    /// The owner and its term as the others see it, once it is another than this one.
    pub fn owner_beside(&self, old: u64) -> (u64, u64) {
        let mut owner = (0, 0);
        wait("the others have another owner", || {
            owner = self.known_owner(old);
            owner.0 > 0 && owner.0 != old
        });
        owner
    }

    /// Whether nobody else is known to the others as the owner.
    pub fn owner_of(&self, old: u64) -> bool {
        let (owner, term) = self.known_owner(old);
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
            reply::What::Published(told) => {
                let version = told.version.unwrap_or_default();
                Ok((version.number, short_digest(&version.digest)))
            }
            other => Err(format!("{other:?}")),
        }
    }

    /// The same, until it is published.
    pub fn published(&self, document: &str, key: &str, plan: Plan) -> u64 {
        let mut number = 0;
        wait("it is published", || {
            let told = self.publish(document, key, plan);
            number = told.as_ref().map_or(0, |told| told.0);
            told.is_ok()
        });
        number
    }

    pub fn status(&self) -> Option<Told> {
        match self.call(call::What::Status(Status {})) {
            Ok(reply::What::Fleet(fleet)) => Some(fleet),
            _ => None,
        }
    }

    /// Members that a service has heard of.
    pub fn heard(&self, number: u64) -> Vec<u64> {
        match self.node(number).call(call::What::Members(ListMembers {})) {
            Ok(reply::What::Members(told)) => told.heard,
            _ => Vec::new(),
        }
    }

    pub fn hand_over(&self, to: u64) -> Result<(), String> {
        let what = call::What::HandOver(HandOver { duty: "versions".into(), to });
        self.call(what).map(drop)
    }

    /// The state of a version, as any service that runs knows it.
    pub fn state(&self, number: u64) -> String {
        let Ok(reply::What::Versions(told)) = self.call(call::What::List(List { most: 0 })) else {
            return String::new();
        };
        let named = |entry: &&gaugestep_config::schema::Entry| {
            entry.version.as_ref().is_some_and(|version| version.number == number)
        };
        told.entries.iter().find(named).map_or("", |entry| entry.state().as_str_name()).into()
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
                Fault::Suspend(it) if self.nodes[*it].process.is_some() => self.nodes[*it].stop(),
                Fault::Suspend(_) => {}
                Fault::Resume(it) if self.nodes[*it].process.is_some() => self.nodes[*it].go_on(),
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
                Fault::TransferRole => drop(self.hand_over(0)),
                Fault::Heal => {
                    self.net.heal_all();
                    for node in &mut self.nodes {
                        match &node.process {
                            None => node.start(),
                            Some(process) if process.is_suspended() => node.go_on(),
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

    /// The same, with a check taken out of it.
    pub fn proxy_without(&self, out: &'static str, name: &str, folder: &str, first: usize) -> Proxy {
        self.proxy_changed(out, name, folder, first, ("", ""))
    }

    /// The same, with one text of its configuration in place of another.
    pub fn proxy_changed(
        &self,
        out: &'static str,
        name: &str,
        folder: &str,
        first: usize,
        (from, to): (&str, &str),
    ) -> Proxy {
        let change = |text: String| if from.is_empty() { text } else { text.replace(from, to) };
        self.proxy_with(out, name, folder, first, &change)
    }

    /// The same, with any change of its configuration.
    pub fn proxy_with(
        &self,
        out: &'static str,
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
        Launch { operator: Some(operator), log, out, change: &named, ..Launch::new(&[]) }.start()
    }

    /// Waits until these proxies have seats, no two the same, of so many in all.
    pub fn seated(&self, proxies: &[&Proxy], seats: usize) {
        wait("every proxy has a seat of its own, and none is left over", || {
            let figure = |proxy: &&&Proxy| proxy.figure("/configuration/seat/seat");
            let taken: std::collections::BTreeSet<u64> =
                proxies.iter().filter_map(|it| figure(&it)).collect();
            let told = proxies.iter().all(|it| it.figure("/configuration/seat/seats") == Some(seats as u64));
            taken.len() == proxies.len() && told
        });
    }

    /// The last line of a service's log with this message.
    pub fn said(&self, number: u64, message: &str) -> Option<Value> {
        read(&self.node(number).log()).into_iter().rfind(|line| line["message"] == message)
    }

    /// Lines of a proxy's log, as JSON.
    pub fn lines(&self, folder: &str) -> Vec<Value> {
        read(&std::fs::read_to_string(self.folder.path().join(format!("log-{folder}"))).unwrap_or_default())
    }

    /// What all processes recorded, as their logs say, and what the services hold.
    pub fn records(&self, proxies: &[&str]) -> Vec<Record> {
        let mut records = Vec::new();
        for proxy in proxies {
            records.extend(of_proxy(proxy, &self.lines(proxy)));
        }
        for node in &self.nodes {
            let service = node.name();
            for line in read(&node.log()) {
                let term = line["term"].as_u64().unwrap_or(0);
                match line["message"].as_str() {
                    Some("lease acquired") => {
                        let role = line["role"].as_str().unwrap_or_default().to_owned();
                        records.push(Record::LeaseAcquired { service: service.clone(), role, term });
                    }
                    Some("stale command rejected") => {
                        records.push(Record::StaleRejected { at: service.clone(), term })
                    }
                    _ => {}
                }
            }
            let held = if node.runs() { node.versions() } else { Vec::new() };
            records.extend(held.into_iter().map(|(number, digest, key)| Record::Stored {
                service: service.clone(),
                number,
                digest,
                key,
            }));
        }
        records
    }

    /// Waits until all services hold the same versions.
    pub fn settled(&self) {
        wait("all services hold the same versions", || {
            let all: Vec<_> = self.nodes.iter().filter(|node| node.runs()).map(Node::versions).collect();
            !all[0].is_empty() && all.windows(2).all(|pair| pair[0] == pair[1])
        });
    }

    /// Waits until these proxies have this version in force.
    pub fn in_force(&self, proxies: &[Proxy], number: u64) {
        for proxy in proxies {
            wait("the version is in force", || proxy.figure("/configuration/version") == Some(number));
        }
    }
}

fn read(log: &str) -> Vec<Value> {
    log.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
}

/// What a proxy's log says.
pub fn of_proxy(proxy: &str, lines: &[Value]) -> Vec<Record> {
    let mut records = Vec::new();
    let mut offered = (0, 0);
    for line in lines {
        let number = |key: &str| line[key].as_u64().unwrap_or(0);
        let (proxy, digest) = (proxy.to_owned(), line["digest"].as_str().unwrap_or_default().to_owned());
        match line["message"].as_str() {
            Some("term stored") => records.push(Record::TermSeen { proxy, term: number("term") }),
            Some("version offered") => offered = (number("version"), number("term")),
            Some("version in force") => {
                let term = if offered.0 == number("version") { offered.1 } else { 0 };
                records.push(Record::InForce { proxy, number: number("version"), digest, term });
            }
            Some("starts on the last good version") => {
                records.push(Record::InForce { proxy, number: number("version"), digest, term: 0 });
            }
            _ if line["code"] == "stale-term" => {
                records.push(Record::StaleRejected { at: proxy, term: number("term") });
            }
            _ => {}
        }
    }
    records
}

/// An operator who publishes one version after the other from a thread, and remembers what it was told.
pub struct Publisher {
    ends: std::sync::Arc<AtomicBool>,
    thread: std::thread::JoinHandle<Vec<Record>>,
}

impl Publisher {
    /// Publishes a document of its own every so often, each until it is answered.
    pub fn start(service: AdminClient, every: Duration) -> Self {
        let ends = std::sync::Arc::new(AtomicBool::new(false));
        let end = ends.clone();
        let thread = std::thread::spawn(move || {
            let mut records = Vec::new();
            for at in 0.. {
                if end.load(Ordering::SeqCst) {
                    break;
                }
                let (key, document) = (format!("key-{at}"), format!("limits {{ max_open: {} }}", 10 + at));
                let publish = Publish {
                    document: Some(text::parse(&document).unwrap()),
                    key: key.clone(),
                    ..Publish::default()
                };
                // The same again until there is an answer: under one key it is one publication.
                while !end.load(Ordering::SeqCst) {
                    if let Ok(reply::What::Published(told)) =
                        service.call(&call::What::Publish(publish.clone()), Delivery::AtLeastOnce)
                    {
                        let version = told.version.unwrap_or_default();
                        let (number, digest) = (version.number, short_digest(&version.digest));
                        records.push(Record::Acknowledged { key, number, digest });
                        break;
                    }
                }
                std::thread::sleep(every);
            }
            records
        });
        Publisher { ends, thread }
    }

    /// Ends it; what it was told, in order.
    pub fn end(self) -> Vec<Record> {
        self.ends.store(true, Ordering::SeqCst);
        self.thread.join().unwrap()
    }
}

impl Drop for Group {
    /// What everybody logged, for whoever looks at a failure.
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
