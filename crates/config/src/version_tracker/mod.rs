//! The versions that one proxy was offered: the version in force, and the status of earlier and later ones.
//!
//! [`VersionTracker`] processes an offer in this order: it validates the document, has it stored, validates
//! it again against the state of the proxy at that time, has it applied and committed, and responds. It also
//! decides which offer wins when a second one arrives meanwhile. It does no I/O and reads no clock: the
//! embedder executes [`Action`]s and reports their outcomes as [`Event`]s.
//!
//! Guarantees:
//! - A version is in force completely or not at all, and only after it was validated by itself and against
//!   the state of the proxy at that time.
//! - The number of the version in force never decreases.
//! - Every offer gets exactly one response, unless its stream ends first.
//! - An acknowledged version is in force after a restart, whatever the state of the proxy is by then.

mod accepted;
mod events;
mod history;
mod recovery;

use crate::proxy_state::ProxyState;
use crate::schema::offer::Content;
use crate::{Document, RejectReason, Timestamp, Version, check, delta, digest, proxy_check, routing, schema};

pub use accepted::AcceptedVersion;
pub use events::{Action, Event, OfferId, StorageFailure};
pub use history::{VersionRecord, VersionStatus};
pub use recovery::{Recovery, UnusableVersion};

use history::History;

/// The inputs of the event that is being processed, and the actions returned for it.
struct EventContext<'a> {
    now: Timestamp,
    proxy: &'a ProxyState,
    actions: Vec<Action>,
}

impl EventContext<'_> {
    fn respond(&mut self, offer: OfferId, number: u64, outcome: Result<(), RejectReason>) {
        self.actions.push(Action::Respond { offer, number, outcome });
    }
}

/// An offer that has a version.
struct VersionOffer {
    id: OfferId,
    version: Version,
    message: schema::Offer,
}

/// A version that was valid when it was offered and is being put in force.
struct PendingVersion {
    offer: OfferId,
    accepted: AcceptedVersion,
    is_rollback: bool,
    step: Step,
}

/// The step in which a pending version is.
enum Step {
    /// The version is being stored.
    Staging,
    /// The version is being stored, but was already rejected because a newer one was offered.
    Superseded,
    /// The version is in force and being committed. The previous version is restored if the commit fails.
    Committing { previous: Option<Box<AcceptedVersion>> },
}

/// Tracks the versions that one proxy was offered.
#[derive(Default)]
pub struct VersionTracker {
    in_force: Option<AcceptedVersion>,
    in_force_since: Timestamp,
    pending: Option<PendingVersion>,
    /// The newest offer that waits until the pending version is processed.
    waiting: Option<VersionOffer>,
    history: History,
}

impl VersionTracker {
    /// Creates a tracker without any version.
    pub fn new() -> Self {
        Self::default()
    }

    /// The version in force; `None` if there is none.
    pub fn in_force(&self) -> Option<&AcceptedVersion> {
        self.in_force.as_ref()
    }

    /// When the version in force was committed, or recovered after a restart.
    pub fn in_force_since(&self) -> Timestamp {
        self.in_force_since
    }

    /// The records of the versions offered last, oldest first.
    pub fn records(&self) -> impl Iterator<Item = &VersionRecord> {
        self.history.iter()
    }

    /// The names of the routes in force without an engine that accepts work. A version in force is not
    /// withdrawn when engines leave: requests on such a route wait or may use any engine, as the route
    /// specifies.
    pub fn routes_without_engines(&self, proxy: &ProxyState) -> Vec<String> {
        let (Some(accepted), Some(engines)) = (&self.in_force, &proxy.engines) else { return Vec::new() };
        let routes = accepted.document.routes.iter();
        routes
            .filter(|route| !routing::has_usable_engine(route, engines))
            .map(|route| route.name.clone())
            .collect()
    }

    /// Processes one event and returns the actions to execute, in order. `proxy` is the present state of the
    /// proxy, which must not change before the actions are executed.
    pub fn handle(&mut self, now: Timestamp, event: Event, proxy: &ProxyState) -> Vec<Action> {
        let mut context = EventContext { now, proxy, actions: Vec::new() };
        match event {
            Event::Offered { stream, offer } => self.on_offered(&mut context, stream, *offer),
            Event::Staged { number, result } => self.on_staged(&mut context, number, result),
            Event::Committed { number, result } => self.on_committed(&mut context, number, result),
            Event::StreamEnded { stream } => {
                // On the next stream the server offers the version that is the newest at that time.
                self.waiting.take_if(|waiting| waiting.id.stream == stream);
            }
        }
        context.actions
    }

    fn on_offered(&mut self, context: &mut EventContext, stream: u64, message: schema::Offer) {
        let id = OfferId { stream, nonce: message.nonce };
        let Some(version) = message.version.clone() else {
            return context.respond(id, 0, Err(RejectReason::Missing { path: "version".into() }));
        };
        // Another offer of the version in force does not change its status.
        if !self.is_in_force(version.number) {
            self.history.set(context.now, version.number, &version.digest, VersionStatus::Offered);
        }
        let offer = VersionOffer { id, version, message };
        if self.pending.is_none() {
            return self.begin(context, offer);
        }
        // A newer version supersedes a pending one that is not in force yet.
        self.supersede_pending(context, offer.version.number);
        self.enqueue(context, offer);
    }

    /// Rejects the pending version if it is not in force yet and older than version `by`.
    fn supersede_pending(&mut self, context: &mut EventContext, by: u64) {
        let Some(pending) = &mut self.pending else { return };
        let (offer, number) = (pending.offer, pending.accepted.version.number);
        if matches!(pending.step, Step::Staging) && number < by {
            pending.step = Step::Superseded;
            self.reject(context, offer, number, RejectReason::Superseded { by });
        }
    }

    /// Keeps the newer one of this offer and the waiting offer, and rejects the other one.
    fn enqueue(&mut self, context: &mut EventContext, offer: VersionOffer) {
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

    /// Validates an offer, and has its version stored if it is valid.
    fn begin(&mut self, context: &mut EventContext, offer: VersionOffer) {
        let VersionOffer { id, version, message } = offer;
        if self.in_force.as_ref().is_some_and(|accepted| accepted.version == version) {
            // The server offers it again because the response to an earlier offer was lost.
            self.history.set(context.now, version.number, &version.digest, VersionStatus::InForce);
            return context.respond(id, version.number, Ok(()));
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

    /// Validates an offer and returns its complete document.
    fn check_offer(
        &self,
        version: &Version,
        message: &schema::Offer,
        proxy: &ProxyState,
    ) -> Result<Document, RejectReason> {
        self.check_number(version)?;
        let document = self.complete_document(message)?;
        if digest(&document) != version.digest {
            return Err(RejectReason::DigestDiffers);
        }
        check_document(&document, proxy)?;
        Ok(document)
    }

    /// Checks that an offered version, which is not the one in force, has a higher number than the one in
    /// force.
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

    /// Returns the complete document of an offer. A delta is applied to the document in force.
    fn complete_document(&self, offer: &schema::Offer) -> Result<Document, RejectReason> {
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

    fn on_staged(&mut self, context: &mut EventContext, number: u64, result: Result<(), StorageFailure>) {
        let is_staging = |pending: &mut PendingVersion| {
            let staging = matches!(pending.step, Step::Staging | Step::Superseded);
            staging && pending.accepted.version.number == number
        };
        let Some(mut pending) = self.pending.take_if(is_staging) else { return };
        if matches!(pending.step, Step::Superseded) {
            return self.begin_waiting(context);
        }
        // The state of the proxy may have changed since the first validation: an engine may be draining, or a
        // request may have arrived.
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

    fn on_committed(&mut self, context: &mut EventContext, number: u64, result: Result<(), StorageFailure>) {
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
                context.respond(offer, number, Ok(()));
            }
            Err(failure) => {
                // A version that is not found after a restart must not be in force: the restart would revert
                // it silently.
                let document = previous.as_ref().map(|previous| previous.document.clone());
                self.in_force = previous.map(|previous| *previous);
                context.actions.push(Action::Apply(Box::new(document.unwrap_or_default())));
                self.reject(context, offer, number, RejectReason::NotStored(failure.to_string()));
            }
        }
        self.begin_waiting(context);
    }

    /// Begins to process the waiting offer, if there is one.
    fn begin_waiting(&mut self, context: &mut EventContext) {
        if let Some(offer) = self.waiting.take() {
            self.begin(context, offer);
        }
    }

    fn reject(&mut self, context: &mut EventContext, offer: OfferId, number: u64, reason: RejectReason) {
        // A rejected offer does not change the status of the version in force.
        if !self.is_in_force(number) {
            self.history.set(context.now, number, &[], VersionStatus::Rejected(reason.clone()));
        }
        context.respond(offer, number, Err(reason));
    }

    fn is_in_force(&self, number: u64) -> bool {
        self.in_force.as_ref().is_some_and(|accepted| accepted.version.number == number)
    }
}

/// Validates a document by itself and against the present state of the proxy; the error is the first fault.
fn check_document(document: &Document, proxy: &ProxyState) -> Result<(), RejectReason> {
    let mut faults = check::check(document).into_iter().chain(proxy_check::check(document, proxy));
    faults.next().map_or(Ok(()), Err)
}
