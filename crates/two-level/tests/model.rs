//! A model of a forwarder among planners that may say anything at any time, explored state by state.
//!
//! Planners are not modelled as they should be but as bad as they can be: any order, under any epoch that was ever given
//! out, in any order, any number of times. What must hold holds by the guard alone. Engines and the client are modelled
//! apart from what the guard believes: an engine that runs a request goes on until it ends, whatever was called off.
//!
//! To show that the checker finds what it looks for, one bug at a time is put at the seams round the guard.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use gaugestep_two_level::PlannerId;
use gaugestep_two_level::guard::{
    Act, Answer, Effect, Engine, EngineId, Facts, Guard, Order, Ration, Stand, Tell,
};
use stateright::{Checker as _, Model, Property};

/// Engines, and attempts that a request may have.
const ENGINES: [EngineId; 2] = [EngineId(0), EngineId(1)];
const MOST: usize = 3;
/// The request's time is up at this moment; the model's clock stands before it or after it.
const DUE: f64 = 10.0;

type Id = u8;

/// What is broken round the guard.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Bug {
    None,
    /// The forwarder answers when it reads a result, and lets the guard answer too.
    AnswersByItself,
    /// It says that an attempt has ended as soon as it was called off.
    EndsAtOnce,
    /// It takes what it called off for never sent.
    CalledOffNeverRan,
    /// It tells the guard of a drain only some time after it knows itself.
    LateList,
    /// It stamps orders with the epoch in force.
    Restamps,
}

#[derive(Clone, Debug)]
struct State {
    guard: Guard<Id, ()>,
    /// Engines where an attempt runs, with its number: what is really so.
    running: Vec<(Id, usize, EngineId)>,
    /// Attempts that were called off and whose engines have not said so yet.
    called_off: BTreeSet<(Id, usize)>,
    /// Attempts that may have done their work, by request.
    ran: Vec<Id>,
    /// Answers that clients got.
    answers: Vec<(Id, &'static str)>,
    /// The forwarder was told that this engine drains.
    drained: bool,
    late: bool,
    epochs: u64,
    /// What must never be.
    started_on_drained: bool,
    two_out: bool,
    ran_twice: bool,
    obeyed_fenced: bool,
}

impl State {
    /// All that makes it differ from others; the guard's times stand still in this model.
    fn key(&self) -> String {
        format!("{self:?}")
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.key().hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// An order under an epoch reaches the forwarder.
    Ordered(u64, Id, Order),
    /// The forwarder turns to a planner, and registers what is open.
    Follow(&'static str),
    Forsake,
    /// The engine of an attempt answers, fails, or proves that it never began.
    Ends(Id, usize, &'static str),
    Drains,
    ClientGone(Id),
    TimeIsUp,
}

struct Fleet {
    bug: Bug,
    /// The effect of each request.
    effects: Vec<Effect>,
}

impl Fleet {
    fn act(&self, state: &mut State, acts: Vec<Act<Id, ()>>) {
        for act in acts {
            match act {
                Act::Start { id, attempt, engine, .. } => {
                    state.two_out |= state.running.iter().any(|(other, ..)| *other == id);
                    state.started_on_drained |= state.drained && engine == ENGINES[1];
                    state.ran_twice |=
                        self.effects[usize::from(id)] == Effect::Unsafe && state.ran.contains(&id);
                    state.running.push((id, attempt, engine));
                }
                Act::CallOff { id, attempt } => match self.bug {
                    Bug::EndsAtOnce | Bug::CalledOffNeverRan => {
                        let stand = match self.bug {
                            Bug::CalledOffNeverRan => Stand::NeverRan,
                            _ => Stand::MayHaveRun,
                        };
                        if self.bug == Bug::CalledOffNeverRan {
                            state.running.retain(|(other, ..)| *other != id);
                            state.ran.push(id);
                        }
                        let acts = state.guard.ended(&id, attempt, false, stand);
                        self.act(state, acts);
                    }
                    _ => drop(state.called_off.insert((id, attempt))),
                },
                Act::Answer { id, answer } => {
                    let answer = match answer {
                        Answer::Served => "served",
                        Answer::Refused(_) => "refused",
                        Answer::Failed => "failed",
                    };
                    // A refusal invites the client to come again, which runs it twice if it may have run.
                    state.ran_twice |= answer == "refused"
                        && self.effects[usize::from(id)] == Effect::Unsafe
                        && (state.ran.contains(&id) || state.running.iter().any(|(other, ..)| *other == id));
                    state.answers.push((id, answer));
                }
                Act::Weigh { .. } | Act::Tell { .. } => {}
            }
        }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut guard = Guard::new(Some(Ration { free: 2.0, ratio: 0.0, span: 1e9 }));
        let up = Engine { up: true, zone: 0, cell: 0 };
        guard.listed(ENGINES.map(|engine| (engine, Some(up))), true);
        for (id, effect) in self.effects.iter().enumerate() {
            let facts = Facts { effect: *effect, due: DUE, most: MOST, told: () };
            assert!(guard.arrived(0.0, id as Id, facts));
        }
        vec![State {
            guard,
            running: vec![],
            called_off: BTreeSet::new(),
            ran: vec![],
            answers: vec![],
            drained: false,
            late: false,
            epochs: 0,
            started_on_drained: false,
            two_out: false,
            ran_twice: false,
            obeyed_fenced: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let epochs = state.epochs;
        if epochs < 2 {
            actions.extend(["a", "b"].map(Action::Follow));
        }
        if state.guard.owner().is_some() {
            actions.push(Action::Forsake);
        }
        for id in 0..self.effects.len() as Id {
            for epoch in 1..=epochs {
                for attempt in 0..MOST {
                    for engine in ENGINES {
                        let order = Order::Send { attempt, engine, priority: 1 };
                        actions.push(Action::Ordered(epoch, id, order));
                    }
                    actions.push(Action::Ordered(epoch, id, Order::Cancel { attempt }));
                }
                actions.push(Action::Ordered(epoch, id, Order::Refuse { retry_after: 0.0 }));
                actions.push(Action::Ordered(epoch, id, Order::Fail));
            }
            if !state.answers.iter().any(|(other, _)| *other == id) {
                actions.push(Action::ClientGone(id));
            }
        }
        for (id, attempt, _) in &state.running {
            actions.extend(["served", "never", "failed"].map(|how| Action::Ends(*id, *attempt, how)));
        }
        if !state.drained {
            actions.push(Action::Drains);
        }
        if !state.late {
            actions.push(Action::TimeIsUp);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let now = if state.late { DUE } else { 0.0 };
        match action {
            Action::Ordered(epoch, id, order) => {
                let stamped = if self.bug == Bug::Restamps { state.epochs } else { epoch };
                let acts = state.guard.ordered(now, stamped, &id, order);
                let does = |act: &Act<Id, ()>| !matches!(act, Act::Tell { what: Tell::Vetoed { .. }, .. });
                let followed = state.guard.owner().is_some_and(|(_, current)| current == epoch);
                state.obeyed_fenced |= acts.iter().any(does) && !followed;
                self.act(&mut state, acts);
            }
            Action::Follow(planner) => {
                state.guard.follow(PlannerId(planner.into()), now, 1e9);
                state.epochs += 1;
                let acts = state.guard.register(now, usize::MAX);
                self.act(&mut state, acts);
            }
            Action::Forsake => state.guard.forsake(),
            Action::Ends(id, attempt, how) => {
                state.running.retain(|(other, number, _)| (*other, *number) != (id, attempt));
                state.called_off.remove(&(id, attempt));
                let stand = if how == "never" { Stand::NeverRan } else { Stand::MayHaveRun };
                if how != "never" {
                    state.ran.push(id);
                }
                if how == "served" && self.bug == Bug::AnswersByItself {
                    state.answers.push((id, "served"));
                }
                let acts = state.guard.ended(&id, attempt, how == "served", stand);
                self.act(&mut state, acts);
            }
            Action::Drains => {
                state.drained = true;
                if self.bug != Bug::LateList {
                    let drains = Engine { up: false, zone: 0, cell: 0 };
                    state.guard.listed([(ENGINES[1], Some(drains))], false);
                }
            }
            Action::ClientGone(id) => {
                let acts = state.guard.client_gone(&id);
                self.act(&mut state, acts);
                state.answers.push((id, "gone"));
            }
            Action::TimeIsUp => {
                state.late = true;
                let acts = state.guard.overdue(DUE);
                self.act(&mut state, acts);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one final answer at most", |_, state: &State| {
                (0..2).all(|id| state.answers.iter().filter(|(other, _)| *other == id).count() <= 1)
            }),
            Property::always("a final answer once the time is up", |model: &Fleet, state: &State| {
                let answered = |id: Id| state.answers.iter().any(|(other, _)| *other == id);
                !state.late || (0..model.effects.len() as Id).all(answered)
            }),
            Property::always("one attempt out", |_, state: &State| !state.two_out),
            Property::always("nothing unsafe runs twice", |_, state: &State| !state.ran_twice),
            Property::always("nothing new to an engine that drains", |_, state: &State| {
                !state.started_on_drained
            }),
            Property::always("only the planner that is followed is obeyed", |_, state: &State| {
                !state.obeyed_fenced
            }),
            Property::sometimes("a request is served by its second attempt", |_, state: &State| {
                state.answers.iter().any(|(_, how)| *how == "served") && state.ran.len() >= 2
            }),
            Property::sometimes("a load is served behind a change of planners", |_, state: &State| {
                state.epochs == 2 && state.answers.contains(&(0, "served"))
            }),
        ]
    }
}

/// Explores to this depth. One request has some thousand states in all, none deeper than 64 steps.
fn explored(bug: Bug, effects: &[Effect], depth: usize) -> (usize, Vec<&'static str>) {
    let checker = Fleet { bug, effects: effects.to_vec() }
        .checker()
        .threads(4)
        .target_max_depth(depth)
        .spawn_bfs()
        .join();
    let broken = ["one final answer at most", "a final answer once the time is up", "one attempt out"];
    let more = [
        "nothing unsafe runs twice",
        "nothing new to an engine that drains",
        "only the planner that is followed is obeyed",
    ];
    let all = broken.into_iter().chain(more);
    let found = all.filter(|name| checker.discovery(name).is_some()).collect();
    (checker.unique_state_count(), found)
}

#[test]
fn the_guard_holds_against_any_planners_for_a_load_and_for_a_safe_request() {
    for effect in [Effect::Unsafe, Effect::Safe] {
        let (states, found) = explored(Bug::None, &[effect], 64);
        assert_eq!(found, [] as [&str; 0], "{effect:?}");
        assert!(states > 2_000, "{states} states of {effect:?}");
    }
}

#[test]
fn two_requests_at_once_do_not_meddle() {
    let (states, found) = explored(Bug::None, &[Effect::Unsafe, Effect::Safe], 7);
    assert_eq!(found, [] as [&str; 0]);
    assert!(states > 5_000, "{states} states");
}

/// The checker finds each bug, by the property that it breaks.
#[test]
fn a_bug_at_each_seam_is_found() {
    let cases = [
        (Bug::AnswersByItself, Effect::Safe, "one final answer at most"),
        (Bug::EndsAtOnce, Effect::Safe, "one attempt out"),
        (Bug::CalledOffNeverRan, Effect::Unsafe, "nothing unsafe runs twice"),
        (Bug::LateList, Effect::Safe, "nothing new to an engine that drains"),
        (Bug::Restamps, Effect::Safe, "only the planner that is followed is obeyed"),
    ];
    for (bug, effect, property) in cases {
        let (_, found) = explored(bug, &[effect], 7);
        assert!(found.contains(&property), "{bug:?}: {found:?}");
    }
}
