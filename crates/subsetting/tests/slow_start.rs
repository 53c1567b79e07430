//! Simulations of a fleet that sends to an engine that is warming up: the work sent in every window stays
//! below the limit.

use gaugestep_subsetting::rotation::RotationSlot;
use gaugestep_subsetting::slow_start::{
    MAX_CLOCK_SKEW_WINDOWS, SlowStartBudget, SlowStartLimit, SlowStartSettings,
};
use oorandom::Rand64;
use proptest::prelude::*;

/// Milliseconds between two attempts of a proxy to send.
const STEP_MS: f64 = 25.0;
const WARM_UP_MS: f64 = 12_000.0;
/// Typical work of a request of a heavy class and of a light class, in milliseconds of one core.
const HEAVY_WORK: f64 = 4_100.0;
const LIGHT_WORK: f64 = 140.0;
/// The slot of the only proxy of a fleet.
const ONLY_SLOT: RotationSlot = RotationSlot { index: 0.0, count: 1.0, exclusive: true };

/// A request that was sent: the age of the engine in milliseconds, and its work.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: f64,
    work: f64,
}

/// When a proxy sends requests.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// It sends as much as it may at each step.
    Greedy,
    /// It sends as much as it may in one step every 1.3 s.
    Bursts,
    /// It sends as much as it may in 5 of 100 steps, at random.
    Rarely,
    /// It sends as much as it may, but is suspended for 3 s of every 4 s.
    Suspended,
}

impl Behaviour {
    fn sends(self, now: f64, phase: f64, random: &mut Rand64) -> bool {
        match self {
            Behaviour::Greedy => true,
            Behaviour::Bursts => (now + phase) % 1_300.0 < STEP_MS,
            Behaviour::Rarely => random.rand_float() < 0.05,
            Behaviour::Suspended => (now + phase) % 4_000.0 < 1_000.0,
        }
    }
}

/// The proxies that share one engine.
struct Fleet {
    proxies: u32,
    /// The largest delay of a proxy's clock, in milliseconds.
    skew: f64,
    limit: SlowStartLimit,
    /// The work of a request of each class.
    class_works: Vec<f64>,
    /// Proxy i has the behaviour of index i modulo their number.
    behaviours: Vec<Behaviour>,
    /// Whether each proxy has an exclusive slot; otherwise slots are random.
    exclusive: bool,
    /// Whether proxies restart at random (2 of 1000 steps) and lose their record of the work they sent.
    restarts: bool,
}

impl Fleet {
    /// All requests sent until the engine has warmed up, in order of time.
    fn simulate(&self, seed: u64) -> Vec<Sent> {
        let mut random = Rand64::new(u128::from(seed));
        let mut sent = Vec::new();
        for proxy in 0..self.proxies {
            self.simulate_proxy(proxy, &mut random, &mut sent);
        }
        sent.sort_by(|a, b| a.at.total_cmp(&b.at));
        sent
    }

    fn simulate_proxy(&self, proxy: u32, random: &mut Rand64, sent: &mut Vec<Sent>) {
        let count = f64::from(self.proxies);
        let index = if self.exclusive { f64::from(proxy) } else { random.rand_float() * count };
        let slot = RotationSlot { index, count, exclusive: self.exclusive };
        let behaviour = self.behaviours[proxy as usize % self.behaviours.len()];
        // The proxy's clock is behind, so the engine appears younger to it.
        let clock_delay = random.rand_float() * self.skew;
        let phase = random.rand_float() * 4_000.0;
        let mut budget = SlowStartBudget::default();
        let mut now = random.rand_float() * STEP_MS;
        while now + STEP_MS < self.limit.settings.warm_up_ms {
            now += STEP_MS;
            let sends = behaviour.sends(now, phase, random);
            if self.restarts && random.rand_float() < 0.002 {
                budget = SlowStartBudget::default();
            }
            let mut class_works = self.class_works.clone();
            if random.rand_float() < 0.5 {
                class_works.reverse();
            }
            for work in class_works.into_iter().filter(|_| sends) {
                let typical_works = || self.class_works.iter().copied();
                while budget.available(&self.limit, slot, now - clock_delay, typical_works(), work) {
                    budget.consume(work);
                    sent.push(Sent { at: now, work });
                }
            }
        }
    }
}

/// The largest ratio of the work sent within a window to the limit of that window.
fn worst_window(sent: &[Sent], limit: &SlowStartLimit) -> f64 {
    let window_ms = limit.settings.window_ms;
    let (mut first, mut sum, mut worst) = (0, 0.0, 0.0f64);
    for Sent { at, work } in sent {
        sum += work;
        while sent[first].at <= at - window_ms {
            sum -= sent[first].work;
            first += 1;
        }
        worst = worst.max(sum / limit.window_limit((at - window_ms).max(0.0)));
    }
    worst
}

fn limit(cores: f64, initial_fraction: f64, window_ms: f64, capacity_multiple: f64) -> SlowStartLimit {
    let settings =
        SlowStartSettings { initial_fraction, warm_up_ms: WARM_UP_MS, capacity_multiple, window_ms };
    SlowStartLimit { cores, settings }
}

/// The limit of a typical engine.
fn typical_limit() -> SlowStartLimit {
    limit(8.0, 0.34, 3_000.0, 2.5)
}

fn behaviours() -> impl Strategy<Value = Vec<Behaviour>> {
    let behaviour = prop_oneof![
        Just(Behaviour::Greedy),
        Just(Behaviour::Bursts),
        Just(Behaviour::Rarely),
        Just(Behaviour::Suspended)
    ];
    proptest::collection::vec(behaviour, 1..6)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, ..ProptestConfig::default() })]

    #[test]
    fn no_window_exceeds_the_limit_for_any_behaviour_skew_and_restarts(
        (proxies, cores, initial_fraction, window_ms) in
            (2..150u32, 4.0..17.0f64, 0.2..0.6f64, 1_500.0..3_500.0f64),
        (multiple, heavy, light, skew) in (1.5..4.0f64, 0.05..0.3f64, 0.001..0.03f64, 0.0..1.0f64),
        (behaviours, restarts, seed) in (behaviours(), any::<bool>(), any::<u64>()),
    ) {
        let limit = limit(cores, initial_fraction, window_ms, multiple);
        let first_window = multiple * cores * initial_fraction * window_ms;
        let class_works = vec![heavy * first_window, light * first_window];
        let skew = skew * MAX_CLOCK_SKEW_WINDOWS * window_ms;
        let fleet = Fleet { proxies, skew, limit, class_works, behaviours, exclusive: true, restarts };
        let worst = worst_window(&fleet.simulate(seed), &limit);
        prop_assert!(worst <= 1.0, "{worst} of the limit");
    }
}

/// The fraction of the accrued work that a fleet sent, and the largest ratio of sent work to the limit of a
/// window.
#[derive(Clone, Copy, Debug)]
struct Usage {
    used_fraction: f64,
    worst_window: f64,
}

fn usage(proxies: u32, exclusive: bool, behaviour: Behaviour, seed: u64) -> Usage {
    let limit = typical_limit();
    let (class_works, behaviours) = (vec![HEAVY_WORK, LIGHT_WORK], vec![behaviour]);
    let fleet = Fleet { proxies, skew: 100.0, limit, class_works, behaviours, exclusive, restarts: false };
    let sent = fleet.simulate(seed);
    let total: f64 = sent.iter().map(|sent| sent.work).sum();
    Usage { used_fraction: total / limit.accrued(WARM_UP_MS), worst_window: worst_window(&sent, &limit) }
}

/// All proxies have more to send than the limit allows. `--nocapture` prints a table of the fractions used.
#[test]
fn exclusive_slots_use_more_of_the_limit_than_random_ones() {
    const SIMULATIONS: u64 = 20;
    for proxies in [10, 40, 100, 300] {
        let exclusive = usage(proxies, true, Behaviour::Greedy, 1);
        let random: Vec<Usage> =
            (0..SIMULATIONS).map(|seed| usage(proxies, false, Behaviour::Greedy, seed)).collect();
        let random_used = random.iter().map(|usage| usage.used_fraction).sum::<f64>() / SIMULATIONS as f64;
        let random_worst = random.iter().map(|usage| usage.worst_window).fold(0.0, f64::max);
        let rarely = usage(proxies, true, Behaviour::Rarely, 1);
        println!(
            "{proxies}: ordinals use {:.2}, worst window {:.2}; rarely sending {:.2}; \
             random slots {random_used:.2}, worst window of {SIMULATIONS} simulations {random_worst:.2}",
            exclusive.used_fraction, exclusive.worst_window, rarely.used_fraction
        );
        assert!(
            exclusive.used_fraction > 0.3 && exclusive.used_fraction > random_used,
            "{exclusive:?} {random_used}"
        );
        assert!(
            rarely.used_fraction > 0.3 * exclusive.used_fraction,
            "{rarely:?}: proxies that rarely send use their credits too"
        );
    }
}

/// Sends all that the only proxy of a fleet may send at this age of the engine, and returns the work sent.
fn send_all(budget: &mut SlowStartBudget, age: f64) -> f64 {
    let works = [HEAVY_WORK, LIGHT_WORK];
    let mut sum = 0.0;
    for work in works {
        while budget.available(&typical_limit(), ONLY_SLOT, age, works.into_iter(), work) {
            budget.consume(work);
            sum += work;
        }
    }
    sum
}

#[test]
fn credits_expire_and_are_not_used_again_after_a_restart() {
    let mut suspended = SlowStartBudget::default();
    assert_eq!(send_all(&mut suspended, 0.0), 0.0);
    // Credits for 30 s of work have become due 9 s later; only the newest of each size can be used.
    let accrued = typical_limit().accrued(9_000.0) * 0.45;
    let sent = send_all(&mut suspended, 9_000.0);
    assert!(sent > 0.0 && sent < 0.3 * accrued, "{sent} of {accrued}");
    assert_eq!(send_all(&mut suspended, 9_001.0), 0.0);
    let mut restarted = SlowStartBudget::default();
    assert_eq!(
        send_all(&mut restarted, 9_002.0),
        0.0,
        "credits that became due before the restart are not used"
    );
    assert!((9_003..12_000).any(|age| send_all(&mut restarted, f64::from(age)) > 0.0));
}

#[test]
fn an_engine_that_has_warmed_up_has_no_limit() {
    let works = [HEAVY_WORK, LIGHT_WORK].into_iter();
    assert!(SlowStartBudget::default().available(&typical_limit(), ONLY_SLOT, WARM_UP_MS, works, 1e9));
}
