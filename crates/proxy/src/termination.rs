//! The ways in which an attempt or its connection can end.

use gaugestep_dispatch::interface::Outcome;

/// How an attempt or its connection ended. The variants are logged under their own names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Termination {
    /// The complete result was received.
    Served,
    /// The engine had no capacity for the query and did not run it.
    Shed,
    /// The engine did not run the query, because its time had passed.
    Late,
    /// The engine reported that the query failed.
    Fault,
    /// The engine refused the connection, or connecting failed for a reason that no other variant covers.
    DialRefused,
    /// The connection was not established in time.
    DialTimedOut,
    /// No byte of the command was written: no connection was available, the engine stopped accepting
    /// attempts, or the connection closed first.
    NeverWritten,
    /// The proxy could not connect because it lacked file descriptors, memory or local addresses.
    NotDialled,
    /// The client left before any byte of the command was written.
    ClientLeft,
    /// The latest time at which the command might be written passed before any byte of it was written.
    TooLate,
    /// The connection failed while it was read or written.
    Reset,
    /// The engine closed the connection, or the proxy closed it because it was idle or no longer used.
    Closed,
    /// The engine did not respond to a health check on the connection, or did not read from it.
    Silent,
    /// The engine sent an invalid message, or did not complete a message in time.
    Garbled,
    /// The proxy cancelled the attempt.
    Cancelled,
    /// The deadline of the request passed.
    Deadline,
}

impl Termination {
    /// The outcome that is reported to the dispatcher. A request that must not run twice is retried only
    /// after an outcome that proves that the attempt never ran. Only terminations that prove that the engine
    /// never received the complete request, or that it reported the request as not run, may therefore map to
    /// such an outcome.
    pub fn outcome(self) -> Outcome {
        match self {
            Termination::Served => Outcome::Served,
            Termination::Shed | Termination::Late => Outcome::Rejected,
            Termination::Fault => Outcome::Failed,
            Termination::DialRefused | Termination::DialTimedOut | Termination::NeverWritten => {
                Outcome::ConnectFailed
            }
            Termination::NotDialled | Termination::ClientLeft | Termination::TooLate => Outcome::NotSent,
            Termination::Reset | Termination::Closed | Termination::Silent | Termination::Garbled => {
                Outcome::Reset
            }
            Termination::Cancelled => Outcome::Cancelled,
            Termination::Deadline => Outcome::TimedOut,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/termination.rs"]
mod tests;
