//! The order in which proxies are selected for a version.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::Timestamp;

use super::Rollout;
use super::version::{Stage, VersionRollout};

/// The rank of a proxy in the rollout of a version: proxies of the lowest ranks are offered it first. Ranks
/// differ between versions, so that the canaries are not always the same proxies.
pub fn selection_rank(number: u64, proxy: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (number, proxy).hash(&mut hasher);
    hasher.finish()
}

impl Rollout {
    /// Adds connected proxies to those selected for the version until there are as many as its stage
    /// requires.
    pub(super) fn select_proxies(&self, now: Timestamp, number: u64, version: &mut VersionRollout) {
        // A control server that has started continues with the proxies that have the version in force.
        let with_version = self.proxies.iter().filter(|(_, proxy)| proxy.in_force == number);
        version.selected.extend(with_version.map(|(name, _)| name.clone()));

        let present = version.selected.iter().filter(|name| self.is_present(now, name)).count();
        let missing = self.stage_size(version).saturating_sub(present);
        let unselected = self.connected_names().filter(|name| !version.selected.contains(*name));
        let mut candidates: Vec<&String> = unselected.collect();
        candidates.sort_by_key(|name| selection_rank(number, name));
        let added: Vec<String> = candidates.into_iter().take(missing).cloned().collect();
        version.selected.extend(added);
    }

    /// The number of proxies that the stage of the version requires. The full stage selects none, as it
    /// includes all.
    fn stage_size(&self, version: &VersionRollout) -> usize {
        match version.stage {
            Stage::Canary => version.plan.first as usize,
            Stage::Partial => {
                let connected = self.connected_names().count();
                (version.plan.share * connected as f64).ceil() as usize
            }
            Stage::Full => 0,
        }
    }

    /// Whether a selected proxy is connected, or has not connected to this control server yet and may still
    /// do so.
    fn is_present(&self, now: Timestamp, name: &str) -> bool {
        match self.proxies.get(name) {
            Some(proxy) => proxy.is_connected(),
            None => self.awaits_reconnects(now),
        }
    }

    /// The names of the connected proxies, in order.
    pub(super) fn connected_names(&self) -> impl Iterator<Item = &String> {
        self.proxies.iter().filter(|(_, proxy)| proxy.is_connected()).map(|(name, _)| name)
    }
}
