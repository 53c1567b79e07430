//! A stateright model of role holders, terms and a receiver: holders may be suspended at any point, also between the check
//! of their lease and the message; messages arrive in any order and more than once; the receiver restarts, and its disk
//! fails. The group state and the receiver's fence are the program's own.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use gaugestep_config::schema::act::What;
use gaugestep_config::schema::{Keep, Member};
use gaugestep_leadership::fencing::{FencingAction, FencingGuard, PersistError};
use gaugestep_leadership::group_state::{Command, GroupState, Outcome};
use gaugestep_leadership::{CONFIGURATION_ROLE, RoleHolder};
use prost::Message as _;
use stateright::{Checker, Model, Property};

/// A fault in the program, in a variant of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bug {
    None,
    /// The receiver accepts every message.
    NoCheck,
    /// The receiver accepts a message before its term is persisted.
    AcceptsBeforePersisting,
    /// A new holder continues under the term of the old one.
    TermReused,
    /// The replicated state ignores the term of a command.
    StateIgnoresTerm,
}

/// The group state, hashed by its stored form.
#[derive(Clone, Debug)]
struct HashedState(GroupState);

impl PartialEq for HashedState {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}
impl Eq for HashedState {}
impl Hash for HashedState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.to_stored().encode_to_vec().hash(state);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    group_state: HashedState,
    /// The term under which each member believed_terms that it holds the role; 0: it does not.
    believed_terms: [u64; 2],
    /// Messages under way, by member and term. They stay, as a message may arrive twice.
    sent: BTreeSet<(u64, u64)>,
    guard: FencingGuard<(u64, u64)>,
    /// A term is being persisted.
    persisting: bool,
    /// Terms of the messages that were accepted, in order.
    accepted: Vec<u64>,
    /// Terms under which the role's state was written, in order.
    written: Vec<u64>,
    /// Each term with its holder.
    holders: BTreeSet<(u64, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Assign(u64),
    Learn(u64),
    Send(u64),
    Deliver(u64, u64),
    Persisted(bool),
    Restart,
    Write(u64),
}

struct World {
    bug: Bug,
    terms: u64,
}

impl World {
    fn carry_out(&self, state: &mut State, actions: Vec<FencingAction<(u64, u64)>>) {
        for action in actions {
            match action {
                FencingAction::Persist(_) => state.persisting = true,
                FencingAction::Accept((_, term)) => state.accepted.push(term),
                FencingAction::Reject((_, term), _) if self.bug == Bug::NoCheck => state.accepted.push(term),
                FencingAction::Reject(..) => {}
            }
        }
    }

    /// A leader assigns the role to a member.
    fn assign(&self, state: &mut State, to: u64) {
        let term = state.group_state.0.holder(CONFIGURATION_ROLE).term;
        let command = Command {
            duty: CONFIGURATION_ROLE.into(),
            term,
            what: Some(What::Assign(to)),
            ..Command::default()
        };
        assert_eq!(state.group_state.0.apply(&command).0, Outcome::Applied);
        if self.bug == Bug::TermReused {
            if let Some(role) = state.group_state.0.roles.get_mut(CONFIGURATION_ROLE) {
                role.term = term.max(1);
            }
        }
    }

    /// A member writes the role's state under the term that it believes in.
    fn write(&self, state: &mut State, member: u64) {
        let term = state.believed_terms[member as usize - 1];
        let blind = self.bug == Bug::StateIgnoresTerm;
        let RoleHolder { member: holder, term: current } = state.group_state.0.holder(CONFIGURATION_ROLE);
        let command = Command {
            duty: CONFIGURATION_ROLE.into(),
            term: if blind { current } else { term },
            by: if blind { holder } else { member },
            what: Some(What::Keep(Keep { state: vec![1], order: 1 })),
        };
        if state.group_state.0.apply(&command).0 == Outcome::Applied {
            state.written.push(term);
        }
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let member = |number| Member { number, ..Member::default() };
        let mut group = GroupState::single_member(1, member(1), BTreeMap::new());
        group.add_member(member(2));
        vec![State {
            group_state: HashedState(group),
            believed_terms: [0; 2],
            sent: BTreeSet::new(),
            guard: FencingGuard::new(BTreeMap::new()),
            persisting: false,
            accepted: Vec::new(),
            written: Vec::new(),
            holders: BTreeSet::new(),
        }]
    }

    fn actions(&self, state: &State, out: &mut Vec<Step>) {
        for member in [1, 2] {
            if state.group_state.0.holder(CONFIGURATION_ROLE).term < self.terms {
                out.push(Step::Assign(member));
            }
            out.push(Step::Learn(member));
            if state.believed_terms[member as usize - 1] > 0 {
                out.push(Step::Send(member));
                out.push(Step::Write(member));
            }
        }
        out.extend(state.sent.iter().map(|(member, term)| Step::Deliver(*member, *term)));
        if state.persisting {
            out.extend([Step::Persisted(true), Step::Persisted(false)]);
        }
        out.push(Step::Restart);
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Assign(to) => self.assign(&mut state, to),
            Step::Learn(member) => {
                let RoleHolder { member: holder, term } = state.group_state.0.holder(CONFIGURATION_ROLE);
                // A member that learns that it holds nothing stops; one that learns nothing continues.
                state.believed_terms[member as usize - 1] = if holder == member { term } else { 0 };
                if holder == member {
                    state.holders.insert((term, member));
                }
            }
            Step::Send(member) => {
                state.sent.insert((member, state.believed_terms[member as usize - 1]));
            }
            Step::Deliver(member, term) => {
                if self.bug == Bug::AcceptsBeforePersisting && term >= state.guard.term(CONFIGURATION_ROLE) {
                    state.accepted.push(term);
                    let _ = state.guard.check(CONFIGURATION_ROLE, term, (member, term));
                } else {
                    let actions = state.guard.check(CONFIGURATION_ROLE, term, (member, term));
                    self.carry_out(&mut state, actions);
                }
            }
            Step::Persisted(succeeded) => {
                state.persisting = false;
                let result = if succeeded { Ok(()) } else { Err(PersistError::new("full")) };
                let actions = state.guard.on_persisted(result);
                self.carry_out(&mut state, actions);
            }
            Step::Restart => {
                state.guard = FencingGuard::new(state.guard.terms().clone());
                state.persisting = false;
            }
            Step::Write(member) => self.write(&mut state, member),
        }
        // Repeated terms add nothing to the properties.
        state.accepted.dedup();
        state.written.dedup();
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn rises(terms: &[u64]) -> bool {
            terms.windows(2).all(|pair| pair[0] <= pair[1])
        }
        vec![
            Property::always("no message of an old term is accepted", |_, state: &State| {
                rises(&state.accepted)
            }),
            Property::always("no state of an old term is written", |_, state: &State| rises(&state.written)),
            Property::always("a term has one holder", |_, state: &State| {
                let terms: BTreeSet<u64> = state.holders.iter().map(|(term, _)| *term).collect();
                terms.len() == state.holders.len()
            }),
            Property::sometimes("a later holder is obeyed", |_, state: &State| state.accepted.len() > 1),
            Property::sometimes("a later holder writes", |_, state: &State| state.written.len() > 1),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.accepted.len() <= 3 && state.written.len() <= 3
    }
}

fn broken(world: World, depth: usize) -> BTreeSet<&'static str> {
    let found = world.checker().target_max_depth(depth).spawn_bfs().join();
    let all = [
        "no message of an old term is accepted",
        "no state of an old term is written",
        "a term has one holder",
    ];
    all.into_iter().filter(|name| found.discovery(name).is_some()).collect()
}

#[test]
fn old_terms_change_nothing_wherever_holders_are_suspended() {
    // All states up to a depth: the receiver counts what it rejects, so there is no end to them.
    let checked = World { bug: Bug::None, terms: 2 }.checker().target_max_depth(13).spawn_bfs().join();
    println!("{} states", checked.unique_state_count());
    assert!(checked.unique_state_count() > 1_000, "{}", checked.unique_state_count());
    checked.assert_properties();
    assert!(broken(World { bug: Bug::None, terms: 3 }, 9).is_empty());
}

#[test]
fn each_bug_violates_the_property_that_guards_against_it() {
    let accepted = "no message of an old term is accepted";
    for (bug, property) in [
        (Bug::NoCheck, accepted),
        (Bug::AcceptsBeforePersisting, accepted),
        (Bug::TermReused, "a term has one holder"),
        (Bug::StateIgnoresTerm, "no state of an old term is written"),
    ] {
        let broken = broken(World { bug, terms: 2 }, 13);
        assert!(broken.contains(property), "{bug:?}: {broken:?}");
    }
}
