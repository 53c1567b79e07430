//! When a rollout advances to its next stage, when it is complete and when it halts.

use crate::Timestamp;
use crate::schema::entry::State;

use super::version::{Purpose, Stage, VersionRollout};
use super::{Action, Rollout};

/// The share of connected proxies that may reject a version in its full stage. One proxy of hundreds that differs from the
/// others does not stop a version that has held on a share of them.
const MAX_REJECTED_SHARE: f64 = 0.05;
/// Proxies from which a version is halted, where the plan names no number.
const DEFAULT_MAX_OBJECTIONS: u32 = 1;

impl Rollout {
    /// Advances the newest version if it is being rolled out, or halts it.
    pub(super) fn advance(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let Some((number, mut version)) = self.versions.pop_last() else { return };
        if version.state == State::Rolling {
            self.advance_version(now, number, &mut version, actions);
        }
        self.versions.insert(number, version);
    }

    fn advance_version(
        &self,
        now: Timestamp,
        number: u64,
        version: &mut VersionRollout,
        actions: &mut Vec<Action>,
    ) {
        if version.stage != Stage::Full {
            self.count_unresponsive(now, number, version);
        }
        if let Some(reason) = self.reason_to_halt(version) {
            version.state = State::Halted;
            actions.push(Action::StateChanged { number, state: version.state, reason: reason.clone() });
            // Also where no proxy is known to have it: one may have taken it and not yet said so.
            let restored = self.complete_before(number);
            actions.push(Action::RollBack { halted: number, restored, reason });
            return;
        }
        while version.stage != Stage::Full {
            self.select_proxies(now, number, version);
            if !self.stage_has_held(now, number, version) {
                return;
            }
            version.stage = version.stage.next();
        }
        if self.is_complete(now, number, version) {
            version.state = State::Complete;
            actions.push(Action::StateChanged { number, state: version.state, reason: String::new() });
        }
    }

    /// Counts proxies against the version that were offered it, or took it, and have been silent for too long.
    fn count_unresponsive(&self, now: Timestamp, number: u64, version: &mut VersionRollout) {
        for (name, proxy) in &self.proxies {
            if let Some(reason) = proxy.unresponsive_reason(now, number) {
                let objection = || format!("{name}: {reason}");
                version.objections.entry(name.clone()).or_insert_with(objection);
            }
        }
    }

    fn reason_to_halt(&self, version: &VersionRollout) -> Option<String> {
        if version.purpose == Purpose::RollBack {
            return None;
        }
        if version.objections.len() >= self.max_objections(version) {
            return version.objections.values().next().cloned();
        }
        version.comparison.degradation(&version.plan)
    }

    /// The number of proxies that halt the version once they count against it.
    fn max_objections(&self, version: &VersionRollout) -> usize {
        let planned = version.plan.refusals.unwrap_or(DEFAULT_MAX_OBJECTIONS).max(1) as usize;
        match version.stage {
            Stage::Canary | Stage::Partial => planned,
            Stage::Full => {
                let connected = self.connected_names().count();
                planned.max((connected as f64 * MAX_REJECTED_SHARE).ceil() as usize)
            }
        }
    }

    /// Whether all selected proxies that are connected have had the version in force for long enough. A stage without any
    /// proxy proves nothing and does not hold.
    fn stage_has_held(&self, now: Timestamp, number: u64, version: &VersionRollout) -> bool {
        if version.skips_stage() {
            return true;
        }
        let all_met = version.selected.iter().all(|name| self.proxies.contains_key(name));
        if !all_met && version.awaits_reconnects(now) {
            return false;
        }
        let mut met = version.selected.iter().filter_map(|name| self.proxies.get(name)).peekable();
        met.peek().is_some()
            && met.all(|proxy| !proxy.is_connected() || version.is_settled(now, number, proxy))
    }

    /// Whether the rollout is complete: all connected proxies have the version in force for long enough.
    ///
    /// That holds of no proxies at all too, but proves nothing after a start or a change of the leader, when none has
    /// connected yet, nor once the last has left.
    fn is_complete(&self, now: Timestamp, number: u64, version: &VersionRollout) -> bool {
        if version.purpose == Purpose::RollBack {
            return true;
        }
        let mut connected = self.proxies.values().filter(|proxy| proxy.is_connected()).peekable();
        let is_conclusive = self.proxies.is_empty() || connected.peek().is_some();
        !version.awaits_reconnects(now)
            && is_conclusive
            && connected.all(|proxy| version.is_settled(now, number, proxy))
    }
}
