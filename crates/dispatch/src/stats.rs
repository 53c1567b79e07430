//! Statistics for the decision module; nothing is decided or tuned here.

use std::collections::VecDeque;

use crate::interface::Millis;

/// A mean that forgets over a horizon of time.
#[derive(Clone, Copy, Default)]
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

    /// The mean, drawn towards 0 as if one sample of 0 were always there.
    pub fn shrunk(&self, now: Millis, horizon: Millis) -> f64 {
        let weight = self.weight_at(now, horizon);
        self.value * weight / (weight + 1.0)
    }
}

/// A factor that is kept as its log.
#[derive(Clone, Copy)]
pub struct Log {
    /// The log.
    pub log: f64,
    /// Its exponential.
    pub factor: f64,
}

impl Default for Log {
    fn default() -> Self {
        Log { log: 0.0, factor: 1.0 }
    }
}

impl Log {
    /// Sets the log.
    pub fn set(&mut self, log: f64) {
        *self = Log { log, factor: log.exp() };
    }

    /// Moves the log by this share of the way to a sample.
    pub fn step(&mut self, sample: f64, share: f64) {
        self.set(self.log + (sample - self.log) * share);
    }
}

/// A factor that is the exponential of a mean of logs.
#[derive(Clone, Copy)]
pub struct LogMean {
    /// The mean of the logs.
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
    /// Adds the log of a sample.
    pub fn add(&mut self, log: f64, now: Millis, horizon: Millis) {
        self.mean.add(log, now, horizon);
        self.factor = self.mean.value.exp();
    }
}

/// Bins of the histogram and the ratio between their edges: 0.02 to about 700 times the estimate.
pub const BINS: usize = 96;
const BIN_RATIO: f64 = 1.115;
const BIN_FIRST: f64 = 0.02;

/// The bin of a ratio.
pub fn bin_of(ratio: f64) -> usize {
    let bin = (ratio.max(BIN_FIRST) / BIN_FIRST).ln() / BIN_RATIO.ln();
    (bin as usize).min(BINS - 1)
}

/// Survival by the product-limit (Kaplan-Meier) estimate from counts by bin of what was last seen there and of
/// what of it ended there, the rest being right-censored: for each bin's upper edge, the area under the curve
/// up to it and the survival there; with the whole area up to the longest time seen.
pub fn product_limit(ends: &[u32], seen: &[u32]) -> (Vec<(f64, f64, f64)>, f64) {
    let mut at_risk: u32 = seen.iter().sum();
    let (mut survival, mut area, mut from) = (1.0, 0.0, 0.0);
    let mut curve = Vec::new();
    for (bin, (ended, left)) in ends.iter().zip(seen).enumerate() {
        if at_risk == 0 {
            break;
        }
        let edge = BIN_FIRST * BIN_RATIO.powi(bin as i32 + 1);
        let after = survival * (1.0 - f64::from(*ended) / f64::from(at_risk));
        area += (edge - from) * 0.5 * (survival + after);
        survival = after;
        at_risk -= left;
        from = edge;
        curve.push((edge, area, survival));
    }
    (curve, area)
}

/// Adds to a queue that keeps the latest few.
pub fn remember<T>(queue: &mut VecDeque<T>, item: T, most: usize) {
    queue.push_back(item);
    while queue.len() > most {
        queue.pop_front();
    }
}

/// How many of a queue of times, in order, lie at or after `from`.
pub fn since(times: &VecDeque<Millis>, from: Millis) -> usize {
    times.len() - times.partition_point(|at| *at < from)
}

/// What queries take up.
#[derive(Clone, Copy, Default)]
pub struct InFlightLoad {
    /// Queries.
    pub queries: f64,
    /// Their threads.
    pub threads: f64,
    /// Their memory in MB.
    pub memory: f64,
}

impl InFlightLoad {
    /// Adds another so many times.
    pub fn add(&mut self, other: InFlightLoad, times: f64) {
        self.queries += other.queries * times;
        self.threads += other.threads * times;
        self.memory += other.memory * times;
    }
}

/// So many of one's own queries at an engine tell as much of it as what is known of all engines together.
const PRIOR_QUERIES: f64 = 4.0;

/// How many queries other dispatchers hold at an engine that tells nothing, with `dispatchers` in all: from one's own there and
/// from what all hold on average at an engine of its size. The mean of a Gamma prior, drawn to one's own count as to a Poisson
/// sample of an even part.
pub fn unseen(own: f64, average: f64, dispatchers: usize) -> f64 {
    if average <= 0.0 || dispatchers <= 1 {
        return 0.0;
    }
    let all = (PRIOR_QUERIES + own) / (PRIOR_QUERIES / average + 1.0 / dispatchers as f64);
    (all - own).max(0.0)
}

/// What all of so many dispatchers hold at engines that tell nothing, for each of their cores, from one's own queries at each and
/// its cores. By the engine in the middle, as what piles up at some that hang says nothing of the others; less a standard
/// deviation, as few queries tell little of a fleet.
pub fn held_by_all(own: &mut [(f64, f64)], dispatchers: usize) -> f64 {
    own.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let (queries, cores) =
        own.iter().fold((0.0, 0.0), |sum, (queries, cores)| (sum.0 + queries, sum.1 + cores));
    let Some((middle, size)) = own.get(own.len() / 2) else { return 0.0 };
    // Of small numbers most are 0.
    let count = if *middle > 0.0 { middle / size * cores } else { queries };
    (count - count.sqrt()).max(0.0) / cores * dispatchers as f64
}

/// A figure that follows its samples over a horizon of time.
#[derive(Clone, Copy, Default)]
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
