//! Which faults come when, drawn from a seed: the same seed, the same faults. Whoever plays them waits for states between
//! two steps, so that a slow machine plays the same schedule.

use oorandom::Rand64;

/// A fault among so many services and proxies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A service is killed outright.
    Kill(usize),
    /// A service that was killed starts again.
    Start(usize),
    /// A service is stopped: its connections stay open and silent.
    Stop(usize),
    /// A service that was stopped goes on.
    GoOn(usize),
    /// Two services do not hear each other; silently, or with their connections ended.
    Part(usize, usize, bool),
    /// The first does not hear the second, which hears the first.
    OneWay(usize, usize),
    /// Their messages come late by so many milliseconds.
    Delay(usize, usize, u64),
    /// Connections between them end in the middle of a message.
    Cut(usize, usize, u64),
    /// Their connections are reset.
    Reset(usize, usize),
    /// A proxy does not reach a service.
    Away(usize, usize),
    /// All links are open again, and whatever was stopped or killed runs.
    Heal,
    /// The owner hands its duty over.
    HandOver,
}

/// A schedule: faults with pauses before them, in steps that the player gives a length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// The seed it was drawn from.
    pub seed: u64,
    /// Steps to wait, and then what happens.
    pub faults: Vec<(u64, Fault)>,
}

impl Schedule {
    /// Draws a schedule of so many faults. No more than a minority of the services is dead or stopped at a time, but for the
    /// whole group at once in one of sixteen schedules; each ends healed.
    pub fn draw(seed: u64, services: usize, proxies: usize, faults: usize) -> Self {
        let mut random = Rand64::new(u128::from(seed) ^ 0x6a09_e667_f3bc_c908);
        let mut below = |most: usize| random.rand_range(0..most.max(1) as u64) as usize;
        let mut out = Vec::new();
        let (mut dead, mut stopped): (Vec<usize>, Vec<usize>) = (Vec::new(), Vec::new());
        let minority = services.saturating_sub(1) / 2;
        let whole = below(16) == 0;
        while out.len() < faults {
            let pause = below(6) as u64;
            let one = below(services);
            let other = (one + 1 + below(services.saturating_sub(1))) % services.max(1);
            let out_of_it = dead.len() + stopped.len();
            let fault = match below(13) {
                0 | 1 if out_of_it < minority && !dead.contains(&one) && !stopped.contains(&one) => {
                    dead.push(one);
                    Fault::Kill(one)
                }
                2 | 3 if out_of_it < minority && !dead.contains(&one) && !stopped.contains(&one) => {
                    stopped.push(one);
                    Fault::Stop(one)
                }
                4 if !dead.is_empty() => Fault::Start(dead.remove(0)),
                5 if !stopped.is_empty() => Fault::GoOn(stopped.remove(0)),
                6 if one != other => Fault::Part(one, other, below(2) == 0),
                7 if one != other => Fault::OneWay(one, other),
                8 if one != other => Fault::Delay(one, other, 20 + below(200) as u64),
                9 if one != other => Fault::Cut(one, other, 1 + below(400) as u64),
                10 if proxies > 0 => Fault::Away(below(proxies), one),
                11 if one != other => Fault::Reset(one, other),
                12 if below(3) == 0 => {
                    dead.clear();
                    stopped.clear();
                    Fault::Heal
                }
                12 => Fault::HandOver,
                _ => continue,
            };
            out.push((pause, fault));
        }
        if whole {
            // All at once, and back in another order.
            out.extend((0..services).map(|service| (0, Fault::Kill(service))));
            out.extend((0..services).rev().map(|service| (1, Fault::Start(service))));
        }
        out.push((2, Fault::Heal));
        Schedule { seed, faults: out }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_draws_the_same_schedule_and_leaves_a_majority() {
        let mut kinds = std::collections::BTreeSet::new();
        for seed in 0..200 {
            let schedule = Schedule::draw(seed, 3, 4, 12);
            assert_eq!(schedule, Schedule::draw(seed, 3, 4, 12));
            assert_eq!(schedule.faults.last().map(|it| &it.1), Some(&Fault::Heal));
            let (mut out, mut most) = (std::collections::BTreeSet::new(), 0);
            for (_, fault) in &schedule.faults[..12] {
                kinds.insert(format!("{fault:?}").split('(').next().map(str::to_owned));
                match fault {
                    Fault::Kill(it) | Fault::Stop(it) => assert!(out.insert(*it)),
                    Fault::Start(it) | Fault::GoOn(it) => assert!(out.remove(it)),
                    Fault::Heal => out.clear(),
                    _ => {}
                }
                most = most.max(out.len());
            }
            assert!(most <= 1, "a majority of three is left");
        }
        assert_eq!(kinds.len(), 12, "{kinds:?}");
    }
}
