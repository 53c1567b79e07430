//! Whether the choices of a fleet add up, from its records: ordinals, subsets, and the work that reaches engines which are
//! warming up. Judged without any knowledge of how proxies choose. Times are milliseconds on one clock.

use std::collections::{BTreeMap, BTreeSet};

use crate::audit::SlowStartRule;
use crate::emulated_fleet::Arrival;

/// A process was granted an ordinal for a while.
#[derive(Clone, Debug, PartialEq)]
pub struct OrdinalGrant {
    /// The process.
    pub process: String,
    /// The ordinal.
    pub ordinal: u64,
    /// The size of the fleet that goes with it.
    pub fleet_size: u64,
    /// The roster's epoch.
    pub epoch: u64,
    /// From when.
    pub from: f64,
    /// Until when at most.
    pub until: f64,
}

/// Two processes with one ordinal.
#[derive(Clone, Debug, PartialEq)]
pub struct OrdinalConflict {
    /// The ordinal.
    pub ordinal: u64,
    /// The earlier and the later process.
    pub processes: [String; 2],
    /// For how long.
    pub duration: f64,
}

/// The time in which a process has an ordinal.
struct Tenure<'a> {
    process: &'a str,
    from: f64,
    until: f64,
}

/// Finds ordinals that two processes had at one moment. A process has an ordinal from its first grant until the end of its
/// last one, or until it was granted another ordinal.
pub fn ordinal_conflicts(grants: &[OrdinalGrant]) -> Vec<OrdinalConflict> {
    let mut conflicts = Vec::new();
    for (ordinal, mut tenures) in tenures(grants) {
        tenures.sort_by(|a, b| a.from.total_cmp(&b.from));
        let mut last: Option<Tenure> = None;
        for tenure in tenures {
            let overlaps = |before: &&Tenure| before.process != tenure.process && tenure.from < before.until;
            if let Some(before) = last.as_ref().filter(overlaps) {
                let processes = [before.process.to_owned(), tenure.process.to_owned()];
                let duration = before.until.min(tenure.until) - tenure.from;
                conflicts.push(OrdinalConflict { ordinal, processes, duration });
            }
            if last.as_ref().is_none_or(|before| tenure.until >= before.until) {
                last = Some(tenure);
            }
        }
    }
    conflicts
}

/// Tenures by ordinal. A grant ends at the latest with the next one of its process.
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

/// What an engine with this many cores may be sent while it warms up.
#[derive(Clone, Copy, Debug)]
pub struct EngineCapacity {
    /// Its cores.
    pub cores: f64,
    /// The rule.
    pub rule: SlowStartRule,
}

impl EngineCapacity {
    /// The work that a window may bring which begins at this age.
    ///
    /// By summing in steps: there is no closed form to be wrong together with that of the program.
    fn limit(&self, window_start: f64) -> f64 {
        const STEPS: u32 = 100;
        let rule = &self.rule;
        let step = rule.window_ms / f64::from(STEPS);
        let middles = (0..STEPS).map(|index| window_start + (f64::from(index) + 0.5) * step);
        middles.map(|age| self.at_age(age)).sum::<f64>() * step * rule.capacity_multiple
    }

    /// The cores that it amounts to at this age.
    fn at_age(&self, age: f64) -> f64 {
        let warm = (age / self.rule.warm_up_ms).min(1.0);
        self.cores * (self.rule.initial_fraction + (1.0 - self.rule.initial_fraction) * warm)
    }
}

/// What reached an engine while it warmed up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpLoad {
    /// The largest work of one window, over what the rule allows in it.
    pub worst_window_ratio: f64,
    /// How many proxies sent any.
    pub proxies: usize,
    /// All work, in milliseconds.
    pub work: f64,
}

/// Measures what reached an engine from its start until it was warm. `proxy_of` reads the proxy from a request's id.
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
        worst_window_ratio = worst_window_ratio.max(in_window / capacity.limit(window_start));
    }
    let proxies: BTreeSet<u64> = received.iter().map(|arrival| proxy_of(&arrival.id)).collect();
    let work = received.iter().map(|arrival| arrival.work).sum();
    WarmUpLoad { worst_window_ratio, proxies: proxies.len(), work }
}

/// How many proxies sent anything to each engine.
pub fn proxies_by_engine(arrivals: &[Arrival], proxy_of: impl Fn(&str) -> u64) -> BTreeMap<String, usize> {
    let mut by_engine: BTreeMap<String, BTreeSet<u64>> = BTreeMap::new();
    for arrival in arrivals {
        by_engine.entry(arrival.engine.clone()).or_default().insert(proxy_of(&arrival.id));
    }
    by_engine.into_iter().map(|(engine, proxies)| (engine, proxies.len())).collect()
}

/// Requests that reached an engine more than `grace` milliseconds after it began to drain or was gone.
pub fn arrivals_after_drain<'a>(
    arrivals: &'a [Arrival],
    engine: &str,
    drained_at: f64,
    grace: f64,
) -> Vec<&'a Arrival> {
    let is_late = |arrival: &&Arrival| arrival.engine == engine && arrival.at > drained_at + grace;
    arrivals.iter().filter(is_late).collect()
}
