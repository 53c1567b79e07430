//! Which proxy has which ordinal, as decided by the lease holder of the role that manages the roster.
//!
//! A proxy uses its ordinal while a control server confirms it, each time for [`LEASE_DURATION`]. A control
//! server confirms only ordinals of the committed roster, and only while its own lease is valid, so it lags
//! behind a change by [`MEMBER_LEASE`] at most. The manager frees the ordinal of a proxy that has sent no
//! heartbeat for [`ABSENT_AFTER`], and assigns a free ordinal again only after [`REUSE_DELAY`], which is
//! longer than both leases together. Two proxies therefore never use the same ordinal at the same time,
//! whichever proxies, control servers or connections are suspended.
//!
//! New proxies get free ordinals first and further ones at the end. Remaining gaps are closed: the proxy with
//! the highest ordinal moves to the lowest free one, one proxy at a time, as a move replaces the complete
//! subset of the proxy.

use std::collections::BTreeMap;
use std::time::Duration;

use gaugestep_clock::Timestamp;

use crate::ordinal_lease::LEASE_DURATION;
use crate::position::{MAX_ORDINALS, OrdinalAssignment};

/// The lease of a member: how far a control server that confirms ordinals may lag behind the committed
/// roster.
pub const MEMBER_LEASE: Duration = Duration::from_secs(2);
/// A proxy counts as gone if no control server has received a heartbeat from it for this long.
pub const ABSENT_AFTER: Duration = Duration::from_secs(6);
/// How long an ordinal stays free before it is assigned again: both leases, and a tenth more, as clocks may
/// differ in rate.
pub const REUSE_DELAY: Duration = Duration::from_millis(7_700);
const _: () =
    assert!(REUSE_DELAY.as_millis() * 10 >= (LEASE_DURATION.as_millis() + MEMBER_LEASE.as_millis()) * 11);

/// The largest number of proxies whose heartbeats are tracked. It limits the memory used for names that get
/// no ordinal.
const MAX_TRACKED_PROXIES: usize = 2 * MAX_ORDINALS as usize;

/// The assignment of ordinals to proxies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    /// Increases by one with each change.
    pub epoch: u64,
    /// The name of the proxy with each ordinal; empty where the ordinal is free.
    pub names: Vec<String>,
}

impl Roster {
    /// The ordinal of the proxy with this name; `None` if it has none.
    pub fn ordinal_of(&self, name: &str) -> Option<OrdinalAssignment> {
        let ordinal = self.names.iter().position(|other| other == name && !name.is_empty())?;
        Some(OrdinalAssignment { ordinal: ordinal as u32, fleet_size: self.names.len() as u32 })
    }

    fn free_ordinals(&self) -> impl Iterator<Item = usize> {
        self.names.iter().enumerate().filter(|(_, name)| name.is_empty()).map(|(ordinal, _)| ordinal)
    }
}

/// Decides which changes of the roster to propose.
#[derive(Clone, Debug)]
pub struct RosterManager {
    /// The committed roster.
    roster: Roster,
    /// The roster that was proposed and whose outcome is not reported yet.
    pending: Option<Roster>,
    /// The time of the last heartbeat of each proxy.
    last_heartbeats: BTreeMap<String, Timestamp>,
    /// When each free ordinal became free.
    free_since: BTreeMap<usize, Timestamp>,
}

impl RosterManager {
    /// Creates the manager of a new lease holder from the committed roster. The previous manager may have
    /// received heartbeats and freed ordinals just before, so all proxies count as present now and all free
    /// ordinals as freed now.
    pub fn resume(now: Timestamp, roster: Roster) -> Self {
        let present = roster.names.iter().filter(|name| !name.is_empty());
        let last_heartbeats = present.map(|name| (name.clone(), now)).collect();
        let mut manager =
            RosterManager { roster, pending: None, last_heartbeats, free_since: BTreeMap::new() };
        manager.track_free_ordinals(now);
        manager
    }

    /// The committed roster.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Records that a control server has received heartbeats of these proxies.
    pub fn record_heartbeats<'a>(&mut self, now: Timestamp, names: impl Iterator<Item = &'a str>) {
        for name in names.filter(|name| !name.is_empty()) {
            if let Some(last) = self.last_heartbeats.get_mut(name) {
                *last = now;
            } else if self.last_heartbeats.len() < MAX_TRACKED_PROXIES {
                self.last_heartbeats.insert(name.to_owned(), now);
            }
        }
    }

    /// The roster to propose now; `None` if nothing changes or the last proposal is still undecided.
    pub fn next_change(&mut self, now: Timestamp) -> Option<Roster> {
        if self.pending.is_some() {
            return None;
        }
        self.last_heartbeats.retain(|_, last| now.duration_since(*last) < ABSENT_AFTER);
        let mut next = self.roster.clone();
        self.free_absent(&mut next);
        let mut assignable = self.assignable(now, &next);
        self.assign_newcomers(&mut next, &mut assignable);
        self.close_gap(now, &mut next, assignable);
        if next.names == self.roster.names {
            return None;
        }
        next.epoch += 1;
        self.pending = Some(next.clone());
        Some(next)
    }

    /// Frees the ordinals of proxies without recent heartbeats.
    fn free_absent(&self, next: &mut Roster) {
        for name in &mut next.names {
            if !self.last_heartbeats.contains_key(name) {
                name.clear();
            }
        }
    }

    /// Ordinals that may be assigned now, in descending order.
    fn assignable(&self, now: Timestamp, next: &Roster) -> Vec<usize> {
        (0..next.names.len()).filter(|ordinal| self.is_assignable(now, *ordinal)).rev().collect()
    }

    fn is_assignable(&self, now: Timestamp, ordinal: usize) -> bool {
        self.free_since.get(&ordinal).is_some_and(|since| now.duration_since(*since) >= REUSE_DELAY)
    }

    /// Assigns ordinals to proxies with heartbeats that have none, and adds ordinals if no free one is
    /// assignable.
    fn assign_newcomers(&self, next: &mut Roster, assignable: &mut Vec<usize>) {
        for name in self.last_heartbeats.keys() {
            if next.ordinal_of(name).is_some() {
                continue;
            }
            match assignable.pop() {
                Some(ordinal) => next.names[ordinal] = name.clone(),
                None if next.names.len() < MAX_ORDINALS as usize => next.names.push(name.clone()),
                None => break,
            }
        }
    }

    /// Drops assignable ordinals at the end, and moves the proxy with the highest ordinal to the lowest
    /// assignable one.
    fn close_gap(&self, now: Timestamp, next: &mut Roster, mut assignable: Vec<usize>) {
        while next.names.last().is_some_and(String::is_empty) && self.is_assignable(now, next.names.len() - 1)
        {
            next.names.pop();
        }
        let Some(last) = next.names.iter().rposition(|name| !name.is_empty()) else { return };
        if let Some(lowest) = assignable.pop().filter(|ordinal| *ordinal < last) {
            next.names.swap(last, lowest);
        }
    }

    /// Processes the outcome of the proposal with this epoch: whether it was committed.
    pub fn on_change_decided(&mut self, now: Timestamp, epoch: u64, committed: bool) {
        if self.pending.as_ref().is_none_or(|pending| pending.epoch != epoch) {
            return;
        }
        let Some(next) = self.pending.take().filter(|_| committed) else { return };
        // If an ordinal has changed and is free now, it became free now.
        for (ordinal, name) in next.names.iter().enumerate() {
            if self.roster.names.get(ordinal) != Some(name) {
                self.free_since.remove(&ordinal);
            }
        }
        self.roster = next;
        self.track_free_ordinals(now);
    }

    /// Records when ordinals of the committed roster became free, and discards those that are no longer free.
    fn track_free_ordinals(&mut self, now: Timestamp) {
        let free: Vec<usize> = self.roster.free_ordinals().collect();
        self.free_since.retain(|ordinal, _| free.contains(ordinal));
        for ordinal in free {
            self.free_since.entry(ordinal).or_insert(now);
        }
    }
}
