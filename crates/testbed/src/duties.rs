//! What the records of a fleet say of duties and versions, judged without any knowledge of how anybody decides.
//!
//! Operators record what they asked and what they were told; proxies what came in force, under which term, and which
//! terms they had seen by then; services, at the end, the versions that they hold.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// One thing that happened. Records of one place are in the order in which they happened there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "lowercase")]
pub enum Record {
    /// An operator was told that its version is published.
    Acknowledged {
        /// Which publication it asked for.
        key: String,
        /// The number that it was told.
        number: u64,
        /// What names the content.
        digest: String,
    },
    /// A proxy has kept a term.
    Seen {
        /// The proxy.
        proxy: String,
        /// The term.
        term: u64,
    },
    /// A version came in force at a proxy.
    Force {
        /// The proxy.
        proxy: String,
        /// The version.
        number: u64,
        /// What names the content.
        digest: String,
        /// The term under which it was offered; 0: it was found on the disk at a start.
        term: u64,
    },
    /// A service took a duty up, under a term.
    Acts {
        /// The service.
        service: String,
        /// The duty.
        duty: String,
        /// The term.
        term: u64,
    },
    /// An act under an old term was refused.
    Refused {
        /// Where.
        at: String,
        /// Its term.
        term: u64,
    },
    /// A version that a service holds at the end.
    Holds {
        /// The service.
        service: String,
        /// The version.
        number: u64,
        /// What names the content.
        digest: String,
        /// The publication's key.
        key: String,
    },
}

/// A rule that was broken, in words, with what shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Breach {
    /// One number, two contents.
    Forked(u64),
    /// An act of an old term took effect: the proxy, the term, and the one it had seen.
    Stale(String, u64, u64),
    /// What an operator was told is not there at the end.
    Lost(String),
    /// One publication under two numbers.
    Twice(String),
    /// Acknowledged in one order, numbered in another.
    Order(u64, u64),
    /// Two services under one term.
    TwoOwners(String, u64),
    /// A version that came in force went back at a proxy.
    Back(String, u64, u64),
}

/// What the records add up to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Rules broken.
    pub breaches: Vec<Breach>,
    /// Acknowledged publications.
    pub acknowledged: usize,
    /// Terms under which some service acted, over all duties.
    pub terms: usize,
    /// Acts under old terms that were refused.
    pub refused: usize,
}

/// Judges the records. Acknowledgements are those of operators who each wait for the answer before they ask again, in the
/// order in which they came.
pub fn judge(records: &[Record]) -> Verdict {
    let mut verdict = Verdict::default();
    let mut contents: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    let mut numbers: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
    let mut seen: BTreeMap<&str, u64> = BTreeMap::new();
    let mut force: BTreeMap<&str, u64> = BTreeMap::new();
    let mut owners: BTreeMap<(&str, u64), BTreeSet<&str>> = BTreeMap::new();
    let mut acknowledged: Vec<(&str, u64, &str)> = Vec::new();
    let mut held: BTreeMap<&str, BTreeSet<(u64, &str)>> = BTreeMap::new();
    for record in records {
        match record {
            Record::Acknowledged { key, number, digest } => {
                contents.entry(*number).or_default().insert(digest);
                numbers.entry(key).or_default().insert(*number);
                acknowledged.push((key, *number, digest));
            }
            Record::Seen { proxy, term } => {
                let highest = seen.entry(proxy).or_default();
                *highest = (*highest).max(*term);
            }
            Record::Force { proxy, number, digest, term } => {
                contents.entry(*number).or_default().insert(digest);
                let highest = seen.get(proxy.as_str()).copied().unwrap_or(0);
                if *term > 0 && *term < highest {
                    verdict.breaches.push(Breach::Stale(proxy.clone(), *term, highest));
                }
                if let Some(before) = force.insert(proxy, *number).filter(|before| before > number) {
                    verdict.breaches.push(Breach::Back(proxy.clone(), before, *number));
                }
            }
            Record::Acts { service, duty, term } => {
                owners.entry((duty, *term)).or_default().insert(service);
            }
            Record::Refused { .. } => verdict.refused += 1,
            Record::Holds { service, number, digest, key } => {
                contents.entry(*number).or_default().insert(digest);
                if !key.is_empty() {
                    numbers.entry(key).or_default().insert(*number);
                }
                held.entry(service).or_default().insert((*number, digest));
            }
        }
    }
    verdict.acknowledged = acknowledged.len();
    verdict.terms = owners.len();
    let forked = contents.iter().filter(|(_, digests)| digests.len() > 1);
    verdict.breaches.extend(forked.map(|(number, _)| Breach::Forked(*number)));
    let twice = numbers.iter().filter(|(_, numbers)| numbers.len() > 1);
    verdict.breaches.extend(twice.map(|(key, _)| Breach::Twice((*key).to_owned())));
    let two = owners.iter().filter(|(_, services)| services.len() > 1);
    verdict.breaches.extend(two.map(|((duty, term), _)| Breach::TwoOwners((*duty).to_owned(), *term)));
    for pair in acknowledged.windows(2) {
        if pair[0].1 >= pair[1].1 && pair[0].0 != pair[1].0 {
            verdict.breaches.push(Breach::Order(pair[0].1, pair[1].1));
        }
    }
    for (key, number, digest) in acknowledged {
        if held.is_empty() || held.values().any(|held| !held.contains(&(number, digest))) {
            verdict.breaches.push(Breach::Lost(key.to_owned()));
        }
    }
    verdict
}

#[cfg(test)]
mod tests {
    use super::*;

    fn told(key: &str, number: u64) -> Record {
        Record::Acknowledged { key: key.into(), number, digest: key.into() }
    }

    fn holds(service: &str, number: u64, digest: &str) -> Record {
        Record::Holds { service: service.into(), number, digest: digest.into(), key: digest.into() }
    }

    fn force(number: u64, digest: &str, term: u64) -> Record {
        Record::Force { proxy: "n0".into(), number, digest: digest.into(), term }
    }

    fn sound() -> Vec<Record> {
        vec![
            told("a", 1),
            Record::Seen { proxy: "n0".into(), term: 1 },
            force(1, "a", 1),
            told("b", 2),
            Record::Seen { proxy: "n0".into(), term: 2 },
            Record::Refused { at: "n0".into(), term: 1 },
            force(2, "b", 2),
            Record::Acts { service: "1".into(), duty: "versions".into(), term: 1 },
            Record::Acts { service: "2".into(), duty: "versions".into(), term: 2 },
            holds("1", 1, "a"),
            holds("1", 2, "b"),
            holds("2", 1, "a"),
            holds("2", 2, "b"),
        ]
    }

    #[test]
    fn a_sound_run_has_no_breach() {
        let verdict = judge(&sound());
        assert_eq!(verdict.breaches, []);
        assert_eq!((verdict.acknowledged, verdict.terms, verdict.refused), (2, 2, 1));
    }

    #[test]
    fn each_rule_broken_is_found() {
        let broken: [(Record, Breach); 6] = [
            (force(2, "x", 2), Breach::Forked(2)),
            (force(3, "c", 1), Breach::Stale("n0".into(), 1, 2)),
            (holds("2", 3, "a"), Breach::Twice("a".into())),
            (
                Record::Acts { service: "3".into(), duty: "versions".into(), term: 2 },
                Breach::TwoOwners("versions".into(), 2),
            ),
            (force(1, "a", 2), Breach::Back("n0".into(), 2, 1)),
            (told("c", 2), Breach::Order(2, 2)),
        ];
        for (record, breach) in broken {
            let records = [sound(), vec![record]].concat();
            assert!(judge(&records).breaches.contains(&breach), "{breach:?}: {:?}", judge(&records));
        }
        let mut lost = sound();
        lost.pop();
        assert_eq!(judge(&lost).breaches, [Breach::Lost("b".into())]);
    }
}
