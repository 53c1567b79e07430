//! Statistics of the decision module: decaying means, histograms of run times and estimates of load.

use std::collections::VecDeque;

use crate::interface::Millis;

/// A mean whose samples lose weight exponentially with their age.
///
/// Each method takes the horizon: the age in milliseconds at which a sample's weight has fallen to 1/e.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingMean {
    /// The mean of the samples; 0 before the first one.
    pub value: f64,
    /// The sum of the samples' weights at the time of the latest sample.
    pub weight: f64,
    /// When the latest sample was added.
    updated_at: Millis,
}

impl DecayingMean {
    /// Adds a sample with weight 1, after the weight of the earlier ones has decayed.
    pub fn add(&mut self, sample: f64, now: Millis, horizon: Millis) {
        self.weight = self.weight_at(now, horizon) + 1.0;
        self.value += (sample - self.value) / self.weight;
        self.updated_at = now;
    }

    /// The sum of the samples' weights, decayed to this time.
    pub fn weight_at(&self, now: Millis, horizon: Millis) -> f64 {
        let age = (now - self.updated_at).max(0.0);
        self.weight * (-age / horizon).exp()
    }

    /// Confidence in the mean, from 0 to 1: 1 while its weight is at least that of one fresh sample.
    pub fn confidence(&self, now: Millis, horizon: Millis) -> f64 {
        self.weight_at(now, horizon).min(1.0)
    }

    /// The mean together with one further sample of 0 that never decays, so that the value is close to 0 if
    /// the samples are few or old.
    pub fn shrunk_to_zero(&self, now: Millis, horizon: Millis) -> f64 {
        let weight = self.weight_at(now, horizon);
        self.value * weight / (weight + 1.0)
    }
}

/// A positive factor that is adjusted by its natural logarithm.
#[derive(Clone, Copy, Debug)]
pub struct LogFactor {
    /// The natural logarithm of the factor.
    pub log: f64,
    /// The factor: the exponential of `log`.
    pub factor: f64,
}

impl Default for LogFactor {
    fn default() -> Self {
        LogFactor { log: 0.0, factor: 1.0 }
    }
}

impl LogFactor {
    /// Sets the logarithm, and with it the factor.
    pub fn set_log(&mut self, log: f64) {
        *self = LogFactor { log, factor: log.exp() };
    }

    /// Moves the logarithm towards `sample_log` by this fraction of their difference.
    pub fn step_towards(&mut self, sample_log: f64, fraction: f64) {
        self.set_log(self.log + (sample_log - self.log) * fraction);
    }
}

/// A decaying geometric mean.
#[derive(Clone, Copy, Debug)]
pub struct GeometricMean {
    /// The mean of the samples' natural logarithms.
    pub log_mean: DecayingMean,
    /// The geometric mean: the exponential of the mean logarithm; 1 before the first sample.
    pub factor: f64,
}

impl Default for GeometricMean {
    fn default() -> Self {
        GeometricMean { log_mean: DecayingMean::default(), factor: 1.0 }
    }
}

impl GeometricMean {
    /// Adds a sample, given by its natural logarithm.
    pub fn add_log(&mut self, sample_log: f64, now: Millis, horizon: Millis) {
        self.log_mean.add(sample_log, now, horizon);
        self.factor = self.log_mean.value.exp();
    }
}

/// Number of bins in a histogram of run times. The bins have logarithmic widths and cover run times from 0.02
/// to about 700 times the estimate.
pub const HISTOGRAM_BINS: usize = 96;
/// Upper edge of a bin over its lower edge.
const BIN_EDGE_RATIO: f64 = 1.115;
/// Lower edge of the first bin, as a multiple of the estimated run time.
const FIRST_BIN_LOWER_EDGE: f64 = 0.02;

/// The histogram bin of a run time, given as a multiple of its estimate. Run times below or above the range
/// are in the first or last bin.
pub fn bin_of(run_ratio: f64) -> usize {
    let bin = (run_ratio.max(FIRST_BIN_LOWER_EDGE) / FIRST_BIN_LOWER_EDGE).ln() / BIN_EDGE_RATIO.ln();
    (bin as usize).min(HISTOGRAM_BINS - 1)
}

/// A histogram of run times, some of which are right-censored: such a run is in flight, or ended without
/// being served, after the time that is counted for it.
#[derive(Clone, Copy, Debug)]
pub struct Histogram {
    /// Runs by the bin of their time, censored or not.
    observed: [u32; HISTOGRAM_BINS],
    /// The runs among them that ended there and are not censored.
    ended: [u32; HISTOGRAM_BINS],
}

impl Default for Histogram {
    fn default() -> Self {
        Histogram { observed: [0; HISTOGRAM_BINS], ended: [0; HISTOGRAM_BINS] }
    }
}

impl Histogram {
    /// Counts a run whose time is in this bin. If `ended` is false, its time is a lower bound.
    pub fn add(&mut self, bin: usize, ended: bool) {
        self.observed[bin] += 1;
        self.ended[bin] += u32::from(ended);
    }

    /// The number of runs that ended and are not censored.
    pub fn ended(&self) -> usize {
        self.ended.iter().sum::<u32>() as usize
    }

    /// The survival curve of run times, by the product-limit (Kaplan-Meier) estimate.
    pub fn survival(&self) -> SurvivalCurve {
        let mut at_risk: u32 = self.observed.iter().sum();
        let mut survival = 1.0;
        let mut area = 0.0;
        let mut lower_edge = 0.0;
        let mut points = Vec::new();
        for (bin, (ended, observed)) in self.ended.iter().zip(&self.observed).enumerate() {
            if at_risk == 0 {
                break;
            }
            let upper_edge = FIRST_BIN_LOWER_EDGE * BIN_EDGE_RATIO.powi(bin as i32 + 1);
            let survival_after = survival * (1.0 - f64::from(*ended) / f64::from(at_risk));
            area += (upper_edge - lower_edge) * 0.5 * (survival + survival_after);
            survival = survival_after;
            at_risk -= observed;
            lower_edge = upper_edge;
            points.push(SurvivalPoint { run_ratio: upper_edge, area, survival });
        }
        SurvivalCurve { points, mean: area }
    }
}

/// A survival curve at the upper edges of the histogram's bins.
#[derive(Clone, Debug)]
pub struct SurvivalCurve {
    /// The points, in ascending order of run time.
    pub points: Vec<SurvivalPoint>,
    /// The mean run time, as a multiple of the estimate: the area under the curve up to the longest run.
    pub mean: f64,
}

/// One point of a survival curve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SurvivalPoint {
    /// The run time, as a multiple of the estimate.
    pub run_ratio: f64,
    /// The area under the curve up to this run time.
    pub area: f64,
    /// The fraction of runs that take longer.
    pub survival: f64,
}

/// Appends an item and removes the oldest ones until at most `capacity` remain.
pub fn push_bounded<T>(queue: &mut VecDeque<T>, item: T, capacity: usize) {
    queue.push_back(item);
    while queue.len() > capacity {
        queue.pop_front();
    }
}

/// The times of recent events, in ascending order.
#[derive(Clone, Debug, Default)]
pub struct RecentTimes(VecDeque<Millis>);

impl RecentTimes {
    /// Adds the time of an event, which must not be before the previous one.
    pub fn push(&mut self, at: Millis) {
        self.0.push_back(at);
    }

    /// Discards the times that are more than `max_age` before `now`.
    pub fn discard_older_than(&mut self, max_age: Millis, now: Millis) {
        while self.0.front().is_some_and(|at| now - at > max_age) {
            self.0.pop_front();
        }
    }

    /// The number of events at or after `start`.
    pub fn count_since(&self, start: Millis) -> usize {
        self.0.len() - self.0.partition_point(|at| *at < start)
    }
}

/// The resources of an engine that a number of queries use. The counts may be fractional, as they are
/// estimates.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InFlightLoad {
    /// Number of queries.
    pub queries: f64,
    /// Number of threads that they run on.
    pub threads: f64,
    /// Memory that they use, in MB.
    pub memory_mb: f64,
}

impl InFlightLoad {
    /// Adds a load multiplied by `factor`.
    pub fn add_scaled(&mut self, load: InFlightLoad, factor: f64) {
        self.queries += load.queries * factor;
        self.threads += load.threads * factor;
        self.memory_mb += load.memory_mb * factor;
    }

    /// This load with `queries` further queries, each with the mean threads and memory of the queries in
    /// `typical`, and with one further `demand`.
    pub fn with(self, queries: f64, typical: InFlightLoad, demand: InFlightLoad) -> InFlightLoad {
        InFlightLoad {
            queries: self.queries + queries + demand.queries,
            threads: self.threads + queries * typical.threads / typical.queries + demand.threads,
            memory_mb: self.memory_mb + queries * typical.memory_mb / typical.queries + demand.memory_mb,
        }
    }
}

/// Weight of the fleet's mean in the estimate of an engine's queries, as the number of this dispatcher's own
/// queries on that engine that have the same weight.
const PRIOR_QUERIES: f64 = 4.0;

/// Estimates how many queries other dispatchers have in flight on an engine that does not report its load.
///
/// `own_queries` are this dispatcher's queries on the engine, and `mean_queries` are the queries of all
/// dispatchers on an engine of its size, on average over the fleet. The queries of all dispatchers on the
/// engine are estimated as the mean of a Gamma distribution around `mean_queries`, updated by `own_queries`
/// as a Poisson sample of one part in `dispatchers`. The result is that estimate minus `own_queries`.
pub fn estimate_queries_of_other_dispatchers(own_queries: f64, mean_queries: f64, dispatchers: usize) -> f64 {
    if mean_queries <= 0.0 || dispatchers <= 1 {
        return 0.0;
    }
    let queries_of_all =
        (PRIOR_QUERIES + own_queries) / (PRIOR_QUERIES / mean_queries + 1.0 / dispatchers as f64);
    (queries_of_all - own_queries).max(0.0)
}

/// The queries that this dispatcher has in flight on one engine, and the engine's size.
#[derive(Clone, Copy, Debug)]
pub struct OwnQueries {
    /// Number of queries in flight.
    pub queries: f64,
    /// Number of the engine's cores.
    pub cores: f64,
}

/// Estimates the queries in flight per core of all dispatchers together on engines that do not report their
/// load, from this dispatcher's own queries on each engine, which it sorts.
///
/// It scales the median engine to the fleet, because queries that accumulate on a few unresponsive engines
/// say nothing about the load of other dispatchers. It subtracts one standard deviation, because a small
/// count is a poor estimate of the fleet's load.
pub fn estimate_fleet_queries_per_core(own: &mut [OwnQueries], dispatchers: usize) -> f64 {
    own.sort_by(|a, b| (a.queries / a.cores).total_cmp(&(b.queries / b.cores)));
    let mut total_queries = 0.0;
    let mut total_cores = 0.0;
    for engine in own.iter() {
        total_queries += engine.queries;
        total_cores += engine.cores;
    }
    let Some(median) = own.get(own.len() / 2) else { return 0.0 };
    // With few queries the median engine has none, so the sum is used instead.
    let own_queries =
        if median.queries > 0.0 { median.queries / median.cores * total_cores } else { total_queries };
    let lower_bound = (own_queries - own_queries.sqrt()).max(0.0);
    lower_bound / total_cores * dispatchers as f64
}

/// An exponentially smoothed value of a quantity that is sampled at irregular times.
#[derive(Clone, Copy, Debug, Default)]
pub struct SmoothedValue {
    /// The smoothed value.
    pub value: f64,
    /// When the latest sample was applied.
    updated_at: Millis,
}

impl SmoothedValue {
    /// Moves the value towards a sample, the further the more time has passed since the previous one: after
    /// one horizon, by 63% of the difference.
    pub fn update(&mut self, sample: f64, now: Millis, horizon: Millis) {
        let elapsed = (now - self.updated_at).max(0.0);
        self.value += (sample - self.value) * (1.0 - (-elapsed / horizon).exp());
        self.updated_at = now;
    }
}
