//! Which proxies are the first to be offered a version.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::Timestamp;

use super::Rollout;
use super::version::{Stage, VersionRollout};

/// A proxy's rank in the rollout of a version: those of the lowest ranks are offered it first. The ranks differ from version
/// to version, so that it is not always the same proxies that go first.
pub fn selection_rank(number: u64, proxy: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (number, proxy).hash(&mut hasher);
    hasher.finish()
}

impl Rollout {
    /// Adds connected proxies to those selected for the version, until there are as many as its stage asks for.
    pub(super) fn select_proxies(&self, now: Timestamp, number: u64, version: &mut VersionRollout) {
        // A server that starts goes on with the proxies that have the version.
        let having = self.proxies.iter().filter(|(_, proxy)| proxy.in_force == number);
        version.selected.extend(having.map(|(name, _)| name.clone()));

        let present = version.selected.iter().filter(|name| self.is_present(now, version, name)).count();
        let missing = self.stage_size(version).saturating_sub(present);
        let unselected = self.connected_names().filter(|name| !version.selected.contains(*name));
        let mut candidates: Vec<&String> = unselected.collect();
        candidates.sort_by_key(|name| selection_rank(number, name));
        let added: Vec<String> = candidates.into_iter().take(missing).cloned().collect();
        version.selected.extend(added);
    }

    /// How many proxies the stage of the version asks for.
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

    /// Whether a selected proxy is connected, or may be on its way to this server.
    fn is_present(&self, now: Timestamp, version: &VersionRollout, name: &str) -> bool {
        match self.proxies.get(name) {
            Some(proxy) => proxy.is_connected(),
            None => version.awaits_reconnects(now),
        }
    }

    /// The names of the connected proxies, in order.
    pub(super) fn connected_names(&self) -> impl Iterator<Item = &String> {
        self.proxies.iter().filter(|(_, proxy)| proxy.is_connected()).map(|(name, _)| name)
    }
}
