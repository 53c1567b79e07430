//! Which proxy is offered which version, and when a rollout goes on, halts and is rolled back.
//!
//! A version goes to a few proxies first, then to a share, then to all. A step holds until all of its proxies have had
//! the version in force for the time that the plan says. The rollout halts once as many proxies as the plan allows have
//! turned the version down, have left with it, or have not answered; or once the proxies on it serve a smaller share of
//! their requests than those on the version before. A halted version is rolled back by publishing the content of the
//! last complete one under the next number: numbers never fall.
//!
//! The embedder keeps the versions, numbers streams, carries out [`Action`]s and tells what proxies say.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::reject_reason::concerns_content;
use crate::schema::entry::State;
use crate::schema::{Plan, Progress, Refusal, Version};

/// A proxy that has not answered an offer after this many milliseconds counts as if it had turned it down.
pub const ANSWER_TIMEOUT: f64 = 10_000.0;
/// A proxy that left after it took a version, and is not back after this many milliseconds, counts the same.
pub const RECONNECT_TIMEOUT: f64 = 10_000.0;
/// Worsening must be so many standard errors wide.
const SIGNIFICANT_STANDARD_ERRORS: f64 = 3.0;
/// The part of all proxies that may turn a version down once it goes to all.
const MAX_REJECTED_SHARE: f64 = 0.05;
/// Requests to count before figures are compared, where the plan does not say.
const DEFAULT_LEAST_REQUESTS: u64 = 100;
/// Proxies remembered that are not connected.
const MAX_DISCONNECTED: usize = 10_000;

/// What the embedder tells.
#[derive(Clone, Debug)]
pub enum Event {
    /// A version was published and stored.
    Published {
        /// Its number, the highest so far.
        number: u64,
        /// How it is rolled out.
        plan: Plan,
        /// The version whose content it brings back; 0: none.
        rolls_back_to: u64,
    },
    /// A proxy has opened a stream.
    Connected {
        /// Its name.
        proxy: String,
        /// The stream; streams' numbers rise.
        stream: u64,
        /// The version in force there.
        in_force: Option<Version>,
        /// Whether the service has published that very version.
        known: bool,
        /// Its build.
        build: String,
        /// For how many milliseconds it has had the version in force.
        age: f64,
    },
    /// A stream has ended.
    Disconnected {
        /// The proxy.
        proxy: String,
        /// The stream.
        stream: u64,
    },
    /// A proxy has answered.
    Answered {
        /// The proxy.
        proxy: String,
        /// The stream.
        stream: u64,
        /// The offer's nonce.
        nonce: u64,
        /// Why the version was turned down, if it was.
        refusal: Option<Refusal>,
    },
    /// A proxy tells what became of its requests since its start.
    RequestCounts {
        /// The proxy.
        proxy: String,
        /// The stream.
        stream: u64,
        /// Requests served.
        served: u64,
        /// Requests refused or failed.
        unserved: u64,
        /// The version in force meanwhile.
        number: u64,
    },
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Offer a version to a proxy.
    Offer {
        /// The proxy.
        proxy: String,
        /// Its stream.
        stream: u64,
        /// The nonce.
        nonce: u64,
        /// The version.
        number: u64,
        /// The version that the proxy has in force, against which changes may be sent; 0: none that is known.
        base: u64,
    },
    /// A version's state has changed; to be stored.
    StateChanged {
        /// The version.
        number: u64,
        /// Its state.
        state: State,
        /// Why it was halted.
        why: String,
    },
    /// Publish the content of version `to` (0: an empty document) as the next version, to all at once.
    RollBack {
        /// The version that was halted.
        halted: u64,
        /// The version whose content comes back.
        restored: u64,
        /// Why.
        why: String,
    },
}

/// How far a rollout is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Canary = 0,
    Partial = 1,
    Full = 2,
}

#[derive(Debug)]
struct VersionRollout {
    plan: Plan,
    state: State,
    stage: Stage,
    /// It brings back an earlier version.
    back: bool,
    /// The proxies that get it before all do.
    chosen: BTreeSet<String>,
    /// Proxies that count against it.
    against: BTreeMap<String, String>,
    /// Requests served and not served by proxies on it, and meanwhile by the others.
    on: Counts,
    off: Counts,
    /// When this service took it over: proxies of the step that it has not met yet may be on their way to it.
    resumed: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    served: u64,
    unserved: u64,
}

impl Counts {
    fn all(&self) -> u64 {
        self.served + self.unserved
    }

    fn share(&self) -> f64 {
        self.unserved as f64 / self.all().max(1) as f64
    }

    /// The variance of the share.
    fn variance(&self) -> f64 {
        let share = self.share();
        share * (1.0 - share) / self.all().max(1) as f64
    }
}

/// What is known of a proxy.
#[derive(Clone, Debug, Default)]
pub struct ProxyStatus {
    /// Its stream, while it is connected.
    pub stream: Option<u64>,
    /// Its build.
    pub build: String,
    /// The version in force; 0: none.
    pub in_force: u64,
    /// Since when, as far as this service has seen.
    pub in_force_since: f64,
    /// The offer that is not answered: nonce, version, when.
    pub offered: Option<(u64, u64, f64)>,
    /// The last refusal, and of which version.
    pub rejected: Option<(u64, Refusal)>,
    /// When it was last heard of.
    pub last_seen: f64,
    /// It has a version in force that this service never published.
    pub ahead: bool,
    /// Its counts when it told of them last, and under which version.
    told: Option<(Counts, u64)>,
    /// The highest version that it needs no offer of: it turned it down.
    passed_over: u64,
}

/// All rollouts of a service.
#[derive(Debug, Default)]
pub struct Rollout {
    versions: BTreeMap<u64, VersionRollout>,
    proxies: BTreeMap<String, ProxyStatus>,
    next_nonce: u64,
    /// The highest number that any proxy has in force.
    highest_seen: u64,
}

impl Rollout {
    /// A service that starts with these versions stored: number, plan, state, and the version that each brings back
    /// (0: none). One that was on its way goes on from its first step.
    pub fn recover(now: f64, stored: impl IntoIterator<Item = (u64, Plan, State, u64)>) -> Self {
        let mut rollout = Rollout::default();
        for (number, plan, state, rolls_back_to) in stored {
            let (back, resumed) = (rolls_back_to > 0, now);
            rollout
                .versions
                .insert(number, VersionRollout { back, resumed, ..VersionRollout::new(plan, state) });
        }
        rollout
    }

    /// What the next owner of the versions needs beside the versions: how far the one on its way has come, and what counts
    /// against it. None where it would find all of it by itself.
    pub fn progress(&self) -> Option<Progress> {
        let (number, version) = self.versions.iter().next_back()?;
        let staged = version.plan.first > 0 || version.plan.share > 0.0;
        if version.state != State::Rolling || !staged && version.against.is_empty() {
            return None;
        }
        let (on, off) = (version.on, version.off);
        Some(Progress {
            number: *number,
            step: version.stage as u32,
            chosen: version.chosen.iter().cloned().collect(),
            against: version.against.iter().map(|(name, why)| (name.clone(), why.clone())).collect(),
            counts: vec![on.served, on.unserved, off.served, off.unserved],
        })
    }

    /// Goes on where the last owner stood.
    pub fn resume(&mut self, progress: Progress) {
        let Some(version) = self.versions.get_mut(&progress.number) else { return };
        if version.state != State::Rolling {
            return;
        }
        version.stage = match progress.step {
            0 => Stage::Canary,
            1 => Stage::Partial,
            _ => Stage::Full,
        };
        version.chosen = progress.chosen.into_iter().collect();
        version.against = progress.against.into_iter().collect();
        if let [served, unserved, others, unserved_others] = progress.counts[..] {
            version.on = Counts { served, unserved };
            version.off = Counts { served: others, unserved: unserved_others };
        }
    }

    /// The number for the next version: above all that were published here or are in force anywhere. Guards a service
    /// that was restored from an older backup: its own next number would be refused everywhere.
    pub fn next_number(&self) -> u64 {
        self.newest().max(self.highest_seen) + 1
    }

    /// The newest version; 0: none.
    pub fn newest(&self) -> u64 {
        self.versions.keys().next_back().copied().unwrap_or(0)
    }

    /// What is known of the proxies, by name.
    pub fn proxies(&self) -> &BTreeMap<String, ProxyStatus> {
        &self.proxies
    }

    /// The state of a version.
    pub fn state(&self, number: u64) -> Option<State> {
        self.versions.get(&number).map(|version| version.state)
    }

    /// The newest version before `number` that was offered to all; 0: none.
    pub fn complete_before(&self, number: u64) -> u64 {
        let complete = |(_, version): &(&u64, &VersionRollout)| version.state == State::Complete;
        self.versions.range(..number).rev().find(complete).map_or(0, |(number, _)| *number)
    }

    /// Forgets versions below `number`, which the embedder no longer keeps.
    pub fn forget_below(&mut self, number: u64) {
        self.versions.retain(|known, _| *known >= number);
    }

    /// Takes one event.
    pub fn handle(&mut self, now: f64, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Published { number, plan, rolls_back_to } => {
                for (older, version) in self.versions.iter_mut().filter(|(_, it)| it.state == State::Rolling)
                {
                    version.state = State::Overtaken;
                    out.push(Action::StateChanged {
                        number: *older,
                        state: State::Overtaken,
                        why: String::new(),
                    });
                }
                // What brings back the old is for all at once: the proxies that suffer must not wait for a share. And
                // nothing halts it: it would be rolled back in turn, for good.
                let back = rolls_back_to > 0;
                let plan = if back { Plan::default() } else { plan };
                self.versions
                    .insert(number, VersionRollout { back, ..VersionRollout::new(plan, State::Rolling) });
            }
            Event::Connected { proxy, stream, in_force, known, build, age } => {
                self.hello(now - age.max(0.0), now, proxy, stream, in_force, known, build);
            }
            Event::Disconnected { proxy, stream } => {
                if let Some(known) = self.proxies.get_mut(&proxy).filter(|it| it.stream == Some(stream)) {
                    (known.stream, known.offered, known.told, known.last_seen) = (None, None, None, now);
                }
                self.forget_some();
            }
            Event::Answered { proxy, stream, nonce, refusal } => {
                self.answered(now, &proxy, stream, nonce, refusal);
            }
            Event::RequestCounts { proxy, stream, served, unserved, number } => {
                self.figures(now, &proxy, stream, Counts { served, unserved }, number);
            }
            Event::Tick => {}
        }
        self.advance(now, &mut out);
        self.offer(now, &mut out);
        out
    }

    /// `since`: when the proxy took the version that it has in force, by its own word, so that a step that has held goes on
    /// holding behind another service.
    #[allow(clippy::too_many_arguments)]
    fn hello(
        &mut self,
        since: f64,
        now: f64,
        name: String,
        stream: u64,
        in_force: Option<Version>,
        known: bool,
        build: String,
    ) {
        let number = in_force.map_or(0, |version| version.number);
        self.highest_seen = self.highest_seen.max(number);
        let proxy = self.proxies.entry(name).or_default();
        // A restarted proxy may take what it turned down: only what it looked like then spoke against it.
        *proxy = ProxyStatus {
            stream: Some(stream),
            build,
            in_force: number,
            in_force_since: since,
            last_seen: now,
            ahead: number > 0 && !known,
            rejected: proxy.rejected.take(),
            ..ProxyStatus::default()
        };
    }

    fn answered(&mut self, now: f64, name: &str, stream: u64, nonce: u64, refusal: Option<Refusal>) {
        let Some(proxy) = self.proxies.get_mut(name).filter(|it| it.stream == Some(stream)) else { return };
        proxy.last_seen = now;
        let Some((_, number, _)) = proxy.offered.filter(|(offered, ..)| *offered == nonce) else { return };
        proxy.offered = None;
        let Some(refusal) = refusal else {
            (proxy.in_force, proxy.in_force_since, proxy.ahead) = (number, now, false);
            return;
        };
        let of_content = concerns_content(&refusal.code);
        // A change to a version that is not there is offered again as a whole; all else is settled.
        if refusal.code == "wrong-base" {
            proxy.in_force = 0;
        } else {
            proxy.passed_over = proxy.passed_over.max(number);
        }
        let reason = format!("{name}: {}", refusal.reason);
        proxy.rejected = Some((number, refusal));
        if of_content {
            if let Some(version) = self.versions.get_mut(&number) {
                version.against.insert(name.to_owned(), reason);
            }
        }
    }

    fn figures(&mut self, now: f64, name: &str, stream: u64, counts: Counts, number: u64) {
        let Some(proxy) = self.proxies.get_mut(name).filter(|it| it.stream == Some(stream)) else { return };
        proxy.last_seen = now;
        let before = proxy.told.replace((counts, number));
        // Only what lies between two tellings under one version is that version's doing.
        let Some((before, _)) = before.filter(|(_, under)| *under == number) else { return };
        let grown = Counts {
            served: counts.served.saturating_sub(before.served),
            unserved: counts.unserved.saturating_sub(before.unserved),
        };
        for (rolling, version) in self.versions.iter_mut().filter(|(_, it)| it.state == State::Rolling) {
            let side = if *rolling == number { &mut version.on } else { &mut version.off };
            side.served += grown.served;
            side.unserved += grown.unserved;
        }
    }

    /// Moves the rollout under way on, or halts it.
    fn advance(&mut self, now: f64, out: &mut Vec<Action>) {
        let Some((&number, _)) = self.versions.iter().next_back() else { return };
        let Some(mut version) = self.versions.remove(&number) else { return };
        if version.state == State::Rolling {
            self.advance_one(now, number, &mut version, out);
        }
        self.versions.insert(number, version);
    }

    fn advance_one(&mut self, now: f64, number: u64, version: &mut VersionRollout, out: &mut Vec<Action>) {
        if version.stage != Stage::Full {
            self.count_silent(now, number, version);
        }
        let here = self.proxies.values().filter(|it| it.stream.is_some()).count();
        let allowed = version.plan.refusals.unwrap_or(1).max(1) as usize;
        // One proxy of hundreds that is not like the others does not stop a version that has held on a share of them.
        let allowed = match version.stage {
            Stage::Canary | Stage::Partial => allowed,
            Stage::Full => allowed.max((here as f64 * MAX_REJECTED_SHARE).ceil() as usize),
        };
        let why = match version.against.len() >= allowed {
            true => version.against.values().next().cloned(),
            false => version.worse(),
        };
        if let Some(why) = why.filter(|_| !version.back) {
            version.state = State::Halted;
            out.push(Action::StateChanged { number, state: State::Halted, why: why.clone() });
            // Also where no proxy has it: one may have taken it and not have come to say so.
            out.push(Action::RollBack { halted: number, restored: self.complete_before(number), why });
            return;
        }
        loop {
            match version.stage {
                Stage::Full => {
                    let mut here = self.proxies.values().filter(|it| it.stream.is_some());
                    // That all of nobody have it proves nothing: neither behind a start or a change of owner, when nobody
                    // has come yet, nor once the last proxy has left.
                    let awaited = now - version.resumed < RECONNECT_TIMEOUT;
                    let somebody = self.proxies.is_empty() || here.clone().next().is_some();
                    let all = here.all(|proxy| settled(now, number, version, proxy));
                    if version.back || !awaited && somebody && all {
                        version.state = State::Complete;
                        out.push(Action::StateChanged { number, state: State::Complete, why: String::new() });
                    }
                    return;
                }
                Stage::Canary | Stage::Partial => {
                    self.choose(now, number, version);
                    if !self.held(now, number, version) {
                        return;
                    }
                    version.stage = if version.stage == Stage::Canary { Stage::Partial } else { Stage::Full };
                }
            }
        }
    }

    /// Counts proxies against the version that were offered it, or took it, and are silent.
    fn count_silent(&self, now: f64, number: u64, version: &mut VersionRollout) {
        for (name, proxy) in &self.proxies {
            let unanswered =
                proxy.offered.is_some_and(|(_, offered, at)| offered == number && now - at >= ANSWER_TIMEOUT);
            let lost = proxy.stream.is_none()
                && proxy.in_force == number
                && now - proxy.last_seen >= RECONNECT_TIMEOUT;
            let why = match (unanswered, lost) {
                (true, _) => "does not answer",
                (_, true) => "left after it took the version",
                _ => continue,
            };
            version.against.entry(name.clone()).or_insert_with(|| format!("{name}: {why}"));
        }
    }

    /// Fills the step's proxies up from those that are connected, by a lot that differs from version to version: not
    /// always the same proxies go first.
    fn choose(&self, now: f64, number: u64, version: &mut VersionRollout) {
        // Those that have it are of the step: a service that starts anew goes on with them.
        let have = self.proxies.iter().filter(|(_, it)| it.in_force == number);
        version.chosen.extend(have.map(|(name, _)| name.clone()));
        let connected = |name: &str| self.proxies.get(name).is_some_and(|it| it.stream.is_some());
        let all = self.proxies.iter().filter(|(_, it)| it.stream.is_some()).count();
        let wanted = match version.stage {
            Stage::Canary => version.plan.first as usize,
            Stage::Partial => (version.plan.share * all as f64).ceil() as usize,
            Stage::Full => 0,
        };
        // Those of the step that this service has not met yet are on their way to it.
        let awaited =
            |name: &str| now - version.resumed < RECONNECT_TIMEOUT && !self.proxies.contains_key(name);
        let present = version.chosen.iter().filter(|name| connected(name) || awaited(name)).count();
        let fresh =
            |(name, it): &(&String, &ProxyStatus)| it.stream.is_some() && !version.chosen.contains(*name);
        let mut fresh: Vec<&String> = self.proxies.iter().filter(fresh).map(|(name, _)| name).collect();
        fresh.sort_by_key(|name| selection_rank(number, name));
        let more: Vec<String> = fresh.into_iter().take(wanted.saturating_sub(present)).cloned().collect();
        version.chosen.extend(more);
    }

    /// Whether the step has held: all its proxies that are connected have had the version in force for long enough.
    fn held(&self, now: f64, number: u64, version: &VersionRollout) -> bool {
        let skipped = match version.stage {
            Stage::Canary => version.plan.first == 0,
            Stage::Partial => version.plan.share <= 0.0,
            Stage::Full => true,
        };
        let unmet = version.chosen.iter().any(|name| !self.proxies.contains_key(name));
        if !skipped && unmet && now - version.resumed < RECONNECT_TIMEOUT {
            return false;
        }
        let mut connected = version.chosen.iter().filter_map(|name| self.proxies.get(name));
        // A step of nobody proves nothing.
        let somebody = version.chosen.iter().any(|name| self.proxies.contains_key(name));
        skipped
            || somebody
                && connected.all(|proxy| proxy.stream.is_none() || settled(now, number, version, proxy))
    }

    /// The version that a proxy should have.
    fn wanted(&self, name: &str) -> u64 {
        let gets = |(_, version): &(&u64, &VersionRollout)| match version.state {
            State::Complete => true,
            State::Rolling => version.stage == Stage::Full || version.chosen.contains(name),
            State::Halted | State::Overtaken => false,
        };
        self.versions.iter().rev().find(gets).map_or(0, |(number, _)| *number)
    }

    /// Offers each connected proxy what it should have, one offer at a time: only the newest matters to a slow one.
    fn offer(&mut self, now: f64, out: &mut Vec<Action>) {
        let due: Vec<(String, u64)> = self
            .proxies
            .iter()
            .filter(|(_, proxy)| proxy.stream.is_some() && proxy.offered.is_none())
            .map(|(name, proxy)| (name, proxy, self.wanted(name)))
            // Never one that is not newer: what is to go back goes back under a new number.
            .filter(|(_, proxy, wanted)| *wanted > proxy.in_force && *wanted > proxy.passed_over)
            .map(|(name, _, wanted)| (name.clone(), wanted))
            .collect();
        for (name, number) in due {
            let Some(proxy) = self.proxies.get_mut(&name) else { continue };
            let Some(stream) = proxy.stream else { continue };
            self.next_nonce += 1;
            let nonce = self.next_nonce;
            proxy.offered = Some((nonce, number, now));
            let base = if proxy.ahead { 0 } else { proxy.in_force };
            out.push(Action::Offer { proxy: name, stream, nonce, number, base });
        }
    }

    /// Bounds what is remembered of proxies that do not come back.
    fn forget_some(&mut self) {
        let away = |proxies: &BTreeMap<String, ProxyStatus>| {
            let away = proxies.iter().filter(|(_, it)| it.stream.is_none());
            let longest = away.clone().min_by(|a, b| a.1.last_seen.total_cmp(&b.1.last_seen));
            (away.count() > MAX_DISCONNECTED).then(|| longest.map(|(name, _)| name.clone())).flatten()
        };
        if let Some(name) = away(&self.proxies) {
            self.proxies.remove(&name);
        }
    }
}

/// A proxy's lot in the rollout of a version: those with the lowest go first.
pub fn selection_rank(number: u64, proxy: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (number, proxy).hash(&mut hasher);
    hasher.finish()
}

/// Whether a proxy is done with the version: it has it in force for as long as a step must hold, or needs no offer.
fn settled(now: f64, number: u64, version: &VersionRollout, proxy: &ProxyStatus) -> bool {
    let held = proxy.in_force == number && now - proxy.in_force_since >= version.plan.hold_ms as f64;
    held || proxy.passed_over >= number || proxy.in_force > number
}

impl VersionRollout {
    fn new(plan: Plan, state: State) -> Self {
        VersionRollout {
            plan,
            state,
            stage: Stage::Canary,
            back: false,
            chosen: BTreeSet::new(),
            against: BTreeMap::new(),
            on: Counts::default(),
            off: Counts::default(),
            resumed: f64::NEG_INFINITY,
        }
    }

    /// Whether the proxies on the version serve less than the others, by more than the plan allows and than chance.
    fn worse(&self) -> Option<String> {
        let least = self.plan.least_requests.unwrap_or(DEFAULT_LEAST_REQUESTS).max(1);
        if self.plan.worse_by <= 0.0 || self.on.all() < least || self.off.all() < least {
            return None;
        }
        let by = self.on.share() - self.off.share();
        let chance = SIGNIFICANT_STANDARD_ERRORS * (self.on.variance() + self.off.variance()).sqrt();
        (by > self.plan.worse_by && by > chance).then(|| {
            let percent = |share: f64| share * 100.0;
            format!(
                "{:.1}% of requests are not served on it, {:.1}% on the version before",
                percent(self.on.share()),
                percent(self.off.share())
            )
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    struct Fleet {
        rollout: Rollout,
        now: f64,
    }

    fn name(number: u64) -> String {
        format!("n{number}")
    }

    impl Fleet {
        fn new(proxies: u64) -> Self {
            let mut fleet = Fleet { rollout: Rollout::default(), now: 0.0 };
            for proxy in 0..proxies {
                fleet.hello(proxy, proxy, 0);
            }
            fleet
        }

        fn tell(&mut self, event: Event) -> Vec<Action> {
            self.rollout.handle(self.now, event)
        }

        fn hello(&mut self, proxy: u64, stream: u64, number: u64) -> Vec<Action> {
            let in_force = (number > 0).then(|| Version { number, digest: vec![1] });
            let known = self.rollout.state(number).is_some();
            let (proxy, build) = (name(proxy), "b".into());
            self.tell(Event::Connected { proxy, stream, in_force, known, build, age: 0.0 })
        }

        fn publish(&mut self, number: u64, plan: Plan) -> Vec<Action> {
            self.tell(Event::Published { number, plan, rolls_back_to: 0 })
        }

        /// Answers all offers among the actions, and those that follow.
        fn answer(&mut self, actions: Vec<Action>, refusal: Option<&str>) -> Vec<Action> {
            let mut rest = Vec::new();
            let mut queue = std::collections::VecDeque::from(actions);
            while let Some(action) = queue.pop_front() {
                if let Action::Offer { proxy, stream, nonce, .. } = action {
                    let refusal = refusal.map(|code| Refusal { code: code.into(), ..Refusal::default() });
                    queue.extend(self.tell(Event::Answered { proxy, stream, nonce, refusal }));
                } else {
                    rest.push(action);
                }
            }
            rest
        }
    }

    fn offers(actions: &[Action], number: u64) -> usize {
        let of = |it: &&Action| matches!(it, Action::Offer { number: offered, .. } if *offered == number);
        actions.iter().filter(of).count()
    }

    fn staged() -> Plan {
        Plan { first: 2, share: 0.5, hold_ms: 1_000, worse_by: 0.05, ..Plan::default() }
    }

    #[test]
    fn a_version_goes_to_a_few_then_a_share_then_all_and_each_step_holds() {
        let mut fleet = Fleet::new(10);
        let first = fleet.publish(1, staged());
        assert_eq!(offers(&first, 1), 2);
        assert!(fleet.answer(first, None).is_empty());
        fleet.now = 999.0;
        assert!(fleet.tell(Event::Tick).is_empty(), "the step has not held yet");
        fleet.now = 1_000.0;
        let share = fleet.tell(Event::Tick);
        assert_eq!(offers(&share, 1), 3, "half of ten, less those that have it");
        fleet.answer(share, None);
        fleet.now = 2_000.0;
        let all = fleet.tell(Event::Tick);
        assert_eq!(offers(&all, 1), 5);
        fleet.answer(all, None);
        assert_eq!(fleet.rollout.state(1), Some(State::Rolling));
        fleet.now = 3_000.0;
        fleet.tell(Event::Tick);
        assert_eq!(fleet.rollout.state(1), Some(State::Complete));
        assert_eq!(offers(&fleet.hello(20, 20, 0), 1), 1, "a newcomer gets it at once");
    }

    /// The last proxy leaves while the version is held, or a service starts anew: nobody has it, and it is not complete.
    #[test]
    fn what_nobody_is_here_to_have_is_not_complete() {
        let hold = Plan { hold_ms: 60_000, ..Plan::default() };
        let mut fleet = Fleet::new(1);
        let offered = fleet.publish(1, hold);
        fleet.answer(offered, None);
        fleet.tell(Event::Disconnected { proxy: name(0), stream: 0 });
        fleet.now = 120_000.0;
        fleet.tell(Event::Tick);
        assert_eq!(fleet.rollout.state(1), Some(State::Rolling));
        let mut next = Fleet { rollout: Rollout::recover(0.0, [(1, hold, State::Rolling, 0)]), now: 9_000.0 };
        next.tell(Event::Tick);
        assert_eq!(next.rollout.state(1), Some(State::Rolling), "proxies may be on their way here");
        next.hello(0, 0, 0);
        next.now = 20_000.0;
        next.tell(Event::Tick);
        assert_eq!(next.rollout.state(1), Some(State::Rolling));
    }

    /// Another service takes the rollout over in its second step: it goes on there, with what counts against it and the
    /// time for which the step has held.
    #[test]
    fn a_successor_goes_on_in_the_step_it_finds() {
        let mut fleet = Fleet::new(10);
        let plan = Plan { refusals: Some(2), ..staged() };
        let first = fleet.publish(1, plan);
        let chosen: Vec<String> = first
            .iter()
            .map(|it| match it {
                Action::Offer { proxy, .. } => proxy.clone(),
                other => panic!("{other:?}"),
            })
            .collect();
        fleet.answer(first[..1].to_vec(), None);
        fleet.answer(first[1..].to_vec(), Some("no-usable-engine"));
        fleet.now = 1_000.0;
        let share = fleet.tell(Event::Tick);
        fleet.answer(share.clone(), None);
        assert!(!share.is_empty());
        let progress = fleet.rollout.progress().unwrap();
        assert_eq!((progress.step, progress.against.len()), (1, 1));
        let mut next = Fleet { rollout: Rollout::recover(50.0, [(1, plan, State::Rolling, 0)]), now: 50.0 };
        next.rollout.resume(progress.clone());
        for proxy in 0..10 {
            let have = progress.chosen.contains(&name(proxy)) && name(proxy) != chosen[1];
            let (in_force, build) = (have.then(|| Version { number: 1, digest: vec![1] }), "b".into());
            let (proxy, age) = (name(proxy), 900.0);
            next.tell(Event::Connected { proxy, stream: 0, in_force, known: true, build, age });
        }
        let before = next.rollout.progress().unwrap();
        assert_eq!((before.step, before.against.len()), (1, 1), "no step back, nothing forgotten");
        assert_eq!(offers(&next.tell(Event::Tick), 1), 0, "the step has held for 900 of 1,000 ms");
        next.now += 100.0;
        let refused = name((0..10).find(|it| name(*it) == chosen[1]).unwrap());
        next.rollout.proxies.get_mut(&refused).unwrap().passed_over = 1;
        assert!(offers(&next.tell(Event::Tick), 1) > 0, "and goes on once it has held for all of them");
    }

    #[test]
    fn a_refusal_halts_and_brings_the_last_complete_version_back_under_a_new_number() {
        let mut fleet = Fleet::new(10);
        let all = fleet.publish(1, Plan::default());
        fleet.answer(all, None);
        let first = fleet.publish(2, staged());
        let halted = fleet.answer(first, Some("no-usable-engine"));
        assert!(
            halted.iter().any(|it| matches!(it, Action::RollBack { halted: 2, restored: 1, .. })),
            "{halted:?}"
        );
        assert_eq!(fleet.rollout.state(2), Some(State::Halted));
        assert_eq!(offers(&fleet.tell(Event::Tick), 2), 0);
        let back = fleet.tell(Event::Published { number: 3, plan: staged(), rolls_back_to: 1 });
        assert_eq!(offers(&back, 3), 10, "at once to all");
        let ended = fleet.answer(back, Some("no-usable-engine"));
        assert!(
            !ended.iter().any(|it| matches!(it, Action::RollBack { .. })),
            "never back and forth: {ended:?}"
        );
    }

    #[test]
    fn a_proxy_that_never_answers_and_one_that_leaves_with_the_version_count_against_it() {
        for leaves in [false, true] {
            let mut fleet = Fleet::new(4);
            let first = fleet.publish(1, Plan { first: 1, ..staged() });
            let [Action::Offer { proxy, stream, nonce, .. }] = &first[..] else { panic!("{first:?}") };
            let (proxy, stream, nonce) = (proxy.clone(), *stream, *nonce);
            if leaves {
                fleet.tell(Event::Answered { proxy: proxy.clone(), stream, nonce, refusal: None });
                fleet.tell(Event::Disconnected { proxy, stream });
            }
            fleet.now = ANSWER_TIMEOUT.max(RECONNECT_TIMEOUT);
            assert!(
                fleet
                    .tell(Event::Tick)
                    .iter()
                    .any(|it| matches!(it, Action::RollBack { halted: 1, restored: 0, .. }))
            );
        }
    }

    /// All at once is no licence: what a part of the fleet turns down is halted too, one odd proxy of many does not.
    #[test]
    fn a_version_for_all_at_once_is_halted_by_more_than_the_odd_refusal() {
        for (refuse, halts) in [(2, false), (3, true)] {
            let mut fleet = Fleet::new(50);
            let offered = fleet.publish(1, Plan::default());
            let (bad, good) = offered.split_at(refuse);
            let seen = fleet.answer(bad.to_vec(), Some("no-usable-engine"));
            assert_eq!(seen.iter().any(|it| matches!(it, Action::RollBack { .. })), halts, "{refuse} of 50");
            fleet.answer(good.to_vec(), None);
        }
    }

    #[test]
    fn figures_that_worsen_halt_and_chance_does_not() {
        for (unserved, halts) in [(300, true), (60, false)] {
            let mut fleet = Fleet::new(10);
            let first = fleet.publish(1, staged());
            fleet.answer(first, None);
            let told = |fleet: &mut Fleet, served, unserved: u64| {
                let mut seen = Vec::new();
                for proxy in 0..10 {
                    let on = fleet.rollout.proxies()[&name(proxy)].in_force;
                    let unserved = if on == 1 { unserved } else { served / 20 };
                    let (proxy, stream, number) = (name(proxy), proxy, on);
                    seen.extend(fleet.tell(Event::RequestCounts { proxy, stream, served, unserved, number }));
                }
                seen
            };
            told(&mut fleet, 0, 0);
            let seen = told(&mut fleet, 1_000, unserved);
            let halted = seen.iter().any(|it| matches!(it, Action::RollBack { halted: 1, .. }));
            assert_eq!(halted, halts, "{unserved} of 1,000 not served");
        }
    }

    #[test]
    fn a_service_from_an_older_backup_offers_nothing_lower_and_numbers_above_what_it_meets() {
        let mut fleet = Fleet::new(0);
        fleet.publish(3, Plan::default());
        assert_eq!(offers(&fleet.hello(0, 0, 7), 3), 0);
        assert!(fleet.rollout.proxies()["n0"].ahead);
        assert_eq!(fleet.rollout.next_number(), 8);
        let next = fleet.publish(8, Plan::default());
        assert!(matches!(&next[..], [Action::Offer { number: 8, base: 0, .. }]), "{next:?}");
    }

    #[test]
    fn a_slow_proxy_is_offered_only_the_newest_once_it_answers() {
        let mut fleet = Fleet::new(1);
        let first = fleet.publish(1, Plan::default());
        assert_eq!(offers(&first, 1), 1);
        for number in 2..6 {
            assert_eq!(offers(&fleet.publish(number, Plan::default()), number), 0);
        }
        let mut left = fleet.answer(first, None);
        left.retain(|it| matches!(it, Action::Offer { .. }));
        assert_eq!(fleet.rollout.proxies()["n0"].in_force, 5);
    }
}
