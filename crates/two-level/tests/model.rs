//! A model of a forwarder whose planners may give any order at any time. A model checker explores its states.
//!
//! Planners are modelled as arbitrarily faulty: they give any order, under any epoch that was ever assigned,
//! in any sequence, any number of times. The guard alone must maintain the invariants. Engines and clients
//! are modelled independently of the state of the guard: an engine that runs an attempt continues until the
//! attempt ends, even if it was cancelled.
//!
//! To show that the checker finds violations, a test puts one bug at a time into the code around the guard.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_two_level::PlannerId;
use gaugestep_two_level::order_guard::{
    Action, AttemptEnd, Effect, Engine, EngineId, Order, OrderGuard, PlannerEvent, RequestInfo, Response,
    RetryBudgetSettings,
};
use stateright::{Checker as _, Model, Property};

const ENGINES: [EngineId; 2] = [EngineId(0), EngineId(1)];
/// The engine that may drain.
const DRAINING: EngineId = ENGINES[1];
const MAX_ATTEMPTS: usize = 3;
/// The most times that the forwarder begins to follow a planner.
const MAX_EPOCHS: u64 = 2;
/// The deadline of all requests; the model's clock is either before it or at it.
const DEADLINE: Timestamp = Timestamp::from_millis(10);
/// A duration that does not end within any run of the model.
const FOREVER: Duration = Duration::from_secs(1_000_000);

type Id = u8;
type GuardAction = Action<Id, ()>;

/// A bug in the code around the guard.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Bug {
    None,
    /// The forwarder responds when it reads a result, and again when the guard orders it.
    RespondsTwice,
    /// The forwarder reports that an attempt has ended as soon as it is cancelled.
    ReportsCancelAsEnd,
    /// The forwarder reports that a cancelled attempt never ran.
    ReportsCancelAsNeverRan,
    /// The forwarder does not notify the guard that an engine drains.
    HidesDrain,
    /// The forwarder replaces the epoch of an order by the current one.
    RestampsOrders,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Received {
    Served,
    Rejected,
    Failed,
    /// The client has disconnected and needs no response.
    Disconnected,
}

/// A state of the model.
#[derive(Clone, Debug)]
struct State {
    guard: OrderGuard<Id, ()>,
    /// The attempts that engines run, by request and number.
    running: Vec<(Id, usize)>,
    /// The cancelled attempts whose end was not reported yet.
    cancelled: BTreeSet<(Id, usize)>,
    /// The request of each attempt that has run, or may have.
    ran: Vec<Id>,
    responses: Vec<(Id, Received)>,
    /// Whether the forwarder knows that [`DRAINING`] drains.
    drained: bool,
    deadline_passed: bool,
    /// The number of epochs that were assigned.
    epochs: u64,
    violations: Violations,
}

/// Violations of invariants that are detected during a step.
#[derive(Clone, Debug, Default)]
struct Violations {
    started_on_drained: bool,
    two_in_flight: bool,
    ran_twice: bool,
    executed_fenced: bool,
}

impl State {
    fn has_response(&self, id: Id) -> bool {
        self.responses.iter().any(|(other, _)| *other == id)
    }

    fn runs(&self, id: Id) -> bool {
        self.running.iter().any(|(other, _)| *other == id)
    }

    fn now(&self) -> Timestamp {
        if self.deadline_passed { DEADLINE } else { Timestamp::ORIGIN }
    }

    /// Returns the text by which states are compared and hashed. It has every field in which states can
    /// differ; the times in the guard do not matter to this model.
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
    /// The forwarder follows a planner and registers all open requests.
    Follow(&'static str),
    /// The forwarder stops following its planner.
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

    /// Executes the actions that the guard returned.
    fn execute(&self, state: &mut State, actions: Vec<GuardAction>) {
        for action in actions {
            match action {
                Action::StartAttempt { id, attempt, engine, .. } => {
                    state.violations.two_in_flight |= state.runs(id);
                    state.violations.started_on_drained |= state.drained && engine == DRAINING;
                    state.violations.ran_twice |= self.is_unsafe(id) && state.ran.contains(&id);
                    state.running.push((id, attempt));
                }
                Action::CancelAttempt { id, attempt } => self.cancel(state, id, attempt),
                Action::Respond { id, response } => self.respond(state, id, response),
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
        self.execute(state, actions);
    }

    fn respond(&self, state: &mut State, id: Id, response: Response) {
        let received = match response {
            Response::Served => Received::Served,
            Response::Rejected { .. } => Received::Rejected,
            Response::Failed => Received::Failed,
        };
        // The client retries a rejected request, which then runs twice if it may already have run.
        let may_have_run = state.ran.contains(&id) || state.runs(id);
        state.violations.ran_twice |= received == Received::Rejected && self.is_unsafe(id) && may_have_run;
        state.responses.push((id, received));
    }

    /// Returns all orders that a planner can give for a request under an epoch.
    fn orders(epoch: u64, id: Id) -> impl Iterator<Item = Step> {
        let attempts = (0..MAX_ATTEMPTS).flat_map(|attempt| {
            let start = |engine| Order::StartAttempt { attempt, engine, priority: 1 };
            [start(ENGINES[0]), start(ENGINES[1]), Order::CancelAttempt { attempt }]
        });
        let final_responses = [Order::Reject { retry_after: Duration::ZERO }, Order::Fail];
        attempts.chain(final_responses).map(move |order| Step::Order { epoch, id, order })
    }

    fn order(&self, state: &mut State, epoch: u64, id: Id, order: Order) {
        let stamped_epoch = if self.bug == Bug::RestampsOrders { state.epochs } else { epoch };
        let actions = state.guard.on_order(state.now(), stamped_epoch, &id, order);
        let takes_effect = |action: &GuardAction| {
            !matches!(action, Action::Notify { event: PlannerEvent::OrderRejected { .. }, .. })
        };
        let fenced = state.guard.epoch() != Some(epoch);
        state.violations.executed_fenced |= fenced && actions.iter().any(takes_effect);
        self.execute(state, actions);
    }

    fn end_attempt(&self, state: &mut State, id: Id, attempt: usize, end: AttemptEnd) {
        state.running.retain(|running| *running != (id, attempt));
        state.cancelled.remove(&(id, attempt));
        if end != AttemptEnd::NeverRan {
            state.ran.push(id);
        }
        if end == AttemptEnd::Served && self.bug == Bug::RespondsTwice {
            state.responses.push((id, Received::Served));
        }
        let actions = state.guard.on_attempt_end(&id, attempt, end);
        self.execute(state, actions);
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
            responses: vec![],
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
            if !state.has_response(id) {
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
                self.execute(&mut state, actions);
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
                self.execute(&mut state, actions);
                state.responses.push((id, Received::Disconnected));
            }
            Step::DeadlinePasses => {
                state.deadline_passed = true;
                let actions = state.guard.respond_to_overdue(DEADLINE);
                self.execute(&mut state, actions);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONE_RESPONSE, |model: &Fleet, state: &State| {
                let count = |id: Id| state.responses.iter().filter(|(other, _)| *other == id).count();
                model.ids().all(|id| count(id) <= 1)
            }),
            Property::always(RESPONSE_AT_DEADLINE, |model: &Fleet, state: &State| {
                !state.deadline_passed || model.ids().all(|id| state.has_response(id))
            }),
            Property::always(ONE_IN_FLIGHT, |_, state: &State| !state.violations.two_in_flight),
            Property::always(NO_UNSAFE_REPEAT, |_, state: &State| !state.violations.ran_twice),
            Property::always(NO_START_ON_DRAINING, |_, state: &State| !state.violations.started_on_drained),
            Property::always(ONLY_FOLLOWED_EXECUTED, |_, state: &State| !state.violations.executed_fenced),
            Property::sometimes("a request is served by its second attempt", |_, state: &State| {
                let served = state.responses.iter().any(|(_, received)| *received == Received::Served);
                served && state.ran.len() >= 2
            }),
            Property::sometimes("a load is served after a change of planners", |_, state: &State| {
                state.epochs == 2 && state.responses.contains(&(0, Received::Served))
            }),
        ]
    }
}

const ONE_RESPONSE: &str = "at most one final response";
const RESPONSE_AT_DEADLINE: &str = "a final response once the deadline has passed";
const ONE_IN_FLIGHT: &str = "at most one attempt in flight";
const NO_UNSAFE_REPEAT: &str = "no unsafe request runs twice";
const NO_START_ON_DRAINING: &str = "no new attempt on an engine that drains";
const ONLY_FOLLOWED_EXECUTED: &str = "only orders of the planner that is followed are executed";

/// The properties that must hold in every state.
const INVARIANTS: [&str; 6] = [
    ONE_RESPONSE,
    RESPONSE_AT_DEADLINE,
    ONE_IN_FLIGHT,
    NO_UNSAFE_REPEAT,
    NO_START_ON_DRAINING,
    ONLY_FOLLOWED_EXECUTED,
];

/// The number of states that were reached, and the invariants that are violated in any of them.
struct Explored {
    states: usize,
    violated: Vec<&'static str>,
}

/// Explores all states up to a depth. A model of one request has a few thousand states, none deeper than 64
/// steps.
fn explore(bug: Bug, effects: &[Effect], depth: usize) -> Explored {
    let model = Fleet { bug, effects: effects.to_vec() };
    let checker = model.checker().threads(4).target_max_depth(depth).spawn_bfs().join();
    let violated = INVARIANTS.into_iter().filter(|name| checker.discovery(name).is_some()).collect();
    Explored { states: checker.unique_state_count(), violated }
}

#[test]
fn no_orders_of_planners_violate_an_invariant_for_an_unsafe_or_a_safe_request() {
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

/// The checker must report, for each bug, the invariant that the bug violates.
#[test]
fn a_bug_in_the_code_around_the_guard_is_found() {
    let cases = [
        (Bug::RespondsTwice, Effect::Safe, ONE_RESPONSE),
        (Bug::ReportsCancelAsEnd, Effect::Safe, ONE_IN_FLIGHT),
        (Bug::ReportsCancelAsNeverRan, Effect::Unsafe, NO_UNSAFE_REPEAT),
        (Bug::HidesDrain, Effect::Safe, NO_START_ON_DRAINING),
        (Bug::RestampsOrders, Effect::Safe, ONLY_FOLLOWED_EXECUTED),
    ];
    for (bug, effect, invariant) in cases {
        let violated = explore(bug, &[effect], 7).violated;
        assert!(violated.contains(&invariant), "{bug:?}: {violated:?}");
    }
}
