//! A model of a forwarder among planners that may order anything at any time, explored state by state.
//!
//! Planners are not modelled as they should be but as bad as they can be: they give any order, under any epoch that was ever
//! given out, in any sequence, any number of times. The invariants must hold by the guard alone. Engines and clients are
//! modelled independently of what the guard believes: an engine that runs a request continues until it ends, whatever was
//! cancelled.
//!
//! To show that the checker finds violations, one bug at a time is put into the code around the guard.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_two_level::PlannerId;
use gaugestep_two_level::order_guard::{
    Action, Answer, AttemptEnd, Effect, Engine, EngineId, Order, OrderGuard, PlannerEvent, RequestInfo,
    RetryBudgetSettings,
};
use stateright::{Checker as _, Model, Property};

const ENGINES: [EngineId; 2] = [EngineId(0), EngineId(1)];
/// The engine that may drain.
const DRAINING: EngineId = ENGINES[1];
const MAX_ATTEMPTS: usize = 3;
/// How often the forwarder changes planners at most.
const MAX_EPOCHS: u64 = 2;
/// The deadline of all requests; the model's clock is either before it or at it.
const DEADLINE: Timestamp = Timestamp::from_millis(10);
/// Longer than any run of the model.
const FOREVER: Duration = Duration::from_secs(1_000_000);

type Id = u8;
type GuardAction = Action<Id, ()>;

/// What is broken in the code around the guard.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Bug {
    None,
    /// The forwarder answers when it reads a result, and lets the guard answer too.
    AnswersTwice,
    /// It reports that an attempt has ended as soon as it was cancelled.
    ReportsCancelAsEnd,
    /// It reports that a cancelled attempt never ran.
    ReportsCancelAsNeverRan,
    /// It does not tell the guard that an engine drains.
    HidesDrain,
    /// It stamps orders with the current epoch.
    RestampsOrders,
}

/// What a client got.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Received {
    Served,
    Rejected,
    Failed,
    /// It has disconnected, and needs no answer.
    Disconnected,
}

#[derive(Clone, Debug)]
struct State {
    guard: OrderGuard<Id, ()>,
    /// Attempts that engines really run, with their numbers.
    running: Vec<(Id, usize)>,
    /// Cancelled attempts whose end was not reported yet.
    cancelled: BTreeSet<(Id, usize)>,
    /// One entry for each attempt that may have done its work.
    ran: Vec<Id>,
    answers: Vec<(Id, Received)>,
    /// The forwarder knows that [`DRAINING`] drains.
    drained: bool,
    deadline_passed: bool,
    /// How many epochs were given out.
    epochs: u64,
    violations: Violations,
}

/// What must never happen.
#[derive(Clone, Debug, Default)]
struct Violations {
    started_on_drained: bool,
    two_in_flight: bool,
    ran_twice: bool,
    obeyed_fenced: bool,
}

impl State {
    fn has_answer(&self, id: Id) -> bool {
        self.answers.iter().any(|(other, _)| *other == id)
    }

    fn runs(&self, id: Id) -> bool {
        self.running.iter().any(|(other, _)| *other == id)
    }

    fn now(&self) -> Timestamp {
        if self.deadline_passed { DEADLINE } else { Timestamp::ORIGIN }
    }

    /// Everything in which states can differ; the times in the guard do not matter to this model.
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

/// A step of the model.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// An order under an epoch reaches the forwarder.
    Order {
        epoch: u64,
        id: Id,
        order: Order,
    },
    /// The forwarder follows a planner, and registers what is open.
    Follow(&'static str),
    Abandon,
    /// An attempt ends at its engine.
    AttemptEnds {
        id: Id,
        attempt: usize,
        end: AttemptEnd,
    },
    EngineDrains,
    ClientDisconnects(Id),
    DeadlinePasses,
}

struct Fleet {
    bug: Bug,
    /// The effect of each request.
    effects: Vec<Effect>,
}

impl Fleet {
    fn ids(&self) -> std::ops::Range<Id> {
        0..self.effects.len() as Id
    }

    fn is_unsafe(&self, id: Id) -> bool {
        self.effects[usize::from(id)] == Effect::Unsafe
    }

    /// Carries out what the guard decided.
    fn carry_out(&self, state: &mut State, actions: Vec<GuardAction>) {
        for action in actions {
            match action {
                Action::StartAttempt { id, attempt, engine, .. } => {
                    state.violations.two_in_flight |= state.runs(id);
                    state.violations.started_on_drained |= state.drained && engine == DRAINING;
                    state.violations.ran_twice |= self.is_unsafe(id) && state.ran.contains(&id);
                    state.running.push((id, attempt));
                }
                Action::CancelAttempt { id, attempt } => self.cancel(state, id, attempt),
                Action::Answer { id, answer } => self.answer(state, id, answer),
                Action::SetPriority { .. } | Action::Notify { .. } => {}
            }
        }
    }

    fn cancel(&self, state: &mut State, id: Id, attempt: usize) {
        let reported = match self.bug {
            Bug::ReportsCancelAsEnd => AttemptEnd::MayHaveRun,
            Bug::ReportsCancelAsNeverRan => {
                state.running.retain(|(other, _)| *other != id);
                state.ran.push(id);
                AttemptEnd::NeverRan
            }
            _ => {
                state.cancelled.insert((id, attempt));
                return;
            }
        };
        let actions = state.guard.on_attempt_end(&id, attempt, reported);
        self.carry_out(state, actions);
    }

    fn answer(&self, state: &mut State, id: Id, answer: Answer) {
        let received = match answer {
            Answer::Served => Received::Served,
            Answer::Rejected { .. } => Received::Rejected,
            Answer::Failed => Received::Failed,
        };
        // A rejected client retries, which runs the request twice if it may have run.
        let may_have_run = state.ran.contains(&id) || state.runs(id);
        state.violations.ran_twice |= received == Received::Rejected && self.is_unsafe(id) && may_have_run;
        state.answers.push((id, received));
    }

    /// All orders that a planner could give for a request under an epoch.
    fn orders(epoch: u64, id: Id) -> impl Iterator<Item = Step> {
        let attempts = (0..MAX_ATTEMPTS).flat_map(|attempt| {
            let start = |engine| Order::StartAttempt { attempt, engine, priority: 1 };
            [start(ENGINES[0]), start(ENGINES[1]), Order::CancelAttempt { attempt }]
        });
        let finals = [Order::Reject { retry_after: Duration::ZERO }, Order::Fail];
        attempts.chain(finals).map(move |order| Step::Order { epoch, id, order })
    }

    fn order(&self, state: &mut State, epoch: u64, id: Id, order: Order) {
        let stamped = if self.bug == Bug::RestampsOrders { state.epochs } else { epoch };
        let actions = state.guard.on_order(state.now(), stamped, &id, order);
        let takes_effect = |action: &GuardAction| {
            !matches!(action, Action::Notify { event: PlannerEvent::OrderRejected { .. }, .. })
        };
        let fenced = state.guard.epoch() != Some(epoch);
        state.violations.obeyed_fenced |= fenced && actions.iter().any(takes_effect);
        self.carry_out(state, actions);
    }

    fn end_attempt(&self, state: &mut State, id: Id, attempt: usize, end: AttemptEnd) {
        state.running.retain(|running| *running != (id, attempt));
        state.cancelled.remove(&(id, attempt));
        if end != AttemptEnd::NeverRan {
            state.ran.push(id);
        }
        if end == AttemptEnd::Served && self.bug == Bug::AnswersTwice {
            state.answers.push((id, Received::Served));
        }
        let actions = state.guard.on_attempt_end(&id, attempt, end);
        self.carry_out(state, actions);
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let budget = RetryBudgetSettings { base: 2.0, ratio: 0.0, window: FOREVER };
        let mut guard = OrderGuard::new(Some(budget));
        let up = Engine { up: true, zone: 0, cell: 0 };
        guard.replace_engines(ENGINES.map(|engine| (engine, up)));
        for (id, effect) in self.ids().zip(&self.effects) {
            let max_attempts = MAX_ATTEMPTS;
            let info = RequestInfo { effect: *effect, deadline: DEADLINE, max_attempts, details: () };
            assert!(guard.on_request(Timestamp::ORIGIN, id, info));
        }
        vec![State {
            guard,
            running: vec![],
            cancelled: BTreeSet::new(),
            ran: vec![],
            answers: vec![],
            drained: false,
            deadline_passed: false,
            epochs: 0,
            violations: Violations::default(),
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.epochs < MAX_EPOCHS {
            steps.extend(["a", "b"].map(Step::Follow));
        }
        if state.guard.planner().is_some() {
            steps.push(Step::Abandon);
        }
        for id in self.ids() {
            steps.extend((1..=state.epochs).flat_map(|epoch| Self::orders(epoch, id)));
            if !state.has_answer(id) {
                steps.push(Step::ClientDisconnects(id));
            }
        }
        for (id, attempt) in &state.running {
            let ends = [AttemptEnd::Served, AttemptEnd::NeverRan, AttemptEnd::MayHaveRun];
            steps.extend(ends.map(|end| Step::AttemptEnds { id: *id, attempt: *attempt, end }));
        }
        if !state.drained {
            steps.push(Step::EngineDrains);
        }
        if !state.deadline_passed {
            steps.push(Step::DeadlinePasses);
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Order { epoch, id, order } => self.order(&mut state, epoch, id, order),
            Step::Follow(planner) => {
                state.guard.follow(PlannerId(planner.into()), state.now(), FOREVER);
                state.epochs += 1;
                let actions = state.guard.register(state.now(), usize::MAX);
                self.carry_out(&mut state, actions);
            }
            Step::Abandon => state.guard.abandon(),
            Step::AttemptEnds { id, attempt, end } => self.end_attempt(&mut state, id, attempt, end),
            Step::EngineDrains => {
                state.drained = true;
                if self.bug != Bug::HidesDrain {
                    let draining = Engine { up: false, zone: 0, cell: 0 };
                    state.guard.update_engine(DRAINING, Some(draining));
                }
            }
            Step::ClientDisconnects(id) => {
                let actions = state.guard.on_disconnect(&id);
                self.carry_out(&mut state, actions);
                state.answers.push((id, Received::Disconnected));
            }
            Step::DeadlinePasses => {
                state.deadline_passed = true;
                let actions = state.guard.answer_overdue(DEADLINE);
                self.carry_out(&mut state, actions);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_ANSWER, |model: &Fleet, state: &State| {
                let answers = |id: Id| state.answers.iter().filter(|(other, _)| *other == id).count();
                model.ids().all(|id| answers(id) <= 1)
            }),
            Property::always(ANSWER_AT_DEADLINE, |model: &Fleet, state: &State| {
                !state.deadline_passed || model.ids().all(|id| state.has_answer(id))
            }),
            Property::always(ONE_IN_FLIGHT, |_, state: &State| !state.violations.two_in_flight),
            Property::always(NO_UNSAFE_REPEAT, |_, state: &State| !state.violations.ran_twice),
            Property::always(NOTHING_TO_DRAINING, |_, state: &State| !state.violations.started_on_drained),
            Property::always(ONLY_FOLLOWED_OBEYED, |_, state: &State| !state.violations.obeyed_fenced),
            Property::sometimes("a request is served by its second attempt", |_, state: &State| {
                let served = state.answers.iter().any(|(_, received)| *received == Received::Served);
                served && state.ran.len() >= 2
            }),
            Property::sometimes("a load is served after a change of planners", |_, state: &State| {
                state.epochs == 2 && state.answers.contains(&(0, Received::Served))
            }),
        ]
    }
}

const ONE_ANSWER: &str = "at most one final answer";
const ANSWER_AT_DEADLINE: &str = "a final answer once the deadline has passed";
const ONE_IN_FLIGHT: &str = "at most one attempt in flight";
const NO_UNSAFE_REPEAT: &str = "nothing unsafe runs twice";
const NOTHING_TO_DRAINING: &str = "nothing new to an engine that drains";
const ONLY_FOLLOWED_OBEYED: &str = "only the planner that is followed is obeyed";

/// What must always hold.
const INVARIANTS: [&str; 6] = [
    ONE_ANSWER,
    ANSWER_AT_DEADLINE,
    ONE_IN_FLIGHT,
    NO_UNSAFE_REPEAT,
    NOTHING_TO_DRAINING,
    ONLY_FOLLOWED_OBEYED,
];

/// How many states were reached, and which invariants are violated in one of them.
struct Explored {
    states: usize,
    violated: Vec<&'static str>,
}

/// Explores up to this depth. One request has some thousand states in all, none deeper than 64 steps.
fn explore(bug: Bug, effects: &[Effect], depth: usize) -> Explored {
    let model = Fleet { bug, effects: effects.to_vec() };
    let checker = model.checker().threads(4).target_max_depth(depth).spawn_bfs().join();
    let violated = INVARIANTS.into_iter().filter(|name| checker.discovery(name).is_some()).collect();
    Explored { states: checker.unique_state_count(), violated }
}

#[test]
fn the_guard_holds_against_any_planners_for_an_unsafe_and_for_a_safe_request() {
    for effect in [Effect::Unsafe, Effect::Safe] {
        let Explored { states, violated } = explore(Bug::None, &[effect], 64);
        assert_eq!(violated, [] as [&str; 0], "{effect:?}");
        assert!(states > 2_000, "{states} states of {effect:?}");
    }
}

#[test]
fn two_requests_do_not_interfere() {
    let Explored { states, violated } = explore(Bug::None, &[Effect::Unsafe, Effect::Safe], 7);
    assert_eq!(violated, [] as [&str; 0]);
    assert!(states > 5_000, "{states} states");
}

/// The checker finds each bug by the invariant that it violates.
#[test]
fn a_bug_in_the_code_around_the_guard_is_found() {
    let cases = [
        (Bug::AnswersTwice, Effect::Safe, ONE_ANSWER),
        (Bug::ReportsCancelAsEnd, Effect::Safe, ONE_IN_FLIGHT),
        (Bug::ReportsCancelAsNeverRan, Effect::Unsafe, NO_UNSAFE_REPEAT),
        (Bug::HidesDrain, Effect::Safe, NOTHING_TO_DRAINING),
        (Bug::RestampsOrders, Effect::Safe, ONLY_FOLLOWED_OBEYED),
    ];
    for (bug, effect, invariant) in cases {
        let violated = explore(bug, &[effect], 7).violated;
        assert!(violated.contains(&invariant), "{bug:?}: {violated:?}");
    }
}
