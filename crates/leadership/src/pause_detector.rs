//! Whether a service that is alone may still take itself for the owner after it stood still. There is no majority to
//! ask: only the proxies can say whether another service took its place meanwhile.

/// The doubt of one service.
#[derive(Debug)]
pub struct Doubt {
    last: f64,
    stood: Option<f64>,
}

impl Doubt {
    /// A service that starts at this moment has no doubt: its store says what it owns.
    pub fn new(now: f64) -> Self {
        Doubt { last: now, stood: None }
    }

    /// Time has passed; `known`: proxies follow this service, and could have turned to another. True if it stood still for
    /// longer than `lease` milliseconds: whoever was connected must come anew.
    pub fn tick(&mut self, now: f64, lease: f64, known: bool) -> bool {
        let stood = now - self.last;
        self.last = now;
        if stood < lease || !known {
            return false;
        }
        self.stood = Some(stood.max(self.stood.unwrap_or(0.0)));
        true
    }

    /// A proxy has come since, and has seen no owner of a higher term; or an operator says that there is none.
    pub fn vouched(&mut self) {
        self.stood = None;
    }

    /// Why nothing may be published now: for how many milliseconds it stood still.
    pub fn stood(&self) -> Option<f64> {
        self.stood
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_stood_still_waits_for_a_proxy_that_has_seen_nobody_else() {
        let mut doubt = Doubt::new(0.0);
        assert!(!doubt.tick(1_999.0, 2_000.0, true));
        assert!(!doubt.tick(9_000.0, 2_000.0, false), "nobody could have turned to another");
        assert!(doubt.tick(20_000.0, 2_000.0, true));
        assert!(!doubt.tick(20_100.0, 2_000.0, true));
        assert_eq!(doubt.stood(), Some(11_000.0));
        doubt.vouched();
        assert_eq!(doubt.stood(), None);
    }
}
