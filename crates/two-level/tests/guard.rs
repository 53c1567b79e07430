//! The hard cases of two levels on the guard alone: planners that die, pause, wake and quarrel.

use gaugestep_two_level::PlannerId;
use gaugestep_two_level::guard::{
    Act, Answer, Attempt, Effect, Engine, EngineId, Facts, Group, Guard, Order, Ration, Stand, Tell, Veto,
};

const LEASE: f64 = 1_000.0;

fn planner(name: &str) -> PlannerId {
    PlannerId(name.into())
}

fn engine(cell: u64) -> Engine {
    Engine { up: true, zone: 0, cell }
}

fn guard(ration: Option<Ration>) -> Guard<u32, &'static str> {
    let mut guard = Guard::new(ration);
    guard.listed((0..4).map(|id| (EngineId(id), Some(engine(u64::from(id) % 2)))), true);
    guard
}

fn arrive(guard: &mut Guard<u32, &'static str>, id: u32, effect: Effect) {
    let facts = Facts { effect, due: 10_000.0, most: 4, told: "report" };
    assert!(guard.arrived(0.0, id, facts));
}

fn send(attempt: usize, to: u32) -> Order {
    Order::Send { attempt, engine: EngineId(to), priority: 2 }
}

/// What was started, if anything was.
fn started(acts: &[Act<u32, &'static str>]) -> Option<u32> {
    acts.iter().find_map(|act| match act {
        Act::Start { engine, .. } => Some(engine.0),
        _ => None,
    })
}

/// Why an order was void, as its planner is told.
fn vetoed(acts: &[Act<u32, &'static str>]) -> Option<Veto> {
    acts.iter().find_map(|act| match act {
        Act::Tell { what: Tell::Vetoed { why, .. }, .. } => Some(*why),
        _ => None,
    })
}

fn answers(acts: &[Act<u32, &'static str>]) -> Vec<Answer> {
    let answer = |act: &Act<u32, &'static str>| match act {
        Act::Answer { answer, .. } => Some(*answer),
        _ => None,
    };
    acts.iter().filter_map(answer).collect()
}

#[test]
fn a_planner_that_dies_between_its_order_and_the_first_byte_leaves_a_load_that_may_go_out_again() {
    let mut guard = guard(None);
    arrive(&mut guard, 1, Effect::Unsafe);
    let a = guard.follow(planner("a"), 0.0, LEASE);
    guard.register(0.0, 10);
    assert_eq!(started(&guard.ordered(1.0, a, &1, send(0, 0))), Some(0));
    guard.forsake();
    // The connection never came up: nothing was written.
    assert!(guard.ended(&1, 0, false, Stand::NeverRan).is_empty(), "nobody is there to be told");
    let b = guard.follow(planner("b"), 5.0, LEASE);
    let told = guard.register(5.0, 10);
    let history = Attempt { engine: EngineId(0), at: 1.0, stand: Stand::NeverRan, priority: 2 };
    assert!(
        matches!(&told[..], [Act::Tell { what: Tell::Register { id: 1, attempts, .. }, .. }] if attempts[..] == [history]),
        "{told:?}"
    );
    assert_eq!(started(&guard.ordered(6.0, a, &1, send(1, 1))), None, "the dead one's order comes late");
    assert_eq!(started(&guard.ordered(6.0, b, &1, send(1, 1))), Some(1));
}

#[test]
fn a_planner_that_dies_between_the_engines_answer_and_the_report_costs_nothing() {
    let mut guard = guard(None);
    arrive(&mut guard, 1, Effect::Unsafe);
    let a = guard.follow(planner("a"), 0.0, LEASE);
    guard.register(0.0, 10);
    guard.ordered(1.0, a, &1, send(0, 0));
    guard.forsake();
    assert_eq!(answers(&guard.ended(&1, 0, true, Stand::MayHaveRun)), [Answer::Served]);
    guard.follow(planner("b"), 5.0, LEASE);
    assert!(guard.register(5.0, 10).is_empty(), "it is over");
    assert_eq!(guard.open(), 0);
}

#[test]
fn a_load_that_may_have_run_is_sent_again_by_no_planner_and_failed_not_refused() {
    let mut guard = guard(None);
    arrive(&mut guard, 1, Effect::Unsafe);
    let a = guard.follow(planner("a"), 0.0, LEASE);
    guard.register(0.0, 10);
    guard.ordered(1.0, a, &1, send(0, 0));
    guard.ended(&1, 0, false, Stand::MayHaveRun);
    for name in ["a", "b"] {
        let epoch = guard.follow(planner(name), 2.0, LEASE);
        guard.register(2.0, 10);
        assert_eq!(vetoed(&guard.ordered(3.0, epoch, &1, send(1, 1))), Some(Veto::NotRepeatable));
        let refused = guard.ordered(3.0, epoch, &1, Order::Refuse { retry_after: 5.0 });
        assert_eq!(vetoed(&refused), Some(Veto::NotRepeatable));
    }
    assert_eq!(answers(&guard.overdue(10_000.0)), [Answer::Failed]);
}

#[test]
fn a_paused_planner_that_wakes_is_not_obeyed_and_what_drained_meanwhile_gets_nothing() {
    let mut guard = guard(None);
    arrive(&mut guard, 1, Effect::Safe);
    let a = guard.follow(planner("a"), 0.0, LEASE);
    guard.register(0.0, 10);
    assert!(guard.silent(LEASE));
    assert!(guard.ordered(LEASE, a, &1, send(0, 0)).is_empty(), "its lease has run out");
    assert!(guard.renewed(a, 900.0, LEASE), "it wakes, and its word of before the pause comes");
    let drains = Engine { up: false, ..engine(0) };
    guard.listed([(EngineId(0), Some(drains))], false);
    assert_eq!(vetoed(&guard.ordered(1_100.0, a, &1, send(0, 0))), Some(Veto::EngineNotUp));
    guard.listed([(EngineId(1), None)], false);
    assert_eq!(vetoed(&guard.ordered(1_100.0, a, &1, send(0, 1))), Some(Veto::EngineNotUp));
    let b = guard.follow(planner("b"), 1_200.0, LEASE);
    guard.register(1_200.0, 10);
    assert!(!guard.renewed(a, 1_200.0, LEASE), "the forwarder has moved on");
    assert!(guard.ordered(1_300.0, a, &1, send(0, 2)).is_empty());
    assert_eq!(started(&guard.ordered(1_300.0, b, &1, send(0, 2))), Some(2));
}

#[test]
fn of_two_planners_that_both_believe_a_forwarder_theirs_the_one_chosen_last_is_obeyed() {
    let mut guard = guard(None);
    arrive(&mut guard, 1, Effect::Safe);
    let a = guard.follow(planner("a"), 0.0, LEASE);
    guard.register(0.0, 10);
    let b = guard.follow(planner("b"), 1.0, LEASE);
    guard.register(1.0, 10);
    assert_eq!(started(&guard.ordered(2.0, b, &1, send(0, 1))), Some(1));
    for order in [send(1, 0), Order::Cancel { attempt: 0 }, Order::Fail] {
        assert!(guard.ordered(2.0, a, &1, order).is_empty(), "{order:?}");
    }
    // Back to the first, under a new epoch: its orders of before are void too.
    let again = guard.follow(planner("a"), 3.0, LEASE);
    assert!(guard.ordered(3.0, a, &1, Order::Fail).is_empty());
    assert_eq!(
        vetoed(&guard.ordered(3.0, again, &1, Order::Fail)),
        Some(Veto::Unknown),
        "not registered yet"
    );
}

#[test]
fn an_order_that_comes_twice_or_out_of_turn_does_nothing_twice() {
    let mut guard = guard(None);
    arrive(&mut guard, 1, Effect::Safe);
    let a = guard.follow(planner("a"), 0.0, LEASE);
    guard.register(0.0, 10);
    assert_eq!(vetoed(&guard.ordered(1.0, a, &1, send(1, 0))), Some(Veto::OutOfTurn));
    assert_eq!(started(&guard.ordered(1.0, a, &1, send(0, 0))), Some(0));
    assert_eq!(vetoed(&guard.ordered(1.0, a, &1, send(0, 0))), Some(Veto::OutOfTurn));
    assert_eq!(vetoed(&guard.ordered(1.0, a, &1, send(1, 1))), Some(Veto::AttemptOut));
    assert_eq!(vetoed(&guard.ordered(1.0, a, &1, Order::Cancel { attempt: 1 })), Some(Veto::OutOfTurn));
    assert_eq!(guard.ordered(1.0, a, &1, Order::Cancel { attempt: 0 }), [Act::CallOff { id: 1, attempt: 0 }]);
    guard.ended(&1, 0, false, Stand::MayHaveRun);
    assert!(guard.ended(&1, 0, true, Stand::MayHaveRun).is_empty(), "each attempt ends once");
    assert_eq!(
        answers(&guard.ordered(1.0, a, &1, Order::Refuse { retry_after: 70.0 })),
        [Answer::Refused(70.0)]
    );
    assert_eq!(vetoed(&guard.ordered(1.0, a, &1, Order::Fail)), Some(Veto::Unknown));
}

#[test]
fn without_any_planner_each_request_has_its_answer_when_its_time_is_up() {
    let mut guard = guard(None);
    arrive(&mut guard, 1, Effect::Safe);
    arrive(&mut guard, 2, Effect::Unsafe);
    arrive(&mut guard, 3, Effect::Unsafe);
    let a = guard.follow(planner("a"), 0.0, LEASE);
    guard.register(0.0, 10);
    guard.ordered(1.0, a, &3, send(0, 0));
    guard.forsake();
    assert_eq!(guard.next_due(), Some(10_000.0));
    assert!(guard.overdue(9_999.0).is_empty());
    let acts = guard.overdue(10_000.0);
    assert_eq!(answers(&acts), [Answer::Refused(0.0), Answer::Refused(0.0), Answer::Failed]);
    assert!(acts.contains(&Act::CallOff { id: 3, attempt: 0 }));
    assert!(guard.overdue(20_000.0).is_empty() && guard.ended(&3, 0, true, Stand::MayHaveRun).is_empty());
}

#[test]
fn the_ration_of_further_attempts_outlives_planners() {
    let mut guard = guard(Some(Ration { free: 1.0, ratio: 0.2, span: 5_000.0 }));
    for id in 0..5 {
        arrive(&mut guard, id, Effect::Safe);
    }
    let mut further = 0;
    for (id, name) in ["a", "b", "a", "b", "a"].into_iter().enumerate() {
        let (id, now) = (id as u32, 10.0 * id as f64);
        let epoch = guard.follow(planner(name), now, LEASE);
        guard.register(now, 10);
        assert!(started(&guard.ordered(now, epoch, &id, send(0, 0))).is_some(), "first attempts are free");
        guard.ended(&id, 0, false, Stand::MayHaveRun);
        let acts = guard.ordered(now, epoch, &id, send(1, 1));
        further += usize::from(started(&acts).is_some());
        assert!(started(&acts).is_some() || vetoed(&acts) == Some(Veto::Rationed));
    }
    assert_eq!(further, 2, "one free and a fifth of five requests");
}

#[test]
fn keyed_requests_go_again_only_to_their_group_and_within_their_window() {
    let cases = [
        (Group::Cell, 2, 100.0, true),
        (Group::Cell, 1, 100.0, false),
        (Group::Zone, 1, 100.0, true),
        (Group::All, 1, 100.0, true),
        (Group::All, 1, 1_000.0, false),
    ];
    for (group, to, at, goes) in cases {
        let mut guard = guard(None);
        arrive(&mut guard, 1, Effect::Keyed(group, 500.0));
        let a = guard.follow(planner("a"), 0.0, 1e6);
        guard.register(0.0, 10);
        guard.ordered(1.0, a, &1, send(0, 0));
        guard.ended(&1, 0, false, Stand::MayHaveRun);
        assert_eq!(started(&guard.ordered(at, a, &1, send(1, to))).is_some(), goes, "{group:?} {to} {at}");
    }
}

#[test]
fn a_hand_over_is_paced_and_the_most_pressing_come_first() {
    let mut guard = guard(None);
    for id in 0..100u32 {
        let facts = Facts { effect: Effect::Safe, due: 10_000.0 - f64::from(id), most: 4, told: "report" };
        assert!(guard.arrived(0.0, id, facts));
        let again = Facts { effect: Effect::Safe, due: 1.0, most: 1, told: "other" };
        assert!(!guard.arrived(0.0, id, again), "an id that is open");
    }
    guard.follow(planner("b"), 0.0, LEASE);
    let mut seen = Vec::new();
    for _ in 0..10 {
        let told = guard.register(1.0, 16);
        assert!(told.len() <= 16);
        seen.extend(told.iter().filter_map(|act| match act {
            Act::Tell { what: Tell::Register { id, .. }, .. } => Some(*id),
            _ => None,
        }));
    }
    assert_eq!(seen, (0..100).rev().collect::<Vec<u32>>());
    assert!(guard.register(LEASE, 16).is_empty(), "nothing to a silent planner");
    assert_eq!(answers(&guard.client_gone(&5)), []);
    assert_eq!(guard.open(), 99);
}
