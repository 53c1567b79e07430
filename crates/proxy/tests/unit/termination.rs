//! Tests the outcome of each termination.

use gaugestep_dispatch::interface::Outcome;

use super::Termination;

#[test]
fn only_terminations_that_prove_that_nothing_ran_map_to_an_outcome_that_allows_a_retry() {
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
