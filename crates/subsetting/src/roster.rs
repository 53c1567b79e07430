//! Who has which seat, as the owner of the duty `seats` keeps it.
//!
//! A seat is its holder's as long as a control service confirms it: each confirmation lets the proxy use it for [`ORDINAL_LEASE`],
//! counted from when the proxy asked ([`crate::ordinal_lease`]). A service confirms only what it knows to be agreed, and only while
//! it has its own lease, so for [`MEMBER_LEASE`] at most behind a change. The manager frees the seat of a proxy that nobody has
//! heard for [`ABSENT_AFTER`], and gives a freed seat to another only once it has rested for [`REUSE_DELAY`], which is longer than both
//! together: no two proxies are ever at one seat, whichever of them, of the services and of the links stood still.
//!
//! Newcomers take rested seats first and new ones at the end. Seats that stay free are closed up: the last holder moves into
//! the lowest, one at a time, as a proxy that moves changes its whole subset.

use std::collections::BTreeMap;

use crate::position::MAX_ORDINALS;

/// How long a proxy may use its seat from when it asked for the confirmation, in milliseconds.
pub const ORDINAL_LEASE: f64 = 5_000.0;
/// How far a control service that confirms may be behind what is agreed on, in milliseconds: the lease of a member.
pub const MEMBER_LEASE: f64 = 2_000.0;
/// A proxy that no service has heard for so long has left.
pub const ABSENT_AFTER: f64 = 6_000.0;
/// How long a freed seat rests before another one may have it; clocks may differ in pace by some parts in a hundred.
pub const REUSE_DELAY: f64 = (ORDINAL_LEASE + MEMBER_LEASE) * 1.1;

/// Names by seat; empty where nobody sits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    /// Rises with each change.
    pub epoch: u64,
    /// Who sits where.
    pub names: Vec<String>,
}

impl Roster {
    /// The seat of a proxy, and how many seats there are.
    pub fn ordinal_of(&self, name: &str) -> Option<(u32, u32)> {
        let seat = self.names.iter().position(|other| other == name && !name.is_empty())?;
        Some((seat as u32, self.names.len() as u32))
    }
}

/// The manager of a roster.
#[derive(Clone, Debug)]
pub struct RosterManager {
    roster: Roster,
    /// A change that is being agreed on.
    pending: Option<Roster>,
    /// When each proxy was heard last.
    heard: BTreeMap<String, f64>,
    /// Since when each free seat is free.
    free: BTreeMap<usize, f64>,
}

impl RosterManager {
    /// Goes on with what is agreed. Whoever had the duty before may have heard of proxies a moment ago, and freed seats a
    /// moment ago: all are taken to be there now, and all that is free to rest from now on.
    pub fn resume(now: f64, roster: Roster) -> Self {
        let seated = roster.names.iter().filter(|name| !name.is_empty());
        let heard = seated.map(|name| (name.clone(), now)).collect();
        let mut manager = RosterManager { roster, pending: None, heard, free: BTreeMap::new() };
        manager.note_free(now);
        manager
    }

    /// What is agreed.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// A service has heard of these proxies.
    pub fn record_heartbeats<'a>(&mut self, now: f64, names: impl Iterator<Item = &'a str>) {
        for name in names.filter(|name| !name.is_empty()) {
            if let Some(at) = self.heard.get_mut(name) {
                *at = now;
            } else if self.heard.len() < 2 * MAX_ORDINALS as usize {
                // Guards the memory against names without end: who finds no seat need not be remembered.
                self.heard.insert(name.to_owned(), now);
            }
        }
    }

    fn note_free(&mut self, now: f64) {
        let free = self.roster.names.iter().enumerate().filter(|(_, name)| name.is_empty());
        let free: Vec<usize> = free.map(|(seat, _)| seat).collect();
        self.free.retain(|seat, _| free.contains(seat));
        for seat in free {
            self.free.entry(seat).or_insert(now);
        }
    }

    /// Time has passed: the roster that is to be agreed on now, if there is a change and none is under way.
    pub fn next_change(&mut self, now: f64) -> Option<Roster> {
        if self.pending.is_some() {
            return None;
        }
        self.heard.retain(|_, at| now - *at < ABSENT_AFTER);
        let mut next = self.roster.clone();
        for name in &mut next.names {
            if !self.heard.contains_key(name) {
                name.clear();
            }
        }
        let rested = |seat: &usize| self.free.get(seat).is_some_and(|since| now - since >= REUSE_DELAY);
        let mut open: Vec<usize> = (0..next.names.len()).filter(rested).rev().collect();
        for name in self.heard.keys() {
            if next.ordinal_of(name).is_some() {
                continue;
            }
            match open.pop() {
                Some(seat) => next.names[seat] = name.clone(),
                None if next.names.len() < MAX_ORDINALS as usize => next.names.push(name.clone()),
                None => break,
            }
        }
        // Seats at the end that have rested go; the last holder moves into the lowest that is left over.
        while next.names.last().is_some_and(String::is_empty) && rested(&(next.names.len() - 1)) {
            next.names.pop();
        }
        let last = next.names.iter().rposition(|name| !name.is_empty());
        let lowest = open.pop().filter(|seat| last.is_some_and(|last| *seat < last));
        if let (Some(last), Some(lowest)) = (last, lowest) {
            next.names.swap(last, lowest);
        }
        if next.names == self.roster.names {
            return None;
        }
        next.epoch += 1;
        self.pending = Some(next.clone());
        Some(next)
    }

    /// The roster that was to be agreed on is, or could not be.
    pub fn change_decided(&mut self, now: f64, epoch: u64, done: bool) {
        if self.pending.as_ref().is_none_or(|pending| pending.epoch != epoch) {
            return;
        }
        if let Some(pending) = self.pending.take().filter(|_| done) {
            // A seat that changed hands by a move, or at all, begins to rest if it is free now.
            for (seat, name) in pending.names.iter().enumerate() {
                if self.roster.names.get(seat) != Some(name) {
                    self.free.remove(&seat);
                }
            }
            self.roster = pending;
            self.note_free(now);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Ticks until nothing changes; how often it did.
    fn settle(manager: &mut RosterManager, now: f64) -> u64 {
        let before = manager.roster.epoch;
        while let Some(next) = manager.next_change(now) {
            manager.change_decided(now, next.epoch, true);
        }
        manager.roster.epoch - before
    }

    fn names(manager: &RosterManager) -> String {
        manager.roster.names.iter().map(|name| if name.is_empty() { "-" } else { name }).collect()
    }

    #[test]
    fn proxies_get_seats_keep_them_and_a_freed_one_rests() {
        let mut manager = RosterManager::resume(0.0, Roster::default());
        manager.record_heartbeats(0.0, ["a", "b", "c", "d"].into_iter());
        assert_eq!(settle(&mut manager, 0.0), 1, "all that come at once are one change");
        assert_eq!(names(&manager), "abcd");
        let others = ["a", "c", "d"];
        manager.record_heartbeats(ABSENT_AFTER - 1.0, others.into_iter());
        assert_eq!(settle(&mut manager, ABSENT_AFTER - 1.0), 0);
        assert_eq!(settle(&mut manager, ABSENT_AFTER), 1);
        assert_eq!(names(&manager), "a-cd");
        manager.record_heartbeats(ABSENT_AFTER + 1.0, others.into_iter().chain(["e", "b"]));
        settle(&mut manager, ABSENT_AFTER + 1.0);
        assert_eq!(
            names(&manager),
            "a-cdbe",
            "also its own earlier holder: its seat may be in use until it has rested"
        );
        let later = ABSENT_AFTER + REUSE_DELAY + 1.0;
        manager.record_heartbeats(later, others.into_iter().chain(["e", "b", "f"]));
        assert_eq!(settle(&mut manager, later), 1);
        assert_eq!(names(&manager), "afcdbe");
    }

    #[test]
    fn what_stays_free_is_closed_up_one_proxy_at_a_time() {
        let mut manager = RosterManager::resume(0.0, Roster::default());
        manager.record_heartbeats(0.0, ["a", "b", "c", "d", "e", "f"].into_iter());
        settle(&mut manager, 0.0);
        let left = ["c", "f"];
        manager.record_heartbeats(ABSENT_AFTER, left.into_iter());
        settle(&mut manager, ABSENT_AFTER);
        assert_eq!(names(&manager), "--c--f");
        let now = ABSENT_AFTER + REUSE_DELAY + 1.0;
        manager.record_heartbeats(now, left.into_iter());
        let next = manager.next_change(now).unwrap();
        assert_eq!(next.names, ["f", "", "c", "", "", ""], "one moves");
        assert_eq!(manager.next_change(now), None, "one change at a time");
        manager.change_decided(now, next.epoch, true);
        settle(&mut manager, now);
        assert_eq!(names(&manager), "fc----", "the seats that they left rest too");
        manager.record_heartbeats(now + REUSE_DELAY + 1.0, left.into_iter());
        settle(&mut manager, now + REUSE_DELAY + 1.0);
        assert_eq!(names(&manager), "fc");
    }

    #[test]
    fn a_change_that_is_not_agreed_on_is_not_there_and_a_successor_takes_nothing_for_granted() {
        let mut manager = RosterManager::resume(0.0, Roster::default());
        manager.record_heartbeats(0.0, ["a", "b"].into_iter());
        let next = manager.next_change(0.0).unwrap();
        manager.change_decided(1.0, next.epoch, false);
        assert_eq!(names(&manager), "");
        settle(&mut manager, 2.0);
        manager.record_heartbeats(ABSENT_AFTER + 1.0, ["a"].into_iter());
        settle(&mut manager, ABSENT_AFTER + 2.0);
        assert_eq!(names(&manager), "a-");
        // The successor knows neither how long the seat rested nor whether b is back.
        let mut next = RosterManager::resume(ABSENT_AFTER + REUSE_DELAY, manager.roster().clone());
        next.record_heartbeats(ABSENT_AFTER + REUSE_DELAY, ["a", "c"].into_iter());
        settle(&mut next, ABSENT_AFTER + REUSE_DELAY);
        assert_eq!(names(&next), "a-c");
        assert_eq!(
            settle(&mut next, 2.0 * ABSENT_AFTER + REUSE_DELAY),
            1,
            "and who was there with it has its time again"
        );
    }
}
