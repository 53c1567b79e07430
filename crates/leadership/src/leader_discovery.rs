//! Which of its control services a proxy turns to: the holder of the versions, wherever it is.
//!
//! A proxy knows its services by its own list alone, and learns which member is behind which endpoint. It stays with the
//! holder, leaves a service that names another one, and does not stay for long where nobody is named.

use std::collections::BTreeMap;

/// A service that names no holder is left after this many milliseconds.
pub const NO_HOLDER_TIMEOUT: f64 = 3_000.0;

/// Who owns the versions, as a service said: the member and its term.
pub type AnnouncedHolder = Option<(u64, u64)>;

/// The search.
#[derive(Debug)]
pub struct LeaderDiscovery {
    endpoints: usize,
    /// Which member was found at which endpoint.
    found: BTreeMap<usize, u64>,
    current: usize,
    holder: AnnouncedHolder,
    /// Since when this endpoint has named nobody.
    no_holder_since: Option<f64>,
    /// The endpoint of the holder was tried since it was named, and was of no use.
    tried: Option<u64>,
}

impl LeaderDiscovery {
    /// A search over so many endpoints, which begins at the first.
    pub fn new(endpoints: usize) -> Self {
        LeaderDiscovery {
            endpoints: endpoints.max(1),
            found: BTreeMap::new(),
            current: 0,
            holder: None,
            no_holder_since: None,
            tried: None,
        }
    }

    /// The endpoint to turn to.
    pub fn endpoint(&self) -> usize {
        self.current
    }

    /// The service at this endpoint says which member it is and who the holder is. `seen`: the highest term that the proxy has
    /// seen; a holder of a lower one is none. True: the proxy is to leave.
    pub fn on_welcome(&mut self, now: f64, member: u64, named: AnnouncedHolder, seen: u64) -> bool {
        self.found.insert(self.current, member);
        let named = named.filter(|(_, term)| *term >= seen);
        match named {
            Some((holder, _)) if holder == member => {
                (self.no_holder_since, self.tried) = (None, None);
                false
            }
            Some(holder) => {
                self.holder = Some(holder);
                true
            }
            None => now - *self.no_holder_since.get_or_insert(now) >= NO_HOLDER_TIMEOUT,
        }
    }

    /// The stream to this endpoint has ended, or did not come up. True if the next endpoint is one that another service named
    /// as the holder's and that was not tried in vain: there is no need to wait longer than for a lot.
    pub fn on_disconnect(&mut self) -> bool {
        let here = self.found.get(&self.current).copied();
        self.no_holder_since = None;
        let holder = self.holder.take().map(|(holder, _)| holder);
        if holder.is_some() && holder != here && holder != self.tried {
            let endpoint =
                self.found.iter().find(|(_, member)| Some(**member) == holder).map(|(endpoint, _)| *endpoint);
            if let Some(endpoint) = endpoint {
                (self.current, self.tried) = (endpoint, holder);
                return true;
            }
            // Nobody has met it yet: it is at one of the others.
            self.current = (self.current + 1) % self.endpoints;
            return true;
        }
        self.tried = None;
        self.current = (self.current + 1) % self.endpoints;
        false
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Plays services that all name the same holder; how many streams until the proxy stays, and where.
    fn play(
        discovery: &mut LeaderDiscovery,
        behind: &[u64],
        reached: &[bool],
        holder: AnnouncedHolder,
        seen: u64,
    ) -> Option<u64> {
        for _ in 0..8 {
            let endpoint = discovery.endpoint();
            if reached[endpoint]
                && !discovery.on_welcome(0.0, behind[endpoint], holder, seen)
                && holder.is_some_and(|it| it.0 == behind[endpoint])
            {
                return Some(behind[endpoint]);
            }
            discovery.on_disconnect();
        }
        None
    }

    #[test]
    fn the_owner_is_found_wherever_it_is_and_followed_when_it_changes() {
        for holder in 1..4 {
            let mut discovery = LeaderDiscovery::new(3);
            assert_eq!(play(&mut discovery, &[2, 3, 1], &[true; 3], Some((holder, 4)), 4), Some(holder));
            // The next one is known by now: one step.
            let next = holder % 3 + 1;
            discovery.on_welcome(0.0, holder, Some((next, 5)), 5);
            discovery.on_disconnect();
            let known = [2, 3, 1][discovery.endpoint()] == next;
            assert!(known || play(&mut discovery, &[2, 3, 1], &[true; 3], Some((next, 5)), 5) == Some(next));
        }
    }

    #[test]
    fn swapped_addresses_an_owner_out_of_reach_and_old_owners_do_not_hold_a_proxy() {
        let mut discovery = LeaderDiscovery::new(3);
        play(&mut discovery, &[1, 2, 3], &[true; 3], Some((2, 1)), 1);
        assert_eq!(play(&mut discovery, &[1, 3, 2], &[true; 3], Some((2, 1)), 1), Some(2));
        assert_eq!(
            play(&mut discovery, &[1, 3, 2], &[true, true, false], Some((2, 1)), 1),
            None,
            "out of reach"
        );
        assert_eq!(play(&mut discovery, &[1, 3, 2], &[true; 3], Some((2, 1)), 1), Some(2), "and found again");
        let mut discovery = LeaderDiscovery::new(2);
        assert!(
            !discovery.on_welcome(0.0, 1, Some((1, 3)), 4),
            "an old holder is nobody: left only after a while"
        );
        assert!(discovery.on_welcome(NO_HOLDER_TIMEOUT, 1, Some((1, 3)), 4));
        assert!(!discovery.on_disconnect());
        assert_eq!(discovery.endpoint(), 1);
    }
}
