//! The forwarders that a planner plans for, and the epoch under which each of them follows it.

use std::collections::BTreeMap;
use std::time::Duration;

use gaugestep_clock::Timestamp;

use crate::planner_directory::max_forwarders;

/// How long a forwarder accepts orders of a planner, from when it requested or renewed the lease.
pub const LEASE_DURATION: Duration = Duration::from_millis(600);
/// The interval at which a forwarder renews the lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(150);
/// How long after its last renewal a forwarder is removed, together with the requests that it registered.
pub const EXPIRE_AFTER: Duration = Duration::from_secs(3);

/// The response to a forwarder that asks a planner to plan for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttachOutcome {
    /// The planner plans for the forwarder from now on.
    Accepted,
    /// The planner already has the most forwarders that it accepts.
    AtCapacity,
    /// The forwarder has already attached under a later epoch: this request was delayed.
    StaleEpoch,
}

#[derive(Clone, Debug)]
struct Forwarder {
    epoch: u64,
    last_renewal: Timestamp,
}

/// The forwarders that are attached to one planner.
#[derive(Clone, Debug)]
pub struct ForwarderLeases {
    forwarders: BTreeMap<String, Forwarder>,
    capacity: usize,
}

impl ForwarderLeases {
    /// Creates the state of a planner without attached forwarders, given the numbers of all known forwarders
    /// and live planners.
    pub fn new(forwarders: usize, planners: usize) -> Self {
        ForwarderLeases { forwarders: BTreeMap::new(), capacity: max_forwarders(forwarders, planners) }
    }

    /// Updates the numbers of known forwarders and live planners. Attached forwarders stay, even above the
    /// new capacity.
    pub fn resize(&mut self, forwarders: usize, planners: usize) {
        self.capacity = max_forwarders(forwarders, planners);
    }

    /// Attaches a forwarder that asks to be planned for, under an epoch that the forwarder chose.
    pub fn attach(&mut self, now: Timestamp, forwarder: &str, epoch: u64) -> AttachOutcome {
        let count = self.forwarders.len();
        match self.forwarders.get_mut(forwarder) {
            Some(attached) if epoch < attached.epoch => return AttachOutcome::StaleEpoch,
            Some(attached) => *attached = Forwarder { epoch, last_renewal: now },
            None if count >= self.capacity => return AttachOutcome::AtCapacity,
            None => {
                self.forwarders.insert(forwarder.to_owned(), Forwarder { epoch, last_renewal: now });
            }
        }
        AttachOutcome::Accepted
    }

    /// Renews the lease of a forwarder. Returns false if it is not attached under this epoch.
    pub fn renew(&mut self, now: Timestamp, forwarder: &str, epoch: u64) -> bool {
        let attached = self.forwarders.get_mut(forwarder).filter(|attached| attached.epoch == epoch);
        let Some(attached) = attached else { return false };
        attached.last_renewal = now;
        true
    }

    /// Whether a forwarder is attached under this epoch; events of other epochs must be ignored.
    pub fn is_attached(&self, forwarder: &str, epoch: u64) -> bool {
        self.forwarders.get(forwarder).is_some_and(|attached| attached.epoch == epoch)
    }

    /// Detaches a forwarder that follows another planner, if it is attached under this epoch.
    pub fn detach(&mut self, forwarder: &str, epoch: u64) {
        if self.is_attached(forwarder, epoch) {
            self.forwarders.remove(forwarder);
        }
    }

    /// Removes the forwarders that have not renewed for [`EXPIRE_AFTER`], and returns their names.
    pub fn expire(&mut self, now: Timestamp) -> Vec<String> {
        let is_expired = |forwarder: &Forwarder| now.duration_since(forwarder.last_renewal) >= EXPIRE_AFTER;
        let names: Vec<String> = self
            .forwarders
            .iter()
            .filter(|(_, forwarder)| is_expired(forwarder))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &names {
            self.forwarders.remove(name);
        }
        names
    }

    /// Returns the number of attached forwarders.
    pub fn len(&self) -> usize {
        self.forwarders.len()
    }

    /// Whether no forwarder is attached.
    pub fn is_empty(&self) -> bool {
        self.forwarders.is_empty()
    }
}
