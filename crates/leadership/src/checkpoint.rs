//! Commits the progress of a rollout before its effect.
//!
//! A holder must do nothing that its successor could not know of: how far a rollout has come is replicated before any
//! proxy is offered the step, and offers are held back meanwhile.

use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_config::schema::{Keep, Progress};
use prost::Message as _;

/// Request counts that have grown are checkpointed at this interval; a change of anything else is at once.
pub const COUNTS_INTERVAL: Duration = Duration::from_secs(5);

/// A checkpoint that was proposed.
#[derive(Debug)]
struct Proposed {
    progress: Progress,
    /// `None` if it was taken over from the previous holder.
    at: Option<Timestamp>,
}

/// Holds back the actions `A` of a holder until the progress that they follow from is committed.
#[derive(Debug)]
pub struct CheckpointBarrier<A> {
    proposed: Option<Proposed>,
    /// Order of the last checkpoint under this term.
    order: u64,
    /// Order of the checkpoint that is not committed yet.
    pending: Option<u64>,
    held_back: Vec<A>,
}

impl<A> Default for CheckpointBarrier<A> {
    fn default() -> Self {
        CheckpointBarrier { proposed: None, order: 0, pending: None, held_back: Vec::new() }
    }
}

fn without_counts(progress: &Progress) -> Progress {
    Progress { counts: Vec::new(), ..progress.clone() }
}

impl<A> CheckpointBarrier<A> {
    /// The barrier of a holder that resumes from this progress, which the role's state had under this order.
    pub fn resume(order: u64, progress: Progress) -> Self {
        CheckpointBarrier { proposed: Some(Proposed { progress, at: None }), order, ..Self::default() }
    }

    /// Compares the rollout's progress with the last checkpoint; returns the next one to propose, if one is due.
    pub fn checkpoint(&mut self, now: Timestamp, progress: Option<Progress>) -> Option<Keep> {
        let progress = progress?;
        if self.proposed.as_ref().is_some_and(|proposed| !proposed.is_outdated(now, &progress)) {
            return None;
        }
        self.order += 1;
        self.pending = Some(self.order);
        let state = progress.encode_to_vec();
        self.proposed = Some(Proposed { progress, at: Some(now) });
        Some(Keep { state, order: self.order })
    }

    /// Submits an action: it is returned if it may be carried out now, and held back otherwise.
    pub fn submit(&mut self, action: A) -> Option<A> {
        if self.pending.is_none() {
            return Some(action);
        }
        self.held_back.push(action);
        None
    }

    /// The checkpoint of this order was committed, or could not be; returns the actions that may be carried out now.
    ///
    /// What could not be committed is proposed again by the next [`CheckpointBarrier::checkpoint`], and actions stay
    /// held back until then.
    pub fn on_commit(&mut self, order: u64, committed: bool) -> Vec<A> {
        if self.pending != Some(order) {
            return Vec::new();
        }
        if !committed {
            self.proposed = None;
            return Vec::new();
        }
        self.pending = None;
        std::mem::take(&mut self.held_back)
    }
}

impl Proposed {
    fn is_outdated(&self, now: Timestamp, progress: &Progress) -> bool {
        let interval_over = self.at.is_none_or(|at| now.duration_since(at) >= COUNTS_INTERVAL);
        let counts_due = self.progress.counts != progress.counts && interval_over;
        counts_due || without_counts(&self.progress) != without_counts(progress)
    }
}
