//! The roster of a fleet: how ordinals are assigned, kept, freed and reused after a delay, and how gaps are
//! closed.

#![allow(clippy::unwrap_used, reason = "helpers of tests: a failed unwrap is a failed test")]

use std::time::Duration;

use gaugestep_clock::Timestamp;
use gaugestep_subsetting::roster::{ABSENT_AFTER, REUSE_DELAY, Roster, RosterManager};

const MILLISECOND: Duration = Duration::from_millis(1);
const START: Timestamp = Timestamp::ORIGIN;

/// Commits changes until there are no more, and returns their number.
fn settle(manager: &mut RosterManager, now: Timestamp) -> u64 {
    let before = manager.roster().epoch;
    while let Some(next) = manager.next_change(now) {
        manager.on_change_decided(now, next.epoch, true);
    }
    manager.roster().epoch - before
}

/// The names by ordinal, `-` for a free one.
fn names(manager: &RosterManager) -> String {
    manager.roster().names.iter().map(|name| if name.is_empty() { "-" } else { name }).collect()
}

#[test]
fn proxies_keep_their_ordinals_and_a_freed_one_is_reused_after_a_delay() {
    let mut manager = RosterManager::resume(START, Roster::default());
    manager.record_heartbeats(START, ["a", "b", "c", "d"].into_iter());
    assert_eq!(settle(&mut manager, START), 1, "proxies that arrive together are added in one change");
    assert_eq!(names(&manager), "abcd");
    let remaining = ["a", "c", "d"];
    let absent = START + ABSENT_AFTER;
    manager.record_heartbeats(absent - MILLISECOND, remaining.into_iter());
    assert_eq!(settle(&mut manager, absent - MILLISECOND), 0);
    assert_eq!(settle(&mut manager, absent), 1);
    assert_eq!(names(&manager), "a-cd");
    manager.record_heartbeats(absent + MILLISECOND, remaining.into_iter().chain(["e", "b"]));
    settle(&mut manager, absent + MILLISECOND);
    assert_eq!(
        names(&manager),
        "a-cdbe",
        "the delay applies to the previous proxy of the ordinal too, as it may still use the ordinal"
    );
    let reusable = absent + REUSE_DELAY + MILLISECOND;
    manager.record_heartbeats(reusable, remaining.into_iter().chain(["e", "b", "f"]));
    assert_eq!(settle(&mut manager, reusable), 1);
    assert_eq!(names(&manager), "afcdbe");
}

#[test]
fn gaps_are_closed_one_proxy_at_a_time() {
    let mut manager = RosterManager::resume(START, Roster::default());
    manager.record_heartbeats(START, ["a", "b", "c", "d", "e", "f"].into_iter());
    settle(&mut manager, START);
    let remaining = ["c", "f"];
    let absent = START + ABSENT_AFTER;
    manager.record_heartbeats(absent, remaining.into_iter());
    settle(&mut manager, absent);
    assert_eq!(names(&manager), "--c--f");
    let now = absent + REUSE_DELAY + MILLISECOND;
    manager.record_heartbeats(now, remaining.into_iter());
    let next = manager.next_change(now).unwrap();
    assert_eq!(next.names, ["f", "", "c", "", "", ""], "one proxy moves");
    assert_eq!(manager.next_change(now), None, "one change at a time");
    manager.on_change_decided(now, next.epoch, true);
    settle(&mut manager, now);
    assert_eq!(names(&manager), "fc----", "the delay applies to ordinals of moved proxies too");
    let later = now + REUSE_DELAY + MILLISECOND;
    manager.record_heartbeats(later, remaining.into_iter());
    settle(&mut manager, later);
    assert_eq!(names(&manager), "fc");
}

#[test]
fn a_rejected_proposal_has_no_effect_and_a_new_manager_restarts_all_delays() {
    let mut manager = RosterManager::resume(START, Roster::default());
    manager.record_heartbeats(START, ["a", "b"].into_iter());
    let next = manager.next_change(START).unwrap();
    manager.on_change_decided(START + MILLISECOND, next.epoch, false);
    assert_eq!(names(&manager), "");
    settle(&mut manager, START + 2 * MILLISECOND);
    let absent = START + ABSENT_AFTER;
    manager.record_heartbeats(absent + MILLISECOND, ["a"].into_iter());
    settle(&mut manager, absent + 2 * MILLISECOND);
    assert_eq!(names(&manager), "a-");
    // The new manager knows neither how long the ordinal has been free nor whether proxy b has returned.
    let take_over = absent + REUSE_DELAY;
    let mut successor = RosterManager::resume(take_over, manager.roster().clone());
    successor.record_heartbeats(take_over, ["a", "c"].into_iter());
    settle(&mut successor, take_over);
    assert_eq!(names(&successor), "a-c");
    let absent_again = take_over + ABSENT_AFTER;
    assert_eq!(
        settle(&mut successor, absent_again),
        1,
        "a proxy is absent only after the complete delay under the new manager"
    );
}
