//! Prevents a second run of a request that must not run twice, where its id comes again in a new request.

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use crate::interface::{Idempotency, Outcome, RequestId};

/// Number of ids that are remembered. The oldest is forgotten first.
const MAX_IDS: usize = 32 * 1024;

/// Remembers the ids of requests that may have run and must not run twice. Ids are stored as hashes, so that
/// their length does not matter.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    hashes: HashSet<u64>,
    /// The same hashes, oldest first.
    order: VecDeque<u64>,
}

impl ReplayGuard {
    /// Records the end of an attempt of a request with this id.
    pub fn on_attempt_ended(&mut self, id: &RequestId, idempotency: Idempotency, outcome: Outcome) {
        if idempotency == Idempotency::Safe || outcome.never_ran() {
            return;
        }
        self.remember(id);
    }

    /// Records that a request with this id may have run.
    pub fn remember(&mut self, id: &RequestId) {
        let hash = hash_of(id);
        if !self.hashes.insert(hash) {
            return;
        }
        self.order.push_back(hash);
        if self.order.len() > MAX_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.hashes.remove(&oldest);
        }
    }

    /// Whether a request with this id may have run and must not run again.
    pub fn may_have_run(&self, id: &RequestId) -> bool {
        self.hashes.contains(&hash_of(id))
    }
}

fn hash_of(id: &RequestId) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.0.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
#[path = "../../tests/parts/replay.rs"]
mod tests;
