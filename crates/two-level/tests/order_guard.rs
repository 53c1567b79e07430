//! Tests of the guard on its own with planners that die, are suspended and resume, and compete for the same
//! forwarder.

use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_two_level::PlannerId;
use gaugestep_two_level::order_guard::{
    Action, Attempt, AttemptEnd, AttemptState, DeduplicationScope, Effect, Engine, EngineId, Order,
    OrderGuard, OrderRejectReason, PlannerEvent, RequestInfo, Response, RetryBudgetSettings,
};

type Guard = OrderGuard<u32, &'static str>;
type GuardAction = Action<u32, &'static str>;

const LEASE: Duration = Duration::from_millis(1_000);
const START: Timestamp = Timestamp::ORIGIN;
const DEADLINE: Timestamp = at(10_000);
const REJECTED_WITHOUT_DELAY: Response = Response::Rejected { retry_after: Duration::ZERO };

const fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn planner(name: &str) -> PlannerId {
    PlannerId(name.into())
}

fn engine(cell: u64) -> Engine {
    Engine { up: true, zone: 0, cell }
}

/// Creates a guard that knows four engines in two cells and follows no planner.
fn new_guard(retry_budget: Option<RetryBudgetSettings>) -> Guard {
    let mut guard = OrderGuard::new(retry_budget);
    guard.replace_engines((0..4).map(|id| (EngineId(id), engine(u64::from(id) % 2))));
    guard
}

/// Creates a guard with one request, whose id is 1.
fn guard_with_request(effect: Effect) -> Guard {
    let mut guard = new_guard(None);
    add_request(&mut guard, 1, effect);
    guard
}

fn info(effect: Effect, deadline: Timestamp) -> RequestInfo<&'static str> {
    RequestInfo { effect, deadline, max_attempts: 4, details: "report" }
}

fn add_request(guard: &mut Guard, id: u32, effect: Effect) {
    assert!(guard.on_request(START, id, info(effect, DEADLINE)));
}

/// Follows a planner, registers up to ten open requests with it, and returns the epoch.
fn follow(guard: &mut Guard, name: &str, now: Timestamp) -> u64 {
    let epoch = guard.follow(planner(name), now, LEASE);
    guard.register(now, 10);
    epoch
}

fn start(attempt: usize, engine: u32) -> Order {
    Order::StartAttempt { attempt, engine: EngineId(engine), priority: 2 }
}

fn cancel(attempt: usize) -> Order {
    Order::CancelAttempt { attempt }
}

/// Returns the engine of the attempt that was started, if any.
fn started(actions: &[GuardAction]) -> Option<u32> {
    actions.iter().find_map(|action| match action {
        Action::StartAttempt { engine, .. } => Some(engine.0),
        _ => None,
    })
}

/// Returns the reason with which a planner is notified of a rejected order, if any.
fn rejection(actions: &[GuardAction]) -> Option<OrderRejectReason> {
    actions.iter().find_map(|action| match action {
        Action::Notify { event: PlannerEvent::OrderRejected { reason, .. }, .. } => Some(*reason),
        _ => None,
    })
}

/// Returns the final responses to clients.
fn responses(actions: &[GuardAction]) -> Vec<Response> {
    let response = |action: &GuardAction| match action {
        Action::Respond { response, .. } => Some(*response),
        _ => None,
    };
    actions.iter().filter_map(response).collect()
}

#[test]
fn an_attempt_that_never_ran_may_be_repeated_by_the_next_planner() {
    let mut guard = guard_with_request(Effect::Unsafe);
    let a = follow(&mut guard, "a", START);
    assert_eq!(started(&guard.on_order(at(1), a, &1, start(0, 0))), Some(0));
    guard.abandon();
    // The connection was never established, so the request was not sent.
    let actions = guard.on_attempt_end(&1, 0, AttemptEnd::NeverRan);
    assert!(actions.is_empty(), "no planner is followed, so none is notified");
    let b = guard.follow(planner("b"), at(5), LEASE);
    let registered = guard.register(at(5), 10);
    let history =
        Attempt { engine: EngineId(0), started_at: at(1), state: AttemptState::NeverRan, priority: 2 };
    let [Action::Notify { event: PlannerEvent::Registered { id: 1, attempts, .. }, .. }] = &registered[..]
    else {
        panic!("{registered:?}");
    };
    assert_eq!(attempts[..], [history]);
    assert_eq!(
        started(&guard.on_order(at(6), a, &1, start(1, 1))),
        None,
        "a delayed order of the dead planner"
    );
    assert_eq!(started(&guard.on_order(at(6), b, &1, start(1, 1))), Some(1));
}

#[test]
fn a_result_that_arrives_without_a_planner_is_sent_to_the_client() {
    let mut guard = guard_with_request(Effect::Unsafe);
    let a = follow(&mut guard, "a", START);
    guard.on_order(at(1), a, &1, start(0, 0));
    guard.abandon();
    assert_eq!(responses(&guard.on_attempt_end(&1, 0, AttemptEnd::Served)), [Response::Served]);
    guard.follow(planner("b"), at(5), LEASE);
    assert!(guard.register(at(5), 10).is_empty(), "the request is finished");
    assert_eq!(guard.open_count(), 0);
}

#[test]
fn an_unsafe_request_that_may_have_run_is_not_repeated_and_fails() {
    let mut guard = guard_with_request(Effect::Unsafe);
    let a = follow(&mut guard, "a", START);
    guard.on_order(at(1), a, &1, start(0, 0));
    guard.on_attempt_end(&1, 0, AttemptEnd::MayHaveRun);
    for name in ["a", "b"] {
        let epoch = follow(&mut guard, name, at(2));
        let reject = Order::Reject { retry_after: Duration::from_millis(5) };
        for order in [start(1, 1), reject] {
            let actions = guard.on_order(at(3), epoch, &1, order);
            assert_eq!(rejection(&actions), Some(OrderRejectReason::NotRepeatable), "{order:?}");
        }
    }
    assert_eq!(responses(&guard.respond_to_overdue(DEADLINE)), [Response::Failed]);
}

#[test]
fn orders_of_a_resumed_planner_and_starts_on_draining_engines_are_rejected() {
    let mut guard = guard_with_request(Effect::Safe);
    let a = follow(&mut guard, "a", START);
    let expiry = START + LEASE;
    assert!(guard.is_lease_expired(expiry));
    assert!(guard.on_order(expiry, a, &1, start(0, 0)).is_empty(), "its lease has expired");
    assert!(guard.renew(a, at(900), LEASE), "a renewal from before the suspension arrives");
    guard.update_engine(EngineId(0), Some(Engine { up: false, ..engine(0) }));
    guard.update_engine(EngineId(1), None);
    for engine in [0, 1] {
        let actions = guard.on_order(at(1_100), a, &1, start(0, engine));
        assert_eq!(rejection(&actions), Some(OrderRejectReason::EngineNotUp));
    }
    let b = follow(&mut guard, "b", at(1_200));
    assert!(!guard.renew(a, at(1_200), LEASE), "the forwarder follows another planner");
    assert!(guard.on_order(at(1_300), a, &1, start(0, 2)).is_empty());
    assert_eq!(started(&guard.on_order(at(1_300), b, &1, start(0, 2))), Some(2));
}

#[test]
fn only_orders_of_the_planner_followed_last_are_executed() {
    let mut guard = guard_with_request(Effect::Safe);
    let a = follow(&mut guard, "a", START);
    let b = follow(&mut guard, "b", at(1));
    assert_eq!(started(&guard.on_order(at(2), b, &1, start(0, 1))), Some(1));
    for order in [start(1, 0), cancel(0), Order::Fail] {
        assert!(guard.on_order(at(2), a, &1, order).is_empty(), "{order:?}");
    }
    // The forwarder follows the first planner again under a new epoch, which also fences its earlier orders.
    let again = guard.follow(planner("a"), at(3), LEASE);
    assert!(guard.on_order(at(3), a, &1, Order::Fail).is_empty());
    let actions = guard.on_order(at(3), again, &1, Order::Fail);
    assert_eq!(
        rejection(&actions),
        Some(OrderRejectReason::UnknownRequest),
        "the request is not registered yet"
    );
}

#[test]
fn duplicated_and_reordered_orders_have_no_second_effect() {
    let mut guard = guard_with_request(Effect::Safe);
    let a = follow(&mut guard, "a", START);
    let now = at(1);
    let reason = |guard: &mut Guard, order| rejection(&guard.on_order(now, a, &1, order));
    assert_eq!(reason(&mut guard, start(1, 0)), Some(OrderRejectReason::UnexpectedAttempt));
    assert_eq!(started(&guard.on_order(now, a, &1, start(0, 0))), Some(0));
    assert_eq!(reason(&mut guard, start(0, 0)), Some(OrderRejectReason::UnexpectedAttempt));
    assert_eq!(reason(&mut guard, start(1, 1)), Some(OrderRejectReason::AttemptInFlight));
    assert_eq!(reason(&mut guard, cancel(1)), Some(OrderRejectReason::UnexpectedAttempt));
    let cancelled = guard.on_order(now, a, &1, cancel(0));
    assert_eq!(cancelled, [Action::CancelAttempt { id: 1, attempt: 0 }]);
    guard.on_attempt_end(&1, 0, AttemptEnd::MayHaveRun);
    let second_end = guard.on_attempt_end(&1, 0, AttemptEnd::Served);
    assert!(second_end.is_empty(), "an attempt ends once");
    let retry_after = Duration::from_millis(70);
    let rejected = guard.on_order(now, a, &1, Order::Reject { retry_after });
    assert_eq!(responses(&rejected), [Response::Rejected { retry_after }]);
    assert_eq!(reason(&mut guard, Order::Fail), Some(OrderRejectReason::UnknownRequest));
}

#[test]
fn without_a_planner_every_request_gets_a_response_at_its_deadline() {
    let mut guard = guard_with_request(Effect::Safe);
    add_request(&mut guard, 2, Effect::Unsafe);
    add_request(&mut guard, 3, Effect::Unsafe);
    let a = follow(&mut guard, "a", START);
    guard.on_order(at(1), a, &3, start(0, 0));
    guard.abandon();
    assert_eq!(guard.next_deadline(), Some(DEADLINE));
    assert!(guard.respond_to_overdue(at(9_999)).is_empty());
    let actions = guard.respond_to_overdue(DEADLINE);
    assert_eq!(responses(&actions), [REJECTED_WITHOUT_DELAY, REJECTED_WITHOUT_DELAY, Response::Failed]);
    assert!(actions.contains(&Action::CancelAttempt { id: 3, attempt: 0 }));
    assert!(guard.respond_to_overdue(at(20_000)).is_empty());
    assert!(guard.on_attempt_end(&3, 0, AttemptEnd::Served).is_empty());
}

#[test]
fn the_retry_budget_is_kept_over_a_change_of_planners() {
    let settings = RetryBudgetSettings { base: 1.0, ratio: 0.2, window: Duration::from_secs(5) };
    let mut guard = new_guard(Some(settings));
    for id in 0..5 {
        add_request(&mut guard, id, Effect::Safe);
    }
    let mut retries = 0;
    for (id, name) in (0u32..).zip(["a", "b", "a", "b", "a"]) {
        let now = at(10 * u64::from(id));
        let epoch = follow(&mut guard, name, now);
        assert!(
            started(&guard.on_order(now, epoch, &id, start(0, 0))).is_some(),
            "first attempts do not use the retry budget"
        );
        guard.on_attempt_end(&id, 0, AttemptEnd::MayHaveRun);
        let actions = guard.on_order(now, epoch, &id, start(1, 1));
        match rejection(&actions) {
            None => assert!(started(&actions).is_some()),
            Some(reason) => assert_eq!(reason, OrderRejectReason::RetryBudgetExhausted),
        }
        retries += usize::from(started(&actions).is_some());
    }
    assert_eq!(retries, 2, "a base of one, and one for five requests");
}

#[test]
fn deduplicated_requests_are_repeated_within_their_scope_and_window() {
    let cases = [
        (DeduplicationScope::Cell, 2, 100, true),
        (DeduplicationScope::Cell, 1, 100, false),
        (DeduplicationScope::Zone, 1, 100, true),
        (DeduplicationScope::All, 1, 100, true),
        (DeduplicationScope::All, 1, 1_000, false),
    ];
    for (scope, engine, repeated_at, repeatable) in cases {
        let window = Duration::from_millis(500);
        let mut guard = guard_with_request(Effect::Deduplicated { scope, window });
        let a = guard.follow(planner("a"), START, Duration::from_secs(1_000));
        guard.register(START, 10);
        guard.on_order(at(1), a, &1, start(0, 0));
        guard.on_attempt_end(&1, 0, AttemptEnd::MayHaveRun);
        let actions = guard.on_order(at(repeated_at), a, &1, start(1, engine));
        assert_eq!(started(&actions).is_some(), repeatable, "{scope:?} {engine} {repeated_at}");
    }
}

#[test]
fn a_hand_over_is_limited_per_call_and_begins_with_the_earliest_deadlines() {
    const REQUESTS: u32 = 100;
    const LIMIT: usize = 16;
    let mut guard = new_guard(None);
    for id in 0..REQUESTS {
        let deadline = DEADLINE - Duration::from_millis(id.into());
        assert!(guard.on_request(START, id, info(Effect::Safe, deadline)));
        assert!(!guard.on_request(START, id, info(Effect::Safe, at(1))), "a request with this id is open");
    }
    guard.follow(planner("b"), START, LEASE);
    let mut registered = Vec::new();
    for _ in 0..10 {
        let actions = guard.register(at(1), LIMIT);
        assert!(actions.len() <= LIMIT);
        registered.extend(actions.iter().filter_map(|action| match action {
            Action::Notify { event: PlannerEvent::Registered { id, .. }, .. } => Some(*id),
            _ => None,
        }));
    }
    assert_eq!(registered, (0..REQUESTS).rev().collect::<Vec<u32>>());
    assert!(
        guard.register(START + LEASE, LIMIT).is_empty(),
        "no request is registered with a planner without a lease"
    );
    assert_eq!(responses(&guard.on_disconnect(&5)), []);
    assert_eq!(guard.open_count(), 99);
}
