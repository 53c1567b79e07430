//! Detects that the process of a control server without peers was suspended. Afterwards the control server
//! may no longer be the holder of its roles.
//!
//! Such a control server has no majority that could confirm its roles. Only the proxies can report whether
//! another control server replaced it in the meantime.

use std::time::Duration;

use gaugestep_clock::Timestamp;

/// Detects that this process was suspended for at least the duration of a lease. A suspension stays recorded
/// until [`SuspensionDetector::clear`] is called.
#[derive(Debug)]
pub struct SuspensionDetector {
    last_observed: Timestamp,
    longest_suspension: Option<Duration>,
}

impl SuspensionDetector {
    /// Creates the detector of a control server that starts now. No suspension is recorded at first, because
    /// the store contains the roles of the control server.
    pub fn new(now: Timestamp) -> Self {
        SuspensionDetector { last_observed: now, longest_suspension: None }
    }

    /// Compares the clock with the previous call. `has_followers` is true if proxies have connected to this
    /// control server: they may have followed another one during a suspension.
    ///
    /// Returns true if there are followers and the process was suspended for `lease` or longer. Connected
    /// proxies must then connect again, because they report the terms that they have received only when they
    /// connect.
    pub fn observe(&mut self, now: Timestamp, lease: Duration, has_followers: bool) -> bool {
        let elapsed = now.duration_since(self.last_observed);
        self.last_observed = now;
        if elapsed < lease || !has_followers {
            return false;
        }
        self.longest_suspension = Some(elapsed.max(self.longest_suspension.unwrap_or_default()));
        true
    }

    /// Clears the recorded suspension. Called when a proxy that connected since then has received no higher
    /// term, or when an operator confirms that there is no other holder.
    pub fn clear(&mut self) {
        self.longest_suspension = None;
    }

    /// The longest suspension since the detector was cleared; `None` if there was none. While it is `Some`,
    /// the control server must not publish versions.
    pub fn suspended_for(&self) -> Option<Duration> {
        self.longest_suspension
    }
}
