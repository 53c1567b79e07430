//! A simulation of members, role holders and receivers from seeds: suspensions at any point, clocks of different rates,
//! links that lose, delay and cut messages, changes of leader. The replicated log is one list that a majority must reach;
//! the Raft library itself is tested with processes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_config::schema::act::What;
use gaugestep_config::schema::{Declare, Keep, Member};
use gaugestep_leadership::fencing::{FencingAction, FencingGuard, PersistError};
use gaugestep_leadership::group_state::{Command, GroupState, Outcome};
use gaugestep_leadership::lease::{LeaseAction, LeaseGrantor, LeaseSession, LeaseTiming};
use gaugestep_leadership::{CONFIGURATION_ROLE, ORDINALS_ROLE, RoleHolder};
use oorandom::Rand64;

const MEMBERS: u64 = 3;
const RECEIVERS: usize = 3;
/// Simulated milliseconds of one step.
const STEP: f64 = 20.0;
const ROLES: [&str; 2] = [CONFIGURATION_ROLE, ORDINALS_ROLE];

/// A fault that the properties must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bug {
    None,
    /// A holder acts without a lease.
    NoHolderCheck,
    /// The same, and receivers accept every message.
    NoChecks,
    /// Clocks differ by far more than the bound.
    ExcessiveDrift,
    /// A leader reassigns roles before the holder's lease has expired.
    NoExpiryGrace,
    /// A holder that hands over acts until it learns that another holds the role.
    LateResignation,
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
        committed: u64,
    },
    /// From a holder to a receiver.
    Act {
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
    applied: usize,
    /// The rate of its clock.
    clock_rate: f64,
    suspended_until: f64,
}

#[derive(Debug, Default, PartialEq, Eq)]
struct Seen {
    /// Moments at which two members could act for one role.
    two_holders: u64,
    /// Messages accepted under a term below one that the receiver had accepted before.
    stale_accepted: u64,
    stale_rejected: u64,
    accepted: u64,
    changes: u64,
}

struct Fleet {
    random: Rand64,
    now: f64,
    bug: Bug,
    nodes: Vec<Node>,
    /// The committed commands.
    log: Vec<Command>,
    leader: Option<usize>,
    cut: BTreeSet<(usize, usize)>,
    /// Messages under way, with the time of arrival.
    messages: Vec<(f64, Message)>,
    receivers: Vec<FencingGuard<u64>>,
    /// The highest term of each role that a receiver has accepted.
    accepted: Vec<BTreeMap<&'static str, u64>>,
    seen: Seen,
}

impl Fleet {
    fn new(seed: u64, bug: Bug) -> Self {
        let mut random = Rand64::new(seed.into());
        let member = |number| Member { number, ..Member::default() };
        let mut group_state = GroupState::single_member(1, member(1), BTreeMap::new());
        (2..=MEMBERS).for_each(|number| drop(group_state.add_member(member(number))));
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
            suspended_until: 0.0,
        };
        Fleet {
            nodes: (0..MEMBERS).map(node).collect(),
            random,
            now: 0.0,
            bug,
            log: Vec::new(),
            leader: None,
            cut: BTreeSet::new(),
            messages: Vec::new(),
            receivers: (0..RECEIVERS).map(|_| FencingGuard::new(BTreeMap::new())).collect(),
            accepted: vec![BTreeMap::new(); RECEIVERS],
            seen: Seen::default(),
        }
    }

    fn below(&mut self, most: u64) -> u64 {
        self.random.rand_range(0..most)
    }

    fn clock(&self, node: usize) -> Timestamp {
        let millis = self.now * self.nodes[node].clock_rate;
        Timestamp::from_millis_f64(millis)
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        from == to || !self.cut.contains(&(from, to))
    }

    /// Whether a member exchanges messages with a majority.
    fn reaches_majority(&self, node: usize) -> bool {
        let both = |other: &usize| {
            self.nodes[*other].suspended_until <= self.now
                && self.reaches(node, *other)
                && self.reaches(*other, node)
        };
        (0..self.nodes.len()).filter(both).count() > self.nodes.len() / 2
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let late = if self.below(20) == 0 { 3_000.0 } else { 200.0 };
        let after = self.random.rand_float() * late;
        if self.reaches(from, to) && self.below(50) > 0 {
            self.messages.push((self.now + after, message));
        }
    }

    /// Commits a command, if its proposer reaches the leader and the leader a majority.
    fn propose(&mut self, from: usize, command: Command) {
        if self.leader.is_some_and(|leader| self.reaches_majority(leader) && self.reaches(from, leader)) {
            self.log.push(Command { by: from as u64 + 1, ..command });
        }
    }

    fn inject_fault(&mut self) {
        let (one, other) = (self.below(MEMBERS) as usize, self.below(MEMBERS) as usize);
        match self.below(600) {
            0..3 => self.nodes[one].suspended_until = self.now + 200.0 + self.random.rand_float() * 9_000.0,
            3..6 if one != other => drop(self.cut.insert((one, other))),
            6 | 7 if one != other => self.cut.extend([(one, other), (other, one)]),
            8..12 => self.cut.clear(),
            12 => {
                // A receiver restarts with the terms that it persisted.
                let which = self.below(RECEIVERS as u64) as usize;
                self.receivers[which] = FencingGuard::new(self.receivers[which].terms().clone());
            }
            13 => {
                let holder = self.nodes[one].group_state.holder(ROLES[0]);
                if holder.member == one as u64 + 1 {
                    self.hand_over(one, ROLES[0], holder.term, other as u64 + 1);
                }
            }
            _ => {}
        }
        // An election, once the leader reaches no majority or is suspended.
        let leaderless = self.leader.is_none_or(|leader| {
            !self.reaches_majority(leader) || self.nodes[leader].suspended_until > self.now
        });
        if leaderless && self.below(40) == 0 {
            self.leader = (0..self.nodes.len())
                .find(|node| self.reaches_majority(*node) && self.nodes[*node].suspended_until <= self.now);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.inject_fault();
        let messages = std::mem::take(&mut self.messages);
        let (due, later): (Vec<_>, Vec<_>) = messages.into_iter().partition(|(at, _)| *at <= self.now);
        self.messages = later;
        for (_, message) in due {
            self.deliver(message);
        }
        for node in 0..self.nodes.len() {
            if self.nodes[node].suspended_until <= self.now {
                self.run_node(node);
            }
        }
        for role in ROLES {
            let acting = (0..self.nodes.len()).filter(|node| {
                let (now, one) = (self.clock(*node), &self.nodes[*node]);
                let holder = one.group_state.holder(role);
                holder.member == *node as u64 + 1
                    && one.session.may_act(now, one.applied as u64, role, holder.term)
            });
            self.seen.two_holders += u64::from(acting.count() > 1);
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::RequestLease { member, number } => {
                let Some(leader) =
                    self.leader.filter(|leader| self.nodes[*leader].suspended_until <= self.now)
                else {
                    return;
                };
                let clock = self.clock(leader);
                self.nodes[leader].grantor.on_request(clock, member, number);
            }
            Message::GrantLease { member, number, committed } => {
                self.nodes[member as usize - 1].session.on_granted(number, committed);
            }
            Message::Act { from, receiver: to, role, term } => {
                let mut actions = self.receivers[to].check(role, term, from);
                while let Some(action) = (!actions.is_empty()).then(|| actions.remove(0)) {
                    match action {
                        FencingAction::Persist(_) => {
                            let stored =
                                if self.below(30) > 0 { Ok(()) } else { Err(PersistError::new("full")) };
                            actions.extend(self.receivers[to].on_persisted(stored));
                        }
                        FencingAction::Accept(_) => self.accept(to, role, term),
                        FencingAction::Reject(..) if self.bug == Bug::NoChecks => self.accept(to, role, term),
                        FencingAction::Reject(..) => self.seen.stale_rejected += 1,
                    }
                }
            }
        }
    }

    fn accept(&mut self, to: usize, role: &'static str, term: u64) {
        let highest = self.accepted[to].entry(role).or_default();
        self.seen.stale_accepted += u64::from(term < *highest);
        *highest = (*highest).max(term);
        self.seen.accepted += 1;
    }

    fn run_node(&mut self, node: usize) {
        // It applies what is committed, if the leader reaches it.
        if self.leader.is_some_and(|leader| self.reaches(leader, node)) {
            for at in self.nodes[node].applied..self.log.len() {
                let command = self.log[at].clone();
                let (outcome, changes) = self.nodes[node].group_state.apply(&command);
                let first = at + 1 == self.log.len() && node == 0;
                if first && outcome == Outcome::Applied {
                    self.seen.changes += changes.len() as u64;
                }
            }
            self.nodes[node].applied = self.log.len();
        }
        let clock = self.clock(node);
        if let (Some(number), Some(leader)) = (self.nodes[node].session.next_request(clock), self.leader) {
            self.send(node, leader, Message::RequestLease { member: node as u64 + 1, number });
        }
        let leads = self.leader == Some(node) && self.nodes[node].applied == self.log.len();
        self.nodes[node].grantor.set_leading(clock, leads);
        let declared = self.nodes[node].group_state.roles.keys();
        let roles = declared.map(|role| (role.clone(), self.nodes[node].group_state.holder(role))).collect();
        let members: BTreeSet<u64> = (1..=MEMBERS).collect();
        let actions = self.nodes[node].grantor.tick(clock, &roles, &members);
        self.carry_out(node, actions);
        let own = node as u64 + 1;
        let Node { session, group_state, .. } = &mut self.nodes[node];
        let held = group_state.roles_of(own).map(|role| (role.name.as_str(), role.term));
        for (role, term) in session.stalled_handovers(clock, held) {
            self.propose(
                node,
                Command { duty: role, term, what: Some(What::Raise(term)), ..Command::default() },
            );
        }
        for role in ROLES {
            let one = &self.nodes[node];
            let holder = one.group_state.holder(role);
            let leased = one.session.may_act(clock, one.applied as u64, role, holder.term);
            let unchecked = matches!(self.bug, Bug::NoHolderCheck | Bug::NoChecks);
            if holder.member == own && (leased || unchecked) && self.below(10) == 0 {
                let to = self.below(RECEIVERS as u64) as usize;
                // Anything may happen after the check: the message may be late by seconds.
                self.send(
                    node,
                    node,
                    Message::Act { from: holder.member, receiver: to, role, term: holder.term },
                );
                let keep = Keep { state: vec![1], order: self.now as u64 };
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

    fn hand_over(&mut self, from: usize, role: &str, term: u64, to: u64) {
        let clock = self.clock(from);
        if self.bug != Bug::LateResignation {
            self.nodes[from].session.resign(clock, role, term);
        }
        let what = Some(What::HandOver(to));
        self.propose(from, Command { duty: role.into(), term, what, ..Command::default() });
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
                    let committed = self.log.len() as u64;
                    self.send(node, member as usize - 1, Message::GrantLease { member, number, committed });
                }
                LeaseAction::Assign { role, term, to } => {
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

fn play(seed: u64, bug: Bug) -> Seen {
    let mut fleet = Fleet::new(seed, bug);
    for _ in 0..4_000 {
        fleet.step();
    }
    fleet.seen
}

/// Eighty seconds each of a fleet whose parts fail: never two holders, no message of an old term is accepted.
#[test]
fn hundreds_of_seeds_have_one_holder_at_a_time() {
    let mut all = Seen::default();
    for seed in 0..200 {
        let seen = play(seed, Bug::None);
        assert_eq!((seen.two_holders, seen.stale_accepted), (0, 0), "seed {seed}: {seen:?}");
        all.accepted += seen.accepted;
        all.stale_rejected += seen.stale_rejected;
        all.changes += seen.changes;
    }
    assert!(all.accepted > 50_000 && all.stale_rejected > 100 && all.changes > 1_000, "{all:?}");
    assert_eq!(play(7, Bug::None), play(7, Bug::None), "a seed replays");
}

/// The fence alone: holders that ignore their leases, and clocks far beyond the bound, do no harm.
#[test]
fn without_lease_checks_and_with_excessive_drift_no_stale_message_is_accepted() {
    for bug in [Bug::NoHolderCheck, Bug::ExcessiveDrift] {
        let (mut rejected, mut two_holders) = (0, 0);
        for seed in 0..60 {
            let seen = play(seed, bug);
            assert_eq!(seen.stale_accepted, 0, "seed {seed} {bug:?}: {seen:?}");
            rejected += seen.stale_rejected;
            two_holders += seen.two_holders;
        }
        assert!(rejected > 0, "{bug:?}");
        assert!(bug != Bug::ExcessiveDrift || two_holders > 0, "clocks beyond the bound do defeat leases");
    }
}

/// Each missing check is detected within a few seeds.
#[test]
fn each_missing_check_is_detected() {
    let detected = |bug, broken: fn(&Seen) -> bool| (0..20).any(|seed| broken(&play(seed, bug)));
    assert!(detected(Bug::NoChecks, |seen| seen.stale_accepted > 0));
    assert!(detected(Bug::NoExpiryGrace, |seen| seen.two_holders > 0));
    assert!(detected(Bug::LateResignation, |seen| seen.two_holders > 0));
}
