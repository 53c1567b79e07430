//! A model (stateright) of owners, terms and a guard: owners that may be paused at any point, between looking and acting
//! too, messages in any order and more than once, a guard that restarts and whose disk fails. The group and the guard
//! are the program's own.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use gaugestep_config::schema::act::What;
use gaugestep_config::schema::{Act, Member};
use gaugestep_leadership::CONFIGURATION_ROLE;
use gaugestep_leadership::fencing::{FencingAction, FencingGuard};
use gaugestep_leadership::group_state::{GroupState, Outcome};
use prost::Message as _;
use stateright::{Checker, Model, Property};

/// What is wrong with the program, in a variant of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bug {
    None,
    /// The guard takes whatever it is told.
    NoCheck,
    /// The guard acts before its term is on the disk.
    ActsFirst,
    /// A new owner goes on under the old one's term.
    TermKept,
    /// What is group_state on does not look at the term of an act.
    LogBlind,
}

/// The group, told apart by what is stored of it.
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
    /// What each member believes to own, and under which term: as late as can be.
    believes: [u64; 2],
    /// Acts on their way: the member and the term. They stay, as a message may come twice.
    sent: BTreeSet<(u64, u64)>,
    guard: FencingGuard<(u64, u64)>,
    /// A term is being stored.
    storing: bool,
    /// The terms taken, in order.
    taken: Vec<u64>,
    /// Terms under which state was written into the group, in order.
    written: Vec<u64>,
    /// Owners by term.
    owners: BTreeSet<(u64, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Assign(u64),
    Learn(u64),
    Send(u64),
    Deliver(u64, u64),
    Stored(bool),
    Restart,
    Write(u64),
}

struct World {
    bug: Bug,
    terms: u64,
}

impl World {
    fn take(&self, state: &mut State, actions: Vec<FencingAction<(u64, u64)>>) {
        for action in actions {
            match action {
                FencingAction::Persist(_) => state.storing = true,
                FencingAction::Accept((_, term)) => state.taken.push(term),
                FencingAction::Reject((_, term), _) if self.bug == Bug::NoCheck => state.taken.push(term),
                FencingAction::Reject(..) => {}
            }
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
            believes: [0; 2],
            sent: BTreeSet::new(),
            guard: FencingGuard::new(BTreeMap::new()),
            storing: false,
            taken: Vec::new(),
            written: Vec::new(),
            owners: BTreeSet::new(),
        }]
    }

    fn actions(&self, state: &State, out: &mut Vec<Step>) {
        for member in [1, 2] {
            if state.group_state.0.holder(CONFIGURATION_ROLE).1 < self.terms {
                out.push(Step::Assign(member));
            }
            out.push(Step::Learn(member));
            if state.believes[member as usize - 1] > 0 {
                out.push(Step::Send(member));
                out.push(Step::Write(member));
            }
        }
        out.extend(state.sent.iter().map(|(member, term)| Step::Deliver(*member, *term)));
        if state.storing {
            out.extend([Step::Stored(true), Step::Stored(false)]);
        }
        out.push(Step::Restart);
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Assign(to) => {
                let term = state.group_state.0.holder(CONFIGURATION_ROLE).1;
                let act = Act {
                    duty: CONFIGURATION_ROLE.into(),
                    term,
                    what: Some(What::Assign(to)),
                    ..Act::default()
                };
                assert_eq!(state.group_state.0.apply(&act).0, Outcome::Applied);
                if self.bug == Bug::TermKept {
                    if let Some(duty) = state.group_state.0.roles.get_mut(CONFIGURATION_ROLE) {
                        duty.term = term.max(1);
                    }
                }
            }
            Step::Learn(member) => {
                let (owner, term) = state.group_state.0.holder(CONFIGURATION_ROLE);
                // One that hears that it owns nothing acts no more; one that hears nothing goes on.
                state.believes[member as usize - 1] = if owner == member { term } else { 0 };
                if owner == member {
                    state.owners.insert((term, member));
                }
            }
            Step::Send(member) => drop(state.sent.insert((member, state.believes[member as usize - 1]))),
            Step::Deliver(member, term) => {
                if self.bug == Bug::ActsFirst && term >= state.guard.term(CONFIGURATION_ROLE) {
                    state.taken.push(term);
                    let _ = state.guard.check(CONFIGURATION_ROLE, term, (member, term));
                } else {
                    let actions = state.guard.check(CONFIGURATION_ROLE, term, (member, term));
                    self.take(&mut state, actions);
                }
            }
            Step::Stored(done) => {
                state.storing = false;
                let actions = state.guard.on_persisted(if done { Ok(()) } else { Err("full".into()) });
                self.take(&mut state, actions);
            }
            Step::Restart => {
                state.guard = FencingGuard::new(state.guard.terms().clone());
                state.storing = false;
            }
            Step::Write(member) => {
                let term = state.believes[member as usize - 1];
                let blind = self.bug == Bug::LogBlind;
                let (owner, present) = state.group_state.0.holder(CONFIGURATION_ROLE);
                let act = Act {
                    duty: CONFIGURATION_ROLE.into(),
                    term: if blind { present } else { term },
                    by: if blind { owner } else { member },
                    what: Some(What::Keep(gaugestep_config::schema::Keep { state: vec![1], order: 1 })),
                };
                if state.group_state.0.apply(&act).0 == Outcome::Applied {
                    state.written.push(term);
                }
            }
        }
        // What was taken or written again and again tells nothing new.
        state.taken.dedup();
        state.written.dedup();
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn rises(terms: &[u64]) -> bool {
            terms.windows(2).all(|pair| pair[0] <= pair[1])
        }
        vec![
            Property::always("nothing of an old term is taken", |_, state: &State| rises(&state.taken)),
            Property::always("nothing of an old term is written", |_, state: &State| rises(&state.written)),
            Property::always("a term has one owner", |_, state: &State| {
                let terms: BTreeSet<u64> = state.owners.iter().map(|it| it.0).collect();
                terms.len() == state.owners.len()
            }),
            Property::sometimes("a later owner is obeyed", |_, state: &State| state.taken.len() > 1),
            Property::sometimes("a later owner writes", |_, state: &State| state.written.len() > 1),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.taken.len() <= 3 && state.written.len() <= 3
    }
}

fn broken(world: World, depth: usize) -> BTreeSet<&'static str> {
    let found = world.checker().target_max_depth(depth).spawn_bfs().join();
    let all =
        ["nothing of an old term is taken", "nothing of an old term is written", "a term has one owner"];
    all.into_iter().filter(|name| found.discovery(name).is_some()).collect()
}

#[test]
fn whoever_is_paused_wherever_old_terms_do_nothing() {
    // All up to some steps: a guard counts what it refuses, so there is no end to the states.
    let whole = World { bug: Bug::None, terms: 2 }.checker().target_max_depth(13).spawn_bfs().join();
    println!("{} states", whole.unique_state_count());
    assert!(whole.unique_state_count() > 1_000, "{}", whole.unique_state_count());
    whole.assert_properties();
    assert!(broken(World { bug: Bug::None, terms: 3 }, 9).is_empty());
}

#[test]
fn each_bug_is_found_by_the_property_that_it_breaks() {
    let taken = "nothing of an old term is taken";
    for (bug, property) in [
        (Bug::NoCheck, taken),
        (Bug::ActsFirst, taken),
        (Bug::TermKept, "a term has one owner"),
        (Bug::LogBlind, "nothing of an old term is written"),
    ] {
        let broken = broken(World { bug, terms: 2 }, 13);
        assert!(broken.contains(property), "{bug:?}: {broken:?}");
    }
}
