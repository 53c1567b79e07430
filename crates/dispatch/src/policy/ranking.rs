//! Ranking: which of the requests that wait is sent first, and with which priority.

use super::*;

/// Rank over the typical rank from which each step of priority holds.
const PRIORITY_STEPS: [f64; 3] = [0.05, 0.25, 1.0];
pub const HIGHEST_PRIORITY: u8 = PRIORITY_STEPS.len() as u8;

/// The mean logarithm of ranks at arrival, against which priorities are given.
#[derive(Default)]
pub struct Ranking(LogMean);

impl Ranking {
    pub fn on_request(&mut self, rank: f64, now: Millis) {
        self.0.add(rank.max(1e-9).ln(), now, CLASS_HORIZON);
    }

    pub fn priority(&self, rank: f64) -> u8 {
        let relative = rank / self.0.factor;
        PRIORITY_STEPS.iter().filter(|step| relative >= **step).count() as u8
    }
}

/// The priority weight still to be had for each unit of a request's work.
pub fn rank(context: &Context, work: &WorkEstimator, queues: &OrderedQueues, request: &Request) -> f64 {
    let (class, run_alone) = (context.settings.class(&request.new), work.run_alone(context, &request.new));
    let target = request.arrived_at + class.target_latency + class.target_stretch * run_alone;
    let late = context.now + work.expected_run(context, &request.new) > target.min(request.new.deadline);
    let late_fraction = if late { class.late_fraction } else { 1.0 };
    let in_quota = request.in_quota + (1.0 - request.in_quota) * context.settings.over_quota_fraction;
    let served = queues.len(context, &request.new) as f64;
    class.priority_weight * late_fraction * in_quota * served / (run_alone * class.threads)
}
