//! A member's side of its lease.

use std::collections::BTreeMap;

use gaugestep_clock::Timestamp;

use super::LeaseTiming;

/// A role that this member hands over and no longer acts for.
#[derive(Clone, Copy, Debug)]
struct Resignation {
    term: u64,
    at: Timestamp,
}

/// A member's lease.
#[derive(Debug)]
pub struct LeaseSession {
    timing: LeaseTiming,
    expires_at: Option<Timestamp>,
    /// The log index that must be applied before the member acts: roles may have changed while it was suspended.
    required_index: u64,
    /// Requests that were not answered, by number, and when each was sent.
    requested: BTreeMap<u64, Timestamp>,
    last_number: u64,
    /// No request before this time.
    next_request_at: Option<Timestamp>,
    resigned: BTreeMap<String, Resignation>,
}

impl LeaseSession {
    /// A member without a lease. Numbers of requests follow `last_number`, so that none is used again after a restart.
    pub fn new(timing: LeaseTiming, last_number: u64) -> Self {
        LeaseSession {
            timing,
            expires_at: None,
            required_index: 0,
            requested: BTreeMap::new(),
            last_number,
            next_request_at: None,
            resigned: BTreeMap::new(),
        }
    }

    /// The member's store has failed: it acts for no role, and requests a lease again only after the probation.
    pub fn store_failed(&mut self, now: Timestamp) {
        self.expires_at = None;
        self.requested.clear();
        self.next_request_at = Some(now + self.timing.probation);
    }

    /// The number under which to request the lease now, if a request is due.
    pub fn next_request(&mut self, now: Timestamp) -> Option<u64> {
        if self.next_request_at.is_some_and(|at| now < at) {
            return None;
        }
        self.next_request_at = Some(now + self.timing.renew_interval);
        self.last_number += 1;
        self.requested.retain(|_, at| now.duration_since(*at) < self.timing.duration);
        self.requested.insert(self.last_number, now);
        Some(self.last_number)
    }

    /// The request of this number was granted by a leader that had committed up to `committed_index`.
    pub fn on_granted(&mut self, number: u64, committed_index: u64) {
        let Some(requested_at) = self.requested.remove(&number) else { return };
        let expires_at = requested_at + self.timing.duration;
        self.expires_at = self.expires_at.max(Some(expires_at));
        self.required_index = self.required_index.max(committed_index);
        self.requested = self.requested.split_off(&number);
    }

    /// Whether the member, having applied the log up to `applied_index`, has its lease at this moment.
    pub fn is_valid(&self, now: Timestamp, applied_index: u64) -> bool {
        self.expires_at.is_some_and(|at| now < at) && applied_index >= self.required_index
    }

    /// Whether the member, which holds the role under this term as far as it knows, may act for it at this moment.
    pub fn may_act(&self, now: Timestamp, applied_index: u64, role: &str, term: u64) -> bool {
        let resigned = self.resigned.get(role).is_some_and(|resignation| resignation.term >= term);
        self.is_valid(now, applied_index) && !resigned
    }

    /// The member hands a role over: it acts no more under this term, before anybody else can learn of it.
    pub fn resign(&mut self, now: Timestamp, role: &str, term: u64) {
        self.resigned.insert(role.to_owned(), Resignation { term, at: now });
    }

    /// Roles, with their terms, whose hand-over was not committed within [`LeaseTiming::probation`].
    ///
    /// `held` are the roles that the member holds and their terms. It continues only under a higher term, as the
    /// hand-over under the old one may still be committed. Each role is returned once per probation.
    pub fn stalled_handovers<'a>(
        &mut self,
        now: Timestamp,
        held: impl Iterator<Item = (&'a str, u64)>,
    ) -> Vec<(String, u64)> {
        let held: BTreeMap<&str, u64> = held.collect();
        self.resigned.retain(|role, resignation| held.get(role.as_str()) == Some(&resignation.term));
        let mut stalled = Vec::new();
        for (role, resignation) in &mut self.resigned {
            if now.duration_since(resignation.at) >= self.timing.probation {
                resignation.at = now;
                stalled.push((role.clone(), resignation.term));
            }
        }
        stalled
    }
}
