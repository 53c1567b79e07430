//! The claims of this process that the other process of an upgrade has not answered.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::message::ClaimAnswer;

/// Time within which a claim must be answered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Receives the answer to a claim.
type AnswerSender = may::sync::mpsc::Sender<ClaimAnswer>;

/// The claims without an answer, by sequence number.
#[derive(Default)]
pub struct PendingClaims {
    next_sequence: u64,
    claims: HashMap<u64, (String, Instant, AnswerSender)>,
}

impl PendingClaims {
    /// Adds a claim that is sent at `now`. Returns its sequence number.
    pub fn add(&mut self, id: &str, now: Instant, answer: AnswerSender) -> u64 {
        self.next_sequence += 1;
        self.claims.insert(self.next_sequence, (id.to_owned(), now, answer));
        self.next_sequence
    }

    /// Whether a claim for this id has no answer yet.
    pub fn contains(&self, id: &str) -> bool {
        self.claims.values().any(|(claimed, ..)| claimed == id)
    }

    /// Passes an answer on. Ignores one that comes too late.
    pub fn answer(&mut self, sequence: u64, answer: ClaimAnswer) {
        if let Some((_, _, sender)) = self.claims.remove(&sequence) {
            // Sending cannot fail while the request waits for the answer.
            let _ = sender.send(answer);
        }
    }

    /// Answers the claims that are overdue at `now` as unknown.
    pub fn expire(&mut self, now: Instant) {
        let is_overdue = |sent_at: Instant| now.saturating_duration_since(sent_at) >= ANSWER_TIMEOUT;
        let claims = self.claims.iter();
        let overdue: Vec<u64> = claims
            .filter(|(_, (_, sent_at, _))| is_overdue(*sent_at))
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in overdue {
            self.answer(sequence, ClaimAnswer::Unknown);
        }
    }

    /// Answers all claims, because the other process has ended.
    pub fn grant_all(&mut self) {
        let sequences: Vec<u64> = self.claims.keys().copied().collect();
        for sequence in sequences {
            self.answer(sequence, ClaimAnswer::Granted);
        }
    }
}
