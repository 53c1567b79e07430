//! Commits the progress of a rollout before it takes effect.
//!
//! The next holder of the role must know everything that its predecessor has done. Each change of the
//! progress, such as the start of a stage, is therefore replicated before any proxy receives an offer that
//! depends on it: offers are deferred until the commit.

use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_config::schema::{Keep, Progress};
use prost::Message as _;

/// The shortest interval between checkpoints of which only request counts differ. Any other change is
/// checkpointed at once.
pub const COUNTS_CHECKPOINT_INTERVAL: Duration = Duration::from_secs(5);

/// The last checkpoint that was proposed.
#[derive(Debug)]
struct ProposedCheckpoint {
    progress: Progress,
    /// `None` if the previous holder proposed the checkpoint.
    proposed_at: Option<Timestamp>,
}

/// Defers the actions `A` of a holder until the rollout progress that they depend on is committed.
#[derive(Debug)]
pub struct CheckpointBarrier<A> {
    last_proposed: Option<ProposedCheckpoint>,
    /// Sequence number of the last checkpoint under this term.
    last_order: u64,
    /// Sequence number of the checkpoint that is not committed yet; `None` if there is none.
    pending_order: Option<u64>,
    deferred: Vec<A>,
}

impl<A> Default for CheckpointBarrier<A> {
    fn default() -> Self {
        CheckpointBarrier { last_proposed: None, last_order: 0, pending_order: None, deferred: Vec::new() }
    }
}

fn without_counts(progress: &Progress) -> Progress {
    Progress { counts: Vec::new(), ..progress.clone() }
}

impl<A> CheckpointBarrier<A> {
    /// Creates the barrier of a holder that resumes from the progress in the state of its role. `order` is
    /// the sequence number with which that state was stored.
    pub fn resume(order: u64, progress: Progress) -> Self {
        let last_proposed = Some(ProposedCheckpoint { progress, proposed_at: None });
        CheckpointBarrier { last_proposed, last_order: order, ..Self::default() }
    }

    /// Compares the progress of the rollout with the last checkpoint, and returns the next checkpoint to
    /// propose if one is due.
    pub fn checkpoint(&mut self, now: Timestamp, progress: Option<Progress>) -> Option<Keep> {
        let progress = progress?;
        if self.last_proposed.as_ref().is_some_and(|last| !last.is_outdated(now, &progress)) {
            return None;
        }
        self.last_order += 1;
        self.pending_order = Some(self.last_order);
        let state = progress.encode_to_vec();
        self.last_proposed = Some(ProposedCheckpoint { progress, proposed_at: Some(now) });
        Some(Keep { state, order: self.last_order })
    }

    /// Submits an action. Returns it if it may be carried out now; otherwise defers it.
    pub fn submit(&mut self, action: A) -> Option<A> {
        if self.pending_order.is_none() {
            return Some(action);
        }
        self.deferred.push(action);
        None
    }

    /// Handles the result of the checkpoint with this sequence number. Returns the actions that may be
    /// carried out now.
    ///
    /// If the checkpoint could not be committed, the next [`CheckpointBarrier::checkpoint`] proposes another
    /// one, and actions stay deferred until that one is committed.
    pub fn on_commit(&mut self, order: u64, committed: bool) -> Vec<A> {
        if self.pending_order != Some(order) {
            return Vec::new();
        }
        if !committed {
            self.last_proposed = None;
            return Vec::new();
        }
        self.pending_order = None;
        std::mem::take(&mut self.deferred)
    }
}

impl ProposedCheckpoint {
    fn is_outdated(&self, now: Timestamp, progress: &Progress) -> bool {
        let interval_over = self
            .proposed_at
            .is_none_or(|proposed_at| now.duration_since(proposed_at) >= COUNTS_CHECKPOINT_INTERVAL);
        let counts_due = self.progress.counts != progress.counts && interval_over;
        counts_due || without_counts(&self.progress) != without_counts(progress)
    }
}
