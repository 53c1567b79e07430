//! What this member has proposed and is not agreed on yet: when it is proposed anew, and when whoever asked is told that it
//! cannot be had. A message may be lost, a leader may change; an act that comes through twice does no harm by itself.

use std::collections::BTreeMap;

use gaugestep_config::schema::Act;

/// How long something may take to be agreed on, in milliseconds.
pub const PROPOSAL_TIMEOUT: f64 = 4_000.0;
/// What is not agreed on after this time is proposed anew, in milliseconds.
pub const PROPOSAL_RETRY_INTERVAL: f64 = 1_000.0;
/// Proposals that may wait together.
pub const MAX_PENDING: usize = 1_024;

struct Pending {
    /// None: a change of members, which is proposed once.
    act: Option<Act>,
    since: f64,
    proposed_at: f64,
}

/// What is due.
#[derive(Debug, Default, PartialEq)]
pub struct Due {
    /// To be proposed, once more or for the first time: number and act.
    pub propose: Vec<(u64, Act)>,
    /// Given up: whoever asked is told.
    pub timed_out: Vec<u64>,
}

/// All proposals of one member.
pub struct PendingProposals {
    next: u64,
    pending: BTreeMap<u64, Pending>,
}

impl PendingProposals {
    /// No proposal yet. Numbers begin above `last`: what was proposed before under a lower one may still come through, and
    /// must not be taken for one of these.
    pub fn new(last: u64) -> Self {
        PendingProposals { next: last, pending: BTreeMap::new() }
    }

    /// Something is to be agreed on; its number, or none if too much waits.
    pub fn add(&mut self, now: f64, act: Option<Act>) -> Option<u64> {
        if self.pending.len() >= MAX_PENDING {
            return None;
        }
        self.next += 1;
        let proposed_at = if act.is_some() { f64::NEG_INFINITY } else { now };
        self.pending.insert(self.next, Pending { act, since: now, proposed_at });
        Some(self.next)
    }

    /// What is due by now.
    pub fn due(&mut self, now: f64) -> Due {
        let mut due = Due::default();
        for (number, pending) in &mut self.pending {
            if now - pending.since >= PROPOSAL_TIMEOUT {
                due.timed_out.push(*number);
            } else if now - pending.proposed_at >= PROPOSAL_RETRY_INTERVAL {
                pending.proposed_at = now;
                due.propose.extend(pending.act.clone().map(|act| (*number, act)));
            }
        }
        due.timed_out.iter().for_each(|number| drop(self.pending.remove(number)));
        due
    }

    /// Something was agreed on. False: it was given up, or this is its second time.
    pub fn complete(&mut self, number: u64) -> bool {
        self.pending.remove(&number).is_some()
    }

    /// Whether something like this waits already.
    pub fn contains(&self, like: impl Fn(&Act) -> bool) -> bool {
        self.pending.values().filter_map(|it| it.act.as_ref()).any(like)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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
}
