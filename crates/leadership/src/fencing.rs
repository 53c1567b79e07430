//! Fencing at a receiver: rejects every message whose term is below the highest term that the receiver has
//! received.
//!
//! A term is persisted before any message under it is accepted; otherwise a receiver that restarts would
//! accept messages of a former holder. Messages that arrive while a term is being persisted wait in the order
//! of arrival.

use std::collections::{BTreeMap, VecDeque};

use thiserror::Error;

/// The limit of messages that wait for a term to be persisted; further messages are rejected.
const MAX_WAITING_MESSAGES: usize = 64;

/// The reason why a message is rejected. Its text is sent to the sender of the message.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FencingRejected {
    /// The sender of the message no longer holds the role.
    #[error("it is of term {term}, and term {highest} was seen: its owner is not the present one")]
    StaleTerm {
        /// Term of the message.
        term: u64,
        /// The highest term of the role that was received.
        highest: u64,
    },
    /// The term of the message is 0, which no holder has.
    #[error("it has no term")]
    MissingTerm,
    /// The term could not be persisted, so that it would be lost when the process restarts.
    #[error("its term could not be stored: {0}")]
    NotPersisted(#[source] PersistError),
    /// Too many messages wait for a term to be persisted.
    #[error("too many acts wait for a term to be stored")]
    QueueFull,
}

/// The error of an embedder that could not persist the terms.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{reason}")]
pub struct PersistError {
    reason: String,
}

impl PersistError {
    /// Creates an error with this reason. The reason is stored as text because every waiting message is
    /// rejected with a copy of the error.
    pub fn new(reason: impl std::fmt::Display) -> Self {
        PersistError { reason: reason.to_string() }
    }
}

/// An action for the embedder. Actions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FencingAction<M> {
    /// Persist the highest term of each role, then call [`FencingGuard::on_persisted`].
    Persist(BTreeMap<String, u64>),
    /// Process the message: it has the highest term of the role that this receiver has received.
    Accept(M),
    /// Reject the message for this reason; it must not take effect.
    Reject(M, FencingRejected),
}

/// A message that waits for its term to be persisted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct WaitingMessage<M> {
    role: String,
    term: u64,
    message: M,
}

/// The fencing state of one receiver of messages `M`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FencingGuard<M> {
    /// The highest term of each role on disk.
    persisted: BTreeMap<String, u64>,
    /// The highest term of each role that was received, on disk or not.
    highest: BTreeMap<String, u64>,
    /// The terms that are being written; `None` if no write is under way.
    persisting: Option<BTreeMap<String, u64>>,
    waiting: VecDeque<WaitingMessage<M>>,
    stale_count: u64,
}

impl<M> FencingGuard<M> {
    /// Creates the guard of a receiver that has these terms on disk.
    pub fn new(persisted: BTreeMap<String, u64>) -> Self {
        FencingGuard {
            highest: persisted.clone(),
            persisted,
            persisting: None,
            waiting: VecDeque::new(),
            stale_count: 0,
        }
    }

    /// The highest persisted term of a role; 0 if there is none.
    pub fn term(&self, role: &str) -> u64 {
        self.persisted.get(role).copied().unwrap_or(0)
    }

    /// The highest persisted term of each role.
    pub fn terms(&self) -> &BTreeMap<String, u64> {
        &self.persisted
    }

    /// The number of messages that were rejected for a stale term.
    pub fn stale_count(&self) -> u64 {
        self.stale_count
    }

    /// Checks the term of a message for a role. Returns no action for the message while it waits for its term
    /// to be persisted.
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
        if self.waiting.len() >= MAX_WAITING_MESSAGES {
            return vec![FencingAction::Reject(message, FencingRejected::QueueFull)];
        }
        self.highest.insert(role.to_owned(), term);
        self.waiting.push_back(WaitingMessage { role: role.to_owned(), term, message });
        Vec::from_iter(self.persist())
    }

    /// Handles the result of the write that [`FencingAction::Persist`] requested.
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

    /// Starts a write of all terms that were received, unless one is under way or every term is on disk.
    fn persist(&mut self) -> Option<FencingAction<M>> {
        if self.persisting.is_some() || self.highest == self.persisted {
            return None;
        }
        self.persisting = Some(self.highest.clone());
        Some(FencingAction::Persist(self.highest.clone()))
    }

    /// Rejects all waiting messages after a failed write; their senders send them again. The received terms
    /// stay in `highest`, so that messages with lower terms are still rejected.
    fn reject_waiting(&mut self, error: &PersistError) -> Vec<FencingAction<M>> {
        let reject = |waiting: WaitingMessage<M>| {
            FencingAction::Reject(waiting.message, FencingRejected::NotPersisted(error.clone()))
        };
        std::mem::take(&mut self.waiting).into_iter().map(reject).collect()
    }

    /// Accepts or rejects the waiting messages whose term is on disk, up to the first one whose term is not.
    fn release_waiting(&mut self) -> Vec<FencingAction<M>> {
        let mut actions = Vec::new();
        while let Some(waiting) = self.waiting.pop_front() {
            if waiting.term > self.term(&waiting.role) {
                self.waiting.push_front(waiting);
                break;
            }
            let (term, highest) = (waiting.term, self.highest_term(&waiting.role));
            actions.push(if term < highest {
                // A message of a newer holder arrived while this term was being written.
                self.stale_count += 1;
                FencingAction::Reject(waiting.message, FencingRejected::StaleTerm { term, highest })
            } else {
                FencingAction::Accept(waiting.message)
            });
        }
        actions
    }
}
