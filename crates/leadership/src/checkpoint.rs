//! What an owner may do before the next owner could know of it: nothing. How far a rollout has come is agreed on before any
//! proxy hears of the step; what is to be said meanwhile waits.

use gaugestep_config::schema::{Keep, Progress};
use prost::Message as _;

/// Counts that have grown are proposed this often, in milliseconds; they alone hold nothing up.
pub const COUNTS_INTERVAL: f64 = 5_000.0;

/// The barrier of one owner, for what it has to say (`A`).
#[derive(Debug)]
pub struct CheckpointBarrier<A> {
    proposed: Option<Progress>,
    proposed_at: f64,
    order: u64,
    pending: Option<u64>,
    waiting: Vec<A>,
}

impl<A> Default for CheckpointBarrier<A> {
    fn default() -> Self {
        CheckpointBarrier {
            proposed: None,
            proposed_at: f64::NEG_INFINITY,
            order: 0,
            pending: None,
            waiting: Vec::new(),
        }
    }
}

fn without_counts(progress: &Progress) -> Progress {
    Progress { counts: Vec::new(), ..progress.clone() }
}

impl<A> CheckpointBarrier<A> {
    /// An owner that goes on from this progress, which was the duty's state of this order.
    pub fn resume(order: u64, progress: Progress) -> Self {
        CheckpointBarrier { proposed: Some(progress), order, ..CheckpointBarrier::default() }
    }

    /// Looks how far the rollout is; what is to be agreed on, if that has changed.
    pub fn checkpoint(&mut self, now: f64, progress: Option<Progress>) -> Option<Keep> {
        let progress = progress?;
        if let Some(proposed) = &self.proposed {
            let grown = proposed.counts != progress.counts && now - self.proposed_at >= COUNTS_INTERVAL;
            if without_counts(proposed) == without_counts(&progress) && !grown {
                return None;
            }
        }
        self.order += 1;
        self.pending = Some(self.order);
        let state = progress.encode_to_vec();
        (self.proposed, self.proposed_at) = (Some(progress), now);
        Some(Keep { state, order: self.order })
    }

    /// Something is to be said: it is given back if it may be said now, and waits otherwise.
    pub fn submit(&mut self, action: A) -> Option<A> {
        if self.pending.is_none() {
            return Some(action);
        }
        self.waiting.push(action);
        None
    }

    /// The state of this order was agreed on, or could not be. What may be said now; what could not be agreed on is proposed anew
    /// at the next look, and holds up what waits.
    pub fn on_commit(&mut self, order: u64, committed: bool) -> Vec<A> {
        if self.pending != Some(order) {
            return Vec::new();
        }
        if !committed {
            self.proposed = None;
            return Vec::new();
        }
        self.pending = None;
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
        let mut barrier = CheckpointBarrier::resume(4, Progress::default());
        assert_eq!(barrier.submit('a'), Some('a'));
        let keep = barrier.checkpoint(0.0, progress(0, 0)).unwrap();
        assert_eq!((keep.order, Progress::decode(keep.state.as_slice()).ok()), (5, progress(0, 0)));
        assert_eq!(barrier.submit('b'), None);
        assert_eq!(barrier.checkpoint(1.0, progress(0, 9)), None, "counts alone are not proposed at once");
        assert!(barrier.on_commit(4, true).is_empty(), "of an earlier order");
        assert!(barrier.on_commit(5, false).is_empty());
        let again = barrier.checkpoint(2.0, progress(0, 9)).unwrap();
        assert_eq!(barrier.on_commit(again.order, true), ['b']);
        assert_eq!(barrier.submit('c'), Some('c'));
        assert!(barrier.checkpoint(2.0 + COUNTS_INTERVAL, progress(0, 20)).is_some());
        assert_eq!(barrier.checkpoint(9_000.0, None), None);
    }

    #[test]
    fn a_later_step_holds_up_what_the_earlier_one_released_nothing_for() {
        let mut barrier = CheckpointBarrier::resume(0, Progress::default());
        let first = barrier.checkpoint(0.0, progress(0, 0)).unwrap();
        barrier.submit('a');
        let second = barrier.checkpoint(0.0, progress(1, 0)).unwrap();
        assert!(barrier.on_commit(first.order, true).is_empty(), "the later state is the one that counts");
        assert_eq!(barrier.on_commit(second.order, true), ['a']);
    }
}
