//! Whether a service that is alone may still take itself for the owner after it stood still. There is no majority to
//! ask: only the proxies can say whether another service took its place meanwhile.

/// The detector of one service.
#[derive(Debug)]
pub struct PauseDetector {
    last_observed: f64,
    suspended: Option<f64>,
}

impl PauseDetector {
    /// A service that starts at this moment has no detector: its store says what it owns.
    pub fn new(now: f64) -> Self {
        PauseDetector { last_observed: now, suspended: None }
    }

    /// Time has passed; `has_followers`: proxies follow this service, and could have turned to another. True if it stood still for
    /// longer than `lease` milliseconds: whoever was connected must come anew.
    pub fn observe(&mut self, now: f64, lease: f64, has_followers: bool) -> bool {
        let elapsed = now - self.last_observed;
        self.last_observed = now;
        if elapsed < lease || !has_followers {
            return false;
        }
        self.suspended = Some(elapsed.max(self.suspended.unwrap_or(0.0)));
        true
    }

    /// A proxy has come since, and has seen no owner of a higher term; or an operator says that there is none.
    pub fn clear(&mut self) {
        self.suspended = None;
    }

    /// Why nothing may be published now: for how many milliseconds it stood still.
    pub fn suspended_for(&self) -> Option<f64> {
        self.suspended
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_stood_still_waits_for_a_proxy_that_has_seen_nobody_else() {
        let mut detector = PauseDetector::new(0.0);
        assert!(!detector.observe(1_999.0, 2_000.0, true));
        assert!(!detector.observe(9_000.0, 2_000.0, false), "nobody could have turned to another");
        assert!(detector.observe(20_000.0, 2_000.0, true));
        assert!(!detector.observe(20_100.0, 2_000.0, true));
        assert_eq!(detector.suspended_for(), Some(11_000.0));
        detector.clear();
        assert_eq!(detector.suspended_for(), None);
    }
}
