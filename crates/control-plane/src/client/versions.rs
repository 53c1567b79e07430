//! Versions are applied to the proxy, stored and answered, as the version tracker decides.

use std::sync::atomic::Ordering;

use gaugestep_config::schema::Answer;
use gaugestep_config::version_tracker::{
    Action, Event, OfferId, Recovery, StorageFailure, UnusableVersion, VersionTracker,
};
use gaugestep_config::{RejectReason, Timestamp, short_digest};

use crate::lock;

use super::proxy_handle::ProxyHandle;
use super::state::SubscriberState;
use super::storage_queue::StorageRequest;
use super::subscriber::ConfigSubscriber;

/// Applies the newest stored version that can be used, and returns the tracker that begins with it.
pub(super) fn recover(
    stored: Vec<Result<Vec<u8>, StorageFailure>>,
    proxy: &dyn ProxyHandle,
) -> VersionTracker {
    let mut stored = Some(stored);
    let mut tracker = VersionTracker::new();
    proxy.with_state(&mut |state| {
        let Some(stored) = stored.take() else { return };
        let recovery = VersionTracker::recover(Timestamp::default(), stored, state);
        tracker = apply_recovered(recovery, proxy);
    });
    tracker
}

fn apply_recovered(recovery: Recovery, proxy: &dyn ProxyHandle) -> VersionTracker {
    for UnusableVersion { position, reason } in recovery.unusable {
        let which = if position == 0 { "the last good version" } else { "the one before it" };
        tracing::error!(path = reason.path(), "{which} cannot be used: {reason}");
    }
    if let Some(accepted) = recovery.tracker.in_force() {
        let (version, digest) = (accepted.version.number, short_digest(&accepted.version.digest));
        tracing::info!(version, digest, "starts on the last good version");
        proxy.apply(&accepted.document);
    }
    recovery.tracker
}

impl ConfigSubscriber {
    /// Reports an event to the version tracker, and carries out what it decides while the proxy does not change.
    pub(super) fn handle_version_event(&self, event: Event) {
        let mut event = Some(event);
        self.proxy.with_state(&mut |proxy| {
            let Some(event) = event.take() else { return };
            let mut state = lock(&self.state);
            for action in state.tracker.handle(self.now(), event, proxy) {
                self.carry_out_version_action(&mut state, action);
            }
        });
    }

    fn carry_out_version_action(&self, state: &mut SubscriberState, action: Action) {
        match action {
            Action::Apply(document) => self.proxy.apply(&document),
            Action::Stage { number, bytes } => {
                self.storage.submit(StorageRequest::StageVersion { number, bytes });
            }
            Action::Commit { number } => self.storage.submit(StorageRequest::CommitVersion { number }),
            Action::Respond { offer, number, outcome } => self.answer(state, offer, number, outcome),
        }
    }

    /// Answers an offer, if its stream is still open. Otherwise the hello of the next stream tells the version in force.
    pub(super) fn answer(
        &self,
        state: &mut SubscriberState,
        offer: OfferId,
        version: u64,
        outcome: Result<(), RejectReason>,
    ) {
        match &outcome {
            Ok(()) => {
                let digest = state.tracker.in_force().map(|accepted| short_digest(&accepted.version.digest));
                tracing::info!(version, digest, nonce = offer.nonce, "version in force");
            }
            Err(reason) => {
                self.rejected.fetch_add(1, Ordering::Relaxed);
                let (code, path) = (reason.code(), reason.path());
                tracing::warn!(version, nonce = offer.nonce, code, path, "version rejected: {reason}");
            }
        }
        if offer.stream == state.stream.id {
            let refusal = outcome.err().map(|reason| reason.to_message());
            state.stream.answers.push_back(Answer { nonce: offer.nonce, number: version, refusal });
            state.stream.wake();
        }
    }
}
