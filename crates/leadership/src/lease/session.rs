//! The lease from the side of the member that requests it.

use std::collections::BTreeMap;

use gaugestep_clock::Timestamp;

use super::LeaseTiming;

/// The hand-over of a role, for which this member no longer acts under `term`.
#[derive(Clone, Copy, Debug)]
struct Resignation {
    term: u64,
    /// The time of the hand-over, or of its last report by [`LeaseSession::stalled_handovers`].
    at: Timestamp,
}

/// The lease of one member, covering all its roles.
#[derive(Debug)]
pub struct LeaseSession {
    timing: LeaseTiming,
    /// `None` without a lease.
    expires_at: Option<Timestamp>,
    /// The log index that must be applied before the member acts, because roles may have changed while it was
    /// suspended.
    required_index: u64,
    /// The time of each request that was not granted yet, by number.
    requested_at: BTreeMap<u64, Timestamp>,
    last_number: u64,
    /// The earliest time of the next request; `None` if it is due at once.
    next_request_at: Option<Timestamp>,
    /// Hand-overs whose commit this member has not observed yet, by role.
    resignations: BTreeMap<String, Resignation>,
}

impl LeaseSession {
    /// Creates the session of a member without a lease. The numbers of requests continue from `last_number`,
    /// so that no number is used twice across restarts.
    pub fn new(timing: LeaseTiming, last_number: u64) -> Self {
        LeaseSession {
            timing,
            expires_at: None,
            required_index: 0,
            requested_at: BTreeMap::new(),
            last_number,
            next_request_at: None,
            resignations: BTreeMap::new(),
        }
    }

    /// Gives up the lease after a failure of the store. The member requests a lease again only after
    /// [`LeaseTiming::probation`].
    pub fn on_store_failure(&mut self, now: Timestamp) {
        self.expires_at = None;
        self.requested_at.clear();
        self.next_request_at = Some(now + self.timing.probation);
    }

    /// The number of the lease request to send now; `None` if no request is due.
    pub fn next_request(&mut self, now: Timestamp) -> Option<u64> {
        if self.next_request_at.is_some_and(|at| now < at) {
            return None;
        }
        self.next_request_at = Some(now + self.timing.renew_interval);
        self.last_number += 1;
        self.requested_at.retain(|_, at| now.duration_since(*at) < self.timing.duration);
        self.requested_at.insert(self.last_number, now);
        Some(self.last_number)
    }

    /// Handles the grant of the request with this number by a leader whose log was committed up to
    /// `committed_index`.
    pub fn on_granted(&mut self, number: u64, committed_index: u64) {
        let Some(requested_at) = self.requested_at.remove(&number) else { return };
        let expires_at = requested_at + self.timing.duration;
        self.expires_at = self.expires_at.max(Some(expires_at));
        self.required_index = self.required_index.max(committed_index);
        self.requested_at = self.requested_at.split_off(&number);
    }

    /// Whether the member, which has applied the log up to `applied_index`, has a valid lease at `now`.
    pub fn is_valid(&self, now: Timestamp, applied_index: u64) -> bool {
        self.expires_at.is_some_and(|at| now < at) && applied_index >= self.required_index
    }

    /// Whether the member may act at `now` for a role that it holds under this term according to its applied
    /// log.
    pub fn may_act(&self, now: Timestamp, applied_index: u64, role: &str, term: u64) -> bool {
        let has_resigned = self.resignations.get(role).is_some_and(|resignation| resignation.term >= term);
        self.is_valid(now, applied_index) && !has_resigned
    }

    /// Stops acting for a role under this term. Must be called before the hand-over of the role is proposed.
    pub fn resign(&mut self, now: Timestamp, role: &str, term: u64) {
        self.resignations.insert(role.to_owned(), Resignation { term, at: now });
    }

    /// Roles, with their terms, whose hand-over was not committed within [`LeaseTiming::probation`].
    ///
    /// `held_roles` are the roles that the member holds, with their terms. The member may act for a returned
    /// role only under a higher term, because the hand-over under the old term may still be committed. Each
    /// role is returned once per probation.
    pub fn stalled_handovers<'a>(
        &mut self,
        now: Timestamp,
        held_roles: impl Iterator<Item = (&'a str, u64)>,
    ) -> Vec<(String, u64)> {
        let held_terms: BTreeMap<&str, u64> = held_roles.collect();
        self.resignations
            .retain(|role, resignation| held_terms.get(role.as_str()) == Some(&resignation.term));
        let mut stalled = Vec::new();
        for (role, resignation) in &mut self.resignations {
            if now.duration_since(resignation.at) >= self.timing.probation {
                resignation.at = now;
                stalled.push((role.clone(), resignation.term));
            }
        }
        stalled
    }
}
