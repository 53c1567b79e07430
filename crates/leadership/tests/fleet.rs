//! A seeded simulation of members, role holders and receivers with these faults: processes are suspended at
//! any point, clocks run at different rates, links lose and delay messages or are cut, the leader changes,
//! and members are removed. The replicated log is a single list, which grows after a delay and only while the
//! leader reaches a majority; other tests cover the Raft library with processes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_config::schema::act::What;
use gaugestep_config::schema::{Declare, Keep, Member};
use gaugestep_leadership::fencing::{FencingAction, FencingGuard, PersistError};
use gaugestep_leadership::group_state::{Command, GroupState, Outcome};
use gaugestep_leadership::lease::{LeaseAction, LeaseGrantor, LeaseSession, LeaseTiming};
use gaugestep_leadership::{CONFIGURATION_ROLE, NO_MEMBER, ORDINALS_ROLE, RoleHolder};
use oorandom::Rand64;

/// The members of a fleet that no member is removed from.
const MEMBERS: u64 = 3;
/// The members of a fleet from which members are removed until [`MEMBERS`] are left.
const MEMBERS_BEFORE_REMOVALS: u64 = 5;
const RECEIVERS: usize = 3;
/// The simulated duration of one step.
const STEP_MS: f64 = 20.0;
const ROLES: [&str; 2] = [CONFIGURATION_ROLE, ORDINALS_ROLE];

/// A fault in the program, which the properties of the simulation must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bug {
    None,
    /// A holder acts without a lease.
    NoHolderCheck,
    /// A holder acts without a lease, and receivers accept every message.
    NoChecks,
    /// The rates of clocks differ by far more than the drift bound.
    ExcessiveDrift,
    /// A leader reassigns roles before the holder's lease has expired.
    NoExpiryGrace,
    /// A holder that hands a role over acts until it applies the change of holder.
    LateResignation,
    /// A leader treats the roles of a removed member as if they had never been held.
    NoWaitAfterRemoval,
}

/// An entry of the replicated log.
#[derive(Clone)]
enum LogEntry {
    Command(Box<Command>),
    /// The member of this number is removed.
    Removal(u64),
}

/// A message between members and receivers.
enum Message {
    RequestLease {
        member: u64,
        number: u64,
    },
    GrantLease {
        member: u64,
        number: u64,
        committed_index: u64,
    },
    /// A message of a role holder to a receiver.
    FromHolder {
        from: u64,
        receiver: usize,
        role: &'static str,
        term: u64,
    },
}

struct Node {
    session: LeaseSession,
    grantor: LeaseGrantor,
    group_state: GroupState,
    /// The number of log entries that are applied.
    applied: usize,
    /// The rate of the clock of this member relative to simulated time.
    clock_rate: f64,
    /// The simulated time in milliseconds at which the member resumes.
    suspended_until_ms: f64,
}

#[derive(Debug, Default, PartialEq, Eq)]
struct Counters {
    /// Steps after which more than one member could act for the same role.
    two_holders: u64,
    /// Messages that were accepted with a term below one that the receiver had accepted before.
    stale_accepted: u64,
    /// Messages that were rejected for any reason.
    rejected: u64,
    accepted: u64,
    /// Removals of members that could act for a role at that time.
    holders_removed: u64,
    /// State changes by commands that member 1 applied as the last entry of the log.
    state_changes: u64,
}

struct Fleet {
    random: Rand64,
    /// Simulated time in milliseconds.
    now_ms: f64,
    bug: Bug,
    nodes: Vec<Node>,
    /// The committed entries.
    log: Vec<LogEntry>,
    /// Entries that the leader has appended, in order, with the times in milliseconds at which they are
    /// committed.
    appended: VecDeque<(f64, LogEntry)>,
    leader: Option<usize>,
    /// The members that were removed. They are not notified, and run on.
    removed: BTreeSet<usize>,
    /// Links that lose every message, as pairs of sender and recipient.
    cut_links: BTreeSet<(usize, usize)>,
    /// Messages in flight, with the time of arrival in milliseconds.
    messages_in_flight: Vec<(f64, Message)>,
    receivers: Vec<FencingGuard<u64>>,
    /// The highest accepted term of each role at each receiver.
    highest_accepted: Vec<BTreeMap<&'static str, u64>>,
    counters: Counters,
}

impl Fleet {
    fn new(seed: u64, bug: Bug, members: u64) -> Self {
        let mut random = Rand64::new(seed.into());
        let member = |number| Member { number, ..Member::default() };
        let mut group_state = GroupState::single_member(1, member(1), BTreeMap::new());
        for number in 2..=members {
            group_state.add_member(member(number));
        }
        for role in ROLES {
            group_state.apply(&Command {
                duty: role.into(),
                what: Some(What::Declare(Declare {})),
                ..Command::default()
            });
        }
        let drift = if bug == Bug::ExcessiveDrift { 0.9 } else { LeaseTiming::default().drift };
        let duration = if bug == Bug::NoExpiryGrace {
            Duration::from_millis(300)
        } else {
            LeaseTiming::default().duration
        };
        let node = |_| Node {
            session: LeaseSession::new(LeaseTiming::default(), 0),
            grantor: LeaseGrantor::new(LeaseTiming { duration, ..LeaseTiming::default() }),
            group_state: group_state.clone(),
            applied: 0,
            clock_rate: 1.0 + drift * (2.0 * random.rand_float() - 1.0),
            suspended_until_ms: 0.0,
        };
        Fleet {
            nodes: (0..members).map(node).collect(),
            random,
            now_ms: 0.0,
            bug,
            log: Vec::new(),
            appended: VecDeque::new(),
            leader: None,
            removed: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            messages_in_flight: Vec::new(),
            receivers: (0..RECEIVERS).map(|_| FencingGuard::new(BTreeMap::new())).collect(),
            highest_accepted: vec![BTreeMap::new(); RECEIVERS],
            counters: Counters::default(),
        }
    }

    /// A random number below `bound`.
    fn random_below(&mut self, bound: u64) -> u64 {
        self.random.rand_range(0..bound)
    }

    fn clock(&self, node: usize) -> Timestamp {
        let millis = self.now_ms * self.nodes[node].clock_rate;
        Timestamp::from_millis_f64(millis)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        from == to || !self.cut_links.contains(&(from, to))
    }

    /// Whether a member exchanges messages with a majority.
    fn reaches_majority(&self, node: usize) -> bool {
        let exchanges_messages = |other: &usize| {
            !self.removed.contains(other)
                && self.nodes[*other].suspended_until_ms <= self.now_ms
                && self.reaches(node, *other)
                && self.reaches(*other, node)
        };
        let voters = self.nodes.len() - self.removed.len();
        !self.removed.contains(&node) && (0..self.nodes.len()).filter(exchanges_messages).count() > voters / 2
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let max_delay_ms = if self.random_below(20) == 0 { 3_000.0 } else { 200.0 };
        let delay_ms = self.random.rand_float() * max_delay_ms;
        if self.reaches(from, to) && self.random_below(50) > 0 {
            self.messages_in_flight.push((self.now_ms + delay_ms, message));
        }
    }

    /// Appends a command if its proposer reaches the leader and the leader reaches a majority.
    fn propose(&mut self, from: usize, command: Command) {
        if self.leader.is_some_and(|leader| self.reaches_majority(leader) && self.reaches(from, leader)) {
            let command = Box::new(Command { by: from as u64 + 1, ..command });
            self.append(LogEntry::Command(command));
        }
    }

    /// Appends an entry, which is committed after a delay, and after all entries before it.
    fn append(&mut self, entry: LogEntry) {
        let max_delay_ms = if self.random_below(4) == 0 { 1_000.0 } else { 20.0 };
        let delay_ms = self.random.rand_float() * max_delay_ms;
        self.appended.push_back((self.now_ms + delay_ms, entry));
    }

    fn commit_all(&mut self) {
        self.log.extend(self.appended.drain(..).map(|(_, entry)| entry));
    }

    /// Commits the entries that are due while the leader reaches a majority. A new leader commits all entries
    /// of its predecessor before it leads.
    fn commit(&mut self) {
        let can_commit = self.leader.is_some_and(|leader| self.reaches_majority(leader));
        while can_commit && self.appended.front().is_some_and(|(due_ms, _)| *due_ms <= self.now_ms) {
            self.log.extend(self.appended.pop_front().map(|(_, entry)| entry));
        }
    }

    /// Commits the removal of a member that may be suspended or cut off, if the leader reaches a majority.
    fn remove(&mut self, node: usize) {
        let is_committed = self.leader.is_some_and(|leader| self.reaches_majority(leader));
        if !is_committed || !self.removed.insert(node) {
            return;
        }
        self.counters.holders_removed += u64::from(ROLES.iter().any(|role| self.may_act(node, role)));
        self.commit_all();
        self.log.push(LogEntry::Removal(node as u64 + 1));
        self.leader = self.leader.filter(|leader| *leader != node);
    }

    /// Removes the holder of a role or any member, until [`MEMBERS`] are left.
    fn inject_removal(&mut self) {
        let remaining = self.nodes.len() - self.removed.len();
        if remaining <= MEMBERS as usize || self.random_below(150) > 0 {
            return;
        }
        let holder = (0..self.nodes.len()).find(|node| self.may_act(*node, ROLES[0]));
        let any = self.random_below(self.nodes.len() as u64) as usize;
        let node = holder.filter(|_| self.random_below(4) > 0).unwrap_or(any);
        match self.random_below(4) {
            0 => self.nodes[node].suspended_until_ms = self.now_ms + self.random.rand_float() * 3_000.0,
            1 => self.cut_links.extend((0..self.nodes.len()).map(|other| (other, node))),
            _ => {}
        }
        self.remove(node);
    }

    /// Whether a member may act for a role, as far as it knows.
    fn may_act(&self, node: usize, role: &str) -> bool {
        let Node { session, group_state, applied, .. } = &self.nodes[node];
        let holder = group_state.holder(role);
        let is_holder = holder.member == node as u64 + 1;
        is_holder && session.may_act(self.clock(node), *applied as u64, role, holder.term)
    }

    fn inject_fault(&mut self) {
        let node = self.random_below(self.nodes.len() as u64) as usize;
        let other = self.random_below(self.nodes.len() as u64) as usize;
        match self.random_below(600) {
            0..3 => {
                let resume_ms = self.now_ms + 200.0 + self.random.rand_float() * 9_000.0;
                self.nodes[node].suspended_until_ms = resume_ms;
            }
            3..6 if node != other => {
                self.cut_links.insert((node, other));
            }
            6 | 7 if node != other => self.cut_links.extend([(node, other), (other, node)]),
            8..12 => self.cut_links.clear(),
            12 => {
                // A receiver restarts with the terms that it persisted.
                let receiver = self.random_below(RECEIVERS as u64) as usize;
                let persisted_terms = self.receivers[receiver].terms().clone();
                self.receivers[receiver] = FencingGuard::new(persisted_terms);
            }
            13 => {
                let holder = self.nodes[node].group_state.holder(ROLES[0]);
                if holder.member == node as u64 + 1 {
                    self.hand_over(node, ROLES[0], holder.term, other as u64 + 1);
                }
            }
            _ => {}
        }
        // A new leader may be elected once the leader does not reach a majority or is suspended.
        let needs_election = self.leader.is_none_or(|leader| {
            !self.reaches_majority(leader) || self.nodes[leader].suspended_until_ms > self.now_ms
        });
        if needs_election && self.random_below(40) == 0 {
            self.commit_all();
            self.leader = (0..self.nodes.len()).find(|node| {
                self.reaches_majority(*node) && self.nodes[*node].suspended_until_ms <= self.now_ms
            });
            // A member that leads again has stepped down before it was elected.
            if let Some(leader) = self.leader {
                let clock = self.clock(leader);
                self.nodes[leader].grantor.set_leading(clock, false);
            }
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.inject_fault();
        self.inject_removal();
        self.commit();
        let messages = std::mem::take(&mut self.messages_in_flight);
        let (due, later): (Vec<_>, Vec<_>) =
            messages.into_iter().partition(|(arrival_ms, _)| *arrival_ms <= self.now_ms);
        self.messages_in_flight = later;
        for (_, message) in due {
            self.deliver(message);
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].suspended_until_ms <= self.now_ms {
                self.run_node(node);
            }
        }
        for role in ROLES {
            let acting = (0..self.nodes.len()).filter(|node| self.may_act(*node, role));
            self.counters.two_holders += u64::from(acting.count() > 1);
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::RequestLease { member, number } => {
                let Some(leader) =
                    self.leader.filter(|leader| self.nodes[*leader].suspended_until_ms <= self.now_ms)
                else {
                    return;
                };
                let clock = self.clock(leader);
                self.nodes[leader].grantor.on_request(clock, member, number);
            }
            Message::GrantLease { member, number, committed_index } => {
                self.nodes[member as usize - 1].session.on_granted(number, committed_index);
            }
            Message::FromHolder { from, receiver: to, role, term } => {
                let mut actions = self.receivers[to].check(role, term, from);
                while let Some(action) = (!actions.is_empty()).then(|| actions.remove(0)) {
                    match action {
                        FencingAction::Persist(_) => {
                            let succeeds = self.random_below(30) > 0;
                            let result = if succeeds { Ok(()) } else { Err(PersistError::new("full")) };
                            actions.extend(self.receivers[to].on_persisted(result));
                        }
                        FencingAction::Accept(_) => self.accept(to, role, term),
                        FencingAction::Reject(..) if self.bug == Bug::NoChecks => self.accept(to, role, term),
                        FencingAction::Reject(..) => self.counters.rejected += 1,
                    }
                }
            }
        }
    }

    fn accept(&mut self, to: usize, role: &'static str, term: u64) {
        let highest = self.highest_accepted[to].entry(role).or_default();
        self.counters.stale_accepted += u64::from(term < *highest);
        *highest = (*highest).max(term);
        self.counters.accepted += 1;
    }

    /// Applies the committed entries if the leader reaches the member.
    fn apply_committed(&mut self, node: usize) {
        if !self.removed.contains(&node) && self.leader.is_some_and(|leader| self.reaches(leader, node)) {
            for index in self.nodes[node].applied..self.log.len() {
                let command = match self.log[index].clone() {
                    LogEntry::Command(command) => command,
                    LogEntry::Removal(member) => {
                        self.nodes[node].group_state.remove_member(member);
                        continue;
                    }
                };
                let (outcome, changes) = self.nodes[node].group_state.apply(&command);
                let is_counted = index + 1 == self.log.len() && node == 0;
                if is_counted && outcome == Outcome::Applied {
                    self.counters.state_changes += changes.len() as u64;
                }
            }
            self.nodes[node].applied = self.log.len();
        }
    }

    fn run_node(&mut self, node: usize) {
        self.apply_committed(node);
        let clock = self.clock(node);
        if let (Some(number), Some(leader)) = (self.nodes[node].session.next_request(clock), self.leader) {
            self.send(node, leader, Message::RequestLease { member: node as u64 + 1, number });
        }
        let leads = self.leader == Some(node) && self.nodes[node].applied == self.log.len();
        self.nodes[node].grantor.set_leading(clock, leads);
        let declared = self.nodes[node].group_state.roles.keys();
        let roles = declared.map(|role| (role.clone(), self.holder_seen_by_leader(node, role))).collect();
        let members: BTreeSet<u64> = self.nodes[node].group_state.members.keys().copied().collect();
        let actions = self.nodes[node].grantor.tick(clock, &roles, &members);
        self.carry_out(node, actions);
        let own_number = node as u64 + 1;
        let Node { session, group_state, .. } = &mut self.nodes[node];
        let held_roles = group_state.roles_of(own_number).map(|role| (role.name.as_str(), role.term));
        for (role, term) in session.stalled_handovers(clock, held_roles) {
            self.propose(
                node,
                Command { duty: role, term, what: Some(What::Raise(term)), ..Command::default() },
            );
        }
        for role in ROLES {
            let Node { session, group_state, applied, .. } = &self.nodes[node];
            let holder = group_state.holder(role);
            let has_lease = session.may_act(clock, *applied as u64, role, holder.term);
            let ignores_lease = matches!(self.bug, Bug::NoHolderCheck | Bug::NoChecks);
            if holder.member == own_number && (has_lease || ignores_lease) && self.random_below(10) == 0 {
                let to = self.random_below(RECEIVERS as u64) as usize;
                // The lease may expire after the check, because the message may be delayed by seconds.
                self.send(
                    node,
                    node,
                    Message::FromHolder { from: holder.member, receiver: to, role, term: holder.term },
                );
                let keep = Keep { state: vec![1], order: self.now_ms as u64 };
                self.propose(
                    node,
                    Command {
                        duty: role.into(),
                        term: holder.term,
                        what: Some(What::Keep(keep)),
                        ..Command::default()
                    },
                );
            }
        }
    }

    /// The holder of a role as a leader passes it to its grantor.
    fn holder_seen_by_leader(&self, node: usize, role: &str) -> RoleHolder {
        let holder = self.nodes[node].group_state.holder(role);
        if self.bug == Bug::NoWaitAfterRemoval && holder.member == NO_MEMBER {
            return RoleHolder::default();
        }
        holder
    }

    fn hand_over(&mut self, from: usize, role: &str, term: u64, to: u64) {
        let clock = self.clock(from);
        if self.bug != Bug::LateResignation {
            self.nodes[from].session.resign(clock, role, term);
        }
        let operation = What::HandOver(to);
        self.propose(from, Command { duty: role.into(), term, what: Some(operation), ..Command::default() });
    }

    fn carry_out(&mut self, node: usize, actions: Vec<LeaseAction>) {
        for action in actions {
            match action {
                LeaseAction::ConfirmLeadership(number)
                    if self.reaches_majority(node) && self.leader == Some(node) =>
                {
                    let granted = self.nodes[node].grantor.on_confirmed(number);
                    self.carry_out(node, granted);
                }
                LeaseAction::ConfirmLeadership(_) => {}
                LeaseAction::Grant { member, number } => {
                    let committed_index = self.log.len() as u64;
                    self.send(
                        node,
                        member as usize - 1,
                        Message::GrantLease { member, number, committed_index },
                    );
                }
                LeaseAction::Assign { role, term, to } => {
                    let term = match self.bug {
                        // With this bug, the grantor was given no term.
                        Bug::NoWaitAfterRemoval => self.nodes[node].group_state.holder(&role).term,
                        _ => term,
                    };
                    self.propose(
                        node,
                        Command { duty: role, term, what: Some(What::Assign(to)), ..Command::default() },
                    );
                }
                LeaseAction::RequestHandOver { role, term, from, to } => {
                    let expected = RoleHolder { member: from, term };
                    let holder_node = from as usize - 1;
                    let holder = self.nodes[holder_node].group_state.holder(&role);
                    if self.reaches(node, holder_node) && holder == expected {
                        self.hand_over(holder_node, &role, term, to);
                    }
                }
            }
        }
    }
}

/// Runs the simulation for 4000 steps, which are 80 simulated seconds.
fn simulate(seed: u64, bug: Bug) -> Counters {
    let mut fleet = Fleet::new(seed, bug, MEMBERS);
    for _ in 0..4_000 {
        fleet.step();
    }
    fleet.counters
}

/// Runs a simulation of 16 simulated seconds in which two of five members are removed.
fn simulate_removals(seed: u64, bug: Bug) -> Counters {
    let mut fleet = Fleet::new(seed, bug, MEMBERS_BEFORE_REMOVALS);
    for _ in 0..800 {
        fleet.step();
    }
    fleet.counters
}

/// Without a bug, no fault lets two members act for one role or lets a receiver accept a message with a stale
/// term.
#[test]
fn faults_never_cause_two_holders_or_an_accepted_stale_message() {
    let mut total = Counters::default();
    for seed in 0..200 {
        let counters = simulate(seed, Bug::None);
        assert_eq!((counters.two_holders, counters.stale_accepted), (0, 0), "seed {seed}: {counters:?}");
        total.accepted += counters.accepted;
        total.rejected += counters.rejected;
        total.state_changes += counters.state_changes;
    }
    assert!(total.accepted > 50_000 && total.rejected > 100 && total.state_changes > 1_000, "{total:?}");
    assert_eq!(simulate(7, Bug::None), simulate(7, Bug::None), "a run with the same seed is identical");
}

/// Guards against a removed holder that acts beside its successor, whether it is slow, suspended or cut off.
#[test]
fn removed_members_never_act_beside_their_successors() {
    const THREADS: u64 = 4;
    let holders_removed = |seed| {
        let counters = simulate_removals(seed, Bug::None);
        assert_eq!((counters.two_holders, counters.stale_accepted), (0, 0), "seed {seed}: {counters:?}");
        counters.holders_removed
    };
    let total: u64 = std::thread::scope(|scope| {
        let seeds_of = |thread| (thread..1_000).step_by(THREADS as usize);
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| scope.spawn(move || seeds_of(thread).map(holders_removed).sum::<u64>()))
            .collect();
        threads.into_iter().map(|thread| thread.join().expect("a thread has failed")).sum()
    });
    assert!(total > 500, "{total} holders were removed");
}

/// Fencing does not depend on leases: no stale message is accepted if holders ignore their leases or clocks
/// exceed the drift bound.
#[test]
fn without_lease_checks_and_with_excessive_drift_no_stale_message_is_accepted() {
    for bug in [Bug::NoHolderCheck, Bug::ExcessiveDrift] {
        let (mut rejected, mut two_holders) = (0, 0);
        for seed in 0..60 {
            let counters = simulate(seed, bug);
            assert_eq!(counters.stale_accepted, 0, "seed {seed} {bug:?}: {counters:?}");
            rejected += counters.rejected;
            two_holders += counters.two_holders;
        }
        assert!(rejected > 0, "{bug:?}");
        assert!(bug != Bug::ExcessiveDrift || two_holders > 0, "clocks beyond the bound lead to two holders");
    }
}

/// The properties detect a missing check within 20 seeds.
#[test]
fn each_missing_check_is_detected() {
    let detected =
        |bug, is_violated: fn(&Counters) -> bool| (0..20).any(|seed| is_violated(&simulate(seed, bug)));
    assert!(detected(Bug::NoChecks, |counters| counters.stale_accepted > 0));
    assert!(detected(Bug::NoExpiryGrace, |counters| counters.two_holders > 0));
    assert!(detected(Bug::LateResignation, |counters| counters.two_holders > 0));
    assert!((0..20).any(|seed| simulate_removals(seed, Bug::NoWaitAfterRemoval).two_holders > 0));
}
