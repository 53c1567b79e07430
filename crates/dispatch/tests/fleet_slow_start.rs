//! Many dispatchers in simulated time before one warming engine: what all of them together send there.
//!
//! Each dispatcher keeps to its slow-start budget. The limit holds for the sum over the fleet, in every window: this plays a
//! fleet whose requests wait for that engine alone, as after a release where the old engines are full, and sums the work that
//! reaches it.

mod common;

use std::collections::BTreeMap;

use common::*;
use gaugestep_dispatch::Dispatcher;
use gaugestep_dispatch::interface::*;
use gaugestep_subsetting::slow_start::SlowStartLimit;

const DISPATCHERS: u64 = 40;
const STEP: Millis = 10.0;
const LIGHT: Millis = 50.0;
const HEAVY: Millis = 2_000.0;

struct Played {
    /// Work sent to the warming engine, by the step it was sent in.
    work: BTreeMap<u64, Millis>,
    light: usize,
    heavy: usize,
}

/// Plays `length` ms: each dispatcher gets a light request every 200 ms on average and a heavy one every 1,000 ms,
/// from the seed; each attempt ends served after its work. Dispatchers have the positions of `place` among `dispatchers`,
/// and their clocks are up to `skew` ms late.
fn play(length: Millis, dispatchers: u64, skew: Millis, place: impl Fn(u64) -> FleetPosition) -> Played {
    let settings = settings(vec![class(Effect::Safe, 1.0), class(Effect::Safe, 1.0)]);
    let start = 100_000.0;
    let mut played = Played { work: BTreeMap::new(), light: 0, heavy: 0 };
    for seed in 0..DISPATCHERS {
        let settings =
            Settings { dispatchers: dispatchers as usize, fleet_position: place(seed), ..settings.clone() };
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
        // Each request's work and number, by its id.
        let mut requests = BTreeMap::new();
        let mut number = 0;
        let mut step = 0;
        while harness.now < start + length {
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
            let (done, going): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|(end, _)| *end <= harness.now);
            running = going;
            for (_, ended) in done {
                actions.extend(harness.end(ended, 0, EngineId(0), Outcome::Served, requests[&id(ended)].0));
            }
            actions.extend(harness.advance(STEP));
            for action in actions {
                if let Action::Send { id: sent, engine: EngineId(0) } = action {
                    let (work, number) = requests[&sent];
                    *played.work.entry(step).or_default() += work;
                    let count = if work == HEAVY { &mut played.heavy } else { &mut played.light };
                    *count += 1;
                    running.push((harness.now + work, number));
                }
            }
            step += 1;
        }
    }
    played
}

/// The most that is sent in one window, over what the rule allows: 3 times what the engine can do at present, here 30%
/// of 8 cores at the start, in 1.5 s. The part that is allowed for chance is not used.
fn worst(played: &Played) -> f64 {
    let window = (1_500.0 / STEP) as u64;
    let budget = SlowStartLimit { cores: 8.0, settings: settings(vec![class(Effect::Safe, 1.0)]).slow_start };
    let last = played.work.keys().last().copied().unwrap_or(0);
    let sums = (0..=last).map(|first| {
        let sent: Millis = played.work.range(first..first + window).map(|(_, work)| work).sum();
        sent / budget.window_limit(first as f64 * STEP)
    });
    sums.fold(0.0, f64::max)
}

fn mean(played: &Played, length: Millis) -> f64 {
    let budget = SlowStartLimit { cores: 8.0, settings: settings(vec![class(Effect::Safe, 1.0)]).slow_start };
    played.work.values().sum::<Millis>() / budget.accrued(length)
}

#[test]
fn fleet_keeps_the_slow_start_limit_of_a_warming_engine_in_any_window() {
    let ordinal = |seed: u64| FleetPosition::ordinal(seed as u32, DISPATCHERS as u32).unwrap();
    let played = play(6_000.0, DISPATCHERS, 0.0, ordinal);
    let (worst_window, used) = (worst(&played), mean(&played, 6_000.0));
    println!(
        "ordinals: worst {worst_window:.2}, {used:.2} used, {} light, {} heavy",
        played.light, played.heavy
    );
    assert!(worst_window <= 1.0, "{worst_window} of the limit in one window");
    // More is used than without ordinals, and light requests are not starved by heavy ones that wait beside them.
    assert!(
        used > 0.33 && played.light > 100 && played.heavy > 3,
        "{used}, {} {}",
        played.light,
        played.heavy
    );
    let late = worst(&play(6_000.0, DISPATCHERS, 150.0, ordinal));
    assert!(late <= 1.0, "{late} of the limit where clocks differ by a tenth of the window");
}

/// Without ordinals each dispatcher has a slot by chance; the same holds where the number of dispatchers is wrong by a factor
/// of two either way.
#[test]
fn fleet_without_ordinals_or_with_a_wrong_count_keeps_the_limit_on_average() {
    let name = |seed: u64| FleetPosition::NameKey(gaugestep_subsetting::key(&format!("n{seed}")));
    let by_name = play(6_000.0, DISPATCHERS, 0.0, name);
    println!("names: worst {:.2}, {:.2} used", worst(&by_name), mean(&by_name, 6_000.0));
    assert!(worst(&by_name) <= 1.0 && mean(&by_name, 6_000.0) > 0.1);
    let many = play(6_000.0, 2 * DISPATCHERS, 0.0, |seed| {
        FleetPosition::ordinal(seed as u32, 2 * DISPATCHERS as u32).unwrap()
    });
    let few = play(6_000.0, DISPATCHERS / 2, 0.0, |seed| {
        FleetPosition::ordinal((seed / 2) as u32, DISPATCHERS as u32 / 2).unwrap()
    });
    println!("twice the count: worst {:.2}, {:.2} used", worst(&many), mean(&many, 6_000.0));
    println!("half the count: worst {:.2}, {:.2} used", worst(&few), mean(&few, 6_000.0));
    assert!(worst(&many) <= 1.0 && mean(&many, 6_000.0) > 0.1);
    // Each right is used twice: twice the limit's part, and no more.
    assert!(worst(&few) <= 2.0, "{}", worst(&few));
}

/// All meet one failure at one moment, as where an engine hangs or a zone is partitioned.
#[test]
fn dispatchers_that_met_one_failure_retry_the_engine_one_after_the_other() {
    let mut back = Vec::new();
    for ordinal in 0..DISPATCHERS {
        let place = FleetPosition::ordinal(ordinal as u32, DISPATCHERS as u32).unwrap();
        let settings = settings(vec![class(Effect::Safe, 1.0)]);
        let settings = Settings { dispatchers: DISPATCHERS as usize, fleet_position: place, ..settings };
        let mut harness = Harness { dispatcher: Dispatcher::new(settings, ordinal).unwrap(), now: 0.0 };
        harness.handle(Event::EngineList(vec![entry(0)]));
        assert_eq!(harness.arrive(request(0, 0, 60_000.0)).len(), 3);
        let refused = AttemptEnd {
            id: id(0),
            attempt: AttemptNo(0),
            engine: EngineId(0),
            outcome: Outcome::Rejected,
            finished: true,
            elapsed: 1.0,
            cost: None,
            load: None,
        };
        harness.handle(Event::AttemptEnded(refused));
        harness.arrive(request(1, 0, 60_000.0));
        while !harness.advance(5.0).iter().any(|action| matches!(action, Action::Send { .. })) {
            assert!(harness.now < 10_000.0);
        }
        back.push(harness.now);
    }
    let within = |from: f64| back.iter().filter(|at| (from..from + 50.0).contains(*at)).count();
    let most = (0..100).map(|at| within(f64::from(at) * 10.0)).max().unwrap();
    assert!(most <= DISPATCHERS as usize / 3, "{most} of {DISPATCHERS} within 50 ms: {back:?}");
}
