//! What a whole fleet sends a cold engine, whoever sends when: the sum in every window stays under the rule's limit.

#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

use gaugestep_subsetting::rotation::RotationSlot;
use gaugestep_subsetting::slow_start::{MAX_CLOCK_SKEW, SlowStartBudget, SlowStartLimit, SlowStartSettings};
use oorandom::Rand64;
use proptest::prelude::*;

/// The work sent, by when.
type Sent = Vec<(f64, f64)>;

/// How a proxy behaves.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// It sends whatever it may at once.
    Greedy,
    /// It saves up, and sends all it may within a moment now and then.
    Bursts,
    /// It has something to send only now and then.
    Seldom,
    /// It stands still for seconds, then sends whatever it may.
    Stops,
}

struct Fleet {
    proxies: u32,
    skew: f64,
    budget: SlowStartLimit,
    works: Vec<f64>,
    ways: Vec<Way>,
    exact: bool,
    /// Some restart now and then, and forget what they have sent.
    restarts: bool,
}

fn play(fleet: &Fleet, seed: u64) -> Sent {
    let mut random = Rand64::new(u128::from(seed));
    let (step, until) = (25.0, fleet.budget.settings.warm_up);
    let mut sent = Vec::new();
    for proxy in 0..fleet.proxies {
        let of = f64::from(fleet.proxies);
        let at = if fleet.exact { f64::from(proxy) } else { random.rand_float() * of };
        let slot = RotationSlot { index: at, count: of, exclusive: fleet.exact };
        let way = fleet.ways[proxy as usize % fleet.ways.len()];
        let late = random.rand_float() * fleet.skew;
        let phase = random.rand_float() * 4_000.0;
        let mut allowance = SlowStartBudget::default();
        let mut now = random.rand_float() * step;
        while now + step < until {
            now += step;
            let awake = match way {
                Way::Greedy => true,
                Way::Bursts => (now + phase) % 1_300.0 < step,
                Way::Seldom => random.rand_float() < 0.05,
                Way::Stops => (now + phase) % 4_000.0 < 1_000.0,
            };
            if fleet.restarts && random.rand_float() < 0.002 {
                allowance = SlowStartBudget::default();
            }
            // As often as it is let, the heavy ones first or the light ones.
            let mut order = fleet.works.clone();
            if random.rand_float() < 0.5 {
                order.reverse();
            }
            for work in order.into_iter().filter(|_| awake) {
                // Its clock is late: it believes the engine to be younger.
                while allowance.available(&fleet.budget, slot, now - late, fleet.works.iter().copied(), work)
                {
                    allowance.consume(work);
                    sent.push((now, work));
                }
            }
        }
    }
    sent.sort_by(|a, b| a.0.total_cmp(&b.0));
    sent
}

/// The largest sum in a window, over its limit.
fn worst(sent: &Sent, budget: &SlowStartLimit) -> f64 {
    let (mut first, mut sum, mut worst) = (0, 0.0, 0.0f64);
    for (at, work) in sent {
        sum += work;
        while sent[first].0 <= at - budget.settings.window {
            sum -= sent[first].1;
            first += 1;
        }
        worst = worst.max(sum / budget.window_limit((at - budget.settings.window).max(0.0)));
    }
    worst
}

fn budget(cores: f64, share: f64, span: f64, multiple: f64) -> SlowStartLimit {
    SlowStartLimit {
        cores,
        settings: SlowStartSettings {
            initial_share: share,
            warm_up: 12_000.0,
            capacity_multiple: multiple,
            window: span,
        },
    }
}

fn ways() -> impl Strategy<Value = Vec<Way>> {
    let way = prop_oneof![Just(Way::Greedy), Just(Way::Bursts), Just(Way::Seldom), Just(Way::Stops)];
    proptest::collection::vec(way, 1..6)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, ..ProptestConfig::default() })]

    #[test]
    fn no_window_gets_more_than_the_rule_allows_whoever_sends_when(
        (proxies, cores, share, span) in (2..150u32, 4.0..17.0f64, 0.2..0.6f64, 1_500.0..3_500.0f64),
        (multiple, heavy, light, skew) in (1.5..4.0f64, 0.05..0.3f64, 0.001..0.03f64, 0.0..1.0f64),
        (ways, restarts, seed) in (ways(), any::<bool>(), any::<u64>()),
    ) {
        let budget = budget(cores, share, span, multiple);
        let first = multiple * cores * share * span;
        let works = vec![heavy * first, light * first];
        let fleet = Fleet { proxies, skew: skew * MAX_CLOCK_SKEW * span, budget, works, ways, exact: true, restarts };
        let worst = worst(&play(&fleet, seed), &budget);
        prop_assert!(worst <= 1.0, "{worst} of the limit");
    }
}

/// How much is used where all want more than there is; `--nocapture` prints the table of the design note.
#[test]
fn more_is_used_than_by_lot_and_the_worst_window_is_nearer_to_the_mean() {
    let budget = budget(8.0, 0.34, 3_000.0, 2.5);
    for proxies in [10, 40, 100, 300] {
        let play = |exact, ways: &[Way], seed| {
            let (works, ways) = (vec![4_100.0, 140.0], ways.to_vec());
            let fleet = Fleet { proxies, skew: 100.0, budget, works, ways, exact, restarts: false };
            let sent = play(&fleet, seed);
            let sum: f64 = sent.iter().map(|it| it.1).sum();
            (worst(&sent, &budget), sum / budget.accrued(12_000.0))
        };
        let seats = play(true, &[Way::Greedy], 1);
        let lots: Vec<(f64, f64)> = (0..20).map(|seed| play(false, &[Way::Greedy], seed)).collect();
        let used = lots.iter().map(|it| it.1).sum::<f64>() / 20.0;
        let worst_lot = lots.iter().map(|it| it.0).fold(0.0, f64::max);
        let seldom = play(true, &[Way::Seldom], 1);
        println!(
            "{proxies}: seats use {:.2}, worst window {:.2}; seldom {:.2}; by lot {used:.2}, worst window of 20 plays {worst_lot:.2}",
            seats.1, seats.0, seldom.1
        );
        assert!(seats.1 > 0.3 && seats.1 > used, "{seats:?} {used}");
        assert!(
            seldom.1 > 0.3 * seats.1,
            "{seldom:?}: one that has something to send now and then uses its rights too"
        );
    }
}

/// What gathered while a proxy stood still is not spent at once, and a process that has just come uses no right that its
/// predecessor may have used.
#[test]
fn rights_lapse_and_are_not_used_twice_over_a_restart() {
    let budget = budget(8.0, 0.34, 3_000.0, 2.5);
    let works = [4_100.0, 140.0];
    let alone = RotationSlot { index: 0.0, count: 1.0, exclusive: true };
    let spend = |allowance: &mut SlowStartBudget, age: f64| {
        let mut sum = 0.0;
        for work in works {
            while allowance.available(&budget, alone, age, works.into_iter(), work) {
                allowance.consume(work);
                sum += work;
            }
        }
        sum
    };
    let mut stopped = SlowStartBudget::default();
    assert_eq!(spend(&mut stopped, 0.0), 0.0);
    // 9 s later rights for 30 s of work have come up; the newest of each kind is there.
    let gathered = budget.accrued(9_000.0) * 0.45;
    let spent = spend(&mut stopped, 9_000.0);
    assert!(spent > 0.0 && spent < 0.3 * gathered, "{spent} of {gathered}");
    assert_eq!(spend(&mut stopped, 9_001.0), 0.0);
    let mut restarted = SlowStartBudget::default();
    assert_eq!(spend(&mut restarted, 9_002.0), 0.0, "the rights that were there before it was");
    assert!((9_003..12_000).any(|age| spend(&mut restarted, f64::from(age)) > 0.0));
    let mut warm = SlowStartBudget::default();
    assert!(
        warm.available(&budget, alone, 12_000.0, works.into_iter(), 1e9),
        "a warm engine has no limit here"
    );
}
