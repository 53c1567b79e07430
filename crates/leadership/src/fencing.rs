//! The fence at a receiver: it rejects every message under a term lower than the highest that it has seen.
//!
//! A term is persisted before any message under it is accepted, or a receiver that restarts would obey an earlier
//! holder again. Messages that arrive while a term is being persisted wait, in their order.

use std::collections::{BTreeMap, VecDeque};

use thiserror::Error;

/// Messages that may wait for a term to be persisted; further ones are rejected.
const MAX_WAITING: usize = 64;

/// Why a message is rejected; the text is sent to the holder.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FencingRejected {
    /// Its sender does not hold the role any more.
    #[error("it is of term {term}, and term {highest} was seen: its owner is not the present one")]
    StaleTerm {
        /// The message's term.
        term: u64,
        /// The highest term seen.
        highest: u64,
    },
    /// Its term is 0, which no holder has.
    #[error("it has no term")]
    MissingTerm,
    /// Its term could not be persisted, and would be forgotten with the process.
    #[error("its term could not be stored: {0}")]
    NotPersisted(#[source] PersistError),
    /// Too many messages wait.
    #[error("too many acts wait for a term to be stored")]
    QueueFull,
}

/// The embedder could not persist the terms.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{reason}")]
pub struct PersistError {
    reason: String,
}

impl PersistError {
    /// An error with this reason. Every message that waits is rejected with it, so it is kept as text.
    pub fn new(reason: impl std::fmt::Display) -> Self {
        PersistError { reason: reason.to_string() }
    }
}

/// What the embedder has to do, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FencingAction<M> {
    /// Persist these terms, the highest of each role, then call [`FencingGuard::on_persisted`].
    Persist(BTreeMap<String, u64>),
    /// Process the message: its sender is the latest holder that this receiver knows of.
    Accept(M),
    /// The message must not take effect.
    Reject(M, FencingRejected),
}

/// A message that waits for its term to be persisted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Waiting<M> {
    role: String,
    term: u64,
    message: M,
}

/// The fence of one receiver of messages `M`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FencingGuard<M> {
    /// The highest terms, as they are on disk.
    persisted: BTreeMap<String, u64>,
    /// The highest terms seen, on disk or not.
    highest: BTreeMap<String, u64>,
    /// The terms that are being written.
    persisting: Option<BTreeMap<String, u64>>,
    waiting: VecDeque<Waiting<M>>,
    stale_count: u64,
}

impl<M> FencingGuard<M> {
    /// The fence of a receiver that finds these terms on its disk.
    pub fn new(persisted: BTreeMap<String, u64>) -> Self {
        FencingGuard {
            highest: persisted.clone(),
            persisted,
            persisting: None,
            waiting: VecDeque::new(),
            stale_count: 0,
        }
    }

    /// The highest term that is persisted for a role; 0: none.
    pub fn term(&self, role: &str) -> u64 {
        self.persisted.get(role).copied().unwrap_or(0)
    }

    /// The highest persisted term of each role.
    pub fn terms(&self) -> &BTreeMap<String, u64> {
        &self.persisted
    }

    /// Messages rejected for a stale term so far.
    pub fn stale_count(&self) -> u64 {
        self.stale_count
    }

    /// Checks a message that arrived for a role under a term. No action is returned while the message waits.
    pub fn check(&mut self, role: &str, term: u64, message: M) -> Vec<FencingAction<M>> {
        if term == 0 {
            return vec![FencingAction::Reject(message, FencingRejected::MissingTerm)];
        }
        let highest = self.highest_term(role);
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
        self.waiting.push_back(Waiting { role: role.to_owned(), term, message });
        Vec::from_iter(self.persist())
    }

    /// The write that [`FencingAction::Persist`] asked for has ended.
    pub fn on_persisted(&mut self, result: Result<(), PersistError>) -> Vec<FencingAction<M>> {
        let Some(persisting) = self.persisting.take() else { return Vec::new() };
        if let Err(error) = result {
            return self.reject_waiting(&error);
        }
        self.persisted = persisting;
        let mut actions = self.release_waiting();
        actions.extend(self.persist());
        actions
    }

    fn highest_term(&self, role: &str) -> u64 {
        self.highest.get(role).copied().unwrap_or(0)
    }

    /// One write at a time; each has all terms that were seen by then.
    fn persist(&mut self) -> Option<FencingAction<M>> {
        if self.persisting.is_some() || self.highest == self.persisted {
            return None;
        }
        self.persisting = Some(self.highest.clone());
        Some(FencingAction::Persist(self.highest.clone()))
    }

    /// Rejects what waits for a term that is not on disk; its holder sends it again. The term was seen all the same, and
    /// lower ones stay rejected: that needs no disk.
    fn reject_waiting(&mut self, error: &PersistError) -> Vec<FencingAction<M>> {
        let reject = |waiting: Waiting<M>| {
            FencingAction::Reject(waiting.message, FencingRejected::NotPersisted(error.clone()))
        };
        std::mem::take(&mut self.waiting).into_iter().map(reject).collect()
    }

    /// Releases the messages whose term is on disk by now, up to the first whose term is not.
    fn release_waiting(&mut self) -> Vec<FencingAction<M>> {
        let mut actions = Vec::new();
        while let Some(waiting) = self.waiting.pop_front() {
            if waiting.term > self.term(&waiting.role) {
                self.waiting.push_front(waiting);
                break;
            }
            let (term, highest) = (waiting.term, self.highest_term(&waiting.role));
            actions.push(if term < highest {
                // A newer holder sent a message while the older one's term was being written.
                self.stale_count += 1;
                FencingAction::Reject(waiting.message, FencingRejected::StaleTerm { term, highest })
            } else {
                FencingAction::Accept(waiting.message)
            });
        }
        actions
    }
}
