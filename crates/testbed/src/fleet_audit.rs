//! Checks from the records of a fleet that the decisions of its proxies are consistent: their ordinals, their
//! subsets, and the work that they send together to engines that are warming up. The audit is independent of
//! the code under test. Times are milliseconds on one clock.

use std::collections::{BTreeMap, BTreeSet};

use crate::audit::SlowStartRule;
use crate::emulated_fleet::Arrival;

/// The grant of an ordinal to a process for a limited time.
#[derive(Clone, Debug, PartialEq)]
pub struct OrdinalGrant {
    /// The process.
    pub process: String,
    /// The ordinal.
    pub ordinal: u64,
    /// The size of the fleet that was sent with the ordinal.
    pub fleet_size: u64,
    /// The epoch of the roster.
    pub epoch: u64,
    /// The start of the grant.
    pub from: f64,
    /// The latest end of the grant.
    pub until: f64,
}

/// An ordinal that two processes had at the same time.
#[derive(Clone, Debug, PartialEq)]
pub struct OrdinalConflict {
    /// The ordinal.
    pub ordinal: u64,
    /// The earlier and the later process.
    pub processes: [String; 2],
    /// Milliseconds for which both had it.
    pub duration: f64,
}

/// The interval in which a process has an ordinal.
struct Tenure<'a> {
    process: &'a str,
    from: f64,
    until: f64,
}

/// Finds ordinals that two processes had at the same time. A process has an ordinal from the start of a grant
/// until the end of the grant or the start of its next one.
pub fn ordinal_conflicts(grants: &[OrdinalGrant]) -> Vec<OrdinalConflict> {
    let mut conflicts = Vec::new();
    for (ordinal, mut tenures) in tenures(grants) {
        tenures.sort_by(|a, b| a.from.total_cmp(&b.from));
        let mut latest: Option<Tenure> = None;
        for tenure in tenures {
            let overlaps =
                |earlier: &&Tenure| earlier.process != tenure.process && tenure.from < earlier.until;
            if let Some(earlier) = latest.as_ref().filter(overlaps) {
                let processes = [earlier.process.to_owned(), tenure.process.to_owned()];
                let duration = earlier.until.min(tenure.until) - tenure.from;
                conflicts.push(OrdinalConflict { ordinal, processes, duration });
            }
            if latest.as_ref().is_none_or(|earlier| tenure.until >= earlier.until) {
                latest = Some(tenure);
            }
        }
    }
    conflicts
}

/// Returns the tenures by ordinal. The next grant of a process ends its previous one.
fn tenures(grants: &[OrdinalGrant]) -> BTreeMap<u64, Vec<Tenure<'_>>> {
    let mut by_process: BTreeMap<&str, Vec<&OrdinalGrant>> = BTreeMap::new();
    for grant in grants {
        by_process.entry(&grant.process).or_default().push(grant);
    }
    let mut tenures: BTreeMap<u64, Vec<Tenure>> = BTreeMap::new();
    for (process, mut grants) in by_process {
        grants.sort_by(|a, b| a.from.total_cmp(&b.from));
        for (index, grant) in grants.iter().enumerate() {
            let next = grants.get(index + 1).map_or(f64::INFINITY, |next| next.from);
            let tenure = Tenure { process, from: grant.from, until: grant.until.min(next) };
            tenures.entry(grant.ordinal).or_default().push(tenure);
        }
    }
    tenures
}

/// The cores of an engine, and the rule that limits its work while it warms up.
#[derive(Clone, Copy, Debug)]
pub struct EngineCapacity {
    /// The number of cores of the engine.
    pub cores: f64,
    /// The rule that limits the work.
    pub rule: SlowStartRule,
}

impl EngineCapacity {
    /// Returns the work that may arrive in a window that starts at the age `window_start`.
    ///
    /// The capacity is summed numerically, so that an error in the closed form of the code under test is not
    /// repeated here.
    fn allowed_work(&self, window_start: f64) -> f64 {
        const STEPS: u32 = 100;
        let rule = &self.rule;
        let step = rule.window_ms / f64::from(STEPS);
        let midpoints = (0..STEPS).map(|index| window_start + (f64::from(index) + 0.5) * step);
        midpoints.map(|age| self.effective_cores(age)).sum::<f64>() * step * rule.capacity_multiple
    }

    /// Returns the capacity of the engine at an age, in cores.
    fn effective_cores(&self, age: f64) -> f64 {
        let progress = (age / self.rule.warm_up_ms).min(1.0);
        self.cores * (self.rule.initial_fraction + (1.0 - self.rule.initial_fraction) * progress)
    }
}

/// The work that reached an engine while it warmed up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpLoad {
    /// The largest ratio of received to allowed work over all windows.
    pub worst_window_ratio: f64,
    /// The number of proxies that sent any work.
    pub proxies: usize,
    /// The total work in milliseconds.
    pub work: f64,
}

/// Measures the work that reached an engine from its start until it was warm. `proxy_of` returns the proxy
/// that sent the request with an id.
pub fn warm_up_load(
    arrivals: &[Arrival],
    engine: &str,
    started_at: f64,
    capacity: &EngineCapacity,
    proxy_of: impl Fn(&str) -> u64,
) -> WarmUpLoad {
    let rule = &capacity.rule;
    let age = |arrival: &Arrival| arrival.at - started_at;
    let warming =
        |arrival: &&Arrival| arrival.engine == engine && (0.0..rule.warm_up_ms).contains(&age(arrival));
    let received: Vec<&Arrival> = arrivals.iter().filter(warming).collect();
    let (mut first, mut in_window, mut worst_window_ratio) = (0, 0.0, 0.0f64);
    for arrival in &received {
        in_window += arrival.work;
        while received[first].at <= arrival.at - rule.window_ms {
            in_window -= received[first].work;
            first += 1;
        }
        let window_start = (age(arrival) - rule.window_ms).max(0.0);
        worst_window_ratio = worst_window_ratio.max(in_window / capacity.allowed_work(window_start));
    }
    let proxies: BTreeSet<u64> = received.iter().map(|arrival| proxy_of(&arrival.id)).collect();
    let work = received.iter().map(|arrival| arrival.work).sum();
    WarmUpLoad { worst_window_ratio, proxies: proxies.len(), work }
}

/// Returns the number of proxies that sent requests to each engine.
pub fn proxies_by_engine(arrivals: &[Arrival], proxy_of: impl Fn(&str) -> u64) -> BTreeMap<String, usize> {
    let mut by_engine: BTreeMap<String, BTreeSet<u64>> = BTreeMap::new();
    for arrival in arrivals {
        by_engine.entry(arrival.engine.clone()).or_default().insert(proxy_of(&arrival.id));
    }
    by_engine.into_iter().map(|(engine, proxies)| (engine, proxies.len())).collect()
}

/// Returns the requests that reached an engine more than `grace` milliseconds after `drained_at`, when it
/// began to drain or was removed.
pub fn arrivals_after_drain<'a>(
    arrivals: &'a [Arrival],
    engine: &str,
    drained_at: f64,
    grace: f64,
) -> Vec<&'a Arrival> {
    let is_late = |arrival: &&Arrival| arrival.engine == engine && arrival.at > drained_at + grace;
    arrivals.iter().filter(is_late).collect()
}
