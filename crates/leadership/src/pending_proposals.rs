//! Commands that this member has proposed and that are not committed yet: when each is proposed again, and when its
//! caller learns that it timed out.
//!
//! A proposal may be lost with a message or a leader. A command that is committed twice does no harm by itself.

use std::collections::BTreeMap;
use std::time::Duration;

use gaugestep_clock::Timestamp;
use thiserror::Error;

use crate::group_state::Command;

/// How long a proposal may take to be committed.
pub const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(4);
/// A command that is not committed is proposed again at this interval.
pub const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The most proposals that may wait together.
pub const MAX_PENDING: usize = 1_024;

/// Too many proposals wait; the text is the reply to the operator.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("too much waits to be agreed on")]
pub struct TooManyProposals;

struct Pending {
    /// `None`: a change of membership, which is proposed once.
    command: Option<Command>,
    since: Timestamp,
    /// When it was proposed last; `None`: not yet.
    proposed_at: Option<Timestamp>,
}

/// A command to propose.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// Its number.
    pub number: u64,
    /// The command.
    pub command: Command,
}

/// What is due.
#[derive(Debug, Default, PartialEq)]
pub struct Due {
    /// To be proposed, for the first time or again.
    pub propose: Vec<Proposal>,
    /// Numbers of the proposals that timed out and are forgotten.
    pub timed_out: Vec<u64>,
}

/// The proposals of one member.
pub struct PendingProposals {
    last_number: u64,
    pending: BTreeMap<u64, Pending>,
}

impl PendingProposals {
    /// No proposals. Numbers follow `last_number`: an earlier proposal of this process that is committed late must not
    /// be taken for a new one.
    pub fn new(last_number: u64) -> Self {
        PendingProposals { last_number, pending: BTreeMap::new() }
    }

    /// Adds a command, which [`PendingProposals::due`] returns next; its number.
    ///
    /// # Errors
    ///
    /// [`TooManyProposals`] if [`MAX_PENDING`] wait.
    pub fn add_command(&mut self, now: Timestamp, command: Command) -> Result<u64, TooManyProposals> {
        self.add(Pending { command: Some(command), since: now, proposed_at: None })
    }

    /// Adds a change of membership, which the embedder proposes itself, once; its number.
    ///
    /// # Errors
    ///
    /// [`TooManyProposals`] if [`MAX_PENDING`] wait.
    pub fn add_membership_change(&mut self, now: Timestamp) -> Result<u64, TooManyProposals> {
        self.add(Pending { command: None, since: now, proposed_at: Some(now) })
    }

    fn add(&mut self, pending: Pending) -> Result<u64, TooManyProposals> {
        if self.pending.len() >= MAX_PENDING {
            return Err(TooManyProposals);
        }
        self.last_number += 1;
        self.pending.insert(self.last_number, pending);
        Ok(self.last_number)
    }

    /// What is due by now.
    pub fn due(&mut self, now: Timestamp) -> Due {
        let mut due = Due::default();
        for (number, pending) in &mut self.pending {
            if now.duration_since(pending.since) >= PROPOSAL_TIMEOUT {
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

    /// A proposal was committed. False: it timed out before, or was committed twice.
    pub fn complete(&mut self, number: u64) -> bool {
        self.pending.remove(&number).is_some()
    }

    /// Whether a command like this waits.
    pub fn contains(&self, predicate: impl Fn(&Command) -> bool) -> bool {
        self.pending.values().filter_map(|pending| pending.command.as_ref()).any(predicate)
    }
}
