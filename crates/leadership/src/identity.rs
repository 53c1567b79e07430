//! Which process has a proxy's name. A name has one owner too: a process that comes anew under a name wins with a higher
//! term, and the earlier one is told; two that fight over a name are shown as two.

use std::collections::BTreeMap;

/// A process that had a name and is gone may have it back after this many milliseconds without the later one.
pub const GONE_AFTER: f64 = 10_000.0;
/// Names remembered whose process is gone.
const REMEMBERED: usize = 10_000;

/// What becomes of a process that names itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Given {
    /// The name is its own, under this term. The stream, if there is one, is that of another process, which is to be
    /// told.
    Yours {
        /// The name's term.
        term: u64,
        /// The stream of the process that had the name.
        displaced: Option<u64>,
    },
    /// A later process has the name.
    Displaced {
        /// The name's term.
        term: u64,
        /// That process.
        by: u64,
    },
}

#[derive(Debug)]
struct Held {
    term: u64,
    incarnation: u64,
    /// Its stream, or since when it has none.
    stream: Result<u64, f64>,
}

/// All names.
#[derive(Debug, Default)]
pub struct Names {
    held: BTreeMap<String, Held>,
    /// Streams of processes whose name is another's, which stay to be shown.
    displaced: BTreeMap<u64, (String, u64)>,
}

impl Names {
    /// A process opens a stream under a name. `term` is the one under which it was given the name; 0: it never was.
    pub fn hello(&mut self, now: f64, name: &str, incarnation: u64, term: u64, stream: u64) -> Given {
        self.displaced.remove(&stream);
        let Some(held) = self.held.get_mut(name) else {
            // Another service gave the name: its terms go on.
            let term = term.saturating_add(u64::from(term == 0));
            self.held.insert(name.to_owned(), Held { term, incarnation, stream: Ok(stream) });
            self.forget_some();
            return Given::Yours { term, displaced: None };
        };
        if held.incarnation == incarnation {
            held.term = held.term.max(term);
            held.stream = Ok(stream);
            return Given::Yours { term: held.term, displaced: None };
        }
        let gone = held.stream.is_err_and(|since| now - since >= GONE_AFTER);
        // One that once had the name, under a lower term, is the earlier one and does not take it back while the later
        // one is there. One that has a higher term was given the name by another service after this one.
        let earlier = term > 0 && term <= held.term;
        if earlier && !gone {
            self.displaced.insert(stream, (name.to_owned(), incarnation));
            return Given::Displaced { term: held.term, by: held.incarnation };
        }
        let old = held.stream.ok();
        if let Some(old) = old {
            self.displaced.insert(old, (name.to_owned(), held.incarnation));
        }
        *held = Held { term: held.term.max(term).saturating_add(1), incarnation, stream: Ok(stream) };
        Given::Yours { term: held.term, displaced: old }
    }

    /// A stream has ended.
    pub fn left(&mut self, now: f64, stream: u64) {
        self.displaced.remove(&stream);
        if let Some(held) = self.held.values_mut().find(|held| held.stream == Ok(stream)) {
            held.stream = Err(now);
        }
    }

    /// Whether a stream's process has its name.
    pub fn holds(&self, name: &str, stream: u64) -> bool {
        self.held.get(name).is_some_and(|held| held.stream == Ok(stream))
    }

    /// Whether nobody ever came.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// The process that has a name, and the term.
    pub fn holder(&self, name: &str) -> Option<(u64, u64)> {
        self.held.get(name).map(|held| (held.incarnation, held.term))
    }

    /// Processes whose name is another's, and that are still here: their streams, names and processes.
    pub fn displaced(&self) -> impl Iterator<Item = (u64, &str, u64)> {
        self.displaced.iter().map(|(stream, (name, incarnation))| (*stream, name.as_str(), *incarnation))
    }

    /// Guards the memory against names that never come back.
    fn forget_some(&mut self) {
        let gone = self.held.iter().filter_map(|(name, held)| Some((held.stream.err()?, name)));
        if gone.clone().count() > REMEMBERED {
            let longest = gone.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, name)| name.clone());
            longest.map(|name| self.held.remove(&name));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_later_process_wins_the_earlier_one_is_told_and_does_not_fight_back() {
        let mut names = Names::default();
        assert_eq!(names.hello(0.0, "n0", 7, 0, 1), Given::Yours { term: 1, displaced: None });
        assert_eq!(names.hello(1.0, "n0", 8, 0, 2), Given::Yours { term: 2, displaced: Some(1) });
        assert_eq!(names.displaced().collect::<Vec<_>>(), [(1, "n0", 7)]);
        names.left(2.0, 1);
        assert_eq!(names.hello(3.0, "n0", 7, 1, 3), Given::Displaced { term: 2, by: 8 });
        assert!(names.holds("n0", 2) && !names.holds("n0", 3));
        names.left(4.0, 2);
        assert_eq!(names.hello(5.0, "n0", 7, 1, 4), Given::Displaced { term: 2, by: 8 }, "it may come back");
        let back = names.hello(4.0 + GONE_AFTER, "n0", 7, 1, 5);
        assert_eq!(back, Given::Yours { term: 3, displaced: None });
        assert_eq!(names.hello(20_000.0, "n0", 8, 2, 6), Given::Displaced { term: 3, by: 7 });
    }

    #[test]
    fn a_service_that_starts_anew_takes_the_terms_that_others_gave() {
        let mut names = Names::default();
        assert_eq!(names.hello(0.0, "n0", 7, 4, 1), Given::Yours { term: 4, displaced: None });
        assert_eq!(names.hello(0.0, "n0", 8, 5, 2), Given::Yours { term: 6, displaced: Some(1) });
        assert_eq!(
            names.hello(0.0, "n0", 8, 6, 3),
            Given::Yours { term: 6, displaced: None },
            "a stream anew"
        );
        let edge = names.hello(0.0, "n1", 1, u64::MAX, 4);
        assert_eq!(edge, Given::Yours { term: u64::MAX, displaced: None });
        assert_eq!(names.hello(0.0, "n1", 2, 0, 5), Given::Yours { term: u64::MAX, displaced: Some(4) });
    }
}
