//! How an attempt, or the connection that carried it, can end.

use gaugestep_dispatch::interface::Outcome;

/// Every way in which an attempt ends. [`Termination::outcome`] says for each what it proves about the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Termination {
    /// The complete result has come.
    Served,
    /// The database has no capacity for it.
    Shed,
    /// The database found its time over before it ran.
    Late,
    /// The database sent an error.
    Fault,
    /// The connection was refused.
    DialRefused,
    /// The connection was not established in time.
    DialTimedOut,
    /// It was waiting for its connection when its database left the list, or when the connection closed before the first
    /// byte of it was written.
    NeverWritten,
    /// The proxy itself could not dial: it has no descriptor or local address left.
    NotDialled,
    /// Its client had left before the first byte of it was written.
    ClientLeft,
    /// The last moment at which it might be sent had passed before the first byte of it was written.
    TooLate,
    /// The connection was reset.
    Reset,
    /// The database closed the connection.
    Closed,
    /// The connection was established, but a health check on it got no reply.
    Silent,
    /// The database sent something that is not a valid answer.
    Garbled,
    /// The proxy cancelled the attempt.
    Cancelled,
    /// The deadline passed.
    Deadline,
}

impl Termination {
    /// The outcome that the dispatcher is given. A request that must not run twice is repeated only after an outcome that
    /// says that it never ran; so only what proves that the database never saw the complete request may map to one.
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
