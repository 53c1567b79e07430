//! Fencing of received messages: only those of the latest lease holder take effect.

use std::sync::atomic::Ordering;

use gaugestep_clock::Timestamp;
use gaugestep_config::RejectReason;
use gaugestep_config::schema::Offer;
use gaugestep_config::version_tracker::{Event, OfferId};
use gaugestep_leadership::fencing::{FencingAction, FencingRejected};
use gaugestep_leadership::{CONFIGURATION_ROLE, ORDINALS_ROLE};

use crate::{failpoints, lock};

use super::ordinal::OrdinalUpdateCause;
use super::state::FencedMessage;
use super::storage_queue::StorageRequest;
use super::subscriber::ConfigSubscriber;

/// The latest reading of the clock; a lease that begins at it never expires.
const MAX_TIMESTAMP: Timestamp = Timestamp::from_millis(u64::MAX);

impl ConfigSubscriber {
    /// Applies a message, or rejects it if it was sent under a lower term of the role than the highest one
    /// received. If its term must be stored first, the message is applied after that.
    pub(super) fn check_fencing(&self, role: &str, term: u64, message: FencedMessage) {
        let actions = lock(&self.state).fencing.check(role, term, message);
        self.execute_fencing_actions(actions);
    }

    /// Stores terms, and applies or rejects messages, as the fencing guard decided.
    pub(super) fn execute_fencing_actions(&self, actions: Vec<FencingAction<FencedMessage>>) {
        for action in actions {
            match action {
                FencingAction::Persist(terms) => self.storage.submit(StorageRequest::StoreTerms(terms)),
                FencingAction::Accept(message) => self.apply_message(message),
                FencingAction::Reject(message, FencingRejected::StaleTerm { .. })
                    if failpoints::is_check_disabled("receiver") =>
                {
                    self.apply_message(message);
                }
                FencingAction::Reject(message, reason) => self.reject_message(message, reason),
            }
        }
    }

    fn apply_message(&self, message: FencedMessage) {
        match message {
            FencedMessage::LeaseHolder { stream } => {
                if lock(&self.state).stream.id == stream {
                    self.is_following.store(true, Ordering::Relaxed);
                }
            }
            FencedMessage::Offer { stream, offer } => {
                let version = offered_version(&offer);
                let (nonce, term) = (offer.nonce, offer.term);
                tracing::info!(version, nonce, role = CONFIGURATION_ROLE, term, "version offered");
                self.handle_version_event(Event::Offered { stream, offer });
            }
            FencedMessage::Ordinal { requested_at, grant } => {
                let never_expires = failpoints::is_check_disabled("seat");
                let requested_at = if never_expires { MAX_TIMESTAMP } else { requested_at };
                let is_confirmed = lock(&self.state).ordinal.lease.confirm(requested_at, grant);
                if is_confirmed {
                    self.update_ordinal(OrdinalUpdateCause::Confirmed);
                }
            }
        }
    }

    fn reject_message(&self, message: FencedMessage, reason: FencingRejected) {
        match message {
            FencedMessage::LeaseHolder { .. } => {
                tracing::warn!(role = CONFIGURATION_ROLE, "announced lease holder rejected: {reason}");
            }
            FencedMessage::Offer { stream, offer } => {
                let id = OfferId { stream, nonce: offer.nonce };
                let outcome = Err(reject_reason(reason));
                self.respond_to_offer(&mut lock(&self.state), id, offered_version(&offer), outcome);
            }
            FencedMessage::Ordinal { grant, .. } => {
                let (term, epoch) = (grant.term, grant.epoch);
                tracing::warn!(role = ORDINALS_ROLE, term, epoch, "stale ordinal rejected: {reason}");
            }
        }
    }
}

/// The configuration version that an offer names; 0 if it names none.
fn offered_version(offer: &Offer) -> u64 {
    offer.version.as_ref().map_or(0, |version| version.number)
}

/// The reject reason that is sent for an offer which fencing rejected.
fn reject_reason(reason: FencingRejected) -> RejectReason {
    match reason {
        FencingRejected::StaleTerm { term, highest } => {
            RejectReason::StaleTerm { term, highest_term: highest }
        }
        FencingRejected::MissingTerm => RejectReason::StaleTerm { term: 0, highest_term: 0 },
        FencingRejected::NotPersisted(error) => RejectReason::NotStored(error.to_string()),
        FencingRejected::QueueFull => RejectReason::NotStored(reason.to_string()),
    }
}
