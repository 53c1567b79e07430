//! Estimates of a request's work, run time and memory, corrected by the answers of its class.

use super::*;

/// ms of work taken for a request without an estimate until an answer of its class tells of it.
const UNKNOWN_WORK: Millis = 1_000.0;
/// Answers, less what is forgotten, from which a class is known. What is not must not count as hopeless: it
/// would be rejected for good, as nothing would be learned.
const KNOWN_ANSWERS: f64 = 0.5;
/// Share of what is known of a class's memory that each answer replaces: some 20 answers tell it.
const MEMORY_STEP: f64 = 0.05;
/// Granted over needed memory on average: needs scatter, and a spill costs more than spare memory.
const GRANT_MARGIN: f64 = 1.2;

/// What is known of the work of each class.
#[derive(Default)]
pub struct WorkEstimator(pub Vec<ClassWork>);

impl WorkEstimator {
    /// The time that a request takes alone, by its estimate, or else by the answers of its class.
    pub fn nominal_run(&self, context: &Context, new: &NewRequest) -> Millis {
        let class = &self.0[new.class.0];
        let unestimated = UNKNOWN_WORK * class.learned.factor / class.estimate_bias.factor;
        let work = if new.estimate > 0.0 { new.estimate } else { unestimated };
        work / context.settings.class(new).threads
    }

    /// The same, corrected by how far estimates of the class are off.
    pub fn run_alone(&self, context: &Context, new: &NewRequest) -> Millis {
        self.nominal_run(context, new) * self.0[new.class.0].estimate_bias.factor
    }

    /// The time that its run takes on the fleet's average; 0 while no answer of late tells it.
    pub fn expected_run(&self, context: &Context, new: &NewRequest) -> Millis {
        let stretch = &self.0[new.class.0].stretch;
        let known = stretch.mean.weight_at(context.now, CLASS_HORIZON) >= KNOWN_ANSWERS;
        if known { self.run_alone(context, new) * stretch.factor } else { 0.0 }
    }

    /// The work of a typical request of the class; only estimates that run low are corrected.
    pub fn typical_work(&self, class: ClassId) -> Millis {
        self.0[class.0].work.value * self.0[class.0].estimate_bias.factor.max(1.0)
    }

    /// What one run of the request takes up; memory with its margin.
    pub fn demand(&self, context: &Context, new: &NewRequest) -> InFlightLoad {
        let memory_mb = new.memory_mb * self.0[new.class.0].memory.factor * GRANT_MARGIN;
        InFlightLoad { queries: 1.0, threads: context.settings.class(new).threads, memory_mb }
    }

    pub fn on_request(&mut self, context: &Context, new: &NewRequest) {
        let work = self.nominal_run(context, new) * context.settings.class(new).threads;
        self.0[new.class.0].work.add(work, context.now, CLASS_HORIZON);
    }

    /// Learns from a served attempt. Returns the logarithm of its time over the class's mean, if known.
    pub fn on_served(&mut self, context: &Context, new: &NewRequest, end: &AttemptEnd) -> Option<f64> {
        let (nominal, threads) = (self.nominal_run(context, new), context.settings.class(new).threads);
        let class = &mut self.0[new.class.0];
        let mut true_run = nominal;
        if let Some(cost) = end.cost.filter(|cost| cost.work > 0.0) {
            true_run = cost.work / threads;
            class.estimate_bias.add((true_run / nominal).ln(), context.now, CLASS_HORIZON);
            if new.memory_mb > 0.0 && cost.memory_mb > 0.0 {
                class.memory.step((cost.memory_mb / new.memory_mb).ln(), MEMORY_STEP);
            }
        } else {
            class.memory.set((class.memory.log - 0.001).max(-0.2));
        }
        let stretch = (end.elapsed.max(0.1) / true_run).ln();
        let usual = Some(class.stretch.mean).filter(|usual| usual.weight > 0.0);
        class.stretch.add(stretch, context.now, CLASS_HORIZON);
        class.learned.add((true_run * threads / UNKNOWN_WORK).ln(), context.now, CLASS_HORIZON);
        usual.map(|usual| stretch - usual.value)
    }

    pub fn on_spill(&mut self, class: ClassId) {
        let memory = &mut self.0[class.0].memory;
        memory.set((memory.log + 0.03).min(1.0));
    }
}
