//! A stateright model of role holders, terms and one receiver. Holders may be suspended at any point, even
//! between the check of their lease and the message; messages arrive in any order and more than once; the
//! receiver restarts, and its disk fails. The group state and the fencing guard are those of the program.

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
    /// The group state ignores the term of a command.
    StateIgnoresTerm,
}

/// The group state, which is hashed by its encoded form.
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
    /// The term under which each member believes that it holds the role; 0 if it does not.
    believed_terms: [u64; 2],
    /// Messages that were sent, as pairs of member and term. They are never removed, because a message may
    /// arrive twice.
    sent: BTreeSet<(u64, u64)>,
    guard: FencingGuard<(u64, u64)>,
    /// Whether a write of terms is under way.
    persisting: bool,
    /// Terms of the accepted messages, in order.
    accepted_terms: Vec<u64>,
    /// Terms under which the state of the role was stored, in order.
    stored_terms: Vec<u64>,
    /// Pairs of a term and a member that learned that it holds the role under that term.
    holders: BTreeSet<(u64, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// A leader assigns the role to a member.
    Assign(u64),
    /// A member applies the group state and learns whether it holds the role.
    Learn(u64),
    /// A member sends a message under the term that it believes in.
    Send(u64),
    /// The message of a member with a term arrives.
    Deliver(u64, u64),
    /// The write of terms ends; true if it succeeded.
    Persisted(bool),
    /// The receiver restarts with the terms that it persisted.
    Restart,
    /// A member stores a state for the role.
    StoreState(u64),
}

struct FencingModel {
    bug: Bug,
    /// The highest term that is assigned.
    max_term: u64,
}

impl FencingModel {
    fn carry_out(&self, state: &mut State, actions: Vec<FencingAction<(u64, u64)>>) {
        for action in actions {
            match action {
                FencingAction::Persist(_) => state.persisting = true,
                FencingAction::Accept((_, term)) => state.accepted_terms.push(term),
                FencingAction::Reject((_, term), _) if self.bug == Bug::NoCheck => {
                    state.accepted_terms.push(term)
                }
                FencingAction::Reject(..) => {}
            }
        }
    }

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

    /// A member stores a state for the role under the term that it believes in.
    fn store_state(&self, state: &mut State, member: u64) {
        let term = state.believed_terms[member as usize - 1];
        let ignores_term = self.bug == Bug::StateIgnoresTerm;
        let RoleHolder { member: holder, term: current } = state.group_state.0.holder(CONFIGURATION_ROLE);
        let command = Command {
            duty: CONFIGURATION_ROLE.into(),
            term: if ignores_term { current } else { term },
            by: if ignores_term { holder } else { member },
            what: Some(What::Keep(Keep { state: vec![1], order: 1 })),
        };
        if state.group_state.0.apply(&command).0 == Outcome::Applied {
            state.stored_terms.push(term);
        }
    }
}

impl Model for FencingModel {
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
            accepted_terms: Vec::new(),
            stored_terms: Vec::new(),
            holders: BTreeSet::new(),
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        for member in [1, 2] {
            if state.group_state.0.holder(CONFIGURATION_ROLE).term < self.max_term {
                steps.push(Step::Assign(member));
            }
            steps.push(Step::Learn(member));
            if state.believed_terms[member as usize - 1] > 0 {
                steps.push(Step::Send(member));
                steps.push(Step::StoreState(member));
            }
        }
        steps.extend(state.sent.iter().map(|(member, term)| Step::Deliver(*member, *term)));
        if state.persisting {
            steps.extend([Step::Persisted(true), Step::Persisted(false)]);
        }
        steps.push(Step::Restart);
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Assign(to) => self.assign(&mut state, to),
            Step::Learn(member) => {
                let RoleHolder { member: holder, term } = state.group_state.0.holder(CONFIGURATION_ROLE);
                // A member stops when it learns that it does not hold the role, and continues until then.
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
                    state.accepted_terms.push(term);
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
            Step::StoreState(member) => self.store_state(&mut state, member),
        }
        // Repeated terms do not matter to the properties, and would only increase the number of states.
        state.accepted_terms.dedup();
        state.stored_terms.dedup();
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn never_falls(terms: &[u64]) -> bool {
            terms.windows(2).all(|pair| pair[0] <= pair[1])
        }
        vec![
            Property::always("no message with a stale term is accepted", |_, state: &State| {
                never_falls(&state.accepted_terms)
            }),
            Property::always("no state is stored under a stale term", |_, state: &State| {
                never_falls(&state.stored_terms)
            }),
            Property::always("a term has one holder", |_, state: &State| {
                let terms: BTreeSet<u64> = state.holders.iter().map(|(term, _)| *term).collect();
                terms.len() == state.holders.len()
            }),
            Property::sometimes("a message of a later holder is accepted", |_, state: &State| {
                state.accepted_terms.len() > 1
            }),
            Property::sometimes("a later holder stores a state", |_, state: &State| {
                state.stored_terms.len() > 1
            }),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.accepted_terms.len() <= 3 && state.stored_terms.len() <= 3
    }
}

/// The names of the properties that are violated in some state up to a depth.
fn violated_properties(model: FencingModel, depth: usize) -> BTreeSet<&'static str> {
    let checker = model.checker().target_max_depth(depth).spawn_bfs().join();
    let properties = [
        "no message with a stale term is accepted",
        "no state is stored under a stale term",
        "a term has one holder",
    ];
    properties.into_iter().filter(|name| checker.discovery(name).is_some()).collect()
}

#[test]
fn stale_terms_change_nothing_wherever_holders_are_suspended() {
    // The depth is limited because the receiver counts rejected messages, so that the number of states is
    // unlimited.
    let checked =
        FencingModel { bug: Bug::None, max_term: 2 }.checker().target_max_depth(13).spawn_bfs().join();
    println!("{} states", checked.unique_state_count());
    assert!(checked.unique_state_count() > 1_000, "{}", checked.unique_state_count());
    checked.assert_properties();
    assert!(violated_properties(FencingModel { bug: Bug::None, max_term: 3 }, 9).is_empty());
}

#[test]
fn each_bug_violates_the_property_that_guards_against_it() {
    let no_stale_message = "no message with a stale term is accepted";
    for (bug, property) in [
        (Bug::NoCheck, no_stale_message),
        (Bug::AcceptsBeforePersisting, no_stale_message),
        (Bug::TermReused, "a term has one holder"),
        (Bug::StateIgnoresTerm, "no state is stored under a stale term"),
    ] {
        let violated = violated_properties(FencingModel { bug, max_term: 2 }, 13);
        assert!(violated.contains(property), "{bug:?}: {violated:?}");
    }
}
