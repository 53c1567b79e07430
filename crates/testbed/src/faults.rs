//! Schedules of faults, drawn from a seed; the same seed yields the same schedule. The test that applies a
//! schedule waits for states of the fleet between faults, so that the sequence is the same on a slow machine.

use std::time::Duration;

use oorandom::Rand64;

use crate::network::Partition;

/// Mixed into the seed, so that the draws differ from those of other generators with the same seed.
const SEED_MASK: u128 = 0x6a09_e667_f3bc_c908;

/// A fault in a fleet of control servers and proxies, both of which are numbered from 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A control server is killed.
    Kill(usize),
    /// A killed control server restarts.
    Restart(usize),
    /// A control server is suspended: its connections stay open but silent.
    Suspend(usize),
    /// A suspended control server is resumed.
    Resume(usize),
    /// Two control servers are partitioned from each other.
    Partition(usize, usize, Partition),
    /// The first control server receives no bytes from the second, which still receives those of the first.
    OneWay(usize, usize),
    /// Messages from the first control server to the second are delayed.
    Delay(usize, usize, Duration),
    /// Connections from the first control server to the second are closed after this many bytes, even in the
    /// middle of a message.
    Cut(usize, usize, u64),
    /// Connections from the first control server to the second are reset.
    Reset(usize, usize),
    /// A proxy, named first, is partitioned from a control server.
    ProxyCutOff(usize, usize),
    /// All link faults are removed, and all control servers run.
    Heal,
    /// The lease holder transfers its role to another control server.
    TransferRole,
}

/// A fault and the pause before it, in steps whose length the test chooses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// The number of steps to wait before the fault.
    pub pause: u64,
    /// The fault.
    pub fault: Fault,
}

/// A sequence of faults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// The seed from which the schedule was drawn.
    pub seed: u64,
    /// The faults in the order in which they occur.
    pub faults: Vec<ScheduledFault>,
}

impl Schedule {
    /// Draws a schedule of `faults` faults. At most a minority of the control servers is killed or suspended
    /// at the same time. One schedule in sixteen then kills the complete group at once and restarts it.
    /// Every schedule ends with [`Fault::Heal`].
    pub fn draw(seed: u64, servers: usize, proxies: usize, faults: usize) -> Self {
        let mut draw = Draw {
            random: Rand64::new(u128::from(seed) ^ SEED_MASK),
            servers,
            proxies,
            killed: Vec::new(),
            suspended: Vec::new(),
        };
        let ends_with_outage = draw.below(16) == 0;
        let mut drawn = Vec::new();
        while drawn.len() < faults {
            let pause = draw.below(6) as u64;
            if let Some(fault) = draw.fault() {
                drawn.push(ScheduledFault { pause, fault });
            }
        }
        if ends_with_outage {
            // The servers restart in the reverse order.
            let kills = (0..servers).map(Fault::Kill);
            drawn.extend(kills.map(|fault| ScheduledFault { pause: 0, fault }));
            let restarts = (0..servers).rev().map(Fault::Restart);
            drawn.extend(restarts.map(|fault| ScheduledFault { pause: 1, fault }));
        }
        drawn.push(ScheduledFault { pause: 2, fault: Fault::Heal });
        Schedule { seed, faults: drawn }
    }
}

/// A schedule that is being drawn.
struct Draw {
    random: Rand64,
    servers: usize,
    proxies: usize,
    /// Control servers that are killed at this point, in the order in which they were killed.
    killed: Vec<usize>,
    /// Control servers that are suspended at this point, in the order in which they were suspended.
    suspended: Vec<usize>,
}

impl Draw {
    /// Draws a number from 0 to below `limit`; `limit` is treated as at least 1.
    fn below(&mut self, limit: usize) -> usize {
        self.random.rand_range(0..limit.max(1) as u64) as usize
    }

    /// Whether this control server runs and a majority would still run without it.
    fn may_lose(&self, server: usize) -> bool {
        let minority = self.servers.saturating_sub(1) / 2;
        self.killed.len() + self.suspended.len() < minority
            && !self.killed.contains(&server)
            && !self.suspended.contains(&server)
    }

    /// Draws the next fault; `None` if the drawn one is not possible at this point.
    fn fault(&mut self) -> Option<Fault> {
        let one = self.below(self.servers);
        let other = (one + 1 + self.below(self.servers.saturating_sub(1))) % self.servers.max(1);
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

    /// Draws the parameters of a fault of the link between two control servers.
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

    /// Draws a transfer of a role (two in three) or a heal.
    fn recovery(&mut self) -> Fault {
        if self.below(3) > 0 {
            return Fault::TransferRole;
        }
        self.killed.clear();
        self.suspended.clear();
        Fault::Heal
    }
}
