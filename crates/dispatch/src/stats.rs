//! Statistics of the decision module; nothing is decided or tuned here.

use std::collections::VecDeque;

use crate::interface::Millis;

/// A mean that forgets over a horizon of time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    /// The mean.
    pub value: f64,
    /// Samples behind it, less what is forgotten.
    pub weight: f64,
    at: Millis,
}

impl Mean {
    /// Adds a sample.
    pub fn add(&mut self, sample: f64, now: Millis, horizon: Millis) {
        self.weight = self.weight_at(now, horizon) + 1.0;
        self.value += (sample - self.value) / self.weight;
        self.at = now;
    }

    /// The samples behind it by now.
    pub fn weight_at(&self, now: Millis, horizon: Millis) -> f64 {
        self.weight * (-(now - self.at).max(0.0) / horizon).exp()
    }

    /// How much it still tells, from 0 to 1: all while it has the weight of a sample.
    pub fn confidence(&self, now: Millis, horizon: Millis) -> f64 {
        self.weight_at(now, horizon).min(1.0)
    }

    /// The mean, drawn towards 0 as if one sample of 0 were always there.
    pub fn shrunk(&self, now: Millis, horizon: Millis) -> f64 {
        let weight = self.weight_at(now, horizon);
        self.value * weight / (weight + 1.0)
    }
}

/// A factor that is kept as its logarithm.
#[derive(Clone, Copy, Debug)]
pub struct LogFactor {
    /// The logarithm.
    pub log: f64,
    /// Its exponential.
    pub factor: f64,
}

impl Default for LogFactor {
    fn default() -> Self {
        LogFactor { log: 0.0, factor: 1.0 }
    }
}

impl LogFactor {
    /// Sets the logarithm.
    pub fn set(&mut self, log: f64) {
        *self = LogFactor { log, factor: log.exp() };
    }

    /// Moves the logarithm by this share of the way to a sample.
    pub fn step(&mut self, sample: f64, share: f64) {
        self.set(self.log + (sample - self.log) * share);
    }
}

/// A factor that is the exponential of a mean of logarithms.
#[derive(Clone, Copy, Debug)]
pub struct LogMean {
    /// The mean of the logarithms.
    pub mean: Mean,
    /// Its exponential.
    pub factor: f64,
}

impl Default for LogMean {
    fn default() -> Self {
        LogMean { mean: Mean::default(), factor: 1.0 }
    }
}

impl LogMean {
    /// Adds the logarithm of a sample.
    pub fn add(&mut self, log: f64, now: Millis, horizon: Millis) {
        self.mean.add(log, now, horizon);
        self.factor = self.mean.value.exp();
    }
}

/// Bins of the histogram of run times. With the first edge and the ratio between edges they reach from 0.02 to about 700
/// times the estimate.
pub const BINS: usize = 96;
const BIN_RATIO: f64 = 1.115;
const FIRST_BIN: f64 = 0.02;

/// The bin of a run time over its estimate.
pub fn bin_of(ratio: f64) -> usize {
    let bin = (ratio.max(FIRST_BIN) / FIRST_BIN).ln() / BIN_RATIO.ln();
    (bin as usize).min(BINS - 1)
}

/// Run times by bin: what was last observed there, and what of it ended there; the rest is right-censored.
#[derive(Clone, Copy, Debug)]
pub struct Histogram {
    observed: [u32; BINS],
    ended: [u32; BINS],
}

impl Default for Histogram {
    fn default() -> Self {
        Histogram { observed: [0; BINS], ended: [0; BINS] }
    }
}

impl Histogram {
    /// Counts a run that was last observed in this bin.
    pub fn add(&mut self, bin: usize, ended: bool) {
        self.observed[bin] += 1;
        self.ended[bin] += u32::from(ended);
    }

    /// How many runs ended.
    pub fn ended(&self) -> usize {
        self.ended.iter().sum::<u32>() as usize
    }

    /// Survival by the product-limit (Kaplan-Meier) estimate.
    pub fn survival(&self) -> SurvivalCurve {
        let mut at_risk: u32 = self.observed.iter().sum();
        let (mut survival, mut area, mut from) = (1.0, 0.0, 0.0);
        let mut points = Vec::new();
        for (bin, (ended, left)) in self.ended.iter().zip(&self.observed).enumerate() {
            if at_risk == 0 {
                break;
            }
            let edge = FIRST_BIN * BIN_RATIO.powi(bin as i32 + 1);
            let after = survival * (1.0 - f64::from(*ended) / f64::from(at_risk));
            area += (edge - from) * 0.5 * (survival + after);
            survival = after;
            at_risk -= left;
            from = edge;
            points.push(SurvivalPoint { time: edge, area, survival });
        }
        SurvivalCurve { points, mean: area }
    }
}

/// A survival curve at the upper edges of the bins.
#[derive(Clone, Debug)]
pub struct SurvivalCurve {
    /// The points, by time.
    pub points: Vec<SurvivalPoint>,
    /// The area under the curve up to the longest time observed: the mean run time.
    pub mean: f64,
}

/// One point of a survival curve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SurvivalPoint {
    /// The run time.
    pub time: f64,
    /// The area under the curve up to it.
    pub area: f64,
    /// The share of runs that take longer.
    pub survival: f64,
}

/// Adds to a queue that keeps the latest `capacity` items.
pub fn push_bounded<T>(queue: &mut VecDeque<T>, item: T, capacity: usize) {
    queue.push_back(item);
    while queue.len() > capacity {
        queue.pop_front();
    }
}

/// The times of recent happenings.
#[derive(Clone, Debug, Default)]
pub struct RecentTimes(VecDeque<Millis>);

impl RecentTimes {
    /// Adds a time, not before the last one.
    pub fn push(&mut self, at: Millis) {
        self.0.push_back(at);
    }

    /// Forgets what lies more than `span` before `now`.
    pub fn forget(&mut self, now: Millis, span: Millis) {
        while self.0.front().is_some_and(|at| now - at > span) {
            self.0.pop_front();
        }
    }

    /// How many lie at or after `from`.
    pub fn count_since(&self, from: Millis) -> usize {
        self.0.len() - self.0.partition_point(|at| *at < from)
    }
}

/// What queries in flight take up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InFlightLoad {
    /// Queries.
    pub queries: f64,
    /// Their threads.
    pub threads: f64,
    /// Their memory in MB.
    pub memory_mb: f64,
}

impl InFlightLoad {
    /// Adds another load, this many times.
    pub fn add(&mut self, other: InFlightLoad, times: f64) {
        self.queries += other.queries * times;
        self.threads += other.threads * times;
        self.memory_mb += other.memory_mb * times;
    }

    /// This load with `queries` further ones like the typical ones, and a further demand.
    pub fn with(self, queries: f64, typical: InFlightLoad, demand: InFlightLoad) -> InFlightLoad {
        InFlightLoad {
            queries: self.queries + queries + demand.queries,
            threads: self.threads + queries * typical.threads / typical.queries + demand.threads,
            memory_mb: self.memory_mb + queries * typical.memory_mb / typical.queries + demand.memory_mb,
        }
    }
}

/// This many of a dispatcher's own queries at an engine tell as much of it as what is known of all engines together.
const PRIOR_QUERIES: f64 = 4.0;

/// How many queries other dispatchers have in flight at an engine that does not report, with `dispatchers` in all: from one's
/// own there and from what all have on average at an engine of its size. The mean of a Gamma prior, drawn to one's own count
/// as to a Poisson sample of an even part.
pub fn estimated_others(own: f64, average: f64, dispatchers: usize) -> f64 {
    if average <= 0.0 || dispatchers <= 1 {
        return 0.0;
    }
    let all = (PRIOR_QUERIES + own) / (PRIOR_QUERIES / average + 1.0 / dispatchers as f64);
    (all - own).max(0.0)
}

/// One engine's own queries, of this dispatcher, and its cores.
#[derive(Clone, Copy, Debug)]
pub struct OwnQueries {
    /// Queries in flight.
    pub queries: f64,
    /// The engine's cores.
    pub cores: f64,
}

/// Queries in flight for each core, of all dispatchers together at engines that do not report, from one's own. By the engine in
/// the middle, as what piles up at some that hang says nothing of the others; less a standard deviation, as few queries tell
/// little of a fleet.
pub fn estimated_crowd(own: &mut [OwnQueries], dispatchers: usize) -> f64 {
    own.sort_by(|a, b| (a.queries / a.cores).total_cmp(&(b.queries / b.cores)));
    let (queries, cores) = own.iter().fold((0.0, 0.0), |sum, it| (sum.0 + it.queries, sum.1 + it.cores));
    let Some(middle) = own.get(own.len() / 2) else { return 0.0 };
    // Of small numbers most are 0.
    let count = if middle.queries > 0.0 { middle.queries / middle.cores * cores } else { queries };
    (count - count.sqrt()).max(0.0) / cores * dispatchers as f64
}

/// A figure that follows its samples over a horizon of time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Level {
    /// The figure.
    pub value: f64,
    at: Millis,
}

impl Level {
    /// Follows a sample by the time since the last one.
    pub fn follow(&mut self, sample: f64, now: Millis, horizon: Millis) {
        self.value += (sample - self.value) * (1.0 - (-(now - self.at).max(0.0) / horizon).exp());
        self.at = now;
    }
}
