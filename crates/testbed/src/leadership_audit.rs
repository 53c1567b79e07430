//! Whether there was one lease holder a term and no version was lost, from the records of a fleet. Judged without any
//! knowledge of how anybody decides.
//!
//! Operators record the answers to their publications; proxies what came in force, under which term, and which terms they
//! had seen by then; services, at the end, the versions that they store.

use std::collections::{BTreeMap, BTreeSet};

/// One thing that happened. Records of one process are in the order in which they happened there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// An operator received the answer that its version is published.
    Acknowledged {
        /// The key of the publication.
        key: String,
        /// The version number in the answer.
        number: u64,
        /// Names the content.
        digest: String,
    },
    /// A proxy has stored a term.
    TermSeen {
        /// The proxy.
        proxy: String,
        /// The term.
        term: u64,
    },
    /// A version came in force at a proxy.
    InForce {
        /// The proxy.
        proxy: String,
        /// The version.
        number: u64,
        /// Names the content.
        digest: String,
        /// The term under which it was offered; 0 if it was found on the disk at a start.
        term: u64,
    },
    /// A service acquired the lease of a role.
    LeaseAcquired {
        /// The service.
        server: String,
        /// The role.
        role: String,
        /// The term.
        term: u64,
    },
    /// A command of a stale term was rejected.
    StaleRejected {
        /// Where.
        process: String,
        /// Its term.
        term: u64,
    },
    /// A version that a service stores at the end.
    Stored {
        /// The service.
        server: String,
        /// The version.
        number: u64,
        /// Names the content.
        digest: String,
        /// The key of the publication.
        key: String,
    },
}

/// A rule that was broken, with what shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// One version number has two contents.
    Forked {
        /// The version.
        number: u64,
    },
    /// A command of a stale term took effect.
    StaleTermApplied {
        /// The proxy.
        proxy: String,
        /// The term of the command.
        term: u64,
        /// The highest term that the proxy had seen.
        seen: u64,
    },
    /// An acknowledged version is missing at the end.
    Lost {
        /// The key of its publication.
        key: String,
    },
    /// One publication has two version numbers.
    PublishedTwice {
        /// Its key.
        key: String,
    },
    /// Two publications are numbered in another order than they were acknowledged in.
    OutOfOrder {
        /// The version that was acknowledged first.
        first: u64,
        /// The version that was acknowledged next.
        second: u64,
    },
    /// Two services acquired the lease of a role under one term.
    TwoLeaseHolders {
        /// The role.
        role: String,
        /// The term.
        term: u64,
    },
    /// A proxy went back to an earlier version.
    RolledBack {
        /// The proxy.
        proxy: String,
        /// The version that was in force.
        from: u64,
        /// The version that replaced it.
        to: u64,
    },
}

/// What the records add up to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Rules broken.
    pub violations: Vec<Violation>,
    /// Acknowledged publications.
    pub acknowledged: usize,
    /// Terms under which some service held a lease, over all roles.
    pub terms: usize,
    /// Commands of stale terms that were rejected.
    pub rejected: usize,
}

/// An answer to an operator.
struct Acknowledgement<'a> {
    key: &'a str,
    number: u64,
    digest: &'a str,
}

/// What the records hold, by subject.
#[derive(Default)]
struct History<'a> {
    /// The contents under each version number.
    contents: BTreeMap<u64, BTreeSet<&'a str>>,
    /// The version numbers of each publication.
    numbers: BTreeMap<&'a str, BTreeSet<u64>>,
    /// The highest term that each proxy has seen.
    terms_seen: BTreeMap<&'a str, u64>,
    /// The version in force at each proxy.
    in_force: BTreeMap<&'a str, u64>,
    /// The services that held the lease of each role and term.
    lease_holders: BTreeMap<(&'a str, u64), BTreeSet<&'a str>>,
    acknowledged: Vec<Acknowledgement<'a>>,
    /// Version numbers and contents that each service stores.
    stored: BTreeMap<&'a str, BTreeSet<(u64, &'a str)>>,
    rejected: usize,
    violations: Vec<Violation>,
}

/// Checks the records. Acknowledgements are those of operators who each wait for the answer before they publish again, in
/// the order in which the answers came.
pub fn audit(records: &[Record]) -> Report {
    let mut history = History::default();
    for record in records {
        history.add(record);
    }
    history.check_versions();
    history.check_lease_holders();
    history.check_order();
    history.check_stored();
    Report {
        violations: history.violations,
        acknowledged: history.acknowledged.len(),
        terms: history.lease_holders.len(),
        rejected: history.rejected,
    }
}

impl<'a> History<'a> {
    fn add(&mut self, record: &'a Record) {
        match record {
            Record::Acknowledged { key, number, digest } => {
                self.contents.entry(*number).or_default().insert(digest);
                self.numbers.entry(key).or_default().insert(*number);
                self.acknowledged.push(Acknowledgement { key, number: *number, digest });
            }
            Record::TermSeen { proxy, term } => {
                let highest = self.terms_seen.entry(proxy).or_default();
                *highest = (*highest).max(*term);
            }
            Record::InForce { proxy, number, digest, term } => {
                self.contents.entry(*number).or_default().insert(digest);
                self.add_in_force(proxy, *number, *term);
            }
            Record::LeaseAcquired { server: service, role, term } => {
                self.lease_holders.entry((role, *term)).or_default().insert(service);
            }
            Record::StaleRejected { .. } => self.rejected += 1,
            Record::Stored { server: service, number, digest, key } => {
                self.contents.entry(*number).or_default().insert(digest);
                if !key.is_empty() {
                    self.numbers.entry(key).or_default().insert(*number);
                }
                self.stored.entry(service).or_default().insert((*number, digest));
            }
        }
    }

    fn add_in_force(&mut self, proxy: &'a str, number: u64, term: u64) {
        let seen = self.terms_seen.get(proxy).copied().unwrap_or(0);
        if term > 0 && term < seen {
            self.violations.push(Violation::StaleTermApplied { proxy: proxy.to_owned(), term, seen });
        }
        if let Some(from) = self.in_force.insert(proxy, number).filter(|before| *before > number) {
            self.violations.push(Violation::RolledBack { proxy: proxy.to_owned(), from, to: number });
        }
    }

    /// One content a number, one number a publication.
    fn check_versions(&mut self) {
        let forked = self.contents.iter().filter(|(_, digests)| digests.len() > 1);
        self.violations.extend(forked.map(|(number, _)| Violation::Forked { number: *number }));
        let twice = self.numbers.iter().filter(|(_, numbers)| numbers.len() > 1);
        let twice = twice.map(|(key, _)| Violation::PublishedTwice { key: (*key).to_owned() });
        self.violations.extend(twice);
    }

    /// One lease holder a role and term.
    fn check_lease_holders(&mut self) {
        let shared = self.lease_holders.iter().filter(|(_, services)| services.len() > 1);
        let shared = shared.map(|((role, term), _)| (role.to_string(), *term));
        self.violations.extend(shared.map(|(role, term)| Violation::TwoLeaseHolders { role, term }));
    }

    /// Version numbers rise in the order of the acknowledgements.
    fn check_order(&mut self) {
        for pair in self.acknowledged.windows(2) {
            let [first, second] = [&pair[0], &pair[1]];
            if first.number >= second.number && first.key != second.key {
                let (first, second) = (first.number, second.number);
                self.violations.push(Violation::OutOfOrder { first, second });
            }
        }
    }

    /// Every service stores what was acknowledged.
    fn check_stored(&mut self) {
        for Acknowledgement { key, number, digest } in &self.acknowledged {
            let missing = |stored: &BTreeSet<(u64, &str)>| !stored.contains(&(*number, *digest));
            if self.stored.is_empty() || self.stored.values().any(missing) {
                self.violations.push(Violation::Lost { key: (*key).to_owned() });
            }
        }
    }
}
