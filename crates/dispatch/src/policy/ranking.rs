//! Ranking: which of the waiting requests is sent first, and with which priority.

use super::{CLASS_HORIZON, WorkEstimator};
use crate::dispatcher::Context;
use crate::interface::Millis;
use crate::requests::{OrderedQueues, Request};
use crate::stats::GeometricMean;

/// Ranks, as multiples of the typical rank, from which priorities 1, 2 and 3 are given.
const PRIORITY_STEPS: [f64; 3] = [0.05, 0.25, 1.0];
/// The most urgent priority.
pub const HIGHEST_PRIORITY: u8 = PRIORITY_STEPS.len() as u8;
/// Lower bound of a rank before its logarithm is taken.
const MIN_RANK: f64 = 1e-9;

/// Gives priorities to ranks by comparison with the typical rank.
#[derive(Default)]
pub struct Ranking {
    /// The geometric mean of recent requests' ranks at their arrival.
    typical_rank: GeometricMean,
}

impl Ranking {
    /// Adds the rank of a request that arrives to the typical rank.
    pub fn on_request(&mut self, rank: f64, now: Millis) {
        self.typical_rank.add_log(rank.max(MIN_RANK).ln(), now, CLASS_HORIZON);
    }

    /// The priority for a rank, from 0 to 3, by its ratio to the typical rank.
    pub fn priority(&self, rank: f64) -> u8 {
        let relative_rank = rank / self.typical_rank.factor;
        PRIORITY_STEPS.iter().filter(|step| relative_rank >= **step).count() as u8
    }
}

/// The rank of a request: the priority weight that serving it now would give, per millisecond of its work on
/// one thread. The weight is lower for a request that would end after its target latency, and for one beyond
/// its tenant's quota. It is multiplied by the number of requests in an ordered queue, as they all wait for
/// the first one.
pub fn rank(context: &Context, work: &WorkEstimator, queues: &OrderedQueues, request: &Request) -> f64 {
    let class = context.settings.class(&request.new);
    let run_time = work.unloaded_run_time(context, &request.new);
    let target = request.arrived_at + class.target_latency + class.target_stretch * run_time;
    let expected_end = context.now + work.expected_run_time(context, &request.new);
    let is_late = expected_end > target.min(request.new.deadline);
    let late_factor = if is_late { class.late_fraction } else { 1.0 };
    let over_quota_fraction = 1.0 - request.in_quota_fraction;
    let quota_factor =
        request.in_quota_fraction + over_quota_fraction * context.settings.over_quota_weight_factor;
    let queue_length = queues.queue_length(context, &request.new) as f64;
    class.priority_weight * late_factor * quota_factor * queue_length / (run_time * class.threads)
}
