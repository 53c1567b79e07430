//! What each termination proves about its attempt.

use gaugestep_dispatch::interface::Outcome;

use super::Termination;

#[test]
fn only_what_proves_that_nothing_ran_has_an_outcome_that_says_so() {
    let outcomes = [
        (Termination::Served, Outcome::Served),
        (Termination::Shed, Outcome::Rejected),
        (Termination::Late, Outcome::Rejected),
        (Termination::Fault, Outcome::Failed),
        (Termination::DialRefused, Outcome::ConnectFailed),
        (Termination::DialTimedOut, Outcome::ConnectFailed),
        (Termination::NeverWritten, Outcome::ConnectFailed),
        (Termination::NotDialled, Outcome::NotSent),
        (Termination::ClientLeft, Outcome::NotSent),
        (Termination::TooLate, Outcome::NotSent),
        (Termination::Reset, Outcome::Reset),
        (Termination::Closed, Outcome::Reset),
        (Termination::Silent, Outcome::Reset),
        (Termination::Garbled, Outcome::Reset),
        (Termination::Cancelled, Outcome::Cancelled),
        (Termination::Deadline, Outcome::TimedOut),
    ];
    for (termination, outcome) in outcomes {
        assert_eq!(termination.outcome(), outcome, "{termination:?}");
    }
}
