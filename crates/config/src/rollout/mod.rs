//! Which proxy is offered which version, and when a rollout advances, halts and is rolled back.
//!
//! A version is offered to a fixed number of proxies first (the canary stage), then to a share of them, then to all. A
//! stage has held once all of its proxies have had the version in force for the time that the plan names. The rollout
//! halts once as many proxies as the plan allows have rejected the version, have left after taking it, or have not
//! answered; or once the proxies on it serve a smaller share of their requests than the others. A halted version is
//! rolled back by publishing the content of the last complete one under the next number: numbers never fall.
//!
//! [`Rollout`] does no I/O and reads no clock: the embedder stores versions, numbers streams, reports [`Event`]s and
//! carries out [`Action`]s.

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

use comparison::Comparison;
use version::{Purpose, Stage, VersionRollout};

/// A proxy that has not answered an offer for this long counts as if it had rejected it.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// A proxy that left after it took a version, and has been away for this long, counts the same.
pub const RECONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// A version as a server finds it in its store.
#[derive(Clone, Copy, Debug)]
pub struct StoredRollout {
    /// The version's number.
    pub number: u64,
    /// How it is rolled out.
    pub plan: Plan,
    /// How far it came.
    pub state: State,
    /// The version whose content it restores; 0: none.
    pub rolls_back_to: u64,
}

/// The rollouts of all versions that a server keeps.
#[derive(Debug, Default)]
pub struct Rollout {
    versions: BTreeMap<u64, VersionRollout>,
    proxies: BTreeMap<String, ProxyStatus>,
    last_nonce: u64,
    /// The highest number that any proxy has in force.
    highest_seen: u64,
}

impl Rollout {
    /// The rollouts of a server that starts with these versions stored. One that was under way begins with its first stage,
    /// until [`resume`](Self::resume) sets it forward.
    pub fn recover(now: Timestamp, stored: impl IntoIterator<Item = StoredRollout>) -> Self {
        let versions = stored.into_iter().map(|version| {
            let purpose = Purpose::of(version.rolls_back_to);
            (version.number, VersionRollout::taken_over(now, version.plan, purpose, version.state))
        });
        Rollout { versions: versions.collect(), ..Rollout::default() }
    }

    /// The state that a successor needs beside the published versions: how far the latest rollout has come, and what counts
    /// against it. `None` where a successor would arrive at the same by itself.
    pub fn progress(&self) -> Option<Progress> {
        let (number, version) = self.versions.last_key_value()?;
        version.progress(*number)
    }

    /// Continues from the state that a predecessor has stored. Does nothing if that rollout is not under way.
    pub fn resume(&mut self, progress: Progress) {
        let version = self.versions.get_mut(&progress.number);
        if let Some(version) = version.filter(|version| version.state == State::Rolling) {
            version.resume(progress);
        }
    }

    /// The number for the next version: above all that were published here or are in force anywhere. A server that was
    /// restored from an older backup would otherwise publish numbers that every proxy rejects.
    pub fn next_number(&self) -> u64 {
        self.newest().max(self.highest_seen) + 1
    }

    /// The newest version; 0: none.
    pub fn newest(&self) -> u64 {
        self.versions.last_key_value().map_or(0, |(number, _)| *number)
    }

    /// What is known of the proxies, by name.
    pub fn proxies(&self) -> &BTreeMap<String, ProxyStatus> {
        &self.proxies
    }

    /// The state of a version; `None` if it is not kept.
    pub fn state(&self, number: u64) -> Option<State> {
        self.versions.get(&number).map(|version| version.state)
    }

    /// The newest version before `number` whose rollout is complete; 0: none.
    pub fn complete_before(&self, number: u64) -> u64 {
        let mut earlier = self.versions.range(..number).rev();
        earlier.find(|(_, version)| version.state == State::Complete).map_or(0, |(number, _)| *number)
    }

    /// Forgets versions below `number`, which the embedder no longer keeps.
    pub fn forget_below(&mut self, number: u64) {
        self.versions.retain(|known, _| *known >= number);
    }

    /// Processes one event and returns what to do, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Published { number, plan, rolls_back_to } => {
                self.on_published(number, plan, Purpose::of(rolls_back_to), &mut actions);
            }
            Event::Connected(hello) => self.on_connected(now, hello),
            Event::Disconnected { proxy, stream } => self.on_disconnected(now, &proxy, stream),
            Event::Responded { proxy, stream, nonce, refusal } => {
                self.on_answered(now, &proxy, stream, nonce, refusal);
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
        let under_way = self.versions.iter_mut().filter(|(_, version)| version.state == State::Rolling);
        for (older, version) in under_way {
            version.state = State::Overtaken;
            let (number, state) = (*older, version.state);
            actions.push(Action::StateChanged { number, state, reason: String::new() });
        }
        let plan = match purpose {
            Purpose::Change => plan,
            // Proxies that suffer from the halted version must not wait for stages.
            Purpose::RollBack => Plan::default(),
        };
        self.versions.insert(number, VersionRollout::new(plan, purpose));
    }

    fn on_connected(&mut self, now: Timestamp, hello: ConnectedProxy) {
        self.highest_seen = self.highest_seen.max(hello.in_force.number());
        self.proxies.entry(hello.proxy.clone()).or_default().connect(now, hello);
    }

    fn on_disconnected(&mut self, now: Timestamp, name: &str, stream: u64) {
        if let Some(proxy) = self.proxy_on_stream(name, stream) {
            proxy.disconnect(now);
        }
        proxies::forget_longest_disconnected(&mut self.proxies);
    }

    fn on_answered(&mut self, now: Timestamp, name: &str, stream: u64, nonce: u64, refusal: Option<Refusal>) {
        let Some(proxy) = self.proxy_on_stream(name, stream) else { return };
        let Some(number) = proxy.take_answer(now, nonce) else { return };
        let Some(refusal) = refusal else { return proxy.accepted(now, number) };
        let Some(objection) = proxy.rejected(name, number, refusal) else { return };
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
        // Only what happened between two reports under one version is that version's doing.
        let Some(growth) = proxy.report_counts(now, counts, number) else { return };
        for (rolling, version) in &mut self.versions {
            if version.state != State::Rolling {
                continue;
            }
            let Comparison { on_version, on_others } = &mut version.comparison;
            let side = if *rolling == number { on_version } else { on_others };
            side.add(growth);
        }
    }

    /// The proxy of this name, if this is its present stream.
    fn proxy_on_stream(&mut self, name: &str, stream: u64) -> Option<&mut ProxyStatus> {
        self.proxies.get_mut(name).filter(|proxy| proxy.stream == Some(stream))
    }

    /// The version that a proxy should have in force; 0: none.
    fn wanted(&self, name: &str) -> u64 {
        let is_for_proxy = |version: &VersionRollout| match version.state {
            State::Complete => true,
            State::Rolling => version.stage == Stage::Full || version.selected.contains(name),
            State::Halted | State::Overtaken => false,
        };
        let mut newest_first = self.versions.iter().rev();
        newest_first.find(|(_, version)| is_for_proxy(version)).map_or(0, |(number, _)| *number)
    }

    /// Offers each connected proxy the version that it should have, one at a time: a slow proxy skips to the newest.
    fn offer(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let is_idle = |proxy: &ProxyStatus| proxy.is_connected() && proxy.pending_offer.is_none();
        let idle = self.proxies.iter().filter(|(_, proxy)| is_idle(proxy));
        let due: Vec<(String, u64)> = idle
            .map(|(name, proxy)| (name, proxy, self.wanted(name)))
            // Never one that is not newer: a rollback has a new number.
            .filter(|(_, proxy, wanted)| *wanted > proxy.in_force && *wanted > proxy.skipped_up_to)
            .map(|(name, _, wanted)| (name.clone(), wanted))
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
