//! Checks from the records of a fleet that each role has at most one lease holder per term and that no
//! published version is lost. The audit is independent of the code under test.
//!
//! Operators record the acknowledgements of their publications. Proxies record which version came into force
//! under which term, and which terms they have stored. Control servers record, at the end, the versions that
//! they store.

use std::collections::{BTreeMap, BTreeSet};

/// An event at an operator, a proxy or a control server. The records of one process are in the order in which
/// their events happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// An operator received the acknowledgement that its version is published.
    Acknowledged {
        /// The key of the publication.
        key: String,
        /// The version number in the acknowledgement.
        number: u64,
        /// The digest of the document.
        digest: String,
    },
    /// A proxy has stored a term.
    TermStored {
        /// The proxy.
        proxy: String,
        /// The term.
        term: u64,
    },
    /// A version came into force at a proxy.
    InForce {
        /// The proxy.
        proxy: String,
        /// The version.
        number: u64,
        /// The digest of the document.
        digest: String,
        /// The term under which the version was offered; 0 if the proxy loaded it from disk at its start.
        term: u64,
    },
    /// A control server acquired the lease of a role.
    LeaseAcquired {
        /// The control server.
        server: String,
        /// The role.
        role: String,
        /// The term.
        term: u64,
    },
    /// A process rejected a command of a stale term.
    StaleRejected {
        /// The proxy or control server that rejected it.
        process: String,
        /// The term of the command.
        term: u64,
    },
    /// A control server stores a version at the end.
    Stored {
        /// The control server.
        server: String,
        /// The version.
        number: u64,
        /// The digest of the document.
        digest: String,
        /// The key of the publication.
        key: String,
    },
}

/// A violation of a rule, with its evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// One version number has two documents.
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
        /// The highest term that the proxy had stored before.
        highest_term: u64,
    },
    /// A control server does not store an acknowledged version at the end.
    Lost {
        /// The key of the publication.
        key: String,
    },
    /// One publication has two version numbers.
    PublishedTwice {
        /// The key of the publication.
        key: String,
    },
    /// Two publications are not numbered in the order of their acknowledgements.
    OutOfOrder {
        /// The version that was acknowledged first.
        first: u64,
        /// The version that was acknowledged next.
        second: u64,
    },
    /// Two control servers acquired the lease of a role under one term.
    TwoLeaseHolders {
        /// The role.
        role: String,
        /// The term.
        term: u64,
    },
    /// A proxy returned to an earlier version.
    RolledBack {
        /// The proxy.
        proxy: String,
        /// The version that was in force.
        from: u64,
        /// The version that replaced it.
        to: u64,
    },
}

/// The result of an audit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The violations found.
    pub violations: Vec<Violation>,
    /// Number of acknowledged publications.
    pub acknowledged: usize,
    /// Number of pairs of a role and a term under which a lease was acquired.
    pub terms: usize,
    /// Number of rejected commands of stale terms.
    pub rejected: usize,
}

/// The acknowledgement of a publication.
struct Acknowledgement<'a> {
    key: &'a str,
    number: u64,
    digest: &'a str,
}

/// The events of the records, grouped by subject.
#[derive(Default)]
struct History<'a> {
    /// The digests of the documents of each version number.
    digests: BTreeMap<u64, BTreeSet<&'a str>>,
    /// The version numbers of each publication.
    numbers: BTreeMap<&'a str, BTreeSet<u64>>,
    /// The highest term that each proxy has stored so far.
    highest_terms: BTreeMap<&'a str, u64>,
    /// The version in force at each proxy.
    in_force: BTreeMap<&'a str, u64>,
    /// The control servers that acquired the lease of each role and term.
    lease_holders: BTreeMap<(&'a str, u64), BTreeSet<&'a str>>,
    /// In the order in which they were received.
    acknowledged: Vec<Acknowledgement<'a>>,
    /// The version numbers and digests that each control server stores.
    stored: BTreeMap<&'a str, BTreeSet<(u64, &'a str)>>,
    rejected: usize,
    violations: Vec<Violation>,
}

/// Checks the records. Requires that operators publish one at a time, each after the acknowledgement of the
/// one before, and that the acknowledgements are recorded in the order in which they were received.
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
                self.digests.entry(*number).or_default().insert(digest);
                self.numbers.entry(key).or_default().insert(*number);
                self.acknowledged.push(Acknowledgement { key, number: *number, digest });
            }
            Record::TermStored { proxy, term } => {
                let highest = self.highest_terms.entry(proxy).or_default();
                *highest = (*highest).max(*term);
            }
            Record::InForce { proxy, number, digest, term } => {
                self.digests.entry(*number).or_default().insert(digest);
                self.add_in_force(proxy, *number, *term);
            }
            Record::LeaseAcquired { server, role, term } => {
                self.lease_holders.entry((role, *term)).or_default().insert(server);
            }
            Record::StaleRejected { .. } => self.rejected += 1,
            Record::Stored { server, number, digest, key } => {
                self.digests.entry(*number).or_default().insert(digest);
                if !key.is_empty() {
                    self.numbers.entry(key).or_default().insert(*number);
                }
                self.stored.entry(server).or_default().insert((*number, digest));
            }
        }
    }

    fn add_in_force(&mut self, proxy: &'a str, number: u64, term: u64) {
        let highest_term = self.highest_terms.get(proxy).copied().unwrap_or(0);
        if term > 0 && term < highest_term {
            self.violations.push(Violation::StaleTermApplied { proxy: proxy.to_owned(), term, highest_term });
        }
        if let Some(from) = self.in_force.insert(proxy, number).filter(|previous| *previous > number) {
            self.violations.push(Violation::RolledBack { proxy: proxy.to_owned(), from, to: number });
        }
    }

    /// Checks that each version number has one document and each publication one version number.
    fn check_versions(&mut self) {
        let forked = self.digests.iter().filter(|(_, digests)| digests.len() > 1);
        self.violations.extend(forked.map(|(number, _)| Violation::Forked { number: *number }));
        let published_twice = self.numbers.iter().filter(|(_, numbers)| numbers.len() > 1);
        let violations = published_twice.map(|(key, _)| Violation::PublishedTwice { key: (*key).to_owned() });
        self.violations.extend(violations);
    }

    /// Checks that each role has at most one lease holder per term.
    fn check_lease_holders(&mut self) {
        let conflicts = self.lease_holders.iter().filter(|(_, servers)| servers.len() > 1);
        let conflicts = conflicts.map(|((role, term), _)| (role.to_string(), *term));
        self.violations.extend(conflicts.map(|(role, term)| Violation::TwoLeaseHolders { role, term }));
    }

    /// Checks that version numbers increase in the order of the acknowledgements.
    fn check_order(&mut self) {
        for pair in self.acknowledged.windows(2) {
            let [first, second] = [&pair[0], &pair[1]];
            if first.number >= second.number && first.key != second.key {
                let (first, second) = (first.number, second.number);
                self.violations.push(Violation::OutOfOrder { first, second });
            }
        }
    }

    /// Checks that every control server stores every acknowledged version, and that at least one recorded its
    /// versions.
    fn check_stored(&mut self) {
        for Acknowledgement { key, number, digest } in &self.acknowledged {
            let is_missing = |stored: &BTreeSet<(u64, &str)>| !stored.contains(&(*number, *digest));
            if self.stored.is_empty() || self.stored.values().any(is_missing) {
                self.violations.push(Violation::Lost { key: (*key).to_owned() });
            }
        }
    }
}
