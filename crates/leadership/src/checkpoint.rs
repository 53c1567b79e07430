//! What an owner may do before the next owner could know of it: nothing. How far a rollout has come is agreed on before any
//! proxy hears of the step; what is to be said meanwhile waits.

use gaugestep_config::schema::{Keep, Progress};
use prost::Message as _;

/// Counts that have grown are told this often, in milliseconds; they alone hold nothing up.
pub const COUNTS_EVERY: f64 = 5_000.0;

/// The gate of one owner, for what it has to say (`A`).
#[derive(Debug)]
pub struct Gate<A> {
    told: Option<Progress>,
    told_at: f64,
    order: u64,
    keeping: Option<u64>,
    waiting: Vec<A>,
}

impl<A> Default for Gate<A> {
    fn default() -> Self {
        Gate { told: None, told_at: f64::NEG_INFINITY, order: 0, keeping: None, waiting: Vec::new() }
    }
}

fn without_counts(progress: &Progress) -> Progress {
    Progress { counts: Vec::new(), ..progress.clone() }
}

impl<A> Gate<A> {
    /// An owner that goes on from this progress, which was the duty's state of this order.
    pub fn begin(order: u64, progress: Progress) -> Self {
        Gate { told: Some(progress), order, ..Gate::default() }
    }

    /// Looks how far the rollout is; what is to be agreed on, if that has changed.
    pub fn look(&mut self, now: f64, progress: Option<Progress>) -> Option<Keep> {
        let progress = progress?;
        if let Some(told) = &self.told {
            let grown = told.counts != progress.counts && now - self.told_at >= COUNTS_EVERY;
            if without_counts(told) == without_counts(&progress) && !grown {
                return None;
            }
        }
        self.order += 1;
        self.keeping = Some(self.order);
        let state = progress.encode_to_vec();
        (self.told, self.told_at) = (Some(progress), now);
        Some(Keep { state, order: self.order })
    }

    /// Something is to be said: it is given back if it may be said now, and waits otherwise.
    pub fn say(&mut self, what: A) -> Option<A> {
        if self.keeping.is_none() {
            return Some(what);
        }
        self.waiting.push(what);
        None
    }

    /// The state of this order was agreed on, or could not be. What may be said now; what could not be agreed on is told anew
    /// at the next look, and holds up what waits.
    pub fn kept(&mut self, order: u64, done: bool) -> Vec<A> {
        if self.keeping != Some(order) {
            return Vec::new();
        }
        if !done {
            self.told = None;
            return Vec::new();
        }
        self.keeping = None;
        std::mem::take(&mut self.waiting)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn progress(step: u32, served: u64) -> Option<Progress> {
        Some(Progress { number: 1, step, counts: vec![served, 0, 0, 0], ..Progress::default() })
    }

    #[test]
    fn nothing_is_said_of_a_step_before_it_is_agreed_on() {
        let mut gate = Gate::begin(4, Progress::default());
        assert_eq!(gate.say('a'), Some('a'));
        let keep = gate.look(0.0, progress(0, 0)).unwrap();
        assert_eq!((keep.order, Progress::decode(keep.state.as_slice()).ok()), (5, progress(0, 0)));
        assert_eq!(gate.say('b'), None);
        assert_eq!(gate.look(1.0, progress(0, 9)), None, "counts alone are not told at once");
        assert!(gate.kept(4, true).is_empty(), "of an earlier order");
        assert!(gate.kept(5, false).is_empty());
        let again = gate.look(2.0, progress(0, 9)).unwrap();
        assert_eq!(gate.kept(again.order, true), ['b']);
        assert_eq!(gate.say('c'), Some('c'));
        assert!(gate.look(2.0 + COUNTS_EVERY, progress(0, 20)).is_some());
        assert_eq!(gate.look(9_000.0, None), None);
    }

    #[test]
    fn a_later_step_holds_up_what_the_earlier_one_released_nothing_for() {
        let mut gate = Gate::begin(0, Progress::default());
        let first = gate.look(0.0, progress(0, 0)).unwrap();
        gate.say('a');
        let second = gate.look(0.0, progress(1, 0)).unwrap();
        assert!(gate.kept(first.order, true).is_empty(), "the later state is the one that counts");
        assert_eq!(gate.kept(second.order, true), ['a']);
    }
}
