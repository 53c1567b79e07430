//! Proposals of this member that are not committed yet: when each is proposed again, and when it times out.
//!
//! A proposal may be lost with a message or a leader, and is therefore proposed again until it is committed.
//! A command may thus be committed twice. The second time it changes nothing, except that a publication
//! without a key publishes its document again under the next number.

use std::collections::BTreeMap;
use std::time::Duration;

use gaugestep_clock::Timestamp;
use thiserror::Error;

use crate::group_state::Command;

/// The time after which a proposal that is not committed times out.
pub const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(4);
/// The interval at which a command that is not committed is proposed again.
pub const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of proposals that are not committed yet.
pub const MAX_PENDING: usize = 1_024;

/// The error if [`MAX_PENDING`] proposals are pending already. Its text is the response to the operator.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("too much waits to be agreed on")]
pub struct TooManyProposals;

struct Pending {
    /// `None` for a change of membership, which the embedder proposes itself.
    command: Option<Command>,
    added_at: Timestamp,
    /// The time of the last proposal; `None` if it was not proposed yet.
    proposed_at: Option<Timestamp>,
}

/// A command to propose.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// Number of the proposal.
    pub number: u64,
    /// The command to propose.
    pub command: Command,
}

/// The proposals that are due.
#[derive(Debug, Default, PartialEq)]
pub struct Due {
    /// Commands to propose, for the first time or again.
    pub propose: Vec<Proposal>,
    /// Numbers of the proposals that timed out and were discarded.
    pub timed_out: Vec<u64>,
}

/// The pending proposals of one member.
pub struct PendingProposals {
    last_number: u64,
    pending: BTreeMap<u64, Pending>,
}

impl PendingProposals {
    /// Creates an empty set. The numbers of proposals continue from `last_number`, so that an earlier
    /// proposal of this process that is committed late is not mistaken for a new one.
    pub fn new(last_number: u64) -> Self {
        PendingProposals { last_number, pending: BTreeMap::new() }
    }

    /// Adds a command, which the next call of [`PendingProposals::due`] returns. Returns the number of the
    /// proposal.
    ///
    /// # Errors
    ///
    /// [`TooManyProposals`] if [`MAX_PENDING`] proposals are pending.
    pub fn add_command(&mut self, now: Timestamp, command: Command) -> Result<u64, TooManyProposals> {
        self.add(Pending { command: Some(command), added_at: now, proposed_at: None })
    }

    /// Adds a change of membership, which the embedder proposes itself, once. Returns the number of the
    /// proposal.
    ///
    /// # Errors
    ///
    /// [`TooManyProposals`] if [`MAX_PENDING`] proposals are pending.
    pub fn add_membership_change(&mut self, now: Timestamp) -> Result<u64, TooManyProposals> {
        self.add(Pending { command: None, added_at: now, proposed_at: Some(now) })
    }

    fn add(&mut self, pending: Pending) -> Result<u64, TooManyProposals> {
        if self.pending.len() >= MAX_PENDING {
            return Err(TooManyProposals);
        }
        self.last_number += 1;
        self.pending.insert(self.last_number, pending);
        Ok(self.last_number)
    }

    /// Returns the commands to propose now and the proposals that have timed out, which are removed.
    pub fn due(&mut self, now: Timestamp) -> Due {
        let mut due = Due::default();
        for (number, pending) in &mut self.pending {
            if now.duration_since(pending.added_at) >= PROPOSAL_TIMEOUT {
                due.timed_out.push(*number);
            } else if pending.proposed_at.is_none_or(|at| now.duration_since(at) >= PROPOSAL_RETRY_INTERVAL) {
                pending.proposed_at = Some(now);
                let command = pending.command.clone();
                due.propose.extend(command.map(|command| Proposal { number: *number, command }));
            }
        }
        for number in &due.timed_out {
            self.pending.remove(number);
        }
        due
    }

    /// Removes a proposal that was committed. Returns false if it timed out or was completed before.
    pub fn complete(&mut self, number: u64) -> bool {
        self.pending.remove(&number).is_some()
    }

    /// Whether a pending command satisfies the predicate.
    pub fn contains(&self, predicate: impl Fn(&Command) -> bool) -> bool {
        self.pending.values().filter_map(|pending| pending.command.as_ref()).any(predicate)
    }
}
