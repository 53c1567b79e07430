//! Schedules of faults, drawn from a seed: the same seed, the same faults. Whoever plays them waits for states between
//! two steps, so that a slow machine plays the same schedule.

use std::time::Duration;

use oorandom::Rand64;

use crate::network::Partition;

/// Sets the draws apart from others of the same seed.
const SEED_MASK: u128 = 0x6a09_e667_f3bc_c908;

/// A fault in a fleet of services and proxies, which are numbered from 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A service is killed.
    Kill(usize),
    /// A service that was killed starts again.
    Restart(usize),
    /// A service is suspended: its connections stay open and silent.
    Suspend(usize),
    /// A service that was suspended is resumed.
    Resume(usize),
    /// Two services are cut off from each other.
    Partition(usize, usize, Partition),
    /// The first receives nothing from the second, which goes on to receive from the first.
    OneWay(usize, usize),
    /// Messages from the first to the second are delayed.
    Delay(usize, usize, Duration),
    /// Connections from the first to the second end after this many bytes, in the middle of a message.
    Cut(usize, usize, u64),
    /// Connections from the first to the second are reset.
    Reset(usize, usize),
    /// A proxy does not reach a service.
    ProxyCutOff(usize, usize),
    /// All links are open again, and all services run.
    Heal,
    /// The lease holder transfers its role.
    TransferRole,
}

/// A fault and the steps to wait before it; the player gives a step its length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Steps to wait.
    pub pause: u64,
    /// What happens then.
    pub fault: Fault,
}

/// A schedule of faults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// The seed it was drawn from.
    pub seed: u64,
    /// The faults in their order.
    pub faults: Vec<ScheduledFault>,
}

impl Schedule {
    /// Draws a schedule of this many faults. At most a minority of the services is killed or suspended at a time, but for
    /// one schedule in sixteen that ends with the complete group killed at once; each ends healed.
    pub fn draw(seed: u64, services: usize, proxies: usize, faults: usize) -> Self {
        let mut draw = Draw {
            random: Rand64::new(u128::from(seed) ^ SEED_MASK),
            services,
            proxies,
            killed: Vec::new(),
            suspended: Vec::new(),
        };
        let outage = draw.below(16) == 0;
        let mut drawn = Vec::new();
        while drawn.len() < faults {
            let pause = draw.below(6) as u64;
            if let Some(fault) = draw.fault() {
                drawn.push(ScheduledFault { pause, fault });
            }
        }
        if outage {
            // All at once, and back in another order.
            let kills = (0..services).map(Fault::Kill);
            drawn.extend(kills.map(|fault| ScheduledFault { pause: 0, fault }));
            let restarts = (0..services).rev().map(Fault::Restart);
            drawn.extend(restarts.map(|fault| ScheduledFault { pause: 1, fault }));
        }
        drawn.push(ScheduledFault { pause: 2, fault: Fault::Heal });
        Schedule { seed, faults: drawn }
    }
}

/// A schedule that is being drawn.
struct Draw {
    random: Rand64,
    services: usize,
    proxies: usize,
    /// Services that are killed at this point, in the order in which they were.
    killed: Vec<usize>,
    /// Services that are suspended at this point, in the order in which they were.
    suspended: Vec<usize>,
}

impl Draw {
    /// A number from 0 to below `limit`.
    fn below(&mut self, limit: usize) -> usize {
        self.random.rand_range(0..limit.max(1) as u64) as usize
    }

    /// Whether a majority would be left without this service, which runs.
    fn may_lose(&self, service: usize) -> bool {
        let minority = self.services.saturating_sub(1) / 2;
        self.killed.len() + self.suspended.len() < minority
            && !self.killed.contains(&service)
            && !self.suspended.contains(&service)
    }

    /// The next fault; none if what was drawn is not possible at this point.
    fn fault(&mut self) -> Option<Fault> {
        let one = self.below(self.services);
        let other = (one + 1 + self.below(self.services.saturating_sub(1))) % self.services.max(1);
        match self.below(13) {
            0 | 1 if self.may_lose(one) => {
                self.killed.push(one);
                Some(Fault::Kill(one))
            }
            2 | 3 if self.may_lose(one) => {
                self.suspended.push(one);
                Some(Fault::Suspend(one))
            }
            4 if !self.killed.is_empty() => Some(Fault::Restart(self.killed.remove(0))),
            5 if !self.suspended.is_empty() => Some(Fault::Resume(self.suspended.remove(0))),
            kind @ (6..=9 | 11) if one != other => Some(self.link_fault(kind, one, other)),
            10 if self.proxies > 0 => Some(Fault::ProxyCutOff(self.below(self.proxies), one)),
            12 => Some(self.recovery()),
            _ => None,
        }
    }

    fn link_fault(&mut self, kind: usize, one: usize, other: usize) -> Fault {
        match kind {
            6 if self.below(2) == 0 => Fault::Partition(one, other, Partition::Silent),
            6 => Fault::Partition(one, other, Partition::Closed),
            7 => Fault::OneWay(one, other),
            8 => Fault::Delay(one, other, Duration::from_millis(20 + self.below(200) as u64)),
            9 => Fault::Cut(one, other, 1 + self.below(400) as u64),
            _ => Fault::Reset(one, other),
        }
    }

    fn recovery(&mut self) -> Fault {
        if self.below(3) > 0 {
            return Fault::TransferRole;
        }
        self.killed.clear();
        self.suspended.clear();
        Fault::Heal
    }
}
