//! What a receiver of acts for the fleet refuses: everything under a term lower than the highest it has seen.
//!
//! A term is kept on disk before anything is done under it, or a receiver that restarts would obey an old owner again.
//! Acts that come while a term is being kept wait, in their order.

use std::collections::{BTreeMap, VecDeque};

/// Acts that wait for a term to be kept; further ones are refused.
const WAITING: usize = 64;

/// Why an act is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Its owner is not the present one any more.
    Stale {
        /// The act's term.
        term: u64,
        /// The highest seen.
        seen: u64,
    },
    /// A term of 0 is nobody's.
    NoTerm,
    /// The term could not be kept, and would be forgotten with the process.
    NotKept(String),
    /// Too many acts wait.
    Full,
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refused::Stale { term, seen } => {
                write!(f, "it is of term {term}, and term {seen} was seen: its owner is not the present one")
            }
            Refused::NoTerm => write!(f, "it has no term"),
            Refused::NotKept(why) => write!(f, "its term could not be stored: {why}"),
            Refused::Full => write!(f, "too many acts wait for a term to be stored"),
        }
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action<A> {
    /// Store these terms, all of them, then tell [`Receiver::kept`].
    Keep(BTreeMap<String, u64>),
    /// The act is of the present owner as far as anybody here has heard.
    Take(A),
    /// The act must not take effect.
    Refuse(A, Refused),
}

/// The receiver of acts `A`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Receiver<A> {
    /// The highest terms, as they are on disk.
    kept: BTreeMap<String, u64>,
    /// The highest seen; what is being stored.
    seen: BTreeMap<String, u64>,
    keeping: Option<BTreeMap<String, u64>>,
    waiting: VecDeque<(String, u64, A)>,
    stale: u64,
}

impl<A> Receiver<A> {
    /// A receiver that finds these terms on its disk.
    pub fn new(kept: BTreeMap<String, u64>) -> Self {
        Receiver { seen: kept.clone(), kept, keeping: None, waiting: VecDeque::new(), stale: 0 }
    }

    /// The highest term that is kept for a duty; 0: none.
    pub fn term(&self, duty: &str) -> u64 {
        self.kept.get(duty).copied().unwrap_or(0)
    }

    /// All terms that are kept.
    pub fn terms(&self) -> &BTreeMap<String, u64> {
        &self.kept
    }

    /// Acts refused for their old term so far.
    pub fn stale(&self) -> u64 {
        self.stale
    }

    /// An act for a duty under a term has come.
    pub fn act(&mut self, duty: &str, term: u64, act: A) -> Vec<Action<A>> {
        if term == 0 {
            return vec![Action::Refuse(act, Refused::NoTerm)];
        }
        let seen = self.seen.get(duty).copied().unwrap_or(0);
        if term < seen {
            self.stale += 1;
            return vec![Action::Refuse(act, Refused::Stale { term, seen })];
        }
        if term == self.term(duty) && self.waiting.is_empty() {
            return vec![Action::Take(act)];
        }
        if self.waiting.len() >= WAITING {
            return vec![Action::Refuse(act, Refused::Full)];
        }
        self.seen.insert(duty.to_owned(), term);
        self.waiting.push_back((duty.to_owned(), term, act));
        self.keep()
    }

    /// Terms are stored one after the other, each time all that were seen by then.
    fn keep<B>(&mut self) -> Vec<Action<B>> {
        if self.keeping.is_some() || self.seen == self.kept {
            return Vec::new();
        }
        self.keeping = Some(self.seen.clone());
        vec![Action::Keep(self.seen.clone())]
    }

    /// [`Action::Keep`] has ended.
    pub fn kept(&mut self, end: Result<(), String>) -> Vec<Action<A>> {
        let Some(keeping) = self.keeping.take() else { return Vec::new() };
        let mut out = Vec::new();
        match end {
            Ok(()) => self.kept = keeping,
            Err(why) => {
                // What waits for a term that is not on disk is not done; its owner will come again. The term itself was
                // seen, and nothing lower is taken: that needs no disk.
                for (_, _, act) in std::mem::take(&mut self.waiting) {
                    out.push(Action::Refuse(act, Refused::NotKept(why.clone())));
                }
                return out;
            }
        }
        while let Some((duty, term, _)) = self.waiting.front() {
            let (kept, seen) = (self.term(duty), self.seen.get(duty).copied().unwrap_or(0));
            if *term > kept {
                break;
            }
            let stale = (*term < seen).then_some(Refused::Stale { term: *term, seen });
            let Some((_, _, act)) = self.waiting.pop_front() else { break };
            out.push(match stale {
                // A newer owner spoke while the older one's term was being stored.
                Some(refused) => {
                    self.stale += 1;
                    Action::Refuse(act, refused)
                }
                None => Action::Take(act),
            });
        }
        out.extend(self.keep());
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_term_is_on_disk_before_anything_is_done_under_it() {
        let mut receiver = Receiver::new(BTreeMap::new());
        let terms = |term| BTreeMap::from([("versions".to_owned(), term)]);
        assert_eq!(receiver.act("versions", 3, 'a'), [Action::Keep(terms(3))]);
        assert_eq!(receiver.act("versions", 3, 'b'), []);
        assert_eq!(receiver.term("versions"), 0);
        assert_eq!(receiver.kept(Ok(())), [Action::Take('a'), Action::Take('b')]);
        assert_eq!(receiver.act("versions", 3, 'c'), [Action::Take('c')]);
        let stale = Refused::Stale { term: 2, seen: 3 };
        assert_eq!(receiver.act("versions", 2, 'd'), [Action::Refuse('d', stale)]);
        assert_eq!(receiver.act("other", 1, 'e').len(), 1, "each duty has terms of its own");
        assert_eq!(receiver.stale(), 1);
    }

    #[test]
    fn a_newer_owner_that_speaks_while_a_term_is_stored_makes_what_waits_stale() {
        let mut receiver = Receiver::new(BTreeMap::new());
        receiver.act("d", 1, 'a');
        assert_eq!(receiver.act("d", 2, 'b'), []);
        let out = receiver.kept(Ok(()));
        assert_eq!(out[0], Action::Refuse('a', Refused::Stale { term: 1, seen: 2 }));
        assert!(matches!(&out[1], Action::Keep(terms) if terms["d"] == 2), "{out:?}");
        assert_eq!(receiver.kept(Ok(())), [Action::Take('b')]);
    }

    #[test]
    fn what_cannot_be_stored_is_not_done_and_the_old_owner_is_refused_all_the_same() {
        let mut receiver = Receiver::new(BTreeMap::from([("d".to_owned(), 4)]));
        receiver.act("d", u64::MAX, 'a');
        assert!(matches!(&receiver.kept(Err("full".into()))[..], [Action::Refuse('a', Refused::NotKept(_))]));
        assert!(matches!(&receiver.act("d", 4, 'b')[..], [Action::Refuse('b', Refused::Stale { .. })]));
        assert!(matches!(&receiver.act("d", u64::MAX, 'c')[..], [Action::Keep(_)]), "tried again");
        assert_eq!(receiver.act("d", 0, 'z'), [Action::Refuse('z', Refused::NoTerm)]);
    }
}
