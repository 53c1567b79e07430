//! Which messages take effect: those of the latest lease holder only.

use std::sync::atomic::Ordering;

use gaugestep_clock::Timestamp;
use gaugestep_config::RejectReason;
use gaugestep_config::schema::Offer;
use gaugestep_config::version_tracker::{Event, OfferId};
use gaugestep_leadership::fencing::{FencingAction, FencingRejected};
use gaugestep_leadership::{CONFIGURATION_ROLE, ORDINALS_ROLE};

use crate::{failpoints, lock};

use super::ordinal::OrdinalCheck;
use super::state::FencedMessage;
use super::storage_queue::StorageRequest;
use super::subscriber::ConfigSubscriber;

/// A lease that is counted from this reading never expires.
const END_OF_TIME: Timestamp = Timestamp::from_millis(u64::MAX);

impl ConfigSubscriber {
    /// Has a message take effect unless it was sent under a former term of the role.
    pub(super) fn check_fencing(&self, role: &str, term: u64, message: FencedMessage) {
        let actions = lock(&self.state).fencing.check(role, term, message);
        self.carry_out_fencing(actions);
    }

    pub(super) fn carry_out_fencing(&self, actions: Vec<FencingAction<FencedMessage>>) {
        for action in actions {
            match action {
                FencingAction::Persist(terms) => self.storage.submit(StorageRequest::StoreTerms(terms)),
                FencingAction::Accept(message) => self.accept(message),
                FencingAction::Reject(message, FencingRejected::StaleTerm { .. })
                    if failpoints::is_check_disabled("receiver") =>
                {
                    self.accept(message);
                }
                FencingAction::Reject(message, reason) => self.reject(message, reason),
            }
        }
    }

    fn accept(&self, message: FencedMessage) {
        match message {
            FencedMessage::LeaseHolder { stream } => {
                if lock(&self.state).stream.id == stream {
                    self.is_following.store(true, Ordering::Relaxed);
                }
            }
            FencedMessage::Offer { stream, offer } => {
                let (version, nonce, term) = (offered_number(&offer), offer.nonce, offer.term);
                tracing::info!(version, nonce, role = CONFIGURATION_ROLE, term, "version offered");
                self.handle_version_event(Event::Offered { stream, offer });
            }
            FencedMessage::Ordinal { requested_at, grant } => {
                let never_expires = failpoints::is_check_disabled("seat");
                let requested_at = if never_expires { END_OF_TIME } else { requested_at };
                let is_confirmed = lock(&self.state).ordinal.lease.confirm(requested_at, grant);
                if is_confirmed {
                    self.update_ordinal(OrdinalCheck::Confirmation);
                }
            }
        }
    }

    fn reject(&self, message: FencedMessage, reason: FencingRejected) {
        match message {
            FencedMessage::LeaseHolder { .. } => {
                tracing::warn!(role = CONFIGURATION_ROLE, "announced lease holder rejected: {reason}");
            }
            FencedMessage::Offer { stream, offer } => {
                let id = OfferId { stream, nonce: offer.nonce };
                let outcome = Err(reject_reason(reason));
                self.answer(&mut lock(&self.state), id, offered_number(&offer), outcome);
            }
            FencedMessage::Ordinal { grant, .. } => {
                let (term, epoch) = (grant.term, grant.epoch);
                tracing::warn!(role = ORDINALS_ROLE, term, epoch, "stale ordinal rejected: {reason}");
            }
        }
    }
}

/// The version that is offered; 0: the offer names none.
fn offered_number(offer: &Offer) -> u64 {
    offer.version.as_ref().map_or(0, |version| version.number)
}

/// The answer to an offer that was rejected for its term.
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
