//! The rollout of one version: its stage, the proxies selected for it and the objections to it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::Timestamp;
use crate::schema::entry::State;
use crate::schema::{Plan, Progress};

use super::comparison::{Comparison, RequestCounts};
use super::proxies::ProxyStatus;

/// The stage of a rollout: which proxies the version is offered to. The values are stored in [`Progress`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Stage {
    /// The version is offered to a fixed number of proxies.
    Canary = 0,
    /// The version is offered to a fraction of all proxies.
    Partial = 1,
    /// The version is offered to all proxies.
    Full = 2,
}

impl Stage {
    fn from_stored(value: u32) -> Self {
        match value {
            0 => Stage::Canary,
            1 => Stage::Partial,
            _ => Stage::Full,
        }
    }

    pub(super) fn next(self) -> Self {
        match self {
            Stage::Canary => Stage::Partial,
            Stage::Partial | Stage::Full => Stage::Full,
        }
    }
}

/// The purpose for which a version is published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A change by an operator. Its rollout may halt.
    Change,
    /// A rollback to the content of an earlier version, or to the empty document if there is none. It is
    /// offered to all proxies at once and never halts: otherwise it would be rolled back in turn, without
    /// end.
    RollBack,
}

/// The rollout of one version.
#[derive(Debug)]
pub(super) struct VersionRollout {
    pub(super) plan: Plan,
    pub(super) purpose: Purpose,
    pub(super) state: State,
    pub(super) stage: Stage,
    /// The proxies selected in the canary and partial stages.
    pub(super) selected: BTreeSet<String>,
    /// The objections to the version: why a proxy counts against it, by the name of the proxy.
    pub(super) objections: BTreeMap<String, String>,
    pub(super) comparison: Comparison,
}

impl VersionRollout {
    pub(super) fn new(plan: Plan, purpose: Purpose) -> Self {
        VersionRollout {
            plan,
            purpose,
            state: State::Rolling,
            stage: Stage::Canary,
            selected: BTreeSet::new(),
            objections: BTreeMap::new(),
            comparison: Comparison::default(),
        }
    }

    /// The state that the next lease holder needs in addition to the published version; `None` if it can
    /// derive it.
    pub(super) fn progress(&self, number: u64) -> Option<Progress> {
        let has_stages = self.plan.first > 0 || self.plan.share > 0.0;
        if self.state != State::Rolling || !has_stages && self.objections.is_empty() {
            return None;
        }
        let Comparison { on_version, on_others } = self.comparison;
        Some(Progress {
            number,
            step: self.stage as u32,
            chosen: self.selected.iter().cloned().collect(),
            against: self.objections.iter().map(|(name, reason)| (name.clone(), reason.clone())).collect(),
            counts: vec![on_version.served, on_version.unserved, on_others.served, on_others.unserved],
        })
    }

    /// Continues from the state that the previous lease holder stored.
    pub(super) fn resume(&mut self, progress: Progress) {
        self.stage = Stage::from_stored(progress.step);
        self.selected = progress.chosen.into_iter().collect();
        self.objections = progress.against.into_iter().collect();
        if let [served, unserved, others_served, others_unserved] = progress.counts[..] {
            self.comparison = Comparison {
                on_version: RequestCounts { served, unserved },
                on_others: RequestCounts { served: others_served, unserved: others_unserved },
            };
        }
    }

    /// Whether the plan omits the present stage. Only used before the full stage, which is never omitted.
    pub(super) fn skips_stage(&self) -> bool {
        match self.stage {
            Stage::Canary => self.plan.first == 0,
            Stage::Partial => self.plan.share <= 0.0,
            Stage::Full => true,
        }
    }

    /// Whether the rollout no longer waits for a proxy: the proxy has had the version in force for the time
    /// in the plan, has rejected this version or a newer one, or has a newer version in force.
    pub(super) fn is_settled(&self, now: Timestamp, number: u64, proxy: &ProxyStatus) -> bool {
        let hold = Duration::from_millis(self.plan.hold_ms);
        let hold_has_elapsed = proxy.in_force == number && now.duration_since(proxy.in_force_since) >= hold;
        hold_has_elapsed || proxy.skipped_up_to >= number || proxy.in_force > number
    }
}
