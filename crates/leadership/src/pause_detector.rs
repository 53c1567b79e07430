//! Whether a service that is alone may still consider itself the holder of its roles after a suspension.
//!
//! Such a service has no majority to ask: only the proxies can tell whether another service took its place meanwhile.

use std::time::Duration;

use gaugestep_clock::Timestamp;

/// Detects that this process was suspended for longer than a lease, and remembers it until a proxy clears it.
#[derive(Debug)]
pub struct PauseDetector {
    last_observed: Timestamp,
    suspended: Option<Duration>,
}

impl PauseDetector {
    /// A detector of a service that starts now. It begins cleared, as the store says what the service holds.
    pub fn new(now: Timestamp) -> Self {
        PauseDetector { last_observed: now, suspended: None }
    }

    /// Observes the clock. `has_followers`: proxies follow this service, and could have followed another meanwhile.
    ///
    /// Returns true if the process was suspended for `lease` or longer; connected proxies must then connect again, as
    /// what they have seen meanwhile is reported when they do.
    pub fn observe(&mut self, now: Timestamp, lease: Duration, has_followers: bool) -> bool {
        let elapsed = now.duration_since(self.last_observed);
        self.last_observed = now;
        if elapsed < lease || !has_followers {
            return false;
        }
        self.suspended = Some(elapsed.max(self.suspended.unwrap_or_default()));
        true
    }

    /// A proxy that connected since has seen no holder of a higher term, or an operator says that there is none.
    pub fn clear(&mut self) {
        self.suspended = None;
    }

    /// The longest suspension since the detector was cleared; while there is one, nothing may be published.
    pub fn suspended_for(&self) -> Option<Duration> {
        self.suspended
    }
}
