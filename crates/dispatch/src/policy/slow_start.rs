//! Slow start: an engine that has just started is sent a limited amount of work while it warms up.

use gaugestep_subsetting::slow_start::SlowStartLimit;

use super::WorkEstimator;
use crate::dispatcher::Context;
use crate::engines::{Fleet, WarmUp};
use crate::interface::{ClassId, EngineId};

impl WarmUp {
    /// The fraction of its full capacity that the engine has now at the least, up to 1.
    pub fn capacity_fraction(&self, context: &Context) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        context.settings.slow_start.capacity_fraction(context.now - started_at)
    }
}

impl Fleet {
    /// Whether the slow start of an engine permits this dispatcher to send it one more request of the class.
    /// False for an unknown engine.
    pub fn admits(&mut self, context: &Context, work: &WorkEstimator, id: EngineId, class: ClassId) -> bool {
        let Some(engine) = self.engines.get_mut(&id) else { return false };
        let Some(started_at) = engine.warm_up.started_at else { return true };
        let rotation_slot = self.subset.drawn.rotation_slot(id.0);
        let cores = context.settings.machine_type(&engine.entry).cores;
        let limit = SlowStartLimit { cores, settings: context.settings.slow_start };
        let age = context.now - started_at;
        let work_of_classes = (0..work.corrections.len()).map(|class| work.typical_work(ClassId(class)));
        let work_of_request = work.typical_work(class);
        engine.warm_up.budget.available(&limit, rotation_slot, age, work_of_classes, work_of_request)
    }
}
