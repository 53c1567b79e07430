//! Proposals are retried until they are committed or time out.

use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_leadership::group_state::Command;
use gaugestep_leadership::pending_proposals::{
    Due, MAX_PENDING, PROPOSAL_RETRY_INTERVAL, PROPOSAL_TIMEOUT, PendingProposals, Proposal, TooManyProposals,
};

#[test]
fn a_lost_proposal_is_retried_and_times_out() {
    let mut proposals = PendingProposals::new(7 << 32);
    let start = Timestamp::ORIGIN;
    let command = Command { duty: "d".into(), ..Command::default() };
    let number = proposals.add_command(start, command.clone()).unwrap();
    assert_eq!(number, (7 << 32) + 1, "numbers continue from the last number");
    let membership_change = proposals.add_membership_change(start).unwrap();
    assert_eq!(proposals.due(start).propose, [Proposal { number, command: command.clone() }]);
    assert_eq!(proposals.due(start + PROPOSAL_RETRY_INTERVAL - Duration::from_millis(1)), Due::default());
    assert_eq!(
        proposals.due(start + PROPOSAL_RETRY_INTERVAL).propose,
        [Proposal { number, command: command.clone() }],
        "a change of membership is not proposed twice"
    );
    assert!(proposals.contains(|pending| *pending == command));
    assert!(proposals.complete(number));
    assert!(!proposals.complete(number), "a command that is committed twice completes once");
    assert_eq!(proposals.due(start + PROPOSAL_TIMEOUT).timed_out, [membership_change]);
    let results: Vec<Result<u64, TooManyProposals>> =
        (0..=MAX_PENDING).map(|_| proposals.add_membership_change(start)).collect();
    assert!(results[MAX_PENDING - 1].is_ok());
    assert!(results[MAX_PENDING].is_err());
}
