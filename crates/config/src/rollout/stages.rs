//! Advances rollouts: when a stage is passed, when a rollout is complete and when it halts.

use crate::Timestamp;
use crate::schema::entry::State;

use super::version::{Purpose, Stage, VersionRollout};
use super::{Action, Rollout};

/// The fraction of connected proxies that must reject a version in its full stage to halt it. One proxy of
/// hundreds with different settings does not halt a version that has passed the partial stage.
const FULL_STAGE_HALT_FRACTION: f64 = 0.05;
/// The number of objections that halt a version if the plan sets none.
const DEFAULT_OBJECTIONS_TO_HALT: u32 = 1;

impl Rollout {
    /// Advances or halts the rollout of the newest version, if it is in progress.
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
            self.add_unresponsive(now, number, version);
        }
        if let Some(reason) = self.reason_to_halt(version) {
            version.state = State::Halted;
            actions.push(Action::StateChanged { number, state: version.state, reason: reason.clone() });
            // The rollback is needed even if no proxy has acknowledged the version: one may have applied it
            // already.
            let restored = self.newest_complete_before(number);
            actions.push(Action::RollBack { halted: number, restored, reason });
            return;
        }
        while version.stage != Stage::Full {
            self.select_proxies(now, number, version);
            if !self.is_stage_passed(now, number, version) {
                return;
            }
            version.stage = version.stage.next();
        }
        if self.is_complete(now, number, version) {
            version.state = State::Complete;
            actions.push(Action::StateChanged { number, state: version.state, reason: String::new() });
        }
    }

    /// Adds objections for proxies that have not responded to an offer of the version, or disconnected with
    /// it, for too long.
    fn add_unresponsive(&self, now: Timestamp, number: u64, version: &mut VersionRollout) {
        for (name, proxy) in &self.proxies {
            if let Some(reason) = proxy.unresponsive_reason(now, number) {
                let objection = || format!("{name}: {reason}");
                version.objections.entry(name.clone()).or_insert_with(objection);
            }
        }
    }

    /// The reason to halt the version; `None` if there is none, and always for a rollback.
    fn reason_to_halt(&self, version: &VersionRollout) -> Option<String> {
        if version.purpose == Purpose::RollBack {
            return None;
        }
        if version.objections.len() >= self.objections_to_halt(version) {
            return version.objections.values().next().cloned();
        }
        version.comparison.degradation(&version.plan)
    }

    /// The number of proxies with objections that halts the version.
    fn objections_to_halt(&self, version: &VersionRollout) -> usize {
        let planned = version.plan.refusals.unwrap_or(DEFAULT_OBJECTIONS_TO_HALT).max(1) as usize;
        match version.stage {
            Stage::Canary | Stage::Partial => planned,
            Stage::Full => {
                let connected = self.connected_names().count();
                planned.max((connected as f64 * FULL_STAGE_HALT_FRACTION).ceil() as usize)
            }
        }
    }

    /// Whether all selected proxies that are connected have had the version in force for the time in the
    /// plan. A stage is not passed while no selected proxy has connected to this control server.
    fn is_stage_passed(&self, now: Timestamp, number: u64, version: &VersionRollout) -> bool {
        if version.skips_stage() {
            return true;
        }
        let all_have_status = version.selected.iter().all(|name| self.proxies.contains_key(name));
        if !all_have_status && self.awaits_reconnects(now) {
            return false;
        }
        let mut selected = version.selected.iter().filter_map(|name| self.proxies.get(name)).peekable();
        selected.peek().is_some()
            && selected.all(|proxy| !proxy.is_connected() || version.is_settled(now, number, proxy))
    }

    /// Whether the rollout is complete: all connected proxies have had the version in force for the time in
    /// the plan.
    ///
    /// A fleet without any proxy counts as complete. While proxies may still reconnect after a start of this
    /// control server or a change of the lease holder, and after the last proxy has disconnected, a rollout
    /// does not become complete.
    fn is_complete(&self, now: Timestamp, number: u64, version: &VersionRollout) -> bool {
        if version.purpose == Purpose::RollBack {
            return true;
        }
        let mut connected = self.proxies.values().filter(|proxy| proxy.is_connected()).peekable();
        let is_conclusive = self.proxies.is_empty() || connected.peek().is_some();
        !self.awaits_reconnects(now)
            && is_conclusive
            && connected.all(|proxy| version.is_settled(now, number, proxy))
    }
}
