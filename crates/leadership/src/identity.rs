//! Which process has a proxy's name. A name has one owner too: a process that comes anew under a name wins with a higher
//! term, and the earlier one is told; two that fight over a name are shown as two.

use std::collections::BTreeMap;

/// A process that had a name and is gone may have it back after this many milliseconds without the later one.
pub const RECLAIM_AFTER: f64 = 10_000.0;
/// Names remembered whose process is gone.
const MAX_DISCONNECTED: usize = 10_000;

/// What becomes of a process that names itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The name is its own, under this term. The stream, if there is one, is that of another process, which is to be
    /// told.
    Granted {
        /// The name's term.
        term: u64,
        /// The stream of the process that had the name.
        superseded: Option<u64>,
    },
    /// A later process has the name.
    Superseded {
        /// The name's term.
        term: u64,
        /// That process.
        by: u64,
    },
}

#[derive(Debug)]
struct Registration {
    term: u64,
    incarnation: u64,
    /// Its stream, or since when it has none.
    stream: Result<u64, f64>,
}

/// All names.
#[derive(Debug, Default)]
pub struct IdentityRegistry {
    registrations: BTreeMap<String, Registration>,
    /// Streams of processes whose name is another's, which stay to be shown.
    superseded: BTreeMap<u64, (String, u64)>,
}

impl IdentityRegistry {
    /// A process opens a stream under a name. `term` is the one under which it was given the name; 0: it never was.
    pub fn claim(&mut self, now: f64, name: &str, incarnation: u64, term: u64, stream: u64) -> Claim {
        self.superseded.remove(&stream);
        let Some(registration) = self.registrations.get_mut(name) else {
            // Another service gave the name: its terms go on.
            let term = term.saturating_add(u64::from(term == 0));
            self.registrations
                .insert(name.to_owned(), Registration { term, incarnation, stream: Ok(stream) });
            self.evict_oldest();
            return Claim::Granted { term, superseded: None };
        };
        if registration.incarnation == incarnation {
            registration.term = registration.term.max(term);
            registration.stream = Ok(stream);
            return Claim::Granted { term: registration.term, superseded: None };
        }
        let gone = registration.stream.is_err_and(|since| now - since >= RECLAIM_AFTER);
        // One that once had the name, under a lower term, is the earlier one and does not take it back while the later
        // one is there. One that has a higher term was given the name by another service after this one.
        let earlier = term > 0 && term <= registration.term;
        if earlier && !gone {
            self.superseded.insert(stream, (name.to_owned(), incarnation));
            return Claim::Superseded { term: registration.term, by: registration.incarnation };
        }
        let old = registration.stream.ok();
        if let Some(old) = old {
            self.superseded.insert(old, (name.to_owned(), registration.incarnation));
        }
        *registration = Registration {
            term: registration.term.max(term).saturating_add(1),
            incarnation,
            stream: Ok(stream),
        };
        Claim::Granted { term: registration.term, superseded: old }
    }

    /// A stream has ended.
    pub fn disconnected(&mut self, now: f64, stream: u64) {
        self.superseded.remove(&stream);
        if let Some(registration) =
            self.registrations.values_mut().find(|registration| registration.stream == Ok(stream))
        {
            registration.stream = Err(now);
        }
    }

    /// Whether a stream's process has its name.
    pub fn is_holder(&self, name: &str, stream: u64) -> bool {
        self.registrations.get(name).is_some_and(|registration| registration.stream == Ok(stream))
    }

    /// Whether nobody ever came.
    pub fn is_empty(&self) -> bool {
        self.registrations.is_empty()
    }

    /// The process that has a name, and the term.
    pub fn holder(&self, name: &str) -> Option<(u64, u64)> {
        self.registrations.get(name).map(|registration| (registration.incarnation, registration.term))
    }

    /// Processes whose name is another's, and that are still here: their streams, names and processes.
    pub fn superseded(&self) -> impl Iterator<Item = (u64, &str, u64)> {
        self.superseded.iter().map(|(stream, (name, incarnation))| (*stream, name.as_str(), *incarnation))
    }

    /// Guards the memory against names that never come back.
    fn evict_oldest(&mut self) {
        let gone = self
            .registrations
            .iter()
            .filter_map(|(name, registration)| Some((registration.stream.err()?, name)));
        if gone.clone().count() > MAX_DISCONNECTED {
            let longest = gone.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, name)| name.clone());
            longest.map(|name| self.registrations.remove(&name));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_later_process_wins_the_earlier_one_is_told_and_does_not_fight_back() {
        let mut registry = IdentityRegistry::default();
        assert_eq!(registry.claim(0.0, "n0", 7, 0, 1), Claim::Granted { term: 1, superseded: None });
        assert_eq!(registry.claim(1.0, "n0", 8, 0, 2), Claim::Granted { term: 2, superseded: Some(1) });
        assert_eq!(registry.superseded().collect::<Vec<_>>(), [(1, "n0", 7)]);
        registry.disconnected(2.0, 1);
        assert_eq!(registry.claim(3.0, "n0", 7, 1, 3), Claim::Superseded { term: 2, by: 8 });
        assert!(registry.is_holder("n0", 2) && !registry.is_holder("n0", 3));
        registry.disconnected(4.0, 2);
        assert_eq!(
            registry.claim(5.0, "n0", 7, 1, 4),
            Claim::Superseded { term: 2, by: 8 },
            "it may come back"
        );
        let back = registry.claim(4.0 + RECLAIM_AFTER, "n0", 7, 1, 5);
        assert_eq!(back, Claim::Granted { term: 3, superseded: None });
        assert_eq!(registry.claim(20_000.0, "n0", 8, 2, 6), Claim::Superseded { term: 3, by: 7 });
    }

    #[test]
    fn a_service_that_starts_anew_takes_the_terms_that_others_gave() {
        let mut registry = IdentityRegistry::default();
        assert_eq!(registry.claim(0.0, "n0", 7, 4, 1), Claim::Granted { term: 4, superseded: None });
        assert_eq!(registry.claim(0.0, "n0", 8, 5, 2), Claim::Granted { term: 6, superseded: Some(1) });
        assert_eq!(
            registry.claim(0.0, "n0", 8, 6, 3),
            Claim::Granted { term: 6, superseded: None },
            "a stream anew"
        );
        let edge = registry.claim(0.0, "n1", 1, u64::MAX, 4);
        assert_eq!(edge, Claim::Granted { term: u64::MAX, superseded: None });
        assert_eq!(
            registry.claim(0.0, "n1", 2, 0, 5),
            Claim::Granted { term: u64::MAX, superseded: Some(4) }
        );
    }
}
