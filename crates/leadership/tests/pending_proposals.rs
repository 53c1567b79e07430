//! Tests of `pending_proposals`.

use gaugestep_config::schema::Act;
use gaugestep_leadership::pending_proposals::{
    Due, MAX_PENDING, PROPOSAL_RETRY_INTERVAL, PROPOSAL_TIMEOUT, PendingProposals,
};

#[test]
fn what_is_lost_is_proposed_anew_and_given_up_in_the_end() {
    let mut proposals = PendingProposals::new(7 << 32);
    let act = Act { duty: "d".into(), ..Act::default() };
    let number = proposals.add(0.0, Some(act.clone())).unwrap();
    assert_eq!(number, (7 << 32) + 1, "none is used twice by one process");
    let change = proposals.add(0.0, None).unwrap();
    assert_eq!(proposals.due(0.0).propose, [(number, act.clone())]);
    assert_eq!(proposals.due(PROPOSAL_RETRY_INTERVAL - 1.0), Due::default());
    assert_eq!(
        proposals.due(PROPOSAL_RETRY_INTERVAL).propose,
        [(number, act.clone())],
        "a change of members is not told twice"
    );
    assert!(proposals.contains(|it| *it == act) && proposals.complete(number));
    assert!(!proposals.complete(number), "an act that comes through twice has ended once");
    assert_eq!(proposals.due(PROPOSAL_TIMEOUT).timed_out, [change]);
    let full: Vec<Option<u64>> = (0..=MAX_PENDING).map(|_| proposals.add(0.0, None)).collect();
    assert!(full[MAX_PENDING].is_none() && full[MAX_PENDING - 1].is_some());
}
