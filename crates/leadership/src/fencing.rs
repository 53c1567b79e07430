//! What a receiver of acts for the fleet refuses: everything under a term lower than the highest it has seen.
//!
//! A term is kept on disk before anything is done under it, or a receiver that restarts would obey an old owner again.
//! Acts that come while a term is being kept wait, in their order.

use std::collections::{BTreeMap, VecDeque};

/// Acts that wait for a term to be kept; further ones are refused.
const MAX_WAITING: usize = 64;

/// Why an act is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FencingRejected {
    /// Its owner is not the present one any more.
    StaleTerm {
        /// The act's term.
        term: u64,
        /// The highest seen.
        highest: u64,
    },
    /// A term of 0 is nobody's.
    MissingTerm,
    /// The term could not be kept, and would be forgotten with the process.
    NotPersisted(String),
    /// Too many acts wait.
    QueueFull,
}

impl std::fmt::Display for FencingRejected {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FencingRejected::StaleTerm { term, highest } => {
                write!(
                    f,
                    "it is of term {term}, and term {highest} was seen: its owner is not the present one"
                )
            }
            FencingRejected::MissingTerm => write!(f, "it has no term"),
            FencingRejected::NotPersisted(why) => write!(f, "its term could not be stored: {why}"),
            FencingRejected::QueueFull => write!(f, "too many acts wait for a term to be stored"),
        }
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FencingAction<A> {
    /// Store these terms, all of them, then tell [`FencingGuard::on_persisted`].
    Persist(BTreeMap<String, u64>),
    /// The act is of the present owner as far as anybody here has heard.
    Accept(A),
    /// The act must not take effect.
    Reject(A, FencingRejected),
}

/// The receiver of acts `A`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FencingGuard<A> {
    /// The highest terms, as they are on disk.
    persisted: BTreeMap<String, u64>,
    /// The highest seen; what is being stored.
    highest: BTreeMap<String, u64>,
    persisting: Option<BTreeMap<String, u64>>,
    waiting: VecDeque<(String, u64, A)>,
    stale_count: u64,
}

impl<A> FencingGuard<A> {
    /// A receiver that finds these terms on its disk.
    pub fn new(persisted: BTreeMap<String, u64>) -> Self {
        FencingGuard {
            highest: persisted.clone(),
            persisted,
            persisting: None,
            waiting: VecDeque::new(),
            stale_count: 0,
        }
    }

    /// The highest term that is kept for a role; 0: none.
    pub fn term(&self, role: &str) -> u64 {
        self.persisted.get(role).copied().unwrap_or(0)
    }

    /// All terms that are kept.
    pub fn terms(&self) -> &BTreeMap<String, u64> {
        &self.persisted
    }

    /// Acts refused for their old term so far.
    pub fn stale_count(&self) -> u64 {
        self.stale_count
    }

    /// An act for a role under a term has come.
    pub fn check(&mut self, role: &str, term: u64, message: A) -> Vec<FencingAction<A>> {
        if term == 0 {
            return vec![FencingAction::Reject(message, FencingRejected::MissingTerm)];
        }
        let highest = self.highest.get(role).copied().unwrap_or(0);
        if term < highest {
            self.stale_count += 1;
            return vec![FencingAction::Reject(message, FencingRejected::StaleTerm { term, highest })];
        }
        if term == self.term(role) && self.waiting.is_empty() {
            return vec![FencingAction::Accept(message)];
        }
        if self.waiting.len() >= MAX_WAITING {
            return vec![FencingAction::Reject(message, FencingRejected::QueueFull)];
        }
        self.highest.insert(role.to_owned(), term);
        self.waiting.push_back((role.to_owned(), term, message));
        self.persist()
    }

    /// Terms are stored one after the other, each time all that were seen by then.
    fn persist<B>(&mut self) -> Vec<FencingAction<B>> {
        if self.persisting.is_some() || self.highest == self.persisted {
            return Vec::new();
        }
        self.persisting = Some(self.highest.clone());
        vec![FencingAction::Persist(self.highest.clone())]
    }

    /// [`FencingAction::Persist`] has ended.
    pub fn on_persisted(&mut self, end: Result<(), String>) -> Vec<FencingAction<A>> {
        let Some(persisting) = self.persisting.take() else { return Vec::new() };
        let mut out = Vec::new();
        match end {
            Ok(()) => self.persisted = persisting,
            Err(why) => {
                // What waits for a term that is not on disk is not done; its owner will come again. The term itself was
                // seen, and nothing lower is taken: that needs no disk.
                for (_, _, act) in std::mem::take(&mut self.waiting) {
                    out.push(FencingAction::Reject(act, FencingRejected::NotPersisted(why.clone())));
                }
                return out;
            }
        }
        while let Some((role, term, _)) = self.waiting.front() {
            let (kept, seen) = (self.term(role), self.highest.get(role).copied().unwrap_or(0));
            if *term > kept {
                break;
            }
            let stale = (*term < seen).then_some(FencingRejected::StaleTerm { term: *term, highest: seen });
            let Some((_, _, act)) = self.waiting.pop_front() else { break };
            out.push(match stale {
                // A newer owner spoke while the older one's term was being stored.
                Some(refused) => {
                    self.stale_count += 1;
                    FencingAction::Reject(act, refused)
                }
                None => FencingAction::Accept(act),
            });
        }
        out.extend(self.persist());
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_term_is_on_disk_before_anything_is_done_under_it() {
        let mut guard = FencingGuard::new(BTreeMap::new());
        let terms = |term| BTreeMap::from([("versions".to_owned(), term)]);
        assert_eq!(guard.check("versions", 3, 'a'), [FencingAction::Persist(terms(3))]);
        assert_eq!(guard.check("versions", 3, 'b'), []);
        assert_eq!(guard.term("versions"), 0);
        assert_eq!(guard.on_persisted(Ok(())), [FencingAction::Accept('a'), FencingAction::Accept('b')]);
        assert_eq!(guard.check("versions", 3, 'c'), [FencingAction::Accept('c')]);
        let stale = FencingRejected::StaleTerm { term: 2, highest: 3 };
        assert_eq!(guard.check("versions", 2, 'd'), [FencingAction::Reject('d', stale)]);
        assert_eq!(guard.check("other", 1, 'e').len(), 1, "each role has terms of its own");
        assert_eq!(guard.stale_count(), 1);
    }

    #[test]
    fn a_newer_owner_that_speaks_while_a_term_is_stored_makes_what_waits_stale() {
        let mut guard = FencingGuard::new(BTreeMap::new());
        guard.check("d", 1, 'a');
        assert_eq!(guard.check("d", 2, 'b'), []);
        let out = guard.on_persisted(Ok(()));
        assert_eq!(out[0], FencingAction::Reject('a', FencingRejected::StaleTerm { term: 1, highest: 2 }));
        assert!(matches!(&out[1], FencingAction::Persist(terms) if terms["d"] == 2), "{out:?}");
        assert_eq!(guard.on_persisted(Ok(())), [FencingAction::Accept('b')]);
    }

    #[test]
    fn what_cannot_be_stored_is_not_done_and_the_old_owner_is_refused_all_the_same() {
        let mut guard = FencingGuard::new(BTreeMap::from([("d".to_owned(), 4)]));
        guard.check("d", u64::MAX, 'a');
        assert!(matches!(
            &guard.on_persisted(Err("full".into()))[..],
            [FencingAction::Reject('a', FencingRejected::NotPersisted(_))]
        ));
        assert!(matches!(
            &guard.check("d", 4, 'b')[..],
            [FencingAction::Reject('b', FencingRejected::StaleTerm { .. })]
        ));
        assert!(matches!(&guard.check("d", u64::MAX, 'c')[..], [FencingAction::Persist(_)]), "tried again");
        assert_eq!(guard.check("d", 0, 'z'), [FencingAction::Reject('z', FencingRejected::MissingTerm)]);
    }
}
