//! Decides which version is offered to which proxy, and when a rollout advances, halts and is rolled back.
//!
//! A version is offered to a fixed number of proxies first (the canary stage), then to a fraction of them
//! (the partial stage), then to all (the full stage). A stage is passed once all of its proxies have had the
//! version in force for the time that the plan sets. The rollout halts once the number of proxies that have
//! rejected the version, have disconnected after they applied it, or have not responded reaches the number in
//! the plan; or once the proxies with the version serve a smaller fraction of their requests than the other
//! proxies do. A halted version is rolled back by publishing the content of the last complete version under
//! the next number: version numbers never decrease.
//!
//! [`Rollout`] does no I/O and reads no clock: the embedder stores versions, numbers streams, reports
//! [`Event`]s and executes [`Action`]s.

mod comparison;
mod events;
mod proxies;
mod selection;
mod stages;
mod version;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Timestamp;
use crate::schema::entry::State;
use crate::schema::{Plan, Progress, Refusal};

pub use comparison::RequestCounts;
pub use events::{Action, ConnectedProxy, Event, ReportedVersion};
pub use proxies::{PendingOffer, ProxyStatus, Rejection};
pub use selection::selection_rank;
pub use version::Purpose;

use comparison::Comparison;
use version::{Stage, VersionRollout};

/// A proxy that has not responded to an offer for this long counts as if it had rejected it.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// A proxy that disconnected after it applied a version and has not reconnected for this long counts as if it
/// had rejected it.
pub const RECONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// The rollout of a version as a control server finds it in its store.
#[derive(Clone, Copy, Debug)]
pub struct StoredRollout {
    /// The number of the version.
    pub number: u64,
    /// The plan of the rollout.
    pub plan: Plan,
    /// The state of the rollout.
    pub state: State,
    /// Why the version was published.
    pub purpose: Purpose,
}

/// The rollouts of all versions that a control server keeps.
#[derive(Debug, Default)]
pub struct Rollout {
    versions: BTreeMap<u64, VersionRollout>,
    proxies: BTreeMap<String, ProxyStatus>,
    last_nonce: u64,
    /// The highest version number that any proxy has reported to have in force.
    highest_reported: u64,
    /// When this control server started or acquired the lease; `None` if it knows the fleet from the
    /// beginning.
    recovered_at: Option<Timestamp>,
}

impl Rollout {
    /// Creates the rollouts of a control server that starts with these versions in its store. A rollout that
    /// was in progress is in its first stage until [`resume`](Self::resume) restores its progress.
    pub fn recover(now: Timestamp, stored: impl IntoIterator<Item = StoredRollout>) -> Self {
        let versions = stored.into_iter().map(|version| {
            let StoredRollout { number, plan, state, purpose } = version;
            (number, VersionRollout { state, ..VersionRollout::new(plan, purpose) })
        });
        Rollout { versions: versions.collect(), recovered_at: Some(now), ..Rollout::default() }
    }

    /// Whether proxies that have not connected to this control server yet may still reconnect, so that the
    /// fleet is not fully known.
    pub fn awaits_reconnects(&self, now: Timestamp) -> bool {
        self.recovered_at.is_some_and(|at| now.duration_since(at) < RECONNECT_TIMEOUT)
    }

    /// The state that the next lease holder needs in addition to the published versions: the stage of the
    /// latest rollout and the objections to it. `None` if the next lease holder can derive it from the
    /// published versions.
    pub fn progress(&self) -> Option<Progress> {
        let (number, version) = self.versions.last_key_value()?;
        version.progress(*number)
    }

    /// Continues from the state that the previous lease holder stored. Does nothing if that rollout is not in
    /// progress.
    pub fn resume(&mut self, progress: Progress) {
        let version = self.versions.get_mut(&progress.number);
        if let Some(version) = version.filter(|version| version.state == State::Rolling) {
            version.resume(progress);
        }
    }

    /// The number for the next version: above all numbers that were published here or that a proxy reported
    /// to have in force. A control server that was restored from an older backup would otherwise publish
    /// numbers that every proxy rejects.
    pub fn next_number(&self) -> u64 {
        self.newest().max(self.highest_reported) + 1
    }

    /// The number of the newest version; 0 if there is none.
    pub fn newest(&self) -> u64 {
        self.versions.last_key_value().map_or(0, |(number, _)| *number)
    }

    /// The status of each proxy, by name.
    pub fn proxies(&self) -> &BTreeMap<String, ProxyStatus> {
        &self.proxies
    }

    /// The state of the rollout of a version; `None` if the version is not kept.
    pub fn state(&self, number: u64) -> Option<State> {
        self.versions.get(&number).map(|version| version.state)
    }

    /// The newest version below `number` whose rollout is complete; 0 if there is none.
    pub fn newest_complete_before(&self, number: u64) -> u64 {
        let mut earlier = self.versions.range(..number).rev();
        earlier.find(|(_, version)| version.state == State::Complete).map_or(0, |(number, _)| *number)
    }

    /// Discards versions below `number`, which the embedder no longer keeps.
    pub fn discard_below(&mut self, number: u64) {
        self.versions.retain(|kept, _| *kept >= number);
    }

    /// Processes one event and returns the actions to execute, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Published { number, plan, purpose } => {
                self.on_published(number, plan, purpose, &mut actions);
            }
            Event::Connected(report) => self.on_connected(now, report),
            Event::Disconnected { proxy, stream } => self.on_disconnected(now, &proxy, stream),
            Event::Responded { proxy, stream, nonce, refusal } => {
                self.on_responded(now, &proxy, stream, nonce, refusal);
            }
            Event::RequestsCounted { proxy, stream, counts, number } => {
                self.on_requests_counted(now, &proxy, stream, counts, number);
            }
            Event::Tick => {}
        }
        self.advance(now, &mut actions);
        self.offer(now, &mut actions);
        actions
    }

    fn on_published(&mut self, number: u64, plan: Plan, purpose: Purpose, actions: &mut Vec<Action>) {
        let rolling = self.versions.iter_mut().filter(|(_, version)| version.state == State::Rolling);
        for (older, version) in rolling {
            version.state = State::Overtaken;
            let (number, state) = (*older, version.state);
            actions.push(Action::StateChanged { number, state, reason: String::new() });
        }
        let plan = match purpose {
            Purpose::Change => plan,
            // Proxies that have the halted version in force must not wait for stages.
            Purpose::RollBack => Plan::default(),
        };
        self.versions.insert(number, VersionRollout::new(plan, purpose));
    }

    fn on_connected(&mut self, now: Timestamp, report: ConnectedProxy) {
        self.highest_reported = self.highest_reported.max(report.in_force.number());
        self.proxies.entry(report.proxy.clone()).or_default().connect(now, report);
    }

    fn on_disconnected(&mut self, now: Timestamp, name: &str, stream: u64) {
        if let Some(proxy) = self.proxy_on_stream(name, stream) {
            proxy.disconnect(now);
        }
        proxies::discard_longest_disconnected(&mut self.proxies);
    }

    fn on_responded(
        &mut self,
        now: Timestamp,
        name: &str,
        stream: u64,
        nonce: u64,
        refusal: Option<Refusal>,
    ) {
        let Some(proxy) = self.proxy_on_stream(name, stream) else { return };
        let Some(number) = proxy.take_pending_offer(now, nonce) else { return };
        let Some(refusal) = refusal else { return proxy.record_acknowledgement(now, number) };
        let Some(objection) = proxy.record_rejection(name, number, refusal) else { return };
        if let Some(version) = self.versions.get_mut(&number) {
            version.objections.insert(name.to_owned(), objection);
        }
    }

    fn on_requests_counted(
        &mut self,
        now: Timestamp,
        name: &str,
        stream: u64,
        counts: RequestCounts,
        number: u64,
    ) {
        let Some(proxy) = self.proxy_on_stream(name, stream) else { return };
        // Outcomes are attributed to a version only if it was in force at two reports and so in between.
        let Some(growth) = proxy.record_counts(now, counts, number) else { return };
        for (rolling, version) in &mut self.versions {
            if version.state != State::Rolling {
                continue;
            }
            let Comparison { on_version, on_others } = &mut version.comparison;
            let side = if *rolling == number { on_version } else { on_others };
            side.add(growth);
        }
    }

    /// The proxy of this name, if `stream` is its present stream.
    fn proxy_on_stream(&mut self, name: &str, stream: u64) -> Option<&mut ProxyStatus> {
        self.proxies.get_mut(name).filter(|proxy| proxy.stream == Some(stream))
    }

    /// The version that a proxy should have in force; 0 if there is none.
    fn target_version(&self, name: &str) -> u64 {
        let is_for_proxy = |version: &VersionRollout| match version.state {
            State::Complete => true,
            State::Rolling => version.stage == Stage::Full || version.selected.contains(name),
            State::Halted | State::Overtaken => false,
        };
        let mut newest_first = self.versions.iter().rev();
        newest_first.find(|(_, version)| is_for_proxy(version)).map_or(0, |(number, _)| *number)
    }

    /// Offers each connected proxy the version that it should have in force. Only one offer per proxy is
    /// pending at a time, so a slow proxy skips versions up to the newest.
    fn offer(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let is_idle = |proxy: &ProxyStatus| proxy.is_connected() && proxy.pending_offer.is_none();
        let idle = self.proxies.iter().filter(|(_, proxy)| is_idle(proxy));
        let due: Vec<(String, u64)> = idle
            .map(|(name, proxy)| (name, proxy, self.target_version(name)))
            // Only newer versions are offered; a rollback has a new number too.
            .filter(|(_, proxy, target)| *target > proxy.in_force && *target > proxy.skipped_up_to)
            .map(|(name, _, target)| (name.clone(), target))
            .collect();
        for (name, number) in due {
            let Some(proxy) = self.proxies.get_mut(&name) else { continue };
            let Some(stream) = proxy.stream else { continue };
            self.last_nonce += 1;
            let nonce = self.last_nonce;
            proxy.pending_offer = Some(PendingOffer { nonce, number, offered_at: now });
            let base = if proxy.is_ahead { 0 } else { proxy.in_force };
            actions.push(Action::Offer { proxy: name, stream, nonce, number, base });
        }
    }
}
