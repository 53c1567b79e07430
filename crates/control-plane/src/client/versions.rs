//! Applies versions to the proxy, stores them and responds to offers, as the version tracker decides.

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

/// Applies the newest usable stored version, and returns a version tracker with that version in force.
pub(super) fn recover(
    stored_versions: Vec<Result<Vec<u8>, StorageFailure>>,
    proxy: &dyn ProxyHandle,
) -> VersionTracker {
    let mut stored_versions = Some(stored_versions);
    let mut tracker = VersionTracker::new();
    proxy.with_state(&mut |state| {
        let Some(stored_versions) = stored_versions.take() else { return };
        let recovery = VersionTracker::recover(Timestamp::default(), stored_versions, state);
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
        for reason in &recovery.conflicts {
            let (code, path) = (reason.code(), reason.path());
            tracing::warn!(
                version,
                code,
                path,
                "stays in force, but would be rejected if offered now: {reason}"
            );
        }
    }
    recovery.tracker
}

impl ConfigSubscriber {
    /// Passes an event to the version tracker and executes its actions, all while the state of the proxy is
    /// locked.
    pub(super) fn handle_version_event(&self, event: Event) {
        let mut event = Some(event);
        self.proxy.with_state(&mut |proxy| {
            let Some(event) = event.take() else { return };
            let mut state = lock(&self.state);
            for action in state.tracker.handle(self.now(), event, proxy) {
                self.execute_version_action(&mut state, action);
            }
        });
    }

    fn execute_version_action(&self, state: &mut SubscriberState, action: Action) {
        match action {
            Action::Apply(document) => self.proxy.apply(&document),
            Action::Stage { number, bytes } => {
                self.storage.submit(StorageRequest::StageVersion { number, bytes });
            }
            Action::Commit { number } => self.storage.submit(StorageRequest::CommitVersion { number }),
            Action::Respond { offer, number, outcome } => {
                self.respond_to_offer(state, offer, number, outcome)
            }
        }
    }

    /// Acknowledges or rejects an offer, if it was received on the current stream. Otherwise the hello of the
    /// next stream contains the version in force.
    pub(super) fn respond_to_offer(
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
                self.rejected_count.fetch_add(1, Ordering::Relaxed);
                let (code, path) = (reason.code(), reason.path());
                tracing::warn!(version, nonce = offer.nonce, code, path, "version rejected: {reason}");
            }
        }
        if offer.stream == state.stream.id {
            let refusal = outcome.err().map(|reason| reason.to_message());
            let response = Answer { nonce: offer.nonce, number: version, refusal };
            state.stream.pending_responses.push_back(response);
            state.stream.wake();
        }
    }
}
