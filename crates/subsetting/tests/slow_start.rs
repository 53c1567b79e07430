//! What a whole fleet sends an engine that is warming up, whoever sends when: the sum in every window stays below the limit.

use gaugestep_subsetting::rotation::RotationSlot;
use gaugestep_subsetting::slow_start::{
    MAX_CLOCK_SKEW_WINDOWS, SlowStartBudget, SlowStartLimit, SlowStartSettings,
};
use oorandom::Rand64;
use proptest::prelude::*;

/// Milliseconds between two looks of a proxy.
const STEP: f64 = 25.0;
const WARM_UP: f64 = 12_000.0;
/// Usual work of a heavy and a light class, in milliseconds of one core.
const HEAVY: f64 = 4_100.0;
const LIGHT: f64 = 140.0;

/// A request that was sent.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: f64,
    work: f64,
}

/// When a proxy sends.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Whatever it may, at once.
    Greedy,
    /// Everything it may, within a moment every 1.3 s.
    Bursts,
    /// Only now and then.
    Rarely,
    /// Whatever it may, but it is suspended for 3 s of every 4 s.
    Suspended,
}

impl Behaviour {
    fn sends(self, now: f64, phase: f64, random: &mut Rand64) -> bool {
        match self {
            Behaviour::Greedy => true,
            Behaviour::Bursts => (now + phase) % 1_300.0 < STEP,
            Behaviour::Rarely => random.rand_float() < 0.05,
            Behaviour::Suspended => (now + phase) % 4_000.0 < 1_000.0,
        }
    }
}

struct Fleet {
    proxies: u32,
    /// The largest delay of a proxy's clock, in milliseconds.
    skew: f64,
    limit: SlowStartLimit,
    works: Vec<f64>,
    /// Taken in turn by the proxies.
    behaviours: Vec<Behaviour>,
    /// Whether each proxy has a place of its own; otherwise places are drawn at random.
    exclusive: bool,
    /// Whether proxies restart now and then, and forget what they have sent.
    restarts: bool,
}

impl Fleet {
    /// Everything that is sent until the engine has warmed up, in order of time.
    fn play(&self, seed: u64) -> Vec<Sent> {
        let mut random = Rand64::new(u128::from(seed));
        let mut sent = Vec::new();
        for proxy in 0..self.proxies {
            self.play_proxy(proxy, &mut random, &mut sent);
        }
        sent.sort_by(|a, b| a.at.total_cmp(&b.at));
        sent
    }

    fn play_proxy(&self, proxy: u32, random: &mut Rand64, sent: &mut Vec<Sent>) {
        let count = f64::from(self.proxies);
        let index = if self.exclusive { f64::from(proxy) } else { random.rand_float() * count };
        let slot = RotationSlot { index, count, exclusive: self.exclusive };
        let behaviour = self.behaviours[proxy as usize % self.behaviours.len()];
        // Its clock is late: it believes the engine to be younger.
        let delay = random.rand_float() * self.skew;
        let phase = random.rand_float() * 4_000.0;
        let mut budget = SlowStartBudget::default();
        let mut now = random.rand_float() * STEP;
        while now + STEP < self.limit.settings.warm_up {
            now += STEP;
            let sends = behaviour.sends(now, phase, random);
            if self.restarts && random.rand_float() < 0.002 {
                budget = SlowStartBudget::default();
            }
            let mut works = self.works.clone();
            if random.rand_float() < 0.5 {
                works.reverse();
            }
            for work in works.into_iter().filter(|_| sends) {
                let usual = || self.works.iter().copied();
                while budget.available(&self.limit, slot, now - delay, usual(), work) {
                    budget.consume(work);
                    sent.push(Sent { at: now, work });
                }
            }
        }
    }
}

/// The largest ratio of the work sent within a window to the window's limit.
fn worst_window(sent: &[Sent], limit: &SlowStartLimit) -> f64 {
    let window = limit.settings.window;
    let (mut first, mut sum, mut worst) = (0, 0.0, 0.0f64);
    for Sent { at, work } in sent {
        sum += work;
        while sent[first].at <= at - window {
            sum -= sent[first].work;
            first += 1;
        }
        worst = worst.max(sum / limit.window_limit((at - window).max(0.0)));
    }
    worst
}

fn limit(cores: f64, initial_fraction: f64, window: f64, capacity_multiple: f64) -> SlowStartLimit {
    let settings = SlowStartSettings { initial_fraction, warm_up: WARM_UP, capacity_multiple, window };
    SlowStartLimit { cores, settings }
}

/// The engine of the design note.
fn usual_limit() -> SlowStartLimit {
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
    fn no_window_exceeds_the_limit_whoever_sends_when(
        (proxies, cores, share, window) in (2..150u32, 4.0..17.0f64, 0.2..0.6f64, 1_500.0..3_500.0f64),
        (multiple, heavy, light, skew) in (1.5..4.0f64, 0.05..0.3f64, 0.001..0.03f64, 0.0..1.0f64),
        (behaviours, restarts, seed) in (behaviours(), any::<bool>(), any::<u64>()),
    ) {
        let limit = limit(cores, share, window, multiple);
        let first_window = multiple * cores * share * window;
        let works = vec![heavy * first_window, light * first_window];
        let skew = skew * MAX_CLOCK_SKEW_WINDOWS * window;
        let fleet = Fleet { proxies, skew, limit, works, behaviours, exclusive: true, restarts };
        let worst = worst_window(&fleet.play(seed), &limit);
        prop_assert!(worst <= 1.0, "{worst} of the limit");
    }
}

/// How much of the accrued work a fleet used, and its worst window relative to the limit.
#[derive(Clone, Copy, Debug)]
struct Usage {
    used: f64,
    worst_window: f64,
}

fn usage(proxies: u32, exclusive: bool, behaviour: Behaviour, seed: u64) -> Usage {
    let limit = usual_limit();
    let (works, behaviours) = (vec![HEAVY, LIGHT], vec![behaviour]);
    let fleet = Fleet { proxies, skew: 100.0, limit, works, behaviours, exclusive, restarts: false };
    let sent = fleet.play(seed);
    let total: f64 = sent.iter().map(|sent| sent.work).sum();
    Usage { used: total / limit.accrued(WARM_UP), worst_window: worst_window(&sent, &limit) }
}

/// How much is used where all proxies want more than there is; `--nocapture` prints the table of the design note.
#[test]
fn exclusive_places_use_more_of_the_limit_than_random_ones() {
    const PLAYS: u64 = 20;
    for proxies in [10, 40, 100, 300] {
        let exclusive = usage(proxies, true, Behaviour::Greedy, 1);
        let random: Vec<Usage> =
            (0..PLAYS).map(|seed| usage(proxies, false, Behaviour::Greedy, seed)).collect();
        let random_used = random.iter().map(|usage| usage.used).sum::<f64>() / PLAYS as f64;
        let random_worst = random.iter().map(|usage| usage.worst_window).fold(0.0, f64::max);
        let rarely = usage(proxies, true, Behaviour::Rarely, 1);
        println!(
            "{proxies}: ordinals use {:.2}, worst window {:.2}; rarely sending {:.2}; \
             random places {random_used:.2}, worst window of {PLAYS} plays {random_worst:.2}",
            exclusive.used, exclusive.worst_window, rarely.used
        );
        assert!(exclusive.used > 0.3 && exclusive.used > random_used, "{exclusive:?} {random_used}");
        assert!(
            rarely.used > 0.3 * exclusive.used,
            "{rarely:?}: proxies that rarely have something to send use their credits too"
        );
    }
}

/// Sends everything that a lone proxy may send at this age; returns the work.
fn spend(budget: &mut SlowStartBudget, age: f64) -> f64 {
    let alone = RotationSlot { index: 0.0, count: 1.0, exclusive: true };
    let works = [HEAVY, LIGHT];
    let mut sum = 0.0;
    for work in works {
        while budget.available(&usual_limit(), alone, age, works.into_iter(), work) {
            budget.consume(work);
            sum += work;
        }
    }
    sum
}

#[test]
fn credits_expire_and_are_not_used_again_after_a_restart() {
    let mut suspended = SlowStartBudget::default();
    assert_eq!(spend(&mut suspended, 0.0), 0.0);
    // 9 s later credits for 30 s of work have become due; the newest of each size can be used.
    let accrued = usual_limit().accrued(9_000.0) * 0.45;
    let spent = spend(&mut suspended, 9_000.0);
    assert!(spent > 0.0 && spent < 0.3 * accrued, "{spent} of {accrued}");
    assert_eq!(spend(&mut suspended, 9_001.0), 0.0);
    let mut restarted = SlowStartBudget::default();
    assert_eq!(spend(&mut restarted, 9_002.0), 0.0, "those were due before the restart");
    assert!((9_003..12_000).any(|age| spend(&mut restarted, f64::from(age)) > 0.0));
}

#[test]
fn an_engine_that_has_warmed_up_has_no_limit() {
    let alone = RotationSlot { index: 0.0, count: 1.0, exclusive: true };
    let works = [HEAVY, LIGHT].into_iter();
    assert!(SlowStartBudget::default().available(&usual_limit(), alone, WARM_UP, works, 1e9));
}
