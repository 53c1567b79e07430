//! The work that many dispatchers together send to one engine that is warming up, in simulated time.
//!
//! Each dispatcher has its own slow-start budget, and the limit applies to the sum over the fleet in every
//! window. The tests simulate a fleet whose requests wait for this engine only, as after a release while the
//! old engines are full, and add up the work that it is sent.

mod common;

use std::collections::BTreeMap;

use common::*;
use gaugestep_dispatch::Dispatcher;
use gaugestep_dispatch::interface::*;
use gaugestep_subsetting::slow_start::SlowStartLimit;

const DISPATCHERS: u64 = 40;
/// The step of the simulated clock, in ms.
const STEP: Millis = 10.0;
/// The work of a light request, in ms.
const LIGHT: Millis = 50.0;
/// The work of a heavy request, in ms.
const HEAVY: Millis = 2_000.0;

/// The requests that were sent to the warming engine.
struct SentWork {
    /// The work, by the step in which it was sent.
    work: BTreeMap<u64, Millis>,
    /// The number of light requests.
    light: usize,
    /// The number of heavy requests.
    heavy: usize,
}

/// Simulates the fleet for `duration`. Each dispatcher gets a light request every 200 ms on average and a
/// heavy one every 1,000 ms, drawn from its seed; each attempt is served after its work. By its settings a
/// dispatcher is one of `dispatchers` and has the position that `position` returns for its seed. Clocks are
/// up to `skew` ms late.
fn simulate(
    duration: Millis,
    dispatchers: u64,
    skew: Millis,
    position: impl Fn(u64) -> FleetPosition,
) -> SentWork {
    let settings = settings(vec![class(Idempotency::Safe, 1.0), class(Idempotency::Safe, 1.0)]);
    let start = 100_000.0;
    let mut total = SentWork { work: BTreeMap::new(), light: 0, heavy: 0 };
    for seed in 0..DISPATCHERS {
        let settings = Settings {
            dispatchers: dispatchers as usize,
            fleet_position: position(seed),
            ..settings.clone()
        };
        let mut harness = Harness {
            dispatcher: Dispatcher::new(settings, seed).expect("the settings are valid"),
            now: start,
        };
        let late = skew * (seed % 3) as f64 / 2.0;
        harness.handle(Event::EngineList(vec![EngineEntry {
            started_at: Some(start + late - 10.0),
            ..entry(0)
        }]));
        let mut random = oorandom::Rand64::new(u128::from(seed) + 1_000);
        let mut running: Vec<(Millis, u32)> = Vec::new();
        // The work and the number of each request, by its id.
        let mut requests = BTreeMap::new();
        let mut number = 0;
        let mut step = 0;
        while harness.now < start + duration {
            let mut actions = Vec::new();
            for (work, chance) in [(LIGHT, STEP / 200.0), (HEAVY, STEP / 1_000.0)] {
                if random.rand_float() < chance {
                    number += 1;
                    requests.insert(id(number), (work, number));
                    let class = usize::from(work == HEAVY);
                    let new = NewRequest { estimate: work, ..request(number, class, harness.now + 10_000.0) };
                    actions.extend(harness.arrive(new));
                }
            }
            let (ended, still_running): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|(end, _)| *end <= harness.now);
            running = still_running;
            for (_, number) in ended {
                actions.extend(harness.end(number, 0, EngineId(0), Outcome::Served, requests[&id(number)].0));
            }
            actions.extend(harness.advance(STEP));
            for action in actions {
                if let Action::Send { id: sent, engine: EngineId(0) } = action {
                    let (work, number) = requests[&sent];
                    *total.work.entry(step).or_default() += work;
                    let count = if work == HEAVY { &mut total.heavy } else { &mut total.light };
                    *count += 1;
                    running.push((harness.now + work, number));
                }
            }
            step += 1;
        }
    }
    total
}

/// The largest ratio of the work sent in one window of 1.5 s to the limit of that window, without the
/// tolerance for chance. The limit is 3 times the capacity of the engine, which at its start is 30% of 8
/// cores.
fn worst_window(sent: &SentWork) -> f64 {
    let window = (1_500.0 / STEP) as u64;
    let budget =
        SlowStartLimit { cores: 8.0, settings: settings(vec![class(Idempotency::Safe, 1.0)]).slow_start };
    let last = sent.work.keys().last().copied().unwrap_or(0);
    let sums = (0..=last).map(|first| {
        let work: Millis = sent.work.range(first..first + window).map(|(_, work)| work).sum();
        work / budget.window_limit(first as f64 * STEP)
    });
    sums.fold(0.0, f64::max)
}

/// The fraction of the accrued budget that was used over the duration.
fn used_fraction(sent: &SentWork, duration: Millis) -> f64 {
    let budget =
        SlowStartLimit { cores: 8.0, settings: settings(vec![class(Idempotency::Safe, 1.0)]).slow_start };
    sent.work.values().sum::<Millis>() / budget.accrued(duration)
}

#[test]
fn fleet_keeps_the_slow_start_limit_of_a_warming_engine_in_any_window() {
    let ordinal = |seed: u64| FleetPosition::ordinal(seed as u32, DISPATCHERS as u32).unwrap();
    let sent = simulate(6_000.0, DISPATCHERS, 0.0, ordinal);
    let (worst, used) = (worst_window(&sent), used_fraction(&sent, 6_000.0));
    println!("ordinals: worst {worst:.2}, {used:.2} used, {} light, {} heavy", sent.light, sent.heavy);
    assert!(worst <= 1.0, "{worst} of the limit in one window");
    // More of the budget is used than without ordinals, and waiting heavy requests do not starve light ones.
    assert!(
        used > 0.33 && sent.light > 100 && sent.heavy > 3,
        "{used} used, {} light, {} heavy",
        sent.light,
        sent.heavy
    );
    let skewed = worst_window(&simulate(6_000.0, DISPATCHERS, 150.0, ordinal));
    assert!(skewed <= 1.0, "{skewed} of the limit with clocks that differ by a tenth of the window");
}

/// Without ordinals each dispatcher has a random slot in the rotation. The count of dispatchers may also be
/// wrong, here by a factor of two in either direction.
#[test]
fn fleet_without_ordinals_or_with_a_wrong_count_keeps_its_bound_on_the_limit() {
    let name = |seed: u64| FleetPosition::NameKey(gaugestep_subsetting::key(&format!("n{seed}")));
    let by_name = simulate(6_000.0, DISPATCHERS, 0.0, name);
    println!("names: worst {:.2}, {:.2} used", worst_window(&by_name), used_fraction(&by_name, 6_000.0));
    assert!(worst_window(&by_name) <= 1.0 && used_fraction(&by_name, 6_000.0) > 0.1);
    let twice = simulate(6_000.0, 2 * DISPATCHERS, 0.0, |seed| {
        FleetPosition::ordinal(seed as u32, 2 * DISPATCHERS as u32).unwrap()
    });
    let half = simulate(6_000.0, DISPATCHERS / 2, 0.0, |seed| {
        FleetPosition::ordinal((seed / 2) as u32, DISPATCHERS as u32 / 2).unwrap()
    });
    println!(
        "twice the count: worst {:.2}, {:.2} used",
        worst_window(&twice),
        used_fraction(&twice, 6_000.0)
    );
    println!("half the count: worst {:.2}, {:.2} used", worst_window(&half), used_fraction(&half, 6_000.0));
    assert!(worst_window(&twice) <= 1.0 && used_fraction(&twice, 6_000.0) > 0.1);
    // Two dispatchers use each credit, so that up to twice the limit is sent.
    assert!(worst_window(&half) <= 2.0, "{}", worst_window(&half));
}

/// If an engine hangs or a zone is partitioned, all dispatchers observe the failure at the same time. They
/// must not all send the first request after the ejection at the same time.
#[test]
fn dispatchers_that_observed_one_failure_retry_the_engine_at_different_times() {
    let mut retry_times = Vec::new();
    for ordinal in 0..DISPATCHERS {
        let position = FleetPosition::ordinal(ordinal as u32, DISPATCHERS as u32).unwrap();
        let settings = settings(vec![class(Idempotency::Safe, 1.0)]);
        let settings = Settings { dispatchers: DISPATCHERS as usize, fleet_position: position, ..settings };
        let mut harness = Harness { dispatcher: Dispatcher::new(settings, ordinal).unwrap(), now: 0.0 };
        harness.handle(Event::EngineList(vec![entry(0)]));
        assert_eq!(harness.arrive(request(0, 0, 60_000.0)).len(), 3);
        let rejected = AttemptEnd {
            id: id(0),
            attempt: AttemptNo(0),
            engine: EngineId(0),
            outcome: Outcome::Rejected,
            finished: true,
            elapsed: 1.0,
            cost: None,
            load: None,
        };
        harness.handle(Event::AttemptEnded(rejected));
        harness.arrive(request(1, 0, 60_000.0));
        while !harness.advance(5.0).iter().any(|action| matches!(action, Action::Send { .. })) {
            assert!(harness.now < 10_000.0);
        }
        retry_times.push(harness.now);
    }
    let count_within = |from: f64| retry_times.iter().filter(|at| (from..from + 50.0).contains(*at)).count();
    let most = (0..100).map(|step| count_within(f64::from(step) * 10.0)).max().unwrap();
    assert!(most <= DISPATCHERS as usize / 3, "{most} of {DISPATCHERS} within 50 ms: {retry_times:?}");
}
