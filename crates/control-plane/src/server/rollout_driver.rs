//! Runs the rollout of versions while this server holds the lease of the configuration role.
//!
//! It passes events to [`Rollout`], which makes the decisions, and executes the actions that it returns.
//! Without the lease it does nothing.

use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_config::rollout::{
    Action, ConnectedProxy, Event, Purpose, ReportedVersion, Rollout, StoredRollout,
};
use gaugestep_config::schema::act::What;
use gaugestep_config::schema::entry::State;
use gaugestep_config::schema::{
    Answer, Entry, Hello, Keep, NewState, NewVersion, Plan, Progress, from_service,
};
use gaugestep_config::short_digest;
use gaugestep_leadership::CONFIGURATION_ROLE;
use gaugestep_leadership::checkpoint::CheckpointBarrier;
use gaugestep_leadership::group_state::{MAX_TERM_RAISE, Outcome, version_number};
use prost::Message as _;

use crate::clock;
use crate::raft::request::CommandResult;
use crate::server::publication::build_offer;
use crate::server::state::{RolloutLease, ServerContext, ServerState, SessionId};

/// The author of versions that the server publishes for an automatic rollback.
const SERVER_AUTHOR: &str = "gaugestep-control";
/// The start of the idempotency key of an automatic rollback; the number of the halted version follows.
const ROLLBACK_KEY_PREFIX: &str = "halted-";

/// An offer that the rollout has decided to send.
struct PlannedOffer {
    proxy: String,
    session: SessionId,
    nonce: u64,
    version: u64,
    /// The version that a delta is computed from; 0 sends the full document.
    base: u64,
}

impl ServerContext {
    /// Checks whether this server holds the lease. Resumes the rollout when the lease is acquired and
    /// discards its state when the lease is lost.
    pub(crate) fn refresh_rollout_lease(&self, state: &mut ServerState) {
        let acting_term = self.replica.acting_term(CONFIGURATION_ROLE);
        if acting_term == state.rollout_lease.acting_term {
            return;
        }
        state.rollout_lease = RolloutLease { acting_term, ..RolloutLease::default() };
        match acting_term {
            None => tracing::warn!(role = CONFIGURATION_ROLE, "lease lost"),
            Some(term) => self.resume_rollout(state, term),
        }
        self.send_welcome_to_all(state);
    }

    /// Resumes the rollout from the progress that the last lease holder committed.
    fn resume_rollout(&self, state: &mut ServerState, term: u64) {
        let (versions, role) = self.replica.with_state(|group| {
            let versions = group.versions.values().map(|version| {
                let entry = &version.entry;
                StoredRollout {
                    number: version_number(entry),
                    plan: entry.plan.unwrap_or_default(),
                    state: entry.state(),
                    purpose: purpose(entry),
                }
            });
            let role = group.roles.get(CONFIGURATION_ROLE).cloned().unwrap_or_default();
            (versions.collect::<Vec<_>>(), role)
        });
        let progress = Progress::decode(role.state.as_slice()).unwrap_or_default();
        let (version, step, rejections) = (progress.number, progress.step, progress.against.len());
        tracing::info!(role = CONFIGURATION_ROLE, term, version, step, rejections, "lease acquired");
        state.rollout_lease.rollout = Rollout::recover(clock::now(), versions);
        state.rollout_lease.checkpoint_barrier = CheckpointBarrier::resume(role.order, progress.clone());
        state.rollout_lease.rollout.resume(progress);
        for id in state.sessions.proxy_ids() {
            self.register_proxy(state, id);
        }
    }

    /// Starts the rollout of a version that was committed, unless the rollout already has it.
    pub(crate) fn on_version_published(&self, state: &mut ServerState, number: u64) {
        if state.rollout_lease.acting_term.is_none() || state.rollout_lease.rollout.state(number).is_some() {
            return;
        }
        let entry = self.replica.with_state(|group| Some(group.versions.get(&number)?.entry.clone()));
        let Some(entry) = entry else { return };
        let digest = entry.version.as_ref().map(|version| short_digest(&version.digest)).unwrap_or_default();
        let (term, rolls_back_to) = (state.rollout_lease.acting_term, entry.rolls_back_to);
        tracing::info!(version = number, digest, term, rolls_back_to, "version published");
        let (plan, purpose) = (entry.plan.unwrap_or_default(), purpose(&entry));
        self.handle_rollout_event(state, Event::Published { number, plan, purpose });
    }

    /// Removes versions from the rollout that the group no longer retains.
    pub(crate) fn on_versions_dropped(&self, state: &mut ServerState) {
        let oldest = self.replica.with_state(|group| group.versions.keys().next().copied().unwrap_or(0));
        state.rollout_lease.rollout.discard_below(oldest);
    }

    /// Adds a proxy to the rollout if its process holds its name and it has received no higher term.
    pub(crate) fn register_proxy(&self, state: &mut ServerState, id: SessionId) {
        let Some(proxy) = state.identified_proxy(id) else { return };
        let (hello, updated_at) = (proxy.hello.clone(), proxy.updated_at);
        let highest_term = proxy.highest_term();
        let superseded_term = state.rollout_lease.acting_term.filter(|term| highest_term > *term);
        if let Some(term) = superseded_term.filter(|_| !crate::failpoints::is_check_disabled("owner")) {
            tracing::warn!(
                proxy = hello.proxy,
                seen = highest_term,
                term,
                "the proxy has received a higher term"
            );
            self.raise_term_of_restored_store(highest_term, term);
            return;
        }
        let in_force = self.reported_version(&hello);
        let connected_for = clock::now().duration_since(updated_at);
        let in_force_for = Duration::from_millis(hello.age_ms).saturating_add(connected_for);
        let (proxy, build) = (hello.proxy, hello.build);
        let proxy = ConnectedProxy { proxy, stream: id, in_force, build, in_force_for };
        self.handle_rollout_event(state, Event::Connected(proxy));
    }

    /// The version that a proxy has in force, and whether it equals the version that the group published
    /// under that number.
    fn reported_version(&self, hello: &Hello) -> ReportedVersion {
        let number = hello.in_force.as_ref().map_or(0, |version| version.number);
        let published = self.replica.with_state(|group| {
            group.versions.get(&number).is_some_and(|version| version.entry.version == hello.in_force)
        });
        match (number, published) {
            (0, _) => ReportedVersion::None,
            (number, true) => ReportedVersion::Published(number),
            (number, false) => ReportedVersion::Unpublished(number),
        }
    }

    /// With a store that an operator declared restored, raises the term above the one that a proxy has
    /// received: the operator has confirmed that the process that used the store before never runs again.
    fn raise_term_of_restored_store(&self, highest_term: u64, term: u64) {
        if self.store_restored && highest_term - term <= MAX_TERM_RAISE {
            self.propose(CONFIGURATION_ROLE, term, What::Raise(highest_term), Box::new(|_| {}));
        }
    }

    /// Handles a proxy's response to an offer: it has acknowledged or rejected the version.
    pub(crate) fn on_offer_response(&self, proxy: &str, id: SessionId, response: Answer) {
        let Answer { nonce, number, refusal } = response;
        let mut state = self.lock_state();
        match &refusal {
            None => {
                tracing::info!(proxy, version = number, nonce, "version in force");
                self.record_acceptance(&mut state, id, number);
            }
            Some(reason) => {
                let (code, path) = (&reason.code, &reason.path);
                tracing::warn!(
                    proxy,
                    version = number,
                    nonce,
                    code,
                    path,
                    "version rejected: {}",
                    reason.reason
                );
            }
        }
        self.handle_rollout_event(
            &mut state,
            Event::Responded { proxy: proxy.into(), stream: id, nonce, refusal },
        );
    }

    /// Updates the stored hello of a session, so that the rollout has the proxy's present version when this
    /// server acquires the lease again.
    fn record_acceptance(&self, state: &mut ServerState, id: SessionId, number: u64) {
        let version = self.replica.with_state(|group| group.versions.get(&number)?.entry.version.clone());
        let term = state.rollout_lease.acting_term;
        let Some(proxy) = state.sessions.get_mut(id).and_then(|session| session.proxy.as_mut()) else {
            return;
        };
        proxy.updated_at = clock::now();
        let hello = &mut proxy.hello;
        hello.age_ms = 0;
        if version.is_some() {
            hello.in_force = version;
        }
        // The proxy has stored the term of the offer that it acknowledged.
        let highest = hello.seen.iter_mut().find(|role| role.duty == CONFIGURATION_ROLE);
        if let (Some(highest), Some(term)) = (highest, term) {
            highest.term = highest.term.max(term);
        }
    }

    /// Passes an event to the rollout and executes the resulting actions. Does nothing while this server has
    /// no lease.
    pub(crate) fn handle_rollout_event(&self, state: &mut ServerState, event: Event) {
        let Some(term) = state.rollout_lease.acting_term else { return };
        let now = clock::now();
        let actions = state.rollout_lease.rollout.handle(now, event);
        self.propose_progress(state, now, term);
        for action in actions {
            // A stage must be committed, so that the next lease holder knows it, before any proxy receives
            // its offers.
            let ready = match action {
                Action::Offer { .. } => state.rollout_lease.checkpoint_barrier.submit(action),
                _ => Some(action),
            };
            if let Some(action) = ready {
                self.execute_action(state, term, action);
            }
        }
    }

    fn execute_action(&self, state: &mut ServerState, term: u64, action: Action) {
        match action {
            Action::Offer { proxy, stream, nonce, number, base } => {
                let offer = PlannedOffer { proxy, session: stream, nonce, version: number, base };
                self.send_offer(state, term, &offer);
            }
            // The publication of the next version already marked this one as superseded.
            Action::StateChanged { state: State::Overtaken, .. } => {}
            Action::StateChanged { number, state: version_state, reason } => {
                let name = version_state.as_str_name();
                tracing::info!(version = number, state = name, reason, term, "rollout state changed");
                let change = NewState { number, state: version_state as i32, halted_for: reason };
                self.propose_for_rollout(term, What::State(change));
            }
            Action::RollBack { halted, restored, reason } => {
                tracing::error!(version = halted, to = restored, reason, term, "rolled back");
                let rollback = self.build_rollback_version(halted, restored, &reason);
                let rollback = self.complete_new_version(state, rollback);
                self.propose_for_rollout(term, What::Version(rollback));
            }
        }
    }

    fn send_offer(&self, state: &mut ServerState, term: u64, planned: &PlannedOffer) {
        // Fencing on the sender's side: the lease is checked immediately before sending. The proxy checks the
        // term.
        if self.replica.acting_term(CONFIGURATION_ROLE) != Some(term) {
            return;
        }
        let PlannedOffer { proxy, session, nonce, version, base } = planned;
        let offer = self.replica.with_state(|group| {
            let stored = group.versions.get(version)?;
            Some(build_offer(stored, group.versions.get(base), *nonce, term))
        });
        let (Some(offer), Some(session)) = (offer, state.sessions.get_mut(*session)) else { return };
        tracing::info!(proxy, version, nonce, base, role = CONFIGURATION_ROLE, term, "version offered");
        session.send(from_service::Said::Offer(offer));
    }

    /// Builds the version that restores the content of an earlier version (0: an empty document) after a
    /// rollout was halted.
    fn build_rollback_version(&self, halted: u64, restored: u64, reason: &str) -> NewVersion {
        let document = self.replica.with_state(|group| {
            let version = group.versions.get(&restored);
            version.map(|version| (*version.document).clone()).unwrap_or_default()
        });
        NewVersion {
            document: Some(document),
            author: SERVER_AUTHOR.into(),
            note: format!("brings back version {restored}, as version {halted} was halted: {reason}"),
            plan: Some(Plan::default()),
            rolls_back_to: restored,
            // The key deduplicates publications: if two lease holders propose the rollback, it is published
            // once.
            key: format!("{ROLLBACK_KEY_PREFIX}{halted}"),
            ..NewVersion::default()
        }
    }

    fn propose_for_rollout(&self, term: u64, command: What) {
        let log_failure = |outcome: CommandResult| {
            let reason = match outcome {
                Ok(Outcome::Rejected(rejected)) => rejected.to_string(),
                Ok(_) => return,
                Err(unavailable) => unavailable.to_string(),
            };
            tracing::warn!("a rollout command was not committed: {reason}");
        };
        self.propose(CONFIGURATION_ROLE, term, command, Box::new(log_failure));
    }

    /// Proposes the progress of the rollout if a checkpoint is due. Offers wait until it is committed.
    fn propose_progress(&self, state: &mut ServerState, now: Timestamp, term: u64) {
        let progress = state.rollout_lease.rollout.progress();
        let Some(checkpoint) = state.rollout_lease.checkpoint_barrier.checkpoint(now, progress) else {
            return;
        };
        let context = self.downgrade();
        let proposed = checkpoint.clone();
        let responder = move |outcome: CommandResult| {
            let committed = outcome == Ok(Outcome::Applied);
            log_progress(&proposed, term, committed);
            if let Some(context) = context.upgrade() {
                context.on_progress_outcome(term, proposed.order, committed);
            }
        };
        self.propose(CONFIGURATION_ROLE, term, What::Keep(checkpoint), Box::new(responder));
    }

    /// Sends the offers that were waiting for the progress to be committed.
    fn on_progress_outcome(&self, term: u64, order: u64, committed: bool) {
        let mut state = self.lock_state();
        if state.rollout_lease.acting_term != Some(term) {
            return;
        }
        for action in state.rollout_lease.checkpoint_barrier.on_commit(order, committed) {
            self.execute_action(&mut state, term, action);
        }
    }
}

/// Why a version was published. An automatic rollback to the empty document restores no version, and is
/// recognised by its author and key.
fn purpose(entry: &Entry) -> Purpose {
    let is_automatic = entry.author == SERVER_AUTHOR && entry.key.starts_with(ROLLBACK_KEY_PREFIX);
    if entry.rolls_back_to > 0 || is_automatic { Purpose::RollBack } else { Purpose::Change }
}

fn log_progress(checkpoint: &Keep, term: u64, committed: bool) {
    let progress = Progress::decode(checkpoint.state.as_slice()).unwrap_or_default();
    let (version, step, rejections) = (progress.number, progress.step, progress.against.len());
    if committed {
        tracing::info!(
            role = CONFIGURATION_ROLE,
            term,
            version,
            step,
            rejections,
            "rollout progress committed"
        );
    } else {
        tracing::info!(
            role = CONFIGURATION_ROLE,
            term,
            version,
            step,
            rejections,
            "rollout progress not committed"
        );
    }
}
