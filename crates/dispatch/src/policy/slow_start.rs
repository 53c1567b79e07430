//! Slow start: a freshly started engine gets work as it warms up, within the fleet's budget.

use super::*;

impl WarmUp {
    /// The share of its capacity that the engine has by now, at the least.
    pub fn capacity_share(&self, context: &Context) -> f64 {
        self.started_at.map_or(1.0, |at| context.settings.slow_start.capacity_fraction(context.now - at))
    }
}

impl Fleet {
    /// Whether an engine can take one more request of the class from this dispatcher.
    pub fn admits(&mut self, context: &Context, work: &WorkEstimator, id: EngineId, class: ClassId) -> bool {
        let Some(engine) = self.engines.get_mut(&id) else { return false };
        let Some(started_at) = engine.warm_up.started_at else { return true };
        let slot = self.subset.drawn.rotation_slot(id.0);
        let cores = context.settings.machine(&engine.entry).cores;
        let limit = SlowStartLimit { cores, settings: context.settings.slow_start };
        let works = (0..work.0.len()).map(|class| work.typical_work(ClassId(class)));
        let typical = work.typical_work(class);
        engine.warm_up.budget.available(&limit, slot, context.now - started_at, works, typical)
    }
}
