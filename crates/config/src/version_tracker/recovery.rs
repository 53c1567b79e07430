//! Puts the last good version in force again when a proxy starts.
//!
//! A stored version was validated against the state of the proxy when it was accepted, and may have been
//! acknowledged. A restart treats it like a version that has been in force all the time: engines that have left
//! and settings that were tightened since do not withdraw it.

use crate::proxy_state::ProxyState;
use crate::{RejectReason, Timestamp, Version, check, proxy_check};

use super::{AcceptedVersion, StorageFailure, VersionStatus, VersionTracker};

/// The result of [`VersionTracker::recover`].
pub struct Recovery {
    /// The tracker, with the first usable version in force, if there is one.
    pub tracker: VersionTracker,
    /// Why the version in force would be rejected if it were offered to the proxy in its present state; empty
    /// if it would be accepted.
    pub conflicts: Vec<RejectReason>,
    /// The stored versions before that one, which are not usable.
    pub unusable: Vec<UnusableVersion>,
}

/// A stored version that cannot be used.
#[derive(Clone, Debug, PartialEq)]
pub struct UnusableVersion {
    /// The position among the stored versions, from 0.
    pub position: usize,
    /// Why it cannot be used.
    pub reason: RejectReason,
}

impl VersionTracker {
    /// Creates the tracker of a proxy that starts. `stored` yields the versions in its store, the newest
    /// first. The first one that is intact and valid by itself is put in force.
    pub fn recover(
        now: Timestamp,
        stored: impl IntoIterator<Item = Result<Vec<u8>, StorageFailure>>,
        proxy: &ProxyState,
    ) -> Recovery {
        let mut recovery =
            Recovery { tracker: VersionTracker::new(), conflicts: Vec::new(), unusable: Vec::new() };
        for (position, bytes) in stored.into_iter().enumerate() {
            match recover_version(bytes) {
                Ok(accepted) => {
                    recovery.conflicts = proxy_check::check(&accepted.document, proxy);
                    recovery.tracker.put_in_force(now, accepted);
                    break;
                }
                Err(reason) => recovery.unusable.push(UnusableVersion { position, reason }),
            }
        }
        recovery
    }

    fn put_in_force(&mut self, now: Timestamp, accepted: AcceptedVersion) {
        let Version { number, digest } = &accepted.version;
        self.history.set(now, *number, digest, VersionStatus::InForce);
        self.in_force = Some(accepted);
        self.in_force_since = now;
    }
}

/// Decodes a stored version and validates its document by itself.
fn recover_version(stored: Result<Vec<u8>, StorageFailure>) -> Result<AcceptedVersion, RejectReason> {
    let bytes = stored.map_err(|failure| RejectReason::Unreadable(failure.to_string()))?;
    let accepted = AcceptedVersion::decode(&bytes)?;
    match check::check(&accepted.document).into_iter().next() {
        Some(reason) => Err(reason),
        None => Ok(accepted),
    }
}
