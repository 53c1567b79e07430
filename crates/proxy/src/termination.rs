//! How an attempt, or the connection that carried it, can end.

use gaugestep_dispatch::interface::Outcome;

/// Every way in which an attempt ends. What it proves about the attempt is said once, in [`Termination::outcome`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Termination {
    /// The whole result is here.
    Served,
    /// The database has no room for it.
    Shed,
    /// The database found its time over before it ran.
    Late,
    /// The database sent an error.
    Fault,
    /// The connection was refused.
    DialRefused,
    /// The connection did not come up in time.
    DialTimedOut,
    /// It was still waiting for its connection when its database left the list, or its connection closed before
    /// the first byte of it was written.
    NeverWritten,
    /// The proxy itself could not dial: it has no descriptor or address left.
    NotDialled,
    /// Its client had left before the first byte of it was written.
    ClientLeft,
    /// The last moment at which it might be sent had passed before the first byte of it was written.
    TooLate,
    /// The connection was reset.
    Reset,
    /// The database closed the connection.
    Closed,
    /// The connection was up, but a check of it came back with nothing.
    Silent,
    /// The database sent something that is no answer.
    Garbled,
    /// The proxy called the attempt off.
    Cancelled,
    /// The deadline came.
    Deadline,
}

impl Termination {
    /// What the module is told. Guards the rule that nothing unsafe runs twice: only what proves that the
    /// database never saw the whole request may map to an outcome that says so.
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
