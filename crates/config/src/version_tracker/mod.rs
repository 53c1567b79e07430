//! The versions that one proxy was offered: which is in force, and what became of the others.
//!
//! [`VersionTracker`] decides in which order an offer is checked, stored, checked once more against the proxy as it then
//! runs, applied and answered, and what happens when two offers meet. It does no I/O and reads no clock: the embedder
//! carries out [`Action`]s and reports their results as [`Event`]s.
//!
//! It guarantees that
//! - a version is in force completely or not at all, and only after it was checked against the rules for documents and
//!   against the proxy at that moment;
//! - versions never go backwards;
//! - every offer gets exactly one answer, unless its stream ends first;
//! - a version that was acknowledged is found after a restart.

mod accepted;
mod events;
mod history;

use crate::proxy_state::ProxyState;
use crate::schema::offer::Content;
use crate::{Document, RejectReason, Timestamp, Version, check, delta, digest, proxy_check, routing, schema};

pub use accepted::AcceptedVersion;
pub use events::{Action, Event, OfferId, StorageFailure};
pub use history::{VersionRecord, VersionStatus};

use history::History;

/// What all steps of processing one event share.
struct Context<'a> {
    now: Timestamp,
    proxy: &'a ProxyState,
    actions: Vec<Action>,
}

impl Context<'_> {
    fn answer(&mut self, offer: OfferId, number: u64, outcome: Result<(), RejectReason>) {
        self.actions.push(Action::Respond { offer, number, outcome });
    }
}

/// An offer that names a version.
struct VersionOffer {
    id: OfferId,
    version: Version,
    message: schema::Offer,
}

/// A version that was found valid and is on its way to be in force.
struct PendingVersion {
    offer: OfferId,
    accepted: AcceptedVersion,
    is_rollback: bool,
    step: Step,
}

/// How far a pending version has come.
enum Step {
    /// It is being stored.
    Staging,
    /// It is being stored, but was answered already as a newer version was offered.
    Superseded,
    /// It is in force and being committed. What was in force before is restored if that fails.
    Committing { previous: Option<Box<AcceptedVersion>> },
}

/// What [`VersionTracker::recover`] found.
pub struct Recovery {
    /// The tracker, with the first usable version in force.
    pub tracker: VersionTracker,
    /// The versions before it that are not usable.
    pub unusable: Vec<UnusableVersion>,
}

/// A stored version that cannot be used.
#[derive(Clone, Debug, PartialEq)]
pub struct UnusableVersion {
    /// Its position among the stored versions, from 0.
    pub position: usize,
    /// Why it cannot be used.
    pub reason: RejectReason,
}

/// Tracks the versions that one proxy was offered.
#[derive(Default)]
pub struct VersionTracker {
    in_force: Option<AcceptedVersion>,
    in_force_since: Timestamp,
    pending: Option<PendingVersion>,
    /// The newest offer that waits until the pending version is done with.
    waiting: Option<VersionOffer>,
    history: History,
}

impl VersionTracker {
    /// A tracker without any version.
    pub fn new() -> Self {
        Self::default()
    }

    /// The tracker of a proxy that starts. `stored` yields what its store holds, the newest first; the first version that
    /// is intact and valid for the proxy is in force.
    pub fn recover(
        now: Timestamp,
        stored: impl IntoIterator<Item = Result<Vec<u8>, StorageFailure>>,
        proxy: &ProxyState,
    ) -> Recovery {
        let mut tracker = VersionTracker::new();
        let mut unusable = Vec::new();
        for (position, bytes) in stored.into_iter().enumerate() {
            match recover_version(bytes, proxy) {
                Ok(accepted) => {
                    let Version { number, digest } = &accepted.version;
                    tracker.history.set(now, *number, digest, VersionStatus::InForce);
                    tracker.in_force = Some(accepted);
                    tracker.in_force_since = now;
                    break;
                }
                Err(reason) => unusable.push(UnusableVersion { position, reason }),
            }
        }
        Recovery { tracker, unusable }
    }

    /// The version in force.
    pub fn in_force(&self) -> Option<&AcceptedVersion> {
        self.in_force.as_ref()
    }

    /// Since when the version in force is.
    pub fn in_force_since(&self) -> Timestamp {
        self.in_force_since
    }

    /// What became of the latest versions, oldest first.
    pub fn records(&self) -> impl Iterator<Item = &VersionRecord> {
        self.history.iter()
    }

    /// The names of the routes in force that have no engine which takes work. A version in force is not withdrawn when
    /// engines leave: requests on such a route wait or may use any engine, as the route says.
    pub fn routes_without_engines(&self, proxy: &ProxyState) -> Vec<String> {
        let (Some(accepted), Some(engines)) = (&self.in_force, &proxy.engines) else { return Vec::new() };
        let routes = accepted.document.routes.iter();
        routes
            .filter(|route| !routing::has_usable_engine(route, engines))
            .map(|route| route.name.clone())
            .collect()
    }

    /// Processes one event and returns what to do, in order. `proxy` is the proxy as it runs, which must not change before
    /// the actions are carried out.
    pub fn handle(&mut self, now: Timestamp, event: Event, proxy: &ProxyState) -> Vec<Action> {
        let mut context = Context { now, proxy, actions: Vec::new() };
        match event {
            Event::Offered { stream, offer } => self.on_offered(&mut context, stream, *offer),
            Event::Staged { number, result } => self.on_staged(&mut context, number, result),
            Event::Committed { number, result } => self.on_committed(&mut context, number, result),
            Event::StreamEnded { stream } => {
                // The next stream offers whatever is newest then.
                self.waiting.take_if(|waiting| waiting.id.stream == stream);
            }
        }
        context.actions
    }

    fn on_offered(&mut self, context: &mut Context, stream: u64, message: schema::Offer) {
        let id = OfferId { stream, nonce: message.nonce };
        let Some(version) = message.version.clone() else {
            return context.answer(id, 0, Err(RejectReason::Missing { path: "version".into() }));
        };
        // An offer of the version in force changes nothing about it.
        if !self.is_in_force(version.number) {
            self.history.set(context.now, version.number, &version.digest, VersionStatus::Offered);
        }
        let offer = VersionOffer { id, version, message };
        if self.pending.is_none() {
            return self.begin(context, offer);
        }
        // Only the newest version matters: one that is not in force yet gives way to it.
        self.supersede_pending(context, offer.version.number);
        self.enqueue(context, offer);
    }

    /// Rejects the pending version if it is not in force yet and older than version `by`.
    fn supersede_pending(&mut self, context: &mut Context, by: u64) {
        let Some(pending) = &mut self.pending else { return };
        let (offer, number) = (pending.offer, pending.accepted.version.number);
        if matches!(pending.step, Step::Staging) && number < by {
            pending.step = Step::Superseded;
            self.reject(context, offer, number, RejectReason::Superseded { by });
        }
    }

    /// Keeps the newer of this offer and the one that waits already, and rejects the other.
    fn enqueue(&mut self, context: &mut Context, offer: VersionOffer) {
        let number = offer.version.number;
        match self.waiting.take() {
            Some(waiting) if waiting.version.number > number => {
                let by = waiting.version.number;
                self.waiting = Some(waiting);
                self.reject(context, offer.id, number, RejectReason::Superseded { by });
            }
            replaced => {
                self.waiting = Some(offer);
                if let Some(replaced) = replaced {
                    let reason = RejectReason::Superseded { by: number };
                    self.reject(context, replaced.id, replaced.version.number, reason);
                }
            }
        }
    }

    /// Checks an offer, and has it stored if it is valid.
    fn begin(&mut self, context: &mut Context, offer: VersionOffer) {
        let VersionOffer { id, version, message } = offer;
        if self.in_force.as_ref().is_some_and(|accepted| accepted.version == version) {
            // The answer to an earlier offer was lost.
            self.history.set(context.now, version.number, &version.digest, VersionStatus::InForce);
            return context.answer(id, version.number, Ok(()));
        }
        match self.check_offer(&version, &message, context.proxy) {
            Err(reason) => self.reject(context, id, version.number, reason),
            Ok(document) => {
                let number = version.number;
                self.history.set(context.now, number, &version.digest, VersionStatus::Checked);
                let accepted = AcceptedVersion { version, document };
                context.actions.push(Action::Stage { number, bytes: accepted.encode() });
                let is_rollback = message.rolls_back_to > 0;
                self.pending = Some(PendingVersion { offer: id, accepted, is_rollback, step: Step::Staging });
            }
        }
    }

    /// The document that is offered, if it may be in force.
    fn check_offer(
        &self,
        version: &Version,
        message: &schema::Offer,
        proxy: &ProxyState,
    ) -> Result<Document, RejectReason> {
        self.check_number(version)?;
        let document = self.content(message)?;
        if digest(&document) != version.digest {
            return Err(RejectReason::DigestDiffers);
        }
        check_document(&document, proxy)?;
        Ok(document)
    }

    /// Whether a version may follow the one in force, which it differs from.
    fn check_number(&self, version: &Version) -> Result<(), RejectReason> {
        let Some(accepted) = &self.in_force else { return Ok(()) };
        let (offered, in_force) = (version.number, accepted.version.number);
        if offered < in_force {
            return Err(RejectReason::NotNewer { offered, in_force });
        }
        if offered == in_force {
            return Err(RejectReason::Conflicting { number: offered });
        }
        Ok(())
    }

    /// The complete document of an offer.
    fn content(&self, offer: &schema::Offer) -> Result<Document, RejectReason> {
        match &offer.content {
            None => Err(RejectReason::Missing { path: "content".into() }),
            Some(Content::Snapshot(document)) => Ok(document.clone()),
            Some(Content::Delta(delta)) => match &self.in_force {
                Some(base) if base.version.number == delta.base => delta::apply(&base.document, delta),
                other => {
                    let in_force = other.as_ref().map_or(0, |accepted| accepted.version.number);
                    Err(RejectReason::WrongBase { base: delta.base, in_force })
                }
            },
        }
    }

    fn on_staged(&mut self, context: &mut Context, number: u64, result: Result<(), StorageFailure>) {
        let is_staging = |pending: &mut PendingVersion| {
            let staging = matches!(pending.step, Step::Staging | Step::Superseded);
            staging && pending.accepted.version.number == number
        };
        let Some(mut pending) = self.pending.take_if(is_staging) else { return };
        if matches!(pending.step, Step::Superseded) {
            return self.begin_waiting(context);
        }
        // The proxy may have changed since the first check: an engine drains, or a request has arrived.
        let checked = result
            .map_err(|failure| RejectReason::NotStored(failure.to_string()))
            .and_then(|()| check_document(&pending.accepted.document, context.proxy));
        if let Err(reason) = checked {
            self.reject(context, pending.offer, number, reason);
            return self.begin_waiting(context);
        }
        context.actions.push(Action::Apply(Box::new(pending.accepted.document.clone())));
        context.actions.push(Action::Commit { number });
        self.history.set(context.now, number, &pending.accepted.version.digest, VersionStatus::Staged);
        let previous = self.in_force.replace(pending.accepted.clone()).map(Box::new);
        pending.step = Step::Committing { previous };
        self.pending = Some(pending);
    }

    fn on_committed(&mut self, context: &mut Context, number: u64, result: Result<(), StorageFailure>) {
        let is_committing = |pending: &mut PendingVersion| {
            let committing = matches!(pending.step, Step::Committing { .. });
            committing && pending.accepted.version.number == number
        };
        let Some(pending) = self.pending.take_if(is_committing) else { return };
        let PendingVersion { offer, accepted, is_rollback, step: Step::Committing { previous } } = pending
        else {
            return;
        };
        match result {
            Ok(()) => {
                if let Some(previous) = &previous {
                    let Version { number, digest } = &previous.version;
                    let status =
                        if is_rollback { VersionStatus::RolledBack } else { VersionStatus::Replaced };
                    self.history.set(context.now, *number, digest, status);
                }
                self.history.set(context.now, number, &accepted.version.digest, VersionStatus::InForce);
                self.in_force_since = context.now;
                context.answer(offer, number, Ok(()));
            }
            Err(failure) => {
                // A version that a restart would not find must not be in force: it would be lost without a trace.
                let document = previous.as_ref().map(|previous| previous.document.clone());
                self.in_force = previous.map(|previous| *previous);
                context.actions.push(Action::Apply(Box::new(document.unwrap_or_default())));
                self.reject(context, offer, number, RejectReason::NotStored(failure.to_string()));
            }
        }
        self.begin_waiting(context);
    }

    /// Begins with the offer that has waited, if there is one.
    fn begin_waiting(&mut self, context: &mut Context) {
        if let Some(offer) = self.waiting.take() {
            self.begin(context, offer);
        }
    }

    fn reject(&mut self, context: &mut Context, offer: OfferId, number: u64, reason: RejectReason) {
        // A rejected offer does not change the status of the version in force.
        if !self.is_in_force(number) {
            self.history.set(context.now, number, &[], VersionStatus::Rejected(reason.clone()));
        }
        context.answer(offer, number, Err(reason));
    }

    fn is_in_force(&self, number: u64) -> bool {
        self.in_force.as_ref().is_some_and(|accepted| accepted.version.number == number)
    }
}

/// A stored version, if it is intact and valid for the proxy.
fn recover_version(
    stored: Result<Vec<u8>, StorageFailure>,
    proxy: &ProxyState,
) -> Result<AcceptedVersion, RejectReason> {
    let bytes = stored.map_err(|failure| RejectReason::Unreadable(failure.to_string()))?;
    let accepted = AcceptedVersion::decode(&bytes)?;
    check_document(&accepted.document, proxy)?;
    Ok(accepted)
}

/// Whether the document may be in force now; the first fault that is found.
fn check_document(document: &Document, proxy: &ProxyState) -> Result<(), RejectReason> {
    let mut faults = check::check(document).into_iter().chain(proxy_check::check(document, proxy));
    faults.next().map_or(Ok(()), Err)
}
