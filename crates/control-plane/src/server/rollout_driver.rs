//! What the owner of the versions does: a shell round the [`Rollout`], which decides who is offered what. A service that
//! does not own them drives nothing, and says who does.

use std::time::{SystemTime, UNIX_EPOCH};

use gaugestep_config::rollout::{Action, Event, Rollout};
use gaugestep_config::schema::act::What;
use gaugestep_config::schema::entry::State;
use gaugestep_config::schema::offer::Content;
use gaugestep_config::schema::{Act, Answer, NewState, NewVersion, Offer, Plan, Progress, from_service};
use gaugestep_config::{delta, short_digest};
use gaugestep_leadership::checkpoint::CheckpointBarrier;
use gaugestep_leadership::group_state::{
    GroupState, MAX_TERM_RAISE, Outcome, StateChange, StoredVersion, version_number,
};
use gaugestep_leadership::identity::Claim;
use gaugestep_leadership::{CONFIGURATION_ROLE, ORDINALS_ROLE};
use prost::Message as _;

use crate::server::{ControlServer, ServerState, Session};
use crate::{clock, lock};

/// Milliseconds of Unix time.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl ControlServer {
    /// Something that is agreed on has changed, or somebody's lease.
    pub(crate) fn changed(&self, changes: &[StateChange]) {
        let mut inner = lock(&self.inner);
        self.look(&mut inner);
        for change in changes {
            match change {
                StateChange::VersionPublished(number)
                    if inner.acting.is_some() && inner.rollout.state(*number).is_none() =>
                {
                    let entry =
                        self.group.with_state(|it| it.versions.get(number).map(|held| held.entry.clone()));
                    let Some(entry) = entry else { continue };
                    let digest = entry
                        .version
                        .as_ref()
                        .map(|version| short_digest(&version.digest))
                        .unwrap_or_default();
                    let (term, rolls_back_to) = (inner.acting, entry.rolls_back_to);
                    tracing::info!(version = number, digest, term, rolls_back_to, "version published");
                    let plan = entry.plan.unwrap_or_default();
                    self.drive(&mut inner, Event::Published { number: *number, plan, rolls_back_to });
                }
                StateChange::VersionDropped(_) => {
                    let least = self.group.with_state(|it| it.versions.keys().next().copied().unwrap_or(0));
                    inner.rollout.forget_below(least);
                }
                StateChange::HolderChanged(duty) if duty == CONFIGURATION_ROLE => {
                    self.welcome_all(&mut inner)
                }
                StateChange::HolderChanged(duty) | StateChange::RoleChanged(duty)
                    if duty == ORDINALS_ROLE =>
                {
                    self.seat_all(&mut inner)
                }
                _ => {}
            }
        }
    }

    /// Looks whether this service owns the versions at this moment.
    pub(crate) fn look(&self, inner: &mut ServerState) {
        let acts = self.group.acting_term(CONFIGURATION_ROLE);
        if acts == inner.acting {
            return;
        }
        inner.acting = acts;
        inner.rollout = Rollout::default();
        inner.gate = CheckpointBarrier::default();
        match acts {
            None => tracing::warn!(role = CONFIGURATION_ROLE, "lease lost"),
            Some(term) => self.begin(inner, term),
        }
        self.welcome_all(inner);
    }

    /// Goes on where the last owner stood.
    fn begin(&self, inner: &mut ServerState, term: u64) {
        let (versions, duty) = self.group.with_state(|charter| {
            let versions = charter.versions.values().map(|held| {
                let entry = &held.entry;
                (version_number(entry), entry.plan.unwrap_or_default(), entry.state(), entry.rolls_back_to)
            });
            (versions.collect::<Vec<_>>(), charter.roles.get(CONFIGURATION_ROLE).cloned().unwrap_or_default())
        });
        inner.rollout = Rollout::recover(clock::now(), versions);
        let progress = Progress::decode(duty.state.as_slice()).unwrap_or_default();
        let (version, step, rejections) = (progress.number, progress.step, progress.against.len());
        tracing::info!(role = CONFIGURATION_ROLE, term, version, step, rejections, "lease acquired");
        inner.gate = CheckpointBarrier::resume(duty.order, progress.clone());
        inner.rollout.resume(progress);
        let streams: Vec<u64> = inner.lines.keys().copied().collect();
        for stream in streams {
            self.present(inner, stream);
        }
    }

    /// Tells the rollout of a proxy that is here, if it is its name's owner and has seen nobody later than this service.
    pub(crate) fn present(&self, inner: &mut ServerState, stream: u64) {
        let Some(line) = inner.lines.get(&stream) else { return };
        let Some((hello, at)) = line.hello.clone() else { return };
        if !inner.names.is_holder(&hello.proxy, stream) {
            return;
        }
        let (seen, term) = (line.seen(), inner.acting.unwrap_or(0));
        if seen > term && inner.acting.is_some() && !crate::failpoints::is_check_disabled("owner") {
            tracing::warn!(proxy = hello.proxy, seen, term, "the proxy has seen a newer term");
            if self.restored && seen - term <= MAX_TERM_RAISE {
                // The operator said that whoever used the store before is gone for good.
                let what = Some(What::Raise(seen));
                let act = Act { duty: CONFIGURATION_ROLE.into(), term, what, ..Act::default() };
                self.group.propose(act, Box::new(|_| {}));
            }
            return;
        }
        let number = hello.in_force.as_ref().map_or(0, |version| version.number);
        let known = self.group.with_state(|charter| {
            charter.versions.get(&number).is_some_and(|held| held.entry.version == hello.in_force)
        });
        let age = hello.age_ms as f64 + (clock::now() - at);
        let (proxy, in_force, build) = (hello.proxy, hello.in_force, hello.build);
        self.drive(inner, Event::Connected { proxy, stream, in_force, known, build, age });
    }

    /// Gives a name back to a process whose successor has gone for good.
    pub(crate) fn promote(&self, inner: &mut ServerState, now: f64) {
        let displaced: Vec<u64> = inner.names.superseded().map(|(stream, ..)| stream).collect();
        for stream in displaced {
            let Some((hello, _)) = inner.lines.get(&stream).and_then(|line| line.hello.clone()) else {
                continue;
            };
            // It was told the term of its successor, and so never counts as newer.
            let term = hello.name_term.max(1);
            if let Claim::Granted { .. } =
                inner.names.claim(now, &hello.proxy, hello.incarnation, term, stream)
            {
                let welcome = self.welcome(inner, stream);
                if let Some(line) = inner.lines.get_mut(&stream) {
                    line.send(from_service::Said::Welcome(welcome));
                }
                self.present(inner, stream);
            }
        }
    }

    /// Tells all proxies who owns the versions.
    fn welcome_all(&self, inner: &mut ServerState) {
        let streams: Vec<u64> =
            inner.lines.iter().filter(|(_, line)| line.hello.is_some()).map(|(stream, _)| *stream).collect();
        for stream in streams {
            let welcome = self.welcome(inner, stream);
            if let Some(line) = inner.lines.get_mut(&stream) {
                line.send(from_service::Said::Welcome(welcome));
            }
        }
    }

    /// A proxy has answered an offer.
    pub(crate) fn answered(&self, proxy: &str, stream: u64, answer: Answer) {
        let (number, nonce, refusal) = (answer.number, answer.nonce, answer.refusal);
        let mut inner = lock(&self.inner);
        match &refusal {
            None => {
                tracing::info!(proxy, version = number, nonce, "version in force");
                let version = self.group.with_state(|it| it.versions.get(&number)?.entry.version.clone());
                let term = inner.acting;
                if let Some((hello, at)) = inner.lines.get_mut(&stream).and_then(|line| line.hello.as_mut()) {
                    (hello.in_force, hello.age_ms, *at) =
                        (version.or(hello.in_force.take()), 0, clock::now());
                    // It has kept the term of what it took.
                    let seen = hello.seen.iter_mut().find(|it| it.duty == CONFIGURATION_ROLE);
                    if let (Some(seen), Some(term)) = (seen, term) {
                        seen.term = seen.term.max(term);
                    }
                }
            }
            Some(refusal) => {
                let (code, path) = (&refusal.code, &refusal.path);
                tracing::warn!(
                    proxy,
                    version = number,
                    nonce,
                    code,
                    path,
                    "version rejected: {}",
                    refusal.reason
                );
            }
        }
        self.drive(&mut inner, Event::Answered { proxy: proxy.into(), stream, nonce, refusal });
    }

    /// Tells the rollout of something, and carries out what it wants done. Nothing while another service drives it.
    pub(crate) fn drive(&self, inner: &mut ServerState, event: Event) {
        let Some(term) = inner.acting else { return };
        let now = clock::now();
        let actions = inner.rollout.handle(now, event);
        self.tell_progress(inner, now, term);
        for action in actions {
            // The next owner must know of a step before any proxy does.
            let held = matches!(action, Action::Offer { .. });
            if let Some(action) = if held { inner.gate.submit(action) } else { Some(action) } {
                self.carry_out(inner, term, action);
            }
        }
    }

    fn carry_out(&self, inner: &mut ServerState, term: u64, action: Action) {
        match action {
            Action::Offer { proxy, stream, nonce, number, base } => {
                // The polite half: its own lease, at the last moment.
                if self.group.acting_term(CONFIGURATION_ROLE) != Some(term) {
                    return;
                }
                let offer = self.group.with_state(|charter| {
                    let held = charter.versions.get(&number)?;
                    Some(offer(held, charter.versions.get(&base), nonce, term))
                });
                let (Some(offer), Some(line)) = (offer, inner.lines.get_mut(&stream)) else { return };
                tracing::info!(
                    proxy,
                    version = number,
                    nonce,
                    base,
                    role = CONFIGURATION_ROLE,
                    term,
                    "version offered"
                );
                line.send(from_service::Said::Offer(offer));
            }
            // Whatever was on its way when a version was published is overtaken by that very act.
            Action::StateChanged { state: State::Overtaken, .. } => {}
            Action::StateChanged { number, state, why } => {
                tracing::info!(
                    version = number,
                    state = state.as_str_name(),
                    why,
                    term,
                    "rollout state changed"
                );
                let new = NewState { number, state: state as i32, halted_for: why };
                self.act(term, What::State(new));
            }
            Action::RollBack { halted: of, restored: to, why } => {
                tracing::error!(version = of, to, why, term, "rolled back");
                let document =
                    self.group.with_state(|it| it.versions.get(&to).map(|held| (*held.document).clone()));
                let new = NewVersion {
                    document: Some(document.unwrap_or_default()),
                    author: "gaugestep-control".into(),
                    note: format!("brings back version {to}, as version {of} was halted: {why}"),
                    plan: Some(Plan::default()),
                    rolls_back_to: to,
                    // Whichever owner comes to it first: it is brought back once.
                    key: format!("halted-{of}"),
                    ..NewVersion::default()
                };
                self.act(term, What::Version(self.numbered(inner, new)));
            }
        }
    }

    fn act(&self, term: u64, what: What) {
        let act = Act { duty: CONFIGURATION_ROLE.into(), term, what: Some(what), ..Act::default() };
        self.group.propose(
            act,
            Box::new(|outcome| {
                if let Err(why) | Ok(Outcome::Rejected(why)) = outcome {
                    tracing::warn!("a command for the versions was not committed: {why}");
                }
            }),
        );
    }

    /// Has it agreed how far the rollout is, where that has changed.
    fn tell_progress(&self, inner: &mut ServerState, now: f64, term: u64) {
        let progress = inner.rollout.progress();
        let Some(keep) = inner.gate.checkpoint(now, progress) else { return };
        let (order, service) = (keep.order, self.itself());
        let told = Progress::decode(keep.state.as_slice()).unwrap_or_default();
        let act =
            Act { duty: CONFIGURATION_ROLE.into(), term, what: Some(What::Keep(keep)), ..Act::default() };
        let tell = move |outcome| {
            let (version, step, rejections) = (told.number, told.step, told.against.len());
            let done = outcome == Ok(Outcome::Applied);
            tracing::info!(
                role = CONFIGURATION_ROLE,
                term,
                version,
                step,
                rejections,
                done,
                "rollout progress committed"
            );
            if let Some(service) = service.upgrade() {
                service.kept(term, order, done);
            }
        };
        self.group.propose(act, Box::new(tell));
    }

    /// The next owner would know of the step, or could not be told.
    fn kept(&self, term: u64, order: u64, done: bool) {
        let mut inner = lock(&self.inner);
        if inner.acting != Some(term) {
            return;
        }
        for action in inner.gate.on_commit(order, done) {
            self.carry_out(&mut inner, term, action);
        }
    }

    /// A publication with the least number that it may have, and with the versions that are kept however old: what a rollback
    /// would bring back, and what proxies have in force.
    pub(crate) fn numbered(&self, inner: &ServerState, new: NewVersion) -> NewVersion {
        let newest = self.group.with_state(GroupState::newest_version);
        let mut needed: Vec<u64> = inner.rollout.proxies().values().map(|proxy| proxy.in_force).collect();
        needed.push(inner.rollout.complete_before(newest + 1));
        needed.sort_unstable();
        needed.dedup();
        let (at_least, keep) = (inner.rollout.next_number(), self.keep as u32);
        NewVersion { at_least, needed, keep, published_ms: unix_ms(), ..new }
    }

    /// Why nothing may be published under this term: the proxies follow a later owner.
    pub(crate) fn outranked(&self, term: u64) -> Option<String> {
        let inner = lock(&self.inner);
        let seen = inner.lines.values().filter(|line| line.hello.is_some()).map(Session::seen);
        let (later, others): (Vec<u64>, Vec<u64>) = seen.partition(|seen| *seen > term);
        let highest = later.iter().max()?;
        // One odd proxy of many does not stop a fleet from being changed.
        (later.len() >= others.len()).then(|| {
            format!(
                "proxies follow an owner of term {highest}, this one's is {term}: if that owner is gone for good, \
                 `take-over {CONFIGURATION_ROLE}`"
            )
        })
    }
}

/// An offer of a version: as changes to what the proxy has in force, where that is shorter.
fn offer(held: &StoredVersion, base: Option<&StoredVersion>, nonce: u64, term: u64) -> Offer {
    let changes = base.map(|base| delta::diff(version_number(&base.entry), &base.document, &held.document));
    let changes = changes.filter(|changes| changes.encoded_len() < held.document.encoded_len());
    let content = match changes {
        Some(changes) => Content::Delta(changes),
        None => Content::Snapshot((*held.document).clone()),
    };
    Offer {
        version: held.entry.version.clone(),
        nonce,
        content: Some(content),
        rolls_back_to: held.entry.rolls_back_to,
        term,
    }
}
