//! A planner's side of membership: which forwarders it plans for, and under which epoch of each.

use std::collections::BTreeMap;
use std::time::Duration;

use gaugestep_clock::Timestamp;

use crate::planner_directory::max_forwarders;

/// How long a forwarder obeys a planner after it asked for the planner's lease.
pub const LEASE_DURATION: Duration = Duration::from_millis(600);
/// How often a forwarder renews the lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(150);
/// A forwarder that has not renewed for this long is removed, with all that it registered.
pub const EXPIRE_AFTER: Duration = Duration::from_secs(3);

/// The response to a forwarder that asks to be planned for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttachOutcome {
    /// The planner plans for it from now on.
    Accepted,
    /// The planner has as many forwarders as it takes.
    AtCapacity,
    /// The forwarder itself has moved on to a later epoch: the request was delayed.
    StaleEpoch,
}

#[derive(Clone, Debug)]
struct Forwarder {
    epoch: u64,
    last_renewal: Timestamp,
}

/// The forwarders of one planner.
#[derive(Clone, Debug)]
pub struct ForwarderLeases {
    forwarders: BTreeMap<String, Forwarder>,
    capacity: usize,
}

impl ForwarderLeases {
    /// A planner without forwarders, among this many known forwarders and planners.
    pub fn new(forwarders: usize, planners: usize) -> Self {
        ForwarderLeases { forwarders: BTreeMap::new(), capacity: max_forwarders(forwarders, planners) }
    }

    /// The number of known forwarders or live planners has changed. No attached forwarder is removed for it.
    pub fn resize(&mut self, forwarders: usize, planners: usize) {
        self.capacity = max_forwarders(forwarders, planners);
    }

    /// A forwarder asks to be planned for under an epoch of its own.
    pub fn attach(&mut self, now: Timestamp, forwarder: &str, epoch: u64) -> AttachOutcome {
        let count = self.forwarders.len();
        match self.forwarders.get_mut(forwarder) {
            Some(known) if epoch < known.epoch => return AttachOutcome::StaleEpoch,
            Some(known) => *known = Forwarder { epoch, last_renewal: now },
            None if count >= self.capacity => return AttachOutcome::AtCapacity,
            None => {
                self.forwarders.insert(forwarder.to_owned(), Forwarder { epoch, last_renewal: now });
            }
        }
        AttachOutcome::Accepted
    }

    /// A forwarder renews the lease. Returns false if it is not attached under this epoch.
    pub fn renew(&mut self, now: Timestamp, forwarder: &str, epoch: u64) -> bool {
        let attached = self.forwarders.get_mut(forwarder).filter(|known| known.epoch == epoch);
        let Some(known) = attached else { return false };
        known.last_renewal = now;
        true
    }

    /// Whether a forwarder is attached under this epoch, so that what it sends counts.
    pub fn is_attached(&self, forwarder: &str, epoch: u64) -> bool {
        self.forwarders.get(forwarder).is_some_and(|known| known.epoch == epoch)
    }

    /// A forwarder has left for another planner.
    pub fn detach(&mut self, forwarder: &str, epoch: u64) {
        if self.is_attached(forwarder, epoch) {
            self.forwarders.remove(forwarder);
        }
    }

    /// Removes the forwarders that have not renewed for [`EXPIRE_AFTER`], and returns their names.
    pub fn expire(&mut self, now: Timestamp) -> Vec<String> {
        let expired = |known: &Forwarder| now.duration_since(known.last_renewal) >= EXPIRE_AFTER;
        let names: Vec<String> = self
            .forwarders
            .iter()
            .filter(|(_, known)| expired(known))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &names {
            self.forwarders.remove(name);
        }
        names
    }

    /// How many forwarders are attached.
    pub fn len(&self) -> usize {
        self.forwarders.len()
    }

    /// Whether no forwarder is attached.
    pub fn is_empty(&self) -> bool {
        self.forwarders.is_empty()
    }
}
